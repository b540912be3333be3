"""The right to send to one leaf, checked before each send."""

from __future__ import annotations

from typing import Protocol

import trio
from sapphire_core.errors import LeafDrainingError, LeafLateError

from sapphire_aggregator.errormap import RightLostError

# The leaf's deadline ends this much before the send right and the callers'
# deadlines, so that its answer can still be received and sent on.
REPLY_MARGIN_S = 0.002
# A right that ends sooner than this leaves no time for a usual reply.
MIN_RIGHT_LEFT_S = 0.02


class Rights(Protocol):
    """Tells until when this member holds the send right of a leaf."""

    def right_until(
        self, leaf: str, now: float, failure_domain: str
    ) -> float | None:
        """Returns the time at which the right ends; None without it."""
        ...


class SendRight:
    """Whether and how long requests may be sent to one leaf.

    Attributes:
        is_out: The leaf was taken out of service.
    """

    def __init__(
        self, rights: Rights, address: str, failure_domain: str
    ) -> None:
        self._rights = rights
        self._address = address
        self._failure_domain = failure_domain
        self.is_out = False

    def until(self, now: float) -> float | None:
        """Returns the time at which the right ends; None without it."""
        until = self._rights.right_until(
            self._address, now, self._failure_domain
        )
        return until if until is not None and until > now else None

    def remaining(self, deadline: float) -> float:
        """Returns the seconds that a request sent now may run.

        Raises:
            RightLostError: The send right is not held.
            LeafDrainingError: The leaf was taken out of service.
            LeafLateError: No time is left.
        """
        now = trio.current_time()
        until = self.until(now)
        if until is None or until < min(deadline, now + MIN_RIGHT_LEFT_S):
            raise RightLostError
        if self.is_out:
            raise LeafDrainingError("the leaf is out of service.")
        left = min(deadline, until) - now - REPLY_MARGIN_S
        if left <= 0:
            raise LeafLateError("no time is left.")
        return left
