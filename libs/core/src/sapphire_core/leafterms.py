"""What a leaf has asked of its callers; does no I/O.

A leaf may name the rate of requests that it takes from all VMs together. Each
VM keeps to a share of it, so that the shares add up to the limit while members
come and go. A leaf may also ask one VM for a pause. After it, the VM sends one
request at a time until the leaf has answered one.

That a leaf is leaving is recorded with its entry (`sapphire_core.leafset`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from sapphire_core.rendezvous import ranking

# A leaf that names a lower limit, or 0, gets a request now and then, as only
# its answers tell when the limit ends.
MIN_LIMIT_PER_S = 0.1
# Number of VMs that share the lowest limit. One more VM shares it for each
# request a second. More could exceed the limit by sending at the same moment.
MIN_SENDERS = 3
# The VMs without a share send one request in this time, to learn whether the
# limit has ended. The interval grows by the spacing from one such VM to the
# next, so that they do not send together.
TRIAL_INTERVAL_S = 30.0
TRIAL_SPACING_S = 2.0
# A leaf that asks for a longer pause is tried again after this time.
MAX_PAUSE_S = 600.0


@dataclass(frozen=True, slots=True)
class RateShare:
    """A VM's share of a leaf's limit.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests that may be sent at once after a pause.
    """

    rate_per_s: float
    burst: float


UNLIMITED = RateShare(math.inf, math.inf)


def limit_share(
    leaf_id: str,
    limit_per_s: float,
    member: str,
    members: Iterable[str],
    member_count: int,
) -> RateShare:
    """Returns a VM's share of a leaf's limit.

    Args:
        leaf_id: The leaf.
        limit_per_s: Requests a second that the leaf takes from all VMs.
        member: The VM.
        members: The VMs that serve callers, by name.
        member_count: Number by which the limit is divided. It may be larger
            than that of the members, which may be missing for a moment.
    """
    limit_per_s = max(limit_per_s, MIN_LIMIT_PER_S)
    max_senders = int(limit_per_s) + MIN_SENDERS
    position = ranking(leaf_id, {*members, member}).index(member)
    if position >= max_senders:
        spacing_s = (position - max_senders) * TRIAL_SPACING_S
        return RateShare(1.0 / (TRIAL_INTERVAL_S + spacing_s), 1.0)
    senders = max(1, min(member_count, max_senders))
    burst = max(1.0, max_senders / 2 / senders)
    return RateShare(limit_per_s / senders, burst)


@dataclass(slots=True)
class LeafTerms:
    """What one incarnation of a leaf asks for in its answers.

    Attributes:
        limit_per_s: Requests a second that the leaf takes from all VMs
            together; infinity if it names no limit.
        paused_until: Time up to which the leaf wants no request from this VM.
    """

    limit_per_s: float = math.inf
    paused_until: float = -math.inf
    # Whether the leaf has answered no request since the last pause.
    _is_returning: bool = field(default=False, repr=False)
    # Requests that may be sent at once, as of _refilled_at.
    _allowance: float = field(default=0.0, repr=False)
    _refilled_at: float = field(default=0.0, repr=False)
    # Time of the last answer that named a limit.
    _named_at: float = field(default=-math.inf, repr=False)

    @property
    def has_limit(self) -> bool:
        """Whether the leaf limits the requests to it."""
        return math.isfinite(self.limit_per_s)

    def record_limit(self, limit_per_s: float, now: float) -> bool:
        """Records the limit in an answer, infinity if it names none.

        Returns:
            Whether the limit has changed.
        """
        if not self.has_limit:
            # Nothing may be sent at once: requests are still under way.
            self._allowance = 0.0
            self._refilled_at = now
        if math.isfinite(limit_per_s):
            self._named_at = now
        has_changed = limit_per_s != self.limit_per_s
        self.limit_per_s = limit_per_s
        return has_changed

    def record_limit_end(self, answered_at: float) -> bool:
        """Records that the leaf has named no limit to another VM.

        Args:
            answered_at: Time of the answer to that VM.

        Returns:
            Whether the limit has ended: it has not if the leaf has named it to
            this VM since.
        """
        if not self.has_limit or answered_at <= self._named_at:
            return False
        self.limit_per_s = math.inf
        return True

    def record_pause(self, pause_s: float, now: float) -> None:
        """Records that the leaf has turned a request away for a time."""
        until = now + min(pause_s, MAX_PAUSE_S)
        self.paused_until = max(self.paused_until, until)
        self._is_returning = True

    def record_answer(self, now: float) -> None:
        """Records that the leaf has run a request."""
        if now >= self.paused_until:
            self._is_returning = False

    def room_at(self, share: RateShare, now: float) -> float:
        """Returns the time from which the leaf may get a request."""
        start = max(now, self.paused_until)
        if not self.has_limit:
            return start
        missing = 1.0 - self._refill(share, now)
        return max(start, now + missing / share.rate_per_s)

    def may_send(self, share: RateShare, is_idle: bool, now: float) -> bool:
        """Returns whether the leaf may get a request now.

        Args:
            share: This VM's share of the leaf's limit.
            is_idle: Whether this VM has no request at the leaf.
            now: Present time.
        """
        if now < self.paused_until or (self._is_returning and not is_idle):
            return False
        return not self.has_limit or self._refill(share, now) >= 1.0

    def record_sent(self, share: RateShare, now: float) -> None:
        """Records a request to the leaf."""
        if self.has_limit:
            self._allowance = self._refill(share, now) - 1.0

    def _refill(self, share: RateShare, now: float) -> float:
        refill = max(0.0, now - self._refilled_at) * share.rate_per_s
        self._allowance = min(share.burst, self._allowance + refill)
        self._refilled_at = now
        return self._allowance
