"""Admission control by the priority and the limits of request classes.

An entry is the process that receives callers' requests; each one applies these
limits to its own requests.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from sapphire_core.errors import OverloadedError

# A request of the lowest priority is admitted only while the running requests
# of all priorities together use less than this share of the entry's limit.
LOWEST_PRIORITY_SHARE = 0.4
# Share of a class's deadline that the recent queueing time may reach before the
# class is refused, for the highest and the lowest priority.
HIGHEST_PRIORITY_WAIT_SHARE = 0.6
LOWEST_PRIORITY_WAIT_SHARE = 0.15
# Half-life of the recent queueing time without new samples. The decay lets
# classes that are refused be admitted again.
WAIT_HALF_LIFE_S = 0.5
# Weight of a new sample in the moving average of the queueing time.
WAIT_SMOOTHING = 0.1


@dataclass(frozen=True, slots=True)
class ClassLimit:
    """Priority and limits of a request class.

    Attributes:
        service: Service of the class.
        name: Name of the class within the service.
        priority: Priority; 0 is the highest.
        max_concurrent: Maximum number of running requests of the class on this
            entry.
        deadline_ms: Usual deadline, with which queueing times are compared.
    """

    service: str
    name: str
    priority: int
    max_concurrent: int
    deadline_ms: float


class RecentWait:
    """Moving average of the queueing time of a service's shard calls."""

    def __init__(self) -> None:
        self._mean_ms = 0.0
        self._at = -math.inf

    def add(self, wait_ms: float, now: float) -> None:
        """Adds a sample; now is in seconds."""
        mean = self.mean_ms(now)
        self._mean_ms = mean + WAIT_SMOOTHING * (wait_ms - mean)
        self._at = now

    def mean_ms(self, now: float) -> float:
        """Returns the average, which decays without new samples."""
        age = max(0.0, now - self._at)
        return self._mean_ms * math.pow(0.5, age / WAIT_HALF_LIFE_S)


class Admission:
    """Counts running requests and refuses new ones of low priority first."""

    def __init__(self) -> None:
        self._limit = 1
        self._levels: list[int] = []
        self._running = 0
        self._by_class: dict[tuple[str, str], int] = {}
        self._waits: dict[str, RecentWait] = {}

    @property
    def running(self) -> int:
        """Number of running requests."""
        return self._running

    def configure(self, limit: int, priorities: Iterable[int]) -> None:
        """Sets the limits.

        Args:
            limit: Maximum number of running requests on this entry.
            priorities: Priorities of all classes of all services.
        """
        self._limit = limit
        self._levels = sorted(set(priorities))

    def record_wait(self, service: str, wait_ms: float, now: float) -> None:
        """Records the queueing time of a call to a service."""
        self._waits.setdefault(service, RecentWait()).add(wait_ms, now)

    def admit(self, limit: ClassLimit, now: float) -> None:
        """Counts a request as running. The caller must call release at its end.

        Raises:
            OverloadedError: The request is refused.
        """
        key = (limit.service, limit.name)
        running = self._by_class.get(key, 0)
        if running >= limit.max_concurrent:
            raise OverloadedError(
                f"{running} requests of class {limit.name!r} are running."
            )
        rank = self._relative_priority(limit.priority)
        allowed = self._limit * (1 - rank * (1 - LOWEST_PRIORITY_SHARE))
        if self._running >= max(1.0, allowed):
            raise OverloadedError(
                f"{self._running} requests are running on this entry."
            )
        self._check_wait(limit, rank, now)
        self._running += 1
        self._by_class[key] = running + 1

    def release(self, limit: ClassLimit) -> None:
        """Counts a request as ended."""
        self._running -= 1
        self._by_class[limit.service, limit.name] -= 1

    def _check_wait(self, limit: ClassLimit, rank: float, now: float) -> None:
        wait = self._waits.get(limit.service)
        if wait is None:
            return
        share = HIGHEST_PRIORITY_WAIT_SHARE - rank * (
            HIGHEST_PRIORITY_WAIT_SHARE - LOWEST_PRIORITY_WAIT_SHARE
        )
        mean_ms = wait.mean_ms(now)
        if mean_ms > share * limit.deadline_ms:
            raise OverloadedError(
                f"requests of {limit.service!r} wait {mean_ms:.0f} ms."
            )

    def _relative_priority(self, priority: int) -> float:
        """Returns 0 for the highest priority in use and 1 for the lowest."""
        below = sum(level < priority for level in self._levels)
        return below / max(1, len(self._levels) - 1)
