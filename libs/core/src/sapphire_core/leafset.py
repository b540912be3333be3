"""Registry of the leaves that are listed in the platform's store."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

# A leaf that is draining, or whose entry is gone, serves for some more seconds.
# It is used within this time if its service has no other leaf. Entries that
# lapsed during an outage of the store are back by then.
LAST_RESORT_S = 2.0
# Incarnations that are remembered after they have said they are leaving.
MAX_SAID_LEAVING = 10_000


class LeafState(enum.Enum):
    """State that a leaf publishes in its entry."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class LeafEntry:
    """A leaf's entry in the store.

    Attributes:
        leaf_id: Identity of the leaf, which is kept over some restarts.
        service: Name of the service that the leaf runs.
        address: Host and port.
        domain: Failure domain.
        slots: Number of requests that it runs concurrently.
        state: Whether it accepts new work.
        warmup_left_s: Remaining warm-up time when the entry was written.
        born_ms: Unix time in milliseconds of its start; part of the
            incarnation, with the identity and the address.
        sequence: Sequence number of the entry within the incarnation.
    """

    leaf_id: str
    service: str
    address: str
    domain: str
    slots: int
    state: LeafState
    warmup_left_s: float
    born_ms: int
    sequence: int

    @property
    def incarnation(self) -> tuple[str, int, str]:
        """Key that changes when the leaf restarts or moves."""
        return (self.leaf_id, self.born_ms, self.address)


class Eligibility(enum.Enum):
    """Whether a leaf may be used now."""

    USABLE = "usable"
    LAST_RESORT = "last_resort"
    UNUSABLE = "unusable"


@dataclass(slots=True)
class RegisteredLeaf:
    """The newest entry of a leaf and the state derived from it.

    Attributes:
        entry: Newest valid entry.
        cold_until: Time up to which the leaf is cold.
        leaving_since: Time at which it was first seen draining or without an
            entry; minus infinity if it was draining when first seen.
        has_entry: Whether its entry is in the store.
        has_said_leaving: Whether the leaf itself has said that it is leaving,
            whatever its entry says.
        misdirected: Whether another leaf replied at its address.
    """

    entry: LeafEntry
    cold_until: float
    leaving_since: float | None = None
    misdirected: bool = False
    has_entry: bool = True
    has_said_leaving: bool = False

    def eligibility(self, now: float) -> Eligibility:
        """Returns whether the leaf may be used if its domain is in service."""
        if self.misdirected:
            return Eligibility.UNUSABLE
        if self.leaving_since is None:
            return Eligibility.USABLE
        if now - self.leaving_since < LAST_RESORT_S:
            return Eligibility.LAST_RESORT
        return Eligibility.UNUSABLE

    def is_cold(self, now: float) -> bool:
        """Returns whether the leaf is still warming up."""
        return now < self.cold_until


