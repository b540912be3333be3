"""Tests of the report."""

import json

import pytest
from sapphire_bench import plot
from sapphire_bench.report import Result, markdown, targets
from sapphire_bench.stats import AnswerStats, LatencyStats, Phase, Usage


def _phase(case, policy, *, p99=20.0, top=1.0, sent=1030.0, **notes: float):
    answers = AnswerStats(
        latency=LatencyStats(400, 10.0, p99, p99 * 1.2, p99 * 1.3),
        good_share=0.995,
        lowest_second=0.95,
        top_good_share=top,
        top_lowest_second=top,
        top_count=200,
        goodput=39.8,
        offered=40.0,
        coverage=0.999,
        errors={"overloaded": 2},
        missing={"late": 1},
        client_late_ms=1.5,
    )
    usage = Usage(
        calls_needed=1000.0,
        calls_sent=sent,
        hedges=25,
        retries=5,
        cpu_s=0.2 if policy == "tier" else 1.0,
        cold_concurrency=1,
        cold_unnoticed=2,
        falls=0,
        crashes=0,
        platform_calls=3,
        seconds=10.0,
        load=4.2,
    )
    return Phase(
        "kohsar",
        case,
        policy,
        40.0,
        answers,
        usage,
        notes,
        [1.0, 0.95],
        [[0.5, 10.0, 1.0], [1.5, 30.0, 0.0]],
    )


PHASES = [
    _phase("steady", "tier"),
    _phase("steady", "baseline"),
    _phase("straggler", "tier", p99=40.0, sent=1060.0),
    _phase("straggler", "baseline", p99=200.0, sent=1000.0),
    _phase("domain", "tier", top=0.98),
    _phase("platform-down", "tier", p99=22.0),
    _phase("overload", "tier", peak_rate=50.0, peak_goodput=42.0),
    _phase("overload", "baseline", peak_rate=50.0, peak_goodput=30.0),
]


def _result(phases):
    return Result(
        command="sapphirecross-bench run",
        commit="0123456789",
        started="2026-12-04T06:00:00+00:00",
        cores=10,
        seconds=300.0,
        phases=phases,
    )


def test_report(snapshot):
    """Guards against values in the wrong column and missing targets."""
    assert markdown(_result(PHASES), ["kohsar.png"]) == snapshot


@pytest.mark.parametrize(
    ("what", "met"),
    [
        ("stragglers: p99", False),
        ("stragglers: extra calls", False),
        ("overload: goodput", True),
        ("overload: highest class", True),
        ("failure domain", False),
        ("platform down", True),
        ("concurrent queries", False),
    ],
)
def test_verdict_follows_the_measured_value(what, met):
    """Guards against reporting a missed target as met."""
    found = [t for t in targets(PHASES) if t.what.startswith(what)]
    assert [t.met for t in found] == [met]


def test_targets_of_cases_that_did_not_run_are_left_out():
    """Guards against verdicts without a measurement."""
    assert targets(PHASES[:2]) == []


def test_json_holds_all_phases_and_targets():
    """Guards against phases or targets missing from result.json."""
    fields = json.loads(_result(PHASES).to_json())
    assert len(fields["phases"]) == len(PHASES)
    assert len(fields["targets"]) == len(targets(PHASES))
    assert fields["phases"][0]["answers"]["latency"]["count"] == 400


def test_one_plot_per_deployment(tmp_path):
    """Guards against failing plots if a policy has no phase of a case."""
    assert plot.draw(PHASES, tmp_path) == ["kohsar.png"]
    assert (tmp_path / "kohsar.png").stat().st_size > 0
