"""Answer margin: late samples of another cause must not spoil it."""

from __future__ import annotations

from sapphire_core.margin import LONGEST_LATE_S, AnswerMargin


def test_a_request_has_spent_the_trips_of_look_up_and_connect():
    """Answers that left at the aim less one trip were late at the caller."""
    margin = AnswerMargin()
    for _ in range(100):
        margin.record_round_trip(0.006)
    assert abs(margin.request_delay_s(False) - 0.015) < 1e-4
    assert abs(margin.request_delay_s(True) - 0.021) < 1e-4


def test_lateness_follows_the_latest_answers():
    margin = AnswerMargin()
    for _ in range(200):
        margin.record_send_delay(0.010)
    assert margin.late_s == 0.010
    for _ in range(200):
        margin.record_send_delay(0.001)
    assert margin.late_s == 0.001


def test_one_answer_held_up_for_long_does_not_make_all_early():
    margin = AnswerMargin()
    for _ in range(63):
        margin.record_send_delay(0.001)
    margin.record_send_delay(0.5)
    assert margin.late_s == 0.001
    for _ in range(64):
        margin.record_send_delay(0.5)
    assert margin.late_s == LONGEST_LATE_S
