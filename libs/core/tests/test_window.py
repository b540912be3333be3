"""Tests of the concurrency and batch-size limits of a leaf."""

from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.window import (
    OVERDUE_FACTOR,
    SLOWDOWN_MIN_REPLIES,
    SLOWDOWN_MIN_S,
    WARM_FACTOR,
    CallOutcome,
    LeafLimits,
    ReplyTimeEstimate,
    State,
    Window,
)

WARM_S = 0.01


def _warm_window(limits=None):
    service_estimate = ReplyTimeEstimate()
    service_estimate.add_sample(1, WARM_S)
    window = Window(limits or LeafLimits(), service_estimate)
    now = 0.0
    while window.state is not State.WARM:
        now = _run(window, now, WARM_S)
    return window, now


def _run(window, now, seconds, outcome=CallOutcome.GOOD):
    token = window.start(now, 1)
    window.finish(token, now + seconds, outcome)
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
leaf_limits = st.builds(
    LeafLimits,
    slots=st.integers(1, 6),
    cold_concurrency=st.integers(1, 3),
    cold_batch=st.integers(1, 8),
)


@given(leaf_limits, steps)
def test_no_start_beyond_the_limit_of_the_state(limits, events):
    """Guards against overloading a cold leaf."""
    window = Window(limits)
    now, running = 0.0, []
    for action, outcome, elapsed, queries in events:
        now += elapsed
        if action == "finish" and running:
            window.finish(running.pop(0), now, outcome)
        free = window.free_slots(now)
        if free:
            assert now >= window.paused_until
            assert window.state is not State.DOWN
            if window.state is State.COLD:
                assert window.running < limits.cold_concurrency
                assert window.max_queries() <= limits.cold_batch
            running.append(window.start(now, queries))
        assert window.running <= limits.slots
        assert window.running == len(running)


def test_limit_grows_by_one_per_good_reply():
    """Guards against full load from a process that just took over a leaf."""
    service_estimate = ReplyTimeEstimate()
    service_estimate.add_sample(1, WARM_S)
    window = Window(LeafLimits(slots=4), service_estimate)
    limits = [window.free_slots(0.0)]
    now = 0.0
    for _ in range(3):
        now = _run(window, now, WARM_S)
        limits.append(window.free_slots(now))
    assert limits == [1, 2, 3, 4]
    assert window.state is State.WARM


def test_slow_replies_of_a_cold_leaf_do_not_make_it_warm():
    """Guards against full load on a leaf that replies but is still cold."""
    window, now = _warm_window()
    window.observe(CallOutcome.LOST, now)
    for _ in range(SLOWDOWN_MIN_REPLIES - 1):
        now = _run(window, now, WARM_S * WARM_FACTOR * 1.5)
        assert window.state is State.COLD


def test_permanently_slower_leaf_leaves_the_cold_state():
    """Guards against a leaf that stays limited to one request forever."""
    window, now = _warm_window()
    slow_s = WARM_S * OVERDUE_FACTOR * 2
    until = now + SLOWDOWN_MIN_S + 4 * slow_s
    while now < until:
        now = _run(window, now, slow_s)
    assert window.state is State.WARM


def test_long_cold_start_does_not_raise_the_limit():
    """Guards against two concurrent requests on a leaf that is still cold.

    A cold leaf reaches SLOWDOWN_MIN_REPLIES within a few seconds, so the number
    of slow replies alone must not raise the limit.
    """
    window, now = _warm_window()
    until = now + SLOWDOWN_MIN_S
    while now < until:
        now = _run(window, now, WARM_S * OVERDUE_FACTOR * 2)
        assert window.free_slots(now) == 1
        assert window.state is State.COLD


def test_crash_discards_an_expected_time_taken_from_a_slow_leaf():
    """Guards against a leaf that crashes repeatedly while cold.

    If the slow replies came from a long cold start, the time taken from them
    would make the leaf count as warm again soon after each crash.
    """
    window, now = _warm_window()
    slow_s = WARM_S * OVERDUE_FACTOR * 2
    while window.state is not State.WARM or window.free_slots(now) < 2:
        now = _run(window, now, slow_s)
    window.observe(CallOutcome.LOST, now)
    for _ in range(SLOWDOWN_MIN_REPLIES):
        now = _run(window, now, slow_s)
        assert window.state is State.COLD


@given(st.lists(st.floats(WARM_S * 2.5, WARM_S * 4.9), min_size=1))
def test_replies_below_the_slow_bound_do_not_become_the_expected_time(times):
    """Guards against taking a cold leaf for a warm one.

    Delays of the local machine hide part of the difference between warm and
    cold replies. A plain average rose with each cold reply until none of them
    counted as slow.
    """
    window, now = _warm_window()
    for seconds in times:
        now = _run(window, now, seconds)
        assert window.free_slots(now) == 1
    window.start(now, 1)
    assert window.overdue_at() - now <= WARM_S * OVERDUE_FACTOR * 1.01
    now = _run(window, now, WARM_S)
    assert window.free_slots(now) == 1


