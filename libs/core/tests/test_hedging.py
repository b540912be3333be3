"""Tests of the delay after which parts are sent to a second leaf."""

from __future__ import annotations

import random

import pytest
from sapphire_core.hedging import (
    MAX_DELAY_SHARE,
    MIN_DELAY_SHARE,
    HedgeDelay,
)

TARGET_S = 0.1
REPLY_S = 0.01
PAUSE_S = 0.1
PAUSED_SHARE = 0.04


def _completions(rng, parts, send_s):
    """Returns when the parts of one search are complete, after its arrival.

    Args:
        rng: Source of randomness.
        parts: Number of parts, whose calls are sent one after the other.
        send_s: Processor time to send a call.
    """
    times = []
    for number in range(parts):
        reply_s = REPLY_S * rng.uniform(0.7, 1.3)
        if rng.random() < PAUSED_SHARE:
            reply_s += PAUSE_S * rng.random()
        times.append(number * send_s + reply_s)
    return times


@pytest.mark.parametrize("parts", [20, 87, 129])
@pytest.mark.parametrize("send_s", [0.0001, 0.00025])
def test_few_parts_that_are_only_late_in_being_sent_are_hedged(parts, send_s):
    """Guards against hedges for calls that have just been sent.

    The load: a search whose calls take longer to send than a leaf to reply,
    with some leaves that pause. Each hedge crosses the failure domains.
    """
    rng = random.Random(1)
    delay = HedgeDelay(TARGET_S)
    searches = [_completions(rng, parts, send_s) for _ in range(200)]
    hedged = 0
    for number, times in enumerate(searches):
        if number >= 100:
            hedged += sum(time > delay.delay_s for time in times)
        for time in times:
            delay.record_completion(time)
    assert hedged <= 0.08 * parts * 100
    # Those that pause for long are hedged.
    assert hedged >= 0.5 * PAUSED_SHARE * parts * 100


@pytest.mark.parametrize(
    ("completion_s", "share"),
    [(0.0001, MIN_DELAY_SHARE), (9.0, MAX_DELAY_SHARE)],
)
def test_delay_stays_within_its_bounds(completion_s, share):
    """Guards against hedges at once, or too late to be of use."""
    delay = HedgeDelay(TARGET_S)
    for _ in range(500):
        delay.record_completion(completion_s)
    assert delay.delay_s == pytest.approx(share * TARGET_S)
