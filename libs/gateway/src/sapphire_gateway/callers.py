"""Server side of the HTTP connections of callers.

Requests of one connection are answered in the order in which they arrive.
"""

from __future__ import annotations

import collections
import contextlib
import random
import socket
import struct
from collections.abc import Awaitable, Callable, Iterator

import trio
from sapphire_core.routing import ClientLimits

from sapphire_gateway import supervision, telemetry
from sapphire_gateway.connectionlimit import (
    CALLER_CONNECTIONS,
    ConnectionLimit,
)
from sapphire_gateway.listening import open_listeners
from sapphire_gateway.messagememory import PROCESS_MEMORY, MessageMemory
from sapphire_gateway.messages import (
    RECEIVE_BYTES,
    MessageError,
    Request,
    Response,
    encode_response,
    error_response,
)
from sapphire_gateway.requestreader import RequestReader

# A connection is closed if the caller does not read an answer in this time.
WRITE_TIMEOUT_S = 10.0
# After the last answer, incoming bytes are read for up to this time before
# closing: closing a socket with unread data sends a reset, which may discard
# the answer.
LINGER_S = 0.5
# The same after an answer to a request that was not read to its end. A caller
# may send all of a long body before it reads the answer.
REJECT_LINGER_S = 2.0
# Reading of a connection pauses while at least this many requests are queued.
MAX_PIPELINED = 8
# Bytes that are read at once of a body. Parsing them takes some milliseconds if
# they come in chunks of a few bytes.
BODY_READ_BYTES = 16_384
DEFAULT_ROUND_TRIP_S = 0.002
# Number of bytes requested of the kernel's struct tcp_info, and offset of its
# field tcpi_rtt, which is in microseconds.
TCP_INFO_BYTES = 104
TCP_INFO_RTT_OFFSET = 68
MICROSECONDS_PER_S = 1e6
HEAD = b"HEAD"
# Retry-After of requests for which there is no memory, in seconds: at least,
# and with up to as much again at random, so that their callers do not return
# together.
RETRY_NO_MEMORY_S = 0.5
NO_MEMORY = "the VM has no memory for the request"


class Caller:
    """The caller's side of a connection, as seen by a running request."""

    def __init__(self, host: str, round_trip_s: float) -> None:
        """Describes the caller of an accepted connection.

        Args:
            host: IP address of the caller.
            round_trip_s: Round-trip time to the caller.
        """
        self.host = host
        self.round_trip_s = round_trip_s
        self.is_disconnected = False
        self._on_disconnect: Callable[[], None] | None = None

    @contextlib.contextmanager
    def notify_on_disconnect(
        self, on_disconnect: Callable[[], None]
    ) -> Iterator[None]:
        """Calls on_disconnect if the caller disconnects during the block."""
        self._on_disconnect = on_disconnect
        try:
            yield
        finally:
            self._on_disconnect = None

    def mark_disconnected(self) -> None:
        """Records that the caller has closed the connection."""
        self.is_disconnected = True
        if self._on_disconnect is not None:
            self._on_disconnect()


# Held while the rest of a body is parsed. The tasks that wait for it run one
# after the other, and all other tasks in between.
_BODY_TURN = trio.Lock()

Handler = Callable[[Request, Caller], Awaitable[Response]]


