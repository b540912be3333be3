"""Rate limit for requests to a cold leaf, divided between the VMs."""

from __future__ import annotations

from collections.abc import Iterable

from sapphire_core.rendezvous import ranking

# Maximum number of VMs that send to a cold leaf. It keeps their simultaneous
# first requests below the burst that the leaf tolerates beyond its rate.
MAX_SENDERS = 3


class ColdLeafLimiter:
    """Limits the rate of this VM's requests to each cold leaf."""

    def __init__(self, member: str) -> None:
        """Starts with this VM as the only member.

        Args:
            member: Name of this VM among the members.
        """
        self._member = member
        self._members: tuple[str, ...] = (member,)
        self._next_send_at: dict[str, float] = {}

    def set_members(self, members: Iterable[str]) -> None:
        """Sets the names of the VMs that may send; this VM if there are none.

        They should be those that get requests: a share of the rate that a
        spare VM has is lost.
        """
        self._members = tuple(sorted(members)) or (self._member,)

    def may_send(self, leaf_id: str, rate: float, now: float) -> bool:
        """Returns whether a request to the cold leaf is within its rate.

        Args:
            leaf_id: The cold leaf.
            rate: Requests per second that it can handle from all VMs.
            now: Present time in seconds.
        """
        senders = ranking(leaf_id, self._members)[:MAX_SENDERS]
        if self._member not in senders:
            return False
        return rate > 0 and now >= self._next_send_at.get(leaf_id, 0.0)

    def record_sent(self, leaf_id: str, rate: float, now: float) -> None:
        """Records a request to the cold leaf."""
        senders = min(MAX_SENDERS, len(self._members))
        self._next_send_at[leaf_id] = now + senders / rate

    def forget(self, leaf_id: str) -> None:
        """Removes the state of a leaf that is warm or gone."""
        self._next_send_at.pop(leaf_id, None)
