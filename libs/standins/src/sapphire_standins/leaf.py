"""Stand-in for a leaf: simulates the server of one shard, with faults."""

from __future__ import annotations

import functools
import json
from dataclasses import asdict
from typing import Any

import trio
from pydantic import Field
from sapphire_core.errors import BadRequestError
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response

from sapphire_standins import endpoints, server
from sapphire_standins.endpoints import Reply, RequestBody, json_route
from sapphire_standins.faults import Action, LeafFaults, Version
from sapphire_standins.index import Index, shard_index
from sapphire_standins.proxy import Proxy
from sapphire_standins.record import Record, now_ms
from sapphire_standins.replies import ReplySender
from sapphire_standins.server import Addresses
from sapphire_standins.worker import Job, StoppedError, Worker

Identifier = str | int


class LeafSettings(LeafFaults, server.ListenSettings):
    """Settings of a leaf; POST /faults can change those of LeafFaults later."""

    service: str = Field(
        "toxdesk", description="Service name that GET /record shows."
    )
    cold: bool = Field(False, description="Whether the leaf starts cold.")
    seed: int = Field(1, description="Seed of service times and reply faults.")


class Query(RequestBody):
    """One query of a search call."""

    id: Identifier
    text: str
    k: int = Field(ge=0)


class Search(RequestBody):
    """Body of POST /search."""

    batch_id: Identifier
    version: str
    shard: int
    deadline_ms: float
    queries: tuple[Query, ...] = Field(min_length=1)


class Submission(RequestBody):
    """Body of POST /submit."""

    key: str
    body: Any
    deadline_ms: float | None = None


class Cancellation(RequestBody):
    """Body of POST /cancel."""

    batch_id: Identifier


class Leaf:
    """HTTP endpoints of one leaf.

    Args:
        settings: Settings of the leaf.
        proxy: Accepts the clients' connections; used to count, limit, refuse
            and close them.
    """

    def __init__(self, settings: LeafSettings, proxy: Proxy) -> None:
        self._service = settings.service
        self._proxy = proxy
        self._record = Record()
        self._reply_sender = ReplySender(settings.seed)
        self._faults = LeafFaults.model_validate(
            settings.model_dump(include=set(LeafFaults.model_fields))
        )
        self._worker = Worker(
            self._faults,
            cold=settings.cold,
            seed=settings.seed,
            take_offline=proxy.take_offline,
        )
        self._apply_faults(self._faults)

    async def search(self, request: Request) -> Reply | Response:
        """Answers POST /search."""
        self._record_arrival_time(request)
        search = await endpoints.read_body(Search, request)
        if len(search.queries) > 1 and not self._faults.multi_search:
            raise BadRequestError("this leaf takes one query per call.")
        version = self._find_version(search)
        if version is None:
            self._record.version_gone += 1
            return Reply(410, {"error": "version_gone"})
        index = _shard_index(version)
        job = Job(
            str(search.batch_id),
            queries=len(search.queries),
            deadline_s=search.deadline_ms / 1000,
            crashes_leaf=self._has_crash_word(search),
            on_start=functools.partial(
                self._record.add_search, search.version, len(search.queries)
            ),
        )
        return await self._run_job(
            job, request, lambda: _search_body(search, index)
        )

    async def submit(self, request: Request) -> Reply | Response:
        """Answers POST /submit; counts an execution when the job starts."""
        self._record_arrival_time(request)
        submission = await endpoints.read_body(Submission, request)
        # Holds the one result of the callback: how often the key has been
        # executed, this time included.
        execution_numbers: list[int] = []

        def record_execution() -> None:
            execution_numbers.append(
                self._record.add_submission(submission.key, submission.body)
            )

        job = Job(submission.key, on_start=record_execution)
        if submission.deadline_ms is not None:
            job.deadline_s = submission.deadline_ms / 1000
        return await self._run_job(
            job,
            request,
            lambda: {
                "key": submission.key,
                "registered": True,
                "execution": execution_numbers[0],
            },
        )

    async def cancel(self, request: Request) -> Reply:
        """Answers POST /cancel."""
        cancellation = await endpoints.read_body(Cancellation, request)
        self._record.cancellations += 1
        stopped = self._worker.cancel(str(cancellation.batch_id))
        return Reply(200, {"cancelled": stopped > 0})

    async def show_index(self, request: Request) -> Reply:
        """Answers GET /index."""
        versions = [
            {**x.model_dump(), "documents": _shard_index(x).document_count}
            for x in self._faults.versions
        ]
        return Reply(
            200, {"versions": versions, "draining": self._faults.draining}
        )

    async def health(self, request: Request) -> Reply:
        """Answers GET /health, subject to health_lag_ms and health_says."""
        return Reply(200, {"status": self._worker.health()})

    async def load(self, request: Request) -> Reply:
        """Answers GET /load, subject to load_lag_ms and load_says.

        load_says replaces only "load", the number of jobs per slot.
        """
        load = self._worker.load()
        jobs_per_slot = (load.running + load.waiting) / self._faults.slots
        if self._faults.load_says is not None:
            jobs_per_slot = self._faults.load_says
        return Reply(200, {**asdict(load), "load": jobs_per_slot})

    async def show_record(self, request: Request) -> Reply:
        """Answers GET /record."""
        worker = self._worker
        return Reply(
            200,
            {
                "service": self._service,
                "now_ms": now_ms(),
                **asdict(self._record),
                "in_progress": worker.in_progress,
                "greatest_in_progress": worker.peak_in_progress,
                "greatest_running": worker.slots.peak_running,
                # In this record, "unnoticed" is the undetected cold state and
                # "falls" are outages caused by jobs above the limit of a cold
                # leaf; crashes are not included.
                "cold": worker.cold.is_cold,
                "greatest_cold": worker.cold.peak,
                "greatest_cold_unnoticed": worker.cold.peak_undetected,
                "greatest_cold_batch": worker.peak_cold_batch,
                "falls": worker.cold_failures,
                "crashes": worker.crash_count,
                "stops": worker.stop_counts,
                "reply_faults": self._reply_sender.fault_counts,
                "connections_open": self._proxy.open_count,
                "connections_opened": self._proxy.opened_count,
                "connections_refused": self._proxy.refused_count,
            },
        )

    async def show_faults(self, request: Request) -> Reply:
        """Answers GET /faults."""
        return Reply(200, self._faults.model_dump())

    async def change_faults(self, request: Request) -> Reply:
        """Answers POST /faults.

        The body holds new values of LeafFaults fields and, optionally, a
        one-time Action in the field "act".
        """
        changes = await endpoints.read_json(request)
        action = _pop_action(changes)
        self._apply_faults(endpoints.apply_changes(self._faults, changes))
        if action is not None:
            self._perform(action)
        return Reply(200, self._faults.model_dump())

    async def drain(self) -> None:
        """Refuses new jobs and waits until none is running or queued."""
        self._apply_faults(self._faults.model_copy(update={"draining": True}))
        await self._worker.wait_until_idle()

    def _apply_faults(self, faults: LeafFaults) -> None:
        for version in faults.versions:
            # Builds the index in advance; shard_index() caches it.
            _shard_index(version)
        self._faults = faults
        self._proxy.configure(faults.connections, faults.connect_ms / 1000)
        self._worker.configure(faults)

    def _perform(self, action: Action) -> None:
        actions = {
            Action.TURN_COLD: self._worker.turn_cold,
            Action.TURN_WARM: self._worker.turn_warm,
            Action.CRASH: self._worker.crash,
        }
        actions[action]()

    async def _run_job(
        self, job: Job, request: Request, build_body: endpoints.BodyFactory
    ) -> Reply | Response:
        try:
            await self._worker.run(job)
        except StoppedError as error:
            status, name = error.reason.value
            return Reply(status, {"error": name})
        # None for a request at the control address, which bypasses the proxy.
        connection = self._proxy.connection(endpoints.client_address(request))
        return await self._reply_sender.send(
            json.dumps(build_body()).encode(), self._faults, connection
        )

    def _record_arrival_time(self, request: Request) -> None:
        client = endpoints.client_address(request)
        connection = self._proxy.connection(client)
        if connection is not None:
            self._record.set_arrival_time(connection.peer)
        elif client is not None:
            # The request came in at the control address.
            self._record.set_arrival_time(client[0])

    def _find_version(self, search: Search) -> Version | None:
        for version in self._faults.versions:
            if (version.version, version.shard) == (
                search.version,
                search.shard,
            ):
                return version
        return None

    def _has_crash_word(self, search: Search) -> bool:
        word = self._faults.crash_word
        return word is not None and any(
            word.lower() in query.text.lower().split()
            for query in search.queries
        )


