"""Runs the jobs of a leaf in its slots.

A job is one search or submit call, from its admission to its end. A leaf runs
as many jobs at once as it has slots; further jobs wait in a queue.
"""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from sapphire_standins.cold import ColdState
from sapphire_standins.faults import LeafFaults
from sapphire_standins.lag import LaggedValue
from sapphire_standins.slots import Admission, SlotQueue


class StopReason(enum.Enum):
    """Reason why a job ended without a result: HTTP status and error.

    Attributes:
        SHED: All slots were taken and the queue was full.
        DRAINING: The leaf was draining.
        COLD: The leaf was at its cold limit and set to refuse further jobs.
        LATE: The job's deadline passed.
        CANCELLED: A cancel call stopped the job.
        LOST: An outage or crash of the leaf stopped the job.
    """

    SHED = (503, "shed")
    DRAINING = (503, "draining")
    COLD = (503, "cold")
    LATE = (504, "deadline_passed")
    CANCELLED = (499, "cancelled")
    LOST = (500, "lost")


class StoppedError(Exception):
    """A job was refused or ended early.

    Attributes:
        reason: Why the job was refused or ended.
    """

    def __init__(self, reason: StopReason) -> None:
        super().__init__(reason.value[1])
        self.reason = reason


@dataclass(eq=False)
class Job:
    """One search or submit call, which needs a slot to run.

    Attributes:
        id: Batch id or submission key.
        queries: Number of queries in the call.
        deadline_s: Seconds after which the job is stopped.
        crashes_leaf: Whether the leaf crashes when the job starts.
        on_start: Called when the job starts to run in its slot. A job that is
            stopped before that has not been executed.
        slot_granted: Set when a slot is assigned to the job; wakes its task.
        scope: Cancelled to stop the job.
        reason: Why the job was stopped; LATE unless set otherwise.
    """

    id: str
    queries: int = 1
    deadline_s: float = math.inf
    crashes_leaf: bool = False
    on_start: Callable[[], None] = lambda: None
    slot_granted: trio.Event = field(default_factory=trio.Event)
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    reason: StopReason = StopReason.LATE


@dataclass(frozen=True)
class Load:
    """Numbers of running and waiting jobs, as reported by GET /load."""

    running: int
    waiting: int


