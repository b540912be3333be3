"""VMs of the fleet, and which of them callers should connect to.

In this module, a member is a VM that has written its entry, the record that
describes it, to the fleet's key-value store. The members of a cell in
`sapphire_core.rights` are aggregator processes instead.
"""

from __future__ import annotations

import collections
from collections.abc import Container, Mapping
from dataclasses import dataclass

from sapphire_core.crashsuspects import CrashRecord
from sapphire_core.rendezvous import ranking

# Time for which a member whose entry is missing from the store is still
# advertised to callers: after an outage of the store, all entries are missing
# until they are written again.
MISSING_GRACE_S = 1.2
# Limits of the whole fleet, such as the retry budget, are divided by the recent
# peak of the number of serving members, so that each member's share does not
# grow when entries are briefly missing. A peak is kept for this time.
PEAK_WINDOW_S = 30.0
# A failure domain is a serving domain only if it has at least this fraction of
# the leaves of the domain with the most leaves.
MIN_LEAF_COUNT_RATIO = 0.5
# A VM is strong if it has at least this fraction of the strongest VM's
# processor time. Others take so much longer for a search over many shards that
# they serve only if the strong ones are not enough.
STRONG_CORES_RATIO = 0.5
# The strong VMs serve alone only if they have at least this fraction of all
# processor time; with less they could be overloaded.
MIN_STRONG_CORES_SHARE = 0.1
# One in this many comparisons of crash records is with a VM of another domain.
REMOTE_EXCHANGE_TURNS = 3
# Number of serving VMs that watch the store; the failure domains have equally
# many, and at least one each.
MAX_WATCHERS = 8
# Number of VMs in its own failure domain with which a VM compares revisions.
LOCAL_REVISION_PEERS = 2
# Smallest number of VMs advertised to a caller, so that one remains if another
# is lost.
MIN_ADVERTISED = 2
# Largest number of VMs advertised to a caller.
MAX_ADVERTISED = 64


@dataclass(frozen=True, slots=True)
class Member:
    """A VM of the fleet.

    Attributes:
        name: Name of the VM.
        address: Address to which callers connect.
        domain: Failure domain.
        leaving: Whether it is being stopped and must not be advertised.
        cores: Available processor time, as a number of cores.
        suspects: Requests under which leaves crashed. They are part of the
            entry so that VMs which start later receive them.
        peer_address: Address for requests from other VMs; empty if the VM
            accepts no such requests.
    """

    name: str
    address: str
    domain: str
    leaving: bool = False
    cores: float = 1.0
    suspects: tuple[CrashRecord, ...] = ()
    peer_address: str = ""


@dataclass(slots=True)
class _MemberState:
    member: Member
    missing_since: float | None = None


class Members:
    """Members by name; times are seconds of one monotonic clock."""

    def __init__(self, self_name: str) -> None:
        self._self_name = self_name
        self._states: dict[str, _MemberState] = {}

    def put(self, member: Member) -> None:
        """Adds a member or replaces its entry."""
        self._states[member.name] = _MemberState(member)

    def record_missing(self, name: str, now: float) -> None:
        """Records that a member's entry is missing from the store.

        `live` still returns the member for MISSING_GRACE_S.
        """
        state = self._states.get(name)
        if state is not None and state.missing_since is None:
            state.missing_since = now

    def retain(self, names: set[str], now: float) -> None:
        """Records as missing the members that are not in a full listing.

        `live` still returns them for MISSING_GRACE_S.
        """
        for name in self._states.keys() - names:
            self.record_missing(name, now)

    def live(self, now: float) -> list[Member]:
        """Returns the members that may be advertised to callers."""
        return [member for member in self.all(now) if not member.leaving]

    def all(self, now: float) -> list[Member]:
        """Returns the members, also those that are being stopped."""
        self._remove_expired(now)
        return [state.member for state in self._states.values()]

    def names(self, now: float) -> list[str]:
        """Returns the names of the live members and of this VM."""
        return sorted({m.name for m in self.live(now)} | {self._self_name})

    def _remove_expired(self, now: float) -> None:
        for name in [n for n, s in self._states.items() if _is_expired(s, now)]:
            del self._states[name]


