"""Tests that all VMs together keep to the rate of a cold leaf."""

from __future__ import annotations

import random

import pytest
from sapphire_core.coldshare import MAX_SENDERS, ColdLeafLimiter

RATE_TOLERANCE = 1.5
BURST = 5


@pytest.mark.parametrize("vms", [1, 2, 9, 62])
@pytest.mark.parametrize("rate", [2.0, 10.0, 40.0])
def test_all_vms_together_keep_the_rate_in_every_second(vms, rate):
    names = [f"vm{i}" for i in range(vms)]
    limiters = [ColdLeafLimiter(name) for name in names]
    rng = random.Random(1)
    sent: list[float] = []
    for limiter in limiters:
        limiter.set_members(names)
    for step in range(500):
        now = step * 0.01
        for limiter in rng.sample(limiters, len(limiters)):
            if limiter.may_send("i-1", rate, now):
                limiter.record_sent("i-1", rate, now)
                sent.append(now)
    for start in sent:
        in_second = sum(start <= x < start + 1.0 for x in sent)
        assert in_second <= rate * RATE_TOLERANCE + BURST
    assert len(sent) >= rate * 5 * 0.5


def test_only_a_few_vms_send_to_a_cold_leaf():
    names = [f"vm{i}" for i in range(62)]
    allowed = 0
    for name in names:
        limiter = ColdLeafLimiter(name)
        limiter.set_members(names)
        allowed += limiter.may_send("i-1", 1.0, 0.0)
    assert allowed == MAX_SENDERS


def test_a_rate_of_zero_allows_no_requests():
    assert not ColdLeafLimiter("vm").may_send("i-1", 0.0, 0.0)
