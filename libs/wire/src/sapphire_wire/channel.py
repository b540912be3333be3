"""Request and reply channels with framed messages between daemons."""

from __future__ import annotations

import contextlib
import itertools
import math
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, Protocol

import trio
from prometheus_client import Counter
from sapphire_core.errors import ChannelError

from sapphire_wire.frames import Decoder, encode
from sapphire_wire.gen.ttypes import Cancel, Frame

CONNECT_TIMEOUT_S = 1.0
MAX_UNSENT_BYTES = 16 << 20
_READ_BYTES = 1 << 16

_UNMATCHED_REPLIES = Counter(
    "sapphirecross_channel_unmatched_replies_total",
    "Replies that matched no waiting request and were dropped.",
)


class ReplySink(Protocol):
    """Receives the replies to a request.

    trio.MemorySendChannel has these methods.
    """

    def send_nowait(self, value: Any, /) -> None:
        """Receives one reply; must neither raise nor block."""

    def close(self) -> None:
        """Signals that the connection was lost."""


# Sends one reply frame to the client that sent the request.
Reply = Callable[[Any], None]
Handler = Callable[[Any, Reply], Awaitable[None]]

_STREAM_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError)


class FrameWriter:
    """Writes frames to a stream and batches queued frames into one write."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._wake = trio.Event()
        self._closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the connection has failed or has been closed."""
        return self._closed

    def send(self, frame: Any) -> None:
        """Queues a frame for sending.

        Raises:
            ChannelError: The connection is closed, or the queue would exceed
                MAX_UNSENT_BYTES because the peer reads too slowly. Frames of
                the write in progress do not count.
        """
        if self._closed:
            raise ChannelError("the connection is closed.", sent=False)
        data = encode(frame)
        if self._unsent_bytes + len(data) > MAX_UNSENT_BYTES:
            raise ChannelError(
                "the peer reads too slowly: the send queue is limited to"
                f" {MAX_UNSENT_BYTES} bytes.",
                sent=False,
            )
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        self._wake.set()

    async def run(self) -> None:
        """Writes queued frames until the connection fails or is closed."""
        try:
            while True:
                await self._wake.wait()
                self._wake = trio.Event()
                data = b"".join(self._unsent)
                self._unsent.clear()
                self._unsent_bytes = 0
                await self._stream.send_all(data)
        finally:
            self._closed = True


async def read_frames(stream: trio.abc.Stream) -> AsyncIterator[list[Any]]:
    """Yields the frames completed by each read until the stream is closed."""
    decoder = Decoder()
    while data := await stream.receive_some(_READ_BYTES):
        if frames := decoder.feed(bytes(data)):
            yield frames


async def serve_stream(stream: trio.abc.Stream, handler: Handler) -> None:
    """Serves one connection and runs a handler task for each request frame.

    A handler is cancelled when the connection is closed or fails, and by a
    Cancel frame whose target_id is the id of the handler's request.
    """
    writer = FrameWriter(stream)
    scopes: dict[int, trio.CancelScope] = {}

    async def run_handler(frame: Any) -> None:
        def reply(reply_frame: Any) -> None:
            reply_frame.id = frame.id
            # A reply that can't be sent is dropped: the client notices a closed
            # connection itself, and otherwise its request times out.
            with contextlib.suppress(ChannelError):
                writer.send(reply_frame)

        with trio.CancelScope() as scope:
            scopes[frame.id] = scope
            try:
                await handler(frame, reply)
            finally:
                scopes.pop(frame.id, None)

    async with stream:
        # Failures in the nursery arrive as a group, which suppress does not
        # match in Python 3.11; _as_channel_error replaces it by one error.
        # Groups with other exceptions are not suppressed.
        with contextlib.suppress(
            trio.BrokenResourceError, trio.ClosedResourceError, ChannelError
        ):
            async with _as_channel_error(), trio.open_nursery() as nursery:
                nursery.start_soon(writer.run)
                async for frames in read_frames(stream):
                    for frame in frames:
                        if frame.cancel is not None:
                            scope = scopes.get(frame.cancel.target_id)
                            if scope is not None:
                                scope.cancel()
                        else:
                            nursery.start_soon(run_handler, frame)
                nursery.cancel_scope.cancel()


@contextlib.asynccontextmanager
async def _as_channel_error() -> AsyncIterator[None]:
    """Converts connection failures, or a group of them, to a ChannelError.

    The errors have sent=True, because requests on the connection may have
    reached the peer.

    A group that also contains other exceptions remains a group.
    """
    try:
        yield
    except _STREAM_ERRORS as error:
        raise ChannelError("the connection failed.", sent=True) from error
    except BaseExceptionGroup as group:
        if group.split((*_STREAM_ERRORS, ChannelError))[1] is not None:
            raise
        if group.subgroup(ChannelError) is None:
            raise ChannelError("the connection failed.", sent=True) from group
        raise ChannelError(
            "a frame from the peer could not be decoded or handled.", sent=True
        ) from group


async def serve(
    handler: Handler,
    host: str,
    port: int,
    *,
    task_status: trio.TaskStatus[list[trio.SocketListener]],
) -> None:
    """Accepts connections and serves each one until cancelled.

    Raises:
        OSError: The address can't be bound.
    """

    async def serve_one(stream: trio.SocketStream) -> None:
        await serve_stream(stream, handler)

    await trio.serve_tcp(serve_one, port, host=host, task_status=task_status)


