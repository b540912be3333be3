"""Calls to leaves: what is sent, and what a reply means."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from sapphire_core.fanout import Failure

from sapphire_gateway.headernames import HeaderNames
from sapphire_gateway.messages import Reply

MISDIRECTED = 421
_NUMBERS = itertools.count(1)


@dataclass(slots=True)
class CallResult:
    """How a call ended.

    Attributes:
        reply: The leaf's own reply, if a whole one arrived.
        failure: Why the reply is no success, or None.
        detail: Reason for the log.
        was_sent: Whether a byte of the request may have reached the leaf.
        is_silent: Whether nothing at all came back.
        is_abrupt: Whether the leaf ended the connection while it ran.
    """

    reply: Reply | None
    failure: Failure | None
    detail: str = ""
    was_sent: bool = True
    is_silent: bool = False
    is_abrupt: bool = False


@dataclass(slots=True)
class Call:
    """One request to one leaf.

    Attributes:
        payload: Bytes of the request.
        request_id: Identity that the reply must repeat.
        is_to_head: The method is HEAD.
        needs_fresh: The request must not meet a connection that the leaf may
            have dropped, since it can't be repeated.
        expires_at: Time after which nobody waits for the reply.
        on_end: Called once with the outcome.
        created_at: Time of the decision to send.
        sent_at: Time of the first byte, or 0.
        is_cancelled: The caller has left, so that the outcome says nothing
            about the leaf.
        fingerprint: Equal for equal requests of one caller; empty for calls
            that are no request.
    """

    payload: bytes
    request_id: bytes
    is_to_head: bool
    needs_fresh: bool
    expires_at: float
    on_end: Callable[[CallResult], None]
    created_at: float
    fingerprint: str = ""
    sent_at: float = 0.0
    is_over: bool = False
    is_cancelled: bool = False
    number: int = field(default_factory=lambda: next(_NUMBERS))

    def complete(self, result: CallResult) -> None:
        """Reports the outcome; later ones are ignored."""
        if not self.is_over:
            self.is_over = True
            self.on_end(result)


@dataclass(slots=True)
class LoadReport:
    """Load that a leaf reports."""

    running: int
    queued: int


def judge(reply: Reply, call: Call, header_names: HeaderNames) -> CallResult:
    """Decides what a whole reply says about the call."""
    echoed = reply.get(header_names.request_id.lower())
    if echoed is not None and echoed != call.request_id:
        return CallResult(None, Failure.LOST, "reply to another request")
    if reply.status == MISDIRECTED:
        return CallResult(reply, Failure.NOT_RUN, "another leaf answered")
    if reply.get(header_names.not_run.lower()) is not None:
        return CallResult(
            reply, Failure.NOT_RUN, f"rejected with {reply.status}"
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


def load_report(reply: Reply, header_names: HeaderNames) -> LoadReport | None:
    """Returns the load that a reply reports, or None."""
    value = reply.get(header_names.load.lower())
    if value is None:
        return None
    numbers = value.split(b",")
    try:
        return LoadReport(int(numbers[0]), int(numbers[1]))
    except (ValueError, IndexError):
        return None
