"""Tests of the state that tells how current a copy of the store is."""

from __future__ import annotations

import math

import pytest
from sapphire_core.freshness import (
    CATCH_UP_S,
    MAX_WATCH_S,
    MIN_WATCH_S,
    Freshness,
)
from sapphire_core.storerevision import StoreRevision


def at(number, era=1):
    """Returns a revision of the store."""
    return StoreRevision(era, number)


def started(now=100.0, revision=5):
    """Returns a state after the first full read."""
    freshness = Freshness()
    freshness.record_disruption(now)
    freshness.record_store_revision(at(revision))
    freshness.record_current(at(revision), now)
    return freshness


def test_copy_is_not_current_before_the_first_read():
    freshness = Freshness()
    freshness.record_disruption(100.0)
    freshness.record_contact(101.0)
    assert freshness.age_s(102.0) == math.inf


@pytest.mark.parametrize(
    ("calm_s", "wait_s"),
    [(0.0, MIN_WATCH_S), (1.0, 1.0), (4.0, 4.0), (1000.0, MAX_WATCH_S)],
)
def test_watch_waits_no_longer_than_the_calm_has_lasted(calm_s, wait_s):
    """A watch lost in a disruption is asked again soon."""
    assert started(100.0).watch_limit_s(100.0 + calm_s) == wait_s


def test_contact_confirms_a_copy_only_after_an_answered_watch():
    """Renewals that succeed do not prove that the watch works."""
    freshness = started(100.0)
    freshness.record_contact(110.0)
    assert freshness.age_s(110.0) == 0
    freshness.record_disruption(111.0)
    freshness.record_contact(112.0)
    assert freshness.age_s(112.0) == 2.0
    freshness.record_current(at(5), 113.0)
    freshness.record_contact(114.0)
    assert freshness.age_s(114.0) == 0


def test_copy_ages_while_changes_are_missing():
    freshness = started(100.0)
    freshness.learn_revision(at(7), 101.0)
    freshness.record_contact(105.0)
    assert freshness.age_s(105.0) == 5.0
    freshness.record_applied(at(7))
    freshness.record_contact(106.0)
    assert freshness.age_s(106.0) == 0


def test_missing_changes_become_overdue():
    freshness = started(100.0)
    freshness.learn_revision(at(7), 101.0)
    freshness.learn_revision(at(8), 101.5)
    assert not freshness.is_overdue(101.0 + CATCH_UP_S - 0.01)
    assert freshness.is_overdue(101.0 + CATCH_UP_S)
    freshness.record_applied(at(7))
    assert freshness.is_overdue(101.0 + CATCH_UP_S)
    freshness.record_applied(at(8))
    assert not freshness.is_overdue(200.0)


def test_changes_are_not_overdue_right_after_a_disruption():
    """After an outage, the watch gets time to bring the changes."""
    freshness = started(100.0)
    freshness.learn_revision(at(7), 101.0)
    freshness.record_disruption(110.0)
    assert not freshness.is_overdue(110.0 + CATCH_UP_S - 0.01)
    assert freshness.is_overdue(110.0 + CATCH_UP_S)


def test_store_overrules_a_revision_heard_of_elsewhere():
    """A wrong revision does not make a VM read the store for ever."""
    freshness = started(100.0)
    freshness.learn_revision(at(1_000_000), 101.0)
    freshness.record_store_revision(at(6))
    freshness.record_current(at(6), 102.0)
    assert not freshness.is_overdue(200.0)


def test_late_answer_does_not_make_the_copy_older():
    freshness = started(100.0)
    freshness.record_current(at(6), 105.0)
    freshness.record_current(at(6), 104.0)
    assert freshness.age_s(105.0) == 0


def test_older_answer_of_the_store_does_not_make_known_changes_news():
    """Guards against endless reads after an answer that lags behind."""
    freshness = started(100.0, revision=8)
    freshness.record_store_revision(at(6))
    assert freshness.newest_revision == at(8)
    freshness.learn_revision(at(7), 101.0)
    assert not freshness.is_overdue(200.0)
