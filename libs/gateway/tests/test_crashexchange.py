"""Tests of telling other VMs which requests may crash leaves."""

from __future__ import annotations

import dataclasses

import pytest
import trio
from gateway_harness import HEADER_NAMES, serve_peer
from sapphire_core.crashsuspects import (
    SETTLING_S,
    CrashedLeaf,
    CrashRecord,
    CrashVerdict,
)
from sapphire_core.members import Member
from sapphire_core.retrybudget import RetryBudgetPolicy
from sapphire_gateway.crashes import MAX_SHARED_RECORDS, CrashTracker
from sapphire_gateway.crashexchange import (
    NEWS_PATH,
    QUESTION_PATH,
    SPARE_EXCHANGE_INTERVAL_S,
    CrashExchange,
    CrashServer,
)
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView, MemberUpdate, apply_update
from sapphire_gateway.messages import Request
from sapphire_gateway.pool import LeafPool

# Covers a message to each VM.
DETECTION_S = 0.1


class PeerVm:
    """A VM that exchanges crash records, with the messages that it gets."""

    def __init__(self, nursery, name, domain, address="") -> None:
        self.fleet = Fleet(
            FleetView(name),
            LeafPool(nursery, HEADER_NAMES),
            HEADER_NAMES,
            domain,
            RetryBudgetPolicy(0.2, 50.0, 10.0),
        )
        self.view = self.fleet.view
        self.member = Member(name, "127.0.0.1:1", domain, peer_address=address)
        # Target and size of each message.
        self.messages: list[tuple[bytes, int]] = []

    async def serve(self, nursery):
        server = CrashServer(self.view)

        async def handle(request, caller):
            self.messages.append((request.target, len(request.body)))
            return server.handle(request)

        address = await serve_peer(nursery, handle)
        self.member = dataclasses.replace(self.member, peer_address=address)

    def start(self, nursery, known):
        """Starts the exchange with the VMs that this one knows."""
        for vm in known:
            update = MemberUpdate(vm.member)
            apply_update(update, self.view, trio.current_time())
        exchange = CrashExchange(self.fleet, self.member, nursery)
        self.fleet.on_serving = exchange.ask_soon
        nursery.start_soon(exchange.run)
        self.fleet.recompute_shares(trio.current_time())

    def verdict(self, fingerprint):
        return self.view.crashes.verdict(fingerprint, trio.current_time())

    def record_crash(self, fingerprint, leaf, is_canary=False):
        now = trio.current_time()
        self.view.crashes.record_crash(
            fingerprint, CrashedLeaf("s", leaf), is_canary, now
        )


async def _exchanging_vms(harness, count):
    """Returns VMs in pairs of a failure domain; the first two of one serve."""
    vms = [PeerVm(harness.nursery, f"vm{n}", f"z{n % 2}") for n in range(count)]
    for vm in vms:
        await vm.serve(harness.nursery)
    for vm in vms:
        vm.start(harness.nursery, vms)
    return vms


def test_crash_is_told_to_other_vms_without_the_store(run_with_harness):
    """Guards against counts that only the store carries, a second late."""

    async def test(harness):
        vms = await _exchanging_vms(harness, 4)
        vms[0].record_crash("a", "1")
        await trio.sleep(DETECTION_S)
        assert {vm.verdict("a") for vm in vms} == {CrashVerdict.HELD}
        # A VM that starts later, and knows one that saw nothing itself.
        late = PeerVm(harness.nursery, "vm9", "z1", "127.0.0.1:2")
        late.start(harness.nursery, [late, vms[3]])
        await trio.sleep(1.2)
        assert late.verdict("a") is not CrashVerdict.CLEAR

    run_with_harness(test)


def test_quarantine_is_told_as_soon_as_it_is_due(run_with_harness):
    """Guards against a canary of another VM that does not know of it yet."""

    async def test(harness):
        vms = await _exchanging_vms(harness, 4)
        vms[0].record_crash("a", "1")
        vms[0].record_crash("a", "2", is_canary=True)
        await trio.sleep(SETTLING_S + DETECTION_S)
        assert {vm.verdict("a") for vm in vms} == {CrashVerdict.QUARANTINED}

    run_with_harness(test)


