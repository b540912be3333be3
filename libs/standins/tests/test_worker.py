"""Tests of the worker, on a clock that jumps."""

import functools
from typing import Any

import pytest
import trio
from sapphire_standins.faults import LeafFaults
from sapphire_standins.worker import Job, Stop, StoppedError, Worker
from trio.testing import MockClock


class _Bench:
    """Runs jobs on one worker and notes how and when each ended."""

    def __init__(self, *, cold: bool = False, **faults: Any) -> None:
        self.faults = LeafFaults(service_ms=100, spread=0, **faults)
        self.outages = []
        self.ends = {}
        self.worker = Worker(
            self.faults, cold=cold, seed=1, lose=self.outages.append
        )

    async def run(self, job):
        start = trio.current_time()
        try:
            await self.worker.run(job)
            reason = "done"
        except StoppedError as error:
            reason = error.reason
        self.ends[job.id] = (reason, round(trio.current_time() - start, 3))

    def reasons(self):
        return {job: reason for job, (reason, _) in self.ends.items()}


def _play(scenario):
    trio.run(scenario, clock=MockClock(autojump_threshold=0))


async def _run_all(bench, jobs):
    async with trio.open_nursery() as nursery:
        for job in jobs:
            nursery.start_soon(bench.run, job)
            await trio.testing.wait_all_tasks_blocked()


def test_excess_work_waits_and_is_then_shed():
    """Guards against a leaf whose capacity is unlimited."""

    async def main():
        bench = _Bench(slots=1, queue_limit=1)
        await _run_all(bench, [Job("a"), Job("b"), Job("c")])
        assert bench.ends == {
            "a": ("done", 0.1),
            "b": ("done", 0.2),
            "c": (Stop.SHED, 0.0),
        }

    _play(main)


def test_a_batch_costs_less_than_its_queries():
    """Guards against a multi-search that brings nothing."""

    async def main():
        bench = _Bench(batch_share=0.25)
        await bench.run(Job("a", queries=5))
        assert bench.ends["a"] == ("done", 0.2)

    _play(main)


def test_deadline_stops_running_and_waiting_work():
    """Guards against work that outlives its sender's right to send."""

    async def main():
        bench = _Bench(slots=1)
        jobs = [Job(x, deadline_s=0.05) for x in "ab"] + [Job("c")]
        await _run_all(bench, jobs)
        assert bench.ends == {
            "a": (Stop.LATE, 0.05),
            "b": (Stop.LATE, 0.05),
            "c": ("done", 0.15),
        }

    _play(main)


def test_cancellation_frees_the_slot():
    """Guards against a cancelled batch that still occupies the leaf."""

    async def main():
        bench = _Bench(slots=1)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(bench.run, Job("a"))
            await trio.sleep(0.02)
            assert bench.worker.cancel("a") == 1
            assert bench.worker.cancel("b") == 0
        await bench.run(Job("c"))
        assert bench.ends["a"] == (Stop.CANCELLED, 0.02)
        assert bench.reasons()["c"] == "done"

    _play(main)


def test_cold_leaf_is_slow_falls_over_and_warms_up():
    """Guards against a cold leaf that bears full load."""

    async def main():
        bench = _Bench(cold=True, warm_after=2, fall_over_ms=700)
        await _run_all(bench, [Job("a"), Job("b")])
        assert bench.reasons() == {"a": Stop.LOST, "b": Stop.LOST}
        assert bench.outages == [0.7]
        for name in "cde":
            await bench.run(Job(name))
        assert [bench.ends[x][1] for x in "cde"] == [1.0, 1.0, 0.1]
        assert bench.worker.falls == 1
        assert bench.worker.cold.greatest == 2

    _play(main)


def test_cold_leaf_can_refuse_instead():
    """Guards against a refusal that counts as work on the cold leaf."""

    async def main():
        bench = _Bench(cold=True, cold_refuses=True)
        await _run_all(bench, [Job("a"), Job("b")])
        assert bench.reasons() == {"a": "done", "b": Stop.COLD}
        assert bench.worker.cold.greatest == 1

    _play(main)


def test_crash_loses_all_work():
    """Guards against work that survives the crash of its process."""

    async def main():
        bench = _Bench(slots=1, restart_ms=300)
        started = []
        jobs = [Job("a"), Job("b", crashes=True), Job("c")]
        for job in jobs:
            job.on_start = functools.partial(started.append, job.id)
        await _run_all(bench, jobs)
        assert bench.ends == {
            "a": ("done", 0.1),
            "b": (Stop.LOST, 0.1),
            "c": (Stop.LOST, 0.1),
        }
        assert started == ["a", "b"]
        assert bench.outages == [0.3]
        assert bench.worker.crashes == 1
        assert bench.worker.in_progress == bench.worker.slots.running == 0
        assert bench.worker.health() == "cold"

    _play(main)


@pytest.mark.parametrize(
    ("faults", "shown"),
    [
        ({}, "draining"),
        ({"health_lag_ms": 5_000}, "warm"),
        ({"health_says": "warm"}, "warm"),
    ],
)
def test_draining_refuses_new_work(faults, shown):
    """Guards against a health endpoint that can't mislead."""

    async def main():
        bench = _Bench(**faults)
        await trio.sleep(1)
        drained = bench.faults.model_copy(update={"draining": True})
        bench.worker.configure(drained)
        await bench.run(Job("a"))
        assert bench.reasons() == {"a": Stop.DRAINING}
        assert bench.worker.health() == shown

    _play(main)
