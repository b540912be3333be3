"""Tests of telling other VMs which requests may crash leaves."""

from __future__ import annotations

import trio
from gateway_harness import serve_peer
from sapphire_core.crashsuspects import (
    SETTLING_S,
    CrashedLeaf,
    CrashVerdict,
)
from sapphire_core.members import Member
from sapphire_gateway.crashexchange import CrashExchange, CrashServer
from sapphire_gateway.fleet_view import FleetView, MemberUpdate, apply_update
from sapphire_gateway.messages import Request

# Covers a message to each VM.
DETECTION_S = 0.1


def _add_member(view, name, address):
    member = Member(name, "127.0.0.1:1", "z1", peer_address=address)
    apply_update(MemberUpdate(member), view, trio.current_time())


async def _exchanging_views(harness, count):
    """Returns the views of VMs that exchange what they know of crashes."""
    views = [FleetView(f"vm{n}") for n in range(count)]
    addresses = []
    for view in views:
        server = CrashServer(view)

        async def handle(request, caller, server=server):
            return server.handle(request)

        addresses.append(await serve_peer(harness.nursery, handle))
    for view in views:
        for number, address in enumerate(addresses):
            _add_member(view, f"vm{number}", address)
        exchange = CrashExchange(view, harness.nursery)
        harness.nursery.start_soon(exchange.run)
    return views


def test_crash_is_told_to_other_vms_without_the_store(run_with_harness):
    """Guards against counts that only the store carries, a second late."""

    async def test(harness):
        views = await _exchanging_views(harness, 4)
        now = trio.current_time()
        views[0].crashes.record_crash("a", CrashedLeaf("s", "1"), False, now)
        await trio.sleep(DETECTION_S)
        now = trio.current_time()
        assert {view.crashes.verdict("a", now) for view in views} == {
            CrashVerdict.HELD
        }
        # A VM that starts later, and knows one that saw nothing itself.
        late = FleetView("vm9")
        known = {m.name: m for m in views[0].members.all(now)}
        _add_member(late, "vm3", known["vm3"].peer_address)
        exchange = CrashExchange(late, harness.nursery)
        harness.nursery.start_soon(exchange.run)
        await trio.sleep(1.2)
        now = trio.current_time()
        assert late.crashes.verdict("a", now) is not CrashVerdict.CLEAR

    run_with_harness(test)


def test_quarantine_is_told_as_soon_as_it_is_due(run_with_harness):
    """Guards against a canary of another VM that does not know of it yet."""

    async def test(harness):
        views = await _exchanging_views(harness, 4)
        tracker = views[0].crashes
        now = trio.current_time()
        tracker.record_crash("a", CrashedLeaf("s", "1"), False, now)
        tracker.record_crash("a", CrashedLeaf("s", "2"), True, now)
        await trio.sleep(SETTLING_S + DETECTION_S)
        now = trio.current_time()
        assert {view.crashes.verdict("a", now) for view in views} == {
            CrashVerdict.QUARANTINED
        }

    run_with_harness(test)


def test_unreadable_crash_records_are_rejected():
    request = Request(b"POST", b"/crashes", [], b"\xc1", True)
    assert CrashServer(FleetView("vm1")).handle(request).status == 400
