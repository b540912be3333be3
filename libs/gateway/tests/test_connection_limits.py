"""Tests of how many connections a VM opens to a leaf."""

from __future__ import annotations

import socket
import struct

import trio
from gateway_harness import Leaf, reply, single_leaf_route
from sapphire_core.members import Member
from sapphire_gateway.leafendpoint import INITIAL_REFUSAL_BACKOFF_S

REPLY_DELAY_S = 0.05
SETTLING_S = 0.1


class LimitedLeaf(Leaf):
    """A leaf that resets connections beyond a number."""

    def __init__(self, make_reply, max_connections) -> None:
        super().__init__(make_reply)
        self._max_connections = max_connections
        self.open = 0
        self.resets = 0

    async def serve(self, stream):
        if self.open >= self._max_connections:
            self.resets += 1
            # Closes with a reset in place of a FIN.
            linger = struct.pack("ii", 1, 0)
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await stream.aclose()
            return
        self.open += 1
        try:
            await super().serve(stream)
        finally:
            self.open -= 1


async def _slow_reply(request):
    await trio.sleep(REPLY_DELAY_S)
    return reply(request, b"a")


def test_leaf_that_resets_connections_is_not_asked_for_more(run_with_harness):
    """Guards against a reset that leads to the next connection.

    The load: a leaf that accepts fewer connections than it is configured for,
    because other VMs have them, and more calls than it runs at once.
    """

    async def test(harness):
        leaf = LimitedLeaf(_slow_reply, 1)
        await harness.leaf("s", leaf)
        harness.configure(single_leaf_route(target_s=2.0, max_attempts=3))
        assert (await harness.request()).status == 200
        statuses = []

        async def request(number):
            answer = await harness.request(request_id=f"r{number}")
            statuses.append(answer.status)

        for number in range(30):
            harness.nursery.start_soon(request, number)
            await trio.sleep(REPLY_DELAY_S)
        await trio.sleep(10 * REPLY_DELAY_S)
        # One attempt, and one after each back-off of 0.5 and 1.0 s.
        assert leaf.resets <= 3
        assert statuses.count(200) >= 30 - leaf.resets

    run_with_harness(test)


def test_connections_are_not_opened_in_advance_after_a_reset(run_with_harness):
    """Guards against a new attempt with each change of the fleet's view."""

    async def test(harness):
        leaf = LimitedLeaf(_slow_reply, 0)
        await harness.leaf("s", leaf)
        (known,) = harness.view.registry.leaves
        for _ in range(10):
            harness.pool.connect(known.entry)
            await trio.sleep(INITIAL_REFUSAL_BACKOFF_S / 20)
        assert leaf.resets == 1

    run_with_harness(test)


def test_spare_vm_keeps_no_connection(run_with_harness):
    """Guards against spare VMs that use up the connections of a leaf.

    The load: a few requests sent to each VM of a large fleet, whether it serves
    callers or not.
    """

    async def test(harness):
        leaf = LimitedLeaf(lambda r: reply(r, b"a"), 9)
        await harness.leaf("s", leaf)
        harness.configure(single_leaf_route())
        now = trio.current_time()
        for number in range(2, 5):
            strong = Member(f"vm{number}", "a:1", "z1", cores=2.0)
            harness.view.members.put(strong)
        harness.view.members.put(Member("vm1", "a:1", "z1", cores=0.5))
        harness.fleet.recompute_shares(now)
        assert not harness.fleet.is_serving
        assert (await harness.request()).status == 200
        await trio.sleep(SETTLING_S)
        assert leaf.open == 0
        for number in range(2, 5):
            harness.view.members.record_missing(f"vm{number}", 0.0)
        harness.fleet.recompute_shares(trio.current_time() + 2.0)
        assert harness.fleet.is_serving
        assert (await harness.request()).status == 200
        await trio.sleep(SETTLING_S)
        assert leaf.open == 1

    run_with_harness(test)
