"""Tests of the limits of one leaf."""

from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.window import (
    GOOD_FACTOR,
    PATIENCE_REPLIES,
    PATIENCE_S,
    SLOW_FACTOR,
    CallOutcome,
    Estimate,
    LeafLimits,
    State,
    Window,
)

WARM_S = 0.01


def _warm_window(shape=None):
    prior = Estimate()
    prior.learn(1, WARM_S)
    window = Window(shape or LeafLimits(), prior)
    now = 0.0
    while window.state is not State.WARM:
        now = _run(window, now, WARM_S)
    return window, now


def _run(window, now, seconds, evidence=CallOutcome.GOOD):
    token = window.start(now, 1)
    window.finish(token, now + seconds, evidence)
    return now + seconds


steps = st.lists(
    st.tuples(
        st.sampled_from(["start", "finish"]),
        st.sampled_from(list(CallOutcome)),
        st.floats(0.0, 0.2),
        st.integers(0, 64),
    ),
    max_size=60,
)
shapes = st.builds(
    LeafLimits,
    slots=st.integers(1, 6),
    cold_concurrency=st.integers(1, 3),
    cold_batch=st.integers(1, 8),
)


@given(shapes, steps)
def test_no_start_beyond_the_limit_of_the_state(shape, events):
    """Guards against more requests on a cold leaf than it can bear."""
    window = Window(shape)
    now, running = 0.0, []
    for what, evidence, passed, queries in events:
        now += passed
        if what == "finish" and running:
            window.finish(running.pop(0), now, evidence)
        free = window.free_slots(now)
        if free:
            assert now >= window.paused_until
            assert window.state is not State.DOWN
            if window.state is State.COLD:
                assert window.running < shape.cold_concurrency
                assert window.max_queries() <= shape.cold_batch
            running.append(window.start(now, queries))
        assert window.running <= shape.slots
        assert window.running == len(running)


def test_limit_grows_by_one_per_good_reply():
    """Guards against full load on a leaf of a new holder."""
    prior = Estimate()
    prior.learn(1, WARM_S)
    window = Window(LeafLimits(slots=4), prior)
    limits = [window.free_slots(0.0)]
    now = 0.0
    for _ in range(3):
        now = _run(window, now, WARM_S)
        limits.append(window.free_slots(now))
    assert limits == [1, 2, 3, 4]
    assert window.state is State.WARM


def test_slow_replies_of_a_cold_leaf_do_not_make_it_warm():
    """Guards against full load on a leaf that answers but is cold."""
    window, now = _warm_window()
    window.observe(CallOutcome.LOST, now)
    for _ in range(PATIENCE_REPLIES - 1):
        now = _run(window, now, WARM_S * GOOD_FACTOR * 1.5)
        assert window.state is State.COLD


def test_leaf_that_became_slower_for_good_leaves_the_cold_state():
    """Guards against a leaf that stays at one request forever."""
    window, now = _warm_window()
    slow_s = WARM_S * SLOW_FACTOR * 2
    until = now + PATIENCE_S + 4 * slow_s
    while now < until:
        now = _run(window, now, slow_s)
    assert window.state is State.WARM


def test_long_cold_start_does_not_raise_the_limit():
    """Guards against two requests on a leaf after 40 replies while cold."""
    window, now = _warm_window()
    until = now + PATIENCE_S
    while now < until:
        now = _run(window, now, WARM_S * SLOW_FACTOR * 2)
        assert window.free_slots(now) == 1
        assert window.state is State.COLD


def test_fall_discards_an_expected_time_taken_from_a_slow_leaf():
    """Guards against a fall per second after one wrong assumption."""
    window, now = _warm_window()
    slow_s = WARM_S * SLOW_FACTOR * 2
    while window.state is not State.WARM or window.free_slots(now) < 2:
        now = _run(window, now, slow_s)
    window.observe(CallOutcome.LOST, now)
    for _ in range(PATIENCE_REPLIES):
        now = _run(window, now, slow_s)
        assert window.state is State.COLD


@given(st.lists(st.floats(WARM_S * 2.5, WARM_S * 4.9), min_size=1))
def test_replies_below_the_slow_bound_do_not_become_the_expected_time(times):
    """Guards against full load on a cold leaf whose replies seem usual.

    Delays of the caller's machine hide a part of the cold factor; an average
    then rose with each cold reply and no later reply was slow.
    """
    window, now = _warm_window()
    for seconds in times:
        now = _run(window, now, seconds)
        assert window.free_slots(now) == 1
    window.start(now, 1)
    assert window.overdue_at() - now <= WARM_S * SLOW_FACTOR * 1.01
    now = _run(window, now, WARM_S)
    assert window.free_slots(now) == 1


