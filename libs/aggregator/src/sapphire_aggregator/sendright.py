"""Check of the send right of a leaf before each request."""

from __future__ import annotations

from typing import Protocol

import trio
from sapphire_core.errors import LeafDrainingError, LeafTimeoutError

from sapphire_aggregator.errormap import RightLostError

# The leaf's deadline is this much earlier than the end of the send right or the
# deadline of the callers, whichever comes first, so that its reply can still be
# forwarded.
REPLY_MARGIN_S = 0.002
# Without this much time before the end of the send right, a usual reply would
# not arrive in time. A right that lasts until the callers' deadline is enough.
MIN_RIGHT_LEFT_S = 0.02


class Rights(Protocol):
    """Source of the send rights of this member."""

    def right_until(
        self, leaf: str, now: float, failure_domain: str
    ) -> float | None:
        """Returns when the send right ends, or None if it is not held."""
        ...


class SendRight:
    """Permission to send requests to one leaf, with its end.

    Attributes:
        is_out: Whether the leaf was taken out of service.
    """

    def __init__(
        self, rights: Rights, address: str, failure_domain: str
    ) -> None:
        self._rights = rights
        self._address = address
        self._failure_domain = failure_domain
        self.is_out = False

    def until(self, now: float) -> float | None:
        """Returns when the send right ends, or None if it is not held."""
        until = self._rights.right_until(
            self._address, now, self._failure_domain
        )
        return until if until is not None and until > now else None

    def remaining(self, deadline: float) -> float:
        """Returns the maximum seconds for a request that is sent now.

        Raises:
            RightLostError: The send right is not held or ends too soon.
            LeafDrainingError: The leaf was taken out of service.
            LeafTimeoutError: The deadline is too close.
        """
        now = trio.current_time()
        until = self.until(now)
        if until is None or until < min(deadline, now + MIN_RIGHT_LEFT_S):
            raise RightLostError
        if self.is_out:
            raise LeafDrainingError("the leaf is out of service.")
        left = min(deadline, until) - now - REPLY_MARGIN_S
        if left <= 0:
            raise LeafTimeoutError("no time is left before the deadline.")
        return left
