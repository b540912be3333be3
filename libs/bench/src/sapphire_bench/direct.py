"""Baseline: a daemon that answers searches by calling the leaves directly.

The load tool compares the query tier with it. For each query it sends one HTTP
request per shard to a random replica, with a fixed timeout and without hedged
requests, retries, admission control or limits on cold leaves. Its endpoints for
searches, addresses and metrics are like those of the entry, so the load tool
can use both.
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
INDEX_POLL_INTERVAL_S = 1.0
WATCH_RETRY_DELAY_S = 0.5
ADDRESS_TTL_MS = 2000
# Share of a leaf's connections for all baseline processes; the aggregators of
# the same fleet need the rest.
CONNECTION_SHARE = 0.7

# The metrics have the same names as the entry's, so the load tool can read
# both. A separate registry allows importing both in one process.
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
    """Address of a baseline process."""

    address: Address
    failure_domain: Name


class BaselineSettings(Model):
    """Settings of a baseline process."""

    listen: Address = Field(description="HTTP address for callers.")
    failure_domain: Name
    platform: Address
    peers: list[Peer] = Field(description="All processes, including this one.")
    timeout_ms: float = Field(
        500.0, gt=0, description="Timeout of each leaf call."
    )


@dataclass
class Replica:
    """A leaf: its client and the index versions that it holds."""

    client: LeafClient
    versions: tuple[IndexVersion, ...] = ()
    in_service: bool = True


@dataclass
class ShardAnswer:
    """A shard and the reply of its leaf.

    Attributes:
        shard: Number of the shard.
        reply: None if the shard has no replica in service or the call failed.
    """

    shard: int
    reply: SearchReply | None = None


@dataclass
class QueryPlan:
    """Index version for a query, and its replicas in service by shard."""

    version: str
    shards: dict[int, list[Replica]] = field(default_factory=dict)


def choose_version(replicas: list[Replica]) -> QueryPlan | None:
    """Returns the newest version that has a replica of every shard.

    Versions are ordered by name. If no version is complete, returns the one
    with the largest share of shards; None if no leaf has reported a version.
    Replicas that are out of service are not used.
    """
    plans: dict[str, QueryPlan] = {}
    totals: dict[str, int] = {}
    for replica in replicas:
        for held in replica.versions:
            plan = plans.setdefault(held.version, QueryPlan(held.version))
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
    """Answers searches with one call to one replica of each shard."""

    def __init__(self, settings: BaselineSettings) -> None:
        self._settings = settings
        self._platform = PlatformClient(settings.platform, None)
        self._document: Document | None = None
        self._config_version = 0
        self._replicas: dict[str, dict[str, Replica]] = defaultdict(dict)
        self._random = random.Random(0)

    async def follow_config(self) -> None:
        """Applies new documents from the platform; runs until cancelled."""
        while True:
            try:
                item = await self._platform.watch(
                    "config", self._config_version
                )
            except PlatformUnavailableError:
                await trio.sleep(WATCH_RETRY_DELAY_S)
                continue
            if item.version > self._config_version:
                self._config_version = item.version
                self._apply_document(parse(StoredDocument, item.value).document)

    async def read_indexes(self) -> None:
        """Polls the index versions of all leaves; runs until cancelled."""
        while True:
            async with trio.open_nursery() as nursery:
                for replicas in self._replicas.values():
                    for replica in replicas.values():
                        nursery.start_soon(self._read_index, replica)
            await trio.sleep(INDEX_POLL_INTERVAL_S if self._replicas else 0.1)

    async def search(self, request: Request) -> Response:
        """Answers POST /v1/search."""
        start = trio.current_time()
        search_request = parse_body(SearchRequest, await request.body())
        if self._document is None:
            raise NotReadyError("no document yet.")
        if self._document.service(search_request.service) is None:
            raise UnknownServiceError(f"no service {search_request.service!r}.")
        plan = choose_version(
            list(self._replicas[search_request.service].values())
        )
        if plan is None:
            raise NotReadyError("no leaf has told its index yet.")
        answers = await self._fan_out(search_request, plan)
        CALLS_NEEDED.labels(search_request.service).inc(len(plan.shards))
        elapsed_ms = (trio.current_time() - start) * 1000
        return _json_response(
            _search_body(search_request, plan, answers, elapsed_ms)
        )

    async def addresses(self, request: Request) -> Response:
        """Answers GET /v1/addresses.

        The reply lists the processes whose failure domain is in service,
        whether they run or not.
        """
        out = self._document.out_failure_domains if self._document else []
        listed = [
            peer.model_dump()
            for peer in self._settings.peers
            if peer.failure_domain not in out
        ]
        return _json_response({"addresses": listed, "keep_ms": ADDRESS_TTL_MS})

    async def metrics(self, request: Request) -> Response:
        """Answers GET /metrics."""
        return Response(
            generate_latest(REGISTRY), media_type=CONTENT_TYPE_LATEST
        )

    def _apply_document(self, document: Document) -> None:
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
        # An unreachable leaf keeps its last known versions: the baseline has
        # no health checks.
        with contextlib.suppress(LeafError):
            index = await replica.client.index(INDEX_TIMEOUT_S)
            replica.versions = index.versions

    async def _fan_out(
        self, search_request: SearchRequest, plan: QueryPlan
    ) -> list[ShardAnswer]:
        answers = [ShardAnswer(shard) for shard in sorted(plan.shards)]
        async with trio.open_nursery() as nursery:
            for answer in answers:
                replicas = plan.shards[answer.shard]
                if not replicas:
                    continue
                replica = self._random.choice(replicas)
                nursery.start_soon(
                    self._call, search_request, plan.version, replica, answer
                )
        return answers

    async def _call(
        self,
        search_request: SearchRequest,
        version: str,
        replica: Replica,
        answer: ShardAnswer,
    ) -> None:
        CALLS_SENT.labels(search_request.service).inc()
        end = trio.current_time() + self._settings.timeout_ms / 1000
        query = LeafQuery("0", search_request.text, search_request.k)
        with contextlib.suppress(LeafError):
            answer.reply = await replica.client.search(
                uuid.uuid4().hex,
                version,
                answer.shard,
                [query],
                remaining=lambda: end - trio.current_time(),
            )


def _search_body(
    search_request: SearchRequest,
    plan: QueryPlan,
    answers: list[ShardAnswer],
    elapsed_ms: float,
) -> dict[str, Any]:
    # Shards hold disjoint documents, so there are no duplicate matches.
    hits = (
        hit
        for answer in answers
        if answer.reply is not None
        for hit in answer.reply.matches[0]
    )
    merged = heapq.nsmallest(search_request.k, hits)
    missing = [a.shard for a in answers if a.reply is None]
    return {
        "request_id": search_request.request_id or uuid.uuid4().hex,
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


def _json_response(body: dict[str, Any], status: int = 200) -> Response:
    return Response(json.dumps(body), status, media_type="application/json")


Handler = Callable[[Request], Awaitable[Response]]


def _with_error_replies(handler: Handler) -> Handler:
    """Wraps a handler to answer typed errors as the entry does."""

    async def answer(request: Request) -> Response:
        try:
            return await handler(request)
        except ValidationError as error:
            return _error_response(BadRequestError(str(error)))
        except SapphireError as error:
            return _error_response(error)

    return answer


def _error_response(error: SapphireError) -> Response:
    body = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
        "run": error.run.value,
    }
    return _json_response({"error": body}, error.status)


def build_app(baseline: Baseline) -> Starlette:
    """Returns the ASGI application."""
    return Starlette(
        routes=[
            Route(
                "/v1/search",
                _with_error_replies(baseline.search),
                methods=["POST"],
            ),
            Route("/v1/addresses", baseline.addresses, methods=["GET"]),
            Route("/metrics", baseline.metrics, methods=["GET"]),
        ]
    )


async def serve(settings: BaselineSettings) -> None:
    """Serves until SIGTERM or SIGINT."""
    baseline = Baseline(settings)
    stop = trio.Event()
    host, _, port = settings.listen.rpartition(":")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(baseline.follow_config)
        nursery.start_soon(baseline.read_indexes)
        nursery.start_soon(
            serve_http, build_app(baseline), host, int(port), stop.wait
        )
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as stops:
            async for _ in stops:
                break
        nursery.cancel_scope.cancel()


def run(settings: str) -> None:
    """Runs a baseline process until SIGTERM or SIGINT.

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
