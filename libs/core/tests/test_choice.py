"""Tests of the choice of a leaf under different load patterns."""

from __future__ import annotations

from sapphire_core import choice
from sapphire_core.choice import CallProfile, Candidate, LeafLoad

PROFILE = CallProfile(expected_s=0.010, target_s=0.100)


def candidate(load, local=True, cold=False, connect_s=0.0):
    return Candidate(load, local, cold, connect_s)


def choose(candidates, now=1.0):
    return choice.choose_leaf(candidates, PROFILE, now)[0]


def add_replies(load, ratio, count, now=1.0):
    for call in range(count):
        load.record_call(call, now)
        load.record_reply(
            call, ratio * PROFILE.expected_s, PROFILE.expected_s, now
        )


def test_the_leaf_of_the_same_domain_is_preferred_when_both_are_equal():
    assert (
        choose([candidate(LeafLoad(2), local=False), candidate(LeafLoad(2))])
        == 1
    )


def test_one_pause_does_not_move_calls_to_another_domain():
    local = LeafLoad(2)
    add_replies(local, 1.0, 5)
    add_replies(local, 10.0, 1)
    assert choose([candidate(local), candidate(LeafLoad(2), local=False)]) == 0


def test_a_straggler_gets_no_calls():
    local = LeafLoad(2)
    add_replies(local, 10.0, 6)
    assert choose([candidate(local), candidate(LeafLoad(2), local=False)]) == 1


def test_a_straggler_is_tried_again_after_some_seconds():
    local = LeafLoad(2)
    add_replies(local, 10.0, 6)
    remote = candidate(LeafLoad(2), local=False)
    assert choose([candidate(local), remote], now=13.0) == 0


def test_a_leaf_with_an_overdue_call_gets_no_further_calls():
    local = LeafLoad(2)
    local.record_call(1, 1.0)
    remote = candidate(LeafLoad(2), local=False)
    assert choose([candidate(local), remote], now=1.01) == 0
    assert choose([candidate(local), remote], now=1.05) == 1


def test_calls_beyond_the_slots_go_elsewhere():
    local = LeafLoad(2)
    for call in range(4):
        local.record_call(call, 1.0)
    remote = candidate(LeafLoad(2), local=False)
    assert choose([candidate(local), remote]) == 1


def test_reported_load_of_other_callers_decays():
    local = LeafLoad(2)
    local.record_load(running=2, queued=6, now=1.0)
    remote = candidate(LeafLoad(2), local=False)
    assert choose([candidate(local), remote]) == 1
    assert choose([candidate(local), remote], now=3.0) == 0


def test_own_calls_are_subtracted_once_from_a_reported_load():
    """Guards against a busy leaf that looks free to each of several callers."""
    load = LeafLoad(2)
    load.record_call(1, 1.0)
    load.record_load(running=2, queued=1, now=1.1)
    assert load.other_load == 2


def test_an_unreachable_leaf_is_avoided_until_its_back_off_ends():
    local = LeafLoad(2)
    local.record_unreachable(1.0)
    remote = candidate(LeafLoad(2), local=False)
    assert choose([candidate(local), remote], now=1.1) == 1
    assert choose([candidate(local), remote], now=1.3) == 0


def test_retries_of_an_unreachable_leaf_back_off_up_to_a_bound():
    load = LeafLoad(2)
    for _ in range(20):
        load.record_unreachable(1.0)
    assert load.down_until == 3.0
    load.record_call(1, 5.0)
    load.record_reply(1, 0.01, 0.01, 5.0)
    assert load.down_backoff_s == 0.0


def test_a_cold_leaf_is_avoided():
    cold = candidate(LeafLoad(2), cold=True)
    assert choose([cold, candidate(LeafLoad(2))]) == 1
