"""Tests of the decision which requests may crash leaves."""

from __future__ import annotations

import pytest
from sapphire_core import crashsuspects
from sapphire_core.crashsuspects import (
    COINCIDENCE_S,
    HOLD_S,
    MAX_CANARY_CRASHES,
    MAX_SHARED_LEAVES,
    MIN_RETRY_S,
    QUARANTINE_S,
    SETTLING_S,
    SUSPICION_S,
    CrashedLeaf,
    CrashRecord,
    CrashSuspects,
    CrashVerdict,
)

# After the hold of any VM.
LATER_S = HOLD_S + crashsuspects.MAX_CANARY_DELAY_S + 0.01


def leaf(number, service="s"):
    return CrashedLeaf(service, f"i-{number}@1")


def suspects_of(count):
    """Returns the suspects of several VMs that know each other."""
    names = [f"vm{n}" for n in range(count)]
    vms = [CrashSuspects(name) for name in names]
    for vm in vms:
        vm.set_members(names)
    return vms


def exchange(vms, now):
    """Lets each VM tell all others what it knows."""
    for sender in vms:
        for receiver in vms:
            if receiver is not sender:
                receiver.merge(sender.records(50, now), now)


@pytest.mark.parametrize("interval_s", [0.01, 0.1, 0.3, 0.39, 0.45, 1.0])
def test_repeated_crash_request_ends_at_most_two_leaves(interval_s):
    """Guards against a series of crashes that counts once for ever."""
    suspects = CrashSuspects("vm1")
    crashes = 0
    for number in range(400):
        now = 10.0 + number * interval_s
        verdict = suspects.verdict("a", now)
        if verdict in {CrashVerdict.CLEAR, CrashVerdict.CANARY}:
            crashes += 1
            is_canary = verdict is CrashVerdict.CANARY
            suspects.record_crash("a", leaf(number), is_canary, now)
        else:
            suspects.record_refusal("a", now)
    assert crashes == 2


def test_leaves_lost_together_do_not_quarantine_what_ran_there():
    """Guards against blaming requests for the loss of a failure domain."""
    suspects = CrashSuspects("vm1")
    for number in range(20):
        suspects.record_crash(
            "a", leaf(number, f"s{number}"), False, 10.0 + number / 50
        )
    assert suspects.verdict("a", 10.4) is CrashVerdict.HELD
    assert suspects.verdict("a", 10.4 + LATER_S) is CrashVerdict.CANARY
    suspects.record_survival("a", "s3", is_canary=True)
    assert suspects.verdict("a", 10.4 + LATER_S) is CrashVerdict.CLEAR


def test_reply_of_another_leaf_of_the_service_clears():
    """Guards against suspicion of requests whose retry succeeded."""
    suspects = CrashSuspects("vm1")
    suspects.record_crash("a", leaf(1), False, 10.0)
    suspects.record_crash("a", leaf(2, "t"), False, 10.0)
    assert not suspects.record_survival("a", "s", is_canary=False)
    assert suspects.verdict("a", 10.1) is CrashVerdict.HELD
    assert suspects.canary_order("a", ["r", "s", "t"])[0] == "t"
    assert suspects.record_survival("a", "t", is_canary=False)
    assert suspects.verdict("a", 10.1) is CrashVerdict.CLEAR


def test_cleared_crash_told_by_another_vm_does_not_count_again():
    """Guards against late messages that undo what a reply has cleared."""
    first, second = suspects_of(2)
    first.record_crash("a", leaf(1), False, 10.0)
    second.merge(first.records(50, 10.0), 10.0)
    first.record_survival("a", "s", is_canary=False)
    first.merge(second.records(50, 10.1), 10.1)
    assert first.verdict("a", 10.1) is CrashVerdict.CLEAR
    first.record_crash("a", leaf(2), False, 10.2)
    assert first.verdict("a", 10.2) is CrashVerdict.HELD


