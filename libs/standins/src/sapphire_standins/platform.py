"""Stand-in of the platform's key-value service."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import trio
from pydantic import Field
from sapphire_core.errors import BadRequestError
from starlette.applications import Starlette
from starlette.requests import Request

from sapphire_standins import calls, server
from sapphire_standins.calls import Call, Reply, route
from sapphire_standins.faults import PlatformFaults
from sapphire_standins.gate import Connection, Gate
from sapphire_standins.rate import RateLimit
from sapphire_standins.server import Addresses
from sapphire_standins.store import (
    ConflictError,
    Item,
    LeaseError,
    Store,
    ValueSizeError,
)

MAX_WAIT_MS = 60_000
_READS = frozenset({"get", "watch"})
_LIMITED = Reply(429, {"error": "limited"})
_NO_ANSWER = Reply(503, {"error": "down"})

Operation = Callable[[Request], Awaitable[Reply]]


class PlatformSettings(PlatformFaults, server.ListenSettings):
    """Settings of the platform; a fault can be set from the start."""

    seed: int = Field(1, description="Of the faults with a share.")


class Put(Call):
    """Body of PUT /kv/{key}."""

    value: str
    expect: int = Field(ge=0)
    lease: str | None = None


class LeaseCall(Call):
    """Body of POST /lease."""

    ttl_ms: float = Field(gt=0)


class Platform:
    """Answers the calls of the key-value service."""

    def __init__(self, settings: PlatformSettings, gate: Gate) -> None:
        self._gate = gate
        self._store = Store()
        self._random = random.Random(settings.seed)
        self._changes: dict[str, trio.Event] = {}
        self._leases_changed = trio.Event()
        self._calls: Counter[str] = Counter()
        self._results: Counter[str] = Counter()
        self._callers: Counter[str] = Counter()
        self._waiting = 0
        self._faults = PlatformFaults.model_validate(
            settings.model_dump(include=set(PlatformFaults.model_fields))
        )
        self._reads = RateLimit(self._faults.read_rate)
        self._writes = RateLimit(self._faults.write_rate)
        self._apply(self._faults)

    async def get(self, request: Request) -> Reply:
        """Answers GET /kv/{key}, sometimes with an old value."""
        key = request.path_params["key"]
        if self._random.random() < self._faults.old_share:
            self._results["get old"] += 1
            return _item_reply(self._store.get_old(key))
        return _item_reply(self._store.get(key))

    async def put(self, request: Request) -> Reply:
        """Answers PUT /kv/{key}."""
        key = request.path_params["key"]
        call = await calls.read_call(Put, request)
        try:
            version = self._store.put(key, call.value, call.expect, call.lease)
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
        wait_ms = min(_number(request, "wait_ms"), MAX_WAIT_MS)
        if self._store.get(key).version <= _number(request, "after"):
            await self._wait_for_change(key, wait_ms / 1000)
        return _item_reply(self._store.get(key))

    async def open_lease(self, request: Request) -> Reply:
        """Answers POST /lease."""
        call = await calls.read_call(LeaseCall, request)
        now = trio.current_time()
        lease = self._store.open_lease(call.ttl_ms / 1000, now)
        self._wake_leases()
        return Reply(200, {"lease": lease, "ttl_ms": call.ttl_ms})

    async def renew_lease(self, request: Request) -> Reply:
        """Answers POST /lease/{lease}/renew."""
        lease = request.path_params["lease"]
        try:
            ttl_s = self._store.renew(lease, trio.current_time())
        except LeaseError:
            return Reply(410, {"error": "no_lease"})
        return Reply(200, {"lease": lease, "ttl_ms": ttl_s * 1000})

    async def show_record(self, request: Request) -> Reply:
        """Answers GET /record."""
        return Reply(
            200,
            {
                "calls": dict(self._calls),
                "results": dict(self._results),
                "callers": dict(self._callers),
                "waiting_watches": self._waiting,
                "keys": self._store.keys,
                "connections_open": self._gate.open,
                "connections_opened": self._gate.opened,
            },
        )

    async def show_faults(self, request: Request) -> Reply:
        """Answers GET /faults; counted faults show what remains."""
        return Reply(200, self._faults.model_dump())

    async def change_faults(self, request: Request) -> Reply:
        """Answers POST /faults."""
        changes = await calls.read_json(request)
        self._apply(calls.changed(self._faults, changes))
        return Reply(200, self._faults.model_dump())

    async def run_leases(self) -> None:
        """Removes the keys of lapsed leases until cancelled."""
        while True:
            changed = self._leases_changed
            lapses_at = self._store.next_lapse()
            with trio.move_on_at(lapses_at):
                await changed.wait()
            for key in self._store.lapse(trio.current_time()):
                self._announce(key)

    def operation(self, name: str, answer: Operation) -> Operation:
        """Returns an operation with counts, limits and faults around it."""
        limit = self._reads if name in _READS else self._writes

        async def call(request: Request) -> Reply:
            connection = self._gate.connection(calls.client_of(request))
            self._count(name, connection)
            if self._is_cut(connection):
                return self._cut(name, connection)
            if not limit.allow(trio.current_time()):
                self._results[f"{name} 429"] += 1
                return _LIMITED
            if name not in _READS and self._take("drop_next"):
                return self._cut(name, connection)
            reply = await answer(request)
            return await self._send(name, reply, connection)

        return call

    async def _send(
        self, name: str, reply: Reply, connection: Connection | None
    ) -> Reply:
        await trio.sleep(self._faults.slow_ms / 1000)
        if self._is_cut(connection):
            return self._cut(name, connection)
        applied = name not in _READS and reply.status == 200
        if applied and self._loses_answer():
            self._results[f"{name} lost"] += 1
            return self._cut(name, connection)
        self._results[f"{name} {reply.status}"] += 1
        return reply

    def _count(self, name: str, connection: Connection | None) -> None:
        self._calls[name] += 1
        if connection is not None:
            self._callers[connection.peer] += 1

    def _is_cut(self, connection: Connection | None) -> bool:
        faults = self._faults
        peer = None if connection is None else connection.peer
        return faults.down or peer in faults.cut_off

    def _cut(self, name: str, connection: Connection | None) -> Reply:
        """Closes the connection; at the control address it answers 503."""
        self._results[f"{name} cut"] += 1
        if connection is not None:
            connection.abort()
        return _NO_ANSWER

    def _loses_answer(self) -> bool:
        if self._take("lose_next"):
            return True
        return self._random.random() < self._faults.lose_share

    def _take(self, counter: str) -> bool:
        """Takes one from a counted fault; False if none remains."""
        remaining: int = getattr(self._faults, counter)
        if not remaining:
            return False
        self._faults = self._faults.model_copy(update={counter: remaining - 1})
        return True

    def _apply(self, faults: PlatformFaults) -> None:
        self._faults = faults
        self._reads.configure(faults.read_rate)
        self._writes.configure(faults.write_rate)
        if faults.refuse:
            self._gate.shut()
        else:
            self._gate.reopen()
        self._gate.cut(lambda x: faults.down or x.peer in faults.cut_off)

    def _announce(self, key: str) -> None:
        event = self._changes.pop(key, None)
        if event is not None:
            event.set()

    async def _wait_for_change(self, key: str, seconds: float) -> None:
        change = self._changes.setdefault(key, trio.Event())
        self._waiting += 1
        try:
            with trio.move_on_after(seconds):
                await change.wait()
        finally:
            self._waiting -= 1

    def _wake_leases(self) -> None:
        self._leases_changed.set()
        self._leases_changed = trio.Event()


def _number(request: Request, name: str) -> int:
    try:
        return int(request.query_params.get(name, 0))
    except ValueError as error:
        raise BadRequestError(f"{name} is not a number.") from error


def _item_reply(item: Item) -> Reply:
    return Reply(200, {"value": item.value, "version": item.version})


def build_app(platform: Platform) -> Starlette:
    """Returns the ASGI app of the service."""
    wrap = platform.operation
    return Starlette(
        routes=[
            route("/kv/{key:path}", "GET", wrap("get", platform.get)),
            route("/kv/{key:path}", "PUT", wrap("put", platform.put)),
            route("/watch/{key:path}", "GET", wrap("watch", platform.watch)),
            route("/lease", "POST", wrap("lease", platform.open_lease)),
            route(
                "/lease/{lease}/renew",
                "POST",
                wrap("renew", platform.renew_lease),
            ),
            route("/record", "GET", platform.show_record),
            route("/faults", "GET", platform.show_faults),
            route("/faults", "POST", platform.change_faults),
        ]
    )


async def serve(
    settings: PlatformSettings,
    stop: trio.Event,
    *,
    task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the key-value service until stop is set."""
    gate = Gate()
    platform = Platform(settings, gate)
    await server.serve_app(
        build_app(platform),
        gate,
        settings,
        stop,
        background=platform.run_leases,
        task_status=task_status,
    )


def run(settings: str | None = None, **flags: Any) -> None:
    """Serves the key-value service until SIGTERM.

    Args:
        settings: Path of a JSON file with fields of PlatformSettings.
        **flags: Fields of PlatformSettings; they take precedence.
    """
    values = server.read_settings(PlatformSettings, settings, flags)
    trio.run(server.serve_until_signal, serve, values)


def main() -> None:
    """Runs the command line."""
    server.run_command(run)
