"""Tests of the cold state."""

from sapphire_standins.cold import ColdState


def _state(*, cold=True, cold_limit=1, undetected_limit=1, warm_after=2):
    return ColdState(
        cold=cold,
        cold_limit=cold_limit,
        undetected_limit=undetected_limit,
        warm_after=warm_after,
    )


def test_a_second_request_is_not_borne():
    """Guards against a cold leaf that hides an excess of work."""
    state = _state()
    assert state.add("a")
    assert not state.add("b")
    assert state.peak == 2


def test_requests_running_at_the_turn_are_exempt():
    """Guards against a fall that no sender could have avoided."""
    state = _state(cold=False)
    assert all(state.add(job) for job in "abc")
    state.turn_cold()
    assert state.add("d")
    assert not state.add("e")
    assert (state.peak, state.peak_undetected) == (0, 2)


def test_unnoticed_bears_ends_with_the_first_slow_reply():
    """Guards against a lenient leaf after its sender could know."""
    state = _state(cold=False, undetected_limit=2, warm_after=9)
    state.turn_cold()
    assert state.add("a")
    assert state.add("b")
    state.remove("a", finished=True)
    assert not state.has_capacity()
    state.remove("b", finished=True)
    assert state.add("c")
    assert (state.peak, state.peak_undetected) == (1, 2)


def test_finished_requests_make_it_warm():
    """Guards against a leaf that warms up by refused or exempt work."""
    state = _state(cold=False)
    state.add("exempt")
    state.turn_cold()
    state.remove("exempt", finished=True)
    for job in "abc":
        assert state.is_cold
        state.add(job)
        state.remove(job, finished=job != "a")
    assert not state.is_cold
