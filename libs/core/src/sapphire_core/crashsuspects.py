"""Which requests may crash leaves, as known to one VM; does no I/O.

A request is suspected when a leaf crashes while it runs there. So is whatever
else ran on the leaf, and whatever ran in a failure domain that is lost. What
tells a crashing request from a harmless one is what happens when it runs again:
a harmless one is answered. A suspected request is therefore held back, then run
once more at a single leaf, as a canary. A reply clears it. If the canary
crashes its leaf too, the request is quarantined, unless that crash may have
another cause: another request that ran on the same leaf, or a loss of several
leaves at the same moment, as of a failure domain. That doubt is limited to
MAX_CANARY_CRASHES.

Harmless requests are mostly cleared at once, by the reply to their retry.

A leaf that loses all connections while its address accepts new ones may have
crashed and started again, or may have closed them for another reason. Such a
loss counts as a crash once the request has had another one, at another leaf and
moment, and no reply since.

Crashes are told apart by the leaf, so that VMs can add up what each has seen.
All times are in seconds of one monotonic clock.
"""

from __future__ import annotations

import enum
import hashlib
import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from sapphire_core.rendezvous import MAX_WEIGHT, ranking, weight

# Smallest number of leaves that must have crashed while they ran a request
# before it is quarantined.
QUARANTINE_CRASHES = 2
# If so many of its canaries have crashed their leaves, a request is quarantined
# whatever else may have caused that.
MAX_CANARY_CRASHES = 3
# Crashes within this time may have the same cause, such as the loss of a
# failure domain. VMs learn of a crash from each other in a smaller part of it.
COINCIDENCE_S = 0.3
# A request stays quarantined for this time after it was last sent.
QUARANTINE_S = 600.0
# Time after the last crash for which a suspected request is remembered.
SUSPICION_S = 60.0
# Time after a crash before a canary may run, so that leaves which are lost
# together are known to be lost.
HOLD_S = 0.4
# The VMs may run their canaries one after the other at this interval, so that
# the first result can reach the others.
CANARY_INTERVAL_S = 0.1
MAX_CANARY_DELAY_S = 1.6
# Random part of that time, which differs by request: a harmless request and the
# one that crashed its leaf would else run their canaries at the same moment.
CANARY_JITTER_S = 0.4
# Time after the crash of a canary in which other VMs tell what else ran on the
# leaf, and replies to retries clear what is harmless.
SETTLING_S = 0.25
# Shortest time after which a caller is told to send a held request again.
MIN_RETRY_S = 0.01
DIGEST_BYTES = 8
# Resolution at which the remaining lifetime of a record enters its digest.
DIGEST_EXPIRY_STEP_S = 300.0
# Requests whose unexplained losses are remembered.
MAX_UNEXPLAINED = 4_000
# Leaves that are remembered for each request, and told to other VMs.
MAX_LEAVES = 64
MAX_SHARED_LEAVES = 8
MAX_ENTRIES = 4_000
# Crashed leaves of which the time of the crash is remembered.
MAX_CRASH_TIMES = 1_000


class CrashVerdict(enum.Enum):
    """Whether and how a request may run."""

    CLEAR = "clear"
    # Suspected; it must not run yet.
    HELD = "held"
    # Suspected; it may run, first at a single leaf.
    CANARY = "canary"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True, order=True)
