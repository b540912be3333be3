"""Tests that the retry budget of all VMs holds without coordination."""

from __future__ import annotations

import dataclasses
import random

import pytest
from sapphire_core.retrybudget import RetryBudget, RetryBudgetPolicy

POLICY = RetryBudgetPolicy(ratio=0.2, slack=58.0, window_s=10.0)


def new_budget(share=1.0):
    budget = RetryBudget(POLICY)
    budget.set_share(share)
    return budget


def test_a_vm_without_a_share_has_no_slack():
    assert spend_all(RetryBudget(POLICY), 0.0) == 0


def spend_all(budget, now, service="s"):
    spent = 0
    while budget.allows_extra_call(service, now):
        budget.spend(service, now)
        spent += 1
    return spent


def test_without_requests_only_the_share_of_the_slack_is_spent():
    budget = new_budget(1 / 6)
    assert spend_all(budget, 0.0) <= POLICY.slack / 6


def test_spent_calls_are_available_again_after_their_window():
    budget = new_budget()
    first = spend_all(budget, 0.0)
    assert spend_all(budget, 9.9) == 0
    assert spend_all(budget, 10.6) == first


@pytest.mark.parametrize("window_s", [5.0, 20.0])
def test_spent_calls_keep_their_time_when_the_window_changes(window_s):
    """Guards against counts that lie ahead and are never dropped."""
    budget = new_budget()
    first = spend_all(budget, 100.0)
    budget.set_policy(dataclasses.replace(POLICY, window_s=window_s))
    assert spend_all(budget, 100.0 + 0.9 * window_s) == 0
    assert spend_all(budget, 100.0 + 1.1 * window_s) == first


def test_the_reserve_remains_for_retries():
    budget = new_budget()
    while budget.allows_extra_call("s", 0.0, reserve=0.5):
        budget.spend("s", 0.0)
    assert budget.allows_extra_call("s", 0.0)


def test_each_service_has_its_own_budget():
    budget = new_budget()
    spend_all(budget, 0.0, "s")
    assert budget.allows_extra_call("t", 0.0)


@pytest.mark.parametrize("seed", range(5))
def test_all_vms_keep_the_limit_over_restarts_and_uneven_load(seed):
    """Guards against exceeding the limit in any window.

    VMs that restart lose their counts of the current window.
    """
    chance = random.Random(seed)
    vms = 8
    fleet = [new_budget(1 / vms) for _ in range(vms)]
    requests: list[float] = []
    extras: list[float] = []
    for step in range(6000):
        now = step * 0.01
        rate = 3 if 15 < now < 30 else 1
        if chance.random() < 0.002:
            fleet[chance.randrange(vms)] = new_budget(1 / vms)
        for _ in range(rate):
            budget = fleet[min(chance.randrange(vms), chance.randrange(vms))]
            budget.record_request("s", now)
            requests.append(now)
            if budget.allows_extra_call("s", now):
                budget.spend("s", now)
                extras.append(now)
    for start in range(0, 50):
        counted = sum(start <= x < start + 10 for x in extras)
        asked = max(
            sum(s <= x < s + 10 for x in requests)
            for s in (start, start - 5, start - 10)
        )
        assert counted <= POLICY.ratio * asked + POLICY.slack
