"""Tests of the era that the store states in its answers."""

from __future__ import annotations

import pytest
import trio
from sapphire_gateway.store import StoreUnavailableError
from sapphire_gateway.storeera import MAX_ERA_STEP, EraTracker


@pytest.fixture
def tracker():
    """Returns a tracker that knows era 5."""
    tracker = EraTracker("10.0.0.1:80")
    assert not tracker.record(b"5", 0)
    return tracker


def in_trio(function):
    """Runs a function that reads trio's clock."""

    async def main():
        return function()

    return trio.run(main)


def test_store_that_states_no_era_has_none():
    tracker = EraTracker("10.0.0.1:80")
    assert not tracker.record(None, 0)
    assert tracker.era == 0


@pytest.mark.parametrize("era", [6, 7, 5 + MAX_ERA_STEP])
def test_higher_era_is_a_return(tracker, era):
    assert tracker.record(b"%d" % era, 5)
    assert tracker.era == era


@pytest.mark.parametrize("stated", [b"5", b"4", None, b"", b"x"])
def test_answer_from_before_the_return_is_not_used(tracker, stated):
    """Guards against a state that no longer exists, on another connection."""
    assert tracker.record(b"6", 5)
    with pytest.raises(StoreUnavailableError):
        tracker.record(stated, 5)
    assert tracker.era == 6


def test_two_answers_may_tell_of_the_same_return(tracker):
    assert tracker.record(b"6", 5)
    assert not tracker.record(b"6", 5)


@pytest.mark.parametrize(
    "stated",
    [None, b"", b" ", b"x", b"-6", b"+6", b"6.0", b"4", b"9" * 400, b"\xff"],
)
def test_unusable_era_is_not_believed(tracker, stated):
    assert not in_trio(lambda: tracker.record(stated, 5))
    assert tracker.era == 5
