"""Fleets of real gateway processes, and what leaves ask for in answers."""

from __future__ import annotations

import pytest
from soak import faults
from soak.runner import run_seed

# Faults of the gateways and the store that come while a leaf names a limit.
COMPANY = ["leaf_limited", "kill", "stop", "pause", "store_unreachable"]
FAULT_PHASE_S = 3.0


@pytest.mark.parametrize("limit_per_s", [1.0, 4.0, 12.0])
def test_gateways_together_keep_the_limit_of_a_leaf(monkeypatch, limit_per_s):
    """Guards against leaves that get more than they take from all VMs."""
    monkeypatch.setattr(faults, "LEAF_LIMITS_PER_S", (limit_per_s,))
    result = run_seed(1, FAULT_PHASE_S, fault_names=("leaf_limited",))
    assert result.violations == [], result.faults


@pytest.mark.parametrize("fault", COMPANY[1:])
def test_limit_is_kept_while_gateways_come_and_go(monkeypatch, fault):
    """Guards against shares of the limit that do not add up to it."""
    monkeypatch.setattr(faults, "LEAF_LIMITS_PER_S", (4.0,))
    names = ("leaf_limited", fault)
    result = run_seed(2, 2 * FAULT_PHASE_S, fault_names=names)
    assert result.violations == [], result.faults


@pytest.mark.parametrize("fault", ["leaf_leaves_by_answer", "leaf_pauses"])
def test_leaves_that_leave_or_pause_are_heeded(fault):
    """Guards against signs in answers that the store does not repeat."""
    names = (fault, "store_unreachable", "kill")
    result = run_seed(3, 2 * FAULT_PHASE_S, fault_names=names)
    assert result.violations == [], result.faults
