"""Concurrency and batch-size limits of a leaf, adapted to its replies.

A window, as in flow control, limits what is outstanding at a receiver, here a
leaf. The process that sends to a leaf reports the start and the end of each
request to the leaf's window. From these reports, the window determines how many
more requests may start and how many queries each of them may carry.

A leaf is cold after its start: it replies slowly, and may crash under the load
of a warm one. It is warming while good replies raise its concurrency limit one
by one, and warm once the limit has reached `LeafLimits.slots`.
"""

from __future__ import annotations

import enum
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass

# A request is overdue after this multiple of the warm leaf's expected time. An
# overdue request or reply moves the leaf to the cold state.
OVERDUE_FACTOR = 5.0
# A reply counts towards the warm state only within this multiple of the warm
# leaf's expected time. OVERDUE_FACTOR is too loose for that: a cold leaf may
# reply within it.
WARM_FACTOR = 2.0
# A leaf whose replies stay above the limit of WARM_FACTOR for at least this
# many replies and this long has become permanently slower, and its reply time
# becomes the expected one. The number of replies alone does not rule out a long
# cold start: a cold leaf answers 40 requests within 3 s.
SLOWDOWN_MIN_REPLIES = 40
SLOWDOWN_MIN_S = 120.0
# A request is never overdue before this time. Shorter times depend on the
# scheduling of this process, not on the leaf.
MIN_OVERDUE_S = 0.01
# A reply within this time always counts towards the warm state, for the same
# reason.
MIN_WARM_S = 0.002
# Pauses before the next request to a leaf that refused one for lack of capacity
# (shed) or is unreachable; they double with each repetition up to the maximum.
SHED_PAUSE_S = 0.05
MAX_SHED_PAUSE_S = 1.0
DOWN_PAUSE_S = 0.25
MAX_DOWN_PAUSE_S = 4.0
# A draining leaf that still runs after this time may have been returned to
# service; one request is then sent to find out.
DRAINING_PAUSE_S = 15.0
# A leaf that accepts connections but does not answer counts as down after this
# many consecutive requests without a reply in time.
MAX_CONSECUTIVE_LATE = 3
# Weight of a new sample in the moving average of reply times.
_SMOOTHING = 0.2
# Weight of a sample that raises the expected time of a warm leaf. Delays of
# the local machine only lengthen measured times. With equal weights they would
# raise the expected time to nearly that of a cold leaf, and the two states
# could not be told apart.
_WARM_RISE_SMOOTHING = 0.02


class State(enum.IntEnum):
    """State of a leaf, numbered as in the wire format."""

    DOWN = 0
    COLD = 1
    WARMING = 2
    WARM = 3
    SHEDDING = 4
    DRAINING = 5


class CallOutcome(enum.Enum):
    """How a request to the leaf ended."""

    GOOD = "good"
    # A warm leaf replied more slowly than usual, but was not overdue.
    SLOWER = "slower"
    # The leaf replied as slowly as a cold one, or refused because it is cold.
    COLD = "cold"
    # The leaf refused the request for lack of capacity.
    SHED = "shed"
    # The leaf reports that it is shutting down.
    DRAINING = "draining"
    # The connection was lost while the leaf was running the request.
    LOST = "lost"
    # No connection could be opened.
    UNREACHABLE = "unreachable"
    # No reply arrived before the caller's deadline.
    LATE = "late"
    # The request gives no information about the leaf's capacity: it was
    # cancelled, refused before it was sent, or its index version no longer
    # exists.
    NEUTRAL = "neutral"


@dataclass(frozen=True, slots=True)
class LeafLimits:
    """Limits of a leaf, as set in the deployment document.

    Attributes:
        slots: Maximum number of concurrent requests.
        max_batch: Maximum number of queries in a request.
        cold_concurrency: Maximum number of concurrent requests while cold.
        cold_batch: Maximum number of queries in a request while cold.
        multi_search: Whether a request may carry more than one query.
        expected_s: Assumed reply time of a warm leaf until one has been
            measured.
    """

    slots: int = 2
    max_batch: int = 64
    cold_concurrency: int = 1
    cold_batch: int = 4
    multi_search: bool = True
    expected_s: float = 0.01