def test_cold_leaf_gets_only_batches_whose_time_is_known():
    """Guards against a cold reply judged by a time never measured.

    The expected time of an unknown size is doubled per step of the size; a
    cold leaf answered four queries within twice that and counted as warm.
    """
    window, now = _warm_window()
    window.observe(CallOutcome.LOST, now)
    assert window.max_queries() == 1
    prior = Estimate()
    prior.learn(4, WARM_S)
    window = Window(LeafLimits(cold_batch=4), prior)
    assert window.max_queries() == 4


def test_slower_warm_leaf_gets_only_batches_whose_time_is_known():
    """Guards against two requests after a cold reply to an unknown size."""
    window, now = _warm_window()
    assert window.max_queries() == LeafLimits().max_batch
    now = _run(window, now, WARM_S * SLOW_FACTOR * 0.9)
    assert (window.max_queries(), window.free_slots(now)) == (1, 1)
    now = _run(window, now, WARM_S)
    assert window.max_queries() == LeafLimits().max_batch


def test_time_starts_at_the_send():
    """Guards against slow replies that are the opening of connections."""
    window, now = _warm_window()
    token = window.start(now, 1)
    now += WARM_S * SLOW_FACTOR * 2
    window.sent(token, now)
    window.finish(token, now + WARM_S, CallOutcome.GOOD)
    assert window.free_slots(now + WARM_S) == 2


def test_overdue_request_makes_a_warm_leaf_cold():
    """Guards against a second request before the first slow reply."""
    window, now = _warm_window()
    window.start(now, 1)
    assert window.free_slots(now + WARM_S) == 1
    assert window.free_slots(now + WARM_S * SLOW_FACTOR * 1.1) == 0
    assert window.state is State.COLD


def test_delay_of_this_process_does_not_make_a_leaf_cold():
    """Guards against all leaves turning cold when the event loop lags."""
    window, now = _warm_window()
    window.slack_s = WARM_S
    _run(window, now, WARM_S * (SLOW_FACTOR + 0.5))
    assert window.state is State.WARM


def test_reply_within_the_delay_of_this_process_is_no_proof_of_warmth():
    """Guards against two requests on a leaf that turned cold on a busy VM.

    The delay of the event loop excused the slow reply, which counted as good.
    """
    window, now = _warm_window()
    window.slack_s = WARM_S
    now = _run(window, now, WARM_S * (GOOD_FACTOR + 0.5))
    assert window.state is State.WARM
    assert window.free_slots(now) == 1
    now = _run(window, now, WARM_S)
    assert window.free_slots(now) == 2


def test_delays_of_this_process_do_not_become_the_expected_time():
    """Guards against a cold leaf whose replies seem usual on a busy VM.

    Replies that were up to twice as slow because of the event loop raised
    the expected time step by step, up to the time of a cold leaf.
    """
    window, now = _warm_window()
    window.slack_s = 2 * WARM_S
    for factor in (1.9, 3.6, 6.8):
        for _ in range(200):
            now = _run(window, now, WARM_S * factor)
    window.slack_s = 0.0
    now = _run(window, now, WARM_S * SLOW_FACTOR * 1.5)
    assert window.state is State.COLD


def test_unreachable_leaf_is_probed_with_growing_pauses():
    """Guards against a connection attempt per request to a lost leaf."""
    window, now = _warm_window()
    pauses = []
    for _ in range(4):
        window.observe(CallOutcome.UNREACHABLE, now)
        window.observe(CallOutcome.UNREACHABLE, now)
        pauses.append(window.paused_until - now)
        now = window.paused_until
    assert pauses == sorted(set(pauses))
    assert window.free_slots(now) == 0
    window.reachable(now)
    assert (window.state, window.free_slots(now)) == (State.COLD, 1)


def test_silent_leaf_counts_as_down():
    """Guards against endless requests to a leaf that never answers."""
    window, now = _warm_window()
    for _ in range(3):
        now = _run(window, now, 1.0, CallOutcome.LATE)
    assert window.state is State.DOWN


def test_draining_leaf_gets_nothing_in_spite_of_a_good_reply():
    """Guards against new work for a leaf that is leaving."""
    window, now = _warm_window()
    first = window.start(now, 1)
    window.observe(CallOutcome.DRAINING, now)
    window.finish(first, now + WARM_S, CallOutcome.GOOD)
    window.reachable(now + 1)
    assert window.state is State.DRAINING
    assert window.free_slots(now + 5) == 0


def test_submission_time_is_not_compared_with_searches():
    """Guards against a cold state caused by a slow submission."""
    window, now = _warm_window()
    token = window.start(now, 0)
    assert window.free_slots(now + 1) == 1
    window.finish(token, now + 1, CallOutcome.GOOD)
    assert window.state is State.WARM
