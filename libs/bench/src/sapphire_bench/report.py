"""Results of a run as JSON and as a Markdown report."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass, field

from sapphire_bench.plan import CaseName, Policy
from sapphire_bench.stats import Phase

# Targets from the project's requirements.
MAX_STRAGGLER_P99_RATIO = 1.5
MAX_EXTRA_CALLS_SHARE = 0.05
MIN_OVERLOAD_GOODPUT_SHARE = 0.9
MIN_GOOD_SHARE = 0.99
MIN_CPU_RATIO = 10.0
# p50 and p99 of identical runs differ by up to this share, so smaller changes
# with the platform down are noise.
PLATFORM_NOISE_SHARE = 0.25


@dataclass(frozen=True)
class Result:
    """Results of a complete run."""

    command: str
    commit: str
    started: str
    cores: int
    seconds: float
    phases: list[Phase]
    failures: list[str] = field(default_factory=list)

    def to_json(self) -> str:
        """Returns the result as one line of JSON."""
        fields = asdict(self)
        fields["targets"] = [asdict(t) for t in targets(self.phases)]
        # No indentation: a result holds thousands of points.
        return json.dumps(fields) + "\n"


@dataclass(frozen=True)
class Target:
    """A target and its measured value.

    Attributes:
        deployment: Deployment that was measured.
        what: The metric and its required value.
        figure: Measured value, as text.
        met: Whether the measured value meets the target.
    """

    deployment: str
    what: str
    figure: str
    met: bool


@dataclass(frozen=True)
class DeploymentPhases:
    """Phases of one deployment by case, for the tier and the baseline."""

    deployment: str
    tier: dict[str, Phase]
    baseline: dict[str, Phase]


def group_by_deployment(phases: Sequence[Phase]) -> list[DeploymentPhases]:
    """Groups phases by deployment and policy."""
    found: dict[str, DeploymentPhases] = {}
    for phase in phases:
        runs = found.setdefault(
            phase.deployment, DeploymentPhases(phase.deployment, {}, {})
        )
        side = runs.tier if phase.policy == Policy.TIER else runs.baseline
        side[phase.case] = phase
    return list(found.values())


def targets(phases: Sequence[Phase]) -> list[Target]:
    """Returns the targets of all cases that were run."""
    checks: list[Callable[[DeploymentPhases], Iterable[Target]]] = [
        _straggler,
        _overload,
        _domain,
        _platform,
        _cpu,
    ]
    return [
        t
        for runs in group_by_deployment(phases)
        for check in checks
        for t in check(runs)
    ]


def _straggler(runs: DeploymentPhases) -> Iterable[Target]:
    steady = runs.tier.get(CaseName.STEADY)
    slow = runs.tier.get(CaseName.STRAGGLER)
    if steady is None or slow is None:
        return
    base, p99 = steady.answers.latency.p99, slow.answers.latency.p99
    ratio = p99 / base if base else 0.0
    yield Target(
        runs.deployment,
        f"stragglers: p99 at most {MAX_STRAGGLER_P99_RATIO} times"
        " the steady p99",
        f"{p99:.1f} ms = {ratio:.2f} times {base:.1f} ms",
        ratio <= MAX_STRAGGLER_P99_RATIO,
    )
    extra = slow.usage.calls_ratio - 1
    yield Target(
        runs.deployment,
        f"stragglers: extra calls at most {MAX_EXTRA_CALLS_SHARE:.0%}",
        f"{extra:.2%}",
        extra <= MAX_EXTRA_CALLS_SHARE,
    )


def _overload(runs: DeploymentPhases) -> Iterable[Target]:
    phase = runs.tier.get(CaseName.OVERLOAD)
    if phase is None:
        return
    peak = phase.notes["peak_goodput"]
    share = phase.answers.goodput / peak if peak else 0.0
    yield Target(
        runs.deployment,
        f"overload: goodput at least {MIN_OVERLOAD_GOODPUT_SHARE:.0%}"
        " of the peak",
        f"{phase.answers.goodput:.1f}/s = {share:.1%} of {peak:.1f}/s",
        share >= MIN_OVERLOAD_GOODPUT_SHARE,
    )
    top = phase.answers.top_good_share
    yield Target(
        runs.deployment,
        f"overload: highest class at least {MIN_GOOD_SHARE:.0%}"
        " complete and on time",
        f"{top:.2%} of {phase.answers.top_count}",
        top >= MIN_GOOD_SHARE,
    )


def _domain(runs: DeploymentPhases) -> Iterable[Target]:
    phase = runs.tier.get(CaseName.DOMAIN)
    if phase is None:
        return
    lowest = phase.answers.top_lowest_second
    yield Target(
        runs.deployment,
        "failure domain out and back: no second with under"
        f" {MIN_GOOD_SHARE:.0%} complete and on time for the highest class",
        f"lowest second {lowest:.1%}",
        lowest >= MIN_GOOD_SHARE,
    )


def _platform(runs: DeploymentPhases) -> Iterable[Target]:
    steady = runs.tier.get(CaseName.STEADY)
    down = runs.tier.get(CaseName.PLATFORM_DOWN)
    if steady is None or down is None:
        return
    before, after = steady.answers, down.answers
    same = (
        after.latency.p50 <= before.latency.p50 * (1 + PLATFORM_NOISE_SHARE)
        and after.latency.p99 <= before.latency.p99 * (1 + PLATFORM_NOISE_SHARE)
        and after.good_share >= min(before.good_share, MIN_GOOD_SHARE)
    )
    yield Target(
        runs.deployment,
        "platform down: no measurable change for searches (p50 and p99"
        f" within {PLATFORM_NOISE_SHARE:.0%}, share complete and on time)",
        f"p50 {before.latency.p50:.1f} → {after.latency.p50:.1f} ms,"
        f" p99 {before.latency.p99:.1f} → {after.latency.p99:.1f} ms,"
        f" good {before.good_share:.2%} → {after.good_share:.2%}",
        same,
    )


def _cpu(runs: DeploymentPhases) -> Iterable[Target]:
    case = CaseName.OVERLOAD
    tier, baseline = runs.tier.get(case), runs.baseline.get(case)
    if tier is None or baseline is None:
        return
    ours, base = tier.usage.cpu_ms_per_call, baseline.usage.cpu_ms_per_call
    ratio = base / ours if ours else 0.0
    yield Target(
        runs.deployment,
        f"concurrent queries (overload): processor time per leaf call at least"
        f" {MIN_CPU_RATIO:g} times under the baseline",
        f"{ours:.3f} ms, baseline {base:.3f} ms: {ratio:.1f} times",
        ratio >= MIN_CPU_RATIO,
    )


def markdown(result: Result, plots: Sequence[str]) -> str:
    """Returns the report; plots are paths relative to it."""
    lines = [
        "# Load tool: tier and baseline",
        "",
        f"- Command: `{result.command}`",
        f"- Commit: `{result.commit}`, started {result.started},"
        f" {result.seconds:.0f} s on {result.cores} cores.",
        "- Load is open-loop: latency counts from when a request was due.",
        "- Tier: the daemons of this project. Baseline: one HTTP call per"
        " leaf and query to a random replica, fixed timeout, no hedge, retry"
        " or admission control.",
        "- Latency is of all answers with HTTP 200; refusals count as not"
        " good. Good: complete and on time.",
        *(f"- **Did not run to its end:** {x}" for x in result.failures),
        "",
        "## Targets",
        "",
        *_target_table(targets(result.phases)),
    ]
    for runs in group_by_deployment(result.phases):
        lines += _deployment_section(runs)
    lines += ["## Plots", ""]
    lines += [f"![{name}]({name})" for name in plots]
    return "\n".join(lines) + "\n"


def _target_table(found: Sequence[Target]) -> list[str]:
    lines = ["| deployment | target | measured | result |", "|---|---|---|---|"]
    for target in found:
        verdict = "met" if target.met else "**missed**"
        lines.append(
            f"| {target.deployment} | {target.what} | {target.figure}"
            f" | {verdict} |"
        )
    return [*lines, ""]


_ANSWER_COLUMNS = (
    "case | policy | rate/s | count | p50 ms | p99 ms | p99.9 ms | good"
    " | lowest second | highest class | its lowest second | coverage"
    " | goodput/s | errors | missing shards | client late p99 ms"
)
_USAGE_COLUMNS = (
    "case | policy | calls sent ÷ needed | hedges | retries"
    " | on a cold leaf | same, unnoticed"
    " | falls | crashes | CPU ms per leaf call | platform calls/s"
    " | machine load"
)


def _deployment_section(runs: DeploymentPhases) -> list[str]:
    phases = []
    for case in runs.tier | runs.baseline:
        for side in (runs.tier, runs.baseline):
            if case in side:
                phases.append(side[case])
    return [
        f"## {runs.deployment}",
        "",
        *_table(_ANSWER_COLUMNS, [_answer_row(p) for p in phases]),
        *_table(_USAGE_COLUMNS, [_usage_row(p) for p in phases]),
    ]


def _table(head: str, rows: Sequence[Sequence[str]]) -> list[str]:
    rule = "|".join("---" for _ in head.split("|"))
    body = [f"| {' | '.join(row)} |" for row in rows]
    return [f"| {head} |", f"|{rule}|", *body, ""]


def _answer_row(phase: Phase) -> list[str]:
    found, times = phase.answers, phase.answers.latency
    return [
        phase.case,
        phase.policy,
        f"{phase.rate:.0f}",
        str(times.count),
        f"{times.p50:.1f}",
        f"{times.p99:.1f}",
        f"{times.p999:.1f}",
        f"{found.good_share:.2%}",
        f"{found.lowest_second:.1%}",
        f"{found.top_good_share:.2%}",
        f"{found.top_lowest_second:.1%}",
        f"{found.coverage:.2%}",
        f"{found.goodput:.1f}",
        _format_counts(found.errors),
        _format_counts(found.missing),
        f"{found.client_late_ms:.1f}",
    ]


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {n}" for name, n in counts.items()) or "-"


def _usage_row(phase: Phase) -> list[str]:
    used = phase.usage
    return [
        phase.case,
        phase.policy,
        f"{used.calls_ratio:.3f}",
        f"{used.hedges:.0f}",
        f"{used.retries:.0f}",
        str(used.cold_concurrency),
        str(used.cold_unnoticed),
        str(used.falls),
        str(used.crashes),
        f"{used.cpu_ms_per_call:.3f}",
        f"{used.platform_rate:.2f}",
        f"{used.load:.1f}",
    ]
