"""Send rights: at most one aggregator sends requests to a leaf.

Section 6.2 of docs/design.md has the protocol. All times are seconds of the
monotonic clock of the process that calls; clocks are never compared.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from sapphire_core import rendezvous

# Interval between two pings to the same member, in seconds.
PING_INTERVAL_S = 0.5

# Validity of a grant or fence report from the sending of its ping, in seconds.
GRANT_VALIDITY_S = 2.0

# Age at which a granter regards its own grant or fence report as expired at
# any holder, in seconds. The 10 % above GRANT_VALIDITY_S cover clocks whose
# rates differ by a factor of up to 1.1, that is about 4.7 % of drift each.
GUARD_S = 2.2

# Silence after which a member may be fenced, in seconds: three lost pings.
FENCE_AFTER_S = 1.5


def majority(count: int) -> int:
    """Returns the smallest number of members that is a majority of count."""
    return count // 2 + 1


@dataclass(frozen=True)
class Roster:
    """The members of a cell; each revision changes at most one of them.

    Attributes:
        revision: Number of the revision.
        members: Addresses of the members.
        domains: Failure domain of each member, in the same order; empty if
            they are not known.
    """

    revision: int
    members: tuple[str, ...]
    domains: tuple[str, ...] = ()

    def domain_of(self, member: str) -> str:
        """Returns the failure domain of a member, empty if unknown."""
        if not self.domains:
            return ""
        return self.domains[self.members.index(member)]

    def ranking(self, leaf: str, failure_domain: str) -> list[str]:
        """Returns the members in the order in which they may hold a leaf.

        Members in the leaf's failure domain come first. Replicas of a shard
        are in different domains, so they get different holders, and the loss
        of one holder or a change of the roster leaves the others served.
        """
        ranked = rendezvous.ranking(leaf, self.members)
        near = [m for m in ranked if self.domain_of(m) == failure_domain]
        return near + [m for m in ranked if m not in near]


@dataclass
class _Peer:
    """What a granter knows about one member, times in its own clock."""

    granted_at: float
    reported_at: float
    heard_at: float
    incarnation: int | None = None
    released_incarnation: int | None = None
    released: bool = False
    in_service: bool = True


class GrantTable:
    """Decides which members this member grants and which it fences.

    The table of a process that starts is treated as having granted and
    fenced every member at its start, since its predecessor may have done
    so. The process must be the only one that answers pings at its address
    when it takes the start time, for example because its port is bound.
    """

    def __init__(self, member: str, roster: Roster, started_at: float) -> None:
        self._member = member
        self._roster = roster
        self._started_at = started_at
        self._withhold_until = started_at + GUARD_S
        self._peers: dict[str, _Peer] = {}

    @property
    def roster(self) -> Roster:
        """The roster under which this member grants."""
        return self._roster

    def handle_ping(
        self,
        member: str,
        incarnation: int,
        *,
        released: bool,
        in_service: bool,
        roster_revision: int,
        now: float,
    ) -> bool:
        """Handles a ping; its own pings are handled in the same way.

        Args:
            member: The member that sent the ping.
            incarnation: Random id drawn at the start of its process, and
                drawn again when it returns to service after a release.
            released: Whether the incarnation gave up its send rights for
                good.
            in_service: Whether the configuration has the member in service.
            roster_revision: Revision of the roster that the member uses.
            now: The time of the answer.

        Returns:
            Whether the member is granted.
        """
        peer = self._peer(member)
        peer.heard_at = now
        peer.in_service = in_service
        if released:
            _release(peer, incarnation)
            return False
        if incarnation == peer.released_incarnation:
            # A ping sent before the release overtaken by it.
            return False
        peer.released = False
        if roster_revision != self._roster.revision or not in_service:
            return False
        if member not in self._roster.members or now < self._withhold_until:
            return False
        if now - peer.reported_at < GUARD_S:
            return False
        is_other = incarnation != peer.incarnation
        if is_other and now - peer.granted_at < GUARD_S:
            return False
        peer.incarnation = incarnation
        peer.granted_at = now
        return True

    def report_fenced(
        self, now: float, absent: Collection[str] = ()
    ) -> list[str]:
        """Returns the members to report as fenced, and records the report.

        Call this only for a report that is sent: each call delays the next
        grant to the members returned.

        Args:
            now: The time of the report.
            absent: Members whose VMs no longer exist (`roster.VmPresence`).
        """
        # A member that is running isn't silent towards itself.
        self._peer(self._member).heard_at = now
        reported = []
        for member in self._roster.members:
            peer = self._peer(member)
            if now - peer.granted_at < GUARD_S:
                continue
            is_silent = now - peer.heard_at >= FENCE_AFTER_S
            is_out = peer.released or not peer.in_service
            if is_silent or is_out or member in absent:
                peer.reported_at = now
                reported.append(member)
        return reported

    def adopt(self, roster: Roster, now: float) -> bool:
        """Adopts a roster of a higher revision; returns whether it did.

        Holders under the former roster did not need a fence on a member
        that is new, so it is treated as reported fenced now. Holders under
        the new roster need no fence on a member that was removed, so nobody
        is granted while a grant to a removed member may be in force.
        """
        if roster.revision <= self._roster.revision:
            return False
        old = set(self._roster.members)
        new = set(roster.members)
        for member in new - old:
            self._peer(member).reported_at = now
        for member in old - new:
            ends_at = self._peer(member).granted_at + GUARD_S
            self._withhold_until = max(self._withhold_until, ends_at)
        self._roster = roster
        return True

    def _peer(self, member: str) -> _Peer:
        start = self._started_at
        return self._peers.setdefault(member, _Peer(start, start, start))


def _release(peer: _Peer, incarnation: int) -> None:
    """Voids the grants to an incarnation, and to no other one."""
    peer.released_incarnation = incarnation
    if peer.incarnation in (None, incarnation):
        peer.released = True
    if peer.incarnation == incarnation:
        peer.granted_at = -math.inf


@dataclass
class _Votes:
    """Votes received under one roster, as times until which they hold."""

    roster: Roster
    granted: dict[str, float] = field(default_factory=dict)
    fenced: dict[str, dict[str, float]] = field(default_factory=dict)

    def record(
        self, voter: str, until: float, granted: bool, fenced: Iterable[str]
    ) -> None:
        """Records a vote; an older vote that arrives late shortens nothing."""
        if granted:
            _extend(self.granted, voter, until)
        for member in fenced:
            _extend(self.fenced.setdefault(member, {}), voter, until)

    def quorum_until(
        self, votes: dict[str, float], absent: Collection[str], until: float
    ) -> float:
        """Returns the time until which votes are those of a majority.

        Members that no longer exist vote for nobody, so that until the
        given time a majority of the others suffices. Counting them as votes
        would let both sides of a partition hold the same leaf.
        """
        members = self.roster.members
        all_until = _majority_until(votes, members)
        present = [m for m in members if m not in absent]
        if len(present) == len(members) or not present:
            return all_until
        return max(all_until, min(until, _majority_until(votes, present)))


def _extend(votes: dict[str, float], voter: str, until: float) -> None:
    votes[voter] = max(until, votes.get(voter, -math.inf))


def _majority_until(votes: dict[str, float], members: Collection[str]) -> float:
    ends = sorted((votes.get(m, -math.inf) for m in members), reverse=True)
    return ends[majority(len(ends)) - 1] if ends else -math.inf


# Address and failure domain of a leaf.
_LeafKey = tuple[str, str]


class _Epoch:
    """Votes under one roster with the results derived from them."""

    def __init__(self, roster: Roster) -> None:
        self.votes = _Votes(roster)
        self.absent: Collection[str] = ()
        self.absent_until = -math.inf
        self._granted_until: float | None = None
        self._fenced_until: dict[str, float] = {}
        self._leaves: dict[_LeafKey, float] = {}
        self._ahead: dict[_LeafKey, list[str]] = {}

    def changed(self) -> None:
        """Discards the derived times after a change of the votes."""
        self._granted_until = None
        self._fenced_until.clear()
        self._leaves.clear()

    def granted_until(self) -> float:
        """Returns the time until which a majority grants this member."""
        if self._granted_until is None:
            self._granted_until = self._quorum_until(self.votes.granted)
        return self._granted_until

    def fenced_until(self, member: str) -> float:
        """Returns the time until which a majority fences the member."""
        until = self._fenced_until.get(member)
        if until is None:
            until = self._quorum_until(self.votes.fenced.get(member, {}))
            self._fenced_until[member] = until
        return until

    def leaf_until(self, leaf: _LeafKey, member: str) -> float:
        """Returns the time until which the member may send to the leaf."""
        until = self._leaves.get(leaf)
        if until is None:
            until = self.granted_until()
            for other in self._members_ahead(leaf, member):
                until = min(until, self.fenced_until(other))
            self._leaves[leaf] = until
        return until

    def _quorum_until(self, votes: dict[str, float]) -> float:
        return self.votes.quorum_until(votes, self.absent, self.absent_until)

    def _members_ahead(self, leaf: _LeafKey, member: str) -> list[str]:
        ahead = self._ahead.get(leaf)
        if ahead is None:
            ranked = self.votes.roster.ranking(*leaf)
            ahead = ranked[: ranked.index(member)]
            self._ahead[leaf] = ahead
        return ahead


class RightsLedger:
    """Records the votes for one incarnation of a member.

    A released ledger never gives a right again. A member that returns to
    service draws a new incarnation and makes a new ledger, so that a release
    that arrives late can't void the grants to the new incarnation.
    """

    def __init__(self, member: str, roster: Roster) -> None:
        self._member = member
        self._released = False
        self._current = _Epoch(roster)
        # Votes under the former roster hold until they expire, as if this
        # member had not learnt of the new one yet. This avoids a gap.
        self._former: _Epoch | None = None
        self._majority_at: float | None = None

    @property
    def roster(self) -> Roster:
        """The roster under which votes are counted."""
        return self._current.votes.roster

    @property
    def is_released(self) -> bool:
        """Whether this incarnation gave up its rights for good."""
        return self._released

    def record(
        self,
        voter: str,
        *,
        sent_at: float,
        granted: bool,
        fenced: Iterable[str],
        roster_revision: int,
        now: float,
    ) -> None:
        """Records a pong, or the answer of this member's own table.

        Args:
            voter: The member that answered.
            sent_at: The time at which the ping was sent.
            granted: Whether it grants this member.
            fenced: The members that it reports as fenced.
            roster_revision: Revision of the roster that the voter uses; a
                pong under another revision is ignored.
            now: The time of receipt.
        """
        epoch = self._current
        if roster_revision != epoch.votes.roster.revision:
            return
        if voter not in epoch.votes.roster.members:
            return
        epoch.votes.record(voter, sent_at + GRANT_VALIDITY_S, granted, fenced)
        epoch.changed()
        if self._majority_at is None and now < epoch.granted_until():
            self._majority_at = now

    def set_absent(self, members: Collection[str], until: float) -> None:
        """Notes which VMs no longer exist, and until when that is known."""
        self._current.absent = frozenset(members)
        self._current.absent_until = until
        self._current.changed()

    def adopt(self, roster: Roster) -> bool:
        """Adopts a roster of a higher revision; returns whether it did."""
        if roster.revision <= self.roster.revision:
            return False
        was_member = self._member in self.roster.members
        is_member = self._member in roster.members
        self._former = self._current if was_member and is_member else None
        self._current = _Epoch(roster)
        self._majority_at = None
        return True

    def release(self) -> None:
        """Gives up all rights of this incarnation for good."""
        self._released = True

    def right_until(
        self, leaf: str, now: float, failure_domain: str = ""
    ) -> float | None:
        """Returns the time until which this member may send to the leaf.

        Call this immediately before each send with the current time.

        Args:
            leaf: Address of the leaf.
            now: The current time.
            failure_domain: The leaf's failure domain. All members must use
                the same one, so a leaf's domain can't be edited in place.

        Returns:
            The end of the send right, after now, or None without the right.
        """
        if self._released or self._member not in self.roster.members:
            return None
        key = (leaf, failure_domain)
        until = self._current.leaf_until(key, self._member)
        if self._former is not None:
            until = max(until, self._former.leaf_until(key, self._member))
        return until if now < until else None

    def has_majority(self, now: float) -> bool:
        """Returns whether a majority of the current roster grants it."""
        return not self._released and now < self._current.granted_until()

    def may_change_roster(self, now: float) -> bool:
        """Returns whether this member may write the next roster.

        It needs a majority, and its first majority under the current roster
        must be at least GUARD_S old. By then no right under an earlier
        roster is in force, so that only rights under two consecutive
        rosters, whose majorities intersect, can exist together.
        """
        if self._majority_at is None or not self.has_majority(now):
            return False
        return now - self._majority_at >= GUARD_S

    def fenced_members(self, now: float) -> set[str]:
        """Returns the members that a majority reports as fenced."""
        members = self.roster.members
        return {m for m in members if now < self._current.fenced_until(m)}


def vote_for_self(
    table: GrantTable,
    ledger: RightsLedger,
    member: str,
    incarnation: int,
    *,
    in_service: bool,
    now: float,
    absent: Collection[str] = (),
) -> None:
    """Counts this member's own vote; call it with each round of pings."""
    granted = table.handle_ping(
        member,
        incarnation,
        released=ledger.is_released,
        in_service=in_service,
        roster_revision=ledger.roster.revision,
        now=now,
    )
    ledger.record(
        member,
        sent_at=now,
        granted=granted,
        fenced=table.report_fenced(now, absent),
        roster_revision=table.roster.revision,
        now=now,
    )