class CallerConnection:
    """Serves one connection until either side closes it."""

    def __init__(
        self,
        stream: trio.SocketStream,
        handler: Handler,
        current_limits: Callable[[], ClientLimits],
        is_shutting_down: Callable[[], bool],
        on_sent: Callable[[Request, float], None],
        memory: MessageMemory,
        limit: ConnectionLimit,
    ) -> None:
        self._connection_limit = limit
        self._stream = stream
        self._handler = handler
        self._current_limits = current_limits
        self._limits = current_limits()
        self._is_shutting_down = is_shutting_down
        self._on_sent = on_sent
        self._reader = RequestReader(
            self._limits.header_bytes, self._limits.body_bytes
        )
        self._requests: collections.deque[Request] = collections.deque()
        self._progress = trio.Event()
        self._queue_has_room = trio.Event()
        self._message_error: MessageError | None = None
        self._has_reached_eof = False
        self._is_first = True
        self._message_started_at: float | None = None
        self._caller = Caller(
            _peer_host(stream.socket), _round_trip_s(stream.socket)
        )
        self._is_answering = False
        # Memory of the requests that are queued or being answered.
        self._requests_bytes = 0
        self._held_requests = memory.hold()
        # Memory of the request that is being received, and of the answer that
        # is being sent: the caller decides how long that takes.
        self._held_partial = memory.hold_timed(self._give_up_partial)
        self._held_answer = memory.hold_timed(self._give_up_answer)
        self._cancel_scope = trio.CancelScope()

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read, queued or answered."""
        return not (
            self._is_answering
            or self._requests
            or not self._reader.is_between_messages
        )

    def stop_if_idle(self) -> None:
        """Closes the connection unless a request is in progress."""
        if self.is_idle:
            self._cancel_scope.cancel()

    def close_for_room(self) -> None:
        """Closes the connection, which has no complete request."""
        self._cancel_scope.cancel()

    async def run(self) -> None:
        """Serves requests until the connection ends, then closes it."""
        if not self._connection_limit.admit(self):
            await trio.aclose_forcefully(self._stream)
            return
        try:
            with self._cancel_scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._read_requests)
                    await self._answer_requests()
                    nursery.cancel_scope.cancel()
        finally:
            self._connection_limit.remove(self)
            self._reader.drop()
            self._held_partial.release()
            self._held_requests.release()
            self._held_answer.release()
            await trio.aclose_forcefully(self._stream)

    async def _read_requests(self) -> None:
        """Reads until the caller closes; discards what follows an error."""
        while True:
            while len(self._requests) >= MAX_PIPELINED:
                self._queue_has_room = trio.Event()
                await self._queue_has_room.wait()
            data = await self._receive()
            if not data:
                self._has_reached_eof = True
                self._caller.mark_disconnected()
                self._progress.set()
                return
            if self._reader.is_head_complete:
                # The others of a crowd that sends small pieces wait meanwhile.
                async with _BODY_TURN:
                    self._handle_data(data)
            else:
                self._handle_data(data)
            # Not kept until the next bytes arrive.
            del data

    async def _receive(self) -> bytes:
        is_body = self._reader.is_head_complete
        limit = BODY_READ_BYTES if is_body else RECEIVE_BYTES
        try:
            return bytes(await self._stream.receive_some(limit))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return b""

    def _handle_data(self, data: bytes) -> None:
        if self._message_error is not None:
            return
        now = trio.current_time()
        if self._reader.is_between_messages:
            self._message_started_at = now
            self._update_limits()
        try:
            self._reader.feed(data)
        except MessageError as error:
            self._message_error = error
        if self._reader.complete:
            # The next request, if one has begun, arrives from now on.
            self._message_started_at = now
        for request in self._reader.complete:
            request.received_at = now
            request.is_first = self._is_first
            self._is_first = False
            self._requests.append(request)
            self._requests_bytes += request.held_bytes
            self._connection_limit.begin_request(self)
        # First the partial request, which may have become a complete one.
        has_room = self._held_partial.resize(self._reader.held_bytes)
        if not self._held_requests.resize(self._requests_bytes) or not has_room:
            self._refuse_new_messages(self._reader.complete)
        self._reader.complete.clear()
        if self._reader.is_between_messages:
            self._message_started_at = None
        self._progress.set()

    def _update_limits(self) -> None:
        """Takes over the limits that are in force now, between requests."""
        self._limits = self._current_limits()
        self._reader.set_limits(
            self._limits.header_bytes, self._limits.body_bytes
        )

    def _refuse_new_messages(self, new_requests: list[Request]) -> None:
        """Drops what has just arrived; the callers are told to come back."""
        for request in new_requests:
            self._requests_bytes -= request.held_bytes
            request.body = b""
            request.has_room = False
            self._requests_bytes += request.held_bytes
        self._held_requests.resize(self._requests_bytes)
        self._give_up_partial()

    def _give_up_partial(self) -> None:
        """Drops the partial request, if any; its caller may come back."""
        if self._message_error is None and not self._reader.is_between_messages:
            self._reader.drop()
            self._message_error = MessageError(NO_MEMORY, 503, _retry_after_s())
            self._progress.set()
        self._held_partial.release()

    def _give_up_answer(self) -> None:
        """Closes the connection of a caller that reads its answer slowly."""
        telemetry.caller_event(
            "answer_given_up",
            caller=self._caller.host,
            bytes=self._held_answer.held_bytes,
        )
        self._held_answer.release()
        self._cancel_scope.cancel()

    async def _answer_requests(self) -> None:
        while True:
            request = await self._next_request()
            if request is None:
                return
            self._is_answering = True
            answer = await self._answer(request)
            if self._caller.is_disconnected:
                return
            close_after = not request.keeps_alive or self._is_shutting_down()
            data = encode_response(answer, close_after, request.method == HEAD)
            del answer
            self._requests_bytes -= request.held_bytes
            request.body = b""
            self._held_requests.resize(self._requests_bytes)
            if not self._held_answer.resize(len(data)):
                # A leaf may have run the request.
                answer = error_response(502, "the VM has no memory to answer")
                data = encode_response(answer, close_after, False)
                self._held_answer.resize(len(data))
            if not await self._send(data):
                return
            del data
            self._held_answer.release()
            self._on_sent(request, trio.current_time())
            self._is_answering = False
            if not self._requests:
                self._connection_limit.end_request(self)
            if close_after:
                await self._linger(LINGER_S)
                return

    async def _answer(self, request: Request) -> Response:
        if not request.has_room:
            telemetry.reject_message("request", NO_MEMORY, self._caller.host)
            return error_response(503, NO_MEMORY, _retry_after_s())
        try:
            return await self._handler(request, self._caller)
        except Exception as error:
            supervision.record_failure("request", error)
            # It says nothing of whether a leaf has run the request.
            return Response(502, [], b"internal error")

    async def _next_request(self) -> Request | None:
        """Returns the next request, or None if the connection is to close.

        A malformed or late request is rejected before None is returned.
        """
        idle_since = trio.current_time()
        while not self._requests:
            if self._message_error is not None:
                await self._reject(self._message_error)
                return None
            if self._has_reached_eof:
                return None
            self._progress = trio.Event()
            deadline = self._deadline(idle_since)
            with trio.move_on_at(deadline) as scope:
                await self._progress.wait()
            if scope.cancelled_caught and deadline <= trio.current_time():
                if self._message_started_at is None:
                    return None
                if self._deadline(idle_since) <= trio.current_time():
                    timeout = MessageError("the request took too long", 408)
                    await self._reject(timeout)
                    return None
        request = self._requests.popleft()
        self._queue_has_room.set()
        return request

    def _deadline(self, idle_since: float) -> float:
        """Returns when the connection is closed if no request completes.

        header_timeout_s limits the time from the start of a request to the end
        of its head, and idle_timeout_s both the time between requests and the
        time from the start of a request to its end.
        """
        if self._message_started_at is None:
            return idle_since + self._limits.idle_timeout_s
        if self._reader.is_head_complete:
            return self._message_started_at + self._limits.idle_timeout_s
        return self._message_started_at + self._limits.header_timeout_s

    async def _reject(self, error: MessageError) -> None:
        telemetry.reject_message("request", str(error), self._caller.host)
        answer = error_response(error.status, str(error), error.retry_after_s)
        self._message_error = error
        if await self._send(encode_response(answer, True, False)):
            await self._linger(REJECT_LINGER_S)

    async def _send(self, data: bytes) -> bool:
        with trio.move_on_after(WRITE_TIMEOUT_S) as scope:
            try:
                await self._stream.send_all(data)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return False
        return not scope.cancelled_caught

    async def _linger(self, limit_s: float) -> None:
        """Ends the sending side, then waits until the caller closes."""
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError
        ):
            await self._stream.send_eof()
        with trio.move_on_after(limit_s):
            while not self._has_reached_eof:
                self._progress = trio.Event()
                await self._progress.wait()


def _retry_after_s() -> float:
    return RETRY_NO_MEMORY_S * (1.0 + random.random())


def _peer_host(sock: trio.socket.SocketType) -> str:
    try:
        return str(sock.getpeername()[0])
    except OSError:
        # The caller has already closed the connection.
        return ""


def _round_trip_s(sock: trio.socket.SocketType) -> float:
    """Returns the round-trip time that the kernel measured on connecting."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        (microseconds,) = struct.unpack_from("I", info, TCP_INFO_RTT_OFFSET)
    except (OSError, struct.error):
        return DEFAULT_ROUND_TRIP_S
    return float(microseconds) / MICROSECONDS_PER_S


