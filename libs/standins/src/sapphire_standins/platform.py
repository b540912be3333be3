"""Stand-in of the platform's key-value service."""

from __future__ import annotations

from typing import Any

import fire
import trio
from sapphire_core.errors import BadRequestError
from starlette.applications import Starlette
from starlette.requests import Request

from sapphire_standins import server
from sapphire_standins.server import Reply, route
from sapphire_standins.store import (
    ConflictError,
    Item,
    LeaseError,
    Store,
    ValueSizeError,
)

MAX_WAIT_MS = 60_000


class PlatformSettings(server.ListenSettings):
    """Settings of the platform stand-in."""


class Platform:
    """Answers the calls of the key-value service."""

    def __init__(self) -> None:
        self._store = Store()
        self._changes: dict[str, trio.Event] = {}

    async def get(self, request: Request) -> Reply:
        """Answers GET /kv/{key}."""
        return _item_reply(self._store.get(request.path_params["key"]))

    async def put(self, request: Request) -> Reply:
        """Answers PUT /kv/{key}."""
        key = request.path_params["key"]
        fields = await server.read_json(request)
        try:
            value, expect = str(fields["value"]), int(fields["expect"])
        except (KeyError, TypeError, ValueError) as error:
            raise BadRequestError("value and expect are needed.") from error
        try:
            version = self._store.put(key, value, expect, fields.get("lease"))
        except ConflictError as error:
            return Reply(409, {"error": "conflict", "version": error.current})
        except ValueSizeError:
            return Reply(413, {"error": "too_large"})
        except LeaseError:
            return Reply(410, {"error": "no_lease"})
        self._announce(key)
        return Reply(200, {"version": version})

    async def watch(self, request: Request) -> Reply:
        """Answers GET /watch/{key} when the key changes or time is up."""
        key = request.path_params["key"]
        after = int(request.query_params.get("after", 0))
        wait_ms = int(request.query_params.get("wait_ms", 0))
        with trio.move_on_after(min(wait_ms, MAX_WAIT_MS) / 1000):
            if self._store.get(key).version <= after:
                await self._changes.setdefault(key, trio.Event()).wait()
        return _item_reply(self._store.get(key))

    def _announce(self, key: str) -> None:
        if event := self._changes.pop(key, None):
            event.set()


def _item_reply(item: Item) -> Reply:
    return Reply(200, {"value": item.value, "version": item.version})


def build_app(platform: Platform) -> Starlette:
    """Returns the ASGI app of the service."""
    return Starlette(
        routes=[
            route("/kv/{key:path}", "GET", platform.get),
            route("/kv/{key:path}", "PUT", platform.put),
            route("/watch/{key:path}", "GET", platform.watch),
        ]
    )


def run(settings: str | None = None, **flags: Any) -> None:
    """Serves the key-value service until SIGTERM."""
    values = server.read_settings(PlatformSettings, settings, flags)
    trio.run(server.serve, build_app(Platform()), values)


def main() -> None:
    """Runs the command line."""
    fire.Fire(run)