class Worker:
    """Admits, runs and stops jobs.

    Args:
        faults: Capacity, service times and active faults of the leaf.
        cold: Whether the leaf starts cold.
        seed: Seed of the service times.
        take_offline: Closes all connections and refuses new ones for the
            given number of seconds; called for an outage.
    """

    def __init__(
        self,
        faults: LeafFaults,
        *,
        cold: bool,
        seed: int,
        take_offline: Callable[[float], None],
    ) -> None:
        self._faults = faults
        self._random = random.Random(seed)
        self._take_offline = take_offline
        self._jobs: set[Job] = set()
        self._slots = SlotQueue[Job](faults.slots, faults.queue_limit)
        self._cold = ColdState[Job](
            cold=cold,
            cold_limit=faults.cold_bears,
            undetected_limit=_undetected_limit(faults),
            warm_after=faults.warm_after,
        )
        self._peak_in_progress = 0
        self._peak_cold_batch = 0
        self._cold_failures = 0
        self._crash_count = 0
        self._stop_counts = dict.fromkeys(StopReason, 0)
        self._health = LaggedValue(self._health_state())
        self._load = LaggedValue(Load(0, 0))
        self._idle = trio.Event()
        self._idle.set()

    @property
    def cold(self) -> ColdState[Job]:
        """Cold state and its counters."""
        return self._cold

    @property
    def slots(self) -> SlotQueue[Job]:
        """Slots, queue and their counters."""
        return self._slots

    @property
    def in_progress(self) -> int:
        """Number of running and waiting jobs."""
        return len(self._jobs)

    @property
    def peak_in_progress(self) -> int:
        """Peak number of running and waiting jobs."""
        return self._peak_in_progress

    @property
    def peak_cold_batch(self) -> int:
        """Largest number of queries in a call admitted while cold."""
        return self._peak_cold_batch

    @property
    def cold_failures(self) -> int:
        """Number of outages caused by jobs above the limit of a cold leaf.

        Crashes are counted separately in crash_count.
        """
        return self._cold_failures

    @property
    def crash_count(self) -> int:
        """Number of simulated crashes, requested or caused by a query."""
        return self._crash_count

    @property
    def stop_counts(self) -> dict[str, int]:
        """Number of refused and stopped jobs by reason."""
        return {stop.value[1]: n for stop, n in self._stop_counts.items()}

    def configure(self, faults: LeafFaults) -> None:
        """Replaces the configuration.

        Running jobs keep their service time. Jobs above new, lower limits stay
        in their slots and in the queue.
        """
        self._faults = faults
        self._grant_slots(self._slots.resize(faults.slots, faults.queue_limit))
        self._cold.configure(
            faults.cold_bears, _undetected_limit(faults), faults.warm_after
        )
        self._update_status()

    async def run(self, job: Job) -> None:
        """Runs a job to completion.

        Raises:
            StoppedError: The job was refused or ended early.
        """
        try:
            self._admit(job)
            await self._run_in_slot(job)
        except StoppedError as error:
            self._stop_counts[error.reason] += 1
            raise

    def cancel(self, job_id: str) -> int:
        """Stops the jobs with the given id and returns their number."""
        jobs = [job for job in self._jobs if job.id == job_id]
        for job in jobs:
            self._stop(job, StopReason.CANCELLED)
        return len(jobs)

    def turn_cold(self) -> None:
        """Makes the leaf cold without an outage.

        Connections stay open and jobs continue. Callers are not told of the
        change: they have to see it in GET /health, which may lag, or in slow
        replies. GET /health does not end the undetected state: it ends when a
        job that arrived after the change has finished, when the leaf turns
        warm, or with an outage (see ColdState).
        """
        self._cold.turn_cold()
        self._update_status()

    def turn_warm(self) -> None:
        """Makes the leaf warm."""
        self._cold.turn_warm()
        self._update_status()

    def crash(self) -> None:
        """Simulates a crash: an outage of restart_ms, then a cold start."""
        self._crash_count += 1
        self._simulate_outage(self._faults.restart_ms)

    async def wait_until_idle(self) -> None:
        """Waits until no job is running or waiting."""
        await self._idle.wait()

    def health(self) -> str:
        """Returns health_says if set, else the health health_lag_ms ago."""
        faults = self._faults
        if faults.health_says is not None:
            return faults.health_says
        lag_s = faults.health_lag_ms / 1000
        return self._health.get(trio.current_time(), lag_s)

    def load(self) -> Load:
        """Returns the load as it was load_lag_ms ago."""
        lag_s = self._faults.load_lag_ms / 1000
        return self._load.get(trio.current_time(), lag_s)

    def _admit(self, job: Job) -> None:
        if self._faults.draining:
            raise StoppedError(StopReason.DRAINING)
        if self._faults.cold_refuses and not self._cold.has_capacity():
            raise StoppedError(StopReason.COLD)
        admission = self._slots.admit(job)
        if admission is Admission.SHED:
            raise StoppedError(StopReason.SHED)
        if admission is Admission.RUNNING:
            job.slot_granted.set()
        self._register(job)
        if not self._cold.add(job):
            # The job is above the limit of a cold leaf. Since it was not
            # refused, it causes an outage, which stops it with all others.
            self._cold_failures += 1
            self._simulate_outage(self._faults.fall_over_ms)

    def _register(self, job: Job) -> None:
        self._jobs.add(job)
        self._peak_in_progress = max(self._peak_in_progress, len(self._jobs))
        if self._cold.is_cold:
            self._peak_cold_batch = max(self._peak_cold_batch, job.queries)
        if self._idle.is_set():
            self._idle = trio.Event()
        self._update_status()

    async def _run_in_slot(self, job: Job) -> None:
        finished = False
        job.scope.deadline = trio.current_time() + job.deadline_s
        try:
            with job.scope:
                await job.slot_granted.wait()
                # A job that is stopped after it got its slot, but before this
                # task resumed, must not start.
                await trio.lowlevel.checkpoint_if_cancelled()
                job.on_start()
                if job.crashes_leaf:
                    # Cancels job.scope, so that the sleep ends at once.
                    self.crash()
                await trio.sleep(self._service_time_s(job))
                finished = True
        finally:
            self._unregister(job, finished=finished)
        if not finished:
            raise StoppedError(job.reason)

    def _unregister(self, job: Job, *, finished: bool) -> None:
        self._jobs.discard(job)
        self._cold.remove(job, finished=finished)
        self._grant_slots(self._slots.remove(job))
        if not self._jobs:
            self._idle.set()
        self._update_status()

    def _service_time_s(self, job: Job) -> float:
        faults = self._faults
        time_ms = faults.service_ms
        # batch_share is the cost of each further query relative to the first.
        time_ms *= 1 + faults.batch_share * (job.queries - 1)
        time_ms *= 1 + faults.spread * self._random.uniform(-1, 1)
        if self._random.random() < faults.slow_share:
            time_ms *= faults.slow_factor
        if self._cold.is_cold:
            time_ms *= faults.cold_factor
        return time_ms / 1000

    def _simulate_outage(self, outage_ms: float) -> None:
        """Simulates an outage, after which the leaf is cold.

        Stops all jobs, closes all connections and refuses new ones for
        outage_ms.
        """
        self._cold.turn_cold_after_outage()
        for job in self._jobs:
            self._stop(job, StopReason.LOST)
        self._take_offline(outage_ms / 1000)
        self._update_status()

    def _stop(self, job: Job, reason: StopReason) -> None:
        job.reason = reason
        job.scope.cancel()

    def _grant_slots(self, jobs: list[Job]) -> None:
        for job in jobs:
            job.slot_granted.set()

    def _health_state(self) -> str:
        if self._faults.draining:
            return "draining"
        return "cold" if self._cold.is_cold else "warm"

    def _update_status(self) -> None:
        """Stores the current health and load, which can be read with a lag."""
        now = trio.current_time()
        self._health.set(self._health_state(), now)
        self._load.set(Load(self._slots.running, self._slots.waiting), now)


def _undetected_limit(faults: LeafFaults) -> int:
    # None means cold_bears; 0 is not a valid value.
    return faults.unnoticed_bears or faults.cold_bears