class RecentPeak:
    """Greatest count that was current within the last PEAK_WINDOW_S."""

    def __init__(self) -> None:
        # Counts with the time up to which each was current, without those that
        # a later one equals or exceeds. The counts fall, so the first one is
        # the peak.
        self._counts: collections.deque[tuple[int, float]] = collections.deque()

    def update(self, count: int, now: float) -> int:
        """Records the current count and returns the recent peak."""
        if self._counts:
            # The last count was current until now.
            self._counts[-1] = self._counts[-1][0], now
        while self._counts and self._counts[-1][0] <= count:
            self._counts.pop()
        self._counts.append((count, now))
        while now - self._counts[0][1] > PEAK_WINDOW_S:
            self._counts.popleft()
        return self._counts[0][0]


def _is_expired(state: _MemberState, now: float) -> bool:
    if state.missing_since is None:
        return False
    return now - state.missing_since >= MISSING_GRACE_S


def serving_domains(leaf_counts: Mapping[str, int]) -> set[str]:
    """Returns the failure domains that have enough leaves to serve callers.

    Enough is MIN_LEAF_COUNT_RATIO of the leaves of the domain with the most.

    Callers are sent to VMs in these domains, even from other domains, because
    a VM sends the parts of a search to leaves in its own domain; only the
    merged answer then crosses a domain boundary to reach the caller.
    """
    most = max(leaf_counts.values(), default=0)
    return {
        domain
        for domain, count in leaf_counts.items()
        if count >= most * MIN_LEAF_COUNT_RATIO
    }


