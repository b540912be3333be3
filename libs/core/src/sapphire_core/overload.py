"""Load shedding: early refusal of requests that would be answered too late.

During overload, for example four times the usual load for some seconds, more
requests arrive than the leaves can run. Without refusal every request would
wait in a full queue, none would be answered in time, and callers would retry
them.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sapphire_core.choice import Estimate

# Factor on the allowed time for each step to a lower priority. It leaves
# capacity for requests of higher priority.
TIME_SHARE_PER_PRIORITY = 0.75
# Bounds of the time after which a refused caller should retry.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Forecast:
    """Expected time of a request if it were started now.

    Attributes:
        needed_s: Expected time until enough parts are answered.
        allowed_s: Time within which the request should be answered.
        is_queued: Whether it has to wait until leaves have run other requests.
            Slow leaves alone are no reason to refuse a request: a late answer
            is better than none, and delays no other request.
    """

    needed_s: float
    allowed_s: float
    is_queued: bool

    @property
    def is_refused(self) -> bool:
        """Whether the answer would be too late because of overload."""
        return self.is_queued and self.needed_s > self.allowed_s

    def retry_after_s(self, jitter: float) -> float:
        """Returns the time after which a refused caller should retry.

        After the excess time the queues are expected to be short enough. The
        jitter keeps callers from retrying all at once.

        Args:
            jitter: Random number between 0 and 1.
        """
        excess = (self.needed_s - self.allowed_s) * (1.0 + jitter)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess))


def forecast(
    parts: Sequence[Estimate],
    min_parts: int,
    time_left_s: float,
    priority_steps: int,
) -> Forecast:
    """Estimates whether a request can be answered in time.

    Args:
        parts: Estimate of each part at its best leaf.
        min_parts: Minimum number of parts for an answer, at most the number of
            estimates.
        time_left_s: Time until the answer has to be sent.
        priority_steps: Number of configured priorities that are higher.
    """
    needed_s = sorted(part.time_s for part in parts)[min_parts - 1]
    unqueued_parts = sum(not part.is_queued for part in parts)
    time_share = TIME_SHARE_PER_PRIORITY**priority_steps
    return Forecast(
        needed_s, time_left_s * time_share, unqueued_parts < min_parts
    )
