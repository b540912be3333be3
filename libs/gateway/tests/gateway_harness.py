"""An in-process gateway with scripted leaves on the loopback interface."""

from __future__ import annotations

import contextlib
import dataclasses

import trio
from sapphire_core.leafset import LeafEntry, LeafState
from sapphire_core.retrybudget import RetryBudgetPolicy
from sapphire_core.routing import (
    ClientLimits,
    Configuration,
    Gather,
    Kind,
    Route,
    ServiceSpec,
    WeightedService,
)
from sapphire_gateway.callers import CallerServer
from sapphire_gateway.connectionlimit import CALLERS_SHARE, ConnectionLimit
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.gateway import Gateway
from sapphire_gateway.headernames import HeaderNames
from sapphire_gateway.messagememory import MessageMemory
from sapphire_gateway.pool import LeafPool

HEADER_NAMES = HeaderNames(
    b"X-Id",
    b"X-Left",
    b"X-Signature",
    b"X-Target",
    b"X-Leaf",
    b"X-Load",
    b"X-Limit",
    b"X-Leaving",
    b"X-Pause",
    b"X-Not-Run",
    b"X-Signatures",
    b"X-Missing",
)
HOST = "a.example"
DOMAIN = "z1"


def reply(request, body=b"", status="200 OK", signature="s", extra=()):
    """Returns the bytes of a reply to a request."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *extra]
    if signature:
        lines.append(f"X-Signature: {signature}")
    lines.append(f"X-Id: {field(request, 'x-id')}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def field(request, name):
    """Returns the value of a request's header, or an empty string."""
    for line in request.split(b"\r\n"):
        key, _, value = line.partition(b":")
        if key.strip().lower() == name.encode():
            return value.strip().decode()
    return ""


class Leaf:
    """A leaf whose replies are computed by a function of the request's bytes.

    The function returns the bytes to send, None to send nothing, or a tuple
    with the bytes to send before closing the connection.
    """

    def __init__(self, make_reply) -> None:
        self.make_reply = make_reply
        self.requests = []
        self.closed = 0
        self.address = ""
        self._running = trio.CancelScope()
        self._connections = set()
        # Cancelled to end the listener only.
        self.listening = trio.CancelScope()

    async def serve(self, stream):
        with (
            contextlib.suppress(
                trio.BrokenResourceError, trio.ClosedResourceError
            ),
            trio.CancelScope() as scope,
        ):
            self._connections.add(scope)
            while True:
                data = await stream.receive_some(65536)
                if not data:
                    break
                self.requests.append(data)
                await self._send_reply(stream, data)
        self._connections.discard(scope)
        self.closed += 1

    async def run(self, task_status):
        """Serves connections until crash is called."""
        with self._running:
            async with trio.open_nursery() as connections:
                with self.listening:
                    await trio.serve_tcp(
                        self.serve,
                        0,
                        handler_nursery=connections,
                        task_status=task_status,
                    )

    def close_connections(self):
        """Closes all connections; the leaf still listens."""
        for scope in self._connections:
            scope.cancel()

    def crash(self):
        """Closes all connections and the listening socket."""
        self._running.cancel()

    async def _send_reply(self, stream, data):
        result = self.make_reply(data)
        if hasattr(result, "__await__"):
            result = await result
        if isinstance(result, tuple):
            await stream.send_all(result[0])
            await stream.aclose()
        elif result is not None:
            await stream.send_all(result)


