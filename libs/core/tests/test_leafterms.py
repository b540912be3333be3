"""Tests of the limits that leaves name, and of the VMs' shares of them."""

from __future__ import annotations

import collections
import math
from random import Random

import pytest
from sapphire_core.leafterms import (
    LeafTerms,
    RateShare,
    limit_share,
)

STEP_S = 0.01
WINDOW_S = 4.0


def allowed(limit_per_s):
    """Returns how many requests the leaf may get in a window."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def arrivals_at_leaf(limit_per_s, vms, duration_s, wants, loses_state=None):
    """Simulates VMs that call a limited leaf; returns the arrival times.

    Args:
        limit_per_s: The limit that the leaf names.
        vms: Number of VMs.
        duration_s: Simulated time.
        wants: Returns whether a VM wants to call the leaf at a time.
        loses_state: Returns whether a VM restarts at a time.
    """
    names = [f"vm{n}" for n in range(vms)]
    terms = {name: LeafTerms() for name in names}
    times = []
    for step in range(int(duration_s / STEP_S)):
        now = 100.0 + step * STEP_S
        for name in names:
            if loses_state is not None and loses_state(name, now):
                terms[name] = LeafTerms()
            share = limit_share("leaf", limit_per_s, name, names, vms)
            if not wants(name, now) or not terms[name].may_send(
                share, True, now
            ):
                continue
            is_told = terms[name].has_limit
            terms[name].record_sent(share, now)
            terms[name].record_limit(limit_per_s, now)
            if is_told:
                times.append(now)
    return times


def worst_window(times):
    """Returns the most arrivals in any WINDOW_S."""
    recent = collections.deque()
    worst = 0
    for at in times:
        recent.append(at)
        while recent[0] <= at - WINDOW_S:
            recent.popleft()
        worst = max(worst, len(recent))
    return worst


@pytest.mark.parametrize("vms", [1, 6, 9, 15, 30])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.5, 1.0, 3.0, 11.2, 60.0, 400.0])
def test_shares_add_up_to_the_limit(limit_per_s, vms):
    """Guards against a limit that each VM keeps by itself alone."""
    rng = Random(1)
    patterns = (
        lambda name, now: True,
        lambda name, now: rng.random() < 0.1,
        # All at once after a pause, when each has saved its burst.
        lambda name, now: now % 8 > 6,
    )
    for wants in patterns:
        times = arrivals_at_leaf(limit_per_s, vms, 30.0, wants)
        assert worst_window(times) <= allowed(limit_per_s)


@pytest.mark.parametrize("limit_per_s", [1.0, 4.0, 11.2])
def test_restarts_of_vms_keep_the_limit(limit_per_s):
    """Guards against a VM that sends its whole burst after each start."""
    times = arrivals_at_leaf(
        limit_per_s,
        6,
        30.0,
        lambda name, now: True,
        # One VM after the other restarts, one each second.
        lambda name, now: round(now * 100) % 600 == 100 * int(name[2:]),
    )
    assert worst_window(times) <= allowed(limit_per_s)


@pytest.mark.parametrize("limit_per_s", [1.0, 11.2])
def test_limit_is_used_when_all_vms_want_it(limit_per_s):
    """Guards against shares that leave most of the limit unused."""
    times = arrivals_at_leaf(limit_per_s, 6, 40.0, lambda name, now: True)
    assert len(times) >= 0.8 * limit_per_s * 40.0


def test_limit_that_changes_or_ends_applies_at_once():
    terms = LeafTerms()
    share = RateShare(2.0, 1.0)
    assert terms.record_limit(2.0, 10.0)
    assert not terms.record_limit(2.0, 10.1)
    assert not terms.may_send(share, True, 10.1)
    assert terms.room_at(share, 10.1) == pytest.approx(10.5)
    assert terms.record_limit(math.inf, 10.2)
    assert terms.may_send(share, True, 10.2)
    assert terms.room_at(share, 10.2) == 10.2


def test_vm_without_a_share_still_learns_when_the_limit_ends():
    """Guards against a limit that is believed for ever."""
    names = [f"vm{n}" for n in range(30)]
    shares = [limit_share("leaf", 0.0, name, names, 30) for name in names]
    slowest = min(shares, key=lambda share: share.rate_per_s)
    terms = LeafTerms()
    terms.record_limit(0.0, 10.0)
    assert not terms.may_send(slowest, True, 11.0)
    assert terms.may_send(slowest, True, 10.0 + 120.0)
    assert max(1.0 / share.rate_per_s for share in shares) < 120.0


def test_pause_ends_with_one_request_at_a_time():
    """Guards against a burst at a leaf whose pause has just ended."""
    terms = LeafTerms()
    share = RateShare(2.0, 1.0)
    terms.record_pause(3.0, 10.0)
    assert not terms.may_send(share, True, 12.9)
    assert terms.room_at(share, 11.0) == 13.0
    # A reply to an earlier request says nothing of the pause.
    terms.record_answer(11.0)
    assert not terms.may_send(share, False, 13.0)
    assert terms.may_send(share, True, 13.0)
    terms.record_answer(13.1)
    assert terms.may_send(share, False, 13.1)


def test_shorter_pause_does_not_end_a_longer_one():
    terms = LeafTerms()
    terms.record_pause(5.0, 10.0)
    terms.record_pause(0.5, 10.1)
    assert terms.paused_until == 15.0


@pytest.mark.parametrize("seed", range(20))
def test_random_pauses_are_kept(seed):
    """Replays random answers against the rule for pauses."""
    rng = Random(seed)
    terms = LeafTerms()
    share = RateShare(1.0, 1.0)
    pauses = []
    now = 100.0
    in_flight = []
    for _ in range(2_000):
        now += rng.expovariate(50.0)
        for ends_at in [at for at in in_flight if at <= now]:
            in_flight.remove(ends_at)
            if rng.random() < 0.3:
                pause_s = rng.uniform(0.0, 1.5)
                pauses.append((now + 0.5, now + pause_s))
                terms.record_pause(pause_s, now)
            else:
                terms.record_answer(now)
        if terms.may_send(share, not in_flight, now):
            assert not any(begin < now < end for begin, end in pauses)
            in_flight.append(now + rng.uniform(0.001, 0.1))
