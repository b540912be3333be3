"""Results of a run as JSON and as a Markdown report."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass, field

from sapphire_bench.plan import CaseName, Policy
from sapphire_bench.stats import Phase

# Targets from the project's requirements.
# p99 with stragglers, relative to the steady case.
MAX_STRAGGLER_P99_RATIO = 1.5
# Shard calls sent in addition to the needed ones, relative to the needed ones.
MAX_EXTRA_CALLS_SHARE = 0.05
# Goodput under overload, relative to the highest goodput at any rate tried.
MIN_OVERLOAD_GOODPUT_SHARE = 0.9
# Share of requests with a complete answer on time.
MIN_GOOD_SHARE = 0.99
# CPU time per needed shard call of the baseline, relative to that of the tier.
MIN_CPU_RATIO = 10.0
# p50 and p99 of identical runs differ by up to this share, so smaller changes
# with the platform down are noise.
PLATFORM_NOISE_SHARE = 0.25


@dataclass(frozen=True)
class Result:
    """Results of a run.

    Attributes:
        command: Command line of the run.
        commit: Commit of the working directory.
        started: Start of the run, as an ISO 8601 time in UTC.
        cores: Number of the machine's CPUs.
        seconds: Duration of the run.
        phases: Results of the cases that ran to their end.
        failures: Cases that did not, each with its error.
    """

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
        what: Description of the target: the metric and its required value.
        figure: The measured value, as text.
        met: Whether the measured value meets the target.
    """

    deployment: str
    what: str
    figure: str
    met: bool


@dataclass(frozen=True)
class DeploymentPhases:
    """Phases of one deployment.

    Attributes:
        deployment: Name of the deployment.
        tier: Phases of the query tier, by name of the case.
        baseline: Phases of the baseline, by name of the case.
    """

    deployment: str
    tier: dict[str, Phase]
    baseline: dict[str, Phase]


def group_by_deployment(phases: Sequence[Phase]) -> list[DeploymentPhases]:
    """Groups phases by deployment and policy."""
    groups: dict[str, DeploymentPhases] = {}
    for phase in phases:
        group = groups.setdefault(
            phase.deployment, DeploymentPhases(phase.deployment, {}, {})
        )
        by_case = group.tier if phase.policy == Policy.TIER else group.baseline
        by_case[phase.case] = phase
    return list(groups.values())


def targets(phases: Sequence[Phase]) -> list[Target]:
    """Returns the targets of all cases that were run.

    A target is left out if a phase that it needs is missing.
    """
    checks: list[Callable[[DeploymentPhases], Iterable[Target]]] = [
        _straggler,
        _overload,
        _domain,
        _platform,
        _cpu,
    ]
    return [
        t
        for group in group_by_deployment(phases)
        for check in checks
        for t in check(group)
    ]


def _straggler(group: DeploymentPhases) -> Iterable[Target]:
    steady = group.tier.get(CaseName.STEADY)
    slow = group.tier.get(CaseName.STRAGGLER)
    if steady is None or slow is None:
        return
    steady_p99, slow_p99 = steady.answers.latency.p99, slow.answers.latency.p99
    # Without any answer in the steady case the target counts as met.
    ratio = slow_p99 / steady_p99 if steady_p99 else 0.0
    yield Target(
        group.deployment,
        f"stragglers: p99 at most {MAX_STRAGGLER_P99_RATIO} times"
        " the steady p99",
        f"{slow_p99:.1f} ms = {ratio:.2f} times {steady_p99:.1f} ms",
        ratio <= MAX_STRAGGLER_P99_RATIO,
    )
    # This target also counts as met if no shard call was needed, since
    # calls_ratio is then 0.
    extra = slow.usage.calls_ratio - 1
    yield Target(
        group.deployment,
        f"stragglers: extra calls at most {MAX_EXTRA_CALLS_SHARE:.0%}",
        f"{extra:.2%}",
        extra <= MAX_EXTRA_CALLS_SHARE,
    )


def _overload(group: DeploymentPhases) -> Iterable[Target]:
    phase = group.tier.get(CaseName.OVERLOAD)
    if phase is None:
        return
    peak = phase.notes["peak_goodput"]
    share = phase.answers.goodput / peak if peak else 0.0
    yield Target(
        group.deployment,
        f"overload: goodput at least {MIN_OVERLOAD_GOODPUT_SHARE:.0%}"
        " of the peak",
        f"{phase.answers.goodput:.1f}/s = {share:.1%} of {peak:.1f}/s",
        share >= MIN_OVERLOAD_GOODPUT_SHARE,
    )
    top = phase.answers.top_good_share
    yield Target(
        group.deployment,
        f"overload: highest class at least {MIN_GOOD_SHARE:.0%}"
        " complete and on time",
        f"{top:.2%} of {phase.answers.top_count}",
        top >= MIN_GOOD_SHARE,
    )


def _domain(group: DeploymentPhases) -> Iterable[Target]:
    phase = group.tier.get(CaseName.DOMAIN)
    if phase is None:
        return
    # The whole load counts: before, during and after the time in which the
    # failure domain is out of service.
    lowest = phase.answers.top_lowest_second
    yield Target(
        group.deployment,
        "failure domain out and back: no second with under"
        f" {MIN_GOOD_SHARE:.0%} complete and on time for the highest class",
        f"lowest second {lowest:.1%}",
        lowest >= MIN_GOOD_SHARE,
    )


