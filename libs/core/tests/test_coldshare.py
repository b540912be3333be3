"""Cold leaves: the VMs' requests together must stay below their rate."""

from __future__ import annotations

import random

import pytest
from sapphire_core.coldshare import SENDERS, ColdLeafLimiter

OVERSHOOT = 1.5
SLACK = 5


@pytest.mark.parametrize("vms", [1, 2, 9, 62])
@pytest.mark.parametrize("rate", [2.0, 10.0, 40.0])
def test_all_vms_together_keep_the_bound_in_every_second(vms, rate):
    names = [f"vm{i}" for i in range(vms)]
    fleet = [ColdLeafLimiter(name) for name in names]
    chance = random.Random(1)
    sent: list[float] = []
    for share in fleet:
        share.set_members(names)
    for step in range(500):
        now = step * 0.01
        for share in chance.sample(fleet, len(fleet)):
            if share.may_send("i-1", rate, now):
                share.sent("i-1", rate, now)
                sent.append(now)
    for start in sent:
        in_second = sum(start <= x < start + 1.0 for x in sent)
        assert in_second <= rate * OVERSHOOT + SLACK
    assert len(sent) >= rate * 5 * 0.5


def test_only_some_vms_send_so_that_their_first_requests_fit():
    names = [f"vm{i}" for i in range(62)]
    may = 0
    for name in names:
        share = ColdLeafLimiter(name)
        share.set_members(names)
        may += share.may_send("i-1", 1.0, 0.0)
    assert may == SENDERS


def test_no_rate_allows_nothing():
    assert not ColdLeafLimiter("vm").may_send("i-1", 0.0, 0.0)
