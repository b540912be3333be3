"""Choice of the leaf that gets a call, from what earlier calls have shown."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

# Weight of a new sample in the slowness of a leaf.
SLOWNESS_WEIGHT = 0.3
# A leaf that gets no calls is taken to be as fast as the others again after
# about this time, so that a former straggler gets a chance.
SLOWNESS_MEMORY_S = 3.0
MAX_SLOWNESS = 30.0
# One reply counts at most as this multiple of the present slowness, so that
# a single pause doesn't make a straggler, while a row of slow replies does.
LARGEST_STEP = 2.5
# A failed call counts like this much slowness, as a failure is repeated.
FAILURE_SLOWNESS = 8.0
# What a leaf reports of other callers' requests holds for about this time.
REPORT_MEMORY_S = 0.2
# A leaf in another failure domain is charged this part of the time that the
# whole request has: a reply that comes in time from near is worth more than
# an earlier one from far.
FAR_PART = 0.12
# A cold leaf is slower than a warm one by about this factor.
COLD_FACTOR = 2.0
# A leaf that can't be reached is tried again after this time, doubled at each
# failure up to the longest.
FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 2.0


@dataclass(slots=True)
class LeafLoad:
    """What this VM knows about the load and speed of one leaf.

    Attributes:
        slots: Requests that the leaf runs concurrently.
        waiting: Send times of the calls without a reply, oldest first.
        slowness: Reply time as a multiple of the expected one.
    """

    slots: int
    waiting: dict[int, float] = field(default_factory=dict)
    slowness: float = 1.0
    slowness_at: float = 0.0
    others: float = 0.0
    others_at: float = 0.0
    down_until: float = 0.0
    down_backoff_s: float = 0.0

    def sent(self, call: int, now: float) -> None:
        """Counts a call that was sent."""
        self.waiting[call] = now

    def replied(
        self, call: int, elapsed_s: float, expected_s: float, now: float
    ) -> None:
        """Counts a good reply."""
        self.waiting.pop(call, None)
        self.down_backoff_s = 0.0
        self.down_until = 0.0
        self._sample(elapsed_s / expected_s, now)

    def failed(self, call: int, now: float) -> None:
        """Counts a call that ended without a good reply."""
        self.waiting.pop(call, None)
        self._sample(FAILURE_SLOWNESS, now)

    def unreachable(self, now: float) -> None:
        """Notes that the leaf refuses connections or is silent."""
        self.down_backoff_s = min(
            LONGEST_RETRY_S, max(FIRST_RETRY_S, 2 * self.down_backoff_s)
        )
        self.down_until = now + self.down_backoff_s

    def reported(self, running: int, queued: int, now: float) -> None:
        """Takes the load that the leaf reports, own calls included."""
        self.others = max(0.0, running + queued - len(self.waiting) - 1)
        self.others_at = now

    def is_down(self, now: float) -> bool:
        """Returns whether the leaf should not be tried yet."""
        return now < self.down_until

    def slowness_now(self, now: float) -> float:
        """Returns the slowness, which fades without samples."""
        age = max(0.0, now - self.slowness_at)
        return 1.0 + (self.slowness - 1.0) * math.exp(-age / SLOWNESS_MEMORY_S)

    def overdue_s(self, expected_s: float, now: float) -> float:
        """Returns how long the oldest call has been waiting beyond its time.

        A paused leaf answers nothing; the longer it has been silent, the
        longer the rest of its pause is expected to be.
        """
        if not self.waiting:
            return 0.0
        oldest = next(iter(self.waiting.values()))
        usual = 2.0 * expected_s * self.slowness_now(now)
        return max(0.0, now - oldest - usual)

    def _sample(self, ratio: float, now: float) -> None:
        before = self.slowness_now(now)
        ratio = min(ratio, MAX_SLOWNESS, LARGEST_STEP * max(1.0, before))
        self.slowness = before + SLOWNESS_WEIGHT * (ratio - before)
        self.slowness_at = now


@dataclass(slots=True)
class Candidate:
    """A leaf that may get a call, as seen at the time of the choice.

    Attributes:
        load: What is known about the leaf.
        is_near: It is in this VM's failure domain.
        is_cold: It is warming up.
        connect_s: Time to open a connection, or 0 if one is free.
    """

    load: LeafLoad
    is_near: bool
    is_cold: bool
    connect_s: float


@dataclass(frozen=True, slots=True)
class CallProfile:
    """What a call needs of its leaf.

    Attributes:
        expected_s: Median reply time of such calls.
        target_s: Time that the whole request has.
    """

    expected_s: float
    target_s: float


@dataclass(slots=True)
class Estimate:
    """Expected reply of a leaf.

    Attributes:
        time_s: Expected reply time, queueing included.
        cost_s: The same with a charge for distance.
        is_queued: The call would wait for a slot.
    """

    time_s: float
    cost_s: float
    is_queued: bool


def estimate(prospect: Candidate, needs: CallProfile, now: float) -> Estimate:
    """Returns what to expect of a leaf.

    Args:
        prospect: The leaf.
        needs: What the call needs.
        now: Present time in seconds.
    """
    load = prospect.load
    ahead = float(len(load.waiting))
    if load.others:
        age_s = max(0.0, now - load.others_at)
        ahead += load.others * math.exp(-age_s / REPORT_MEMORY_S)
    run_s = needs.expected_s * load.slowness_now(now)
    if prospect.is_cold:
        run_s *= COLD_FACTOR
    time_s = run_s + prospect.connect_s
    if ahead + 1.0 > load.slots:
        time_s += run_s * ((ahead + 1.0) / load.slots - 1.0)
    if load.waiting:
        time_s += load.overdue_s(needs.expected_s, now)
    charge_s = 0.0 if prospect.is_near else FAR_PART * needs.target_s
    return Estimate(time_s, time_s + charge_s, ahead >= load.slots)


def choose_leaf(
    prospects: list[Candidate], needs: CallProfile, now: float
) -> tuple[int, Estimate]:
    """Returns the index of the best prospect and its estimate.

    Leaves that can't be reached are taken only if there is no other; the one
    to be tried next leads them.
    """
    reachable = [
        index
        for index, prospect in enumerate(prospects)
        if now >= prospect.load.down_until
    ]
    if not reachable:
        loads = [prospect.load.down_until for prospect in prospects]
        first = loads.index(min(loads))
        return first, estimate(prospects[first], needs, now)
    estimates = [(estimate(prospects[i], needs, now), i) for i in reachable]
    lowest, chosen = min(estimates, key=_cost_s)
    return chosen, lowest


def _cost_s(item: tuple[Estimate, int]) -> float:
    return item[0].cost_s
