"""Stand-in for the platform's key-value service.

The daemons share state through this service of the platform that they run on.
It has compare-and-swap writes, watches and leases; the stand-in adds faults.
"""

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

from sapphire_standins import endpoints, server
from sapphire_standins.endpoints import Reply, RequestBody, json_route
from sapphire_standins.faults import PlatformFaults
from sapphire_standins.proxy import Connection, Proxy
from sapphire_standins.rate import RateLimiter
from sapphire_standins.server import Addresses
from sapphire_standins.store import (
    ConflictError,
    Item,
    LeaseError,
    Store,
    ValueSizeError,
)

MAX_WAIT_MS = 60_000
# All other operations count as writes, also opening and renewing a lease.
_READ_OPERATIONS = frozenset({"get", "watch"})
_RATE_LIMITED = Reply(429, {"error": "limited"})
_UNAVAILABLE = Reply(503, {"error": "down"})

OperationHandler = Callable[[Request], Awaitable[Reply]]


class PlatformSettings(PlatformFaults, server.ListenSettings):
    """Settings of the service; POST /faults can change the faults later."""

    seed: int = Field(1, description="Seed of the random faults.")


class Put(RequestBody):
    """Body of PUT /kv/{key}.

    Attributes:
        value: The new value.
        expect: Version that the key must have; 0 if it must be absent.
        lease: Lease whose expiry removes the key; None for a key that stays.
    """

    value: str
    expect: int = Field(ge=0)
    lease: str | None = None


class LeaseCall(RequestBody):
    """Body of POST /lease."""

    ttl_ms: float = Field(gt=0)


