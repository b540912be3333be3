"""Tests of statistics, usage and load schedules."""

import numpy as np
import pytest
import trio
from sapphire_bench import stats, usage
from sapphire_bench.caller import Answer
from sapphire_bench.load import (
    QueryTexts,
    RequestKind,
    RequestSample,
    ScheduledRequest,
    build_schedule,
    send_all,
)
from sapphire_bench.usage import CounterReading, ProcessCounters
from trio.testing import MockClock

TOP = RequestKind("s", "typing", 0, 100, 1.0)
LOW = RequestKind("s", "sweep", 2, 200, 3.0)


def _sample(due_s, latency_ms, kind=TOP, complete=True, status=200):
    return RequestSample(
        due_s=due_s,
        sent_s=due_s,
        end_s=due_s + latency_ms / 1000,
        kind=kind,
        status=status,
        error="" if status == 200 else "overloaded",
        complete=complete and status == 200,
        shards_total=4 if status == 200 else 0,
        shards_answered=(4 if complete else 3) if status == 200 else 0,
        missing_reasons=() if complete else ("late",),
    )


def test_quantiles_count_every_value():
    """Guards against quantiles of the wrong rank or unit."""
    found = stats.latency_stats([float(n) for n in range(1, 1001)])
    assert found.count == 1000
    assert found.p50 == pytest.approx(500, rel=0.01)
    assert found.p99 == pytest.approx(990, rel=0.01)
    assert found.p999 == pytest.approx(999, rel=0.01)
    assert found.greatest == pytest.approx(1000, rel=0.01)
    assert stats.latency_stats([]).count == 0


def test_answers_separate_late_incomplete_and_refused():
    """Guards against counting late, incomplete or refused requests as good."""
    samples = [
        _sample(0.1, 50),
        _sample(0.2, 150),
        _sample(1.1, 150, LOW),
        _sample(1.2, 50, complete=False),
        _sample(1.3, 1, LOW, status=429),
    ]
    found = stats.answer_stats(samples, 2.0)
    assert found.good_share == pytest.approx(2 / 5)
    assert found.lowest_second == pytest.approx(1 / 3)
    assert found.top_good_share == pytest.approx(1 / 3)
    assert found.top_lowest_second == 0.0
    assert found.goodput == 1.0
    assert found.offered == 2.5
    assert found.coverage == pytest.approx(15 / 16)
    assert found.latency.count == 4
    assert found.errors == {"overloaded": 1}
    assert found.missing == {"late": 1}


def test_schedule_has_the_rate_and_the_mix():
    """Guards against load that differs from the configured rate or mix.

    The same seed must give the same schedule.
    """
    scheduled = build_schedule([TOP, LOW], QueryTexts(50, 1), 100.0, 50.0, 7)
    due = np.array([item.due_s for item in scheduled])
    assert len(due) == pytest.approx(5000, rel=0.05)
    assert due.max() < 50.0
    assert (np.diff(due) >= 0).all()
    low = sum(item.kind is LOW for item in scheduled) / len(scheduled)
    assert low == pytest.approx(0.75, abs=0.03)
    assert scheduled == build_schedule(
        [TOP, LOW], QueryTexts(50, 1), 100.0, 50.0, 7
    )


class _StalledClient:
    """Answers nothing in the first 2 s, then everything immediately."""

    async def search(self, service, text, **_: object):
        await trio.sleep_until(max(trio.current_time(), 2.0))
        body = {"coverage": {"complete": True, "shards_total": 1}}
        return Answer(200, body, 1, 0.0)


def test_stall_counts_for_each_request_that_was_due():
    """Guards against coordinated omission during a stall.

    Requests that become due during a stall must be sent at their due times, and
    their latency must include the wait.
    """

    async def main():
        scheduled = [ScheduledRequest(n / 2, TOP, "x") for n in range(4)]
        return await send_all([_StalledClient()], scheduled)

    samples = trio.run(main, clock=MockClock(autojump_threshold=0))
    latencies = [round(sample.latency_ms) for sample in samples]
    assert latencies == [2000, 1500, 1000, 500]


def test_load_ends_at_the_stop_event():
    """Guards against load that continues after its case has ended."""

    async def main():
        stop = trio.Event()
        async with trio.open_nursery() as nursery:

            async def stop_load():
                await trio.sleep(1.2)
                stop.set()

            nursery.start_soon(stop_load)
            scheduled = [ScheduledRequest(n / 2, TOP, "x") for n in range(9)]
            return await send_all([_StalledClient()], scheduled, stop)

    samples = trio.run(main, clock=MockClock(autojump_threshold=0))
    assert len(samples) == 3


def test_cpu_time_is_read_after_the_command():
    """Guards against shifted fields if the command has spaces or brackets."""
    ticks = usage._TICKS_PER_S
    fields = ["S"] + ["0"] * 10 + [str(3 * ticks), str(ticks)] + ["0"] * 30
    assert usage.parse_cpu_s(f"12 (a) b (c) {' '.join(fields)}") == 4.0


def test_counter_sums_only_its_own_labels():
    """Guards against adding metrics whose names share a prefix."""
    text = (
        "# TYPE a counter\n"
        'a_total{x="1"} 2.0\na_total{x="2"} 3.0\na_created 99.0\n'
        "# TYPE a_b counter\na_b_total 7.0\n"
    )
    assert usage.sum_counter(text, "a_total") == 5.0


def _reading(time_s, processes, **changes: object):
    fields = {
        "platform_calls": 0,
        "falls": 0,
        "crashes": 0,
        "greatest_cold": 0,
        "greatest_cold_unnoticed": 0,
    }
    return CounterReading(
        time_s=time_s, processes=processes, **{**fields, **changes}
    )


def test_replaced_process_counts_from_its_start():
    """Guards against negative differences after a process restart.

    Process 2 ends between the readings, and process 3 starts.
    """
    before = _reading(
        0.0, {1: ProcessCounters(100, 90, 5.0), 2: ProcessCounters(7, 7, 1.0)}
    )
    after = _reading(
        10.0,
        {1: ProcessCounters(150, 130, 6.0), 3: ProcessCounters(20, 20, 0.5)},
        falls=2,
        platform_calls=5,
    )
    found = usage.usage_between(before, after)
    assert (found.calls_sent, found.calls_needed) == (70, 60)
    assert found.cpu_s == 1.5
    assert found.cpu_ms_per_call == 25.0
    assert found.platform_rate == 0.5
    assert found.falls == 2