def _shard_index(version: Version) -> Index:
    return shard_index(version.version, version.shards, version.shard)


def _search_body(search: Search, index: Index) -> dict[str, Any]:
    results = [
        {
            "id": query.id,
            "matches": [vars(x) for x in index.search(query.text, query.k)],
        }
        for query in search.queries
    ]
    return {
        "batch_id": search.batch_id,
        "version": search.version,
        "shard": search.shard,
        "documents": index.document_count,
        "results": results,
    }


def _pop_action(changes: Any) -> Action | None:
    """Removes the field "act" from a POST /faults body and returns it."""
    if not isinstance(changes, dict) or "act" not in changes:
        return None
    try:
        return Action(changes.pop("act"))
    except ValueError as error:
        raise BadRequestError(str(error)) from error


def build_app(leaf: Leaf) -> Starlette:
    """Returns the ASGI application of a leaf."""
    return Starlette(
        routes=[
            json_route("/search", "POST", leaf.search),
            json_route("/submit", "POST", leaf.submit),
            json_route("/cancel", "POST", leaf.cancel),
            json_route("/index", "GET", leaf.show_index),
            json_route("/health", "GET", leaf.health),
            json_route("/load", "GET", leaf.load),
            json_route("/record", "GET", leaf.show_record),
            json_route("/faults", "GET", leaf.show_faults),
            json_route("/faults", "POST", leaf.change_faults),
        ]
    )


async def serve(
    settings: LeafSettings,
    stop: trio.Event,
    *,
    task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves one leaf until stop is set."""
    proxy = Proxy()
    leaf = Leaf(settings, proxy)
    await server.serve_app(
        build_app(leaf),
        proxy,
        settings,
        stop,
        drain=leaf.drain,
        task_status=task_status,
    )


def run(settings: str | None = None, **flags: Any) -> None:
    """Serves one leaf until SIGTERM.

    Args:
        settings: Path of a JSON file with LeafSettings fields, given as
            --settings.
        **flags: LeafSettings fields; override those of the file.
    """
    values = server.read_settings(LeafSettings, settings, flags)
    trio.run(server.serve_until_signal, serve, values)


def main() -> None:
    """Runs the command line."""
    server.run_command(run)
