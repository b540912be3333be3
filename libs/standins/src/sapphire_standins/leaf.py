"""Stand-in of one leaf of a backend server."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

import fire
import trio
from starlette.applications import Starlette
from starlette.requests import Request

from sapphire_standins import server
from sapphire_standins.index import shard_index
from sapphire_standins.server import Model, Reply, route


class Version(Model):
    """One index version and this leaf's shard of it."""

    version: str
    shards: int = 1
    shard: int = 0


class LeafSettings(server.ListenSettings):
    """Settings of the leaf stand-in."""

    service: str = "toxdesk"
    versions: tuple[Version, ...] = (Version(version="v1"),)


class Leaf:
    """Answers searches over this leaf's shards."""

    def __init__(self, settings: LeafSettings) -> None:
        self._versions = {x.version: x for x in settings.versions}

    async def search(self, request: Request) -> Reply:
        """Answers POST /search."""
        fields = await server.read_json(request)
        version = self._versions.get(fields["version"])
        if version is None or version.shard != fields["shard"]:
            return Reply(410, {"error": "version_gone"})
        index = shard_index(version.version, version.shards, version.shard)
        results = [
            {
                "id": query["id"],
                "matches": [
                    asdict(match)
                    for match in index.search(query["text"], query["k"])
                ],
            }
            for query in fields["queries"]
        ]
        return Reply(
            200,
            {
                "batch_id": fields["batch_id"],
                "version": version.version,
                "shard": version.shard,
                "documents": index.documents,
                "results": results,
            },
        )

    async def submit(self, request: Request) -> Reply:
        """Answers POST /submit."""
        fields = await server.read_json(request)
        return Reply(200, {"key": fields["key"], "registered": True})

    async def index(self, request: Request) -> Reply:
        """Answers GET /index."""
        versions = [
            {
                **x.model_dump(),
                "documents": shard_index(
                    x.version, x.shards, x.shard
                ).documents,
            }
            for x in self._versions.values()
        ]
        return Reply(200, {"versions": versions, "draining": False})

    async def health(self, request: Request) -> Reply:
        """Answers GET /health."""
        return Reply(200, {"status": "warm"})

    async def load(self, request: Request) -> Reply:
        """Answers GET /load."""
        return Reply(200, {"running": 0, "waiting": 0})

    async def cancel(self, request: Request) -> Reply:
        """Answers POST /cancel."""
        return Reply(200, {"cancelled": False})


def build_app(leaf: Leaf) -> Starlette:
    """Returns the ASGI app of a leaf."""
    return Starlette(
        routes=[
            route("/search", "POST", leaf.search),
            route("/submit", "POST", leaf.submit),
            route("/cancel", "POST", leaf.cancel),
            route("/index", "GET", leaf.index),
            route("/health", "GET", leaf.health),
            route("/load", "GET", leaf.load),
        ]
    )


def run(settings: str | None = None, **flags: Any) -> None:
    """Serves one leaf until SIGTERM."""
    values = server.read_settings(LeafSettings, settings, flags)
    trio.run(server.serve, build_app(Leaf(values)), values)


def main() -> None:
    """Runs the command line."""
    fire.Fire(run)