def test_crashes_of_different_vms_add_up():
    """Guards against VMs that each know of their own crash only."""
    vms = suspects_of(9)
    for number, vm in enumerate(vms):
        vm.record_crash("a", leaf(number), False, 10.0)
    exchange(vms, 10.01)
    assert {vm.verdict("a", 10.1) for vm in vms} == {CrashVerdict.HELD}
    first = min(vms, key=lambda vm: vm.record_refusal("a", 10.1))
    canary_at = 10.1 + first.record_refusal("a", 10.1)
    others = [vm for vm in vms if vm is not first]
    assert first.verdict("a", canary_at) is CrashVerdict.CANARY
    assert {vm.verdict("a", canary_at) for vm in others} == {CrashVerdict.HELD}
    first.record_crash("a", leaf(10), True, canary_at)
    exchange(vms, canary_at)
    assert {vm.verdict("a", canary_at) for vm in vms} == {CrashVerdict.HELD}
    settled_at = canary_at + SETTLING_S
    exchange(vms, settled_at)
    assert {vm.verdict("a", settled_at) for vm in vms} == {
        CrashVerdict.QUARANTINED
    }


def test_one_crash_seen_by_two_vms_counts_once():
    """Guards against a leaf's crash that counts for each VM that saw it."""
    first, second = suspects_of(2)
    first.record_crash("a", leaf(1), False, 10.0)
    second.record_crash("a", leaf(1), True, 10.0)
    exchange([first, second], 10.1)
    later = 10.0 + LATER_S
    assert second.verdict("a", later) is CrashVerdict.CANARY


def test_harmless_request_on_the_leaf_of_a_crashing_one_is_not_quarantined():
    """Guards against blaming both canaries that ran on the same leaf."""
    first, second = suspects_of(2)
    for number in range(3):
        first.record_crash("harmless", leaf(number), False, 10.0)
        second.record_crash("crashing", leaf(number), False, 10.0)
    exchange([first, second], 10.0)
    first.record_crash("harmless", leaf(5), True, 12.0)
    second.record_crash("crashing", leaf(5), True, 12.0)
    exchange([first, second], 12.01)
    # Each may be the work of the other.
    later = 12.0 + LATER_S
    for vm in (first, second):
        for name in ("harmless", "crashing"):
            assert vm.verdict(name, later) is CrashVerdict.CANARY
    first.record_survival("harmless", "s", is_canary=True)
    second.record_crash("crashing", leaf(6), True, later)
    now = later + SETTLING_S
    exchange([first, second], now)
    exchange([first, second], now)
    for vm in (first, second):
        assert vm.verdict("harmless", now) is CrashVerdict.CLEAR
        assert vm.verdict("crashing", now) is CrashVerdict.QUARANTINED


def test_company_of_a_crashing_request_does_not_protect_it():
    """Guards against a request that is never quarantined on busy leaves."""
    suspects = CrashSuspects("vm1")
    suspects.record_crash("crashing", leaf(1), False, 10.0)
    suspects.record_crash("crashing", leaf(2), True, 12.0)
    suspects.record_crash("submission", leaf(2), False, 12.0)
    now = 12.0 + SETTLING_S
    assert suspects.verdict("crashing", now) is CrashVerdict.QUARANTINED


def test_canary_lost_with_its_failure_domain_is_not_quarantined():
    """Guards against blaming a canary for a domain that is lost meanwhile."""
    suspects = CrashSuspects("vm1")
    suspects.record_crash("a", leaf(1), False, 10.0)
    suspects.record_crash("a", leaf(2), True, 12.0)
    for number in range(10, 20):
        # Leaves of the same domain, where the request never ran.
        suspects.record_crash(f"f{number}", leaf(number), False, 12.0)
    now = 12.0 + SETTLING_S
    assert suspects.verdict("a", now) is not CrashVerdict.QUARANTINED


def test_cleared_crash_still_shows_that_a_failure_domain_was_lost():
    """Guards against evidence that goes with the first reply to a retry."""
    first, second = suspects_of(2)
    first.record_crash("a", leaf(1), False, 10.0)
    second.record_crash("b", leaf(5, "t"), False, 11.996)
    first.record_crash("a", leaf(2), True, 12.0)
    second.record_survival("b", "t", is_canary=False)
    exchange([first, second], 12.02)
    now = 12.0 + SETTLING_S
    assert first.verdict("a", now) is not CrashVerdict.QUARANTINED


def test_crash_long_before_does_not_explain_the_crash_of_a_canary():
    suspects = CrashSuspects("vm1")
    suspects.record_crash("a", leaf(1), False, 10.0)
    suspects.record_crash("b", leaf(5), False, 12.0 - COINCIDENCE_S - 0.01)
    suspects.record_crash("a", leaf(2), True, 12.0)
    now = 12.0 + SETTLING_S
    assert suspects.verdict("a", now) is CrashVerdict.QUARANTINED


