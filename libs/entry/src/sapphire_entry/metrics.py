"""Prometheus metrics of the entry daemon."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

REQUESTS = Counter(
    "sapphirecross_requests_total",
    "Requests by result: good, late, incomplete, refused or wrong.",
    ["service", "request_class", "result"],
)
REQUEST_SECONDS = Histogram(
    "sapphirecross_request_seconds",
    "Time from the request's first byte to its answer.",
    ["service", "request_class"],
    buckets=(
        0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.13, 0.17, 0.25,
        0.5, 1.0, 2.0, 5.0,
    ),
)  # fmt: skip
CALLS_SENT = Counter(
    "sapphirecross_shard_calls_sent_total",
    "Shard calls sent, hedges and retries included.",
    ["service"],
)
CALLS_NEEDED = Counter(
    "sapphirecross_shard_calls_needed_total",
    "Shards of the pinned maps of all queries.",
    ["service"],
)
HEDGES = Counter(
    "sapphirecross_hedges_total", "Hedged shard calls.", ["service"]
)
RETRIES = Counter(
    "sapphirecross_retries_total", "Repeated shard calls.", ["service"]
)
RERUNS = Counter(
    "sapphirecross_reruns_total",
    "Queries run again on a newer version.",
    ["service"],
)
CANARIES = Counter(
    "sapphirecross_canaries_total",
    "Queries that ran on one shard first.",
    ["service"],
)
REJECTED_REPLIES = Counter(
    "sapphirecross_rejected_replies_total",
    "Replies that named another shard or leaf than was asked.",
)
UNEXPECTED_ERRORS = Counter(
    "sapphirecross_unexpected_errors_total",
    "Requests that ended in an unexpected error.",
)
RUNNING_REQUESTS = Gauge(
    "sapphirecross_running_requests", "Requests that run on this entry."
)
CONFIG_REVISION = Gauge(
    "sapphirecross_config_revision", "Configuration revision in force."
)
