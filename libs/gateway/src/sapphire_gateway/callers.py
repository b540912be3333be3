"""Connections of callers: requests in, answers out, in order."""

from __future__ import annotations

import collections
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator

import trio
from sapphire_core.routing import ClientLimits

from sapphire_gateway import telemetry
from sapphire_gateway.messages import (
    RECEIVE_BYTES,
    Answer,
    MessageError,
    Request,
    RequestReader,
    encode_answer,
)

# A caller that does not read its answer for this long is cut off.
WRITE_TIMEOUT_S = 10.0
# After a final answer, bytes of the caller are read for this long, so that
# the answer isn't lost in a reset.
LINGER_S = 0.5
# Requests of one connection that are read ahead.
MAX_PIPELINED = 8
BACKLOG = 512
DEFAULT_ROUND_TRIP_S = 0.002
# Place of tcpi_rtt in the kernel's struct tcp_info, in microseconds.
TCP_INFO_BYTES = 104
TCP_INFO_RTT_OFFSET = 68
MICROSECONDS_PER_S = 1e6
HEAD = b"HEAD"


class Caller:
    """A caller's connection, as a running request sees it."""

    def __init__(self, host: str, round_trip_s: float) -> None:
        """Starts with a connection that was accepted.

        Args:
            host: Address of the caller, without its port.
            round_trip_s: Time to the caller and back.
        """
        self.host = host
        self.round_trip_s = round_trip_s
        self.is_gone = False
        self._on_gone: Callable[[], None] | None = None

    @contextlib.contextmanager
    def watched(self, on_gone: Callable[[], None]) -> Iterator[None]:
        """Calls back while the block runs if the caller leaves."""
        self._on_gone = on_gone
        try:
            yield
        finally:
            self._on_gone = None

    def gone(self) -> None:
        """Notes that the caller has closed the connection."""
        self.is_gone = True
        if self._on_gone is not None:
            self._on_gone()


Handler = Callable[[Request, Caller], Awaitable[Answer]]


