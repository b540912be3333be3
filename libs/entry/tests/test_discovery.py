"""Tests of the wait for unknown leaves before a canary."""

from __future__ import annotations

import trio
import trio.testing
from sapphire_core.shardmap import Replica, ReplicaState
from sapphire_entry.discovery import DISCOVERY_S, MAX_WAIT_S, LeafDiscovery

LEAVES = {"tox": frozenset({"l1", "l2"})}


def replica(address, holder="a1"):
    known = Replica(address, None, "d1", ReplicaState.WARM, 0.0, 0)
    known.holder = holder
    return known


def run(test):
    """Runs a test with a tracker, its replicas and a function to wait."""

    async def main():
        replicas = {"l1": replica("l1")}
        discovery = LeafDiscovery(lambda service: replicas)
        discovery.configure(LEAVES, trio.current_time())

        async def wait():
            async def wait_reply():
                await trio.sleep(0.1)

            began = trio.current_time()
            answer_at = began + 10.0
            waited = await discovery.wait("tox", answer_at, wait_reply)
            return waited, trio.current_time() - began

        await test(discovery, replicas, wait)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_query_waits_until_all_leaves_have_a_holder():
    """Guards against a canary at another leaf than those of other entries."""

    async def test(discovery, replicas, wait):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(find_leaf_later, replicas)
            waited, seconds = await wait()
        assert waited
        assert 0.3 <= seconds <= 0.5

    async def find_leaf_later(replicas):
        await trio.sleep(0.3)
        replicas["l2"] = replica("l2")

    run(test)


def test_wait_is_bounded():
    """Guards against queries that wait for a leaf that does not exist."""

    async def test(discovery, replicas, wait):
        replicas["l2"] = replica("l2", holder=None)
        waited, seconds = await wait()
        assert waited
        assert MAX_WAIT_S <= seconds <= MAX_WAIT_S + 0.1
        await trio.sleep(DISCOVERY_S)
        assert await wait() == (False, 0.0)

    run(test)


def test_leaf_that_fails_later_is_not_awaited():
    """Guards against slow queries whenever a leaf is down."""

    async def test(discovery, replicas, wait):
        replicas["l2"] = replica("l2")
        assert await wait() == (False, 0.0)
        replicas["l2"].holder = None
        assert await wait() == (False, 0.0)
        discovery.configure(LEAVES, trio.current_time())
        assert await wait() == (False, 0.0)

    run(test)


def test_new_leaves_are_awaited():
    """Entries hear of a new leaf at different times, too."""

    async def test(discovery, replicas, wait):
        replicas["l2"] = replica("l2")
        assert await wait() == (False, 0.0)
        more = {"tox": LEAVES["tox"] | {"l3"}}
        discovery.configure(more, trio.current_time())
        waited, _ = await wait()
        assert waited

    run(test)


def test_urgent_query_waits_for_a_part_of_its_time():
    async def test(discovery, replicas, wait):
        began = trio.current_time()

        async def wait_reply():
            await trio.sleep(0.01)

        assert await discovery.wait("tox", began + 0.4, wait_reply)
        assert 0.2 <= trio.current_time() - began <= 0.22

    run(test)
