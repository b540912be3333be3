"""Leaves that are processes of their own and that a request can crash.

The supervisor holds the listening socket: while no process runs, the kernel
accepts connections on its behalf. Run as a program, this module is the leaf:
`python -m soak.leafprocess DESCRIPTOR LEAF_ID END`.
"""

from __future__ import annotations

import contextlib
import itertools
import os
import pathlib
import signal
import socket
import subprocess
import sys
from collections.abc import Callable

import trio
from sapphire_gateway.messages import (
    Request,
    Response,
    encode_response,
    header,
)
from sapphire_gateway.requestreader import RequestReader

from soak.leaves import CRASH_PATH, SLOTS
from soak.store import Store

TESTS = pathlib.Path(__file__).parents[1]
READY = b"ready\n"
CHECK_INTERVAL_S = 0.005
# The entry of a process that has ended lapses after this time.
ENTRY_LAPSE_S = 3.6
MAX_MESSAGE_BYTES = 65_536
# How a process ends when it gets a request that crashes it.
ENDS: dict[str, Callable[[], None]] = {
    "SIGKILL": lambda: os.kill(os.getpid(), signal.SIGKILL),
    "SIGSEGV": lambda: os.kill(os.getpid(), signal.SIGSEGV),
    "exit": lambda: os._exit(1),
}
_START_TIMES_MS = itertools.count(1_700_000_000_000)


class SupervisedLeaf:
    """Starts a leaf's process, and starts it again as soon as it ends.

    Attributes:
        crashes: Number of processes that have ended by themselves.
    """

    def __init__(
        self, address: str, service: str, domain: str, store: Store, end: str
    ) -> None:
        """Listens on an address.

        Args:
            address: IP address and port.
            service: Service that the leaf runs.
            domain: Failure domain.
            store: Store that it registers in.
            end: How it ends when it crashes; a key of ENDS.
        """
        self._address = address
        self._service = service
        self._domain = domain
        self._store = store
        self._end = end
        self.crashes = 0
        host, _, port = address.rpartition(":")
        self._socket = socket.create_server((host, int(port)), backlog=64)

    async def run(self, keeps_id: bool) -> None:
        """Runs one process after the other until cancelled.

        Args:
            keeps_id: Whether each process has the id of the one before.
        """
        async with trio.open_nursery() as nursery:
            leaf_id = ""
            while True:
                born_ms = next(_START_TIMES_MS)
                if leaf_id and not keeps_id:
                    nursery.start_soon(self._remove_later, leaf_id)
                if not leaf_id or not keeps_id:
                    leaf_id = f"i-{born_ms % 100_000}"
                await self._run_once(leaf_id, born_ms)
                self.crashes += 1

    async def _run_once(self, leaf_id: str, born_ms: int) -> None:
        descriptor = self._socket.fileno()
        process = subprocess.Popen(
            [sys.executable, "-m", "soak.leafprocess",
             str(descriptor), leaf_id, self._end],
            cwd=TESTS,
            pass_fds=[descriptor],
            stdout=subprocess.PIPE,
        )  # fmt: skip
        try:
            assert process.stdout is not None
            assert (
                await trio.to_thread.run_sync(
                    process.stdout.readline, abandon_on_cancel=True
                )
                == READY
            )
            self._register(leaf_id, born_ms)
            while process.poll() is None:
                await trio.sleep(CHECK_INTERVAL_S)
        finally:
            process.kill()
            process.wait()

    async def _remove_later(self, leaf_id: str) -> None:
        await trio.sleep(ENTRY_LAPSE_S)
        self._store.remove(f"servers/{leaf_id}")

    def _register(self, leaf_id: str, born_ms: int) -> None:
        self._store.write(
            f"servers/{leaf_id}",
            {
                "Service": self._service,
                "Address": self._address,
                "Zone": self._domain,
                "Version": "1",
                "Slots": SLOTS,
                "State": "ready",
                "WarmupLeftMs": 0,
                "Sequence": 1,
                "born": born_ms,
            },
        )


async def _serve(stream: trio.SocketStream, leaf_id: str, end: str) -> None:
    reader = RequestReader(MAX_MESSAGE_BYTES, MAX_MESSAGE_BYTES)
    with contextlib.suppress(trio.BrokenResourceError):
        while data := await stream.receive_some():
            reader.feed(data)
            for request in reader.complete:
                answer = _answer(request, leaf_id, end)
                await stream.send_all(encode_response(answer, False, False))
            reader.complete.clear()


def _answer(request: Request, leaf_id: str, end: str) -> Response:
    if header(request.headers, b"target-instance") != leaf_id.encode():
        return Response(421, [(b"Not-Executed", b"1")])
    if request.target.endswith(CRASH_PATH):
        ENDS[end]()
    request_id = header(request.headers, b"request-id") or b""
    headers = [(b"Response-Stamp", b"1"), (b"Request-Id", request_id)]
    return Response(200, headers, b"r" * 16)


async def _run_leaf(descriptor: int, leaf_id: str, end: str) -> None:
    listener = trio.SocketListener(
        trio.socket.fromfd(descriptor, socket.AF_INET, socket.SOCK_STREAM)
    )
    os.write(sys.stdout.fileno(), READY)

    async def serve(stream: trio.SocketStream) -> None:
        await _serve(stream, leaf_id, end)

    await trio.serve_listeners(serve, [listener])


if __name__ == "__main__":
    trio.run(_run_leaf, int(sys.argv[1]), sys.argv[2], sys.argv[3])
