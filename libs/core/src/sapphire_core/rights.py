"""Send rights: at most one aggregator sends requests to a leaf.

A cell is a group of aggregators that share leaves; its members are aggregator
processes, named by address. Each member pings all others. The reply, a pong, is
a vote: it says whether the voter grants the sender, and which members the voter
reports as fenced, that is, will not grant for now. A member has the send right
for a leaf, or holds the leaf, while a majority grants it and, for each member
that ranks higher for this leaf, a majority reports that member as fenced.

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

# Age at which a granter may assume that its own grant or fence report has
# expired at every receiver, in seconds. The 10 % above GRANT_VALIDITY_S cover
# clock rates that differ by a factor of up to 1.1, about 4.7 % of drift each.
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
        """Returns the members by priority for holding a leaf, highest first.

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
        released: Whether the member's current incarnation has released its
            rights.
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
    """

    def __init__(self, member: str, roster: Roster, started_at: float) -> None:
        self._member = member
        self._roster = roster
        self._started_at = started_at
        self._withhold_until = started_at + GUARD_S
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
            incarnation: Random id generated at the start of the sender's
                process, and again when it returns to service after a release.
            released: Whether the incarnation gave up its send rights for
                good.
            in_service: Whether the sender is in service by its configuration.
            roster_revision: Revision of the roster that the member uses.
            now: The time of the reply.

        Returns:
            Whether this member grants the sender.
        """
        record = self._record_of(member)
        record.last_ping_at = now
        record.in_service = in_service
        if released:
            _release(record, incarnation)
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
            absent: Members whose VMs no longer exist.
        """
        # A running member must not report itself as silent.
        self._record_of(self._member).last_ping_at = now
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

        Under the old roster, a member could hold a leaf without an added
        member being fenced, so the added member is treated as reported fenced
        now. Holders under the new roster
        do not have to fence a removed member, so no grant is given while a
        grant to a removed member may still be valid.
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


def _release(record: _MemberRecord, incarnation: int) -> None:
    """Revokes the grants to this incarnation only.

    If no incarnation has been granted yet, the member counts as released too.
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
        self, votes: dict[str, float], absent: Collection[str], until: float
    ) -> float:
        """Returns the time until which the votes form a majority.

        Absent members, which no longer exist, can't vote. Until the time
        `until`, at which the list of absent members expires, a majority of the
        other members suffices. Absent members must not count as votes: both
        sides of a partition could then hold the same leaf.
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


class _RosterVotes:
    """Caches the end times of rights that follow from the votes of a roster.

    Attributes:
        votes: The votes.
        absent: Members that no longer exist.
        absent_until: Time at which that information expires.
    """

    def __init__(self, roster: Roster) -> None:
        self.votes = _Votes(roster)
        self.absent: Collection[str] = ()
        self.absent_until = -math.inf
        self._granted_until: float | None = None
        self._fenced_until: dict[str, float] = {}
        # The argument `member` is the process itself in all calls, so the
        # leaf alone is the key.
        self._right_ends: dict[_LeafKey, float] = {}
        self._higher_ranked: dict[_LeafKey, list[str]] = {}

    def invalidate(self) -> None:
        """Discards the derived times after a change of the votes."""
        self._granted_until = None
        self._fenced_until.clear()
        self._right_ends.clear()

    def granted_until(self) -> float:
        """Returns the time until which a majority grants this member."""
        if self._granted_until is None:
            self._granted_until = self._present_majority_until(
                self.votes.granted
            )
        return self._granted_until

    def fenced_until(self, member: str) -> float:
        """Returns the time until which a majority fences the member."""
        until = self._fenced_until.get(member)
        if until is None:
            until = self._present_majority_until(
                self.votes.fenced.get(member, {})
            )
            self._fenced_until[member] = until
        return until

    def leaf_until(self, leaf: _LeafKey, member: str) -> float:
        """Returns the time until which the member may send to the leaf."""
        until = self._right_ends.get(leaf)
        if until is None:
            until = self.granted_until()
            for other in self._higher_priority_members(leaf, member):
                until = min(until, self.fenced_until(other))
            self._right_ends[leaf] = until
        return until

    def _present_majority_until(self, votes: dict[str, float]) -> float:
        return self.votes.present_majority_until(
            votes, self.absent, self.absent_until
        )

    def _higher_priority_members(
        self, leaf: _LeafKey, member: str
    ) -> list[str]:
        ahead = self._higher_ranked.get(leaf)
        if ahead is None:
            ranked = self.votes.roster.ranking(*leaf)
            ahead = ranked[: ranked.index(member)]
            self._higher_ranked[leaf] = ahead
        return ahead


class RightsLedger:
    """Records the votes for one incarnation of a member.

    After a release, the ledger gives no right again. A member that returns to
    service generates a new incarnation and creates a new ledger, so that a
    delayed release can't revoke the grants to the new incarnation.
    """

    def __init__(self, member: str, roster: Roster) -> None:
        self._member = member
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
            until: The time at which this information expires.
        """
        self._current.absent = frozenset(members)
        self._current.absent_until = until
        self._current.invalidate()

    def adopt(self, roster: Roster) -> bool:
        """Adopts a roster of a higher revision; returns whether it did."""
        if roster.revision <= self.roster.revision:
            return False
        was_member = self._member in self.roster.members
        is_member = self._member in roster.members
        self._previous = self._current if was_member and is_member else None
        self._current = _RosterVotes(roster)
        self._first_majority_at = None
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
                the same one, so a leaf's domain must not change while the leaf
                is in the configuration.

        Returns:
            The end of the send right, which is later than `now`; None if
            this member does not have the right.
        """
        if self._released or self._member not in self.roster.members:
            return None
        key = (leaf, failure_domain)
        until = self._current.leaf_until(key, self._member)
        if self._previous is not None:
            until = max(until, self._previous.leaf_until(key, self._member))
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
