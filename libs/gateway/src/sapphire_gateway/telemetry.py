"""Structured log lines on standard output, counters and histograms."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping

import eliot
import prometheus_client
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# Lines about single requests: this many at once, refilled at this rate.
# Lines about changes of state are not limited.
REQUEST_LINES_BURST = 400.0
REQUEST_LINES_PER_S = 150.0
# A pipe takes lines up to this size whole or not at all.
MAX_LINE_BYTES = 4_000

# The gateway's metrics share names with those of the other daemons, for the
# same tools; a registry of their own lets one process load both.
REGISTRY = CollectorRegistry()

REQUESTS = Counter(
    "sapphirecross_requests_total",
    "Requests by route and result: good, late, incomplete, refused or failed.",
    ["service", "request_class", "result"],
    registry=REGISTRY,
)
LATENCY = Histogram(
    "sapphirecross_request_seconds",
    "Time from the whole request to its answer.",
    ["service"],
    buckets=(
        0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.13, 0.17, 0.25,
        0.5, 1.0, 2.0, 5.0,
    ),
    registry=REGISTRY,
)  # fmt: skip
CALLS = Counter(
    "sapphirecross_leaf_calls_total",
    "Calls to leaves by purpose: first, hedge or retry.",
    ["purpose"],
    registry=REGISTRY,
)
# Looking up a child by its label takes longer than counting.
CALLS_BY_PURPOSE = {
    purpose: CALLS.labels(purpose) for purpose in ("first", "hedge", "retry")
}
HELPED_CALLS = Counter(
    "sapphirecross_helped_calls_total",
    "Calls to leaves that this VM made for entries of other domains.",
    registry=REGISTRY,
)
FAILED_CALLS = Counter(
    "sapphirecross_leaf_calls_failed_total",
    "Calls to leaves without a good reply, by kind of failure.",
    ["kind"],
    registry=REGISTRY,
)
PARTS_MISSING = Counter(
    "sapphirecross_parts_missing_total",
    "Parts left out of merged answers.",
    registry=REGISTRY,
)
STORE_CALLS = Counter(
    "sapphirecross_store_calls_total",
    "Calls to the platform's store, waiting watches included.",
    ["operation", "result"],
    registry=REGISTRY,
)
CONNECTIONS = Gauge(
    "sapphirecross_leaf_connections_opened",
    "Connections opened to leaves since the start.",
    registry=REGISTRY,
)
CONFIG_VERSION = Gauge(
    "sapphirecross_config_version",
    "Configuration version in force.",
    registry=REGISTRY,
)
LEAVES = Gauge(
    "sapphirecross_leaves", "Leaves in the registry.", registry=REGISTRY
)
MEMBERS = Gauge(
    "sapphirecross_members", "Live members of the fleet.", registry=REGISTRY
)
RUNNING = Gauge(
    "sapphirecross_running_requests",
    "Requests that run now.",
    registry=REGISTRY,
)
SUPPRESSED = Counter(
    "sapphirecross_log_lines_suppressed_total",
    "Log lines left out because of the limit or of a slow reader.",
    registry=REGISTRY,
)


class _Output:
    """Writes lines without waiting; what doesn't fit is counted."""

    def __init__(self) -> None:
        self._descriptor = sys.stdout.fileno()
        os.set_blocking(self._descriptor, False)

    def write(self, line: bytes) -> None:
        """Writes one line, or counts it as suppressed."""
        try:
            os.write(self._descriptor, line[:MAX_LINE_BYTES])
        except OSError:
            SUPPRESSED.inc()

    def flush(self) -> None:
        """Does nothing: each line is written at once."""


class RequestLogLimiter:
    """Limits the lines about single requests."""

    def __init__(self) -> None:
        self._tokens = REQUEST_LINES_BURST
        self._at = 0.0
        self._left_out = 0

    def write(
        self, now: float, kind: str, fields: Mapping[str, object]
    ) -> None:
        """Writes a line, or counts it if there were too many."""
        refill = (now - self._at) * REQUEST_LINES_PER_S
        self._tokens = min(REQUEST_LINES_BURST, self._tokens + refill)
        self._at = now
        if self._tokens < 1:
            self._left_out += 1
            SUPPRESSED.inc()
            return
        self._tokens -= 1
        if self._left_out:
            event("lines_left_out", count=self._left_out)
            self._left_out = 0
        event(kind, **fields)


def start() -> None:
    """Directs log lines to standard output."""
    eliot.to_file(_Output())


def event(kind: str, **fields: object) -> None:
    """Logs one decision or change of state."""
    eliot.log_message(message_type=f"gateway:{kind}", **fields)


def count_request(route: str, priority: int | None, result: str) -> None:
    """Counts a request by its route, priority and result."""
    request_class = "none" if priority is None else f"priority-{priority}"
    REQUESTS.labels(route, request_class, result).inc()


def metrics_text() -> bytes:
    """Returns all metrics in the text format of Prometheus."""
    return prometheus_client.generate_latest(REGISTRY)
