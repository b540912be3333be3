"""Fleets of real gateway processes while failure domains of leaves are lost.

The checks of the soak compare each answer with the replies of the leaves: its
parts and the number of missing ones make up one set of shards, no part is in it
twice, and its records are the greatest of the parts that it names.
"""

from __future__ import annotations

import pytest
from soak.runner import run_seed

FAULT_PHASE_S = 6.0


@pytest.mark.parametrize(
    "company",
    [
        # Leaves come back with new ids while searches run.
        ("failure_domain_crashes", "leaf_restarts"),
        # The set of shards changes.
        ("configuration",),
        ("kill", "store_unreachable"),
    ],
)
def test_answers_name_what_is_missing_while_a_domain_is_cut(company):
    """Guards against answers that look complete and lack records.

    Also guards against records that are listed twice, after a second call or a
    leaf that returns.
    """
    names = ("failure_domain_cut", "failure_domain_cut", *company)
    result = run_seed(5, FAULT_PHASE_S, fault_names=names)
    assert result.violations == [], result.faults
    assert result.served > 0
