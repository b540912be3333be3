"""Crowds of clients that do not behave, at real gateway processes.

They send heads and bodies that stop short of their end, or read long answers
slowly, and stay connected. Each request alone is within the limits. The process
has to stay within the memory and the descriptors of its VM, and ordinary
requests have to be answered.
"""

from __future__ import annotations

import contextlib
import itertools

import pytest
import trio
from soak.callers import send_request
from soak.leaves import LARGE_PATH
from soak.operator import FETCH, HOST
from soak.runner import running_environment, wait_until_ready

# A gateway without load takes less than half of this memory.
MEMORY_MB = 120.0
BYTES_PER_MB = 1e6
MAX_DESCRIPTORS = 4_100
# Fewer than the connections of the crowd of idle clients.
FEW_DESCRIPTORS = 1_000
HEAD_BYTES = 16_000
BODY_BYTES = 262_144
ORDINARY_BODY = b"b" * 20_000
# Clients of each kind.
CROWDS = {
    "idle": {"idle": 1_500},
    "heads": {"head": 2_000},
    "bodies": {"body": 300},
    "small chunks": {"chunks": 60},
    "slow readers": {"reader": 300},
    "all kinds": {
        "idle": 300, "head": 300, "body": 200, "chunks": 40, "reader": 200,
    },
}  # fmt: skip
# Time for which the crowd stays once it has been started, and pause of a client
# between two connections.
CROWD_S = 10.0
RECONNECT_S = 1.0
CONNECT_TIMEOUT_S = 5.0
# Pause of a slow reader between two reads, and their size.
READ_INTERVAL_S = 1.0
READ_BYTES = 1_024
WATCH_INTERVAL_S = 0.02
REQUEST_INTERVAL_S = 0.25
ORDINARY_TRIES = 20
_REQUEST_IDS = itertools.count(1)


def _head(lines=(), method="POST", path="x"):
    return "\r\n".join(
        [
            f"{method} {FETCH.prefix}{path} HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: u{next(_REQUEST_IDS):08x}",
            "Deadline-Ms: 2000",
            *lines,
            "",
        ]
    ).encode()


def _opening(kind):
    """Returns what a client of a kind sends."""
    if kind == "idle":
        return b""
    if kind == "head":
        return _head([f"X-Long: {'x' * HEAD_BYTES}"])
    if kind == "body":
        lines = [f"Content-Length: {BODY_BYTES}"]
        return _head(lines) + b"\r\n" + b"b" * (BODY_BYTES - 1)
    if kind == "chunks":
        chunks = b"2\r\nab\r\n" * (BODY_BYTES // 2 - 1)
        return _head(["Transfer-Encoding: chunked"]) + b"\r\n" + chunks
    path = LARGE_PATH.decode()
    return _head(["Content-Length: 0"], method="GET", path=path) + b"\r\n"


@pytest.mark.parametrize("name", CROWDS)
def test_crowd_ends_no_process_and_ordinary_requests_are_answered(
    tmp_path, name
):
    """Guards against a process that runs out of memory or descriptors.

    Also guards against a crowd that keeps the room from all others.
    """
    descriptors = FEW_DESCRIPTORS if name == "idle" else MAX_DESCRIPTORS
    seen = trio.run(_play, tmp_path, CROWDS[name], descriptors)
    assert seen["runs"]
    assert seen["peak_mb"] < MEMORY_MB
    assert seen["peak_descriptors"] < descriptors
    assert 200 in seen["statuses"]
    assert 200 in seen["later_statuses"]


async def _play(folder, crowd, descriptors):
    """Lets a crowd come to one gateway, and returns what was seen there."""
    async with running_environment(1, folder, 2, MEMORY_MB, descriptors) as (
        environment,
        nursery,
    ):
        await wait_until_ready(environment, nursery)
        gateway = environment.gateways[0]
        seen = {"peak_mb": 0.0, "peak_descriptors": 0}

        async def watch():
            while True:
                memory_mb = gateway.memory_bytes / BYTES_PER_MB
                seen["peak_mb"] = max(seen["peak_mb"], memory_mb)
                seen["peak_descriptors"] = max(
                    seen["peak_descriptors"], gateway.open_descriptors
                )
                await trio.sleep(WATCH_INTERVAL_S)

        nursery.start_soon(watch)
        async with trio.open_nursery() as clients:
            for kind, count in crowd.items():
                for _ in range(count):
                    clients.start_soon(_run_client, gateway, kind)
            await trio.sleep(CROWD_S)
            seen["statuses"] = await _ordinary_statuses(gateway)
            clients.cancel_scope.cancel()
        seen["later_statuses"] = await _ordinary_statuses(gateway)
        seen["runs"] = gateway.is_running
        nursery.cancel_scope.cancel()
        print(seen)
        return seen


async def _ordinary_statuses(gateway):
    """Sends ordinary requests until one is answered with success."""
    statuses = []
    while len(statuses) < ORDINARY_TRIES and 200 not in statuses:
        attempt = await send_request(
            gateway, FETCH, f"{FETCH.prefix}x", body=ORDINARY_BODY
        )
        statuses.append(attempt.reply and attempt.reply.status)
        await trio.sleep(REQUEST_INTERVAL_S)
    return statuses


async def _run_client(gateway, kind):
    """Connects again and again, and stays until the gateway closes."""
    opening = _opening(kind)
    host, _, port = gateway.callers_address.rpartition(":")
    while True:
        with contextlib.suppress(
            OSError, trio.BrokenResourceError, trio.TooSlowError
        ):
            with trio.fail_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host, int(port))
            async with stream:
                await _stay(stream, kind, opening)
        await trio.sleep(RECONNECT_S)


async def _stay(stream, kind, opening):
    if opening:
        await stream.send_all(opening)
    while await stream.receive_some(READ_BYTES):
        if kind == "reader":
            await trio.sleep(READ_INTERVAL_S)
