"""Tests of the cold state."""

from sapphire_standins.cold import ColdState


def _state(*, cold=True, cold_limit=1, undetected_limit=1, warm_after=2):
    return ColdState(
        cold=cold,
        cold_limit=cold_limit,
        undetected_limit=undetected_limit,
        warm_after=warm_after,
    )


def test_second_job_exceeds_the_cold_limit():
    """Guards against a cold leaf that handles any number of jobs at once."""
    state = _state()
    assert state.add("a")
    assert not state.add("b")
    assert state.peak == 2


def test_jobs_in_progress_when_the_leaf_turns_cold_are_exempt():
    """Guards against an outage due to jobs sent before the leaf was cold."""
    state = _state(cold=False)
    assert all(state.add(job) for job in "abc")
    state.turn_cold()
    assert state.add("d")
    assert not state.add("e")
    assert (state.peak, state.peak_undetected) == (0, 2)


def test_undetected_limit_ends_with_the_first_finished_job():
    """Guards against the higher limit after the caller saw a slow reply."""
    state = _state(cold=False, undetected_limit=2, warm_after=9)
    state.turn_cold()
    assert state.add("a")
    assert state.add("b")
    state.remove("a", finished=True)
    assert not state.has_capacity()
    state.remove("b", finished=True)
    assert state.add("c")
    assert (state.peak, state.peak_undetected) == (1, 2)


def test_finished_jobs_warm_up_the_leaf():
    """Guards against a warm-up by unfinished or exempt jobs."""
    state = _state(cold=False)
    state.add("exempt")
    state.turn_cold()
    state.remove("exempt", finished=True)
    for job in "abc":
        assert state.is_cold
        state.add(job)
        state.remove(job, finished=job != "a")
    assert not state.is_cold