class CrashedLeaf:
    """A leaf that crashed while it ran a request.

    Attributes:
        service: Service of the leaf.
        incarnation: Identity of the leaf, with the time of its start.
    """

    service: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """What a VM knows of a suspected request, for other VMs.

    Attributes:
        fingerprint: Equal for repeated requests, whoever sends them.
        leaves: Leaves that crashed under it, MAX_SHARED_LEAVES at most.
        is_quarantined: Whether it must not run.
        expires_in_s: Time until the record is forgotten.
        cleared: Leaves that crashed under it and are not put down to it any
            more, MAX_SHARED_LEAVES at most.
        canaries: Those of the leaves that crashed under a canary, the last
            MAX_CANARY_CRASHES.
    """

    fingerprint: str
    leaves: tuple[CrashedLeaf, ...]
    is_quarantined: bool
    expires_in_s: float
    cleared: tuple[CrashedLeaf, ...] = ()
    canaries: tuple[CrashedLeaf, ...] = ()

    @property
    def digest(self) -> bytes:
        """Hash that is equal if two VMs know the same of the request.

        The time until it is forgotten enters roughly, as it differs by the
        time that messages take.
        """
        content = hashlib.blake2b(digest_size=DIGEST_BYTES)
        expiry = int(self.expires_in_s // DIGEST_EXPIRY_STEP_S)
        content.update(
            f"{self.fingerprint}|{self.is_quarantined}|{expiry}".encode()
        )
        for leaves in (self.leaves, self.cleared, self.canaries):
            content.update(b"|")
            for leaf in sorted(leaves):
                content.update(f"{leaf.service}/{leaf.incarnation},".encode())
        return content.digest()


@dataclass(slots=True)
class _CanaryCrash:
    """The crash of a leaf under a canary.

    Attributes:
        at: Time of the crash, or None if the canary was one of another VM.
        is_coincident: Whether other leaves were lost at that moment; None until
            the time to settle is over.
    """

    at: float | None = None
    is_coincident: bool | None = None


@dataclass(slots=True)
class _Entry:
    """A suspected request.

    Attributes:
        expires: Time at which it is forgotten.
        canary_at: Time from which a canary may run.
        leaves: Leaves whose crashes count against it, oldest first.
        cleared: Leaves whose crashes do not count any more, oldest first.
        canaries: Those of the leaves that crashed under a canary.
        is_quarantined: Whether the request must not run.
    """

    expires: float
    canary_at: float
    leaves: dict[CrashedLeaf, None] = field(default_factory=dict)
    cleared: dict[CrashedLeaf, None] = field(default_factory=dict)
    canaries: dict[CrashedLeaf, _CanaryCrash] = field(default_factory=dict)
    is_quarantined: bool = False

    def clear(self, leaves: Iterable[CrashedLeaf]) -> bool:
        """Clears crashes; returns whether the last one was cleared."""
        known = [leaf for leaf in leaves if leaf in self.leaves]
        for leaf in known:
            del self.leaves[leaf]
            self.canaries.pop(leaf, None)
            self.cleared[leaf] = None
        return bool(known) and not self.leaves

    def record(self, fingerprint: str, now: float) -> CrashRecord:
        """Returns what to tell other VMs.

        If there are more leaves than MAX_SHARED_LEAVES, the choice does not
        depend on their order, so that all VMs end up with the same ones.
        """
        canaries = tuple(self.canaries)[-MAX_CANARY_CRASHES:]
        others = sorted(self.leaves.keys() - set(canaries))
        return CrashRecord(
            fingerprint,
            (*canaries, *others)[:MAX_SHARED_LEAVES],
            self.is_quarantined,
            self.expires - now,
            tuple(sorted(self.cleared)[:MAX_SHARED_LEAVES]),
            canaries,
        )


def _rank(entry: _Entry) -> tuple[bool, bool, bool, float]:
    """Sorts entries by how much other VMs need them."""
    return (
        not entry.is_quarantined,
        not entry.leaves,
        not entry.canaries,
        -entry.expires,
    )


class CrashSuspects:
    """The suspected requests, by fingerprint."""

    def __init__(self, member: str) -> None:
        """Starts without suspects.

        Args:
            member: Name of this VM among the members.
        """
        self._member = member
        self._members: tuple[str, ...] = (member,)
        self._entries: dict[str, _Entry] = {}
        # When this VM first knew of a crash, oldest first. Crashes that were
        # cleared stay: other leaves may have been lost with them.
        self._known_at: dict[CrashedLeaf, float] = {}
        # Leaves that may have crashed under a request, with the times at which
        # they lost their connections. Requests that were lost first come first.
        self._unexplained: dict[str, dict[CrashedLeaf, float]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def set_members(self, members: Iterable[str]) -> None:
        """Sets the names of all VMs that may run canaries."""
        self._members = tuple(sorted({*members, self._member}))

    def verdict(self, fingerprint: str, now: float) -> CrashVerdict:
        """Returns whether and how a request may run."""
        entry = self._unexpired(fingerprint, now)
        if entry is None:
            return CrashVerdict.CLEAR
        self._quarantine_if_due(fingerprint, entry, now)
        if entry.is_quarantined:
            return CrashVerdict.QUARANTINED
        if not entry.leaves:
            return CrashVerdict.CLEAR
        if now < entry.canary_at:
            return CrashVerdict.HELD
        return CrashVerdict.CANARY

    def record_refusal(self, fingerprint: str, now: float) -> float:
        """Records that a request was sent and refused.

        As long as it keeps being sent, a quarantined request stays
        quarantined.

        Returns:
            Time in seconds after which the request may run again.
        """
        entry = self._unexpired(fingerprint, now)
        if entry is None:
            return 0.0
        if entry.is_quarantined:
            entry.expires = now + QUARANTINE_S
            return QUARANTINE_S
        return max(MIN_RETRY_S, entry.canary_at - now)

    def begin_canary(self, fingerprint: str, ends_at: float) -> None:
        """Holds the request back for others while a canary runs.

        Args:
            fingerprint: Fingerprint of the request.
            ends_at: Time at which the canary ends at the latest.
        """
        entry = self._entries.get(fingerprint)
        if entry is not None:
            entry.canary_at = ends_at

    def end_canary(self, fingerprint: str, now: float) -> None:
        """Allows the next canary, once a crash of this one would be known."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            entry.canary_at = now + HOLD_S

    def canary_order(
        self, fingerprint: str, services: Iterable[str]
    ) -> list[str]:
        """Returns services in the order in which a canary should call them.

        Services whose leaves have crashed come first. Their order differs by
        request, for the reason given at CANARY_JITTER_S.
        """
        entry = self._entries.get(fingerprint)
        suspects = {leaf.service for leaf in entry.leaves} if entry else set()
        return sorted(
            services,
            key=lambda service: (
                service not in suspects,
                weight(fingerprint, service),
            ),
        )

    def record_crash(
        self, fingerprint: str, leaf: CrashedLeaf, is_canary: bool, now: float
    ) -> bool:
        """Records that a leaf crashed while it ran the request.

        Args:
            fingerprint: Fingerprint of the request.
            leaf: The leaf.
            is_canary: Whether the request was suspected when it was sent.
            now: Present time.

        Returns:
            Whether the crash was not known yet.
        """
        is_new = self._add(fingerprint, [leaf], now + SUSPICION_S, now)
        entry = self._entries[fingerprint]
        # Another VM may have told of the leaf first.
        if is_canary and leaf in entry.leaves:
            entry.canaries[leaf] = _CanaryCrash(now)
        return is_new

    def record_unexplained_loss(
        self, fingerprint: str, leaf: CrashedLeaf, is_canary: bool, now: float
    ) -> tuple[CrashedLeaf, ...]:
        """Records that a leaf may have crashed while it ran the request.

        Args:
            fingerprint: Fingerprint of the request.
            leaf: The leaf, whose address accepts connections.
            is_canary: Whether the request was suspected when it was sent.
            now: Present time.

        Returns:
            The leaves that count as crashed from now on; none if the losses may
            have another cause.
        """
        losses = self._unexplained.pop(fingerprint, {})
        losses = {
            lost: at for lost, at in losses.items() if now - at < SUSPICION_S
        }
        has_earlier = any(
            lost != leaf and now - at > COINCIDENCE_S
            for lost, at in losses.items()
        )
        losses.setdefault(leaf, now)
        if not is_canary and not has_earlier:
            self._unexplained[fingerprint] = losses
            while len(self._unexplained) > MAX_UNEXPLAINED:
                del self._unexplained[next(iter(self._unexplained))]
            return ()
        self._add(fingerprint, losses, now + SUSPICION_S, now)
        entry = self._entries[fingerprint]
        if is_canary and leaf in entry.leaves:
            # One of the MAX_CANARY_CRASHES: this one alone proves nothing.
            entry.canaries.setdefault(leaf, _CanaryCrash())
        return tuple(losses)

    def record_lost_leaf(self, leaf: CrashedLeaf, now: float) -> None:
        """Records that a leaf is gone, whether it ran a request or not."""
        self._record_known(leaf, now)

    def record_survival(
        self, fingerprint: str, service: str, is_canary: bool
    ) -> bool:
        """Records that a leaf has answered the request.

        It clears the crashes of this service. A canary clears all.

        Returns:
            Whether the request is no longer suspected.
        """
        self._unexplained.pop(fingerprint, None)
        entry = self._entries.get(fingerprint)
        if entry is None or entry.is_quarantined:
            return False
        return entry.clear(
            [
                leaf
                for leaf in entry.leaves
                if is_canary or leaf.service == service
            ]
        )

    def records(self, limit: int, now: float) -> list[CrashRecord]:
        """Returns what to tell other VMs, quarantined requests first.

        After them come the suspected requests, first those with a canary that
        crashed, then those that were cleared. If there are more than the limit,
        those that expire last are returned.
        """
        self._remove_expired(now)
        for fingerprint, entry in self._entries.items():
            self._quarantine_if_due(fingerprint, entry, now)
        first = heapq.nsmallest(
            limit, self._entries.items(), key=lambda item: _rank(item[1])
        )
        return [entry.record(fingerprint, now) for fingerprint, entry in first]

    def records_of(
        self, fingerprints: Iterable[str], now: float
    ) -> list[CrashRecord]:
        """Returns the records of certain requests, if they are known."""
        found = []
        for fingerprint in fingerprints:
            entry = self._unexpired(fingerprint, now)
            if entry is not None:
                self._quarantine_if_due(fingerprint, entry, now)
                found.append(entry.record(fingerprint, now))
        return found

    def merge(
        self, records: Iterable[CrashRecord], now: float
    ) -> list[tuple[str, CrashVerdict]]:
        """Merges what another VM has told.

        Returns:
            Fingerprints of which this VM has learned something, each with its
            verdict from now on.
        """
        changed = [
            record.fingerprint
            for record in records
            if record.expires_in_s > 0 and self._merge_one(record, now)
        ]
        # Only now: one record may explain a crash that another one names.
        return [(name, self.verdict(name, now)) for name in changed]

    def _merge_one(self, record: CrashRecord, now: float) -> bool:
        limit_s = QUARANTINE_S if record.is_quarantined else SUSPICION_S
        expires = now + min(record.expires_in_s, limit_s)
        has_new = self._add(record.fingerprint, record.leaves, expires, now)
        entry = self._entries.get(record.fingerprint)
        if entry is None:
            entry = _Entry(expires, now)
            self._store(record.fingerprint, entry, now)
        if record.cleared:
            self._unexplained.pop(record.fingerprint, None)
        is_cleared = entry.clear(record.cleared)
        for leaf in record.cleared[: MAX_LEAVES - len(entry.cleared)]:
            entry.cleared.setdefault(leaf)
            self._record_known(leaf, now)
        for leaf in record.canaries:
            if leaf in entry.leaves:
                entry.canaries.setdefault(leaf, _CanaryCrash())
        is_newly_quarantined = (
            record.is_quarantined and not entry.is_quarantined
        )
        if record.is_quarantined:
            entry.is_quarantined = True
            entry.expires = max(entry.expires, expires)
        return has_new or is_cleared or is_newly_quarantined

    def _add(
        self,
        fingerprint: str,
        leaves: Iterable[CrashedLeaf],
        expires: float,
        now: float,
    ) -> bool:
        """Adds crashes to an entry; returns whether any of them is new."""
        entry = self._unexpired(fingerprint, now)
        leaves = tuple(leaves)
        for leaf in leaves:
            self._record_known(leaf, now)
        new = [
            leaf
            for leaf in leaves
            if entry is None
            or (leaf not in entry.leaves and leaf not in entry.cleared)
        ]
        if not new:
            return False
        if entry is None:
            entry = _Entry(expires, now)
            self._store(fingerprint, entry, now)
        entry.leaves.update(dict.fromkeys(new))
        while len(entry.leaves) > MAX_LEAVES:
            oldest = next(iter(entry.leaves))
            del entry.leaves[oldest]
            entry.canaries.pop(oldest, None)
        entry.expires = max(entry.expires, expires)
        delay_s = HOLD_S + self._canary_delay_s(fingerprint)
        entry.canary_at = max(entry.canary_at, now + delay_s)
        return True

    def _canary_delay_s(self, fingerprint: str) -> float:
        position = ranking(fingerprint, self._members).index(self._member)
        jitter = weight(fingerprint, "canary") / MAX_WEIGHT
        return min(
            position * CANARY_INTERVAL_S + jitter * CANARY_JITTER_S,
            MAX_CANARY_DELAY_S,
        )

    def _quarantine_if_due(
        self, fingerprint: str, entry: _Entry, now: float
    ) -> None:
        if entry.is_quarantined or len(entry.leaves) < QUARANTINE_CRASHES:
            return
        if len(entry.canaries) >= MAX_CANARY_CRASHES or any(
            crash.at is not None
            and now >= crash.at + SETTLING_S
            and not self._is_explained(fingerprint, entry, leaf, crash)
            for leaf, crash in entry.canaries.items()
        ):
            entry.is_quarantined = True
            entry.expires = now + QUARANTINE_S

    def _is_explained(
        self,
        fingerprint: str,
        entry: _Entry,
        leaf: CrashedLeaf,
        crash: _CanaryCrash,
    ) -> bool:
        """Returns whether the crash of a canary may have another cause."""
        if crash.is_coincident is None:
            crash.is_coincident = self._is_coincident(entry, leaf)
        return crash.is_coincident or self._is_explained_by_company(
            fingerprint, entry, leaf
        )

    def _is_explained_by_company(
        self, fingerprint: str, entry: _Entry, leaf: CrashedLeaf
    ) -> bool:
        """Returns whether a crash may be the work of another request.

        It may be if the other request ran there too, was not cleared, and has
        as many crashed leaves.
        """
        return any(
            leaf in other.leaves and len(other.leaves) >= len(entry.leaves)
            for name, other in self._entries.items()
            if name != fingerprint
        )

    def _is_coincident(self, entry: _Entry, leaf: CrashedLeaf) -> bool:
        """Returns whether a leaf may have been lost together with others.

        It may be if a leaf crashed at the same moment on which the request did
        not run.
        """
        known_at = self._known_at.get(leaf)
        return known_at is not None and any(
            abs(other_at - known_at) <= COINCIDENCE_S
            and other not in entry.leaves
            and other not in entry.cleared
            for other, other_at in self._known_at.items()
        )

    def _record_known(self, leaf: CrashedLeaf, now: float) -> None:
        self._known_at.setdefault(leaf, now)
        while len(self._known_at) > MAX_CRASH_TIMES:
            del self._known_at[next(iter(self._known_at))]

    def _store(self, fingerprint: str, entry: _Entry, now: float) -> None:
        if len(self._entries) >= MAX_ENTRIES:
            self._remove_expired(now)
        if len(self._entries) >= MAX_ENTRIES:
            del self._entries[min(self._entries, key=self._eviction_rank)]
        self._entries[fingerprint] = entry

    def _eviction_rank(self, fingerprint: str) -> tuple[bool, bool, float]:
        entry = self._entries[fingerprint]
        is_dangerous = entry.is_quarantined or bool(entry.canaries)
        return is_dangerous, bool(entry.leaves), entry.expires

    def _unexpired(self, fingerprint: str, now: float) -> _Entry | None:
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires <= now:
            del self._entries[fingerprint]
            return None
        return entry

    def _remove_expired(self, now: float) -> None:
        expired = [f for f, e in self._entries.items() if e.expires <= now]
        for fingerprint in expired:
            del self._entries[fingerprint]
