"""Tests of the cold state."""

from sapphire_standins.cold import ColdState


def _state(*, cold=True, bears=1, unnoticed_bears=1, warm_after=2):
    return ColdState(
        cold=cold,
        bears=bears,
        unnoticed_bears=unnoticed_bears,
        warm_after=warm_after,
    )


def test_a_second_request_is_not_borne():
    """Guards against a cold leaf that hides an excess of work."""
    state = _state()
    assert state.arrive("a")
    assert not state.arrive("b")
    assert state.greatest == 2


def test_requests_running_at_the_turn_are_exempt():
    """Guards against a fall that no sender could have avoided."""
    state = _state(cold=False)
    assert all(state.arrive(job) for job in "abc")
    state.turn_cold()
    assert state.arrive("d")
    assert not state.arrive("e")
    assert (state.greatest, state.greatest_unnoticed) == (0, 2)


def test_unnoticed_bears_ends_with_the_first_slow_reply():
    """Guards against a lenient leaf after its sender could know."""
    state = _state(cold=False, unnoticed_bears=2, warm_after=9)
    state.turn_cold()
    assert state.arrive("a")
    assert state.arrive("b")
    state.leave("a", finished=True)
    assert not state.has_room()
    state.leave("b", finished=True)
    assert state.arrive("c")
    assert (state.greatest, state.greatest_unnoticed) == (1, 2)


def test_finished_requests_make_it_warm():
    """Guards against a leaf that warms up by refused or exempt work."""
    state = _state(cold=False)
    state.arrive("exempt")
    state.turn_cold()
    state.leave("exempt", finished=True)
    for job in "abc":
        assert state.is_cold
        state.arrive(job)
        state.leave(job, finished=job != "a")
    assert not state.is_cold