@pytest.mark.parametrize("is_company", [False, True])
def test_doubt_ends_after_some_canaries_of_all_vms(is_company):
    """Guards against a crash request that others keep from quarantine."""
    vms = suspects_of(MAX_CANARY_CRASHES)
    vms[0].record_crash("a", leaf(0), False, 10.0)
    exchange(vms, 10.0)
    now = 10.0
    for number, vm in enumerate(vms, start=1):
        assert vm.verdict("a", now) is not CrashVerdict.QUARANTINED
        now += LATER_S
        vm.record_crash("a", leaf(number), True, now)
        # As many crashes, so that each may be the work of the other request.
        for other in range(number + 1):
            place = other if is_company else 100 * number + other
            vm.record_crash("b", leaf(place), False, now)
        exchange(vms, now)
    now += SETTLING_S
    assert {vm.verdict("a", now) for vm in vms} == {CrashVerdict.QUARANTINED}


def test_all_of_a_message_is_known_before_it_is_judged():
    """Guards against a verdict without what the rest of a message says."""
    suspects = CrashSuspects("vm1")
    suspects.record_crash("a", leaf(1), False, 10.0)
    suspects.record_crash("a", leaf(2), True, 12.0)
    now = 12.0 + SETTLING_S
    records = [
        CrashRecord("a", (leaf(3),), False, 30.0),
        # Ran there too, and has as many crashes.
        CrashRecord("b", (leaf(1), leaf(2), leaf(3)), False, 30.0),
    ]
    verdicts = dict(suspects.merge(records, now))
    assert verdicts["a"] is CrashVerdict.HELD


def test_crash_times_are_bounded(monkeypatch):
    monkeypatch.setattr(crashsuspects, "MAX_CRASH_TIMES", 10)
    suspects = CrashSuspects("vm1")
    suspects.record_crash("a", leaf(1), False, 10.0)
    suspects.record_crash("a", leaf(2), True, 12.0)
    for number in range(50):
        suspects.record_crash("b", leaf(100 + number), False, 20.0)
    now = 20.0 + SETTLING_S
    assert suspects.verdict("a", now) is CrashVerdict.QUARANTINED


def test_clearing_is_told_to_other_vms():
    """Guards against VMs that hold back what another VM has seen answered."""
    first, second = suspects_of(2)
    first.record_crash("a", leaf(1), False, 10.0)
    exchange([first, second], 10.0)
    first.record_survival("a", "s", is_canary=False)
    exchange([first, second], 10.1)
    assert second.verdict("a", 10.1) is CrashVerdict.CLEAR
    exchange([second, first], 10.2)
    assert first.verdict("a", 10.2) is CrashVerdict.CLEAR


def test_vm_that_starts_later_learns_from_any_other():
    """Guards against counts that go with the VM that saw the crashes."""
    first, second, late = suspects_of(3)
    first.record_crash("a", leaf(1), False, 10.0)
    first.record_crash("a", leaf(2), True, 12.0)
    second.merge(first.records(50, 13.0), 13.0)
    # The first VM is gone.
    late.merge(second.records(50, 20.0), 20.0)
    assert late.verdict("a", 20.0) is CrashVerdict.QUARANTINED


def test_quarantine_lasts_while_the_request_is_sent():
    """Guards against retries that reach leaves whenever a quarantine ends."""
    first, second = suspects_of(2)
    first.record_crash("a", leaf(1), False, 10.0)
    first.record_crash("a", leaf(2), True, 12.0)
    second.merge(first.records(50, 13.0), 13.0)
    now = 13.0
    for _ in range(10):
        now += QUARANTINE_S / 2
        assert first.record_refusal("a", now) == QUARANTINE_S
        # The second VM hears of the refusals, though none is sent there.
        exchange([first, second], now)
    assert second.verdict("a", now + 1.0) is CrashVerdict.QUARANTINED
    later = now + QUARANTINE_S + 1.0
    assert first.verdict("a", later) is CrashVerdict.CLEAR


def test_refusal_names_a_time_however_short_it_is():
    """Guards against a caller that is told to come back after 0 s."""
    suspects = CrashSuspects("vm1")
    suspects.record_crash("a", leaf(1), False, 10.0)
    canary_at = 10.0 + suspects.record_refusal("a", 10.0)
    # The hold may end between the verdict and the refusal.
    for now in (canary_at - 0.0001, canary_at + 0.0001):
        assert suspects.record_refusal("a", now) >= MIN_RETRY_S


