"""Figures of one phase: latency, answers, calls and processor time."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from sapphire_bench.load import Sample

# Histograms hold microseconds with three significant digits.
_MAX_US = 120_000_000
_DIGITS = 3


@dataclass(frozen=True)
class Latency:
    """Quantiles in ms; count is the number of values behind them."""

    count: int
    p50: float
    p99: float
    p999: float
    greatest: float


@dataclass(frozen=True)
class Answers:
    """What callers got.

    Attributes:
        latency: From when the requests were due, over all answers.
        good_share: Share complete and on time.
        lowest_second: The same in the worst second.
        top_good_share: Share of the highest priority.
        top_lowest_second: The same in its worst second.
        top_count: Requests of the highest priority.
        goodput: Good answers per second.
        offered: Requests per second.
        coverage: Shards answered of the shards asked, over all answers.
        errors: Requests by kind of error.
        missing: Missing shards by reason.
        client_late_ms: p99 of how late the client sent.
    """

    latency: Latency
    good_share: float
    lowest_second: float
    top_good_share: float
    top_lowest_second: float
    top_count: int
    goodput: float
    offered: float
    coverage: float
    errors: dict[str, int]
    missing: dict[str, int]
    client_late_ms: float


@dataclass(frozen=True)
class Usage:
    """What the phase cost; counters are differences over the phase.

    Attributes:
        calls_needed: Shards of the pinned maps of all queries.
        calls_sent: Shard calls sent, hedged requests and retries included.
        hedges: Hedged shard calls.
        retries: Repeated shard calls.
        cpu_s: Processor time of the policy's daemons.
        cold_concurrency: Greatest concurrent work on a cold leaf.
        cold_unnoticed: The same between an unannounced turn and its first
            slow reply.
        falls: Times that a cold leaf fell over.
        crashes: Crashes of leaves.
        platform_calls: Calls to the platform by all daemons of the fleet.
        seconds: Length of the phase.
        load: Load average of the machine over one minute at the end.
    """

    calls_needed: float
    calls_sent: float
    hedges: float
    retries: float
    cpu_s: float
    cold_concurrency: int
    cold_unnoticed: int
    falls: int
    crashes: int
    platform_calls: int
    seconds: float
    load: float

    @property
    def calls_ratio(self) -> float:
        """Calls sent ÷ calls needed."""
        return _ratio(self.calls_sent, self.calls_needed)

    @property
    def cpu_ms_per_call(self) -> float:
        """Processor time of the daemons per needed leaf call, in ms."""
        return _ratio(self.cpu_s * 1000, self.calls_needed)

    @property
    def platform_rate(self) -> float:
        """Platform calls per second."""
        return _ratio(self.platform_calls, self.seconds)


@dataclass(frozen=True)
class Phase:
    """One case under one policy."""

    deployment: str
    case: str
    policy: str
    rate: float
    answers: Answers
    usage: Usage
    notes: dict[str, float] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)
    points: list[list[float]] = field(default_factory=list)


def _ratio(value: float, base: float) -> float:
    return value / base if base else 0.0


def latency(values_ms: Sequence[float]) -> Latency:
    """Returns the quantiles of latencies in ms."""
    histogram = HdrHistogram(1, _MAX_US, _DIGITS)
    for value in values_ms:
        histogram.record_value(min(max(1, round(value * 1000)), _MAX_US))

    def at(percentile: float) -> float:
        if not values_ms:
            return 0.0
        return float(histogram.get_value_at_percentile(percentile)) / 1000

    return Latency(len(values_ms), at(50), at(99), at(99.9), at(100))


def good_by_second(samples: Sequence[Sample]) -> list[float]:
    """Returns the share of good answers by the second they were due in.

    Seconds without a request are left out.
    """
    seconds: dict[int, list[bool]] = defaultdict(list)
    for sample in samples:
        seconds[int(sample.due_s)].append(sample.is_good)
    return [_share(seconds[second]) for second in sorted(seconds)]


def _share(values: Sequence[bool]) -> float:
    return sum(values) / len(values) if values else 0.0


def answers(samples: Sequence[Sample], seconds: float) -> Answers:
    """Returns what callers got in a phase of some seconds."""
    highest = min((s.kind.priority for s in samples), default=0)
    top = [s for s in samples if s.kind.priority == highest]
    # Refusals are quick; they count as not good and not as latency.
    answered = [s for s in samples if s.status == 200]
    shards = sum(s.shards_total for s in answered)
    late = latency([(s.sent_s - s.due_s) * 1000 for s in samples])
    return Answers(
        latency=latency([s.latency_ms for s in answered]),
        good_share=_share([s.is_good for s in samples]),
        lowest_second=min(good_by_second(samples), default=0.0),
        top_good_share=_share([s.is_good for s in top]),
        top_lowest_second=min(good_by_second(top), default=0.0),
        top_count=len(top),
        goodput=sum(s.is_good for s in samples) / seconds,
        offered=len(samples) / seconds,
        coverage=_ratio(sum(s.shards_answered for s in answered), shards),
        errors=_counts(s.error for s in samples if s.error),
        missing=_counts(reason for s in answered for reason in s.reasons),
        client_late_ms=late.p99,
    )


def _counts(names: Iterable[str]) -> dict[str, int]:
    return dict(sorted(Counter(names).items()))
