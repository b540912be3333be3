"""Cold and warm state of a leaf.

A cold leaf is slower and handles fewer concurrent jobs than a warm one, until
it has finished a number of jobs. A leaf is cold after an outage, after the
action "turn_cold" and, if its settings say so, from its start.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

JobType = TypeVar("JobType", bound=Hashable)


class ColdState(Generic[JobType]):
    """Counts concurrent jobs against the limit of a cold leaf.

    add() reports a job above the limit but doesn't refuse it; the caller
    decides what happens. The class performs no I/O.

    A leaf can turn cold without an outage. Jobs in progress at that moment
    are exempt from the limit, because their callers could not know. The cold
    state is undetected (in settings and records: unnoticed) until a job that
    arrived after the change has finished: its slow reply shows the callers
    that the leaf is cold.

    Args:
        cold: Whether the leaf starts cold.
        cold_limit: Concurrent jobs that a cold leaf can handle.
        undetected_limit: The same while the callers have not detected the cold
            state.
        warm_after: Number of finished jobs after which a cold leaf is warm.
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
        # Has no effect while the leaf is warm.
        self._detected = True
        self._exempt: set[JobType] = set()
        self._jobs: set[JobType] = set()
        self._finished_count = 0
        self._peak = 0
        self._peak_undetected = 0
        self.configure(cold_limit, undetected_limit, warm_after)

    @property
    def is_cold(self) -> bool:
        """Whether the leaf is cold."""
        return self._cold

    @property
    def peak(self) -> int:
        """Peak of concurrent jobs while the cold state was detected."""
        return self._peak

    @property
    def peak_undetected(self) -> int:
        """Peak of concurrent jobs while the cold state was undetected."""
        return self._peak_undetected

    @property
    def counted_jobs(self) -> int:
        """Number of jobs in progress that count towards the limit."""
        return len(self._jobs - self._exempt)

    def configure(
        self, cold_limit: int, undetected_limit: int, warm_after: int
    ) -> None:
        """Sets the limits of the cold leaf and when it becomes warm."""
        self._cold_limit = cold_limit
        self._undetected_limit = undetected_limit
        self._warm_after = warm_after

    def has_capacity(self) -> bool:
        """Whether one more job is within the limit; always true when warm."""
        limit = self._cold_limit if self._detected else self._undetected_limit
        return not self._cold or self.counted_jobs < limit

    def add(self, job: JobType) -> bool:
        """Adds a job; returns whether it is within the limit.

        A job above the limit is added too, until remove() is called.
        """
        has_capacity = self.has_capacity()
        self._jobs.add(job)
        if self._cold and self._detected:
            self._peak = max(self._peak, self.counted_jobs)
        elif self._cold:
            self._peak_undetected = max(
                self._peak_undetected, self.counted_jobs
            )
        return has_capacity

    def remove(self, job: JobType, *, finished: bool) -> None:
        """Removes a job; warm_after finished ones make the leaf warm.

        Jobs that are exempt don't count towards warm_after.

        Args:
            job: The job, finished or stopped.
            finished: Whether the job ended with a result.
        """
        self._jobs.discard(job)
        if job in self._exempt:
            self._exempt.discard(job)
            return
        if not self._cold or not finished:
            return
        self._detected = True
        self._finished_count += 1
        if self._finished_count >= self._warm_after:
            self.turn_warm()

    def turn_cold(self) -> None:
        """Makes the leaf cold without an outage.

        If it was warm, jobs in progress become exempt and the cold state is
        undetected. If it was cold, only the count towards warm_after restarts.
        """
        if not self._cold:
            self._detected = False
            self._exempt = set(self._jobs)
        self._cold = True
        self._finished_count = 0

    def turn_cold_after_outage(self) -> None:
        """Makes the leaf cold because of an outage, which stops all jobs.

        The cold state counts as detected at once, because the callers see
        that their connections were closed. Jobs become exempt, so that those
        that are still being stopped don't count towards the limit.
        """
        self._cold = True
        self._detected = True
        self._finished_count = 0
        self._exempt = set(self._jobs)

    def turn_warm(self) -> None:
        """Makes the leaf warm and clears the exemptions."""
        self._cold = False
        self._detected = True
        self._finished_count = 0
        self._exempt.clear()
