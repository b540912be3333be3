"""Statistics of one phase: latency, answers, calls and CPU time.

A request is good if it got a complete answer on time; see RequestSample. A
shard call asks one replica of a shard for the results of one query. The tier
sends the shard calls of several queries to a leaf in one HTTP request, the
baseline sends an HTTP request for each.
"""

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
    """Latency quantiles in ms, the maximum, and the number of samples."""

    count: int
    p50: float
    p99: float
    p999: float
    greatest: float


@dataclass(frozen=True)
class AnswerStats:
    """Statistics of the requests of a phase and their answers.

    Refusals return quickly and would lower the latency quantiles, so latency,
    coverage and missing cover only the answers with HTTP status 200. The other
    values are over all requests.

    Attributes:
        latency: Time from when a request was due to its answer.
        good_share: Share of good requests.
        lowest_second: The lowest good_share of the requests due in one second.
        top_good_share: good_share of the requests of the highest priority.
        top_lowest_second: lowest_second of the requests of the highest
            priority.
        top_count: Number of requests of the highest priority.
        goodput: Good requests per second.
        offered: Offered load in requests per second.
        coverage: Share of shards that answered.
        errors: Number of requests by kind of error.
        missing: Number of missing shards by reason.
        client_late_ms: p99 of the time from when a request was due until the
            load generator sent it.
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
    """Resource usage in a phase.

    Counts are differences over the phase, except for the two largest numbers of
    concurrent calls, which are since the start of each leaf. Counts that come
    from metrics are floats.

    Attributes:
        calls_needed: Shard calls needed to answer: for each query, one per
            shard of the shard map that was used for it.
        calls_sent: Shard calls sent, with hedges and retries.
        hedges: Shard calls sent while an earlier one for the same shard and
            query was still in progress.
        retries: Shard calls repeated after an earlier one failed.
        cpu_s: CPU time of the policy's daemons.
        cold_concurrency: Largest number of concurrent calls on a cold leaf.
        cold_unnoticed: Largest number of concurrent calls on a leaf that turned
            cold while it was running, from that moment until the first call
            that arrived after it has finished. Until then, no slow reply has
            shown the callers that the leaf is cold. Calls that were already in
            progress at that moment are not counted.
        falls: Number of outages that cold leaves had because of too many
            concurrent calls.
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
        """CPU time of the daemons per needed (not sent) shard call, in ms."""
        return _ratio(self.cpu_s * 1000, self.calls_needed)

    @property
    def platform_rate(self) -> float:
        """Platform calls per second."""
        return _ratio(self.platform_calls, self.seconds)


@dataclass(frozen=True)
class Phase:
    """Results of one case under one policy.

    Attributes:
        deployment: Name of the deployment.
        case: Name of the case.
        policy: Name of the policy.
        rate: Offered load in requests per second, as planned.
        answers: Statistics of the requests.
        usage: Resource usage.
        notes: Values that only the overload case has: the rate of the highest
            goodput (peak_rate) and that goodput (peak_goodput).
        seconds: Share of good requests for each second; see
            good_share_by_second().
        points: Values for the plots: due time in seconds, latency in ms, and 1
            for a good request or 0.
    """

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
    """Returns value / base, or 0 if base is 0."""
    return value / base if base else 0.0


def latency_stats(values_ms: Sequence[float]) -> LatencyStats:
    """Computes latency quantiles from values in ms."""
    histogram = HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)
    for value in values_ms:
        histogram.record_value(
            min(max(1, round(value * 1000)), _MAX_LATENCY_US)
        )

    def value_at(percentile: float) -> float:
        if not values_ms:
            return 0.0
        return float(histogram.get_value_at_percentile(percentile)) / 1000

    return LatencyStats(
        len(values_ms),
        value_at(50),
        value_at(99),
        value_at(99.9),
        value_at(100),
    )


def good_share_by_second(samples: Sequence[RequestSample]) -> list[float]:
    """Returns the share of good requests for each second.

    A request belongs to the second in which it was due. Seconds without a
    request are omitted, so an index is not always the time in seconds.
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
    # Priority 0 is the highest.
    highest = min((s.kind.priority for s in samples), default=0)
    top = [s for s in samples if s.kind.priority == highest]
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
