"""Structured logging to standard output, and Prometheus metrics."""

from __future__ import annotations

import os
from collections.abc import Mapping

import eliot
import prometheus_client
import trio
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

# Token bucket for log lines about single requests. Log lines about state
# changes are not limited.
REQUEST_LOG_BURST = 400.0
REQUEST_LOG_PER_S = 150.0
# sys.stdout is None if the process was started without one.
STANDARD_OUTPUT = 1
# Below PIPE_BUF (4096 bytes on Linux), so that a non-blocking write to a pipe
# is all or nothing.
MAX_LINE_BYTES = 4_000

# The gateway's metrics have the same names as those of the other daemons, so
# that the same tools read them. A separate registry lets one process import
# both without a duplicate name.
REGISTRY = CollectorRegistry()

# The label "service" of requests has the name of the route.
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
    "Calls to leaves by purpose: first, hedge, retry, or resend after a call"
    " that was never sent.",
    ["purpose"],
    registry=REGISTRY,
)
# Label lookup costs more than the increment, so children are looked up once.
CALLS_BY_PURPOSE = {
    purpose: CALLS.labels(purpose)
    for purpose in ("first", "hedge", "retry", "resend")
}
# "Entries" are the VMs that received the requests (see delegated_parts).
HELPED_CALLS = Counter(
    "sapphirecross_helped_calls_total",
    "Calls to leaves that this VM made for entries of other domains.",
    registry=REGISTRY,
)
LIMITED_LEAVES = Gauge(
    "sapphirecross_limited_leaves",
    "Leaves that name a limit of requests a second.",
    registry=REGISTRY,
)
PAUSED_LEAVES = Gauge(
    "sapphirecross_paused_leaves",
    "Leaves that have asked this VM for a pause.",
    registry=REGISTRY,
)
LEAVING_LEAVES = Gauge(
    "sapphirecross_leaving_leaves",
    "Leaves that are leaving, by their entry or their own answer.",
    registry=REGISTRY,
)
REFUSALS = Counter(
    "sapphirecross_refusals_total",
    "Refused requests by reason.",
    ["reason"],
    registry=REGISTRY,
)
LIMITED_CALLS = Counter(
    "sapphirecross_limited_leaf_calls_total",
    "Calls to leaves that name a limit.",
    registry=REGISTRY,
)
PASSED_OVER = Counter(
    "sapphirecross_leaves_passed_over_total",
    "Leaves that were not chosen for a call because of the limit they name or"
    " the pause they asked for.",
    registry=REGISTRY,
)
PLACED_ANEW = Counter(
    "sapphirecross_calls_placed_anew_total",
    "Calls that waited for a leaf which may not get them any more.",
    registry=REGISTRY,
)
DOMAIN_TRAFFIC = Counter(
    "sapphirecross_domain_traffic_bytes_total",
    "Bytes that this VM exchanged with other failure domains as a client, both"
    " ways, by purpose. Connections to the store count whatever its domain."
    " Without TCP and IP headers.",
    ["purpose"],
    registry=REGISTRY,
)
FAILED_CALLS = Counter(
    "sapphirecross_leaf_calls_failed_total",
    "Calls to leaves without a good reply, by kind of failure.",
    ["kind"],
    registry=REGISTRY,
)
ENDED_DELEGATIONS = Counter(
    "sapphirecross_delegations_ended_total",
    "Delegated calls that this VM ended early, as the caller had left.",
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
REJECTED_MESSAGES = Counter(
    "sapphirecross_messages_rejected_total",
    "Messages that are malformed or exceed a limit: request, reply, statement"
    " (a header in which a leaf asks for something), or store_era (the era that"
    " the store states).",
    ["kind"],
    registry=REGISTRY,
)
CLOSED_FOR_ROOM = Counter(
    "sapphirecross_connections_closed_for_room",
    "Connections of callers and VMs that were closed at the limit, by which:"
    " one that was waiting for a request, or the new one.",
    ["which"],
    registry=REGISTRY,
)
MESSAGE_MEMORY = Gauge(
    "sapphirecross_message_memory_bytes",
    "Memory of the messages that are being received, answered or sent.",
    registry=REGISTRY,
)
GIVEN_UP_MESSAGES = Counter(
    "sapphirecross_messages_given_up_total",
    "Messages that were given up, as all messages took too much memory.",
    registry=REGISTRY,
)
CONNECTIONS = Gauge(
    "sapphirecross_leaf_connections_opened",
    "Connections opened to leaves since the start.",
    registry=REGISTRY,
)
REFUSED_CONNECTIONS = Counter(
    "sapphirecross_leaf_connections_refused_total",
    "New connections that a leaf closed without a reply.",
    registry=REGISTRY,
)
CONFIG_VERSION = Gauge(
    "sapphirecross_config_version",
    "Configuration version in force.",
    registry=REGISTRY,
)
LOST_LEAVES = Counter(
    "sapphirecross_lost_leaves_total",
    "Requests that were running on a leaf when it closed the connection, by"
    " what was found out about the leaf: alive or crashed.",
    ["outcome"],
    registry=REGISTRY,
)
CRASH_SUSPECTS = Counter(
    "sapphirecross_crash_suspects_total",
    "Crashes of leaves under a request, by what is done with the request then:"
    " clear, held, canary or quarantined.",
    ["verdict"],
    registry=REGISTRY,
)
CRASH_RECORDS_LEFT_OUT = Counter(
    "sapphirecross_crash_records_left_out_total",
    "Suspected requests that were left out of messages because of the limit.",
    registry=REGISTRY,
)
CRASH_EXCHANGES = Counter(
    "sapphirecross_crash_exchanges_total",
    "Suspected requests exchanged with other VMs, by result: ok, rejected,"
    " unreadable or failed.",
    ["result"],
    registry=REGISTRY,
)
LIMIT_ENDS_TOLD = Counter(
    "sapphirecross_limit_ends_told_total",
    "Messages to other VMs that leaves no longer name a limit, by result: ok,"
    " rejected or failed.",
    ["result"],
    registry=REGISTRY,
)
TASK_FAILURES = Counter(
    "sapphirecross_task_failures_total",
    "Unexpected errors, by the task that failed; each is a defect.",
    ["task"],
    registry=REGISTRY,
)
REVISION = Gauge(
    "sapphirecross_revision",
    "Revision of the platform's store up to which changes were applied.",
    registry=REGISTRY,
)
STORE_ERA = Gauge(
    "sapphirecross_store_era",
    "Era of the copy of the platform's store; it rises when the store comes"
    " back from an older copy of itself.",
    registry=REGISTRY,
)
STORE_RETURNS = Counter(
    "sapphirecross_store_returns_total",
    "Returns of the store from an older copy that this VM has read.",
    registry=REGISTRY,
)
HELD_WRITES = Gauge(
    "sapphirecross_held_writes",
    "Writes that count although the platform's store, back from an older copy,"
    " lacks them.",
    registry=REGISTRY,
)
REVISION_EXCHANGES = Counter(
    "sapphirecross_revision_exchanges_total",
    "Revisions exchanged with other VMs, by result: ok, rejected or failed.",
    ["result"],
    registry=REGISTRY,
)
DATA_AGE = Gauge(
    "sapphirecross_data_age_seconds",
    "Time since the copy of the platform's store was known to be current.",
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


class LineWriter:
    """Writes lines without blocking; counts lines that cannot be written."""

    def __init__(self, descriptor: int) -> None:
        """Makes a file descriptor non-blocking to write lines to it."""
        self._descriptor = descriptor
        os.set_blocking(self._descriptor, False)

    def write(self, line: bytes) -> None:
        """Writes one line, or counts it as suppressed.

        A line that exceeds MAX_LINE_BYTES is cut off.
        """
        if len(line) > MAX_LINE_BYTES:
            line = line[: MAX_LINE_BYTES - 1] + b"\n"
        try:
            os.write(self._descriptor, line)
        except OSError:
            SUPPRESSED.inc()

    def flush(self) -> None:
        """Does nothing, since each line is written immediately."""


class RequestLogLimiter:
    """Rate limiter for log lines about single requests."""

    def __init__(self) -> None:
        self._tokens = REQUEST_LOG_BURST
        self._refilled_at = 0.0
        self._suppressed_count = 0

    def write(
        self, now: float, kind: str, fields: Mapping[str, object]
    ) -> None:
        """Writes a line, or counts it as suppressed above the rate limit."""
        refill = (now - self._refilled_at) * REQUEST_LOG_PER_S
        self._tokens = min(REQUEST_LOG_BURST, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self._suppressed_count += 1
            SUPPRESSED.inc()
            return
        self._tokens -= 1
        if self._suppressed_count:
            event("lines_left_out", count=self._suppressed_count)
            self._suppressed_count = 0
        event(kind, **fields)


_REJECTION_LOG = RequestLogLimiter()
_LEAF_LOG = RequestLogLimiter()
_CALLER_LOG = RequestLogLimiter()


def leaf_event(now: float, kind: str, **fields: object) -> None:
    """Logs what happens to a leaf or to the requests that run there.

    The rate of these lines is limited: in the loss of a failure domain they
    are as many as the leaves and their requests.
    """
    _LEAF_LOG.write(now, kind, fields)


def caller_event(kind: str, **fields: object) -> None:
    """Logs what is done about a caller's connection; limited in rate."""
    _CALLER_LOG.write(trio.current_time(), kind, fields)


def reject_message(kind: str, error: str, peer: str) -> None:
    """Counts and logs a message of a peer that cannot be used.

    Args:
        kind: "request", "reply", "statement" for a header in which a leaf asks
            for something, or "store_era" for the era that the store states.
        error: What is wrong with the message.
        peer: Address of the peer.
    """
    REJECTED_MESSAGES.labels(kind).inc()
    _REJECTION_LOG.write(
        trio.current_time(),
        f"{kind}_unreadable",
        {"error": error, "peer": peer},
    )


def start() -> None:
    """Sends log lines to standard output."""
    eliot.to_file(LineWriter(STANDARD_OUTPUT))


def event(kind: str, **fields: object) -> None:
    """Logs one decision or state change."""
    eliot.log_message(message_type=f"gateway:{kind}", **fields)


def domain_traffic(purpose: str, is_remote: bool) -> Counter | None:
    """Returns the counter of a connection's bytes; None if it has none.

    Args:
        purpose: What the connection is for.
        is_remote: Whether it leads to another failure domain.
    """
    return DOMAIN_TRAFFIC.labels(purpose) if is_remote else None


def count_request(route: str, priority: int | None, result: str) -> None:
    """Counts a request by its route, priority and result."""
    request_class = "none" if priority is None else f"priority-{priority}"
    REQUESTS.labels(route, request_class, result).inc()


def metrics_text() -> bytes:
    """Returns all metrics in the Prometheus text format."""
    return prometheus_client.generate_latest(REGISTRY)