class LeafRegistry:
    """Known leaves by service, updated from their entries in the store.

    All times are in seconds of the same monotonic clock.
    """

    def __init__(self) -> None:
        self._leaves: dict[str, RegisteredLeaf] = {}
        self._by_service: dict[str, list[RegisteredLeaf]] = {}
        self._stated: frozenset[str] = frozenset()
        self._doubtful: frozenset[str] = frozenset()
        self._evacuated: frozenset[str] = frozenset()
        # Incarnations that have said they are leaving, with the time. A leaf's
        # entry may vanish and return in an outage of the store.
        self._said_leaving: dict[tuple[str, int, str], float] = {}

    def __len__(self) -> int:
        return len(self._leaves)

    @property
    def leaves(self) -> Iterable[RegisteredLeaf]:
        """All known leaves, including those that are leaving."""
        return self._leaves.values()

    @property
    def leaving_count(self) -> int:
        """Number of known leaves that are leaving."""
        return sum(
            leaf.leaving_since is not None for leaf in self._leaves.values()
        )

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose leaves must not get requests."""
        return self._evacuated

    @property
    def stated_evacuations(self) -> frozenset[str]:
        """Failure domains taken out of service, doubtful or not."""
        return self._stated

    def set_evacuated(self, domains: Iterable[str]) -> None:
        """Replaces the set of failure domains taken out of service."""
        self._stated = frozenset(domains)
        self._choose_evacuated()

    def set_doubtful(self, domains: Iterable[str]) -> None:
        """Replaces the set of those that may have been taken back since.

        They count unless no leaf were left in service.
        """
        self._doubtful = frozenset(domains)
        self._choose_evacuated()

    def _choose_evacuated(self) -> None:
        self._evacuated = self._stated
        if not self._doubtful & self._stated:
            return
        with_leaves = {leaf.entry.domain for leaf in self._leaves.values()}
        if with_leaves and with_leaves <= self._stated:
            self._evacuated = self._stated - self._doubtful

    def get(self, leaf_id: str) -> RegisteredLeaf | None:
        """Returns a leaf by its identity."""
        return self._leaves.get(leaf_id)

    def put(self, entry: LeafEntry, now: float) -> bool:
        """Adds or updates an entry; returns False if a newer one is known."""
        known = self._leaves.get(entry.leaf_id)
        if known is not None and is_older(entry, known.entry):
            return False
        if known is not None and known.entry.incarnation == entry.incarnation:
            self._update(known, entry, now)
            return True
        if known is not None:
            self._drop(known)
        leaf = RegisteredLeaf(entry, now + entry.warmup_left_s)
        if entry.state is LeafState.DRAINING:
            leaf.leaving_since = -math.inf
        if entry.incarnation in self._said_leaving:
            leaf.has_said_leaving = True
            leaf.leaving_since = self._said_leaving[entry.incarnation]
        self._leaves[entry.leaf_id] = leaf
        self._by_service.setdefault(entry.service, []).append(leaf)
        return True

    def record_missing(self, leaf_id: str, now: float) -> None:
        """Records that the entry of a leaf is gone or unreadable.

        The leaf stays registered until `remove_expired` drops it.
        """
        known = self._leaves.get(leaf_id)
        if known is None:
            return
        known.has_entry = False
        if known.leaving_since is None:
            known.leaving_since = now

    def misdirected(self, leaf_id: str) -> None:
        """Records that another leaf replied at the leaf's address."""
        known = self._leaves.get(leaf_id)
        if known is not None:
            known.misdirected = True

    def record_leaving(
        self, incarnation: tuple[str, int, str], now: float
    ) -> bool:
        """Records that a leaf has said itself that it is leaving.

        Returns:
            Whether it was not known yet.
        """
        if incarnation in self._said_leaving:
            return False
        if len(self._said_leaving) >= MAX_SAID_LEAVING:
            del self._said_leaving[next(iter(self._said_leaving))]
        self._said_leaving[incarnation] = now
        known = self._leaves.get(incarnation[0])
        if known is not None and known.entry.incarnation == incarnation:
            known.has_said_leaving = True
            if known.leaving_since is None:
                known.leaving_since = now
        return True

    def retain(self, leaf_ids: set[str], now: float) -> None:
        """Records as missing the leaves that are not in a full listing."""
        for leaf_id in self._leaves.keys() - leaf_ids:
            self.record_missing(leaf_id, now)

    def remove_expired(self, now: float) -> list[RegisteredLeaf]:
        """Drops and returns the unusable leaves that have no entry.

        A draining leaf is kept as long as its entry exists. Its heartbeats
        rewrite the entry, and would register a dropped leaf as a new one.
        """
        expired = [
            leaf
            for leaf in self._leaves.values()
            if not leaf.has_entry
            and leaf.eligibility(now) is Eligibility.UNUSABLE
        ]
        for leaf in expired:
            self._drop(leaf)
        return expired

    def candidates(self, service: str, now: float) -> list[RegisteredLeaf]:
        """Returns the leaves that a request for the service may use now.

        Leaves that are leaving are returned only if there are no others.
        """
        usable: list[RegisteredLeaf] = []
        last_resort: list[RegisteredLeaf] = []
        for leaf in self._by_service.get(service, ()):
            if leaf.entry.domain in self._evacuated:
                continue
            eligibility = leaf.eligibility(now)
            if eligibility is Eligibility.USABLE:
                usable.append(leaf)
            elif eligibility is Eligibility.LAST_RESORT:
                last_resort.append(leaf)
        return usable or last_resort

    def is_candidate(self, leaf: RegisteredLeaf, now: float) -> bool:
        """Returns whether a request may use a leaf now; see candidates."""
        candidates = self.candidates(leaf.entry.service, now)
        return any(candidate is leaf for candidate in candidates)

    def domain_counts(self, services: Iterable[str]) -> dict[str, int]:
        """Counts the leaves of services by failure domain.

        Leaves that are leaving, in an evacuated domain, or whose address
        another leaf has are not counted.
        """
        counts: dict[str, int] = {}
        for service in services:
            for leaf in self._by_service.get(service, ()):
                domain = leaf.entry.domain
                if leaf.leaving_since is not None or leaf.misdirected:
                    continue
                if domain not in self._evacuated:
                    counts[domain] = counts.get(domain, 0) + 1
        return counts

    def _update(
        self, known: RegisteredLeaf, entry: LeafEntry, now: float
    ) -> None:
        # A write that is read again says nothing about the warm-up.
        if entry != known.entry:
            known.cold_until = now + entry.warmup_left_s
        known.entry = entry
        known.misdirected = False
        known.has_entry = True
        if entry.state is LeafState.READY and not known.has_said_leaving:
            known.leaving_since = None
        elif known.leaving_since is None:
            known.leaving_since = now

    def _drop(self, leaf: RegisteredLeaf) -> None:
        del self._leaves[leaf.entry.leaf_id]
        listed = self._by_service[leaf.entry.service]
        listed.remove(leaf)
        if not listed:
            del self._by_service[leaf.entry.service]


def is_older(entry: LeafEntry, known: LeafEntry) -> bool:
    """Returns whether an entry was written before another of the same leaf."""
    if entry.born_ms != known.born_ms:
        return entry.born_ms < known.born_ms
    return entry.sequence < known.sequence