class ReplyTimeEstimate:
    """Moving average of the reply time, by batch size.

    Batch sizes are grouped by their bit length.
    """

    def __init__(self) -> None:
        self._by_bucket: dict[int, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether there are no samples."""
        return not self._by_bucket

    def has_samples(self, queries: int) -> bool:
        """Returns whether there are samples for batches of about this size."""
        return queries.bit_length() in self._by_bucket

    def expected_s(self, queries: int) -> float | None:
        """Returns the expected seconds for a batch, or None without samples.

        The time of a size without samples is extrapolated from the next smaller
        group with samples, by doubling it for each group from there on. The
        result is used as an upper bound. If only groups of larger sizes have
        samples, the time of the smallest of them is returned.
        """
        bucket = queries.bit_length()
        known = self._by_bucket.get(bucket)
        if known is not None:
            return known
        smaller = [b for b in self._by_bucket if b < bucket]
        if smaller:
            nearest = max(smaller)
            return self._by_bucket[nearest] * 2.0 ** (bucket - nearest)
        if self._by_bucket:
            return self._by_bucket[min(self._by_bucket)]
        return None

    def clear(self) -> None:
        """Discards all samples."""
        self._by_bucket.clear()

    def add_sample(
        self, queries: int, elapsed_s: float, rise_smoothing: float = _SMOOTHING
    ) -> None:
        """Adds a sample for batches of this size.

        Args:
            queries: Number of queries in the batch.
            elapsed_s: Seconds until its reply.
            rise_smoothing: Weight of a sample that raises the average.
        """
        bucket = queries.bit_length()
        known = self._by_bucket.get(bucket)
        if known is None:
            self._by_bucket[bucket] = elapsed_s
        else:
            rate = rise_smoothing if elapsed_s > known else _SMOOTHING
            self._by_bucket[bucket] = known + rate * (elapsed_s - known)


@dataclass(slots=True)
class _RunningRequest:
    started: float
    queries: int
    abandoned_at: float | None = None


class Window:
    """The flow-control window of one leaf: its state and current limits.

    All times are in seconds of the same monotonic clock.

    Attributes:
        local_delay_s: Seconds by which this process may have lengthened the
            measured times. They are added to the time after which a request is
            overdue, so that such a delay does not move a warm leaf to the cold
            state, and they do not raise the warm leaf's expected time. The
            limit up to which a reply counts as good is not raised by them.
    """

    def __init__(
        self,
        limits: LeafLimits,
        service_estimate: ReplyTimeEstimate | None = None,
    ) -> None:
        """Starts in the cold state, with one concurrent request.

        Args:
            limits: Limits of the leaf.
            service_estimate: Reply times of all warm leaves of the service.
                Warm replies of this leaf are added to it.
        """
        self._limits = limits
        self._service_estimate = service_estimate or ReplyTimeEstimate()
        # Reply times of the leaf while warm, to which replies are compared.
        self._warm_estimate = ReplyTimeEstimate()
        # Reply times in any state; of a late request, the time until its end.
        self._recent_estimate = ReplyTimeEstimate()
        # Replies in a row above the warm limit (WARM_FACTOR), and since when.
        self._consecutive_above_warm = 0
        self._above_warm_since = math.inf
        # Whether the warm estimate was replaced after a long run of such
        # replies, see SLOWDOWN_MIN_REPLIES.
        self._is_slowdown_accepted = False
        # Set by a reply that is slower than usual while warm, until a good one:
        # batches are limited to sizes with a measured time.
        self._is_batch_size_limited = False
        self.local_delay_s = 0.0
        self._state = State.COLD
        self._concurrency_limit = 1
        self._paused_until = -math.inf
        self._pause_s = 0.0
        self._consecutive_late = 0
        self._running: dict[int, _RunningRequest] = {}
        self._tokens = itertools.count()

    @property
    def state(self) -> State:
        """State after the last recorded outcome."""
        return self._state

    @property
    def limits(self) -> LeafLimits:
        """Limits of the leaf."""
        return self._limits

    @property
    def running(self) -> int:
        """Number of requests running on the leaf."""
        return len(self._running)

    @property
    def paused_until(self) -> float:
        """Time before which nothing may be sent; -inf without a pause."""
        return self._paused_until

    def set_limits(self, limits: LeafLimits) -> None:
        """Replaces the limits. Running requests are kept."""
        self._limits = limits
        self._concurrency_limit = min(self._concurrency_limit, limits.slots)

    def reset(self) -> None:
        """Returns to the cold state, with one concurrent request."""
        self._state = State.COLD
        self._concurrency_limit = 1
        self._paused_until = -math.inf
        self._pause_s = 0.0

    def expected_s(self, queries: int) -> float:
        """Returns the expected seconds for a batch.

        This is the moving average of recent times in any state, or the expected
        time of the warm leaf if there are none.
        """
        recent = self._recent_estimate.expected_s(queries)
        return self._warm_s(queries) if recent is None else recent

    def free_slots(self, now: float) -> int:
        """Returns how many more requests may start now."""
        self._check_overdue(now)
        if now < self._paused_until:
            return 0
        return max(0, self._current_limit() - len(self._running))

    def max_queries(self) -> int:
        """Returns how many queries the next request may carry."""
        if not self._limits.multi_search:
            return 1
        if self._state is State.WARMING or self._state is State.WARM:
            largest = self._limits.max_batch
            return (
                self._largest_known_batch(largest)
                if self._is_batch_size_limited
                else largest
            )
        return self._largest_known_batch(
            min(self._limits.cold_batch, self._limits.max_batch)
        )

    def overdue_at(self) -> float:
        """Returns the earliest time a running request is overdue, or inf."""
        return min(
            (
                request.started + self._overdue_s(request.queries)
                for request in self._running.values()
                if request.queries and request.abandoned_at is None
            ),
            default=math.inf,
        )

    def start(self, now: float, queries: int) -> int:
        """Records the start of a request and returns its token.

        A request without queries is a submission. It occupies a slot, but its
        time is not compared with that of searches.
        """
        token = next(self._tokens)
        self._running[token] = _RunningRequest(now, queries)
        return token

    def record_sent(self, token: int, now: float) -> None:
        """Records when the request was sent; reply time counts from then."""
        self._running[token].started = now

    def record_abandoned(self, token: int, now: float) -> None:
        """Records that the caller stopped waiting for the reply.

        The leaf may still be working on the request, so it occupies its slot
        until finish is called.
        """
        self._running[token].abandoned_at = now

    def finish(self, token: int, now: float, outcome: CallOutcome) -> None:
        """Records how a request ended."""
        request = self._running.pop(token)
        if not request.queries:
            good = outcome is CallOutcome.GOOD
            self.observe(CallOutcome.NEUTRAL if good else outcome, now)
            return
        ended = now if request.abandoned_at is None else request.abandoned_at
        elapsed = ended - request.started
        overdue = elapsed > self._overdue_s(request.queries)
        if outcome is CallOutcome.GOOD:
            self._recent_estimate.add_sample(request.queries, elapsed)
            outcome = self._classify_reply(
                request.queries, elapsed, overdue, now
            )
        elif outcome is CallOutcome.LATE:
            self._recent_estimate.add_sample(request.queries, elapsed)
            if not overdue:
                # The caller's deadline was short; the leaf was not slow.
                outcome = CallOutcome.NEUTRAL
        elif outcome is CallOutcome.NEUTRAL and overdue:
            # The leaf is slow, whatever else the end of the request shows.
            outcome = CallOutcome.COLD
        self.observe(outcome, now)

    def _classify_reply(
        self, queries: int, elapsed: float, overdue: bool, now: float
    ) -> CallOutcome:
        """Returns the outcome of a complete reply, given its duration."""
        warm_limit_s = max(MIN_WARM_S, WARM_FACTOR * self._warm_s(queries))
        if elapsed <= warm_limit_s:
            self._consecutive_above_warm = 0
            self._above_warm_since = math.inf
            self._add_warm_sample(queries, elapsed)
            return CallOutcome.GOOD
        self._consecutive_above_warm += 1
        self._above_warm_since = min(self._above_warm_since, now)
        if (
            self._consecutive_above_warm >= SLOWDOWN_MIN_REPLIES
            and now - self._above_warm_since >= SLOWDOWN_MIN_S
        ):
            self._consecutive_above_warm = 0
            self._above_warm_since = math.inf
            self._warm_estimate.clear()
            self._warm_estimate.add_sample(queries, elapsed)
            self._is_slowdown_accepted = True
            return CallOutcome.GOOD
        is_warm = self._state in (State.WARM, State.WARMING)
        return (
            CallOutcome.SLOWER if is_warm and not overdue else CallOutcome.COLD
        )

    def _add_warm_sample(self, queries: int, elapsed: float) -> None:
        # The part of the time that may be a delay of this process must not
        # raise the expected time.
        known_s = self._warm_s(queries)
        if elapsed > known_s:
            elapsed = max(known_s, elapsed - self.local_delay_s)
        self._warm_estimate.add_sample(queries, elapsed, _WARM_RISE_SMOOTHING)
        if not self._is_slowdown_accepted:
            self._service_estimate.add_sample(
                queries, elapsed, _WARM_RISE_SMOOTHING
            )

    def observe(self, outcome: CallOutcome, now: float) -> None:
        """Applies an outcome to the state and the limits.

        It leaves the running requests as they are; `finish` removes its request
        before it calls this.
        """
        if outcome not in (CallOutcome.LATE, CallOutcome.NEUTRAL):
            self._consecutive_late = 0
        _HANDLERS[outcome](self, now)

    def record_reachable(self, now: float) -> None:
        """Records a reply to something other than a search.

        Such a reply does not show that the leaf is warm. A leaf that was down,
        or whose draining pause has passed, moves to the cold state.
        """
        if self._state is State.DOWN:
            self._consecutive_late = 0
            self.reset()
        if self._state is State.DRAINING and now >= self._paused_until:
            self.reset()

    def _current_limit(self) -> int:
        cold = min(self._limits.cold_concurrency, self._limits.slots)
        if self._state is State.COLD:
            return min(self._concurrency_limit, cold)
        if self._state is State.DOWN:
            return 0
        return self._concurrency_limit

    def _largest_known_batch(self, limit: int) -> int:
        """Returns the largest measured batch size that is at most `limit`.

        Returns 1 if no size up to the limit was measured, and the limit itself
        if there are no samples of any size.

        The extrapolated time of other sizes is only an upper bound. A cold leaf
        may reply within that bound and would be taken for a warm one.
        """
        if self._warm_estimate.is_empty and self._service_estimate.is_empty:
            return limit
        while limit > 1 and not (
            self._warm_estimate.has_samples(limit)
            or self._service_estimate.has_samples(limit)
        ):
            limit -= 1
        return limit

    def _warm_s(self, queries: int) -> float:
        """Returns the expected seconds for a batch on the warm leaf.

        The service's time for a size that this leaf has no samples of comes
        before the leaf's own time extrapolated from other sizes, which is only
        an upper bound.
        """
        if not self._warm_estimate.has_samples(queries):
            known = self._service_estimate.expected_s(queries)
            if known is not None and self._service_estimate.has_samples(
                queries
            ):
                return known
        own = self._warm_estimate.expected_s(queries)
        if own is not None:
            return own
        service_s = self._service_estimate.expected_s(queries)
        return self._limits.expected_s if service_s is None else service_s

    def _overdue_s(self, queries: int) -> float:
        overdue_s = OVERDUE_FACTOR * self._warm_s(queries)
        return max(MIN_OVERDUE_S, overdue_s) + self.local_delay_s

    def _check_overdue(self, now: float) -> None:
        if self._state in (State.WARM, State.WARMING) and (
            now > self.overdue_at()
        ):
            self._on_cold(now)

    def _on_good(self, now: float) -> None:
        if (
            self._state is State.WARM
            and self._concurrency_limit == self._limits.slots
        ):
            return
        if now < self._paused_until:
            # Another request was shed, or found the leaf draining or
            # unreachable; a reply to an earlier request doesn't end the pause.
            return
        self._paused_until = -math.inf
        self._pause_s = 0.0
        self._is_batch_size_limited = False
        self._concurrency_limit = min(
            self._concurrency_limit + 1, self._limits.slots
        )
        full = self._concurrency_limit == self._limits.slots
        self._state = State.WARM if full else State.WARMING

    def _on_cold(self, now: float) -> None:
        del now
        if self._state in (State.DOWN, State.DRAINING):
            return
        self._state = State.COLD
        self._concurrency_limit = self._cold_limit()

    def _on_slower(self, now: float) -> None:
        """Reduces the load of a warm leaf that has become slower.

        Applies the cold concurrency limit and limits batches to the largest
        size with a measured time. The next good reply outside a pause raises
        the concurrency limit by one and ends the limit on batches, except for a
        WARM leaf whose cold concurrency limit equals its slots.
        """
        del now
        if self._state in (State.WARM, State.WARMING):
            self._concurrency_limit = self._cold_limit()
            self._is_batch_size_limited = True

    def _on_lost(self, now: float) -> None:
        if self._is_slowdown_accepted:
            # The slow replies may have come from a long cold start, and the
            # leaf may have crashed because it was given the load of a warm one.
            self._is_slowdown_accepted = False
            self._warm_estimate.clear()
        self._on_cold(now)

    def _on_shed(self, now: float) -> None:
        if self._state in (State.DOWN, State.DRAINING):
            return
        self._state = State.SHEDDING
        self._concurrency_limit = 1
        self._pause(now, SHED_PAUSE_S, MAX_SHED_PAUSE_S)

    def _on_draining(self, now: float) -> None:
        self._state = State.DRAINING
        self._concurrency_limit = 1
        self._pause(now, DRAINING_PAUSE_S, DRAINING_PAUSE_S)

    def _on_unreachable(self, now: float) -> None:
        self._state = State.DOWN
        self._concurrency_limit = 1
        self._pause(now, DOWN_PAUSE_S, MAX_DOWN_PAUSE_S)

    def _on_late(self, now: float) -> None:
        self._consecutive_late += 1
        if self._consecutive_late < MAX_CONSECUTIVE_LATE:
            self._on_cold(now)
        else:
            self._on_unreachable(now)

    def _on_neutral(self, now: float) -> None:
        del now

    def _cold_limit(self) -> int:
        return min(self._limits.cold_concurrency, self._limits.slots)

    def _pause(self, now: float, initial_s: float, max_s: float) -> None:
        if now < self._paused_until:
            return
        self._pause_s = min(max(initial_s, self._pause_s * 2), max_s)
        self._paused_until = now + self._pause_s


_HANDLERS: dict[CallOutcome, Callable[[Window, float], None]] = {
    CallOutcome.GOOD: Window._on_good,
    CallOutcome.COLD: Window._on_cold,
    CallOutcome.SHED: Window._on_shed,
    CallOutcome.DRAINING: Window._on_draining,
    CallOutcome.LOST: Window._on_lost,
    CallOutcome.SLOWER: Window._on_slower,
    CallOutcome.UNREACHABLE: Window._on_unreachable,
    CallOutcome.LATE: Window._on_late,
    CallOutcome.NEUTRAL: Window._on_neutral,
}
