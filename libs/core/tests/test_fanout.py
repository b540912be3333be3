"""Fan-out: when parts are repeated, answered and given up."""

from __future__ import annotations

import dataclasses

import pytest
from sapphire_core.fanout import (
    Failure,
    FanOut,
    FanOutPolicy,
    Verdict,
    min_parts_for_share,
)

TERMS = FanOutPolicy(
    min_parts=3,
    max_attempts=2,
    repeatable=True,
    answer_at=0.100,
    hedge_at=0.030,
    give_up_at=1.000,
)
ONCE = dataclasses.replace(TERMS, min_parts=1, repeatable=False)


def started(names="abcd", terms=TERMS):
    fanout = FanOut(names, terms)
    for name in names:
        fanout.sent(name)
    return fanout


def test_a_whole_answer_leaves_at_once():
    fanout = started()
    for name in "abcd":
        assert fanout.verdict(0.01) is Verdict.WAIT
        assert fanout.arrived(name)
    assert fanout.verdict(0.01) is Verdict.ANSWER


def test_an_answer_with_enough_parts_waits_for_the_rest_until_its_time():
    fanout = started()
    for name in "abc":
        fanout.arrived(name)
    assert fanout.verdict(0.099) is Verdict.WAIT
    assert fanout.verdict(0.100) is Verdict.ANSWER


def test_too_few_parts_wait_beyond_the_target():
    fanout = started()
    fanout.arrived("a")
    assert fanout.verdict(0.5) is Verdict.WAIT
    fanout.arrived("b")
    fanout.arrived("c")
    assert fanout.verdict(0.5) is Verdict.ANSWER


def test_a_request_that_can_no_longer_succeed_is_given_up_at_once():
    fanout = started()
    for name in "ab":
        fanout.failed(name, Failure.LOST)
        fanout.abandon(name)
    assert fanout.verdict(0.02) is Verdict.GIVE_UP


def test_an_abandoned_part_does_not_hold_up_the_answer():
    fanout = started()
    fanout.failed("d", Failure.LOST)
    fanout.abandon("d")
    for name in "abc":
        fanout.arrived(name)
    assert fanout.verdict(0.02) is Verdict.ANSWER


def test_waiting_parts_are_hedged_once():
    fanout = started()
    fanout.arrived("a")
    assert fanout.to_hedge(0.02) == []
    assert fanout.to_hedge(0.03) == ["b", "c", "d"]
    fanout.sent("b")
    assert fanout.to_hedge(0.04) == ["c", "d"]


def test_the_second_reply_of_a_hedged_part_is_not_used():
    fanout = started()
    fanout.sent("a")
    assert fanout.arrived("a")
    assert not fanout.arrived("a")
    assert fanout.parts_in == 1


def test_a_part_with_a_running_hedge_is_not_sent_again():
    fanout = started()
    fanout.sent("a")
    assert not fanout.failed("a", Failure.LOST)
    fanout.abandon("a")
    assert fanout.verdict(0.02) is Verdict.WAIT


def test_attempts_end_at_their_limit():
    fanout = started()
    assert fanout.failed("a", Failure.LOST)
    fanout.sent("a")
    assert not fanout.failed("a", Failure.LOST)


def test_a_leaf_that_was_never_reached_uses_no_attempt():
    fanout = started("a", ONCE)
    fanout.unsent("a")
    assert not fanout.may_have_run
    fanout.sent("a")
    assert fanout.arrived("a")


@pytest.mark.parametrize("failure", [Failure.LOST, Failure.ANSWERED])
def test_a_submission_that_may_have_run_is_never_repeated(failure):
    fanout = started("a", ONCE)
    assert not fanout.failed("a", failure)
    assert fanout.to_hedge(0.5) == []
    assert fanout.may_have_run


def test_a_submission_that_a_leaf_rejected_may_go_to_another():
    fanout = started("a", ONCE)
    assert fanout.failed("a", Failure.NOT_RUN)
    assert not fanout.may_have_run


def test_a_submission_that_is_still_running_may_have_run():
    assert started("a", ONCE).may_have_run


def test_the_next_time_never_lies_in_the_past():
    fanout = started()
    now = 0.0
    seen = []
    while now < TERMS.give_up_at:
        now = fanout.next_time(now)
        seen.append(now)
    assert seen == [0.030, 0.100, 1.000]


@pytest.mark.parametrize(
    ("total", "share", "least"),
    [(20, 0.89, 18), (20, 0.75, 15), (10, 0.9, 9), (30, 0.1, 3), (3, 0.0, 1)],
)
def test_the_least_share_is_not_raised_by_rounding(total, share, least):
    assert min_parts_for_share(total, share) == least
