"""Admission of requests by class priority and limits."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from sapphire_core.errors import OverloadedError

# The lowest priority may use this share of the entry's limit.
LOWEST_SHARE = 0.4
# Share of a class's deadline that the recent wait may reach before the
# class is refused: the highest and the lowest priority.
HIGHEST_WAIT_SHARE = 0.6
LOWEST_WAIT_SHARE = 0.15
# Without new samples the recent wait falls by half in this time, so that
# refused classes are tried again.
WAIT_HALF_LIFE_S = 0.5
# Weight of a new sample of the wait.
WAIT_GAIN = 0.1


@dataclass(frozen=True, slots=True)
class ClassLimit:
    """What admission needs to know about a request class.

    Attributes:
        service: Service of the class.
        name: Name within the service.
        priority: 0 is the highest.
        max_concurrent: Running requests of the class on this entry.
        deadline_ms: Usual deadline; the wait is compared with it.
    """

    service: str
    name: str
    priority: int
    max_concurrent: int
    deadline_ms: float


class RecentWait:
    """Running mean of the queueing time of a service's shard calls."""

    def __init__(self) -> None:
        self._mean_ms = 0.0
        self._at = -math.inf

    def add(self, wait_ms: float, now: float) -> None:
        """Counts one sample; now is in seconds."""
        mean = self.mean_ms(now)
        self._mean_ms = mean + WAIT_GAIN * (wait_ms - mean)
        self._at = now

    def mean_ms(self, now: float) -> float:
        """Returns the mean, which falls while there are no samples."""
        age = max(0.0, now - self._at)
        return self._mean_ms * math.pow(0.5, age / WAIT_HALF_LIFE_S)


class Admission:
    """Counts running requests and refuses low priorities first."""

    def __init__(self) -> None:
        self._limit = 1
        self._levels: list[int] = []
        self._running = 0
        self._by_class: dict[tuple[str, str], int] = {}
        self._waits: dict[str, RecentWait] = {}

    @property
    def running(self) -> int:
        """Requests that run now."""
        return self._running

    def configure(self, limit: int, priorities: Iterable[int]) -> None:
        """Sets the limits in force.

        Args:
            limit: Requests that may run on this entry.
            priorities: Priorities of all classes of all services.
        """
        self._limit = limit
        self._levels = sorted(set(priorities))

    def record_wait(self, service: str, wait_ms: float, now: float) -> None:
        """Counts the queueing time of a service's calls."""
        self._waits.setdefault(service, RecentWait()).add(wait_ms, now)

    def enter(self, limit: ClassLimit, now: float) -> None:
        """Counts a request as running; leave must follow.

        Raises:
            OverloadedError: The request is refused.
        """
        key = (limit.service, limit.name)
        running = self._by_class.get(key, 0)
        if running >= limit.max_concurrent:
            raise OverloadedError(
                f"{running} requests of class {limit.name!r} are running."
            )
        depth = self._depth(limit.priority)
        allowed = self._limit * (1 - depth * (1 - LOWEST_SHARE))
        if self._running >= max(1.0, allowed):
            raise OverloadedError(
                f"{self._running} requests are running on this entry."
            )
        self._check_wait(limit, depth, now)
        self._running += 1
        self._by_class[key] = running + 1

    def leave(self, limit: ClassLimit) -> None:
        """Counts a request as ended."""
        self._running -= 1
        self._by_class[limit.service, limit.name] -= 1

    def _check_wait(self, limit: ClassLimit, depth: float, now: float) -> None:
        wait = self._waits.get(limit.service)
        if wait is None:
            return
        share = HIGHEST_WAIT_SHARE - depth * (
            HIGHEST_WAIT_SHARE - LOWEST_WAIT_SHARE
        )
        mean_ms = wait.mean_ms(now)
        if mean_ms > share * limit.deadline_ms:
            raise OverloadedError(
                f"requests of {limit.service!r} wait {mean_ms:.0f} ms."
            )

    def _depth(self, priority: int) -> float:
        """Returns 0 for the highest priority in use and 1 for the lowest."""
        below = sum(level < priority for level in self._levels)
        return below / max(1, len(self._levels) - 1)