class KeyValueService:
    """HTTP endpoints of the key-value service.

    Args:
        settings: The faults at the start, and their seed.
        proxy: Accepts the clients' connections; used to refuse and close them.
    """

    def __init__(self, settings: PlatformSettings, proxy: Proxy) -> None:
        self._proxy = proxy
        self._store = Store()
        self._random = random.Random(settings.seed)
        self._change_events: dict[str, trio.Event] = {}
        self._lease_added = trio.Event()
        self._call_counts: Counter[str] = Counter()
        # Counts by operation and HTTP status, or "old" for a stale value,
        # "lost" for an applied write without a reply and "cut" for any call
        # that ended with a dropped connection, lost ones included.
        self._result_counts: Counter[str] = Counter()
        self._caller_counts: Counter[str] = Counter()
        self._waiting_watches = 0
        self._faults = PlatformFaults.model_validate(
            settings.model_dump(include=set(PlatformFaults.model_fields))
        )
        self._read_limiter = RateLimiter(self._faults.read_rate)
        self._write_limiter = RateLimiter(self._faults.write_rate)
        self._apply_faults(self._faults)

    async def get(self, request: Request) -> Reply:
        """Answers GET /kv/{key}; old_share can make the value stale."""
        key = request.path_params["key"]
        if self._random.random() < self._faults.old_share:
            self._result_counts["get old"] += 1
            return _item_reply(self._store.get_previous(key))
        return _item_reply(self._store.get(key))

    async def put(self, request: Request) -> Reply:
        """Answers PUT /kv/{key}."""
        key = request.path_params["key"]
        write = await endpoints.read_body(Put, request)
        try:
            version = self._store.put(
                key, write.value, write.expect, write.lease
            )
        except ConflictError as error:
            return Reply(409, {"error": "conflict", "version": error.current})
        except ValueSizeError:
            return Reply(413, {"error": "too_large"})
        except LeaseError:
            return Reply(410, {"error": "no_lease"})
        self._notify_watchers(key)
        return Reply(200, {"version": version})

    async def watch(self, request: Request) -> Reply:
        """Answers GET /watch/{key}.

        Replies at once if the key's version is greater than "after", else on
        the next change of the key or after "wait_ms". A removed key has
        version 0, so a watch that starts after the removal misses it and waits
        for the next change.
        """
        key = request.path_params["key"]
        wait_ms = min(_int_parameter(request, "wait_ms"), MAX_WAIT_MS)
        if self._store.get(key).version <= _int_parameter(request, "after"):
            await self._wait_for_change(key, wait_ms / 1000)
        return _item_reply(self._store.get(key))

    async def open_lease(self, request: Request) -> Reply:
        """Answers POST /lease."""
        body = await endpoints.read_body(LeaseCall, request)
        now = trio.current_time()
        lease = self._store.open_lease(body.ttl_ms / 1000, now)
        self._notify_lease_added()
        return Reply(200, {"lease": lease, "ttl_ms": body.ttl_ms})

    async def renew_lease(self, request: Request) -> Reply:
        """Answers POST /lease/{lease}/renew."""
        lease = request.path_params["lease"]
        try:
            ttl_s = self._store.renew_lease(lease, trio.current_time())
        except LeaseError:
            return Reply(410, {"error": "no_lease"})
        return Reply(200, {"lease": lease, "ttl_ms": ttl_s * 1000})

    async def show_record(self, request: Request) -> Reply:
        """Answers GET /record."""
        return Reply(
            200,
            {
                "calls": dict(self._call_counts),
                "results": dict(self._result_counts),
                "callers": dict(self._caller_counts),
                "waiting_watches": self._waiting_watches,
                "keys": self._store.keys,
                "connections_open": self._proxy.open_count,
                "connections_opened": self._proxy.opened_count,
            },
        )

    async def show_faults(self, request: Request) -> Reply:
        """Answers GET /faults; lose_next and drop_next show what is left."""
        return Reply(200, self._faults.model_dump())

    async def change_faults(self, request: Request) -> Reply:
        """Answers POST /faults."""
        changes = await endpoints.read_json(request)
        self._apply_faults(endpoints.apply_changes(self._faults, changes))
        return Reply(200, self._faults.model_dump())

    async def expire_leases(self) -> None:
        """Removes expired leases and their keys; runs until cancelled."""
        while True:
            added = self._lease_added
            expires_at = self._store.next_expiry()
            with trio.move_on_at(expires_at):
                await added.wait()
            for key in self._store.expire_leases(trio.current_time()):
                self._notify_watchers(key)

    def wrap_operation(
        self, name: str, handler: OperationHandler
    ) -> OperationHandler:
        """Wraps a handler with call counts, rate limits and faults."""
        limiter = (
            self._read_limiter
            if name in _READ_OPERATIONS
            else self._write_limiter
        )

        async def handle(request: Request) -> Reply:
            connection = self._proxy.connection(
                endpoints.client_address(request)
            )
            self._count_call(name, connection)
            if self._is_unreachable(connection):
                return self._drop_connection(name, connection)
            if not limiter.try_acquire(trio.current_time()):
                self._result_counts[f"{name} 429"] += 1
                return _RATE_LIMITED
            if name not in _READ_OPERATIONS and self._consume_fault(
                "drop_next"
            ):
                return self._drop_connection(name, connection)
            reply = await handler(request)
            return await self._apply_reply_faults(name, reply, connection)

        return handle

    async def _apply_reply_faults(
        self, name: str, reply: Reply, connection: Connection | None
    ) -> Reply:
        await trio.sleep(self._faults.slow_ms / 1000)
        if self._is_unreachable(connection):
            return self._drop_connection(name, connection)
        applied = name not in _READ_OPERATIONS and reply.status == 200
        if applied and self._should_lose_reply():
            self._result_counts[f"{name} lost"] += 1
            return self._drop_connection(name, connection)
        self._result_counts[f"{name} {reply.status}"] += 1
        return reply

    def _count_call(self, name: str, connection: Connection | None) -> None:
        self._call_counts[name] += 1
        if connection is not None:
            self._caller_counts[connection.peer] += 1

    def _is_unreachable(self, connection: Connection | None) -> bool:
        """Whether the service is down or has cut off the client."""
        faults = self._faults
        peer = None if connection is None else connection.peer
        return faults.down or peer in faults.cut_off

    def _drop_connection(
        self, name: str, connection: Connection | None
    ) -> Reply:
        """Closes the connection without a reply.

        A request at the control address has no proxied connection to close and
        gets 503.
        """
        self._result_counts[f"{name} cut"] += 1
        if connection is not None:
            connection.abort()
        return _UNAVAILABLE

    def _should_lose_reply(self) -> bool:
        if self._consume_fault("lose_next"):
            return True
        return self._random.random() < self._faults.lose_share

    def _consume_fault(self, counter: str) -> bool:
        """Decrements lose_next or drop_next; returns whether it was above 0.

        Args:
            counter: Name of the field.
        """
        remaining: int = getattr(self._faults, counter)
        if not remaining:
            return False
        self._faults = self._faults.model_copy(update={counter: remaining - 1})
        return True

    def _apply_faults(self, faults: PlatformFaults) -> None:
        self._faults = faults
        self._read_limiter.configure(faults.read_rate)
        self._write_limiter.configure(faults.write_rate)
        if faults.refuse:
            self._proxy.take_offline()
        else:
            self._proxy.bring_online()
        self._proxy.abort_connections(
            lambda x: faults.down or x.peer in faults.cut_off
        )

    def _notify_watchers(self, key: str) -> None:
        event = self._change_events.pop(key, None)
        if event is not None:
            event.set()

    async def _wait_for_change(self, key: str, timeout_s: float) -> None:
        change = self._change_events.setdefault(key, trio.Event())
        self._waiting_watches += 1
        try:
            with trio.move_on_after(timeout_s):
                await change.wait()
        finally:
            self._waiting_watches -= 1

    def _notify_lease_added(self) -> None:
        self._lease_added.set()
        self._lease_added = trio.Event()