class CallerServer:
    """Accepts connections of callers on one address."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ClientLimits],
        is_shutting_down: Callable[[], bool],
        on_sent: Callable[[Request, float], None],
        memory: MessageMemory = PROCESS_MEMORY,
        connection_limit: ConnectionLimit = CALLER_CONNECTIONS,
    ) -> None:
        """Creates a server that does not listen yet.

        Args:
            handler: Answers one request.
            limits: Returns the limits that are in force.
            is_shutting_down: Returns whether connections close after their next
                answer.
            on_sent: Called with each answered request and the time at which its
                answer was sent.
            memory: Limits the memory of requests and answers.
            connection_limit: Limits the number of connections.
        """
        self._handler = handler
        self._connection_limit = connection_limit
        self._memory = memory
        self._limits = limits
        self._is_shutting_down = is_shutting_down
        self._on_sent = on_sent
        self._connections: set[CallerConnection] = set()
        self._listen_scope = trio.CancelScope()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(not c.is_idle for c in self._connections)

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves an address until stop is called.

        It waits while the address is taken. Returns when the connections that
        were open when stop was called have ended.

        Args:
            address: IP address and port.
            task_status: Reports that the address is served.
        """
        async with trio.open_nursery() as handlers:
            with self._listen_scope:
                listeners = await open_listeners(address)
                task_status.started()
                while True:
                    # serve_listeners returns only with an error.
                    try:
                        await trio.serve_listeners(
                            self._handle_connection,
                            listeners,
                            handler_nursery=handlers,
                        )
                    except* OSError as errors:
                        telemetry.event(
                            "accept_failed",
                            address=address,
                            error=repr(errors.exceptions),
                        )
                    listeners = await open_listeners(address)

    def stop(self) -> None:
        """Stops listening and closes the idle connections.

        Connections with a request in progress close after its answer if
        is_shutting_down returns True, and otherwise stay open.
        """
        self._listen_scope.cancel()
        for connection in self._connections:
            connection.stop_if_idle()

    async def _handle_connection(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            self._handler,
            self._limits,
            self._is_shutting_down,
            self._on_sent,
            self._memory,
            self._connection_limit,
        )
        self._connections.add(connection)
        try:
            await supervision.run_once("caller connection", connection.run)
        finally:
            self._connections.discard(connection)
