"""Tests of the error-budget burn rates."""

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st
from sapphire_core import burn
from sapphire_core.burn import Group, Sample, Series

GROUP = Group("toxdesk", "typing")
GOOD = Series(GROUP, "good")
LATE = Series(GROUP, "late")
OBJECTIVES = {GROUP: 0.99}


def _sample(time_s, good, late, started_s=None, source="a"):
    counts = {GOOD: good, LATE: late}
    return Sample(source, time_s, counts, started_s)


def _windows(samples):
    (group,) = burn.report(samples, OBJECTIVES)
    return group.windows


def test_rates_sum_over_daemons():
    """Guards against averages that hide a daemon with a high error rate."""
    samples = [
        _sample(0, 1000, 0),
        _sample(300, 1990, 10),
        _sample(0, 5, 5, source="b"),
        _sample(300, 5, 15, source="b"),
    ]
    window = _windows(samples)[0]
    assert (window.requests, window.bad) == (1010, 20)
    assert abs(window.rate - 20 / 1010 / 0.01) < 1e-9


@settings(deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 1000), st.integers(0, 50), st.booleans()),
        min_size=1,
        max_size=20,
    ),
    st.booleans(),
)
def test_restarts_never_give_negative_or_surplus_counts(steps, knows_start):
    """Guards against counter resets that give negative or excess counts."""
    good = late = total = 0
    started_s = 0.0
    samples = [_sample(0, 0, 0, 0.0 if knows_start else None)]
    for number, (more_good, more_late, restarts) in enumerate(steps, 1):
        if restarts:
            good = late = 0
            started_s = number * 10 - 5.0
        good, late = good + more_good, late + more_late
        total += more_good + more_late
        known = started_s if knows_start else None
        samples.append(_sample(number * 10, good, late, known))
    window = _windows(samples)[0]
    assert 0 <= window.bad <= window.requests <= total
    if knows_start:
        assert window.requests == total


def test_restart_is_detected_although_the_counters_increased():
    """Guards against undercounting the requests since a restart.

    A restarted daemon may pass its earlier counts before the next sample.
    """
    samples = [_sample(0, 100, 0, -50.0), _sample(300, 150, 0, 100.0)]
    assert _windows(samples)[0].requests == 150


def test_alert_needs_both_windows():
    """Guards against alerts for a burn that has ended or was too short."""
    healthy = [_sample(m * 60, m * 1000, 0) for m in range(60)]
    last = healthy[-1].counts[GOOD]
    spike = _sample(3600, last, 1000)
    (short,) = burn.report([*healthy, spike], OBJECTIVES)
    assert short.windows[0].rate > burn.FAST.threshold
    assert short.alerts == []
    outage = [*healthy, _sample(3600, last, 60_000)]
    (long,) = burn.report(outage, OBJECTIVES)
    assert long.alerts == ["fast"]
    (over,) = burn.report(
        [*outage, _sample(3960, last + 900, 60_000)], OBJECTIVES
    )
    assert over.alerts == []
    days = [_sample(t * burn.HOUR_S, t * 980, t * 20) for t in range(73)]
    (slow,) = burn.report(days, OBJECTIVES)
    assert slow.alerts == ["slow"]


def test_old_readings_say_nothing_about_a_short_window():
    """Guards against reporting a rate over three days as one over 5 min."""
    samples = [_sample(3 * burn.DAY_S, 1000, 900, 0.0)]
    windows = _windows(samples)
    assert [w.requests for w in windows] == [0, 0, 0, 1900]
    assert windows[0].rate is None


def test_cancelled_requests_are_not_counted():
    """Guards against cancelled searches that use up the error budget."""
    first, last = _sample(0, 0, 0), _sample(300, 90, 10)
    for sample, number in ((first, 0), (last, 500)):
        series = next(iter(sample.counts))
        cancelled = dataclasses.replace(series, result=burn.CANCELLED)
        sample.counts[cancelled] = number
    window = _windows([first, last])[0]
    assert (window.requests, window.bad) == (100, 10)
