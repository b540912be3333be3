"""Cold start of a leaf."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

Job = TypeVar("Job", bound=Hashable)


class ColdState(Generic[Job]):
    """Counts the requests of a cold leaf; performs no I/O.

    Requests in progress at the moment of an unannounced turn to cold are
    exempt: their sender could not know. The turn counts as noticed when the
    first request that arrived after it has finished.
    """

    def __init__(
        self,
        *,
        cold: bool,
        cold_limit: int,
        undetected_limit: int,
        warm_after: int,
    ) -> None:
        self._cold = cold
        self._detected = True
        self._exempt: set[Job] = set()
        self._jobs: set[Job] = set()
        self._finished = 0
        self._peak = 0
        self._peak_undetected = 0
        self.configure(cold_limit, undetected_limit, warm_after)

    @property
    def is_cold(self) -> bool:
        """Whether the leaf is cold."""
        return self._cold

    @property
    def peak(self) -> int:
        """Greatest number of requests at once on the leaf known as cold."""
        return self._peak

    @property
    def peak_undetected(self) -> int:
        """The same between an unannounced turn and its notice."""
        return self._peak_undetected

    @property
    def counted_jobs(self) -> int:
        """Number of requests in progress that are not exempt."""
        return len(self._jobs - self._exempt)

    def configure(
        self, cold_limit: int, undetected_limit: int, warm_after: int
    ) -> None:
        """Sets what the cold leaf bears and when it is warm."""
        self._cold_limit = cold_limit
        self._undetected_limit = undetected_limit
        self._warm_after = warm_after

    def has_capacity(self) -> bool:
        """Whether one more request can arrive without a fall."""
        limit = self._cold_limit if self._detected else self._undetected_limit
        return not self._cold or self.counted_jobs < limit

    def add(self, job: Job) -> bool:
        """Adds a request; returns whether the leaf bears it."""
        has_capacity = self.has_capacity()
        self._jobs.add(job)
        if self._cold and self._detected:
            self._peak = max(self._peak, self.counted_jobs)
        elif self._cold:
            self._peak_undetected = max(
                self._peak_undetected, self.counted_jobs
            )
        return has_capacity

    def remove(self, job: Job, *, finished: bool) -> None:
        """Removes a request; enough finished ones make the leaf warm."""
        self._jobs.discard(job)
        if job in self._exempt:
            self._exempt.discard(job)
            return
        if not self._cold or not finished:
            return
        self._detected = True
        self._finished += 1
        if self._finished >= self._warm_after:
            self.turn_warm()

    def turn_cold(self) -> None:
        """Makes the leaf cold without notice."""
        if not self._cold:
            self._detected = False
            self._exempt = set(self._jobs)
        self._cold = True
        self._finished = 0

    def restart(self) -> None:
        """Makes the leaf cold after its connections were lost."""
        self._cold = True
        self._detected = True
        self._finished = 0
        self._exempt = set(self._jobs)

    def turn_warm(self) -> None:
        """Makes the leaf warm."""
        self._cold = False
        self._detected = True
        self._finished = 0
        self._exempt.clear()
