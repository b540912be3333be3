"""Decides on changes of a cell's roster from a member's observations.

The roster lists the members of a cell. `sapphire_core.rights` explains cells,
members, grants and fence reports.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from sapphire_core.rights import GRANT_VALIDITY_S, GUARD_S, Roster

# Time for which a majority must have reported a member as fenced before it is
# removed, in seconds. It is longer than restarts and most partitions.
REMOVE_AFTER_S = 30.0

# Time for which a member that was never seen in the VM list must have been
# missing from it, without having sent a message, before its VM is treated as
# gone, in seconds. The VM list lags by less than this, so a VM that exists is
# listed earlier.
UNLISTED_TIMEOUT_S = 60.0

# A joining aggregator waits while the cell has this many members. Cells are
# planned with 7 to 9 members, but no minimum is enforced.
MAX_MEMBERS = 9


@dataclass(frozen=True)
class Absence:
    """Members whose VMs no longer exist.

    Attributes:
        members: The members.
        until: The time at which this information expires.
    """

    members: frozenset[str]
    until: float


class VmPresence:
    """Distinguishes VMs that no longer exist from VMs that are not listed yet.

    The VM list lags: a VM that exists may be missing from it, but a VM that
    was listed and is missing from a later answer no longer exists. A VM that
    has been missing for longer than the list lags no longer exists either.
    The second rule covers the replacement of a whole fleet, after which no
    running process may have seen the old VMs in the list.
    """

    def __init__(self) -> None:
        self._seen: set[str] = set()
        self._missing_since: dict[str, float] = {}
        self._unlisted_since: dict[str, float] = {}
        self._asked_at = -math.inf

    def record_list(
        self,
        vms: Iterable[str],
        asked_at: float,
        now: float,
        expected: Collection[str] = (),
    ) -> None:
        """Records an answer of the VM list, with both live and leaving VMs.

        Args:
            vms: Members on the VMs that the answer contains.
            asked_at: The time at which the list was requested.
            now: The time of receipt.
            expected: Members of the roster, listed or not; empty if VMs
                missing from the answer may nevertheless exist.
        """
        listed = set(vms)
        self._unlisted_since = {
            member: self._unlisted_since.get(member, now)
            for member in set(expected) - listed
        }
        for member in listed:
            self._missing_since.pop(member, None)
        for member in self._seen - listed:
            self._missing_since.setdefault(member, now)
        self._seen |= listed
        self._asked_at = asked_at

    def record_message(self, member: str) -> None:
        """Records a message from a member, which proves that its VM exists.

        The member is treated as absent again only after it has been listed
        and then gone missing, or has been missing for another
        UNLISTED_TIMEOUT_S. This keeps a replacement at the same address that
        is not listed yet from being mistaken for the VM that it replaced.
        """
        self._missing_since.pop(member, None)
        self._unlisted_since.pop(member, None)
        self._seen.discard(member)

    def absence(self, now: float) -> Absence:
        """Returns the members whose VMs are gone.

        A member that was in the list before is gone when it has been missing
        for GUARD_S, any other when it has been missing for
        UNLISTED_TIMEOUT_S. The delay lets the grants and fence reports of the
        VM expire.

        The result is valid for GRANT_VALIDITY_S after the request for the
        list, since a replacement at the same address grants nobody for
        GUARD_S.
        """
        until = self._asked_at + GRANT_VALIDITY_S
        if now >= until:
            return Absence(frozenset(), until)
        gone = _missing_before(self._missing_since, now - GUARD_S)
        gone |= _missing_before(self._unlisted_since, now - UNLISTED_TIMEOUT_S)
        return Absence(gone, until)


def _missing_before(
    missing_since: Mapping[str, float], limit: float
) -> frozenset[str]:
    return frozenset(m for m, at in missing_since.items() if at <= limit)


def track_fenced(
    fenced_since: Mapping[str, float], fenced: Collection[str], now: float
) -> dict[str, float]:
    """Returns the time since which each member has been fenced continuously."""
    return {m: fenced_since.get(m, now) for m in fenced}


def next_roster(
    member: str,
    roster: Roster | None,
    *,
    may_change: bool,
    fenced_since: Mapping[str, float],
    absent: Collection[str],
    joiners: Mapping[str, str],
    now: float,
    failure_domain: str = "",
) -> Roster | None:
    """Returns the next roster, to be written by compare-and-swap, if any.

    Args:
        member: The member that calls.
        roster: The current roster; None if the platform has none.
        may_change: Result of `RightsLedger.may_change_roster`.
        fenced_since: Result of `track_fenced`.
        absent: Members whose VMs no longer exist.
        joiners: Failure domains by address of the aggregators outside the
            roster that ping this member, are in service and have not released
            their rights.
        now: The current time.
        failure_domain: Failure domain of the member that calls.

    Returns:
        A roster that differs in at most one member, or None.
    """
    if roster is None:
        return Roster(1, (member,), (failure_domain,))
    if member not in roster.members:
        # After a replacement of the whole fleet, no member is left to add this
        # one, so it adds itself.
        is_abandoned = all(m in absent for m in roster.members)
        if not is_abandoned:
            return None
        return _add_member(roster, member, failure_domain)
    if not may_change:
        return None
    removed = _member_to_remove(member, roster, fenced_since, absent, now)
    if removed is not None:
        rest = tuple(m for m in roster.members if m != removed)
        return _next_revision(roster, {m: roster.domain_of(m) for m in rest})
    new = sorted(set(joiners) - set(roster.members))
    if new and len(roster.members) < MAX_MEMBERS:
        return _add_member(roster, new[0], joiners[new[0]])
    return None


def _member_to_remove(
    member: str,
    roster: Roster,
    fenced_since: Mapping[str, float],
    absent: Collection[str],
    now: float,
) -> str | None:
    others = sorted(m for m in roster.members if m != member)
    gone = [m for m in others if m in absent]
    fenced = [
        m for m in others if now - fenced_since.get(m, now) >= REMOVE_AFTER_S
    ]
    return next(iter(gone + fenced), None)


def _add_member(roster: Roster, joiner: str, failure_domain: str) -> Roster:
    domains = {m: roster.domain_of(m) for m in roster.members}
    return _next_revision(roster, domains | {joiner: failure_domain})


def _next_revision(roster: Roster, domains: Mapping[str, str]) -> Roster:
    members = tuple(sorted(domains))
    return Roster(
        roster.revision + 1, members, tuple(domains[m] for m in members)
    )
