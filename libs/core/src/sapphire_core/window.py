"""Limits of one leaf: how much may be sent to it now.

The window receives evidence (how calls ended) and the time, and answers how
many more requests may start and how many queries each may carry.
"""

from __future__ import annotations

import enum
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass

# A reply that takes longer than this many times the expected time makes a
# warm leaf cold.
SLOW_FACTOR = 5.0
# A cold leaf counts as warm only when its replies are about as fast as those
# of a warm one; a cold leaf may well answer within SLOW_FACTOR.
GOOD_FACTOR = 2.0
# A leaf that stays slow over this many replies and this long is not warming
# up, it has become slower for good, and its own time is taken as the expected
# one. A cold leaf answers 40 requests within 3 s, so the number alone does not
# tell a long cold start from a slower leaf.
PATIENCE_REPLIES = 40
PATIENCE_S = 120.0
# Below these times the scheduling of this process decides, not the leaf.
MIN_OVERDUE_S = 0.01
MIN_GOOD_S = 0.002
SHED_PAUSE_S = 0.05
MAX_SHED_PAUSE_S = 1.0
DOWN_PAUSE_S = 0.25
MAX_DOWN_PAUSE_S = 4.0
# A leaf that has answered "draining" and still runs after this time may have
# been put back; one request then finds out.
DRAINING_PAUSE_S = 15.0
# A leaf that accepts connections but never answers counts as down after this
# many overdue requests.
MAX_LATE_IN_A_ROW = 3
_LEARN_RATE = 0.2
# Delays of this machine only lengthen the measured times, so the expected
# time of a warm leaf rises more slowly than it falls. An average would bring
# it so close to the time of a cold leaf that the two can't be told apart.
_RISE_RATE = 0.02


class State(enum.IntEnum):
    """State of a leaf; the numbers equal those of the wire format."""

    DOWN = 0
    COLD = 1
    WARMING = 2
    WARM = 3
    SHEDDING = 4
    DRAINING = 5


class CallOutcome(enum.Enum):
    """How a call to the leaf ended."""

    GOOD = "good"
    # A reply of a warm leaf that is neither as fast as usual nor overdue.
    SLOWER = "slower"
    COLD = "cold"
    SHED = "shed"
    DRAINING = "draining"
    LOST = "lost"
    UNREACHABLE = "unreachable"
    LATE = "late"
    # The call says nothing about the leaf's capacity: cancelled, refused
    # before the send, version gone.
    NEUTRAL = "neutral"


@dataclass(frozen=True, slots=True)
class LeafLimits:
    """Limits of a leaf, from the deployment document."""

    slots: int = 2
    max_batch: int = 64
    cold_concurrency: int = 1
    cold_batch: int = 4
    multi_search: bool = True
    # Taken as the time of a warm leaf until a warm one has answered.
    expected_s: float = 0.01


