"""Tests of the answer margin.

Single long delays of other causes must not raise it.
"""

from __future__ import annotations

from sapphire_core.margin import HANDLING_S, MAX_SEND_DELAY_S, AnswerMargin


def test_request_delay_includes_address_look_up_and_connect():
    """Guards against answers that reach the caller after the target time.

    That happened when only one network trip was allowed for, and when the trips
    were without the time that the processes at their ends take.
    """
    margin = AnswerMargin()
    for _ in range(100):
        margin.record_round_trip(0.006)
    trips_s, first_trips_s = 0.015, 0.021
    steps_s, first_steps_s = 2 * HANDLING_S, 3 * HANDLING_S
    later, first = margin.request_delay_s(False), margin.request_delay_s(True)
    assert abs(later - trips_s - steps_s) < 1e-4
    assert abs(first - first_trips_s - first_steps_s) < 1e-4


def test_send_delay_follows_the_latest_answers():
    margin = AnswerMargin()
    for _ in range(200):
        margin.record_send_delay(0.010)
    assert margin.send_delay_s == 0.010
    for _ in range(200):
        margin.record_send_delay(0.001)
    assert margin.send_delay_s == 0.001


def test_a_single_long_delay_does_not_raise_the_send_delay():
    margin = AnswerMargin()
    for _ in range(63):
        margin.record_send_delay(0.001)
    margin.record_send_delay(0.5)
    assert margin.send_delay_s == 0.001
    for _ in range(64):
        margin.record_send_delay(0.5)
    assert margin.send_delay_s == MAX_SEND_DELAY_S
