"""The result of a run as JSON and as a Markdown report."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass, field

from sapphire_bench.figures import Phase
from sapphire_bench.plan import CaseName, Policy

# The targets come from the stated aim, not from measurements.
STRAGGLER_RATIO = 1.5
EXTRA_CALLS = 0.05
OVERLOAD_GOODPUT = 0.9
GOOD_SHARE = 0.99
CPU_RATIO = 10.0
# Runs differ by this share of p50 and p99 with nothing changed, so that a
# smaller change with the platform down can't be told from noise.
PLATFORM_NOISE = 0.25


@dataclass(frozen=True)
class Result:
    """A whole run."""

    command: str
    commit: str
    started: str
    cores: int
    seconds: float
    phases: list[Phase]
    failures: list[str] = field(default_factory=list)

    def to_json(self) -> str:
        """Returns the machine-readable result."""
        fields = asdict(self)
        fields["targets"] = [asdict(t) for t in targets(self.phases)]
        # Without line breaks: a result holds thousands of points.
        return json.dumps(fields) + "\n"


@dataclass(frozen=True)
class Target:
    """A target beside its measured figure.

    Attributes:
        deployment: Where it was measured.
        what: The figure and what it has to be.
        figure: What was measured, as text.
        met: Whether the figure meets the target.
    """

    deployment: str
    what: str
    figure: str
    met: bool


@dataclass(frozen=True)
class Pair:
    """The tier's phases of one deployment by case."""

    deployment: str
    tier: dict[str, Phase]
    baseline: dict[str, Phase]


def pairs(phases: Sequence[Phase]) -> list[Pair]:
    """Returns the phases by deployment and policy."""
    found: dict[str, Pair] = {}
    for phase in phases:
        pair = found.setdefault(
            phase.deployment, Pair(phase.deployment, {}, {})
        )
        side = pair.tier if phase.policy == Policy.TIER else pair.baseline
        side[phase.case] = phase
    return list(found.values())


def targets(phases: Sequence[Phase]) -> list[Target]:
    """Returns the targets whose cases were run."""
    checks: list[Callable[[Pair], Iterable[Target]]] = [
        _straggler,
        _overload,
        _domain,
        _platform,
        _cpu,
    ]
    return [
        t for pair in pairs(phases) for check in checks for t in check(pair)
    ]


def _straggler(pair: Pair) -> Iterable[Target]:
    steady = pair.tier.get(CaseName.STEADY)
    slow = pair.tier.get(CaseName.STRAGGLER)
    if steady is None or slow is None:
        return
    base, p99 = steady.answers.latency.p99, slow.answers.latency.p99
    ratio = p99 / base if base else 0.0
    yield Target(
        pair.deployment,
        f"stragglers: p99 at most {STRAGGLER_RATIO} times the steady p99",
        f"{p99:.1f} ms = {ratio:.2f} times {base:.1f} ms",
        ratio <= STRAGGLER_RATIO,
    )
    extra = slow.usage.calls_ratio - 1
    yield Target(
        pair.deployment,
        f"stragglers: extra calls at most {EXTRA_CALLS:.0%}",
        f"{extra:.2%}",
        extra <= EXTRA_CALLS,
    )


def _overload(pair: Pair) -> Iterable[Target]:
    phase = pair.tier.get(CaseName.OVERLOAD)
    if phase is None:
        return
    peak = phase.notes["peak_goodput"]
    share = phase.answers.goodput / peak if peak else 0.0
    yield Target(
        pair.deployment,
        f"overload: goodput at least {OVERLOAD_GOODPUT:.0%} of the peak",
        f"{phase.answers.goodput:.1f}/s = {share:.1%} of {peak:.1f}/s",
        share >= OVERLOAD_GOODPUT,
    )
    top = phase.answers.top_good_share
    yield Target(
        pair.deployment,
        f"overload: highest class at least {GOOD_SHARE:.0%}"
        " complete and on time",
        f"{top:.2%} of {phase.answers.top_count}",
        top >= GOOD_SHARE,
    )


def _domain(pair: Pair) -> Iterable[Target]:
    phase = pair.tier.get(CaseName.DOMAIN)
    if phase is None:
        return
    lowest = phase.answers.top_lowest_second
    yield Target(
        pair.deployment,
        "failure domain out and back: no second with under"
        f" {GOOD_SHARE:.0%} complete and on time for the highest class",
        f"lowest second {lowest:.1%}",
        lowest >= GOOD_SHARE,
    )


def _platform(pair: Pair) -> Iterable[Target]:
    steady = pair.tier.get(CaseName.STEADY)
    down = pair.tier.get(CaseName.PLATFORM_DOWN)
    if steady is None or down is None:
        return
    before, after = steady.answers, down.answers
    same = (
        after.latency.p50 <= before.latency.p50 * (1 + PLATFORM_NOISE)
        and after.latency.p99 <= before.latency.p99 * (1 + PLATFORM_NOISE)
        and after.good_share >= min(before.good_share, GOOD_SHARE)
    )
    yield Target(
        pair.deployment,
        "platform down: no measurable change for searches (p50 and p99"
        f" within {PLATFORM_NOISE:.0%}, share complete and on time)",
        f"p50 {before.latency.p50:.1f} → {after.latency.p50:.1f} ms,"
        f" p99 {before.latency.p99:.1f} → {after.latency.p99:.1f} ms,"
        f" good {before.good_share:.2%} → {after.good_share:.2%}",
        same,
    )


def _cpu(pair: Pair) -> Iterable[Target]:
    case = CaseName.OVERLOAD
    tier, baseline = pair.tier.get(case), pair.baseline.get(case)
    if tier is None or baseline is None:
        return
    ours, base = tier.usage.cpu_ms_per_call, baseline.usage.cpu_ms_per_call
    ratio = base / ours if ours else 0.0
    yield Target(
        pair.deployment,
        f"concurrent queries (overload): processor time per leaf call at least"
        f" {CPU_RATIO:g} times under the baseline",
        f"{ours:.3f} ms, baseline {base:.3f} ms: {ratio:.1f} times",
        ratio >= CPU_RATIO,
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
    for pair in pairs(result.phases):
        lines += _deployment(pair)
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


_ANSWER_HEAD = (
    "case | policy | rate/s | count | p50 ms | p99 ms | p99.9 ms | good"
    " | lowest second | highest class | its lowest second | coverage"
    " | goodput/s | errors | missing shards | client late p99 ms"
)
_USAGE_HEAD = (
    "case | policy | calls sent ÷ needed | hedges | retries"
    " | on a cold leaf | same, unnoticed"
    " | falls | crashes | CPU ms per leaf call | platform calls/s"
    " | machine load"
)


def _deployment(pair: Pair) -> list[str]:
    phases = []
    for case in pair.tier | pair.baseline:
        for side in (pair.tier, pair.baseline):
            if case in side:
                phases.append(side[case])
    return [
        f"## {pair.deployment}",
        "",
        *_table(_ANSWER_HEAD, [_answer_row(p) for p in phases]),
        *_table(_USAGE_HEAD, [_usage_row(p) for p in phases]),
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
        _counted(found.errors),
        _counted(found.missing),
        f"{found.client_late_ms:.1f}",
    ]


def _counted(counts: dict[str, int]) -> str:
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
