"""Changes of a cell's roster, decided from what a member has observed."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from sapphire_core.rights import GRANT_VALIDITY_S, GUARD_S, Roster

# Time for which a majority must have fenced a member before it is removed,
# in seconds. Restarts and most partitions end earlier.
REMOVE_AFTER_S = 30.0

# Time for which a member must have been neither heard nor listed before its
# VM counts as gone although nobody saw it listed, in seconds. The VM list
# lags by less, so that a VM that exists is listed earlier.
UNLISTED_TIMEOUT_S = 60.0

# A cell has 7 to 9 members; a joiner waits while the cell is full.
MAX_MEMBERS = 9


@dataclass(frozen=True)
class Absence:
    """VMs that no longer exist, and the time until which this is known."""

    members: frozenset[str]
    until: float


class VmPresence:
    """Tells VMs that no longer exist from VMs that are not listed yet.

    The VM list lags: a VM that exists may be missing from it, but a VM that
    was listed and is missing from a later answer no longer exists. Nor does
    one that is missing for longer than the list lags: after the replacement
    of a whole fleet, nobody alive may have seen its predecessors listed.
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
        """Records an answer of the VM list, live and leaving VMs together.

        Args:
            vms: Members on the VMs that the answer contains.
            asked_at: The time at which the list was asked for.
            now: The time of receipt.
            expected: Members of the roster, listed or not; empty if the
                answer is no evidence of what is missing.
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
        """Records a message from a member, which therefore exists.

        It counts as absent again only after it was listed and missing anew,
        so that a replacement at the same address that is not listed yet
        isn't taken for its predecessor.
        """
        self._missing_since.pop(member, None)
        self._unlisted_since.pop(member, None)
        self._seen.discard(member)

    def absence(self, now: float) -> Absence:
        """Returns the VMs that are gone and the validity of this.

        Those seen in the list before are gone when missing for GUARD_S, the
        others when missing for UNLISTED_TIMEOUT_S.

        The delay lets the grants and fence reports of the VM expire. The
        knowledge expires as a grant does, since a replacement at the same
        address grants nobody for GUARD_S.
        """
        until = self._asked_at + GRANT_VALIDITY_S
        if now >= until:
            return Absence(frozenset(), until)
        gone = _older(self._missing_since, now - GUARD_S)
        gone |= _older(self._unlisted_since, now - UNLISTED_TIMEOUT_S)
        return Absence(gone, until)


def _older(since: Mapping[str, float], limit: float) -> frozenset[str]:
    return frozenset(m for m, at in since.items() if at <= limit)


def track_fenced(
    fenced_since: Mapping[str, float], fenced: Collection[str], now: float
) -> dict[str, float]:
    """Returns since when each member has been fenced without a break."""
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
    """Returns the roster to write by compare-and-swap, if any.

    Args:
        member: The member that decides.
        roster: The roster in force; None if the platform has none.
        may_change: Result of `RightsLedger.may_change_roster`.
        fenced_since: Result of `track_fenced`.
        absent: Members whose VMs no longer exist.
        joiners: Aggregators outside the roster that ping this member, are in
            service and have not released, with their failure domains.
        now: The current time.
        failure_domain: Failure domain of the member that decides.

    Returns:
        A roster that differs in at most one member, or None.
    """
    if roster is None:
        return Roster(1, (member,), (failure_domain,))
    if member not in roster.members:
        # Nobody is left to add a joiner after the whole fleet was replaced.
        is_deserted = all(m in absent for m in roster.members)
        if not is_deserted:
            return None
        return _with(roster, member, failure_domain)
    if not may_change:
        return None
    leaver = _leaver(member, roster, fenced_since, absent, now)
    if leaver is not None:
        rest = tuple(m for m in roster.members if m != leaver)
        return _next(roster, {m: roster.domain_of(m) for m in rest})
    new = sorted(set(joiners) - set(roster.members))
    if new and len(roster.members) < MAX_MEMBERS:
        return _with(roster, new[0], joiners[new[0]])
    return None


def _leaver(
    member: str,
    roster: Roster,
    fenced_since: Mapping[str, float],
    absent: Collection[str],
    now: float,
) -> str | None:
    others = sorted(m for m in roster.members if m != member)
    gone = [m for m in others if m in absent]
    lost = [
        m for m in others if now - fenced_since.get(m, now) >= REMOVE_AFTER_S
    ]
    return next(iter(gone + lost), None)


def _with(roster: Roster, joiner: str, failure_domain: str) -> Roster:
    domains = {m: roster.domain_of(m) for m in roster.members}
    return _next(roster, domains | {joiner: failure_domain})


def _next(roster: Roster, domains: Mapping[str, str]) -> Roster:
    members = tuple(sorted(domains))
    return Roster(
        roster.revision + 1, members, tuple(domains[m] for m in members)
    )