def select_serving(
    live: list[Member], leaf_counts: Mapping[str, int], max_members: int
) -> list[Member]:
    """Returns the members that serve callers; the others are spare.

    A small number of VMs can keep open connections to all leaves, while many
    would exceed the number of connections that a leaf accepts. All VMs
    make the same choice: the strongest members of each serving domain, or of
    all domains if the serving ones have too few members. Much weaker VMs serve
    only if the strong ones are not enough; see `strong_members`.

    Args:
        live: Members that may be advertised.
        leaf_counts: Usable leaves of sharded services by failure domain.
        max_members: Number of members that can each have enough connections
            to every leaf. It is divided among the domains, each of which gets
            at least MIN_ADVERTISED, so the result may be larger.
    """
    domains = serving_domains(leaf_counts)
    candidates = [m for m in live if m.domain in domains]
    if len(candidates) < MIN_ADVERTISED:
        candidates = live
    candidates = strong_members(candidates)
    by_domain: dict[str, list[Member]] = {}
    for member in candidates:
        by_domain.setdefault(member.domain, []).append(member)
    quota = max(MIN_ADVERTISED, max_members // max(1, len(by_domain)))
    return [
        member
        for members in by_domain.values()
        for member in sorted(members, key=lambda m: (-m.cores, m.name))[:quota]
    ]


def strong_members(members: list[Member]) -> list[Member]:
    """Returns the strong members, or all members if those are not enough.

    They are enough if there are at least MIN_ADVERTISED of them, with at least
    MIN_STRONG_CORES_SHARE of the processor time of all members.
    """
    strongest = max((m.cores for m in members), default=0.0)
    strong = [m for m in members if m.cores >= STRONG_CORES_RATIO * strongest]
    strong_cores = sum(m.cores for m in strong)
    is_enough = strong_cores >= MIN_STRONG_CORES_SHARE * sum(
        m.cores for m in members
    )
    return strong if is_enough and len(strong) >= MIN_ADVERTISED else members


def select_watchers(serving: list[Member]) -> list[Member]:
    """Returns the serving members that read changes from the store.

    Each change costs a call of each of them, so that they are few, whatever the
    size of the fleet. The others read from their feeds.

    Args:
        serving: Members that serve callers, the preferred ones of each failure
            domain first.
    """
    by_domain: dict[str, list[Member]] = {}
    for member in serving:
        by_domain.setdefault(member.domain, []).append(member)
    quota = max(1, MAX_WATCHERS // max(1, len(by_domain)))
    return [m for members in by_domain.values() for m in members[:quota]]


def select_change_source(
    vm: Member,
    watchers: list[Member],
    avoided: Container[str],
    can_watch: bool = True,
) -> Member | None:
    """Returns the member from which a VM should read changes to the store.

    The store is the fleet's key-value store. Only the watchers read its changes
    directly, unless none of them is usable.

    Args:
        vm: The VM.
        watchers: Members that read the store themselves.
        avoided: Names of members that are not chosen, because they did not
            answer a request for changes.
        can_watch: Whether the store answers the VM. It may turn single VMs
            away, and a watcher then reads from another one.

    Returns:
        A member, in the same failure domain if possible; VMs are spread about
        evenly over the members. None if the VM should ask the store.
    """
    if can_watch and any(member.name == vm.name for member in watchers):
        return None
    usable = {
        member.name: member
        for member in watchers
        if member.peer_address
        and member.name not in avoided
        and member.name != vm.name
    }
    local = [name for name, m in usable.items() if m.domain == vm.domain]
    names = local or list(usable)
    return usable[ranking(vm.name, names)[0]] if names else None


def select_revision_peers(vm: Member, serving: list[Member]) -> list[Member]:
    """Returns the members with which a VM compares revisions of the store.

    They are few, so that connections to them stay open. One is in another
    failure domain, since the VMs of a domain may be out of date together.

    Args:
        vm: The VM.
        serving: Members that serve callers.

    Returns:
        Up to LOCAL_REVISION_PEERS members of the VM's own failure domain and
        one of another. Empty if the VM itself is not serving.
    """
    if all(member.name != vm.name for member in serving):
        return []
    others = {
        member.name: member
        for member in serving
        if member.peer_address and member.name != vm.name
    }
    local = [name for name, m in others.items() if m.domain == vm.domain]
    remote = [name for name, m in others.items() if m.domain != vm.domain]
    chosen = ranking(vm.name, local)[:LOCAL_REVISION_PEERS]
    chosen += ranking(vm.name, remote)[:1]
    return [others[name] for name in chosen]


def select_exchange_partner(
    vm: Member, serving: list[Member], turn: int
) -> Member | None:
    """Returns the serving member with which a VM compares crash records.

    These are in turn all others of the VM's own failure domain. A serving VM
    also asks those of other domains, so that the domains learn from each other,
    but only each REMOTE_EXCHANGE_TURNS, as bytes between domains are dearer.

    Args:
        vm: The VM, serving or spare.
        serving: Members that serve callers.
        turn: Number of earlier comparisons.

    Returns:
        A member, or None if no other one serves.
    """
    others = sorted(
        (m for m in serving if m.peer_address and m.name != vm.name),
        key=lambda m: m.name,
    )
    local = [m for m in others if m.domain == vm.domain]
    remote = [m for m in others if m.domain != vm.domain]
    remote_turns, rest = divmod(turn, REMOTE_EXCHANGE_TURNS)
    is_serving = any(m.name == vm.name for m in serving)
    if remote and (not local or (is_serving and rest == 0)):
        return remote[remote_turns % len(remote)]
    local_turns = turn - remote_turns if is_serving else turn
    return local[local_turns % len(local)] if local else None


def select_for_caller(
    caller_domain: str, serving: list[Member]
) -> list[Member]:
    """Returns the members to advertise to a caller.

    Args:
        caller_domain: The caller's failure domain.
        serving: Members that serve callers.
    """
    local = [m for m in serving if m.domain == caller_domain]
    chosen = local if len(local) >= MIN_ADVERTISED else serving
    return sorted(chosen, key=lambda m: m.name)[:MAX_ADVERTISED]
