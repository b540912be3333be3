"""TCP proxy that injects connection faults in front of the HTTP server.

hypercorn gives an application no access to its connections. Faults of a
connection (refused, closed, reply sent twice) are therefore injected here.
"""

from __future__ import annotations

import contextlib
import math
import socket
from collections.abc import AsyncIterator, Callable

import trio

_RECEIVE_BYTES = 1 << 16
_BACKLOG = 128
# Another process can briefly occupy the port as the source port of an outgoing
# connection.
_BIND_RETRY_S = 0.05
_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.BusyResourceError,
)

Address = tuple[str, int]


class Connection:
    """A client's connection to the proxy."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self._stream = stream
        self._send_lock = trio.Lock()
        self._scope = trio.CancelScope()
        self._peer = str(stream.socket.getpeername()[0])

    @property
    def peer(self) -> str:
        """IP address of the client."""
        return self._peer

    def abort(self) -> None:
        """Closes the connection without sending anything more."""
        self._scope.cancel()

    async def send(self, data: bytes) -> None:
        """Sends bytes to the client; ignores a broken connection."""
        async with self._send_lock:
            with contextlib.suppress(*_CONNECTION_ERRORS):
                await self._stream.send_all(data)

    async def forward(self, upstream: trio.SocketStream) -> None:
        """Forwards bytes in both directions until either side closes.

        Args:
            upstream: Connection of the proxy to the server.
        """
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._forward_requests, upstream)
                with contextlib.suppress(*_CONNECTION_ERRORS):
                    while data := await upstream.receive_some(_RECEIVE_BYTES):
                        await self.send(bytes(data))
                nursery.cancel_scope.cancel()

    async def _forward_requests(self, upstream: trio.SocketStream) -> None:
        with contextlib.suppress(*_CONNECTION_ERRORS):
            while data := await self._stream.receive_some(_RECEIVE_BYTES):
                await upstream.send_all(data)
        self._scope.cancel()


class Proxy:
    """Accepts connections and forwards each of them to one server."""

    def __init__(
        self, max_connections: float = math.inf, connect_s: float = 0.0
    ) -> None:
        self._max_connections = max_connections
        self._connect_s = connect_s
        self._connect_lock = trio.Lock()
        self._connections: dict[Address, Connection] = {}
        self._open_count = 0
        self._opened_count = 0
        self._refused_count = 0
        self._offline_until = -math.inf
        self._changed = trio.Event()

    @property
    def open_count(self) -> int:
        """Number of connections that are open now."""
        return self._open_count

    @property
    def opened_count(self) -> int:
        """Number of connections opened since the start, also closed ones."""
        return self._opened_count

    @property
    def refused_count(self) -> int:
        """Number of connections closed at once because too many were open.

        Those that the kernel refuses while the proxy is offline don't count.
        """
        return self._refused_count

    def configure(self, max_connections: float, connect_s: float) -> None:
        """Sets the limit of open connections and the set-up time.

        Connections are set up one after the other, each in connect_s seconds,
        so that several new ones wait for each other.
        """
        self._max_connections = max_connections
        self._connect_s = connect_s

    def connection(self, client: Address | None) -> Connection | None:
        """Returns the connection that carries a request to the server.

        Args:
            client: Client address of the request as the server sees it, which
                is the proxy's address on its connection to the server.

        Returns:
            The connection, or None if the client connected to the server
            directly or the connection has been closed.
        """
        return None if client is None else self._connections.get(client)

    def abort_connections(
        self, predicate: Callable[[Connection], bool]
    ) -> None:
        """Closes the matching connections; new ones are still accepted."""
        for connection in list(self._connections.values()):
            if predicate(connection):
                connection.abort()

    def take_offline(self, duration_s: float = math.inf) -> None:
        """Closes all connections and refuses new ones for duration_s seconds.

        By default, new connections are refused until bring_online() is called.
        """
        self._offline_until = trio.current_time() + duration_s
        self._notify_changed()

    def bring_online(self) -> None:
        """Accepts connections again."""
        self._offline_until = -math.inf
        self._notify_changed()

    async def run(
        self,
        address: Address,
        server_address: Address,
        *,
        task_status: trio.TaskStatus[Address] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accepts connections until cancelled.

        Args:
            address: Address to listen on; port 0 selects a free port.
            server_address: Address of the server behind the proxy.
            task_status: Receives the bound address.

        Raises:
            OSError: The address can't be bound.
        """
        listening = await _bind(address, attempts=1)
        bound: Address = listening.getsockname()
        task_status.started(bound)
        while True:
            # The bound socket reserves the port; the kernel refuses
            # connections until it listens.
            await self._wait_until_online()
            listening.listen(_BACKLOG)
            await self._serve_listener(
                trio.SocketListener(listening), server_address
            )
            listening = await _bind(bound)

    def _notify_changed(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    async def _wait_until_online(self) -> None:
        while self._offline_until > trio.current_time():
            with trio.move_on_at(self._offline_until):
                await self._changed.wait()

    async def _serve_listener(
        self, listener: trio.SocketListener, server_address: Address
    ) -> None:
        async with trio.open_nursery() as nursery:

            async def handle(stream: trio.SocketStream) -> None:
                with contextlib.suppress(*_CONNECTION_ERRORS):
                    await self._handle(stream, server_address)

            nursery.start_soon(trio.serve_listeners, handle, [listener])
            while self._offline_until <= trio.current_time():
                await self._changed.wait()
            nursery.cancel_scope.cancel()

    async def _handle(
        self, stream: trio.SocketStream, server_address: Address
    ) -> None:
        if self._open_count >= self._max_connections:
            self._refused_count += 1
            return
        self._opened_count += 1
        self._open_count += 1
        try:
            await self._delay_connection()
            async with self._connect_server(stream, server_address) as (
                connection,
                upstream,
            ):
                await connection.forward(upstream)
        finally:
            self._open_count -= 1

    async def _delay_connection(self) -> None:
        if self._connect_s:
            # The lock makes concurrent connections wait for each other.
            async with self._connect_lock:
                await trio.sleep(self._connect_s)

    @contextlib.asynccontextmanager
    async def _connect_server(
        self, stream: trio.SocketStream, server_address: Address
    ) -> AsyncIterator[tuple[Connection, trio.SocketStream]]:
        connection = Connection(stream)
        async with await trio.open_tcp_stream(*server_address) as upstream:
            source: Address = upstream.socket.getsockname()
            self._connections[source] = connection
            try:
                yield connection, upstream
            finally:
                del self._connections[source]


async def _bind(
    address: Address, attempts: float = math.inf
) -> trio.socket.SocketType:
    failures = 0
    while True:
        bound = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            await bound.bind(address)
        except OSError:
            bound.close()
            failures += 1
            if failures >= attempts:
                raise
            await trio.sleep(_BIND_RETRY_S)
        else:
            return bound
