"""Limit of calls per second."""

from __future__ import annotations


class RateLimit:
    """Token bucket that holds the calls of one second."""

    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = per_second
        self._filled_at = 0.0

    def configure(self, per_second: float) -> None:
        """Changes the rate."""
        self._per_second = per_second

    def allow(self, now: float) -> bool:
        """Takes one call at the time now, in seconds."""
        gained = max(0.0, now - self._filled_at) * self._per_second
        self._tokens = min(self._per_second, self._tokens + gained)
        self._filled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
