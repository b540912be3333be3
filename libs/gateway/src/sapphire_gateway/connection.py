"""A client connection that carries one HTTP request at a time."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections.abc import Callable

import trio
from prometheus_client import Counter
from sapphire_core.fanout import Failure

from sapphire_gateway import telemetry
from sapphire_gateway.calls import Call, CallResult
from sapphire_gateway.decoding import parse_count
from sapphire_gateway.messagememory import (
    PROCESS_MEMORY,
    HeldMessage,
    MessageMemory,
)
from sapphire_gateway.messages import (
    RECEIVE_BYTES,
    MessageError,
    Reply,
)
from sapphire_gateway.replyreader import ReplyReader

CONNECT_TIMEOUT_S = 0.5
# TCP keep-alive probes, which detect a peer that has become unreachable.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
# The kernel ends a connection whose sent data is unacknowledged for this long.
USER_TIMEOUT_MS = 3_000


class Connection:
    """Sends calls one after the other and reads their replies.

    The owner runs the method run in a task of its own. The connection calls
    on_free when it is ready for the next call and on_closed when it ends.
    """

    def __init__(
        self,
        address: str,
        classify_reply: Callable[[Reply, Call], CallResult],
        on_free: Callable[[Connection], None],
        on_closed: Callable[[Connection], None],
        traffic: Counter | None = None,
        memory: MessageMemory = PROCESS_MEMORY,
        refusal: Callable[[Call], str | None] = lambda _call: None,
    ) -> None:
        """Creates a connection that is not open yet.

        Args:
            address: Host and port of the server.
            classify_reply: Returns the result of a call with a reply.
            on_free: Called when the connection is ready for the next call.
            on_closed: Called when it has ended.
            traffic: Counts the bytes sent and received, if given.
            memory: Limits the memory of replies that are not complete yet.
            refusal: Returns why the server may not get a call any more, asked
                at the moment of sending; None if it may.
        """
        host, _, port = address.rpartition(":")
        self._traffic = traffic
        self._address = (host, int(port))
        self._classify_reply = classify_reply
        self._on_free = on_free
        self._on_closed = on_closed
        self._memory = memory
        self._refusal = refusal
        self._socket: socket.socket | None = None
        self._call: Call | None = None
        self._reader: ReplyReader | None = None
        # Set while a reply has arrived in part.
        self._held: HeldMessage | None = None
        # The rest of a request that the socket did not take at once.
        self._unsent = memoryview(b"")
        # Cancelled to end the wait for a reply when a request is left to send.
        self._waiting = trio.CancelScope()
        self._is_connected = False
        self._is_closed = False
        self._is_closed_by_server = False
        self._has_replied = False
        self._has_received = False
        self._server_idle_timeout_s: float | None = None
        self.connected_at = 0.0
        self.idle_since = 0.0
        self.connect_time_s = 0.0

    @property
    def is_free(self) -> bool:
        """Whether the connection is established and has no call."""
        return self._is_connected and not self._is_closed and self._call is None

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended or failed."""
        return self._is_closed

    @property
    def was_established(self) -> bool:
        """Whether the connection was ever established."""
        return self._is_connected

    @property
    def is_closed_by_server(self) -> bool:
        """Whether the server has ended the connection, or it failed."""
        return self._is_closed_by_server

    @property
    def has_replied(self) -> bool:
        """Whether a whole reply was ever received."""
        return self._has_replied

    @property
    def call(self) -> Call | None:
        """The call in progress, if any."""
        return self._call

    def is_reusable(self, now: float, max_idle_s: float) -> bool:
        """Returns whether the server is unlikely to have closed the connection.

        Args:
            now: Present time in seconds.
            max_idle_s: Longest time that the connection may have been idle.
                A shorter time stated by the server takes precedence.
        """
        idle = now - self.idle_since
        if (
            self._server_idle_timeout_s is not None
            and idle >= self._server_idle_timeout_s
        ):
            return False
        return idle < max_idle_s

    def start(self, call: Call) -> bool:
        """Sends a call, once the connection is established.

        Returns:
            False if the call was refused or is over already, so that the
            connection is still free.
        """
        self._call = call
        return not self._is_connected or self._send(call)

    async def run(self) -> None:
        """Connects, then reads until the connection ends."""
        try:
            if await self._connect():
                await self._read()
        except* trio.ClosedResourceError:
            # Another task has closed the connection.
            pass
        finally:
            self.close("connection closed")

    def close(self, reason: str, is_closed_by_server: bool = False) -> None:
        """Closes the connection; a call in progress fails.

        Args:
            reason: Reason for the log.
            is_closed_by_server: The server closed the connection, or it failed.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._is_closed_by_server = is_closed_by_server
        if self._socket is not None:
            with contextlib.suppress(OSError):
                trio.lowlevel.notify_closing(self._socket)
            self._socket.close()
        self._release_memory()
        if self._reader is not None:
            self._reader.drop()
            self._reader = None
        call, self._call = self._call, None
        if call is not None:
            call.complete(
                self._failure_result(call, reason, is_closed_by_server)
            )
        self._on_closed(self)

    def _failure_result(
        self, call: Call, reason: str, is_closed_by_server: bool
    ) -> CallResult:
        if not call.sent_at:
            return CallResult(None, Failure.NOT_RUN, reason, was_sent=False)
        is_silent = not self._has_received
        return CallResult(
            None,
            Failure.LOST,
            reason,
            is_silent=is_silent,
            is_closed_by_server=is_closed_by_server,
        )

    async def _connect(self) -> bool:
        started = trio.current_time()
        try:
            self._socket = _new_socket()
        except OSError as error:
            # For example, the process has no descriptor left.
            self.close(f"no socket: {error.strerror}")
            return False
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
        self.connected_at = self.idle_since = trio.current_time()
        self.connect_time_s = self.idle_since - started
        if self._call is None or not self._send(self._call):
            self._on_free(self)
        return not self._is_closed

    def _send(self, call: Call) -> bool:
        """Sends a call; returns False if it must not be sent any more."""
        assert self._socket is not None
        if call.is_over:
            self._call = None
            return False
        reason = self._refusal(call)
        if reason is not None:
            self._call = None
            call.complete(
                CallResult(None, Failure.NOT_RUN, reason, was_sent=False)
            )
            return False
        call.sent_at = trio.current_time()
        if self._reader is None:
            self._reader = ReplyReader(call.is_to_head, call.reply_limits)
        else:
            self._reader.restart(call.is_to_head, call.reply_limits)
        self._has_received = False
        if self._traffic is not None:
            self._traffic.inc(len(call.payload))
        try:
            sent = self._socket.send(call.payload)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.close(
                f"sending failed: {error.strerror}", is_closed_by_server=True
            )
            return True
        if sent < len(call.payload):
            self._unsent = memoryview(call.payload)[sent:]
            # The task that reads may already wait on a kept connection.
            self._waiting.cancel()
        return True

    async def _read(self) -> None:
        assert self._socket is not None
        while not self._is_closed:
            if self._unsent:
                await self._send_until_readable()
            else:
                with trio.CancelScope() as self._waiting:
                    await trio.lowlevel.wait_readable(self._socket)
            if self._is_closed:
                return
            try:
                data = self._socket.recv(RECEIVE_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                self.close(
                    f"connection lost: {error.strerror}",
                    is_closed_by_server=True,
                )
                return
            if data:
                self._handle_data(data)
            else:
                self._handle_eof()
            # Not kept until the next bytes arrive.
            del data

    async def _send_until_readable(self) -> None:
        """Sends the rest of the request until the server starts to reply."""
        assert self._socket is not None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_rest, self._socket)
            await trio.lowlevel.wait_readable(self._socket)
            nursery.cancel_scope.cancel()

    async def _send_rest(self, sock: socket.socket) -> None:
        while self._unsent:
            await trio.lowlevel.wait_writable(sock)
            try:
                sent = sock.send(self._unsent)
            except BlockingIOError:
                continue
            except OSError:
                return
            self._unsent = self._unsent[sent:]

    def _handle_data(self, data: bytes) -> None:
        self._has_received = True
        if self._traffic is not None:
            self._traffic.inc(len(data))
        if self._reader is None or self._call is None:
            self.close("bytes without a request")
            return
        try:
            self._reader.feed(data)
        except MessageError as error:
            self._reject_reply(str(error))
            return
        if self._reader.is_complete:
            self._finish_call(self._reader, self._reader.has_extra)
        else:
            self._record_memory(self._reader, self._call)

    def _reject_reply(self, reason: str) -> None:
        host, port = self._address
        telemetry.reject_message("reply", reason, f"{host}:{port}")
        self.close(reason)

    def _record_memory(self, reader: ReplyReader, call: Call) -> None:
        """Counts a partial reply; it may be given up, also by others' replies.

        Most replies arrive at once and are never counted.
        """
        if self._held is None:
            self._held = self._memory.hold(
                call.reply_limits.expected_bytes, self._give_up_reply
            )
        if not self._held.resize(reader.held_bytes) and not self._is_closed:
            self._give_up_reply()

    def _give_up_reply(self) -> None:
        self._reject_reply("the reply was given up for lack of memory")

    def _release_memory(self) -> None:
        if self._held is not None:
            self._held.release()
            self._held = None

    def _handle_eof(self) -> None:
        if self._reader is not None and self._call is not None:
            self._reader.finish()
            if self._reader.is_complete:
                self._finish_call(self._reader, ends_connection=True)
                return
        self.close("closed by the server", is_closed_by_server=True)

    def _finish_call(self, reader: ReplyReader, ends_connection: bool) -> None:
        call, self._call = self._call, None
        assert call is not None
        reply = reader.take_reply()
        self._release_memory()
        self._has_replied = True
        result = self._classify_reply(reply, call)
        must_close = (
            ends_connection or bool(self._unsent) or not reply.keeps_alive
        )
        self._unsent = memoryview(b"")
        if must_close or result.reply is None:
            self.close(result.detail or "closed after the reply")
        else:
            self.idle_since = trio.current_time()
            self._server_idle_timeout_s = _server_idle_timeout_s(reply)
        call.complete(result)
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
        (tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)
    return sock


def _server_idle_timeout_s(reply: Reply) -> float | None:
    """Returns the timeout of a Keep-Alive header, less half a second.

    The margin keeps requests off connections that the server is about to close.
    """
    value = reply.get(b"keep-alive")
    if value is None:
        return None
    for field in value.split(b","):
        name, _, number = field.strip().partition(b"=")
        timeout_s = parse_count(number)
        if name.lower() == b"timeout" and timeout_s is not None:
            return max(0.0, timeout_s - 0.5)
    return None
