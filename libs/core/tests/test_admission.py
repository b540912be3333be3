"""Tests of admission, the hedge budget and the latency estimate."""

from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.admission import Admission, ClassLimit
from sapphire_core.budget import INITIAL_TOKENS, MAX_TOKENS, Budget
from sapphire_core.errors import OverloadedError
from sapphire_core.latency import RunningQuantile


def _limit(name, priority, max_concurrent=100):
    return ClassLimit("s", name, priority, max_concurrent, 100.0)


def _admission(limit=10):
    admission = Admission()
    admission.configure(limit, [0, 3, 9])
    return admission


def _admitted(admission, limit, tries=20, now=0.0):
    count = 0
    for _ in range(tries):
        try:
            admission.admit(limit, now)
        except OverloadedError:
            break
        count += 1
    return count


def test_low_priority_is_refused_first():
    """Guards against low-priority requests that displace urgent ones."""
    admission = _admission()
    assert _admitted(admission, _limit("low", 9)) == 4
    assert _admitted(admission, _limit("middle", 3)) == 3
    assert _admitted(admission, _limit("high", 0)) == 3
    admission.release(_limit("low", 9))
    assert _admitted(admission, _limit("low", 9)) == 0
    assert _admitted(admission, _limit("high", 0)) == 1


def test_class_limit_holds():
    """Guards against one class that uses the whole limit of the entry."""
    assert _admitted(_admission(), _limit("high", 0, max_concurrent=2)) == 2


def test_long_queueing_refuses_low_priority_until_it_decays():
    """Guards against queueing that delays all classes alike."""
    admission = _admission()
    for _ in range(100):
        admission.record_wait("s", 30.0, 0.0)
    assert _admitted(admission, _limit("low", 9), tries=1) == 0
    assert _admitted(admission, _limit("high", 0), tries=1) == 1
    assert _admitted(admission, _limit("low", 9), tries=1, now=2.0) == 1


@given(st.lists(st.integers(0, 40)), st.sampled_from([0.0, 0.05, 0.5]))
def test_extra_calls_stay_within_their_share(calls, share):
    """Guards against hedges and retries that overload the leaves."""
    budget = Budget(share)
    taken = 0
    for count in calls:
        budget.refill(count)
        taken += budget.take_hedge() + budget.take_retry()
    initial = INITIAL_TOKENS if share else 0.0
    assert taken <= initial + share * sum(calls) + 1e-6
    assert budget.tokens <= MAX_TOKENS


@given(st.lists(st.floats(0.2, 5000), min_size=300, max_size=300))
def test_quantile_is_close_to_the_sorted_samples(samples):
    """Guards against hedge delays far from the 95th percentile."""
    quantile = RunningQuantile(0.95)
    for sample in samples:
        quantile.add(sample)
    exact = sorted(samples)[284]
    assert exact * 0.99 <= quantile.value_ms <= exact * 1.1