class Estimate:
    """Expected reply time by batch size, learned from replies."""

    def __init__(self) -> None:
        self._by_bucket: dict[int, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing was learned."""
        return not self._by_bucket

    def knows(self, queries: int) -> bool:
        """Returns whether a batch of about this size was seen."""
        return queries.bit_length() in self._by_bucket

    def expected_s(self, queries: int) -> float | None:
        """Returns the expected seconds for a batch; None if unknown.

        A batch larger than any seen is expected to cost at most
        proportionally more than the largest one seen.
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

    def forget(self) -> None:
        """Discards what was learned."""
        self._by_bucket.clear()

    def learn(
        self, queries: int, elapsed_s: float, rise_rate: float = _LEARN_RATE
    ) -> None:
        """Moves the estimate for batches of this size.

        Args:
            queries: Number of queries in the batch.
            elapsed_s: Seconds until its reply.
            rise_rate: Share of the difference by which the estimate rises.
        """
        bucket = queries.bit_length()
        known = self._by_bucket.get(bucket)
        if known is None:
            self._by_bucket[bucket] = elapsed_s
        else:
            rate = rise_rate if elapsed_s > known else _LEARN_RATE
            self._by_bucket[bucket] = known + rate * (elapsed_s - known)


@dataclass(slots=True)
class _Running:
    started: float
    queries: int
    given_up_at: float | None = None


class Window:
    """The state and limits of one leaf.

    All times are seconds of one monotonic clock.

    Attributes:
        slack_s: Seconds by which this process itself may have delayed the
            measured times. They never make a leaf cold, but they make no
            slow reply a good one either, and are never learned.
    """

    def __init__(
        self, limits: LeafLimits, prior: Estimate | None = None
    ) -> None:
        """Starts cold with one request.

        Args:
            limits: Limits of the leaf.
            prior: Estimate over the warm leaves of the service; also learns.
        """
        self._limits = limits
        self._prior = prior or Estimate()
        self._warm_estimate = Estimate()
        self._recent = Estimate()
        self._slow_in_a_row = 0
        self._slow_since = math.inf
        # Whether the expected time was taken from a leaf that stayed slow.
        self._is_adopted = False
        # Whether the last judged reply of the warm leaf was slower than usual.
        self._is_suspect = False
        self.slack_s = 0.0
        self._state = State.COLD
        self._limit = 1
        self._paused_until = -math.inf
        self._pause_s = 0.0
        self._late_in_a_row = 0
        self._running: dict[int, _Running] = {}
        self._tokens = itertools.count()

    @property
    def state(self) -> State:
        """State after the last evidence."""
        return self._state

    @property
    def limits(self) -> LeafLimits:
        """Limits of the leaf."""
        return self._limits

    @property
    def running(self) -> int:
        """Requests that run on the leaf."""
        return len(self._running)

    @property
    def paused_until(self) -> float:
        """Time before which nothing may be sent; -inf without a pause."""
        return self._paused_until

    def set_limits(self, limits: LeafLimits) -> None:
        """Adopts new limits; running requests are kept."""
        self._limits = limits
        self._limit = min(self._limit, limits.slots)

    def reset(self) -> None:
        """Treats the leaf as unknown: cold, with one request."""
        self._state = State.COLD
        self._limit = 1
        self._paused_until = -math.inf
        self._pause_s = 0.0

    def expected_s(self, queries: int) -> float:
        """Returns the expected seconds for a batch, the leaf being as it is."""
        recent = self._recent.expected_s(queries)
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
            most = self._limits.max_batch
            return self._known_queries(most) if self._is_suspect else most
        return self._known_queries(
            min(self._limits.cold_batch, self._limits.max_batch)
        )

    def overdue_at(self) -> float:
        """Returns when the oldest running request is overdue, or inf."""
        return min(
            (
                run.started + self._overdue_s(run.queries)
                for run in self._running.values()
                if run.queries and run.given_up_at is None
            ),
            default=math.inf,
        )

    def start(self, now: float, queries: int) -> int:
        """Records the start of a request and returns its token.

        A request with no queries is a submission; it occupies a slot, but its
        time is not compared with that of searches.
        """
        token = next(self._tokens)
        self._running[token] = _Running(now, queries)
        return token

    def sent(self, token: int, now: float) -> None:
        """Records that the request left now; the leaf's time starts here."""
        self._running[token].started = now

    def given_up(self, token: int, now: float) -> None:
        """Records that the reply is no longer waited for.

        The leaf may work on, so that the request keeps its slot until finish.
        """
        self._running[token].given_up_at = now

    def finish(self, token: int, now: float, evidence: CallOutcome) -> None:
        """Records how a request ended."""
        run = self._running.pop(token)
        if not run.queries:
            good = evidence is CallOutcome.GOOD
            self.observe(CallOutcome.NEUTRAL if good else evidence, now)
            return
        ended = now if run.given_up_at is None else run.given_up_at
        elapsed = ended - run.started
        slow = elapsed > self._overdue_s(run.queries)
        if evidence is CallOutcome.GOOD:
            self._recent.learn(run.queries, elapsed)
            evidence = self._judge_time(run.queries, elapsed, slow, now)
        elif evidence is CallOutcome.LATE:
            self._recent.learn(run.queries, elapsed)
            if not slow:
                # The caller's deadline was short, the leaf was not slow.
                evidence = CallOutcome.NEUTRAL
        elif evidence is CallOutcome.NEUTRAL and slow:
            evidence = CallOutcome.COLD
        self.observe(evidence, now)

    def _judge_time(
        self, queries: int, elapsed: float, slow: bool, now: float
    ) -> CallOutcome:
        """Returns the evidence of a whole reply that took some time."""
        good_s = max(MIN_GOOD_S, GOOD_FACTOR * self._warm_s(queries))
        if elapsed <= good_s:
            self._slow_in_a_row = 0
            self._slow_since = math.inf
            self._learn_warm(queries, elapsed)
            return CallOutcome.GOOD
        self._slow_in_a_row += 1
        self._slow_since = min(self._slow_since, now)
        if (
            self._slow_in_a_row >= PATIENCE_REPLIES
            and now - self._slow_since >= PATIENCE_S
        ):
            self._slow_in_a_row = 0
            self._slow_since = math.inf
            self._warm_estimate.forget()
            self._warm_estimate.learn(queries, elapsed)
            self._is_adopted = True
            return CallOutcome.GOOD
        is_warm = self._state in (State.WARM, State.WARMING)
        return CallOutcome.SLOWER if is_warm and not slow else CallOutcome.COLD

    def _learn_warm(self, queries: int, elapsed: float) -> None:
        # What this process may have added must not raise the estimate.
        known_s = self._warm_s(queries)
        if elapsed > known_s:
            elapsed = max(known_s, elapsed - self.slack_s)
        self._warm_estimate.learn(queries, elapsed, _RISE_RATE)
        if not self._is_adopted:
            self._prior.learn(queries, elapsed, _RISE_RATE)

    def observe(self, evidence: CallOutcome, now: float) -> None:
        """Applies evidence that does not end a counted request."""
        if evidence not in (CallOutcome.LATE, CallOutcome.NEUTRAL):
            self._late_in_a_row = 0
        _ACTIONS[evidence](self, now)

    def reachable(self, now: float) -> None:
        """Records that the leaf answers, though not to a search.

        This says nothing about warmth: a leaf that was down, or that has not
        refused anything for a while since it drained, is cold.
        """
        if self._state is State.DOWN:
            self._late_in_a_row = 0
            self.reset()
        if self._state is State.DRAINING and now >= self._paused_until:
            self.reset()

    def _current_limit(self) -> int:
        cold = min(self._limits.cold_concurrency, self._limits.slots)
        if self._state is State.COLD:
            return min(self._limit, cold)
        if self._state is State.DOWN:
            return 0
        return self._limit

    def _known_queries(self, most: int) -> int:
        """Returns the greatest size up to most whose time is known.

        The expected time of a size never seen is only an upper bound, within
        which a cold leaf may answer; such a reply would not show warmth.
        """
        if self._warm_estimate.is_empty and self._prior.is_empty:
            return most
        while most > 1 and not (
            self._warm_estimate.knows(most) or self._prior.knows(most)
        ):
            most -= 1
        return most

    def _warm_s(self, queries: int) -> float:
        """Returns the expected seconds for a batch on the warm leaf."""
        if not self._warm_estimate.knows(queries):
            known = self._prior.expected_s(queries)
            if known is not None and self._prior.knows(queries):
                return known
        own = self._warm_estimate.expected_s(queries)
        if own is not None:
            return own
        prior = self._prior.expected_s(queries)
        return self._limits.expected_s if prior is None else prior

    def _overdue_s(self, queries: int) -> float:
        slow_s = SLOW_FACTOR * self._warm_s(queries)
        return max(MIN_OVERDUE_S, slow_s) + self.slack_s

    def _check_overdue(self, now: float) -> None:
        if self._state in (State.WARM, State.WARMING) and (
            now > self.overdue_at()
        ):
            self._on_cold(now)

    def _on_good(self, now: float) -> None:
        if self._state is State.WARM and self._limit == self._limits.slots:
            return
        if now < self._paused_until:
            # The request was sent before the leaf refused another one.
            return
        self._paused_until = -math.inf
        self._pause_s = 0.0
        self._is_suspect = False
        self._limit = min(self._limit + 1, self._limits.slots)
        full = self._limit == self._limits.slots
        self._state = State.WARM if full else State.WARMING

    def _on_cold(self, now: float) -> None:
        del now
        if self._state in (State.DOWN, State.DRAINING):
            return
        self._state = State.COLD
        self._limit = self._cold_limit()

    def _on_slower(self, now: float) -> None:
        """Sends as to a cold leaf until the next good reply decides."""
        del now
        if self._state in (State.WARM, State.WARMING):
            self._limit = self._cold_limit()
            self._is_suspect = True

    def _on_lost(self, now: float) -> None:
        if self._is_adopted:
            # The leaf may have fallen over because it was cold all the time.
            self._is_adopted = False
            self._warm_estimate.forget()
        self._on_cold(now)

    def _on_shed(self, now: float) -> None:
        if self._state in (State.DOWN, State.DRAINING):
            return
        self._state = State.SHEDDING
        self._limit = 1
        self._pause(now, SHED_PAUSE_S, MAX_SHED_PAUSE_S)

    def _on_draining(self, now: float) -> None:
        self._state = State.DRAINING
        self._limit = 1
        self._pause(now, DRAINING_PAUSE_S, DRAINING_PAUSE_S)

    def _on_unreachable(self, now: float) -> None:
        self._state = State.DOWN
        self._limit = 1
        self._pause(now, DOWN_PAUSE_S, MAX_DOWN_PAUSE_S)

    def _on_late(self, now: float) -> None:
        self._late_in_a_row += 1
        if self._late_in_a_row < MAX_LATE_IN_A_ROW:
            self._on_cold(now)
        else:
            self._on_unreachable(now)

    def _on_neutral(self, now: float) -> None:
        del now

    def _cold_limit(self) -> int:
        return min(self._limits.cold_concurrency, self._limits.slots)

    def _pause(self, now: float, first_s: float, most_s: float) -> None:
        if now < self._paused_until:
            return
        self._pause_s = min(max(first_s, self._pause_s * 2), most_s)
        self._paused_until = now + self._pause_s


_ACTIONS: dict[CallOutcome, Callable[[Window, float], None]] = {
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
