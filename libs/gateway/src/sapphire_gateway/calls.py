"""Calls to leaves and the classification of their replies."""

from __future__ import annotations

import itertools
import math
import re
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from sapphire_core.fanout import Failure

from sapphire_gateway.decoding import parse_count
from sapphire_gateway.headernames import HeaderNames
from sapphire_gateway.messages import Reply
from sapphire_gateway.replyreader import SMALL_REPLY_LIMITS, ReplyLimits

MISDIRECTED = 421
FULL = 503
_LEAVING = b"1"
# Statuses that tell a caller that its request has not run and never will.
REFUSAL_STATUSES = frozenset({408, MISDIRECTED, 429, FULL})
# A decimal number without sign or exponent, and of limited size.
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,64})?")
# Calls that may be repeated expire this long after the caller has disconnected,
# so that short ones end without closing their connections. Calls that must not
# be repeated keep their time limit.
CANCEL_DELAY_S = 0.1
_call_numbers = itertools.count(1)


@dataclass(slots=True)
class CallResult:
    """Result of a call.

    Attributes:
        reply: Complete reply; None if there was none, or if it counts as lost
            (Failure.LOST).
        failure: Kind of failure, or None on success.
        detail: Description of the failure for the log.
        was_sent: Whether any byte of the request may have reached the leaf.
        is_silent: Whether the request was sent and no byte of a reply was
            received.
        is_closed_by_server: Whether the leaf closed the connection during the
            call, or the established connection failed.
    """

    reply: Reply | None
    failure: Failure | None
    detail: str = ""
    was_sent: bool = True
    is_silent: bool = False
    is_closed_by_server: bool = False


@dataclass(slots=True)
class Call:
    """One request to one leaf, or of an HttpClient to its server.

    Attributes:
        payload: Bytes of the request; empty once the call is over.
        request_id: Identifier that a reply must repeat if it has one.
        is_to_head: Whether the method is HEAD, so that the reply has no body.
        needs_fresh: Whether the request must not be repeated, so that it is
            sent only on a connection that the leaf is unlikely to have closed.
        expires_at: Time at which the call times out. The owner of the
            connection then ends it.
        on_end: Called once with the result.
        created_at: Time at which the call was created.
        is_canary: Whether the request is suspected of crashing leaves.
        sent_at: Time at which sending began, or 0.
        fingerprint: Equal for repeated requests; empty for calls
            that do not forward a caller's request.
        is_over: Whether the result was reported.
        is_cancelled: Whether the call was cancelled because the caller has
            disconnected, so that a failure says nothing about the leaf. Calls
            of requests that must not be repeated are not cancelled.
        number: Unique number within the process.
    """

    payload: bytes
    request_id: bytes
    is_to_head: bool
    needs_fresh: bool
    expires_at: float
    on_end: Callable[[CallResult], None]
    created_at: float
    fingerprint: str = ""
    is_canary: bool = False
    sent_at: float = 0.0
    is_over: bool = False
    is_cancelled: bool = False
    reply_limits: ReplyLimits = SMALL_REPLY_LIMITS
    reserved_at: float = -math.inf
    number: int = field(default_factory=lambda: next(_call_numbers))

    def complete(self, result: CallResult) -> None:
        """Reports the result; ignored if one was reported before."""
        if self.is_over:
            return
        self.is_over = True
        try:
            self.on_end(result)
        finally:
            # A search keeps its calls until the last of them has ended, and
            # each has a copy of the caller's body.
            self.payload = b""


def end_waiting(calls: Iterable[Call]) -> None:
    """Ends the calls that still wait for a connection to their leaf."""
    for call in calls:
        if not call.sent_at and not call.is_over:
            call.complete(
                CallResult(None, Failure.NOT_RUN, "given up", was_sent=False)
            )


def cancel_calls(calls: Collection[Call], now: float) -> None:
    """Ends calls early whose caller has disconnected.

    Calls that still wait for a connection end at once; calls that were sent
    expire after CANCEL_DELAY_S.
    """
    for call in calls:
        call.is_cancelled = True
        call.expires_at = min(call.expires_at, now + CANCEL_DELAY_S)
    end_waiting(calls)


@dataclass(slots=True)
class LoadReport:
    """Load reported by a leaf, in requests."""

    running: int
    queued: int


def classify_reply(
    reply: Reply, call: Call, header_names: HeaderNames
) -> CallResult:
    """Classifies a complete reply to a call.

    A leaf signs the replies that it makes. A reply without a signature counts
    as lost, unless it rejects the request without running it. The signature is
    not verified here.
    """
    echoed = reply.get(header_names.request_id.lower())
    if echoed is not None and echoed != call.request_id:
        return CallResult(None, Failure.LOST, "reply to another request")
    if reply.status == MISDIRECTED:
        return CallResult(reply, Failure.NOT_RUN, "another leaf answered")
    if reply.get(header_names.not_executed.lower()) is not None:
        return CallResult(
            reply,
            Failure.NOT_RUN,
            f"rejected with {reply.status}",
        )
    if not reply.is_success:
        if reply.get(header_names.signature.lower()) is None:
            detail = f"unsigned reply {reply.status}"
            return CallResult(None, Failure.LOST, detail)
        return CallResult(reply, Failure.ANSWERED, f"answered {reply.status}")
    if reply.get(header_names.signature.lower()) is None:
        return CallResult(None, Failure.LOST, "success without signature")
    if reply.get(b"content-encoding") is not None:
        return CallResult(None, Failure.LOST, "encoded body")
    return CallResult(reply, None)


def parse_load_report(
    reply: Reply, header_names: HeaderNames
) -> LoadReport | None:
    """Returns the load that a reply reports.

    Returns None if the reply has no load header or a malformed one.
    """
    value = reply.get(header_names.load.lower())
    if value is None:
        return None
    numbers = [parse_count(number) for number in value.split(b",")[:2]]
    match numbers:
        case [int(running), int(queued)]:
            return LoadReport(running, queued)
    return None


@dataclass(frozen=True, slots=True)
class LeafStatement:
    """What a leaf asks for in a reply.

    Attributes:
        limit_per_s: Requests a second that it takes from all VMs, infinity if
            it names no limit, and None if the header is malformed.
        is_leaving: Whether it is leaving.
        pause_s: Seconds for which it wants no request; 0 for no pause.
        defects: Descriptions of malformed headers, which are ignored.
    """

    limit_per_s: float | None
    is_leaving: bool
    pause_s: float
    defects: tuple[str, ...]


def parse_statement(reply: Reply, header_names: HeaderNames) -> LeafStatement:
    """Returns what a leaf asks for in a reply."""
    defects = []
    limit_per_s: float | None = math.inf
    value = reply.get(header_names.limit.lower())
    if value is not None:
        limit_per_s = _parse_decimal(value)
        if limit_per_s is None:
            defects.append("the limit is not a decimal number")
    leaving = reply.get(header_names.leaving.lower())
    if leaving not in {None, _LEAVING}:
        defects.append("the sign that the leaf is leaving is not 1")
    pause_s = 0.0
    value = reply.get(header_names.pause.lower())
    if value is not None and reply.status == FULL:
        pause_s = _parse_decimal(value) or 0.0
        if _parse_decimal(value) is None:
            defects.append("the pause is not a decimal number")
    return LeafStatement(
        limit_per_s, leaving == _LEAVING, pause_s, tuple(defects)
    )


def _parse_decimal(value: bytes) -> float | None:
    return float(value) if _DECIMAL.fullmatch(value) is not None else None
