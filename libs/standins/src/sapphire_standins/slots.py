"""Slots of a leaf and their queue.

A slot runs one job at a time; a leaf has a fixed number of them.
"""

from __future__ import annotations

import enum
from collections.abc import Hashable
from typing import Generic, TypeVar

JobType = TypeVar("JobType", bound=Hashable)


class Admission(enum.Enum):
    """Outcome of admitting a job; SHED means that it was refused."""

    RUNNING = "running"
    WAITING = "waiting"
    SHED = "shed"


class SlotQueue(Generic[JobType]):
    """Decides which jobs run, wait or are shed; performs no I/O."""

    def __init__(self, slots: int, queue_limit: int) -> None:
        self._slots = slots
        self._queue_limit = queue_limit
        self._running: set[JobType] = set()
        self._waiting: list[JobType] = []
        self._peak_running = 0

    @property
    def running(self) -> int:
        """Number of jobs in a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of jobs in the queue."""
        return len(self._waiting)

    @property
    def peak_running(self) -> int:
        """Peak of concurrently running jobs."""
        return self._peak_running

    def admit(self, job: JobType) -> Admission:
        """Starts, queues or sheds a job."""
        if len(self._running) < self._slots:
            self._start(job)
            return Admission.RUNNING
        if len(self._waiting) < self._queue_limit:
            self._waiting.append(job)
            return Admission.WAITING
        return Admission.SHED

    def remove(self, job: JobType) -> list[JobType]:
        """Removes a job and returns the waiting jobs that start now."""
        self._running.discard(job)
        if job in self._waiting:
            self._waiting.remove(job)
        return self._start_waiting()

    def resize(self, slots: int, queue_limit: int) -> list[JobType]:
        """Changes the limits and returns the waiting jobs that start now.

        Jobs above a lower limit stay in their slot or in the queue.
        """
        self._slots = slots
        self._queue_limit = queue_limit
        return self._start_waiting()

    def _start_waiting(self) -> list[JobType]:
        started = []
        while self._waiting and len(self._running) < self._slots:
            job = self._waiting.pop(0)
            self._start(job)
            started.append(job)
        return started

    def _start(self, job: JobType) -> None:
        self._running.add(job)
        self._peak_running = max(self._peak_running, len(self._running))