class Channel:
    """A client connection to a daemon that multiplexes requests."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream
        self._writer = FrameWriter(stream)
        self._sinks: dict[int, ReplySink] = {}
        self._ids = itertools.count(1)
        self._scope = trio.CancelScope()

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed, failed or about to be closed."""
        return self._writer.is_closed or self._scope.cancel_called

    def abort(self) -> None:
        """Closes the connection.

        Used, for example, after a reply that belongs to another request.
        """
        self._scope.cancel()

    async def run(self) -> None:
        """Sends and receives frames until the connection is closed.

        Raises:
            ChannelError: The connection failed, or a frame was malformed.
        """
        try:
            with self._scope:
                async with _as_channel_error(), trio.open_nursery() as nursery:
                    nursery.start_soon(self._writer.run)
                    async for frames in read_frames(self._stream):
                        for frame in frames:
                            self._deliver(frame)
                    nursery.cancel_scope.cancel()
        finally:
            # Later requests have to fail at once: their sinks would get neither
            # a reply nor a signal.
            self._writer._closed = True
            sinks = list(self._sinks.values())
            self._sinks.clear()
            for sink in sinks:
                sink.close()
            await trio.aclose_forcefully(self._stream)

    def _deliver(self, frame: Any) -> None:
        sink = self._sinks.get(frame.id)
        if sink is None:
            _UNMATCHED_REPLIES.inc()
            return
        sink.send_nowait(frame)

    def start_request(self, frame: Any, sink: ReplySink) -> int:
        """Queues a request whose replies go to the sink and returns its id.

        With a shared sink, one task can wait for replies from many daemons.
        The sink receives replies until end_request is called.

        Raises:
            ChannelError: The request could not be queued; sent is False.
        """
        frame.id = next(self._ids)
        self._writer.send(frame)
        self._sinks[frame.id] = sink
        return int(frame.id)

    def end_request(self, request_id: int, *, cancel: bool) -> None:
        """Stops the delivery of replies to a started request.

        Args:
            request_id: Id returned by start_request.
            cancel: Whether to send a Cancel frame to the peer, which ignores
                it if the request has finished.
        """
        self._sinks.pop(request_id, None)
        if cancel and not self.is_closed:
            with contextlib.suppress(ChannelError):
                self._writer.send(
                    Frame(id=0, cancel=Cancel(target_id=request_id))
                )

    @contextlib.asynccontextmanager
    async def open_request(
        self, frame: Any
    ) -> AsyncIterator[trio.MemoryReceiveChannel[Any]]:
        """Sends a request and yields the receive channel of its replies.

        If the block is left by an exception, the request is cancelled at the
        peer. When the connection is lost, reading from the receive channel
        raises trio.EndOfChannel.

        Raises:
            ChannelError: The request could not be queued; sent is False.
        """
        send, receive = trio.open_memory_channel[Any](math.inf)
        request_id = self.start_request(frame, send)
        finished = False
        try:
            yield receive
            finished = True
        finally:
            receive.close()
            self.end_request(request_id, cancel=not finished)

    async def request(self, frame: Any) -> Any:
        """Sends a request and returns its only reply.

        Raises:
            ChannelError: The request could not be queued, or the connection
                was lost; sent tells whether the peer may have received the
                request.
        """
        async with self.open_request(frame) as replies:
            try:
                return await replies.receive()
            except trio.EndOfChannel:
                raise ChannelError(
                    "the connection was lost before the reply.", sent=True
                ) from None


class Peer:
    """A client for one daemon, with the channel to it.

    If no channel is open, the next request opens a new one.

    The tasks of each channel run in the given nursery; cancelling the nursery
    closes the connection.
    """

    def __init__(self, address: str, nursery: trio.Nursery) -> None:
        self._address = address
        self._nursery = nursery
        self._channel: Channel | None = None
        self._connecting = trio.Lock()

    @property
    def address(self) -> str:
        """Address of the daemon as host:port."""
        return self._address

    @property
    def current_channel(self) -> Channel | None:
        """The channel that is open, or None; unlike `channel`, opens none."""
        if self._channel is None or self._channel.is_closed:
            return None
        return self._channel

    async def channel(self) -> Channel:
        """Returns the open channel; if there is none, opens a new one.

        Use `current_channel` to get a channel only if it is already open.

        Raises:
            ChannelError: No connection could be opened; sent is False.
        """
        if self._channel is not None and not self._channel.is_closed:
            return self._channel
        async with self._connecting:
            if self._channel is None or self._channel.is_closed:
                self._channel = await self._connect()
        return self._channel

    async def request(self, frame: Any) -> Any:
        """Sends a request and returns its only reply.

        Raises:
            ChannelError: The daemon can't be reached or the connection was
                lost.
        """
        channel = await self.channel()
        return await channel.request(frame)

    async def _connect(self) -> Channel:
        host, _, port = self._address.rpartition(":")
        try:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, int(port))
        except (OSError, trio.TooSlowError) as error:
            raise ChannelError(
                f"no connection to {self._address} could be opened.", sent=False
            ) from error
        channel = Channel(stream)
        self._nursery.start_soon(_run_until_lost, channel)
        return channel


async def _run_until_lost(channel: Channel) -> None:
    with contextlib.suppress(ChannelError):
        await channel.run()
