"""Loopback proxy that delays, stalls, resets or closes connections."""

from __future__ import annotations

import contextlib
import enum

import trio

_CONNECTION_ERRORS = (
    OSError,
    trio.BrokenResourceError,
    trio.ClosedResourceError,
    trio.BusyResourceError,
)
READ_BYTES = 65_536


class Mode(enum.Enum):
    """How the proxy treats the bytes of a connection."""

    FORWARD = "forward"
    # Holds the bytes of both directions until the mode changes.
    STALL = "stall"
    # Holds the bytes of the server and forwards those of the client.
    STALL_REPLIES = "stall_replies"
    # Closes open and new connections at once.
    RESET = "reset"


class Proxy:
    """Forwards connections from one address to another."""

    def __init__(self, address: str, target: str) -> None:
        self.address = address
        self._target = target
        self.mode = Mode.FORWARD
        self.delay_s = 0.0
        self._changed = trio.Event()
        self._open: set[trio.CancelScope] = set()

    def set_mode(self, mode: Mode) -> None:
        """Sets the mode of open and new connections."""
        self.mode = mode
        self._changed.set()
        self._changed = trio.Event()
        if mode is Mode.RESET:
            self.close_all()

    def close_all(self) -> None:
        """Closes all open connections."""
        for scope in self._open:
            scope.cancel()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listens until cancelled."""
        host, _, port = self.address.rpartition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        task_status.started()
        await trio.serve_listeners(self._forward, listeners)

    async def _forward(self, client: trio.SocketStream) -> None:
        if self.mode is Mode.RESET:
            return
        host, _, port = self._target.rpartition(":")
        with (
            contextlib.suppress(*_CONNECTION_ERRORS),
            trio.CancelScope() as scope,
        ):
            self._open.add(scope)
            try:
                async with (
                    await trio.open_tcp_stream(host, int(port)) as server,
                    trio.open_nursery() as nursery,
                ):
                    nursery.start_soon(self._pump, client, server, scope)
                    await self._pump(server, client, scope, is_reply=True)
            finally:
                self._open.discard(scope)

    async def _pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
        is_reply: bool = False,
    ) -> None:
        with contextlib.suppress(*_CONNECTION_ERRORS):
            while data := await source.receive_some(READ_BYTES):
                await self._wait_to_pass(is_reply)
                await sink.send_all(data)
        scope.cancel()

    async def _wait_to_pass(self, is_reply: bool) -> None:
        if self.delay_s:
            await trio.sleep(self.delay_s)
        held = {Mode.STALL, Mode.STALL_REPLIES} if is_reply else {Mode.STALL}
        while self.mode in held:
            await self._changed.wait()
