"""Rate of requests to a cold leaf, divided between the VMs."""

from __future__ import annotations

from collections.abc import Iterable

from sapphire_core.rendezvous import ranking

# Only this many VMs send to a cold leaf, so that their first requests
# together stay below the number that it tolerates beyond its rate.
SENDERS = 3


class ColdLeafLimiter:
    """Spaces this VM's requests to each cold leaf."""

    def __init__(self, member: str) -> None:
        """Starts with no request sent.

        Args:
            member: Name of this VM among the members.
        """
        self._member = member
        self._members: tuple[str, ...] = (member,)
        self._next: dict[str, float] = {}

    def set_members(self, members: Iterable[str]) -> None:
        """Sets the names of all VMs that may send."""
        self._members = tuple(sorted({*members, self._member}))

    def may_send(self, leaf_id: str, rate: float, now: float) -> bool:
        """Returns whether a request to the cold leaf keeps its rate.

        Args:
            leaf_id: The cold leaf.
            rate: Requests per second that it handles from all VMs.
            now: Present time in seconds.
        """
        senders = ranking(leaf_id, self._members)[:SENDERS]
        if self._member not in senders:
            return False
        return rate > 0 and now >= self._next.get(leaf_id, 0.0)

    def sent(self, leaf_id: str, rate: float, now: float) -> None:
        """Counts a request to the cold leaf."""
        senders = min(SENDERS, len(self._members))
        self._next[leaf_id] = now + senders / rate

    def forget(self, leaf_id: str) -> None:
        """Drops the state of a leaf that is warm or gone."""
        self._next.pop(leaf_id, None)
