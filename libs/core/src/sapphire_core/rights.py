"""Send rights: at most one aggregator sends requests to a leaf.

A cell is a group of aggregators that share leaves; its members are aggregator
processes, named by address. Each member pings all others. The reply, a pong, is
a vote: it says whether the voter grants the sender, and which members the voter
reports as fenced, that is, will not grant for now. A member has the send right
for a leaf, or holds the leaf, while a majority grants it and, for each member
that ranks higher for this leaf, a majority reports that member as fenced.

An incarnation is a member's period of service, identified by a random id that
the member generates when its process starts. A member that leaves service
releases its rights: it gives up all rights of its incarnation for good and says
so in its pings. If it returns to service, it starts a new incarnation.

Section 6.2 of docs/design.md specifies the protocol. All times are seconds of
the calling process's monotonic clock; clocks of different processes are never
compared.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from sapphire_core import rendezvous

# Interval between two pings to the same member, in seconds.
PING_INTERVAL_S = 0.5

# Validity of a grant or fence report, counted from the time at which the ping
# that it answers was sent, in seconds.
GRANT_VALIDITY_S = 2.0

# Guard time: time after sending a grant or fence report until the sender may
# assume that it has expired at its receiver, in seconds. The 10 % above
# GRANT_VALIDITY_S cover clocks of the two processes whose rates differ by a
# factor of up to 1.1, for example one 4.7 % fast and the other 4.7 % slow.
GUARD_S = 2.2

# Time without a ping after which a member may be fenced, in seconds: three
# lost pings.
FENCE_AFTER_S = 1.5


def majority(count: int) -> int:
    """Returns the smallest majority of `count` members."""
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
        """Returns the members by rank for holding a leaf, highest first.

        Members in the leaf's failure domain come first. Replicas of a shard
        are in different domains and therefore get different holders, so the
        loss of one holder or a roster change does not interrupt the other
        replicas.
        """
        ranked = rendezvous.ranking(leaf, self.members)
        local = [m for m in ranked if self.domain_of(m) == failure_domain]
        return local + [m for m in ranked if m not in local]


@dataclass
class _MemberRecord:
    """A granter's record of one member, with times of the granter's clock.

    Attributes:
        granted_at: Time of the last grant.
        reported_fenced_at: Time of the last report of the member as fenced.
        last_ping_at: Time of the last ping from the member.
        incarnation: The incarnation granted last; None if none was.
        released_incarnation: The incarnation that released its rights last.
        released: Set when the incarnation granted last releases its rights; if
            none was granted, when any incarnation does. Cleared by a ping from
            an incarnation that has not released its rights.
        in_service: Whether the member was in service at its last ping.
    """

    granted_at: float
    reported_fenced_at: float
    last_ping_at: float
    incarnation: int | None = None
    released_incarnation: int | None = None
    released: bool = False
    in_service: bool = True


class GrantTable:
    """Decides which members this member grants and which it reports as fenced.

    A grant is a vote for the member to send to leaves.

    A new table assumes that it granted and fenced every member at its start
    time, since the previous process at this address may have done so. When
    the start time is taken, the process must be the only one that answers
    pings at its address, for example because it has bound its port.

    Args:
        member: The member that this process is.
        roster: The initial roster.
        started_at: The start time.
    """

    def __init__(self, member: str, roster: Roster, started_at: float) -> None:
        self._self_member = member
        self._roster = roster
        self._started_at = started_at
        self._withhold_until = started_at + GUARD_S
        # Includes the record of this process itself.
        self._records: dict[str, _MemberRecord] = {}

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
        """Handles a ping from another member or from this one.

        Args:
            member: The member that sent the ping.
            incarnation: The sender's incarnation.
            released: Whether this incarnation has released its rights.
            in_service: Whether the sender is in service according to the member
                that owns this table.
            roster_revision: Revision of the roster that the member uses.
            now: The time of the reply.

        Returns:
            Whether this member grants the sender.
        """
        record = self._record_of(member)
        record.last_ping_at = now
        record.in_service = in_service
        if released:
            _record_release(record, incarnation)
            return False
        if incarnation == record.released_incarnation:
            # Sent before the release, but received after it.
            return False
        record.released = False
        if roster_revision != self._roster.revision or not in_service:
            return False
        if member not in self._roster.members or now < self._withhold_until:
            return False
        if now - record.reported_fenced_at < GUARD_S:
            return False
        is_new = incarnation != record.incarnation
        if is_new and now - record.granted_at < GUARD_S:
            return False
        record.incarnation = incarnation
        record.granted_at = now
        return True

    def report_fenced(
        self, now: float, absent: Collection[str] = ()
    ) -> list[str]:
        """Returns the members to report as fenced, and records the report.

        Call this only for a report that will be sent: each call delays the
        next grant to the members returned.

        Args:
            now: The time of the report.
            absent: Members whose VMs no longer exist. They are reported
                without waiting until they count as silent.
        """
        # A running member must not report itself as silent.
        self._record_of(self._self_member).last_ping_at = now
        reported = []
        for member in self._roster.members:
            record = self._record_of(member)
            if now - record.granted_at < GUARD_S:
                continue
            is_silent = now - record.last_ping_at >= FENCE_AFTER_S
            is_inactive = record.released or not record.in_service
            if is_silent or is_inactive or member in absent:
                record.reported_fenced_at = now
                reported.append(member)
        return reported

    def adopt(self, roster: Roster, now: float) -> bool:
        """Adopts a roster of a higher revision; returns whether it did.

        A holder under the old roster did not need fence reports about a member
        that the new roster adds, even if that member ranks higher. The added
        member is therefore treated as reported as fenced now, which delays its
        first grant until the rights under the old roster have expired.

        A holder under the new roster does not need fence reports about a
        removed member, so this member gives no grants while its last grant to
        a removed member may still be valid.
        """
        if roster.revision <= self._roster.revision:
            return False
        old = set(self._roster.members)
        new = set(roster.members)
        for member in new - old:
            self._record_of(member).reported_fenced_at = now
        for member in old - new:
            ends_at = self._record_of(member).granted_at + GUARD_S
            self._withhold_until = max(self._withhold_until, ends_at)
        self._roster = roster
        return True

    def _record_of(self, member: str) -> _MemberRecord:
        start = self._started_at
        return self._records.setdefault(
            member, _MemberRecord(start, start, start)
        )


def _record_release(record: _MemberRecord, incarnation: int) -> None:
    """Records that an incarnation has released its rights.

    A grant to it counts as expired at once; a grant to another incarnation
    stays valid. If this table has granted no incarnation yet, the member counts
    as released too, so that it can be reported as fenced before it counts as
    silent.
    """
    record.released_incarnation = incarnation
    if record.incarnation in (None, incarnation):
        record.released = True
    if record.incarnation == incarnation:
        record.granted_at = -math.inf


@dataclass
class _Votes:
    """Votes received under one roster, as the times at which they expire.

    Attributes:
        roster: The roster.
        granted: Expiry of the grant to this member, by voter.
        fenced: Expiry of the fence reports, by fenced member and voter.
    """

    roster: Roster
    granted: dict[str, float] = field(default_factory=dict)
    fenced: dict[str, dict[str, float]] = field(default_factory=dict)

    def record(
        self, voter: str, until: float, granted: bool, fenced: Iterable[str]
    ) -> None:
        """Records a vote; a delayed older vote doesn't shorten a newer one."""
        if granted:
            _extend(self.granted, voter, until)
        for member in fenced:
            _extend(self.fenced.setdefault(member, {}), voter, until)

    def present_majority_until(
        self,
        votes: dict[str, float],
        absent: Collection[str],
        absent_until: float,
    ) -> float:
        """Returns the time until which the votes form a majority.

        Absent members, which no longer exist, can't vote. Until the list of
        absent members expires at `absent_until`, a majority of the other
        members suffices. Absent members must not count as votes: both
        sides of a partition could then hold the same leaf.
        """
        members = self.roster.members
        all_until = _majority_until(votes, members)
        present = [m for m in members if m not in absent]
        if len(present) == len(members) or not present:
            return all_until
        return max(
            all_until, min(absent_until, _majority_until(votes, present))
        )


