"""Membership of an aggregator in its cell: pings, votes, roster, VM list."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import trio
from sapphire_config.document import Document
from sapphire_config.settings import AggregatorSettings
from sapphire_core.errors import (
    ChannelError,
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnconfirmedError,
)
from sapphire_core.quarantine import Quarantine
from sapphire_core.rights import (
    PING_INTERVAL_S,
    GrantTable,
    RightsLedger,
    Roster,
    vote_for_self,
)
from sapphire_core.roster import (
    Absence,
    VmPresence,
    next_roster,
    track_fenced,
)
from sapphire_wire.gen.ttypes import Frame, Ping, Pong
from sapphire_wire.platform import VersionedValue, VmLists, join_key

from sapphire_aggregator import log, metrics
from sapphire_aggregator.backoff import run_forever
from sapphire_aggregator.cellcodec import (
    format_roster,
    parse_roster,
    records_from_wire,
    records_to_wire,
    roster_to_wire,
    vm_of,
)
from sapphire_aggregator.pingrounds import PingRounds

PING_TIMEOUT_S = 1.0
# Polling interval of the conditions that a planned stop waits for.
STOP_POLL_S = 0.01
VM_LIST_INTERVAL_S = 1.0
# An aggregator whose last ping is older than this is not added to the roster.
CANDIDATE_TIMEOUT_S = 1.5
# An aggregator outside the roster reads the stored roster at this interval.
ROSTER_INTERVAL_S = 2.0
RELEASE_TIMEOUT_S = 1.0
_INCARNATION_BITS = 62
_NO_ROSTER = Roster(0, ())


class Platform(Protocol):
    """The methods of the platform client that CellMember uses."""

    async def get(self, key: str) -> VersionedValue:
        """Reads a key."""
        ...

    async def put(self, key: str, value: str, expect: int) -> int:
        """Writes a key if it has the expected version."""
        ...

    async def vms(self) -> VmLists:
        """Reads the list of VMs."""
        ...


class Peer(Protocol):
    """A client for another daemon, which opens channels as needed."""

    async def request(self, frame: Any) -> Any:
        """Sends a request and returns its reply."""
        ...


@dataclass(frozen=True, slots=True)
class _LastPing:
    """The last ping of an aggregator in service, in the roster or not."""

    failure_domain: str
    received_at: float


class CellMember:
    """This daemon as a member of its cell.

    A cell is the group of aggregators that divide the leaves among them. Each
    member grants votes to the others, and may send to its leaves while a
    majority of the roster grants it.
    """

    def __init__(
        self,
        settings: AggregatorSettings,
        platform: Platform,
        quarantine: Quarantine,
        create_peer: Callable[[str], Peer],
        on_config_revision: Callable[[int | None, str], None],
        is_idle: Callable[[], bool],
    ) -> None:
        """Creates a member that is not yet in the roster.

        Args:
            settings: Settings of the daemon.
            platform: Stores the roster and the list of VMs.
            quarantine: Its records are exchanged with other members.
            create_peer: Returns a client for the daemon at an address.
            on_config_revision: Called with the configuration revision that
                another member announces, and with its address.
            is_idle: Returns whether no request is running on any leaf.
        """
        # Members are named by the address at which they receive frames.
        self._member = settings.frames
        self._settings = settings
        self._platform = platform
        self._quarantine = quarantine
        self._create_peer = create_peer
        self._on_config_revision = on_config_revision
        self._is_idle = is_idle
        self._roster_key = join_key(["roster", settings.cell])
        self._incarnation = secrets.randbits(_INCARNATION_BITS)
        now = trio.current_time()
        # The votes that this member gives, and those that it receives.
        self._grant_table = GrantTable(self._member, _NO_ROSTER, now)
        self._ledger = RightsLedger(self._member, _NO_ROSTER)
        self._vm_presence = VmPresence()
        self._fenced_since: dict[str, float] = {}
        self._last_pings: dict[str, _LastPing] = {}
        # Clients for other daemons, by address; created on first use.
        self._peers: dict[str, Peer] = {}
        # Roster revision in the last pong of each address.
        self._peer_roster_revisions: dict[str, int] = {}
        self._roster_read_at = -ROSTER_INTERVAL_S
        self._out_vms: frozenset[str] = frozenset()
        self._out_domains: frozenset[str] = frozenset()
        self._leaving_vms: frozenset[str] = frozenset()
        self._is_stopping = False
        # Suspended send rights are not used. They are suspended before they are
        # released, since requests may still be running, and stay suspended
        # until the member returns to service.
        self._are_rights_suspended = False
        self._had_majority = False
        # Members that have replied to a ping that announced the release.
        self._release_confirmed_by: set[str] = set()
        self._rounds = PingRounds(
            self._vote_for_self, self._ping_targets, self._ping
        )
        self.config_revision = 0
        self.on_leaving_vms: Callable[[frozenset[str]], None] | None = None

    @property
    def member(self) -> str:
        """Name of this member: its frame address."""
        return self._member

    @property
    def roster(self) -> Roster:
        """The roster in force."""
        return self._grant_table.roster

    @property
    def is_granted(self) -> bool:
        """Whether a majority of the roster lets it hold send rights."""
        return self._ledger.has_majority(trio.current_time())

    @property
    def fenced(self) -> set[str]:
        """Members that a majority reports as fenced."""
        return self._ledger.fenced_members(trio.current_time())

    @property
    def is_in_service(self) -> bool:
        """Whether neither its VM nor its failure domain is out of service."""
        return not self._is_out(self._member, self._settings.failure_domain)

    @property
    def member_addresses(self) -> list[str]:
        """Addresses of the roster's members.

        This daemon's own address is included only if it is in the roster. If
        there is no roster, the list contains just that address.
        """
        return list(self.roster.members) or [self._member]

    @property
    def failure_domain(self) -> str:
        """Failure domain of this member."""
        return self._settings.failure_domain

    def right_until(
        self, leaf: str, now: float, failure_domain: str
    ) -> float | None:
        """Returns when the send right of a leaf ends, or None if not held."""
        if self._are_rights_suspended:
            return None
        return self._ledger.right_until(leaf, now, failure_domain)

    def adopt_document(self, revision: int, document: Document) -> None:
        """Applies the parts of a configuration that concern members."""
        self.config_revision = revision
        self._out_vms = frozenset(document.out_vms)
        self._out_domains = frozenset(document.out_failure_domains)
        self._suspend_if_out()

    def peer(self, address: str) -> Peer:
        """Returns the client for another daemon; creates it on first use."""
        peer = self._peers.get(address)
        if peer is None:
            peer = self._peers[address] = self._create_peer(address)
        return peer

    def ping_now(self) -> None:
        """Starts a round of pings now, to send a change to other members."""
        self._rounds.start_now()

    def handle_ping(self, ping: Ping) -> Pong:
        """Handles the ping of another member and returns the reply."""
        now = trio.current_time()
        if ping.cell != self._settings.cell:
            return self._pong(granted=False, fenced=[], roster=None)
        self._vm_presence.record_message(ping.member)
        self._quarantine.merge(records_from_wire(ping.quarantine), now)
        self._on_config_revision(ping.config_revision, ping.address)
        self._adopt_received(ping.roster_revision, ping.roster, now)
        in_service = not self._is_out(ping.member, ping.failure_domain)
        granted = self._grant_table.handle_ping(
            ping.member,
            ping.incarnation,
            released=bool(ping.released),
            in_service=in_service,
            roster_revision=ping.roster_revision,
            now=now,
        )
        if in_service and not ping.released:
            self._last_pings[ping.member] = _LastPing(ping.failure_domain, now)
        else:
            self._last_pings.pop(ping.member, None)
        fenced = self._grant_table.report_fenced(
            now, self._absent_members(now).members
        )
        differs = ping.roster_revision != self.roster.revision
        return self._pong(
            granted=granted,
            fenced=fenced,
            roster=roster_to_wire(self.roster) if differs else None,
        )

    async def run(self, nursery: trio.Nursery) -> None:
        """Starts the pings, the roster updates and the VM list reads."""
        nursery.start_soon(self._rounds.run, nursery)
        nursery.start_soon(
            run_forever, "roster", self._update_membership, PING_INTERVAL_S
        )
        nursery.start_soon(
            run_forever, "vm_list", self._read_vms, VM_LIST_INTERVAL_S
        )

    async def stop(self) -> None:
        """Releases the send rights once no request runs, and announces it.

        The caller is responsible for a time limit.
        """
        self._is_stopping = True
        self._are_rights_suspended = True
        while not self._is_idle():
            await trio.sleep(STOP_POLL_S)
        self._release()
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            others = set(self.roster.members) - {self._member}
            while not others <= self._release_confirmed_by:
                await trio.sleep(STOP_POLL_S)

    def _is_out(self, member: str, failure_domain: str) -> bool:
        vm = vm_of(member)
        return (
            failure_domain in self._out_domains
            or vm in self._out_vms
            or vm in self._leaving_vms
        )

    def _suspend_if_out(self) -> None:
        """Suspends the send rights if this member is out of service.

        They are released when no request is running any more.
        """
        if not self.is_in_service and not self._are_rights_suspended:
            self._are_rights_suspended = True
            log.event("out_of_service")

    def _release(self) -> None:
        if self._ledger.is_released:
            return
        self._ledger.release()
        self._release_confirmed_by.clear()
        log.event("send_rights_released")
        self.ping_now()

    def _return_to_service(self) -> None:
        """Continues under a new incarnation after a release."""
        self._incarnation = secrets.randbits(_INCARNATION_BITS)
        self._ledger = RightsLedger(self._member, self.roster)
        self._are_rights_suspended = False
        log.event("back_in_service")

    def _absent_members(self, now: float) -> Absence:
        """Returns the members whose VMs no longer exist."""
        return self._vm_presence.absence(now)

    def _pong(
        self, *, granted: bool, fenced: list[str], roster: list[str] | None
    ) -> Pong:
        return Pong(
            member=self._member,
            granted=granted,
            fenced=fenced,
            roster_revision=self.roster.revision,
            config_revision=self.config_revision,
            quarantine=records_to_wire(
                self._quarantine.records(trio.current_time())
            ),
            roster=roster,
        )

    def _adopt_received(
        self, revision: int | None, members: list[Any] | None, now: float
    ) -> None:
        if revision is not None and members:
            roster = Roster(
                revision,
                tuple(m.address for m in members),
                tuple(m.failure_domain for m in members),
            )
            self._adopt(roster, now)

    def _adopt(self, roster: Roster, now: float) -> None:
        if not self._grant_table.adopt(roster, now):
            return
        self._ledger.adopt(roster)
        metrics.ROSTER_REVISION.set(roster.revision)
        log.event(
            "roster_adopted",
            revision=roster.revision,
            members=list(roster.members),
        )
        self.ping_now()

    def _ping_targets(self) -> set[str]:
        """Returns the addresses to ping.

        These are the other members of the roster and, while this member is
        not in the roster, the seeds.
        """
        wanted = set(self.roster.members)
        if self._member not in wanted:
            wanted |= set(self._settings.seeds)
        wanted.discard(self._member)
        return wanted

    async def _ping(self, address: str) -> None:
        peer = self.peer(address)
        sent_at = trio.current_time()
        ledger = self._ledger
        released = ledger.is_released
        ping = self._make_ping(address)
        try:
            with trio.fail_after(PING_TIMEOUT_S):
                answer = await peer.request(Frame(ping=ping))
        except (ChannelError, trio.TooSlowError):
            metrics.PINGS.labels("failed").inc()
            return
        metrics.PINGS.labels("ok").inc()
        self._handle_pong(address, answer.pong, sent_at, ledger)
        if released:
            self._release_confirmed_by.add(address)

    def _make_ping(self, address: str) -> Ping:
        known = self._peer_roster_revisions.get(address)
        differs = known is not None and known != self.roster.revision
        return Ping(
            member=self._member,
            cell=self._settings.cell,
            roster_revision=self.roster.revision,
            config_revision=self.config_revision,
            released=self._ledger.is_released,
            quarantine=records_to_wire(
                self._quarantine.records(trio.current_time())
            ),
            # A member's name is its address.
            address=self._member,
            failure_domain=self._settings.failure_domain,
            incarnation=self._incarnation,
            roster=roster_to_wire(self.roster) if differs else None,
        )

    def _handle_pong(
        self, address: str, pong: Any, sent_at: float, ledger: RightsLedger
    ) -> None:
        now = trio.current_time()
        self._peer_roster_revisions[address] = pong.roster_revision
        self._vm_presence.record_message(pong.member)
        self._quarantine.merge(records_from_wire(pong.quarantine), now)
        self._on_config_revision(pong.config_revision, address)
        # The ledger is the one from before the request: the vote is for the
        # incarnation that sent the ping.
        ledger.record(
            pong.member,
            sent_at=sent_at,
            granted=bool(pong.granted),
            fenced=pong.fenced or (),
            roster_revision=pong.roster_revision,
            now=now,
        )
        self._adopt_received(pong.roster_revision, pong.roster, now)

    def _vote_for_self(self) -> None:
        """Records this member's vote for itself."""
        now = trio.current_time()
        absence = self._absent_members(now)
        self._ledger.set_absent(absence.members, absence.until)
        vote_for_self(
            self._grant_table,
            self._ledger,
            self._member,
            self._incarnation,
            in_service=self.is_in_service and not self._is_stopping,
            now=now,
            absent=absence.members,
        )
        majority = self._ledger.has_majority(now)
        if majority != self._had_majority:
            self._had_majority = majority
            log.event("majority_gained" if majority else "majority_lost")

    async def _update_membership(self) -> None:
        """Keeps the send rights and the roster up to date.

        Suspends the send rights if this member is out of service, releases
        suspended ones when no request is running, and resumes under a new
        incarnation when the member is back in service. Changes the roster only
        while the rights are not suspended. In a daemon that is stopping, the
        release is left to `stop`.
        """
        self._suspend_if_out()
        if self._is_stopping:
            return
        if self._are_rights_suspended:
            if self._is_idle():
                self._release()
            if self.is_in_service and self._ledger.is_released:
                self._return_to_service()
            return
        now = trio.current_time()
        if self._member not in self.roster.members:
            if now - self._roster_read_at >= ROSTER_INTERVAL_S:
                self._roster_read_at = now
                await self._change_roster()
        elif self._next_roster(self.roster, now) is not None:
            await self._change_roster()

    def _next_roster(self, current: Roster | None, now: float) -> Roster | None:
        ledger = self._ledger
        self._fenced_since = track_fenced(
            self._fenced_since, ledger.fenced_members(now), now
        )
        self._last_pings = {
            member: ping
            for member, ping in self._last_pings.items()
            if now - ping.received_at <= CANDIDATE_TIMEOUT_S
        }
        # Candidates that are in the roster already are ignored.
        candidates = {m: p.failure_domain for m, p in self._last_pings.items()}
        return next_roster(
            self._member,
            current,
            may_change=ledger.may_change_roster(now),
            fenced_since=self._fenced_since,
            absent=self._absent_members(now).members,
            joiners=candidates,
            now=now,
            failure_domain=self._settings.failure_domain,
        )

    async def _change_roster(self) -> None:
        """Reads the stored roster and, if it has to change, writes the next."""
        try:
            item = await self._platform.get(self._roster_key)
            current = parse_roster(item.value) if item.version else None
            now = trio.current_time()
            if current is not None:
                self._adopt(current, now)
                if current.revision != self.roster.revision:
                    # The platform returned an outdated value.
                    return
            elif self.roster.revision:
                # A roster is in force, so the missing value must not be taken
                # for that of a new cell.
                return
            new = self._next_roster(current, now)
            if new is None:
                return
            await self._platform.put(
                self._roster_key, format_roster(new), item.version
            )
        except (
            PlatformUnavailableError,
            WriteConflictError,
            WriteUnconfirmedError,
        ):
            # The next round reads the roster again and finds out whether the
            # write took effect.
            return
        self._adopt(new, trio.current_time())

    async def _read_vms(self) -> None:
        if self._settings.vm_list is None:
            return
        requested_at = trio.current_time()
        try:
            lists = await self._platform.vms()
        except PlatformUnavailableError:
            return
        listed = lists.live | lists.leaving
        known = {*self.roster.members, *self._last_pings, self._member}
        # A list without this VM may be empty or of another deployment, so it
        # does not prove that other VMs are gone.
        is_plausible = vm_of(self._member) in listed
        self._vm_presence.record_list(
            [member for member in known if vm_of(member) in listed],
            requested_at,
            trio.current_time(),
            expected=self.roster.members if is_plausible else (),
        )
        if lists.leaving != self._leaving_vms:
            self._leaving_vms = lists.leaving
            log.event("leaving_vms", vms=sorted(lists.leaving))
            self._suspend_if_out()
        if self.on_leaving_vms is not None:
            self.on_leaving_vms(lists.leaving)
