"""A connection to a server that handles one request at a time."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Callable

import trio
from sapphire_core.fanout import Failure

from sapphire_gateway.calls import Call, CallResult
from sapphire_gateway.messages import (
    RECEIVE_BYTES,
    MessageError,
    Reply,
    ReplyReader,
)

CONNECT_TIMEOUT_S = 0.5
# Probes of an idle connection, so that a peer that is cut off is noticed.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# Sent bytes that are not acknowledged for this long end the connection.
UNACKNOWLEDGED_MS = 3_000


class Connection:
    """Sends calls one after the other and reads their replies.

    The owner keeps the connection's task running and is told through
    on_free when it may get the next call, and on_closed when it has ended.
    """

    def __init__(
        self,
        address: str,
        judge: Callable[[Reply, Call], CallResult],
        on_free: Callable[[Connection], None],
        on_closed: Callable[[Connection], None],
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._judge = judge
        self._on_free = on_free
        self._on_closed = on_closed
        self._socket: socket.socket | None = None
        self._call: Call | None = None
        self._reader: ReplyReader | None = None
        self._unsent = b""
        self._is_connected = False
        self._is_closed = False
        self._has_received = False
        self._idle_limit_s: float | None = None
        self.free_since = 0.0
        self.connect_s = 0.0

    @property
    def is_free(self) -> bool:
        """Whether a call may be started."""
        return self._is_connected and not self._is_closed and self._call is None

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended or failed."""
        return self._is_closed

    @property
    def is_connected(self) -> bool:
        """Whether the connection was established."""
        return self._is_connected

    @property
    def call(self) -> Call | None:
        """The call that is waiting for its reply."""
        return self._call

    def is_fresh(self, now: float, most_idle_s: float) -> bool:
        """Returns whether the server surely still holds the connection."""
        idle = now - self.free_since
        if self._idle_limit_s is not None and idle >= self._idle_limit_s:
            return False
        return idle < most_idle_s

    def start(self, call: Call) -> None:
        """Sends a call on a free connection, or after connecting."""
        self._call = call
        if self._is_connected:
            self._send(call)

    async def run(self) -> None:
        """Connects, then reads until the connection ends."""
        try:
            if await self._connect():
                await self._read()
        except* trio.ClosedResourceError:
            # Another task has closed the connection meanwhile.
            pass
        finally:
            self.close("connection closed")

    def close(self, reason: str, is_abrupt: bool = False) -> None:
        """Ends the connection; a running call is lost.

        Args:
            reason: Text for the log.
            is_abrupt: The server has ended it.
        """
        if self._is_closed:
            return
        self._is_closed = True
        if self._socket is not None:
            with contextlib.suppress(OSError):
                trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
        call, self._call = self._call, None
        if call is not None:
            call.complete(self._lost(call, reason, is_abrupt))
        self._on_closed(self)

    def _lost(self, call: Call, reason: str, is_abrupt: bool) -> CallResult:
        if not call.sent_at:
            return CallResult(None, Failure.NOT_RUN, reason, was_sent=False)
        silent = not self._has_received
        return CallResult(
            None,
            Failure.LOST,
            reason,
            is_silent=silent,
            is_abrupt=is_abrupt,
        )

    async def _connect(self) -> bool:
        started = trio.current_time()
        self._socket = _new_socket()
        code = self._socket.connect_ex(self._address)
        if code == errno.EINPROGRESS:
            with trio.move_on_after(CONNECT_TIMEOUT_S) as scope:
                await trio.lowlevel.wait_writable(self._socket)
            if scope.cancelled_caught:
                self.close("connecting timed out")
                return False
            if self._is_closed:
                return False
            code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self.close(f"connecting failed: {errno.errorcode.get(code, code)}")
            return False
        self._is_connected = True
        self.free_since = trio.current_time()
        self.connect_s = self.free_since - started
        if self._call is not None:
            self._send(self._call)
        else:
            self._on_free(self)
        return not self._is_closed

    def _send(self, call: Call) -> None:
        assert self._socket is not None
        call.sent_at = trio.current_time()
        if self._reader is None:
            self._reader = ReplyReader(call.is_to_head)
        else:
            self._reader.restart(call.is_to_head)
        self._has_received = False
        try:
            sent = self._socket.send(call.payload)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.close(f"sending failed: {error.strerror}", is_abrupt=True)
            return
        self._unsent = call.payload[sent:]

    async def _read(self) -> None:
        assert self._socket is not None
        while not self._is_closed:
            if self._unsent:
                await self._wait_either()
            else:
                await trio.lowlevel.wait_readable(self._socket)
            if self._is_closed:
                return
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                self.close(f"connection lost: {error.strerror}", is_abrupt=True)
                return
            if data:
                self._received(data)
            else:
                self._ended()

    async def _wait_either(self) -> None:
        """Sends the rest of a long request until the server answers."""
        assert self._socket is not None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._flush, self._socket)
            await trio.lowlevel.wait_readable(self._socket)
            nursery.cancel_scope.cancel()

    async def _flush(self, sock: socket.socket) -> None:
        while self._unsent:
            await trio.lowlevel.wait_writable(sock)
            try:
                sent = sock.send(self._unsent)
            except BlockingIOError:
                continue
            except OSError:
                return
            self._unsent = self._unsent[sent:]

    def _received(self, data: bytes) -> None:
        self._has_received = True
        if self._reader is None or self._call is None:
            self.close("bytes without a request")
            return
        try:
            self._reader.feed(data)
        except MessageError as error:
            self.close(str(error))
            return
        if self._reader.reply is not None:
            self._finish(self._reader.reply, self._reader.has_extra)

    def _ended(self) -> None:
        if self._reader is not None and self._call is not None:
            self._reader.finish()
            if self._reader.reply is not None:
                self._finish(self._reader.reply, has_extra=True)
                return
        self.close("closed by the server", is_abrupt=True)

    def _finish(self, reply: Reply, has_extra: bool) -> None:
        call, self._call = self._call, None
        assert call is not None
        end = self._judge(reply, call)
        is_spent = has_extra or bool(self._unsent) or not reply.keeps_alive
        self._unsent = b""
        if is_spent or end.reply is None:
            self.close(end.detail or "closed after the reply")
        else:
            self.free_since = trio.current_time()
            self._idle_limit_s = _idle_limit_s(reply)
        call.complete(end)
        if self.is_free:
            self._on_free(self)


def _new_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    tcp = socket.IPPROTO_TCP
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_NODELAY, 1),
        (tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (tcp, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    )
    for level, option, value in options:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
    return sock


def _idle_limit_s(reply: Reply) -> float | None:
    """Returns the idle time that a Keep-Alive header states, less a margin."""
    value = reply.get(b"keep-alive")
    if value is None:
        return None
    for field in value.split(b","):
        name, _, number = field.strip().partition(b"=")
        if name.lower() == b"timeout" and number.strip().isdigit():
            return max(0.0, int(number) - 0.5)
    return None
