"""Early refusal of requests that could only be late.

Load pattern: more requests arrive than the leaves can run, for example four
times the usual ones for some seconds. Without refusal every request waits in
a full queue, none is on time, and callers repeat them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sapphire_core.choice import Estimate

# A request of the next lower priority is refused when it would need more than
# this part of the time, so that room is left for more urgent ones.
PATIENCE_PER_PRIORITY = 0.75
# Bounds of the time after which a refused caller should come back.
EARLIEST_RETURN_S = 0.05
LATEST_RETURN_S = 1.0


@dataclass(frozen=True, slots=True)
class Forecast:
    """What a request would need if it were started now.

    Attributes:
        needed_s: Expected time until enough parts are in.
        allowed_s: Time in which it should be answered.
        is_queued: It can't be answered without waiting for slots. Leaves that
            are only slow are no reason to refuse: a late answer is worth more
            than none, and holds up no other request.
    """

    needed_s: float
    allowed_s: float
    is_queued: bool

    @property
    def is_refused(self) -> bool:
        """Whether the answer would be too late because of the load."""
        return self.is_queued and self.needed_s > self.allowed_s

    def retry_after_s(self, spread: float) -> float:
        """Returns when a refused caller should come back.

        The queues are expected to be short enough after the excess; returns
        are spread so that not all callers come back at once.

        Args:
            spread: Random number between 0 and 1.
        """
        excess = (self.needed_s - self.allowed_s) * (1.0 + spread)
        return min(LATEST_RETURN_S, max(EARLIEST_RETURN_S, excess))


def forecast(
    parts: Sequence[Estimate],
    least: int,
    time_left_s: float,
    priority_steps: int,
) -> Forecast:
    """Estimates whether a request can be answered in time.

    Args:
        parts: What to expect of each part at its best leaf.
        least: Parts that make an answer, at most the number of estimates.
        time_left_s: Time until the answer has to leave.
        priority_steps: Number of priorities that are more urgent.
    """
    needed_s = sorted(part.time_s for part in parts)[least - 1]
    without_queue = sum(not part.is_queued for part in parts)
    patience = PATIENCE_PER_PRIORITY**priority_steps
    return Forecast(needed_s, time_left_s * patience, without_queue < least)
