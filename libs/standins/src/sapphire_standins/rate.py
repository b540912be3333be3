"""Rate limiter."""

from __future__ import annotations


class RateLimiter:
    """Token bucket with a capacity of one second's calls, and at least one."""

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = per_second
        self._refilled_at = 0.0

    def configure(self, per_second: float) -> None:
        """Sets the rate; keeps the tokens in the bucket."""
        self._per_second = per_second

    def try_acquire(self, now: float) -> bool:
        """Takes a token at the time now, in seconds, if one is left."""
        refill = max(0.0, now - self._refilled_at) * self._per_second
        capacity = max(1.0, self._per_second)
        self._tokens = min(capacity, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
