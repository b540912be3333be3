"""Error-budget burn rates by service and request class, from counter samples.

A burn rate of 1 uses up the error budget of 30 days in 30 days. An alert is
raised only if both windows of a pair reach its threshold. The long window
shows that the burn is significant, the short one that it is still going on.
Samples that cover less than MIN_COVERED_SHARE of the short window raise no
alert.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

GOOD = "good"
# Callers cancel a search when the user types on, even if it would have been in
# time. Such cancellations say nothing about the service.
CANCELLED = "cancelled"
MINUTE_S = 60.0
HOUR_S = 3_600.0
DAY_S = 86_400.0
# Age limit of the sample before the start of a window, counted from the end of
# the window in window lengths. Older samples say too little about the window.
MAX_LOOKBACK_WINDOWS = 2.0
# Share of a pair's short window that the samples must cover for an alert. It is
# below 1 because samples at regular intervals may not cover the whole window.
MIN_COVERED_SHARE = 0.9
# Start times are given in whole clock ticks. A start time that is later than
# the previous one by more than this belongs to a new process. A faster restart
# is detected only by a counter that decreased.
START_TOLERANCE_S = 1.0


@dataclass(frozen=True, order=True)
class Group:
    """A request class of a service."""

    service: str
    request_class: str


@dataclass(frozen=True)
class Series:
    """A counter of the requests of a group that had the same result."""

    group: Group
    result: str


@dataclass(frozen=True)
class Sample:
    """The counters of a daemon at one point in time.

    Attributes:
        source: Address of the daemon.
        time_s: Time of the reading, in seconds since the epoch.
        counts: Values by series; a missing series counts as 0.
        started_s: Start time of the process, or None if unknown.
    """

    source: str
    time_s: float
    counts: Mapping[Series, float]
    started_s: float | None = None


@dataclass(frozen=True)
class WindowPair:
    """Two windows that must both reach a threshold to raise an alert.

    Attributes:
        name: Name of the alert in reports.
        short_s: Length of the short window.
        long_s: Length of the long window.
        threshold: Burn rate that raises the alert in both windows.
    """

    name: str
    short_s: float
    long_s: float
    threshold: float


# 14.4 uses 2 % of the budget of 30 days in 1 h, and 1 uses 10 % in 3 days.
FAST = WindowPair("fast", 5 * MINUTE_S, HOUR_S, 14.4)
SLOW = WindowPair("slow", 6 * HOUR_S, 3 * DAY_S, 1.0)
PAIRS = (FAST, SLOW)


@dataclass(frozen=True)
class Burn:
    """Error-budget burn of a group in one window.

    Attributes:
        window_s: Length of the window.
        covered_s: Longest time that the samples of one daemon cover, which may
            begin before the window; 0 if no daemon has two samples there.
        requests: Number of requests of all daemons between their samples.
        bad: Number of those that were not good.
        rate: Burn rate, or None without requests or without an objective.
    """

    window_s: float
    covered_s: float
    requests: float
    bad: float
    rate: float | None


@dataclass(frozen=True)
class GroupBurn:
    """Burn of a group in all windows, and the alerts that it raises."""

    group: Group
    objective: float | None
    windows: list[Burn]
    alerts: list[str]


@dataclass(frozen=True)
class _Increase:
    covered_s: float
    counts: Mapping[Series, float]


def report(
    samples: Iterable[Sample], objectives: Mapping[Group, float]
) -> list[GroupBurn]:
    """Returns the burn of each group that has an objective or requests.

    The windows end at the newest sample.
    """
    by_source = _by_source(samples)
    if not by_source:
        return []
    end_s = max(series[-1].time_s for series in by_source)
    lengths = [s for pair in PAIRS for s in (pair.short_s, pair.long_s)]
    increases = {
        w: _total_increase(by_source, end_s - w, end_s) for w in lengths
    }
    found = {s.group for i in increases.values() for s in i.counts}
    return [
        _group_burn(group, objectives.get(group), increases)
        for group in sorted(found | set(objectives))
    ]


def _group_burn(
    group: Group,
    objective: float | None,
    increases: Mapping[float, _Increase],
) -> GroupBurn:
    windows = {
        w: _burn(group, objective, w, increase)
        for w, increase in increases.items()
    }
    alerts = [
        pair.name
        for pair in PAIRS
        if _exceeds(windows[pair.short_s], pair)
        and _exceeds(windows[pair.long_s], pair)
    ]
    return GroupBurn(group, objective, list(windows.values()), alerts)


def _burn(
    group: Group,
    objective: float | None,
    window_s: float,
    increase: _Increase,
) -> Burn:
    counts = {
        s.result: n
        for s, n in increase.counts.items()
        if s.group == group and s.result != CANCELLED
    }
    requests = sum(counts.values())
    bad = requests - counts.get(GOOD, 0.0)
    rate = (
        bad / requests / (1.0 - objective)
        if requests > 0 and objective is not None
        else None
    )
    return Burn(window_s, increase.covered_s, requests, bad, rate)


def _exceeds(burn: Burn, pair: WindowPair) -> bool:
    # Without this check, a few bad minutes after the first sample would count
    # as three bad days.
    if burn.covered_s < MIN_COVERED_SHARE * pair.short_s:
        return False
    return burn.rate is not None and burn.rate >= pair.threshold


def _by_source(samples: Iterable[Sample]) -> list[list[Sample]]:
    found: dict[str, list[Sample]] = defaultdict(list)
    for sample in sorted(samples, key=lambda s: s.time_s):
        found[sample.source].append(sample)
    return [_prepend_process_start(series) for series in found.values()]


def _prepend_process_start(series: list[Sample]) -> list[Sample]:
    # All counters were 0 when the process started.
    first = series[0]
    if first.started_s is None or first.started_s >= first.time_s:
        return series
    return [Sample(first.source, first.started_s, {}, first.started_s), *series]


def _total_increase(
    by_source: Iterable[Sequence[Sample]], start_s: float, end_s: float
) -> _Increase:
    covered_s = 0.0
    counts: dict[Series, float] = defaultdict(float)
    for series in by_source:
        used = _in_window(series, start_s, end_s)
        if len(used) > 1:
            covered_s = max(covered_s, used[-1].time_s - used[0].time_s)
        for name, number in _increments(used):
            counts[name] += number
    return _Increase(covered_s, counts)


def _in_window(
    series: Sequence[Sample], start_s: float, end_s: float
) -> list[Sample]:
    """Returns the samples in the window and the last one before it."""
    oldest_s = end_s - MAX_LOOKBACK_WINDOWS * (end_s - start_s)
    inside = [s for s in series if start_s < s.time_s <= end_s]
    before = [s for s in series if oldest_s <= s.time_s <= start_s]
    return before[-1:] + inside


def _increments(used: Sequence[Sample]) -> Iterator[tuple[Series, float]]:
    """Yields the non-negative increases between successive samples."""
    for before, after in itertools.pairwise(used):
        restarted = _has_restarted(before, after)
        for name, number in after.counts.items():
            base = 0.0 if restarted else before.counts.get(name, 0.0)
            yield name, number - base


def _has_restarted(before: Sample, after: Sample) -> bool:
    if before.started_s is not None and after.started_s is not None:
        start_difference_s = after.started_s - before.started_s
        if start_difference_s > START_TOLERANCE_S:
            return True
    # A counter that decreased shows that all of them were reset to 0.
    return any(
        after.counts.get(name, 0.0) < number
        for name, number in before.counts.items()
    )
