"""Loopback TCP proxy that can delay data, hold it back or cut connections."""

from __future__ import annotations

import contextlib
import enum
from random import Random
from typing import NoReturn

import trio

_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.BusyResourceError,
)
READ_BYTES = 65_536
# A reply without end: chunks of two bytes, which take the most memory to parse.
ENDLESS_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_CHUNKS = b"2\r\nab\r\n" * 4_000
ENDLESS_INTERVAL_S = 0.005


class Mode(enum.Enum):
    """How the proxy treats open and new connections."""

    FORWARD = "forward"
    # Holds back the data of both directions until the mode changes.
    STALL = "stall"
    # Holds back the server's data only; the client's data is forwarded.
    STALL_REPLIES = "stall_replies"
    # Closes open connections, and new ones as soon as they are accepted.
    RESET = "reset"
    # Closes open connections and refuses new ones, as after a crash.
    REFUSE = "refuse"
    # Sends chunks without end in place of each reply, until the client closes.
    ENDLESS_REPLIES = "endless_replies"


class Proxy:
    """Forwards connections from one address to another.

    Half-closed connections are not supported: when either side closes, both
    directions are closed and data that is held back is lost.

    Attributes:
        mode: The current mode; changed by set_mode.
        delay_s: Delay of each chunk of data in either direction, so that a
            request and its reply are delayed by at least twice this time.
    """

    def __init__(self, listen_address: str, server_address: str) -> None:
        self._listen_address = listen_address
        self._server_address = server_address
        self.mode = Mode.FORWARD
        self.delay_s = 0.0
        self._mode_changed = trio.Event()
        self._connection_scopes: set[trio.CancelScope] = set()
        self._listen_scope = trio.CancelScope()
        # Connections whose replies are held back until they are closed.
        self._silenced: set[trio.CancelScope] = set()

    def set_mode(self, mode: Mode) -> None:
        """Sets the mode of open and new connections."""
        self.mode = mode
        # Wakes all tasks that wait for a change. An event can be set only
        # once, so later changes need a new one.
        self._mode_changed.set()
        self._mode_changed = trio.Event()
        if mode in {Mode.RESET, Mode.REFUSE}:
            self.close_all()
        if mode is Mode.REFUSE:
            self._listen_scope.cancel()

    def silence_replies(self, rng: Random, share: float) -> None:
        """Holds back the replies of some open connections for good.

        Args:
            rng: Chooses the connections.
            share: Probability with which each of them is chosen.
        """
        for scope in self._connection_scopes:
            if rng.random() < share:
                self._silenced.add(scope)

    def close_all(self) -> None:
        """Closes all open connections."""
        for scope in self._connection_scopes:
            scope.cancel()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listens until cancelled, except in the mode REFUSE."""
        host, _, port = self._listen_address.rpartition(":")
        async with trio.open_nursery() as connections:
            is_started = False
            while True:
                with trio.CancelScope() as self._listen_scope:
                    listeners = await trio.open_tcp_listeners(
                        int(port), host=host
                    )
                    if not is_started:
                        task_status.started()
                        is_started = True
                    await trio.serve_listeners(
                        self._forward, listeners, handler_nursery=connections
                    )
                while self.mode is Mode.REFUSE:
                    await self._mode_changed.wait()

    async def _forward(self, client: trio.SocketStream) -> None:
        if self.mode is Mode.RESET:
            # trio.serve_listeners closes the client's stream on return.
            return
        host, _, port = self._server_address.rpartition(":")
        with (
            contextlib.suppress(*_CONNECTION_ERRORS),
            trio.CancelScope() as scope,
        ):
            self._connection_scopes.add(scope)
            try:
                async with (
                    await trio.open_tcp_stream(host, int(port)) as server,
                    trio.open_nursery() as nursery,
                ):
                    nursery.start_soon(self._copy, client, server, scope)
                    await self._copy(server, client, scope, is_reply=True)
            finally:
                self._connection_scopes.discard(scope)
                self._silenced.discard(scope)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        connection_scope: trio.CancelScope,
        is_reply: bool = False,
    ) -> None:
        """Copies data in one direction, then closes the whole connection."""
        with contextlib.suppress(*_CONNECTION_ERRORS):
            while data := await source.receive_some(READ_BYTES):
                await self._delay_or_stall(is_reply)
                if is_reply and connection_scope in self._silenced:
                    await trio.sleep_forever()
                if is_reply and self.mode is Mode.ENDLESS_REPLIES:
                    await _send_without_end(sink)
                await sink.send_all(data)
        connection_scope.cancel()

    async def _delay_or_stall(self, is_reply: bool) -> None:
        if self.delay_s:
            await trio.sleep(self.delay_s)
        stalling_modes = (
            {Mode.STALL, Mode.STALL_REPLIES} if is_reply else {Mode.STALL}
        )
        while self.mode in stalling_modes:
            await self._mode_changed.wait()


async def _send_without_end(sink: trio.SocketStream) -> NoReturn:
    """Sends a reply until the client closes the connection.

    Raises:
        trio.BrokenResourceError: The client has closed the connection.
    """
    await sink.send_all(ENDLESS_HEAD)
    while True:
        await sink.send_all(ENDLESS_CHUNKS)
        await trio.sleep(ENDLESS_INTERVAL_S)
