"""Statistics of one phase: latency, answers, calls and CPU time."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from sapphire_bench.load import RequestSample

# Histograms hold microseconds; latencies above 120 s count as 120 s.
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True)
class LatencyStats:
    """Latency quantiles in ms, and the number of samples."""

    count: int
    p50: float
    p99: float
    p999: float
    greatest: float


@dataclass(frozen=True)
class AnswerStats:
    """Statistics of the answers that callers received.

    Attributes:
        latency: Time from the due time to the answer, over all answers.
        good_share: Share of requests answered completely and on time.
        lowest_second: good_share in the worst second.
        top_good_share: good_share of the highest priority.
        top_lowest_second: good_share of the highest priority in its worst
            second.
        top_count: Requests of the highest priority.
        goodput: Good answers per second.
        offered: Offered load in requests per second.
        coverage: Share of shards that answered, over all answers.
        errors: Requests by kind of error.
        missing: Missing shards by reason.
        client_late_ms: p99 of the client's delay in sending.
    """

    latency: LatencyStats
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
    """Resource usage in a phase; counters are differences over the phase.

    Attributes:
        calls_needed: Shards of the pinned maps of all queries.
        calls_sent: Shard calls sent, hedged requests and retries included.
        hedges: Hedged shard calls.
        retries: Repeated shard calls.
        cpu_s: CPU time of the policy's daemons.
        cold_concurrency: Maximum of concurrent requests on a cold leaf.
        cold_unnoticed: The same between the moment a leaf turns cold without
            notice and its first slow reply.
        falls: How often a cold leaf failed under too much load.
        crashes: Number of leaf crashes.
        platform_calls: Calls to the platform by all daemons of the fleet.
        seconds: Duration of the phase.
        load: One-minute load average of the machine at the end.
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
        """Ratio of calls sent to calls needed."""
        return _ratio(self.calls_sent, self.calls_needed)

    @property
    def cpu_ms_per_call(self) -> float:
        """CPU time of the daemons per needed leaf call, in ms."""
        return _ratio(self.cpu_s * 1000, self.calls_needed)

    @property
    def platform_rate(self) -> float:
        """Platform calls per second."""
        return _ratio(self.platform_calls, self.seconds)


@dataclass(frozen=True)
class Phase:
    """Results of one case under one policy."""

    deployment: str
    case: str
    policy: str
    rate: float
    answers: AnswerStats
    usage: Usage
    notes: dict[str, float] = field(default_factory=dict)
    seconds: list[float] = field(default_factory=list)
    points: list[list[float]] = field(default_factory=list)


def _ratio(value: float, base: float) -> float:
    return value / base if base else 0.0


def latency_stats(values_ms: Sequence[float]) -> LatencyStats:
    """Computes latency quantiles from values in ms."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for value in values_ms:
        histogram.record_value(
            min(max(1, round(value * 1000)), _MAX_LATENCY_US)
        )

    def quantile(percentile: float) -> float:
        if not values_ms:
            return 0.0
        return float(histogram.get_value_at_percentile(percentile)) / 1000

    return LatencyStats(
        len(values_ms),
        quantile(50),
        quantile(99),
        quantile(99.9),
        quantile(100),
    )


def good_share_by_second(samples: Sequence[RequestSample]) -> list[float]:
    """Returns the share of good answers per second of due time.

    Seconds without a request are omitted.
    """
    seconds: dict[int, list[bool]] = defaultdict(list)
    for sample in samples:
        seconds[int(sample.due_s)].append(sample.is_good)
    return [_share(seconds[second]) for second in sorted(seconds)]


def _share(values: Sequence[bool]) -> float:
    return sum(values) / len(values) if values else 0.0


def answer_stats(
    samples: Sequence[RequestSample], seconds: float
) -> AnswerStats:
    """Computes statistics of a phase; seconds is its duration."""
    highest = min((s.kind.priority for s in samples), default=0)
    top = [s for s in samples if s.kind.priority == highest]
    # Refusals return quickly and would lower the latency quantiles.
    answered = [s for s in samples if s.status == 200]
    shards = sum(s.shards_total for s in answered)
    late = latency_stats([(s.sent_s - s.due_s) * 1000 for s in samples])
    return AnswerStats(
        latency=latency_stats([s.latency_ms for s in answered]),
        good_share=_share([s.is_good for s in samples]),
        lowest_second=min(good_share_by_second(samples), default=0.0),
        top_good_share=_share([s.is_good for s in top]),
        top_lowest_second=min(good_share_by_second(top), default=0.0),
        top_count=len(top),
        goodput=sum(s.is_good for s in samples) / seconds,
        offered=len(samples) / seconds,
        coverage=_ratio(sum(s.shards_answered for s in answered), shards),
        errors=_count_by_name(s.error for s in samples if s.error),
        missing=_count_by_name(
            reason for s in answered for reason in s.missing_reasons
        ),
        client_late_ms=late.p99,
    )


def _count_by_name(names: Iterable[str]) -> dict[str, int]:
    return dict(sorted(Counter(names).items()))
