"""Tests of the worker with a mock clock."""

import functools
from typing import Any

import pytest
import trio
from sapphire_standins.faults import LeafFaults
from sapphire_standins.worker import Job, StoppedError, StopReason, Worker
from trio.testing import MockClock


class _WorkerHarness:
    """Runs jobs on a worker and records the outcome of each.

    An outcome is the result, "done" or a StopReason, and the duration in
    seconds.
    """

    def __init__(self, *, cold: bool = False, **faults: Any) -> None:
        self.faults = LeafFaults(service_ms=100, spread=0, **faults)
        self.outages = []
        self.outcomes = {}
        self.worker = Worker(
            self.faults, cold=cold, seed=1, take_offline=self.outages.append
        )

    async def run(self, job):
        start = trio.current_time()
        try:
            await self.worker.run(job)
            result = "done"
        except StoppedError as error:
            result = error.reason
        self.outcomes[job.id] = (result, round(trio.current_time() - start, 3))

    def results(self):
        return {job: result for job, (result, _) in self.outcomes.items()}


def _run_with_mock_clock(scenario):
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


async def _run_all(harness, jobs):
    async with trio.open_nursery() as nursery:
        for job in jobs:
            nursery.start_soon(harness.run, job)
            await trio.testing.wait_all_tasks_blocked()


def test_excess_jobs_are_queued_and_then_shed():
    """Guards against a leaf with unlimited capacity."""

    async def main():
        harness = _WorkerHarness(slots=1, queue_limit=1)
        await _run_all(harness, [Job("a"), Job("b"), Job("c")])
        assert harness.outcomes == {
            "a": ("done", 0.1),
            "b": ("done", 0.2),
            "c": (StopReason.SHED, 0.0),
        }

    _run_with_mock_clock(main)


def test_a_batch_takes_less_time_than_its_single_queries():
    """Guards against a multi-search that saves no time."""

    async def main():
        harness = _WorkerHarness(batch_share=0.25)
        await harness.run(Job("a", queries=5))
        assert harness.outcomes["a"] == ("done", 0.2)

    _run_with_mock_clock(main)


def test_deadline_stops_running_and_waiting_jobs():
    """Guards against jobs that run past their deadline.

    By then, the sender may no longer be permitted to use the leaf, so that the
    job would run beside those of another sender.
    """

    async def main():
        harness = _WorkerHarness(slots=1)
        jobs = [Job(x, deadline_s=0.05) for x in "ab"] + [Job("c")]
        await _run_all(harness, jobs)
        assert harness.outcomes == {
            "a": (StopReason.LATE, 0.05),
            "b": (StopReason.LATE, 0.05),
            "c": ("done", 0.15),
        }

    _run_with_mock_clock(main)


def test_cancellation_frees_the_slot():
    """Guards against a cancelled batch that still occupies a slot."""

    async def main():
        harness = _WorkerHarness(slots=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(harness.run, Job("a"))
            await trio.sleep(0.02)
            assert harness.worker.cancel("a") == 1
            assert harness.worker.cancel("b") == 0
        await harness.run(Job("c"))
        assert harness.outcomes["a"] == (StopReason.CANCELLED, 0.02)
        assert harness.results()["c"] == "done"

    _run_with_mock_clock(main)


def test_cold_leaf_is_slow_fails_on_excess_jobs_and_warms_up():
    """Guards against a cold leaf that handles full load."""

    async def main():
        harness = _WorkerHarness(cold=True, warm_after=2, fall_over_ms=700)
        await _run_all(harness, [Job("a"), Job("b")])
        assert harness.results() == {"a": StopReason.LOST, "b": StopReason.LOST}
        assert harness.outages == [0.7]
        for name in "cde":
            await harness.run(Job(name))
        assert [harness.outcomes[x][1] for x in "cde"] == [1.0, 1.0, 0.1]
        assert harness.worker.cold_failures == 1
        assert harness.worker.cold.peak == 2

    _run_with_mock_clock(main)


def test_cold_leaf_can_refuse_excess_jobs():
    """Guards against refused jobs that count as load on the cold leaf."""

    async def main():
        harness = _WorkerHarness(cold=True, cold_refuses=True)
        await _run_all(harness, [Job("a"), Job("b")])
        assert harness.results() == {"a": "done", "b": StopReason.COLD}
        assert harness.worker.cold.peak == 1

    _run_with_mock_clock(main)


def test_crash_stops_all_jobs():
    """Guards against jobs that survive a simulated crash."""

    async def main():
        harness = _WorkerHarness(slots=1, restart_ms=300)
        started = []
        jobs = [Job("a"), Job("b", crashes_leaf=True), Job("c")]
        for job in jobs:
            job.on_start = functools.partial(started.append, job.id)
        await _run_all(harness, jobs)
        assert harness.outcomes == {
            "a": ("done", 0.1),
            "b": (StopReason.LOST, 0.1),
            "c": (StopReason.LOST, 0.1),
        }
        assert started == ["a", "b"]
        assert harness.outages == [0.3]
        assert harness.worker.crash_count == 1
        assert harness.worker.in_progress == harness.worker.slots.running == 0
        assert harness.worker.health() == "cold"

    _run_with_mock_clock(main)


@pytest.mark.parametrize(
    ("faults", "shown"),
    [
        ({}, "draining"),
        ({"health_lag_ms": 5_000}, "warm"),
        ({"health_says": "warm"}, "warm"),
    ],
)
def test_draining_refuses_new_work(faults, shown):
    """Guards against new jobs while draining and ineffective health faults."""

    async def main():
        harness = _WorkerHarness(**faults)
        await trio.sleep(1)
        drained = harness.faults.model_copy(update={"draining": True})
        harness.worker.configure(drained)
        await harness.run(Job("a"))
        assert harness.results() == {"a": StopReason.DRAINING}
        assert harness.worker.health() == shown

    _run_with_mock_clock(main)