def test_cold_leaf_gets_only_batches_whose_time_is_known():
    """Guards against comparing a cold reply with an extrapolated time.

    The expected time of an unmeasured batch size doubles with each doubling of
    the size. A cold leaf answered four queries within WARM_FACTOR times that
    and counted as warm.
    """
    window, now = _warm_window()
    window.observe(CallOutcome.LOST, now)
    assert window.max_queries() == 1
    service_estimate = ReplyTimeEstimate()
    service_estimate.add_sample(4, WARM_S)
    window = Window(LeafLimits(cold_batch=4), service_estimate)
    assert window.max_queries() == 4


def test_slower_warm_leaf_gets_only_batches_whose_time_is_known():
    """Guards against a second request after a cold reply of unknown size."""
    window, now = _warm_window()
    assert window.max_queries() == LeafLimits().max_batch
    now = _run(window, now, WARM_S * OVERDUE_FACTOR * 0.9)
    assert (window.max_queries(), window.free_slots(now)) == (1, 1)
    now = _run(window, now, WARM_S)
    assert window.max_queries() == LeafLimits().max_batch


def test_reply_time_starts_at_the_send():
    """Guards against counting the time to open a connection as reply time."""
    window, now = _warm_window()
    token = window.start(now, 1)
    now += WARM_S * OVERDUE_FACTOR * 2
    window.record_sent(token, now)
    window.finish(token, now + WARM_S, CallOutcome.GOOD)
    assert window.free_slots(now + WARM_S) == 2


def test_overdue_request_makes_a_warm_leaf_cold():
    """Guards against a second request while the first one is overdue."""
    window, now = _warm_window()
    window.start(now, 1)
    assert window.free_slots(now + WARM_S) == 1
    assert window.free_slots(now + WARM_S * OVERDUE_FACTOR * 1.1) == 0
    assert window.state is State.COLD


def test_delay_of_this_process_does_not_make_a_leaf_cold():
    """Guards against all leaves counting as cold when the event loop lags."""
    window, now = _warm_window()
    window.local_delay_s = WARM_S
    _run(window, now, WARM_S * (OVERDUE_FACTOR + 0.5))
    assert window.state is State.WARM


def test_slow_reply_within_the_delay_of_this_process_is_not_good():
    """Guards against a raised limit for a leaf that turned cold on a busy VM.

    The allowance for the event-loop delay made the slow reply count as good.
    """
    window, now = _warm_window()
    window.local_delay_s = WARM_S
    now = _run(window, now, WARM_S * (WARM_FACTOR + 0.5))
    assert window.state is State.WARM
    assert window.free_slots(now) == 1
    now = _run(window, now, WARM_S)
    assert window.free_slots(now) == 2


def test_delays_of_this_process_do_not_become_the_expected_time():
    """Guards against taking a cold leaf for a warm one on a busy VM.

    Replies up to twice as slow because of the event loop raised the expected
    time step by step, up to that of a cold leaf.
    """
    window, now = _warm_window()
    window.local_delay_s = 2 * WARM_S
    for factor in (1.9, 3.6, 6.8):
        for _ in range(200):
            now = _run(window, now, WARM_S * factor)
    window.local_delay_s = 0.0
    now = _run(window, now, WARM_S * OVERDUE_FACTOR * 1.5)
    assert window.state is State.COLD


def test_unreachable_leaf_is_probed_with_growing_pauses():
    """Guards against one connection attempt per request to a lost leaf."""
    window, now = _warm_window()
    pauses = []
    for _ in range(4):
        window.observe(CallOutcome.UNREACHABLE, now)
        window.observe(CallOutcome.UNREACHABLE, now)
        pauses.append(window.paused_until - now)
        now = window.paused_until
    assert pauses == sorted(set(pauses))
    assert window.free_slots(now) == 0
    window.record_reachable(now)
    assert (window.state, window.free_slots(now)) == (State.COLD, 1)


def test_unresponsive_leaf_counts_as_down():
    """Guards against sending requests forever to a leaf that never replies."""
    window, now = _warm_window()
    for _ in range(3):
        now = _run(window, now, 1.0, CallOutcome.LATE)
    assert window.state is State.DOWN


def test_draining_leaf_gets_no_request_after_a_good_reply():
    """Guards against new requests to a leaf that is shutting down."""
    window, now = _warm_window()
    first = window.start(now, 1)
    window.observe(CallOutcome.DRAINING, now)
    window.finish(first, now + WARM_S, CallOutcome.GOOD)
    window.record_reachable(now + 1)
    assert window.state is State.DRAINING
    assert window.free_slots(now + 5) == 0


def test_submission_time_is_not_compared_with_searches():
    """Guards against a slow submission that moves a leaf to the cold state."""
    window, now = _warm_window()
    token = window.start(now, 0)
    assert window.free_slots(now + 1) == 1
    window.finish(token, now + 1, CallOutcome.GOOD)
    assert window.state is State.WARM