class CallerConnection:
    """Serves one connection until either side closes it."""

    def __init__(
        self,
        stream: trio.SocketStream,
        handler: Handler,
        limits: ClientLimits,
        is_leaving: Callable[[], bool],
        on_sent: Callable[[Request, float], None],
    ) -> None:
        self._stream = stream
        self._handler = handler
        self._limits = limits
        self._is_leaving = is_leaving
        self._on_sent = on_sent
        self._reader = RequestReader(limits.header_bytes, limits.body_bytes)
        self._requests: collections.deque[Request] = collections.deque()
        self._arrived = trio.Event()
        self._room = trio.Event()
        self._error: MessageError | None = None
        self._has_ended = False
        self._is_first = True
        self._started_at: float | None = None
        self._caller = Caller(
            _peer_host(stream.socket), _round_trip_s(stream.socket)
        )
        self._is_answering = False
        self._scope = trio.CancelScope()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        return not (
            self._is_answering
            or self._requests
            or not self._reader.is_between_messages
        )

    def stop_if_idle(self) -> None:
        """Closes the connection unless a request is on its way."""
        if self.is_idle:
            self._scope.cancel()

    async def run(self) -> None:
        """Serves the connection, then closes it."""
        try:
            with self._scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read)
                    await self._serve()
                    nursery.cancel_scope.cancel()
        finally:
            await trio.aclose_forcefully(self._stream)

    async def _read(self) -> None:
        while self._error is None:
            while len(self._requests) >= MAX_PIPELINED:
                self._room = trio.Event()
                await self._room.wait()
            data = await self._receive()
            if not data:
                self._has_ended = True
                self._caller.gone()
                self._arrived.set()
                return
            self._feed(data)

    async def _receive(self) -> bytes:
        try:
            return bytes(await self._stream.receive_some(RECEIVE_BYTES))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b""

    def _feed(self, data: bytes) -> None:
        now = trio.current_time()
        if self._reader.is_between_messages:
            self._started_at = now
        try:
            self._reader.feed(data)
        except MessageError as error:
            self._error = error
        for request in self._reader.complete:
            request.received_at = now
            request.is_first = self._is_first
            self._is_first = False
            self._requests.append(request)
        self._reader.complete.clear()
        if self._reader.is_between_messages:
            self._started_at = None
        self._arrived.set()

    async def _serve(self) -> None:
        while True:
            request = await self._next()
            if request is None:
                return
            self._is_answering = True
            answer = await self._handler(request, self._caller)
            if self._caller.is_gone:
                return
            closes = not request.keeps_alive or self._is_leaving()
            is_head = request.method == HEAD
            if not await self._send(encode_answer(answer, closes, is_head)):
                return
            self._on_sent(request, trio.current_time())
            self._is_answering = False
            if closes:
                await self._linger()
                return

    async def _next(self) -> Request | None:
        """Returns the next request, or None when the connection ends."""
        idle_since = trio.current_time()
        while not self._requests:
            if self._error is not None:
                await self._refuse(self._error)
                return None
            if self._has_ended:
                return None
            self._arrived = trio.Event()
            deadline = self._deadline(idle_since)
            with trio.move_on_at(deadline) as scope:
                await self._arrived.wait()
            if scope.cancelled_caught and deadline <= trio.current_time():
                if self._started_at is None:
                    return None
                if self._deadline(idle_since) <= trio.current_time():
                    late = MessageError("the request took too long", 408)
                    await self._refuse(late)
                    return None
        request = self._requests.popleft()
        self._room.set()
        return request

    def _deadline(self, idle_since: float) -> float:
        if self._started_at is None:
            return idle_since + self._limits.idle_timeout_s
        if self._reader.is_head_complete:
            return self._started_at + self._limits.idle_timeout_s
        return self._started_at + self._limits.header_timeout_s

    async def _refuse(self, error: MessageError) -> None:
        telemetry.event("request_unreadable", error=str(error))
        body = str(error).encode()
        answer = Answer(error.status, [(b"Content-Type", b"text/plain")], body)
        await self._send(encode_answer(answer, True, False))
        await self._linger()

    async def _send(self, data: bytes) -> bool:
        with trio.move_on_after(WRITE_TIMEOUT_S) as scope:
            try:
                await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
        return not scope.cancelled_caught

    async def _linger(self) -> None:
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await self._stream.send_eof()
        with trio.move_on_after(LINGER_S):
            while not self._has_ended and self._error is None:
                self._arrived = trio.Event()
                await self._arrived.wait()


def _peer_host(sock: trio.socket.SocketType) -> str:
    try:
        return str(sock.getpeername()[0])
    except OSError:
        # The caller has closed the connection already.
        return ""


def _round_trip_s(sock: trio.socket.SocketType) -> float:
    """Returns the round-trip time that the kernel measured at the start."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        (microseconds,) = struct.unpack_from("I", info, TCP_INFO_RTT_OFFSET)
    except (OSError, struct.error):
        return DEFAULT_ROUND_TRIP_S
    return float(microseconds) / MICROSECONDS_PER_S


class CallerServer:
    """Accepts callers on one address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        is_leaving: Callable[[], bool],
        on_sent: Callable[[Request, float], None],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._is_leaving = is_leaving
        self._on_sent = on_sent
        self._connections: set[CallerConnection] = set()
        self._listening = trio.CancelScope()

    @property
    def connections(self) -> int:
        """Open connections of callers."""
        return len(self._connections)

    @property
    def busy(self) -> int:
        """Connections with a request that is being read or answered."""
        return sum(not c.is_idle for c in self._connections)

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens on an address until cancelled."""
        host, _, port = address.rpartition(":")
        listeners = await trio.open_tcp_listeners(
            int(port), host=host, backlog=BACKLOG
        )
        task_status.started()
        async with trio.open_nursery() as handlers:
            with self._listening:
                await trio.serve_listeners(
                    self._accepted, listeners, handler_nursery=handlers
                )

    def stop(self) -> None:
        """Accepts no further connection and closes the idle ones.

        Connections with a request close after its answer.
        """
        self._listening.cancel()
        for connection in self._connections:
            connection.stop_if_idle()

    async def _accepted(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            self._handler,
            self._limits(),
            self._is_leaving,
            self._on_sent,
        )
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