def test_spare_vm_learns_of_a_crash_before_it_serves(run_with_harness):
    """Guards against a request that a VM runs because it was not told."""

    async def test(harness):
        vms = await _exchanging_vms(harness, 6)
        vms[0].record_crash("a", "1")
        await trio.sleep(DETECTION_S)
        spare = [vm for vm in vms if not vm.fleet.is_serving]
        assert len(spare) == 2
        assert {vm.verdict("a") for vm in spare} == {CrashVerdict.CLEAR}
        # The serving VMs of its domain are lost.
        for vm in vms:
            for lost in vms[:2]:
                vm.view.members.record_missing(lost.member.name, 0.0)
            vm.fleet.recompute_shares(trio.current_time())
        assert vms[4].fleet.is_serving
        await trio.sleep(DETECTION_S)
        assert vms[4].verdict("a") is not CrashVerdict.CLEAR
        await trio.sleep(SPARE_EXCHANGE_INTERVAL_S)
        assert vms[5].verdict("a") is not CrashVerdict.CLEAR

    run_with_harness(test)


def test_message_about_a_crash_has_no_earlier_ones(run_with_harness):
    """Guards against traffic that grows with all suspects and all VMs.

    The load: leaves crash one after the other, each under several searches.
    """

    async def test(harness):
        vms = await _exchanging_vms(harness, 40)
        told = sum(vm.fleet.is_serving for vm in vms) - 1
        for number in range(MAX_SHARED_RECORDS):
            vms[0].record_crash(f"search-{number}", f"leaf-{number}")
            await trio.sleep(0.002)
        await trio.sleep(2 * SPARE_EXCHANGE_INTERVAL_S)
        messages = [m for vm in vms for m in vm.messages]
        news = [size for path, size in messages if path == NEWS_PATH.encode()]
        one_record = 80
        assert sum(news) <= told * MAX_SHARED_RECORDS * one_record
        # A question names the records that the VM has by their digests.
        path = QUESTION_PATH.encode()
        questions = [size for target, size in messages if target == path]
        assert max(questions) <= MAX_SHARED_RECORDS * 12

    run_with_harness(test)


def test_answer_has_only_the_records_that_the_other_vm_lacks():
    """Guards against exchanges of whole sets by VMs that know the same."""
    first, second = FleetView("vm1"), FleetView("vm2")
    for number in range(12):
        leaf = CrashedLeaf("s", f"leaf-{number}")
        first.crashes.record_crash("a", leaf, False, 10.0)
    first.crashes.record_crash("b", CrashedLeaf("s", "1"), False, 10.0)
    for _ in range(2):
        digests = {r.digest for r in second.crashes.shared_records(10.5)}
        lacking = first.crashes.records_unlike(digests, 10.0)
        second.crashes.merge(lacking, "vm1", 10.5)
    assert {r.fingerprint for r in second.crashes.shared_records(11.0)} == {
        "a",
        "b",
    }
    assert lacking == ()


def test_suspicion_that_ends_at_once_is_not_told():
    """Guards against messages on each search that lost one of its leaves."""
    tracker = CrashTracker("vm1")
    tracker.record_crash("a", CrashedLeaf("s", "1"), False, 10.0)
    tracker.record_survival("a", "s", False, 10.001)
    assert tracker.take_own_news(10.005) == ()
    tracker.record_crash("b", CrashedLeaf("s", "1"), False, 10.0)
    (told,) = tracker.take_own_news(10.005)
    assert told.fingerprint == "b"
    tracker.record_survival("b", "s", False, 10.01)
    (cleared,) = tracker.take_own_news(10.02)
    assert cleared.leaves == ()
    assert len(cleared.cleared) == 1


def test_clearing_of_a_request_that_another_vm_told_is_told():
    """Guards against a VM that holds a request which ran well elsewhere."""
    tracker = CrashTracker("vm1")
    leaf = CrashedLeaf("s", "1")
    tracker.merge([CrashRecord("a", (leaf,), False, 30.0)], "vm2", 10.0)
    assert tracker.take_own_news(10.0) == ()
    tracker.record_survival("a", "s", True, 10.5)
    (cleared,) = tracker.take_own_news(10.5)
    assert cleared.cleared == (leaf,)


@pytest.mark.parametrize("path", [NEWS_PATH, QUESTION_PATH])
@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x92\x01\x02"])
def test_unreadable_crash_records_are_rejected(path, body):
    request = Request(b"POST", path.encode(), [], body, True)
    assert CrashServer(FleetView("vm1")).handle(request).status == 400
