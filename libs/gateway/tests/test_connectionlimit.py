"""Tests of the limit of connections."""

from __future__ import annotations

import pytest
import trio
from gateway_harness import (
    read_response,
    reply,
    request_bytes,
    single_leaf_route,
)
from sapphire_gateway.connectionlimit import (
    CALLERS_SHARE,
    MIN_CONNECTIONS,
    ConnectionLimit,
)


class FakeConnection:
    """Records whether it was closed."""

    def __init__(self) -> None:
        self.is_closed = False

    def close_for_room(self):
        self.is_closed = True


@pytest.mark.parametrize(
    ("descriptors", "memory_bytes", "limit"),
    [
        (4_100, 300e6, 1_560),
        (4_100, 120e6, 1_464),
        (1_000, 300e6, 320),
        (0, 300e6, MIN_CONNECTIONS),
        (4_100, None, 1_560),
    ],
)
def test_limit_follows_from_memory_and_descriptors(
    descriptors, memory_bytes, limit
):
    connections = ConnectionLimit(CALLERS_SHARE)
    connections.set_resources(descriptors, memory_bytes)
    assert connections.max_connections == limit


def test_connection_that_waits_longest_gives_way():
    """Guards against new callers that are refused for idle ones."""
    limit = ConnectionLimit(CALLERS_SHARE)
    limit.max_connections = 3
    first, second, third, fourth = [FakeConnection() for _ in range(4)]
    for connection in (first, second, third):
        assert limit.admit(connection)
    # Its request has been answered since.
    limit.begin_request(first)
    limit.end_request(first)
    assert limit.admit(fourth)
    assert second.is_closed
    assert not first.is_closed


def test_connection_with_a_request_does_not_give_way():
    """Guards against requests that are cut for new connections."""
    limit = ConnectionLimit(CALLERS_SHARE)
    limit.max_connections = 1
    busy = FakeConnection()
    assert limit.admit(busy)
    limit.begin_request(busy)
    assert not limit.admit(FakeConnection())
    assert not busy.is_closed
    limit.remove(busy)
    assert limit.admit(FakeConnection())


def test_callers_are_served_beside_a_crowd_of_idle_connections(
    run_with_harness,
):
    """Guards against a crowd that takes all connections."""

    async def test(harness):
        harness.connection_limit.max_connections = 5
        await harness.leaf("s", lambda r: reply(r, b"r"))
        harness.configure(single_leaf_route())
        kept = await harness.connect()
        await kept.send_all(request_bytes())
        assert (await read_response(kept)).status == 200
        idle = [await harness.connect() for _ in range(4)]
        await trio.sleep(0.1)
        # It takes the place of the kept connection, which is the oldest.
        assert (await harness.request()).status == 200
        assert await kept.receive_some(1) == b""
        await trio.sleep(0.1)
        idle.append(await harness.connect())
        assert (await harness.request()).status == 200
        assert harness.connection_limit.count <= 5
        for stream in (kept, *idle):
            await stream.aclose()

    run_with_harness(test)


def test_request_in_progress_outlives_a_crowd_of_connections(run_with_harness):
    """Guards against requests that are cut for new connections."""

    async def test(harness):
        harness.connection_limit.max_connections = 3

        async def answer_late(request):
            await trio.sleep(0.3)
            return reply(request, b"r")

        await harness.leaf("s", answer_late)
        harness.configure(single_leaf_route())
        async with await harness.connect() as stream:
            # The second request waits for the answer to the first.
            await stream.send_all(request_bytes() * 2)
            idle = [await harness.connect() for _ in range(6)]
            statuses = [(await read_response(stream)).status for _ in range(2)]
        assert statuses == [200, 200]
        for other in idle:
            await other.aclose()

    run_with_harness(test)
