"""Prometheus metrics of the aggregator."""

from prometheus_client import Counter, Gauge, Histogram

_PREFIX = "sapphirecross_aggregator_"

SHARD_RESULTS = Counter(
    _PREFIX + "shard_results_total",
    "Shard results by status.",
    ["service", "status"],
)
LEAF_CALLS = Counter(
    _PREFIX + "leaf_calls_total",
    "Calls to leaves by outcome.",
    ["service", "outcome"],
)
LEAF_QUERIES = Counter(
    _PREFIX + "leaf_queries_total",
    "Queries sent to leaves.",
    ["service"],
)
SHARED_QUERIES = Counter(
    _PREFIX + "shared_queries_total",
    "Queries answered by an identical query of the same batch.",
    ["service"],
)
CANCELLED_BATCHES = Counter(
    _PREFIX + "cancelled_batches_total",
    "Batches cancelled because every caller had cancelled.",
    ["service"],
)
REPLY_ERRORS = Counter(
    _PREFIX + "leaf_reply_errors_total",
    "Leaf replies that were malformed or of another request.",
    ["service"],
)
LEAF_SECONDS = Histogram(
    _PREFIX + "leaf_seconds",
    "Time of good leaf calls.",
    ["service"],
    buckets=(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0),
)
LEAF_STATES = Gauge(
    _PREFIX + "leaves", "Leaves with the send right by state.", ["state"]
)
SCATTERS = Counter(_PREFIX + "scatters_total", "Scatter requests received.")
PARTS = Counter(_PREFIX + "parts_total", "Parts sent.")
SUBMISSIONS = Counter(
    _PREFIX + "submissions_total", "Submissions by outcome.", ["outcome"]
)
QUARANTINED_FINGERPRINTS = Counter(
    _PREFIX + "quarantined_total", "Fingerprints quarantined here."
)
UNEXPECTED_ERRORS = Counter(
    _PREFIX + "unexpected_errors_total",
    "Errors that no code expects, by the place where they were caught.",
    ["place"],
)
PINGS = Counter(_PREFIX + "pings_total", "Pings sent by result.", ["result"])
CONFIG_REVISION = Gauge(
    _PREFIX + "config_revision", "Configuration revision in force."
)
ROSTER_REVISION = Gauge(
    _PREFIX + "roster_revision", "Revision of the roster in force."
)
