"""Requests that crash leaves: what one VM counts and all VMs refuse."""

from __future__ import annotations

import trio
from gateway_world import one, reply
from sapphire_core.quarantine import Record, Verdict
from sapphire_gateway.crashes import (
    ONE_CRASH_S,
    QUARANTINE_S,
    CrashWatch,
    fingerprint,
)


def test_leaves_that_fall_together_count_once():
    """Guards against the refusal of all that ran in a lost domain."""
    watch = CrashWatch()
    for place in range(5):
        watch.crashed("a", 10.0 + place * ONE_CRASH_S / 10)
    assert not watch.is_refused("a", 11.0)


def test_second_crash_is_refused_for_a_time():
    """Guards against a request that crashes leaf after leaf."""
    watch = CrashWatch()
    assert watch.crashed("a", 10.0) is Verdict.SUSPECT
    assert watch.crashed("a", 12.0) is Verdict.QUARANTINED
    assert watch.is_refused("a", 12.0)
    assert not watch.is_refused("b", 12.0)
    assert not watch.is_refused("a", 12.0 + QUARANTINE_S)


def test_crash_at_another_vm_counts():
    """Guards against two crashes at each VM in place of two in all."""
    first, second = CrashWatch(), CrashWatch()
    first.crashed("a", 10.0)
    shared = first.take_unshared(10.1)
    assert shared is not None
    assert first.take_unshared(10.2) is None
    second.learn(shared, 10.5)
    assert second.crashed("a", 12.0) is Verdict.QUARANTINED


def test_shared_quarantine_binds_vms_that_saw_no_crash():
    """Guards against a VM that lets a known crash request through."""
    watch = CrashWatch()
    watch.learn([Record("a", 2, 30.0)], 10.0)
    assert watch.is_refused("a", 11.0)


def test_fingerprint_differs_by_caller_target_and_body():
    """Guards against a refusal of other requests."""
    known = fingerprint(b"GET", b"/a/1", b"", "10.0.0.1")
    assert known == fingerprint(b"GET", b"/a/1", b"", "10.0.0.1")
    others = {
        fingerprint(b"GET", b"/a/1", b"", "10.0.0.2"),
        fingerprint(b"GET", b"/a/2", b"", "10.0.0.1"),
        fingerprint(b"POST", b"/a/1", b"x", "10.0.0.1"),
    }
    assert known not in others
    assert len(others) == 3


async def _settled():
    """Lets the pool find out which leaves are alive."""
    await trio.sleep(ONE_CRASH_S + 0.2)


def test_request_that_crashes_leaves_is_refused(in_world):
    """Guards against a crash request that comes again and again."""

    async def test(world):
        leaves = []

        async def answer(request):
            if b"/a/poison" not in request:
                return reply(request, b"fine")
            for leaf in leaves:
                if request in leaf.requests:
                    leaf.crash()
            return (b"",)

        world.configure(one(max_attempts=1))
        for _ in range(2):
            leaves.append(await world.leaf("s", answer))
            assert (await world.ask("/a/poison")).status == 502
            await _settled()
        leaves.append(await world.leaf("s", answer))
        refused = await world.ask("/a/poison")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert leaves[2].requests == []
        assert (await world.ask("/a/other")).status == 200

    in_world(test)


def test_lost_connection_to_a_live_leaf_is_no_crash(in_world):
    """Guards against the refusal of a request whose answers were lost."""

    async def test(world):
        await world.leaf("s", lambda r: (b"",))
        world.configure(one(max_attempts=1))
        for _ in range(3):
            assert (await world.ask("/a/x")).status == 502
            await _settled()

    in_world(test)