def _int_parameter(request: Request, name: str) -> int:
    """Returns a query parameter, or 0 if it is missing.

    Raises:
        BadRequestError: The value is not an integer.
    """
    try:
        return int(request.query_params.get(name, 0))
    except ValueError as error:
        raise BadRequestError(f"{name} is not a number.") from error


def _item_reply(item: Item) -> Reply:
    return Reply(200, {"value": item.value, "version": item.version})


def build_app(service: KeyValueService) -> Starlette:
    """Returns the ASGI application of the service."""
    wrap = service.wrap_operation
    return Starlette(
        routes=[
            json_route("/kv/{key:path}", "GET", wrap("get", service.get)),
            json_route("/kv/{key:path}", "PUT", wrap("put", service.put)),
            json_route(
                "/watch/{key:path}", "GET", wrap("watch", service.watch)
            ),
            json_route("/lease", "POST", wrap("lease", service.open_lease)),
            json_route(
                "/lease/{lease}/renew",
                "POST",
                wrap("renew", service.renew_lease),
            ),
            json_route("/record", "GET", service.show_record),
            json_route("/faults", "GET", service.show_faults),
            json_route("/faults", "POST", service.change_faults),
        ]
    )


async def serve(
    settings: PlatformSettings,
    stop: trio.Event,
    *,
    task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves the key-value service until stop is set."""
    proxy = Proxy()
    service = KeyValueService(settings, proxy)
    await server.serve_app(
        build_app(service),
        proxy,
        settings,
        stop,
        background=service.expire_leases,
        task_status=task_status,
    )


def run(settings: str | None = None, **flags: Any) -> None:
    """Serves the key-value service until SIGTERM.

    Args:
        settings: Path of a JSON file with PlatformSettings fields.
        **flags: PlatformSettings fields; override those of the file.
    """
    values = server.read_settings(PlatformSettings, settings, flags)
    trio.run(server.serve_until_signal, serve, values)


def main() -> None:
    """Runs the command line."""
    server.run_command(run)
