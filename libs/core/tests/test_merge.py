"""Tests of merging and of coverage."""

from dataclasses import dataclass

import pytest
from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.coverage import Coverage
from sapphire_core.merge import merge, order


@dataclass(frozen=True)
class _Match:
    document: str
    score: float


_MATCHES = st.lists(
    st.integers(0, 30).map(lambda n: _Match(f"d{n}", float(n % 7)))
)


@given(st.lists(_MATCHES), st.integers(1, 10))
def test_merge_of_parts_equals_merge_of_all(parts, k):
    """Guards against answers that depend on how the documents are split."""
    merged = []
    for part in parts:
        merged = merge(merged, sorted(part, key=order)[: 2 * k], k)
    whole = {m.document: m for part in parts for m in part}
    if all(len(part) <= 2 * k for part in parts):
        assert merged == sorted(whole.values(), key=order)[:k]


def test_coverage_counts_a_shard_once():
    """Guards against overstated coverage after repeated replies."""
    coverage = Coverage([10, 20])
    coverage.record_answer(0, 10)
    coverage.record_answer(0, 10)
    assert coverage.documents_answered == 10
    assert not coverage.is_complete
    with pytest.raises(IndexError):
        coverage.record_answer(2, 10)


def test_replica_with_fewer_documents_is_incomplete():
    """Guards against reporting an answer with missing documents as complete."""
    coverage = Coverage([10, 20])
    coverage.record_answer(0, 10)
    coverage.record_answer(1, 19)
    assert not coverage.is_complete
