"""Load balancing by the expected latency of each leaf."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Weight of a new sample in the moving average of the slowness.
SLOWNESS_SMOOTHING = 0.3
# Time constant with which the slowness of a leaf returns to 1 without samples,
# so that a former straggler gets calls again.
SLOWNESS_DECAY_S = 3.0
MAX_SLOWNESS = 30.0
# Upper bound of a sample, as a multiple of the present slowness. It keeps a
# single pause from marking a leaf as a straggler, while several slow replies in
# a row still do.
MAX_SLOWNESS_STEP = 2.5
# Sample for a failed call, to cover the time of its retry. The bounds above
# apply to it too: a leaf of slowness 1 gets a sample of MAX_SLOWNESS_STEP.
FAILURE_SLOWNESS = 8.0
# Time constant with which the reported load of other callers decays.
REPORT_DECAY_S = 0.2
# Penalty for a leaf in another failure domain, as a share of the request's
# target time. A leaf of the same domain is preferred unless its reply is
# expected later by more than this: a small gain in time is of no use if both
# replies are in time. Whether they are is not checked.
REMOTE_DOMAIN_PENALTY = 0.12
# Approximate reply time of a cold leaf as a multiple of that of a warm one.
COLD_FACTOR = 2.0
# An unreachable leaf is tried again after the initial back-off, which doubles
# with each failure up to the maximum.
INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0


@dataclass(slots=True)
class LeafLoad:
    """Load and speed of a leaf, as observed by this VM.

    Attributes:
        slots: Number of requests that the leaf runs concurrently.
        waiting: Times at which the calls that have not ended were sent or
            queued for a connection, oldest first.
        slowness: Moving average of the reply time as a multiple of the
            expected one.
        slowness_at: Time of the last slowness sample.
        other_load: Requests of other callers on the leaf, estimated from its
            last load report.
        other_load_at: Time of that report.
        down_until: Time before which the leaf should not be tried.
        down_backoff_s: Present back-off of an unreachable leaf.
    """

    slots: int
    waiting: dict[int, float] = field(default_factory=dict)
    slowness: float = 1.0
    slowness_at: float = 0.0
    other_load: float = 0.0
    other_load_at: float = 0.0
    down_until: float = 0.0
    down_backoff_s: float = 0.0

    def record_call(self, call: int, now: float) -> None:
        """Records a call that is being sent or queued for a connection."""
        self.waiting[call] = now

    def record_reply(
        self, call: int, elapsed_s: float, expected_s: float, now: float
    ) -> None:
        """Records a good reply."""
        self.waiting.pop(call, None)
        self.down_backoff_s = 0.0
        self.down_until = 0.0
        self._sample(elapsed_s / expected_s, now)

    def record_failure(self, call: int, now: float) -> None:
        """Records a call that ended without a good reply."""
        self.waiting.pop(call, None)
        self._sample(FAILURE_SLOWNESS, now)

    def record_unreachable(self, now: float) -> None:
        """Records that the leaf refuses connections or does not respond."""
        self.down_backoff_s = min(
            MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * self.down_backoff_s)
        )
        self.down_until = now + self.down_backoff_s

    def record_load(self, running: int, queued: int, now: float) -> None:
        """Records the load that the leaf reports, which includes own calls.

        The calls in `waiting` are subtracted from it. The call whose reply has
        the report is among them.
        """
        self.other_load = max(0.0, running + queued - len(self.waiting))
        self.other_load_at = now

    def is_down(self, now: float) -> bool:
        """Returns whether the leaf should not be tried yet."""
        return now < self.down_until

    def slowness_now(self, now: float) -> float:
        """Returns the slowness, which decays towards 1 without samples."""
        age = max(0.0, now - self.slowness_at)
        return 1.0 + (self.slowness - 1.0) * math.exp(-age / SLOWNESS_DECAY_S)

    def overdue_s(self, expected_s: float, now: float) -> float:
        """Returns how long the oldest call has been overdue.

        The longer a paused leaf has not replied, the longer the rest of its
        pause is expected to be.
        """
        if not self.waiting:
            return 0.0
        oldest = next(iter(self.waiting.values()))
        usual = 2.0 * expected_s * self.slowness_now(now)
        return max(0.0, now - oldest - usual)

    def _sample(self, ratio: float, now: float) -> None:
        before = self.slowness_now(now)
        ratio = min(ratio, MAX_SLOWNESS, MAX_SLOWNESS_STEP * max(1.0, before))
        self.slowness = before + SLOWNESS_SMOOTHING * (ratio - before)
        self.slowness_at = now


@dataclass(slots=True)
class Candidate:
    """A leaf that may get a call, at the time of the choice.

    Attributes:
        load: Observed load and speed of the leaf.
        is_same_domain: Whether it is in this VM's failure domain.
        is_cold: Whether it is warming up.
        connect_s: Time to open a connection, or 0 if one is free.
    """

    load: LeafLoad
    is_same_domain: bool
    is_cold: bool
    connect_s: float


@dataclass(frozen=True, slots=True)
class CallProfile:
    """Time expectations of a call.

    Attributes:
        expected_s: Median reply time of such calls.
        target_s: Target time of the whole request.
    """

    expected_s: float
    target_s: float


@dataclass(slots=True)
class Estimate:
    """Expected reply time of a leaf.

    Attributes:
        time_s: Expected reply time, including queueing.
        cost_s: Expected reply time plus the penalty for a remote domain.
        is_queued: Whether the call would wait for a slot.
    """

    time_s: float
    cost_s: float
    is_queued: bool


def estimate(
    candidate: Candidate, profile: CallProfile, now: float
) -> Estimate:
    """Returns the expected reply time of a leaf for a call.

    Args:
        candidate: The leaf.
        profile: Time expectations of the call.
        now: Present time in seconds.
    """
    load = candidate.load
    ahead = float(len(load.waiting))
    if load.other_load:
        age_s = max(0.0, now - load.other_load_at)
        ahead += load.other_load * math.exp(-age_s / REPORT_DECAY_S)
    run_s = profile.expected_s * load.slowness_now(now)
    if candidate.is_cold:
        run_s *= COLD_FACTOR
    time_s = run_s + candidate.connect_s
    if ahead + 1.0 > load.slots:
        time_s += run_s * ((ahead + 1.0) / load.slots - 1.0)
    if load.waiting:
        time_s += load.overdue_s(profile.expected_s, now)
    penalty_s = (
        0.0
        if candidate.is_same_domain
        else REMOTE_DOMAIN_PENALTY * profile.target_s
    )
    return Estimate(time_s, time_s + penalty_s, ahead >= load.slots)


def choose_leaf(
    candidates: list[Candidate], profile: CallProfile, now: float
) -> tuple[int, Estimate]:
    """Returns the index of the candidate of lowest cost and its estimate.

    Unreachable leaves are chosen only if there is no other. Among them, the one
    whose back-off ends first is chosen.
    """
    reachable = [
        index
        for index, candidate in enumerate(candidates)
        if now >= candidate.load.down_until
    ]
    if not reachable:
        backoff_ends = [candidate.load.down_until for candidate in candidates]
        first = backoff_ends.index(min(backoff_ends))
        return first, estimate(candidates[first], profile, now)
    estimates = [(estimate(candidates[i], profile, now), i) for i in reachable]
    lowest, chosen = min(estimates, key=_cost_s)
    return chosen, lowest


def _cost_s(item: tuple[Estimate, int]) -> float:
    return item[0].cost_s
