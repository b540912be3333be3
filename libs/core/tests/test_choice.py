"""Choice of a leaf, replayed for the load patterns it answers."""

from __future__ import annotations

from sapphire_core import choice
from sapphire_core.choice import CallProfile, Candidate, LeafLoad

NEEDS = CallProfile(expected_s=0.010, target_s=0.100)


def prospect(load, near=True, cold=False, connect_s=0.0):
    return Candidate(load, near, cold, connect_s)


def best(prospects, now=1.0):
    return choice.choose_leaf(prospects, NEEDS, now)[0]


def feed(load, ratio, count, now=1.0):
    for call in range(count):
        load.sent(call, now)
        load.replied(call, ratio * NEEDS.expected_s, NEEDS.expected_s, now)


def test_the_near_leaf_is_taken_when_both_are_alike():
    assert best([prospect(LeafLoad(2), near=False), prospect(LeafLoad(2))]) == 1


def test_one_pause_does_not_move_calls_to_another_domain():
    near = LeafLoad(2)
    feed(near, 1.0, 5)
    feed(near, 10.0, 1)
    assert best([prospect(near), prospect(LeafLoad(2), near=False)]) == 0


def test_a_straggler_loses_its_calls():
    near = LeafLoad(2)
    feed(near, 10.0, 6)
    assert best([prospect(near), prospect(LeafLoad(2), near=False)]) == 1


def test_a_straggler_is_tried_again_after_some_seconds():
    near = LeafLoad(2)
    feed(near, 10.0, 6)
    far = prospect(LeafLoad(2), near=False)
    assert best([prospect(near), far], now=13.0) == 0


def test_a_silent_leaf_loses_its_calls_while_it_is_silent():
    near = LeafLoad(2)
    near.sent(1, 1.0)
    far = prospect(LeafLoad(2), near=False)
    assert best([prospect(near), far], now=1.01) == 0
    assert best([prospect(near), far], now=1.05) == 1


def test_calls_beyond_the_slots_go_elsewhere():
    near = LeafLoad(2)
    for call in range(4):
        near.sent(call, 1.0)
    far = prospect(LeafLoad(2), near=False)
    assert best([prospect(near), far]) == 1


def test_load_of_other_callers_counts_for_a_moment():
    near = LeafLoad(2)
    near.reported(running=2, queued=6, now=1.0)
    far = prospect(LeafLoad(2), near=False)
    assert best([prospect(near), far]) == 1
    assert best([prospect(near), far], now=3.0) == 0


def test_a_leaf_that_refuses_connections_is_last_until_its_retry():
    near = LeafLoad(2)
    near.unreachable(1.0)
    far = prospect(LeafLoad(2), near=False)
    assert best([prospect(near), far], now=1.1) == 1
    assert best([prospect(near), far], now=1.3) == 0


def test_retries_of_an_unreachable_leaf_back_off_up_to_a_bound():
    load = LeafLoad(2)
    for _ in range(20):
        load.unreachable(1.0)
    assert load.down_until == 3.0
    load.sent(1, 5.0)
    load.replied(1, 0.01, 0.01, 5.0)
    assert load.down_backoff_s == 0.0


def test_a_cold_leaf_is_avoided():
    cold = prospect(LeafLoad(2), cold=True)
    assert best([cold, prospect(LeafLoad(2))]) == 1
