"""Tests of when fan-out parts are retried, hedged, answered and given up."""

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

POLICY = FanOutPolicy(
    min_parts=3,
    max_attempts=2,
    is_repeatable=True,
    answer_at=0.100,
    hedge_at=0.030,
    give_up_at=1.000,
)
AT_MOST_ONCE = dataclasses.replace(POLICY, min_parts=1, is_repeatable=False)


def started(names="abcd", policy=POLICY):
    fanout = FanOut(names, policy)
    for name in names:
        fanout.record_sent(name)
    return fanout


def test_a_complete_answer_is_sent_immediately():
    fanout = started()
    for name in "abcd":
        assert fanout.verdict(0.01) is Verdict.WAIT
        assert fanout.record_reply(name)
    assert fanout.verdict(0.01) is Verdict.ANSWER


def test_an_answer_with_enough_parts_waits_for_the_rest_until_answer_at():
    fanout = started()
    for name in "abc":
        fanout.record_reply(name)
    assert fanout.verdict(0.099) is Verdict.WAIT
    assert fanout.verdict(0.100) is Verdict.ANSWER


def test_an_answer_with_too_few_parts_waits_beyond_answer_at():
    fanout = started()
    fanout.record_reply("a")
    assert fanout.verdict(0.5) is Verdict.WAIT
    fanout.record_reply("b")
    fanout.record_reply("c")
    assert fanout.verdict(0.5) is Verdict.ANSWER


def test_a_request_that_can_no_longer_succeed_is_given_up_immediately():
    fanout = started()
    for name in "ab":
        fanout.record_failure(name, Failure.LOST)
        fanout.abandon(name)
    assert fanout.verdict(0.02) is Verdict.GIVE_UP


def test_an_abandoned_part_does_not_delay_the_answer():
    fanout = started()
    fanout.record_failure("d", Failure.LOST)
    fanout.abandon("d")
    for name in "abc":
        fanout.record_reply(name)
    assert fanout.verdict(0.02) is Verdict.ANSWER


def test_waiting_parts_are_hedged_once():
    fanout = started()
    fanout.record_reply("a")
    assert fanout.to_hedge(0.02) == []
    assert fanout.to_hedge(0.03) == ["b", "c", "d"]
    fanout.record_sent("b")
    assert fanout.to_hedge(0.04) == ["c", "d"]


def test_the_second_reply_of_a_hedged_part_is_not_used():
    fanout = started()
    fanout.record_sent("a")
    assert fanout.record_reply("a")
    assert not fanout.record_reply("a")
    assert fanout.successful_parts == 1


def test_a_part_with_a_running_hedge_is_not_sent_again():
    fanout = started()
    fanout.record_sent("a")
    assert not fanout.record_failure("a", Failure.LOST)
    fanout.abandon("a")
    assert fanout.verdict(0.02) is Verdict.WAIT


def test_a_part_is_not_retried_beyond_max_attempts():
    fanout = started()
    assert fanout.record_failure("a", Failure.LOST)
    fanout.record_sent("a")
    assert not fanout.record_failure("a", Failure.LOST)


def test_an_unsent_call_is_not_counted_as_an_attempt():
    fanout = started("a", AT_MOST_ONCE)
    fanout.record_unsent("a")
    assert not fanout.may_have_run
    fanout.record_sent("a")
    assert fanout.record_reply("a")


@pytest.mark.parametrize("failure", [Failure.LOST, Failure.ANSWERED])
def test_a_submission_that_may_have_run_is_never_retried(failure):
    fanout = started("a", AT_MOST_ONCE)
    assert not fanout.record_failure("a", failure)
    assert fanout.to_hedge(0.5) == []
    assert fanout.may_have_run


def test_a_submission_rejected_by_a_leaf_may_go_to_another():
    fanout = started("a", AT_MOST_ONCE)
    assert fanout.record_failure("a", Failure.NOT_RUN)
    assert not fanout.may_have_run


def test_a_submission_that_is_still_running_may_have_run():
    assert started("a", AT_MOST_ONCE).may_have_run


def test_the_next_time_is_always_later_than_now():
    fanout = started()
    now = 0.0
    seen = []
    while now < POLICY.give_up_at:
        now = fanout.next_time(now)
        seen.append(now)
    assert seen == [0.030, 0.100, 1.000]


@pytest.mark.parametrize(
    ("total", "share", "min_parts"),
    [(20, 0.89, 18), (20, 0.75, 15), (10, 0.9, 9), (30, 0.1, 3), (3, 0.0, 1)],
)
def test_rounding_does_not_raise_the_required_parts(total, share, min_parts):
    assert min_parts_for_share(total, share) == min_parts
