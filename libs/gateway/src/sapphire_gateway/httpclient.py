"""HTTP client for one server, with reuse of connections."""

from __future__ import annotations

import trio
from prometheus_client import Counter

from sapphire_gateway import supervision
from sapphire_gateway.calls import Call, CallResult
from sapphire_gateway.connection import Connection
from sapphire_gateway.messages import Reply
from sapphire_gateway.replyreader import LARGE_REPLY_LIMITS, ReplyLimits
from sapphire_gateway.store import StoreUnavailableError


class NoUsableReplyError(StoreUnavailableError):
    """A server did not send a usable reply.

    It is a StoreUnavailableError because the clients of the store and of other
    VMs' feeds use HttpClient, and their users handle that error.

    Attributes:
        was_sent: Whether the server may have received the request. Also false
            if it rejected the request before acting on it.
    """

    def __init__(self, message: str, was_sent: bool = True) -> None:
        super().__init__(message)
        self.was_sent = was_sent


class HttpClient:
    """Sends requests to one server, each on an idle or new connection."""

    def __init__(
        self,
        address: str,
        reply_limits: ReplyLimits = LARGE_REPLY_LIMITS,
        traffic: Counter | None = None,
    ) -> None:
        """Creates a client without connections.

        Args:
            address: Host and port of the server.
            reply_limits: Limits of each reply.
            traffic: Counts the bytes sent and received, if given.
        """
        self._address = address
        self._traffic = traffic
        self._reply_limits = reply_limits
        self._nursery: trio.Nursery | None = None
        self._connections: list[Connection] = []

    @property
    def address(self) -> str:
        """Host and port of the server."""
        return self._address

    def start(self, nursery: trio.Nursery) -> None:
        """Sets the nursery that runs the connections."""
        self._nursery = nursery

    def set_address(self, address: str) -> None:
        """Sets the server's address; reconnects if it has changed."""
        if address != self._address:
            self._address = address
            self.reconnect("the server's address changed")

    def reconnect(self, reason: str) -> None:
        """Closes all connections; the next request opens a new one."""
        for connection in self._connections:
            connection.close(reason)

    async def request(
        self,
        method: str,
        target: str,
        timeout_s: float,
        content: bytes = b"",
        content_type: str = "application/json",
    ) -> Reply:
        """Sends a request and returns the reply, whatever its status.

        Raises:
            NoUsableReplyError: No complete reply arrived in time, or the
                connection failed before.
        """
        ended = trio.Event()
        results: list[CallResult] = []

        def on_end(result: CallResult) -> None:
            results.append(result)
            ended.set()

        now = trio.current_time()
        head = _request_head(
            method, target, self._address, content, content_type
        )
        call = Call(
            head + content,
            b"",
            False,
            False,
            now + timeout_s,
            on_end,
            now,
            reply_limits=self._reply_limits,
        )
        connection = self._idle_or_new_connection()
        connection.start(call)
        if not connection.was_established:
            assert self._nursery is not None
            self._nursery.start_soon(
                supervision.run_once, "connection", connection.run
            )
        try:
            with trio.move_on_after(timeout_s):
                await ended.wait()
        finally:
            if not call.is_over:
                connection.close("no answer in time")
        reply = results[0].reply
        if reply is None:
            raise NoUsableReplyError(
                f"{method} {target.partition('?')[0]} at {self._address}:"
                f" {results[0].detail}.",
                results[0].was_sent,
            )
        return reply

    def _idle_or_new_connection(self) -> Connection:
        """Returns an idle connection, or a new one."""
        self._connections = [c for c in self._connections if not c.is_closed]
        for connection in self._connections:
            if connection.is_free:
                return connection
        connection = Connection(
            self._address,
            _accept_any_reply,
            _ignore,
            _ignore,
            self._traffic,
        )
        self._connections.append(connection)
        return connection


def _accept_any_reply(reply: Reply, call: Call) -> CallResult:
    return CallResult(reply, None)


def _ignore(connection: Connection) -> None:
    """Does nothing: the state is checked when a connection is next needed."""


def _request_head(
    method: str, target: str, host: str, content: bytes, content_type: str
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    if method != "GET":
        lines.append(f"Content-Type: {content_type}")
        lines.append(f"Content-Length: {len(content)}")
    return "\r\n".join([*lines, "", ""]).encode()
