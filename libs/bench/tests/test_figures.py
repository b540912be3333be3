"""Tests of figures, usage and load schedules."""

import numpy as np
import pytest
import trio
from sapphire_bench import figures, usage
from sapphire_bench.caller import Answer
from sapphire_bench.load import Kind, Planned, Sample, Texts, schedule, send
from sapphire_bench.usage import Counts, Reading
from trio.testing import MockClock

TOP = Kind("s", "typing", 0, 100, 1.0)
LOW = Kind("s", "sweep", 2, 200, 3.0)


def _sample(due_s, latency_ms, kind=TOP, complete=True, status=200):
    return Sample(
        due_s=due_s,
        sent_s=due_s,
        end_s=due_s + latency_ms / 1000,
        kind=kind,
        status=status,
        error="" if status == 200 else "overloaded",
        complete=complete and status == 200,
        shards_total=4 if status == 200 else 0,
        shards_answered=(4 if complete else 3) if status == 200 else 0,
        reasons=() if complete else ("late",),
    )


def test_quantiles_count_every_value():
    """Guards against quantiles of the wrong rank or unit."""
    found = figures.latency([float(n) for n in range(1, 1001)])
    assert found.count == 1000
    assert found.p50 == pytest.approx(500, rel=0.01)
    assert found.p99 == pytest.approx(990, rel=0.01)
    assert found.p999 == pytest.approx(999, rel=0.01)
    assert found.greatest == pytest.approx(1000, rel=0.01)
    assert figures.latency([]).count == 0


def test_answers_separate_late_incomplete_and_refused():
    """Guards against refused or late requests that count as good."""
    samples = [
        _sample(0.1, 50),
        _sample(0.2, 150),
        _sample(1.1, 150, LOW),
        _sample(1.2, 50, complete=False),
        _sample(1.3, 1, LOW, status=429),
    ]
    found = figures.answers(samples, 2.0)
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
    """Guards against load that is not what the report states."""
    planned = schedule([TOP, LOW], Texts(50, 1), 100.0, 50.0, 7)
    due = np.array([item.due_s for item in planned])
    assert len(due) == pytest.approx(5000, rel=0.05)
    assert due.max() < 50.0
    assert (np.diff(due) >= 0).all()
    low = sum(item.kind is LOW for item in planned) / len(planned)
    assert low == pytest.approx(0.75, abs=0.03)
    assert planned == schedule([TOP, LOW], Texts(50, 1), 100.0, 50.0, 7)


class _StalledClient:
    """Answers nothing before a time, then everything at once."""

    async def search(self, service, text, **_: object):
        await trio.sleep_until(max(trio.current_time(), 2.0))
        body = {"coverage": {"complete": True, "shards_total": 1}}
        return Answer(200, body, 1, 0.0)


def test_stall_counts_for_each_request_that_was_due():
    """Guards against a stall that hides the requests behind it."""

    async def main():
        planned = [Planned(n / 2, TOP, "x") for n in range(4)]
        return await send([_StalledClient()], planned)

    samples = trio.run(main, clock=MockClock(autojump_threshold=0))
    latencies = [round(sample.latency_ms) for sample in samples]
    assert latencies == [2000, 1500, 1000, 500]


def test_load_ends_when_it_is_told_to():
    """Guards against load that outlasts the case that it belongs to."""

    async def main():
        stop = trio.Event()
        async with trio.open_nursery() as nursery:

            async def end():
                await trio.sleep(1.2)
                stop.set()

            nursery.start_soon(end)
            planned = [Planned(n / 2, TOP, "x") for n in range(9)]
            return await send([_StalledClient()], planned, stop)

    samples = trio.run(main, clock=MockClock(autojump_threshold=0))
    assert len(samples) == 3


def test_processor_time_is_read_after_the_command():
    """Guards against a command with spaces that shifts the fields."""
    ticks = usage._TICKS_PER_S
    fields = ["S"] + ["0"] * 10 + [str(3 * ticks), str(ticks)] + ["0"] * 30
    assert usage.cpu_s(f"12 (a) b (c) {' '.join(fields)}") == 4.0


def test_counter_adds_its_labels_only():
    """Guards against metrics that share the beginning of a name."""
    text = (
        "# TYPE a counter\n"
        'a_total{x="1"} 2.0\na_total{x="2"} 3.0\na_created 99.0\n'
        "# TYPE a_b counter\na_b_total 7.0\n"
    )
    assert usage.counter(text, "a_total") == 5.0


def _reading(at, processes, **changes: object):
    fields = {
        "platform_calls": 0,
        "falls": 0,
        "crashes": 0,
        "cold": 0,
        "cold_unnoticed": 0,
    }
    return Reading(at=at, processes=processes, **{**fields, **changes})


def test_replaced_process_counts_from_its_start():
    """Guards against negative differences after a restart."""
    before = _reading(0.0, {1: Counts(100, 90, 5.0), 2: Counts(7, 7, 1.0)})
    after = _reading(
        10.0,
        {1: Counts(150, 130, 6.0), 3: Counts(20, 20, 0.5)},
        falls=2,
        platform_calls=5,
    )
    found = usage.difference(before, after)
    assert (found.calls_sent, found.calls_needed) == (70, 60)
    assert found.cpu_s == 1.5
    assert found.cpu_ms_per_call == 25.0
    assert found.platform_rate == 0.5
    assert found.falls == 2
