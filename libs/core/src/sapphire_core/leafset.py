"""Which leaves exist, as they register themselves in the platform's store."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

# A leaf that is leaving or whose entry has vanished serves for some seconds
# more. Within this time it's used if its service has no other leaf: entries
# that lapsed in an outage of the store are back by then.
LAST_RESORT_S = 2.0


class LeafState(enum.Enum):
    """What a leaf says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class LeafEntry:
    """A leaf's entry in the store.

    Attributes:
        leaf_id: Identity of the leaf; it survives some restarts.
        service: Name of the service that the leaf runs.
        address: Host and port.
        domain: Failure domain.
        slots: Requests that it runs concurrently.
        state: Whether it accepts new work.
        warmup_left_s: How long it stays cold, counted from this entry.
        born_ms: Unix time in milliseconds of its start; with the identity it
            names an incarnation.
        sequence: Position of the entry among those of the incarnation.
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
        """Changes when the leaf restarts or moves."""
        return (self.leaf_id, self.born_ms, self.address)


class Standing(enum.Enum):
    """How far a leaf may be used now."""

    USABLE = "usable"
    LAST_RESORT = "last_resort"
    UNUSABLE = "unusable"


@dataclass(slots=True)
class RegisteredLeaf:
    """The newest entry of a leaf and when it was learned.

    Attributes:
        entry: Newest valid entry.
        cold_until: Time up to which the leaf is cold.
        leaving_since: When it was first seen draining or gone; minus infinity
            if it was draining when it was first seen.
        has_entry: Its entry is in the store.
        misdirected: Another leaf answered at the address.
    """

    entry: LeafEntry
    cold_until: float
    leaving_since: float | None = None
    misdirected: bool = False
    has_entry: bool = True

    def standing(self, now: float) -> Standing:
        """Returns how far the leaf may be used."""
        if self.misdirected:
            return Standing.UNUSABLE
        if self.leaving_since is None:
            return Standing.USABLE
        if now - self.leaving_since < LAST_RESORT_S:
            return Standing.LAST_RESORT
        return Standing.UNUSABLE

    def is_cold(self, now: float) -> bool:
        """Returns whether the leaf is still warming up."""
        return now < self.cold_until


class LeafRegistry:
    """Leaves by service, kept current by entries and their removal.

    All times are seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        self._leaves: dict[str, RegisteredLeaf] = {}
        self._by_service: dict[str, list[RegisteredLeaf]] = {}
        self._evacuated: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._leaves)

    @property
    def leaves(self) -> Iterable[RegisteredLeaf]:
        """All leaves that are known, leaving ones included."""
        return self._leaves.values()

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose leaves must get no requests."""
        return self._evacuated

    def set_evacuated(self, domains: Iterable[str]) -> None:
        """Replaces the set of failure domains taken out of service."""
        self._evacuated = frozenset(domains)

    def get(self, leaf_id: str) -> RegisteredLeaf | None:
        """Returns a leaf by its identity."""
        return self._leaves.get(leaf_id)

    def put(self, entry: LeafEntry, now: float) -> bool:
        """Takes an entry; returns False for one older than the known entry."""
        known = self._leaves.get(entry.leaf_id)
        if known is not None and _is_older(entry, known.entry):
            return False
        if known is not None and known.entry.incarnation == entry.incarnation:
            self._update(known, entry, now)
            return True
        if known is not None:
            self._drop(known)
        leaf = RegisteredLeaf(entry, now + entry.warmup_left_s)
        if entry.state is LeafState.DRAINING:
            leaf.leaving_since = -math.inf
        self._leaves[entry.leaf_id] = leaf
        self._by_service.setdefault(entry.service, []).append(leaf)
        return True

    def remove(self, leaf_id: str, now: float) -> None:
        """Notes that the entry of a leaf has vanished or can't be read."""
        known = self._leaves.get(leaf_id)
        if known is None:
            return
        known.has_entry = False
        if known.leaving_since is None:
            known.leaving_since = now

    def misdirected(self, leaf_id: str) -> None:
        """Notes that another leaf answered at the leaf's address."""
        known = self._leaves.get(leaf_id)
        if known is not None:
            known.misdirected = True

    def retain(self, leaf_ids: set[str], now: float) -> None:
        """Removes each leaf that a full listing does not contain."""
        for leaf_id in self._leaves.keys() - leaf_ids:
            self.remove(leaf_id, now)

    def remove_expired(self, now: float) -> list[RegisteredLeaf]:
        """Drops and returns the leaves without entry that may not be used.

        A draining leaf is kept as long as its entry, which is written again
        at each heartbeat.
        """
        gone = [
            leaf
            for leaf in self._leaves.values()
            if not leaf.has_entry and leaf.standing(now) is Standing.UNUSABLE
        ]
        for leaf in gone:
            self._drop(leaf)
        return gone

    def candidates(self, service: str, now: float) -> list[RegisteredLeaf]:
        """Returns the leaves that a request for the service may use now.

        Leaves that are leaving are returned only if there is no other.
        """
        usable: list[RegisteredLeaf] = []
        last_resort: list[RegisteredLeaf] = []
        for leaf in self._by_service.get(service, ()):
            if leaf.entry.domain in self._evacuated:
                continue
            standing = leaf.standing(now)
            if standing is Standing.USABLE:
                usable.append(leaf)
            elif standing is Standing.LAST_RESORT:
                last_resort.append(leaf)
        return usable or last_resort

    def domain_counts(self, services: Iterable[str]) -> dict[str, int]:
        """Counts the usable leaves of services by failure domain."""
        counts: dict[str, int] = {}
        for service in services:
            for leaf in self._by_service.get(service, ()):
                domain = leaf.entry.domain
                if leaf.leaving_since is None and domain not in self._evacuated:
                    counts[domain] = counts.get(domain, 0) + 1
        return counts

    def _update(
        self, known: RegisteredLeaf, entry: LeafEntry, now: float
    ) -> None:
        known.entry = entry
        known.misdirected = False
        known.has_entry = True
        known.cold_until = now + entry.warmup_left_s
        if entry.state is LeafState.READY:
            known.leaving_since = None
        elif known.leaving_since is None:
            known.leaving_since = now

    def _drop(self, leaf: RegisteredLeaf) -> None:
        del self._leaves[leaf.entry.leaf_id]
        listed = self._by_service[leaf.entry.service]
        listed.remove(leaf)
        if not listed:
            del self._by_service[leaf.entry.service]


def _is_older(entry: LeafEntry, known: LeafEntry) -> bool:
    if entry.born_ms != known.born_ms:
        return entry.born_ms < known.born_ms
    return entry.sequence < known.sequence
