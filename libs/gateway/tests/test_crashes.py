"""Tests of the detection and quarantine of requests that crash leaves."""

from __future__ import annotations

import trio
from gateway_harness import reply, single_leaf_route
from sapphire_core.quarantine import CrashCount, Verdict
from sapphire_gateway.crashes import (
    CRASH_GROUPING_S,
    QUARANTINE_S,
    CrashTracker,
    request_fingerprint,
)


def test_leaves_that_fail_together_count_once():
    """Leaves that fail together count as one crash.

    Otherwise the loss of a failure domain would quarantine every request that
    was running there.
    """
    tracker = CrashTracker()
    for index in range(5):
        tracker.record_crash("a", 10.0 + index * CRASH_GROUPING_S / 10)
    assert not tracker.is_refused("a", 11.0)


def test_second_crash_is_refused_for_a_time():
    """A request is refused after two crashes, until the quarantine ends."""
    tracker = CrashTracker()
    assert tracker.record_crash("a", 10.0) is Verdict.SUSPECT
    assert tracker.record_crash("a", 12.0) is Verdict.QUARANTINED
    assert tracker.is_refused("a", 12.0)
    assert not tracker.is_refused("b", 12.0)
    assert not tracker.is_refused("a", 12.0 + QUARANTINE_S)


def test_crash_at_another_vm_counts():
    """Crashes seen by different VMs add up to the limit of two."""
    first, second = CrashTracker(), CrashTracker()
    first.record_crash("a", 10.0)
    shared = first.take_unshared(10.1)
    assert shared is not None
    assert first.take_unshared(10.2) is None
    second.merge(shared, 10.5)
    assert second.record_crash("a", 12.0) is Verdict.QUARANTINED


def test_shared_quarantine_applies_to_vms_that_saw_no_crash():
    """A VM refuses requests that other VMs have quarantined."""
    tracker = CrashTracker()
    tracker.merge([CrashCount("a", 2, 30.0)], 10.0)
    assert tracker.is_refused("a", 11.0)


def test_fingerprint_differs_by_caller_host_target_and_body():
    """Requests of other callers, hosts, targets or bodies have others."""
    known = request_fingerprint(b"GET", b"h", b"/a/1", b"", "10.0.0.1")
    assert known == request_fingerprint(b"GET", b"h", b"/a/1", b"", "10.0.0.1")
    others = {
        request_fingerprint(b"GET", b"h", b"/a/1", b"", "10.0.0.2"),
        request_fingerprint(b"GET", b"h", b"/a/2", b"", "10.0.0.1"),
        request_fingerprint(b"GET", b"i", b"/a/1", b"", "10.0.0.1"),
        request_fingerprint(b"POST", b"h", b"/a/1", b"x", "10.0.0.1"),
    }
    assert known not in others
    assert len(others) == 4


async def _wait_for_crash_detection():
    """Waits until the pool has determined which leaves crashed."""
    await trio.sleep(CRASH_GROUPING_S + 0.2)


def test_request_that_crashes_leaves_is_refused(run_with_harness):
    """A request that crashed two leaves does not reach a third one."""

    async def test(harness):
        leaves = []

        async def answer(request):
            if b"/a/poison" not in request:
                return reply(request, b"fine")
            for leaf in leaves:
                if request in leaf.requests:
                    leaf.crash()
            return (b"",)

        harness.configure(single_leaf_route(max_attempts=1))
        for _ in range(2):
            leaves.append(await harness.leaf("s", answer))
            assert (await harness.request("/a/poison")).status == 502
            await _wait_for_crash_detection()
        leaves.append(await harness.leaf("s", answer))
        refused = await harness.request("/a/poison")
        assert refused.status == 503
        assert float(refused.headers["retry-after"]) > 0
        assert leaves[2].requests == []
        assert (await harness.request("/a/other")).status == 200

    run_with_harness(test)


def test_lost_connection_to_a_live_leaf_is_no_crash(run_with_harness):
    """Lost connections to a live leaf do not quarantine a request."""

    async def test(harness):
        await harness.leaf("s", lambda r: (b"",))
        harness.configure(single_leaf_route(max_attempts=1))
        for _ in range(3):
            assert (await harness.request("/a/x")).status == 502
            await _wait_for_crash_detection()

    run_with_harness(test)
