"""VMs of the fleet, and the addresses that callers are told."""

from __future__ import annotations

from collections.abc import Container, Mapping
from dataclasses import dataclass

from sapphire_core.quarantine import Record
from sapphire_core.rendezvous import ranking

# A member whose entry vanished is still named for this time: after an outage
# of the store all entries vanish and are written again.
VANISHED_GRACE_S = 1.2
# Limits are divided by the largest number of members of this last time, so
# that the shares don't grow when entries vanish for a moment.
COUNT_MEMORY_S = 30.0
# A failure domain whose leaves number less than this part of the largest
# one's is not named to callers while others are.
LEAF_DOMAIN_PART = 0.5
# VMs with less than this part of the strongest one's processor time need so
# much longer for a wide search that they serve only if they have to.
STRONG_PART = 0.5
# The strong VMs serve alone if they have this part of all processor time;
# fewer could be overloaded.
STRONG_CORES_PART = 0.1
# Fewest VMs named to a caller, so that the loss of one leaves another.
LEAST_NAMED = 2
MOST_NAMED = 64


@dataclass(frozen=True, slots=True)
class Member:
    """A VM of the fleet.

    Attributes:
        name: Name of the VM.
        address: Where callers connect.
        domain: Failure domain.
        leaving: It is being stopped and must not be named.
        cores: Processor time that it has, as a number of cores.
        suspects: Requests that were running when leaves crashed.
        peer_address: Where other VMs ask this one; empty if nowhere.
    """

    name: str
    address: str
    domain: str
    leaving: bool = False
    cores: float = 1.0
    suspects: tuple[Record, ...] = ()
    peer_address: str = ""


@dataclass(slots=True)
class _Known:
    member: Member
    vanished_at: float | None = None


class Members:
    """Members by name; times are seconds of one monotonic clock."""

    def __init__(self, self_name: str) -> None:
        self._self_name = self_name
        self._known: dict[str, _Known] = {}

    def put(self, member: Member) -> None:
        """Takes a member's entry."""
        self._known[member.name] = _Known(member)

    def remove(self, name: str, now: float) -> None:
        """Notes that a member's entry has vanished."""
        known = self._known.get(name)
        if known is not None and known.vanished_at is None:
            known.vanished_at = now

    def retain(self, names: set[str], now: float) -> None:
        """Removes each member that a full listing does not contain."""
        for name in self._known.keys() - names:
            self.remove(name, now)

    def live(self, now: float) -> list[Member]:
        """Returns the members that callers may be sent to."""
        for name in [n for n, k in self._known.items() if _is_gone(k, now)]:
            del self._known[name]
        return [
            known.member
            for known in self._known.values()
            if not known.member.leaving
        ]

    def names(self, now: float) -> list[str]:
        """Returns the names of the live members and of this VM."""
        return sorted({m.name for m in self.live(now)} | {self._self_name})


class RecentPeak:
    """Largest value of a count in the last 30 s."""

    def __init__(self) -> None:
        self._peak = 0
        self._peak_at = 0.0

    def update(self, count: int, now: float) -> int:
        """Takes the present count and returns the recent peak."""
        if count >= self._peak or now - self._peak_at > COUNT_MEMORY_S:
            self._peak = count
            self._peak_at = now
        return self._peak


def _is_gone(known: _Known, now: float) -> bool:
    if known.vanished_at is None:
        return False
    return now - known.vanished_at >= VANISHED_GRACE_S


def serving_domains(leaf_counts: Mapping[str, int]) -> set[str]:
    """Returns the failure domains that hold the leaves.

    An entry next to the leaves sends the parts of a search within its domain;
    only the merged answer crosses to the caller.
    """
    most = max(leaf_counts.values(), default=0)
    return {
        domain
        for domain, count in leaf_counts.items()
        if count >= most * LEAF_DOMAIN_PART
    }


def select_serving(
    live: list[Member], leaf_counts: Mapping[str, int], most: int
) -> list[Member]:
    """Returns the members that serve callers; the others are spare.

    Few entries keep warm connections to all leaves, while many would exceed
    the number that a leaf accepts. All VMs choose alike: the strongest of each
    failure domain that holds leaves, and of all domains if these have too few.
    Much weaker VMs serve only if the strong ones are too few.

    Args:
        live: Members that may be named.
        leaf_counts: Usable leaves of sharded services by failure domain.
        most: Number of members that can hold enough connections.
    """
    domains = serving_domains(leaf_counts)
    near = [m for m in live if m.domain in domains]
    if len(near) < LEAST_NAMED:
        near = live
    near = strong_members(near)
    by_domain: dict[str, list[Member]] = {}
    for member in near:
        by_domain.setdefault(member.domain, []).append(member)
    quota = max(LEAST_NAMED, most // max(1, len(by_domain)))
    return [
        member
        for members in by_domain.values()
        for member in sorted(members, key=lambda m: (-m.cores, m.name))[:quota]
    ]


def strong_members(members: list[Member]) -> list[Member]:
    """Returns the members without those that are much weaker than others."""
    strongest = max((m.cores for m in members), default=0.0)
    strong = [m for m in members if m.cores >= STRONG_PART * strongest]
    strong_cores = sum(m.cores for m in strong)
    is_enough = strong_cores >= STRONG_CORES_PART * sum(
        m.cores for m in members
    )
    return strong if is_enough and len(strong) >= LEAST_NAMED else members


def select_change_source(
    me: Member, serving: list[Member], avoided: Container[str]
) -> Member | None:
    """Returns the member that a VM should ask for changes of the store.

    Args:
        me: The VM.
        serving: Members that serve callers; they read the store themselves.
        avoided: Names of members that did not answer.

    Returns:
        A member, if possible of the same failure domain; each one gets about
        as many VMs. None if the VM should ask the store.
    """
    if any(member.name == me.name for member in serving):
        return None
    usable = {
        member.name: member
        for member in serving
        if member.peer_address and member.name not in avoided
    }
    near = [name for name, m in usable.items() if m.domain == me.domain]
    names = near or list(usable)
    return usable[ranking(me.name, names)[0]] if names else None


def select_for_caller(
    caller_domain: str, serving: list[Member]
) -> list[Member]:
    """Returns the members that a caller of a failure domain should use.

    Args:
        caller_domain: The caller's failure domain.
        serving: Members that serve callers.
    """
    own = [m for m in serving if m.domain == caller_domain]
    chosen = own if len(own) >= LEAST_NAMED else serving
    return sorted(chosen, key=lambda m: m.name)[:MOST_NAMED]