def test_suspicion_without_further_crashes_ends():
    suspects = CrashSuspects("vm1")
    suspects.record_crash("a", leaf(1), False, 10.0)
    assert suspects.verdict("a", 10.0 + SUSPICION_S) is CrashVerdict.CLEAR


def test_canary_holds_others_back_while_it_runs():
    """Guards against several canaries of one request at the same time."""
    suspects = CrashSuspects("vm1")
    suspects.record_crash("a", leaf(1), False, 10.0)
    now = 10.0 + LATER_S
    suspects.begin_canary("a", now + 5.0)
    assert suspects.verdict("a", now + 4.9) is CrashVerdict.HELD
    suspects.end_canary("a", now + 1.0)
    assert suspects.verdict("a", now + 1.1) is CrashVerdict.HELD
    assert suspects.verdict("a", now + 1.0 + HOLD_S) is CrashVerdict.CANARY


def test_records_are_bounded_and_quarantined_requests_come_first(monkeypatch):
    """Guards against harmless suspects that displace a quarantined request."""
    monkeypatch.setattr(crashsuspects, "MAX_ENTRIES", 5)
    suspects = CrashSuspects("vm1")
    suspects.record_crash("bad", leaf(0), False, 10.0)
    suspects.record_crash("bad", leaf(1), True, 11.0)
    for number in range(50):
        for part in range(MAX_SHARED_LEAVES + 5):
            suspects.record_crash(
                f"f{number}", leaf(100 + part), False, 12.0 + number
            )
    records = suspects.records(50, 30.0)
    assert len(records) == 5
    assert records[0].fingerprint == "bad"
    assert records[0].is_quarantined
    assert max(len(r.leaves) for r in records) == MAX_SHARED_LEAVES


def test_one_unexplained_loss_is_no_crash():
    """Guards against requests that are held for one reset connection."""
    suspects = CrashSuspects("vm1")
    leaf = CrashedLeaf("s", "i-1@1")
    for now in (10.0, 11.0):
        assert suspects.record_unexplained_loss("a", leaf, False, now) == ()
    assert suspects.verdict("a", 11.0) is CrashVerdict.CLEAR


def test_losses_at_one_moment_are_no_crash():
    """Guards against a search held after a reset of all its connections."""
    suspects = CrashSuspects("vm1")
    for number in range(5):
        leaf = CrashedLeaf(f"s{number}", f"i-{number}@1")
        now = 10.0 + 0.01 * number
        assert suspects.record_unexplained_loss("a", leaf, False, now) == ()


def test_losses_at_two_leaves_and_moments_count_as_crashes():
    """Guards against crashes that a restart at once hides."""
    suspects = CrashSuspects("vm1")
    first, second = CrashedLeaf("s", "i-1@1"), CrashedLeaf("s", "i-2@1")
    suspects.record_unexplained_loss("a", first, False, 10.0)
    counted = suspects.record_unexplained_loss("a", second, False, 10.5)
    assert counted == (first, second)
    assert suspects.verdict("a", 10.5) is CrashVerdict.HELD


def test_reply_between_unexplained_losses_clears_the_first():
    """Guards against requests that are held for two unrelated resets."""
    suspects = CrashSuspects("vm1")
    first, second = CrashedLeaf("s", "i-1@1"), CrashedLeaf("s", "i-2@1")
    suspects.record_unexplained_loss("a", first, False, 10.0)
    suspects.record_survival("a", "s", False)
    assert suspects.record_unexplained_loss("a", second, False, 10.5) == ()


def test_unexplained_losses_of_canaries_quarantine_at_the_third():
    """Guards against a quarantine for one reset, and against none at all."""
    suspects = CrashSuspects("vm1")
    suspects.record_crash("a", CrashedLeaf("s", "i-0@1"), False, 10.0)
    verdicts = []
    for number in range(1, 4):
        now = 10.0 + 2 * number
        leaf = CrashedLeaf("s", f"i-{number}@1")
        suspects.record_unexplained_loss("a", leaf, True, now)
        verdicts.append(suspects.verdict("a", now + 0.3))
    assert verdicts[:2] == [CrashVerdict.HELD, CrashVerdict.HELD]
    assert verdicts[2] is CrashVerdict.QUARANTINED
