"""The baseline: an entry that calls one replica of each shard directly.

One HTTP call per leaf and query to a random replica, a fixed timeout, no
hedged request, no retry, no admission control and no cold limit. It offers
the callers' interface of the entry, so that one load tool drives both.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import random
import signal
import sys
import uuid
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import fire
import trio
from prometheus_client import (
    CONTENT_TYPE_LATEST,
    CollectorRegistry,
    Counter,
    generate_latest,
)
from pydantic import Field, ValidationError
from sapphire_config.document import (
    Address,
    Document,
    Model,
    Name,
    StoredDocument,
    parse,
)
from sapphire_config.settings import read_settings
from sapphire_core.errors import (
    BadRequestError,
    LeafError,
    NotReadyError,
    PlatformUnavailableError,
    SapphireError,
    UnknownServiceError,
)
from sapphire_entry.requests import SearchRequest, parse_body
from sapphire_wire.leaf import IndexVersion, LeafClient, LeafQuery, SearchReply
from sapphire_wire.platform import PlatformClient
from sapphire_wire.web import serve_http
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

INDEX_TIMEOUT_S = 1.0
INDEX_PAUSE_S = 1.0
RETRY_PAUSE_S = 0.5
KEEP_MS = 2000
# Share of a leaf's connections that all baseline processes may use; the
# aggregators of the same fleet need the rest.
CONNECTION_SHARE = 0.7

# The names are those of the entry, so that the load tool reads both alike. A
# registry of their own lets one process import both.
REGISTRY = CollectorRegistry()
CALLS_SENT = Counter(
    "sapphirecross_shard_calls_sent_total",
    "Leaf calls sent.",
    ["service"],
    registry=REGISTRY,
)
CALLS_NEEDED = Counter(
    "sapphirecross_shard_calls_needed_total",
    "Shards of all queries.",
    ["service"],
    registry=REGISTRY,
)


class Peer(Model):
    """One process of the baseline."""

    address: Address
    failure_domain: Name


class BaselineSettings(Model):
    """Settings of one process of the baseline."""

    listen: Address = Field(description="HTTP address for callers.")
    failure_domain: Name
    platform: Address
    peers: list[Peer] = Field(description="All processes, this one too.")
    timeout_ms: float = Field(500.0, gt=0, description="Of each leaf call.")


@dataclass
class Replica:
    """One leaf: its client and the index versions that it holds."""

    client: LeafClient
    versions: tuple[IndexVersion, ...] = ()
    in_service: bool = True


@dataclass
class ShardAnswer:
    """The reply to one leaf call, or None if it failed."""

    shard: int
    reply: SearchReply | None = None


@dataclass
class Plan:
    """Index version that a query uses and the replicas of its shards."""

    version: str
    shards: dict[int, list[Replica]] = field(default_factory=dict)


def choose_version(replicas: list[Replica]) -> Plan | None:
    """Returns the newest version of which all shards are held.

    Without a whole version, the one with the most shards is returned; None
    if no leaf is known. Replicas that are out of service are left out.
    """
    plans: dict[str, Plan] = {}
    totals: dict[str, int] = {}
    for replica in replicas:
        for held in replica.versions:
            plan = plans.setdefault(held.version, Plan(held.version))
            totals[held.version] = held.shards
            holders = plan.shards.setdefault(held.shard, [])
            if replica.in_service:
                holders.append(replica)
    if not plans:
        return None
    for version, plan in plans.items():
        for shard in range(totals[version]):
            plan.shards.setdefault(shard, [])
    return max(
        plans.values(),
        key=lambda p: (
            sum(bool(r) for r in p.shards.values()) / len(p.shards),
            p.version,
        ),
    )


class Baseline:
    """Answers callers by one call to one replica of each shard."""

    def __init__(self, settings: BaselineSettings) -> None:
        self._settings = settings
        self._platform = PlatformClient(settings.platform, None)
        self._document: Document | None = None
        self._revision = 0
        self._replicas: dict[str, dict[str, Replica]] = defaultdict(dict)
        self._random = random.Random(0)

    async def follow(self) -> None:
        """Follows the document in the platform until cancelled."""
        while True:
            try:
                item = await self._platform.watch("config", self._revision)
            except PlatformUnavailableError:
                await trio.sleep(RETRY_PAUSE_S)
                continue
            if item.version > self._revision:
                self._revision = item.version
                self._adopt(parse(StoredDocument, item.value).document)

    async def read_indexes(self) -> None:
        """Reads what the leaves hold, again and again."""
        while True:
            async with trio.open_nursery() as nursery:
                for replicas in self._replicas.values():
                    for replica in replicas.values():
                        nursery.start_soon(self._read_index, replica)
            await trio.sleep(INDEX_PAUSE_S if self._replicas else 0.1)

    async def search(self, request: Request) -> Response:
        """Answers POST /v1/search."""
        start = trio.current_time()
        asked = parse_body(SearchRequest, await request.body())
        if self._document is None:
            raise NotReadyError("no document yet.")
        if self._document.service(asked.service) is None:
            raise UnknownServiceError(f"no service {asked.service!r}.")
        plan = choose_version(list(self._replicas[asked.service].values()))
        if plan is None:
            raise NotReadyError("no leaf has told its index yet.")
        answers = await self._fan_out(asked, plan)
        CALLS_NEEDED.labels(asked.service).inc(len(plan.shards))
        elapsed_ms = (trio.current_time() - start) * 1000
        return _reply(_answer(asked, plan, answers, elapsed_ms))

    async def addresses(self, request: Request) -> Response:
        """Answers GET /v1/addresses: the processes of domains in service."""
        out = self._document.out_failure_domains if self._document else []
        listed = [
            peer.model_dump()
            for peer in self._settings.peers
            if peer.failure_domain not in out
        ]
        return _reply({"addresses": listed, "keep_ms": KEEP_MS})

    async def metrics(self, request: Request) -> Response:
        """Answers GET /metrics."""
        return Response(
            generate_latest(REGISTRY), media_type=CONTENT_TYPE_LATEST
        )

    def _adopt(self, document: Document) -> None:
        self._document = document
        processes = len(self._settings.peers)
        for service in document.services:
            known = self._replicas[service.name]
            allowed = service.leaf.connections * CONNECTION_SHARE / processes
            for leaf in service.leaves:
                if leaf.address not in known:
                    client = LeafClient(leaf.address, max(1, int(allowed)))
                    known[leaf.address] = Replica(client)
                known[leaf.address].in_service = (
                    leaf.failure_domain not in document.out_failure_domains
                )

    async def _read_index(self, replica: Replica) -> None:
        # A leaf that can't be reached keeps what it held: the baseline has
        # no health checks.
        with contextlib.suppress(LeafError):
            index = await replica.client.index(INDEX_TIMEOUT_S)
            replica.versions = index.versions

    async def _fan_out(
        self, asked: SearchRequest, plan: Plan
    ) -> list[ShardAnswer]:
        answers = [ShardAnswer(shard) for shard in sorted(plan.shards)]
        async with trio.open_nursery() as nursery:
            for answer in answers:
                replicas = plan.shards[answer.shard]
                if not replicas:
                    continue
                replica = self._random.choice(replicas)
                nursery.start_soon(
                    self._call, asked, plan.version, replica, answer
                )
        return answers

    async def _call(
        self,
        asked: SearchRequest,
        version: str,
        replica: Replica,
        answer: ShardAnswer,
    ) -> None:
        CALLS_SENT.labels(asked.service).inc()
        end = trio.current_time() + self._settings.timeout_ms / 1000
        query = LeafQuery("0", asked.text, asked.k)
        with contextlib.suppress(LeafError):
            answer.reply = await replica.client.search(
                uuid.uuid4().hex,
                version,
                answer.shard,
                [query],
                remaining=lambda: end - trio.current_time(),
            )


def _answer(
    asked: SearchRequest,
    plan: Plan,
    answers: list[ShardAnswer],
    elapsed_ms: float,
) -> dict[str, Any]:
    # Shards hold distinct documents, so that no match occurs twice.
    hits = (
        hit
        for answer in answers
        if answer.reply is not None
        for hit in answer.reply.matches[0]
    )
    merged = heapq.nsmallest(asked.k, hits)
    missing = [a.shard for a in answers if a.reply is None]
    return {
        "request_id": asked.request_id or uuid.uuid4().hex,
        "run": "run",
        "matches": [
            {"id": m.document, "score": -m.negated_score, "title": m.title}
            for m in merged
        ],
        "coverage": {
            "shards_total": len(answers),
            "shards_answered": len(answers) - len(missing),
            "missing": [{"shard": s, "reason": "failed"} for s in missing],
            "complete": not missing,
        },
        "index_version": plan.version,
        "elapsed_ms": round(elapsed_ms, 3),
    }


def _reply(body: dict[str, Any], status: int = 200) -> Response:
    return Response(json.dumps(body), status, media_type="application/json")


Handler = Callable[[Request], Awaitable[Response]]


def _typed(handler: Handler) -> Handler:
    """Returns a handler that answers typed errors as the entry does."""

    async def answer(request: Request) -> Response:
        try:
            return await handler(request)
        except ValidationError as error:
            return _refuse(BadRequestError(str(error)))
        except SapphireError as error:
            return _refuse(error)

    return answer


def _refuse(error: SapphireError) -> Response:
    body = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
        "run": error.run.value,
    }
    return _reply({"error": body}, error.status)


def build_app(baseline: Baseline) -> Starlette:
    """Returns the ASGI application."""
    return Starlette(
        routes=[
            Route("/v1/search", _typed(baseline.search), methods=["POST"]),
            Route("/v1/addresses", baseline.addresses, methods=["GET"]),
            Route("/metrics", baseline.metrics, methods=["GET"]),
        ]
    )


async def serve(settings: BaselineSettings) -> None:
    """Serves until SIGTERM."""
    baseline = Baseline(settings)
    stop = trio.Event()
    host, _, port = settings.listen.rpartition(":")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(baseline.follow)
        nursery.start_soon(baseline.read_indexes)
        nursery.start_soon(
            serve_http, build_app(baseline), host, int(port), stop.wait
        )
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as stops:
            async for _ in stops:
                break
        nursery.cancel_scope.cancel()


def run(settings: str) -> None:
    """Runs one process of the baseline until SIGTERM.

    Args:
        settings: Path of the JSON settings file.
    """
    try:
        trio.run(serve, read_settings(BaselineSettings, settings))
    except SapphireError as error:
        print(f"sapphirecross-baseline: {error}", file=sys.stderr)
        sys.exit(2)


def main() -> None:
    """Entry point of the console script."""
    fire.Fire(run)
