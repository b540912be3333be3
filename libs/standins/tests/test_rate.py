"""Tests of the rate limiter."""

from __future__ import annotations

from sapphire_standins.rate import RateLimiter


def test_rate_below_one_allows_calls_now_and_then():
    """Guards against a stand-in that never answers at a low rate."""
    limiter = RateLimiter(0.5)
    allowed = [second for second in range(1, 21) if limiter.try_acquire(second)]
    assert len(allowed) == 10


def test_calls_beyond_the_rate_are_rejected():
    limiter = RateLimiter(3.0)
    assert [limiter.try_acquire(10.0) for _ in range(5)] == [True] * 3 + [
        False
    ] * 2
    assert not limiter.try_acquire(10.3)
    assert limiter.try_acquire(10.4)


def test_zero_rate_allows_no_calls():
    limiter = RateLimiter(0.0)
    assert not any(limiter.try_acquire(float(second)) for second in range(100))
