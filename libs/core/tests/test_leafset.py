"""Tests of the leaf registry: draining, missing, stale and reused entries."""

from __future__ import annotations

import dataclasses

import pytest
from sapphire_core.leafset import (
    LAST_RESORT_S,
    Eligibility,
    LeafEntry,
    LeafRegistry,
    LeafState,
)

ENTRY = LeafEntry(
    "i-1", "s", "10.0.0.1:80", "z1", 2, LeafState.READY, 0.0, 1000, 5
)
OTHER = dataclasses.replace(ENTRY, leaf_id="i-2", address="10.0.0.2:80")


def names(registry, now, service="s"):
    return [x.entry.leaf_id for x in registry.candidates(service, now)]


@pytest.fixture
def registry():
    registry = LeafRegistry()
    registry.put(ENTRY, 0.0)
    registry.put(OTHER, 0.0)
    return registry


def test_a_draining_leaf_is_not_used_while_another_is_usable(registry):
    draining = dataclasses.replace(ENTRY, state=LeafState.DRAINING, sequence=6)
    registry.put(draining, 1.0)
    assert names(registry, 1.0) == ["i-2"]


def test_the_last_leaves_of_a_service_are_used_within_the_drain_time(registry):
    registry.record_missing("i-1", 1.0)
    registry.record_missing("i-2", 1.0)
    assert names(registry, 1.0 + LAST_RESORT_S - 0.1) == ["i-1", "i-2"]
    assert names(registry, 1.0 + LAST_RESORT_S) == []


def test_a_leaf_is_usable_again_after_its_lapsed_entry_returns(registry):
    registry.record_missing("i-1", 1.0)
    registry.put(dataclasses.replace(ENTRY, sequence=9), 2.0)
    assert "i-1" in names(registry, 10.0)


def test_a_stale_entry_of_the_same_incarnation_is_ignored(registry):
    draining = dataclasses.replace(ENTRY, state=LeafState.DRAINING, sequence=8)
    registry.put(draining, 1.0)
    assert not registry.put(dataclasses.replace(ENTRY, sequence=7), 1.1)
    assert names(registry, 1.1) == ["i-2"]


def test_sequence_numbers_start_again_after_a_restart(registry):
    restarted = dataclasses.replace(ENTRY, born_ms=2000, sequence=1)
    registry.record_missing("i-1", 1.0)
    assert registry.put(restarted, 1.5)
    assert names(registry, 9.0) == ["i-2", "i-1"]
    assert not registry.put(dataclasses.replace(ENTRY, sequence=99), 1.6)


def test_a_leaf_that_moves_to_another_service_is_removed_from_the_first(
    registry,
):
    moved = dataclasses.replace(ENTRY, service="t", born_ms=3000)
    registry.put(moved, 1.0)
    assert names(registry, 1.0) == ["i-2"]
    assert names(registry, 1.0, "t") == ["i-1"]


def test_a_leaf_whose_address_belongs_to_another_is_not_used(registry):
    registry.misdirected("i-1")
    assert names(registry, 1.0) == ["i-2"]
    registry.put(dataclasses.replace(ENTRY, sequence=6), 2.0)
    assert "i-1" in names(registry, 2.0)


def test_an_evacuated_domain_is_not_used_even_as_last_resort(registry):
    registry.set_evacuated({"z1"})
    assert names(registry, 0.0) == []
    registry.set_evacuated(())
    assert names(registry, 0.0) == ["i-1", "i-2"]


def test_leaves_missing_from_a_full_listing_are_a_last_resort(registry):
    registry.retain({"i-2"}, 1.0)
    assert registry.get("i-1").eligibility(1.0) is Eligibility.LAST_RESORT


def test_expired_leaves_are_dropped_after_the_drain_time(registry):
    registry.record_missing("i-1", 1.0)
    assert registry.remove_expired(1.5) == []
    expired = registry.remove_expired(1.0 + LAST_RESORT_S)
    assert [leaf.entry.leaf_id for leaf in expired] == ["i-1"]
    assert len(registry) == 1


def test_warm_up_time_counts_from_receipt_of_the_entry(registry):
    cold = dataclasses.replace(ENTRY, warmup_left_s=3.0, sequence=6)
    registry.put(cold, 10.0)
    assert registry.get("i-1").is_cold(12.9)
    assert not registry.get("i-1").is_cold(13.0)


def test_entry_that_is_read_again_does_not_restart_the_warm_up():
    """Guards against warm leaves that count as cold after each full read."""
    registry = LeafRegistry()
    cold = dataclasses.replace(ENTRY, warmup_left_s=3.0, sequence=6)
    registry.put(cold, 10.0)
    registry.put(cold, 20.0)
    assert not registry.get("i-1").is_cold(20.0)
    registry.put(dataclasses.replace(cold, sequence=7), 30.0)
    assert registry.get("i-1").is_cold(32.9)


def test_domains_are_counted_without_leaving_and_evacuated_leaves(registry):
    registry.record_missing("i-1", 0.0)
    assert registry.domain_counts(["s"]) == {"z1": 1}
    registry.set_evacuated({"z1"})
    assert registry.domain_counts(["s"]) == {}


def test_heartbeats_of_a_draining_leaf_do_not_make_it_usable(registry):
    """Guards against a heartbeat that makes a leaf usable after its drain time.

    A leaf dropped at the end of its drain time was registered anew by its next
    heartbeat.
    """
    registry.record_missing("i-2", 0.0)
    draining = dataclasses.replace(ENTRY, state=LeafState.DRAINING, sequence=6)
    registry.put(draining, 1.0)
    registry.remove_expired(1.0 + LAST_RESORT_S)
    registry.put(dataclasses.replace(draining, sequence=7), 3.5)
    assert names(registry, 3.5) == []


def test_a_leaf_first_seen_draining_is_not_used():
    """Guards against using a leaf that may have drained completely.

    A VM that starts doesn't know for how long the leaf has been draining.
    """
    registry = LeafRegistry()
    registry.put(dataclasses.replace(ENTRY, state=LeafState.DRAINING), 5.0)
    assert names(registry, 5.0) == []


def test_a_misdirected_leaf_is_not_counted(registry):
    """A domain whose leaves are gone must not attract callers."""
    registry.misdirected("i-1")
    assert registry.domain_counts(["s"]) == {"z1": 1}


def test_doubtful_evacuations_do_not_take_out_all_domains():
    """Guards against an outage by evacuations that were taken back (soak 503).

    The store lacks them since it has come back from an older copy.
    """
    registry = LeafRegistry()
    for domain in ("za", "zb"):
        leaf_id = f"i-{domain}"
        registry.put(
            dataclasses.replace(ENTRY, leaf_id=leaf_id, domain=domain), 0.0
        )
    registry.set_evacuated({"za"})
    registry.set_doubtful({"za"})
    assert registry.evacuated == {"za"}
    registry.set_evacuated({"za", "zb"})
    assert registry.evacuated == {"zb"}
    assert registry.stated_evacuations == {"za", "zb"}
    registry.set_doubtful(())
    assert registry.evacuated == {"za", "zb"}