def _platform(group: DeploymentPhases) -> Iterable[Target]:
    """Compares the platform-down case with the steady case.

    The target is missed if p50 or p99 is higher by more than
    PLATFORM_NOISE_SHARE, or if the good share is both smaller than in the
    steady case and under MIN_GOOD_SHARE.
    """
    steady_phase = group.tier.get(CaseName.STEADY)
    down_phase = group.tier.get(CaseName.PLATFORM_DOWN)
    if steady_phase is None or down_phase is None:
        return
    up, down = steady_phase.answers, down_phase.answers
    is_met = (
        down.latency.p50 <= up.latency.p50 * (1 + PLATFORM_NOISE_SHARE)
        and down.latency.p99 <= up.latency.p99 * (1 + PLATFORM_NOISE_SHARE)
        and down.good_share >= min(up.good_share, MIN_GOOD_SHARE)
    )
    yield Target(
        group.deployment,
        "platform down: no measurable change for searches (p50 and p99"
        f" within {PLATFORM_NOISE_SHARE:.0%}, share complete and on time)",
        f"p50 {up.latency.p50:.1f} → {down.latency.p50:.1f} ms,"
        f" p99 {up.latency.p99:.1f} → {down.latency.p99:.1f} ms,"
        f" good {up.good_share:.2%} → {down.good_share:.2%}",
        is_met,
    )


def _cpu(group: DeploymentPhases) -> Iterable[Target]:
    case = CaseName.OVERLOAD
    tier, baseline = group.tier.get(case), group.baseline.get(case)
    if tier is None or baseline is None:
        return
    # Each policy gets a multiple of its own peak rate, so the rates differ.
    tier_ms = tier.usage.cpu_ms_per_call
    baseline_ms = baseline.usage.cpu_ms_per_call
    ratio = baseline_ms / tier_ms if tier_ms else 0.0
    yield Target(
        group.deployment,
        f"concurrent queries (overload): processor time per leaf call at least"
        f" {MIN_CPU_RATIO:g} times under the baseline",
        f"{tier_ms:.3f} ms, baseline {baseline_ms:.3f} ms: {ratio:.1f} times",
        ratio >= MIN_CPU_RATIO,
    )


def markdown(result: Result, plots: Sequence[str]) -> str:
    """Returns the report.

    Args:
        result: Results of the run.
        plots: Paths of the plots, relative to the report.
    """
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
    for group in group_by_deployment(result.phases):
        lines += _deployment_section(group)
    lines += ["## Plots", ""]
    lines += [f"![{name}]({name})" for name in plots]
    return "\n".join(lines) + "\n"


def _target_table(listed: Sequence[Target]) -> list[str]:
    lines = ["| deployment | target | measured | result |", "|---|---|---|---|"]
    for target in listed:
        verdict = "met" if target.met else "**missed**"
        lines.append(
            f"| {target.deployment} | {target.what} | {target.figure}"
            f" | {verdict} |"
        )
    return [*lines, ""]


# The columns hold the fields of AnswerStats and Usage, in the order of
# _answer_row() and _usage_row(). "Leaf call" stands for shard call.
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


def _deployment_section(group: DeploymentPhases) -> list[str]:
    phases = []
    # The merged dictionary gives the names of the cases in order.
    for case in group.tier | group.baseline:
        for by_case in (group.tier, group.baseline):
            if case in by_case:
                phases.append(by_case[case])
    return [
        f"## {group.deployment}",
        "",
        *_table(_ANSWER_COLUMNS, [_answer_row(p) for p in phases]),
        *_table(_USAGE_COLUMNS, [_usage_row(p) for p in phases]),
    ]


def _table(head: str, rows: Sequence[Sequence[str]]) -> list[str]:
    rule = "|".join("---" for _ in head.split("|"))
    body = [f"| {' | '.join(row)} |" for row in rows]
    return [f"| {head} |", f"|{rule}|", *body, ""]


def _answer_row(phase: Phase) -> list[str]:
    answers, latency = phase.answers, phase.answers.latency
    return [
        phase.case,
        phase.policy,
        f"{phase.rate:.0f}",
        str(latency.count),
        f"{latency.p50:.1f}",
        f"{latency.p99:.1f}",
        f"{latency.p999:.1f}",
        f"{answers.good_share:.2%}",
        f"{answers.lowest_second:.1%}",
        f"{answers.top_good_share:.2%}",
        f"{answers.top_lowest_second:.1%}",
        f"{answers.coverage:.2%}",
        f"{answers.goodput:.1f}",
        _format_counts(answers.errors),
        _format_counts(answers.missing),
        f"{answers.client_late_ms:.1f}",
    ]


def _format_counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {n}" for name, n in counts.items()) or "-"


def _usage_row(phase: Phase) -> list[str]:
    usage = phase.usage
    return [
        phase.case,
        phase.policy,
        f"{usage.calls_ratio:.3f}",
        f"{usage.hedges:.0f}",
        f"{usage.retries:.0f}",
        str(usage.cold_concurrency),
        str(usage.cold_unnoticed),
        str(usage.falls),
        str(usage.crashes),
        f"{usage.cpu_ms_per_call:.3f}",
        f"{usage.platform_rate:.2f}",
        f"{usage.load:.1f}",
    ]
