"""Calls to one HTTP server, each on a connection of its own or a free one."""

from __future__ import annotations

import trio

from sapphire_gateway.calls import Call, CallResult
from sapphire_gateway.connection import Connection
from sapphire_gateway.messages import Reply
from sapphire_gateway.store import StoreUnavailableError


class NoReplyError(StoreUnavailableError):
    """A server did not answer.

    Attributes:
        was_sent: It may have received the request.
    """

    def __init__(self, message: str, was_sent: bool = True) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class HttpClient:
    """Calls a server that answers one request at a time on a connection."""

    def __init__(self, address: str) -> None:
        """Prepares a client.

        Args:
            address: Host and port of the server.
        """
        self._address = address
        self._nursery: trio.Nursery | None = None
        self._connections: list[Connection] = []

    @property
    def address(self) -> str:
        """Host and port of the server."""
        return self._address

    def start(self, nursery: trio.Nursery) -> None:
        """Sets the nursery in which connections run."""
        self._nursery = nursery

    def set_address(self, address: str) -> None:
        """Moves to another address of the server."""
        if address != self._address:
            self._address = address
            self.reconnect("the server's address changed")

    def reconnect(self, reason: str) -> None:
        """Closes all connections, so that the next call opens a new one."""
        for connection in self._connections:
            connection.close(reason)

    async def request(
        self,
        method: str,
        target: str,
        wait_s: float,
        content: bytes = b"",
        content_type: str = "application/json",
    ) -> Reply:
        """Sends a request and returns the reply, whatever its status.

        Raises:
            NoReplyError: No whole reply came in time.
        """
        ended = trio.Event()
        ends: list[CallResult] = []

        def on_end(end: CallResult) -> None:
            ends.append(end)
            ended.set()

        now = trio.current_time()
        head = _head(method, target, self._address, content, content_type)
        call = Call(
            head + content, b"", False, False, now + wait_s, on_end, now
        )
        connection = self._connection()
        connection.start(call)
        if not connection.is_connected:
            assert self._nursery is not None
            self._nursery.start_soon(connection.run)
        try:
            with trio.move_on_after(wait_s):
                await ended.wait()
        finally:
            if not call.is_over:
                connection.close("no answer in time")
        reply = ends[0].reply
        if reply is None:
            raise NoReplyError(
                f"{method} {target.partition('?')[0]} at {self._address}:"
                f" {ends[0].detail}.",
                ends[0].was_sent,
            )
        return reply

    def _connection(self) -> Connection:
        """Returns a free connection, or a new one."""
        self._connections = [c for c in self._connections if not c.is_closed]
        for connection in self._connections:
            if connection.is_free:
                return connection
        connection = Connection(self._address, _accept, _ignore, _ignore)
        self._connections.append(connection)
        return connection


def _accept(reply: Reply, call: Call) -> CallResult:
    return CallResult(reply, None)


def _ignore(connection: Connection) -> None:
    """Connections are looked at when the next call needs them."""


def _head(
    method: str, target: str, host: str, content: bytes, content_type: str
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    if method != "GET":
        lines.append(f"Content-Type: {content_type}")
        lines.append(f"Content-Length: {len(content)}")
    return "\r\n".join([*lines, "", ""]).encode()