def _extend(votes: dict[str, float], voter: str, until: float) -> None:
    votes[voter] = max(until, votes.get(voter, -math.inf))


def _majority_until(votes: dict[str, float], members: Collection[str]) -> float:
    ends = sorted((votes.get(m, -math.inf) for m in members), reverse=True)
    return ends[majority(len(ends)) - 1] if ends else -math.inf


# Address and failure domain of a leaf.
_LeafKey = tuple[str, str]


class _RosterVotes:
    """The votes under one roster, and until when majorities and rights last.

    The times computed from the votes are cached until the votes change.

    Attributes:
        votes: The votes.
        absent: Members whose VMs no longer exist.
        absent_until: Time at which the list of absent members expires.
    """

    def __init__(self, roster: Roster) -> None:
        self.votes = _Votes(roster)
        self.absent: Collection[str] = ()
        self.absent_until = -math.inf
        self._granted_until: float | None = None
        self._fenced_until: dict[str, float] = {}
        # `leaf_until` is only called for the member that this process is, so
        # the leaf alone is the key of these two caches.
        self._leaf_until: dict[_LeafKey, float] = {}
        self._higher_ranked_by_leaf: dict[_LeafKey, list[str]] = {}

    def invalidate(self) -> None:
        """Discards the cached times after a change of votes or absences."""
        self._granted_until = None
        self._fenced_until.clear()
        self._leaf_until.clear()

    def granted_until(self) -> float:
        """Returns the time until which a majority grants this member."""
        if self._granted_until is None:
            self._granted_until = self._present_majority_until(
                self.votes.granted
            )
        return self._granted_until

    def fenced_until(self, member: str) -> float:
        """Returns until when a majority reports the member as fenced."""
        until = self._fenced_until.get(member)
        if until is None:
            until = self._present_majority_until(
                self.votes.fenced.get(member, {})
            )
            self._fenced_until[member] = until
        return until

    def leaf_until(self, leaf: _LeafKey, member: str) -> float:
        """Returns the time until which the member may send to the leaf."""
        until = self._leaf_until.get(leaf)
        if until is None:
            until = self.granted_until()
            for other in self._higher_ranked(leaf, member):
                until = min(until, self.fenced_until(other))
            self._leaf_until[leaf] = until
        return until

    def _present_majority_until(self, votes: dict[str, float]) -> float:
        return self.votes.present_majority_until(
            votes, self.absent, self.absent_until
        )

    def _higher_ranked(self, leaf: _LeafKey, member: str) -> list[str]:
        higher = self._higher_ranked_by_leaf.get(leaf)
        if higher is None:
            ranked = self.votes.roster.ranking(*leaf)
            higher = ranked[: ranked.index(member)]
            self._higher_ranked_by_leaf[leaf] = higher
        return higher


