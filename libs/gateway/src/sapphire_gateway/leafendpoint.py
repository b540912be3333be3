"""One incarnation of a leaf, as the connections to it show it."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field

from sapphire_core.choice import LeafLoad
from sapphire_core.leafset import LeafEntry
from sapphire_core.leafterms import LeafTerms

from sapphire_gateway.calls import Call
from sapphire_gateway.connection import Connection

# A request that must not be repeated (Call.needs_fresh) is sent only on a
# connection that was idle for less than this: a leaf may drop an idle
# connection without notice.
MAX_IDLE_IF_NOT_REPEATABLE_S = 1.0
# A leaf that ends within this time after it has reported a failure may have
# ended because of the same request.
FAILED_REPLY_S = 1.0
# Such requests that are remembered for each leaf.
MAX_FAILED_CALLS = 16
# After a leaf has closed a new connection without a reply, for example because
# it accepts no more, no other is opened beside those that it keeps for the
# initial back-off, which doubles up to the maximum.
INITIAL_REFUSAL_BACKOFF_S = 0.5
MAX_REFUSAL_BACKOFF_S = 8.0
# Assumed time to connect to a leaf before the first measurement.
INITIAL_CONNECT_S = 0.005


@dataclass(slots=True)
class LostCall:
    """A call whose leaf closed the connection or fell silent.

    Attributes:
        fingerprint: Fingerprint of the request.
        is_canary: Whether the request was suspected when it was sent.
        is_silent: Whether the leaf fell silent and closed nothing.
        lost_at: Time at which the call ended.
        is_unexplained: Whether the leaf has lost all connections, and accepts
            new ones.
        has_reply: Whether the leaf had replied that it has failed.
    """

    fingerprint: str
    is_canary: bool
    is_silent: bool
    lost_at: float
    is_unexplained: bool = False
    has_reply: bool = False


@dataclass(slots=True)
class LeafEndpoint:
    """One incarnation of a leaf: its connections, waiting calls and load.

    Attributes:
        entry: Latest registry entry of the leaf.
        load: Load and reply times observed in calls.
        terms: What the leaf asks for in its answers.
        connections: All connections that are open or being opened.
        free_connections: Established connections without a call; the last one
            was used most recently.
        queue: Calls waiting for a connection.
        lost_calls: By fingerprint, the last call that was lost, until it is
            known whether the leaf crashed. Added by LeafCaller.
        failed_calls: By fingerprint, the last calls to which the leaf has
            replied that it has failed. Added by LeafCaller.
        average_connect_s: Moving average of the time to connect, in seconds.
        refused_until: Time before which no connection is opened beside others.
        refusal_backoff_s: Present back-off after a refused connection.
    """

    entry: LeafEntry
    load: LeafLoad
    terms: LeafTerms
    connections: list[Connection] = field(default_factory=list)
    free_connections: list[Connection] = field(default_factory=list)
    queue: collections.deque[Call] = field(default_factory=collections.deque)
    lost_calls: dict[str, LostCall] = field(default_factory=dict)
    failed_calls: dict[str, LostCall] = field(default_factory=dict)
    average_connect_s: float = INITIAL_CONNECT_S
    refused_until: float = 0.0
    refusal_backoff_s: float = 0.0

    def record_refusal(self, now: float) -> None:
        """Records that the leaf has closed a connection without a reply."""
        self.refusal_backoff_s = min(
            MAX_REFUSAL_BACKOFF_S,
            max(INITIAL_REFUSAL_BACKOFF_S, 2 * self.refusal_backoff_s),
        )
        self.refused_until = now + self.refusal_backoff_s

    def take_free(self, call: Call, now: float) -> Connection | None:
        """Takes the most recently used free connection, or returns None."""
        while self.free_connections:
            connection = self.free_connections.pop()
            # is_free is a safeguard: a connection leaves the list when it is
            # closed or gets a call.
            limit = (
                MAX_IDLE_IF_NOT_REPEATABLE_S
                if call.needs_fresh
                else float("inf")
            )
            if connection.is_free and connection.is_reusable(now, limit):
                return connection
            connection.close("idle for too long")
        return None

    @property
    def is_connected(self) -> bool:
        """Whether any connection is established."""
        return any(
            connection.was_established and not connection.is_closed
            for connection in self.connections
        )

    def record_failed_reply(self, call: Call, now: float) -> None:
        """Records that the leaf has replied to a call that it has failed."""
        lost_call = LostCall(
            call.fingerprint, call.is_canary, False, now, has_reply=True
        )
        self.failed_calls[call.fingerprint] = lost_call
        while len(self.failed_calls) > MAX_FAILED_CALLS:
            del self.failed_calls[next(iter(self.failed_calls))]

    def take_failed_calls(self, now: float) -> None:
        """Takes the calls that have just failed as lost: the leaf may be too.

        The leaf has closed all connections.
        """
        for call in self.failed_calls.values():
            if now - call.lost_at <= FAILED_REPLY_S:
                self.lost_calls.setdefault(call.fingerprint, call)
        self.failed_calls.clear()

    def has_connection_from_before(self, time: float) -> bool:
        """Returns whether a connection from before a time is established."""
        return any(
            connection.was_established
            and not connection.is_closed
            and connection.connected_at < time
            for connection in self.connections
        )

    @property
    def expected_connect_s(self) -> float:
        """Expected time until a call can be sent, apart from queueing."""
        return 0.0 if self.free_connections else self.average_connect_s