class GatewayHarness:
    """The gateway under test with its registry, pool and listener."""

    def __init__(self, nursery) -> None:
        self.nursery = nursery
        self.view = FleetView("vm1")
        self.memory = MessageMemory()
        self.connection_limit = ConnectionLimit(CALLERS_SHARE)
        self.pool = LeafPool(nursery, HEADER_NAMES, self.memory)
        self.fleet = Fleet(
            self.view,
            self.pool,
            HEADER_NAMES,
            DOMAIN,
            RetryBudgetPolicy(0.2, 50.0, 10.0),
        )
        self.fleet.budget.set_share(1.0)
        self.gateway = Gateway(self.fleet)
        self.is_shutting_down = False
        self.version = 0
        self.address = ("127.0.0.1", 0)

    async def leaf(self, service, make_reply, **more: object):
        """Starts a leaf and adds it to the registry.

        Args:
            service: Service of the leaf.
            make_reply: Function for a new leaf, or a leaf.
            more: Further fields of the leaf's entry.
        """
        is_leaf = isinstance(make_reply, Leaf)
        leaf = make_reply if is_leaf else Leaf(make_reply)
        listeners = await self.nursery.start(leaf.run)
        port = listeners[0].socket.getsockname()[1]
        leaf.address = f"127.0.0.1:{port}"
        entry = LeafEntry(
            f"i-{port}", service, leaf.address, DOMAIN, 2, LeafState.READY,
            0.0, 1000, 1,
        )  # fmt: skip
        entry = dataclasses.replace(entry, **more)
        self.view.registry.put(entry, trio.current_time())
        return leaf

    def configure(self, *routes: Route):
        """Adopts a new configuration with these routes."""
        self.version += 1
        services = {s for route in routes for s in route.services}
        self.view.adopt(
            Configuration(
                self.version,
                routes,
                {s: ServiceSpec(s, 20, 0.0) for s in services},
            )
        )

    async def serve(self):
        """Starts to listen for callers."""
        self.server = CallerServer(
            self.gateway.handle,
            lambda: self.view.configuration.limits,
            lambda: self.is_shutting_down,
            self.gateway.answer_sent,
            self.memory,
            self.connection_limit,
        )
        with trio.socket.socket() as sock:
            await sock.bind(("127.0.0.1", 0))
            self.address = sock.getsockname()
        host, port = self.address
        await self.nursery.start(self.server.serve, f"{host}:{port}")

    async def connect(self, source=None):
        """Opens a connection as a caller, from an IP address if given."""
        return await trio.open_tcp_stream(*self.address, local_address=source)

    async def request(
        self,
        path="/a/x",
        request_id="r1",
        method="GET",
        source=None,
        **more: object,
    ):
        """Sends one request on a new connection and returns the response."""
        async with await self.connect(source) as stream:
            await stream.send_all(
                request_bytes(path, request_id, method, **more)
            )
            return await read_response(stream)


async def serve_peer(nursery, handle):
    """Serves a handler of requests on loopback, and returns the address."""
    server = CallerServer(
        handle, ClientLimits, lambda: False, lambda _request, _now: None
    )
    with trio.socket.socket() as sock:
        await sock.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{sock.getsockname()[1]}"
    await nursery.start(server.serve, address)
    return address


def request_bytes(
    path="/a/x", request_id="r1", method="GET", left=2000, body=b""
):
    """Returns the bytes of a caller's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Id: {request_id}",
        f"X-Left: {left}",
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


@dataclasses.dataclass
class Response:
    """A response as received by a caller."""

    status: int
    headers: dict
    body: bytes


async def read_response(stream):
    """Reads one response, which must state its length."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = await stream.receive_some(65536)
        assert more, f"closed after {data!r}"
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    headers = {}
    for line in lines:
        key, _, value = line.partition(":")
        headers[key.lower()] = value.strip()
    while len(body) < int(headers["content-length"]):
        body += await stream.receive_some(65536)
    return Response(int(first.split()[1]), headers, body)


def single_leaf_route(
    service="s",
    kind=Kind.IDEMPOTENT,
    target_s=0.5,
    max_attempts=2,
    **more: object,
):
    """Returns a route that sends each request to one leaf."""
    return Route(
        "one", HOST, "/a/", kind, 1.5, target_s, max_attempts, 1,
        (WeightedService(service, 1.0),), **more,
    )  # fmt: skip


def search_route(*shards: str, target_s=0.3, min_share=0.5, top=4):
    """Returns a route that sends each request to all shards."""
    return Route(
        "search", HOST, "/a/", Kind.IDEMPOTENT, 1.5, target_s, 2, 1,
        gather=Gather(shards, top, min_share),
    )  # fmt: skip