class RightsLedger:
    """Records the votes for one incarnation of a member.

    After a release, the ledger gives no right again. A member that returns to
    service generates a new incarnation and creates a new ledger, so that a
    delayed release can't revoke the grants to the new incarnation.
    """

    def __init__(self, member: str, roster: Roster) -> None:
        self._self_member = member
        self._released = False
        self._current = _RosterVotes(roster)
        # Votes under the previous roster stay valid until they expire, as if
        # this member had not received the new one yet. Otherwise its leaves
        # would have no holder until it has a majority under the new roster.
        self._previous: _RosterVotes | None = None
        self._first_majority_at: float | None = None

    @property
    def roster(self) -> Roster:
        """The roster under which votes are counted."""
        return self._current.votes.roster

    @property
    def is_released(self) -> bool:
        """Whether this incarnation has released its rights."""
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
        """Records a pong, or the reply of this member's own grant table.

        Args:
            voter: The member that replied.
            sent_at: The time at which the ping was sent.
            granted: Whether it grants this member.
            fenced: The members that it reports as fenced.
            roster_revision: Revision of the roster that the voter uses; a
                pong under another revision is ignored.
            now: The time of receipt.
        """
        current = self._current
        if roster_revision != current.votes.roster.revision:
            return
        if voter not in current.votes.roster.members:
            return
        current.votes.record(voter, sent_at + GRANT_VALIDITY_S, granted, fenced)
        current.invalidate()
        if self._first_majority_at is None and now < current.granted_until():
            self._first_majority_at = now

    def set_absent(self, members: Collection[str], until: float) -> None:
        """Sets the members whose VMs no longer exist.

        Args:
            members: The members.
            until: The time at which this list expires.
        """
        self._current.absent = frozenset(members)
        self._current.absent_until = until
        self._current.invalidate()

    def adopt(self, roster: Roster) -> bool:
        """Adopts a roster of a higher revision; returns whether it did."""
        if roster.revision <= self.roster.revision:
            return False
        was_member = self._self_member in self.roster.members
        is_member = self._self_member in roster.members
        self._previous = self._current if was_member and is_member else None
        self._current = _RosterVotes(roster)
        self._first_majority_at = None
        return True

    def release(self) -> None:
        """Releases the rights of this incarnation."""
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
                the same one, so a leaf's domain must not change while the leaf
                is in the configuration.

        Returns:
            The end of the send right, which is later than `now`; None if
            this member does not have the right.
        """
        if self._released or self._self_member not in self.roster.members:
            return None
        key = (leaf, failure_domain)
        until = self._current.leaf_until(key, self._self_member)
        if self._previous is not None:
            until = max(
                until, self._previous.leaf_until(key, self._self_member)
            )
        return until if now < until else None

    def has_majority(self, now: float) -> bool:
        """Returns whether a majority of the roster grants this member."""
        return not self._released and now < self._current.granted_until()

    def may_change_roster(self, now: float) -> bool:
        """Returns whether this member may write the next roster.

        It needs a majority, and its first majority under the current roster
        must be at least GUARD_S old. By then no right under a roster before
        the current one is valid, so rights can coexist only under two
        consecutive rosters, whose majorities intersect.
        """
        if self._first_majority_at is None or not self.has_majority(now):
            return False
        return now - self._first_majority_at >= GUARD_S

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
    """Records this member's vote for itself, and its own fence reports.

    Call it in each ping round.
    """
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
