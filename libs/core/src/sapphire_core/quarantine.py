"""Quarantine of requests that crash leaves (section 6.5 of docs/design.md).

A process keeps an entry for each request that was running when a leaf crashed.
The members in this module are the processes that send each other the crash
counts of their entries, as records.
"""

from __future__ import annotations

import enum
import hashlib
import unicodedata
from collections.abc import Iterable
from dataclasses import dataclass

QUARANTINE_CRASHES = 2
# Records reach other members with a delay. A received expiry that is later by
# no more than this belongs to the same crash and must not extend the entry.
EXPIRY_TOLERANCE_S = 5.0
MAX_ENTRIES = 10_000


class Verdict(enum.Enum):
    """Whether and how a request may run."""

    CLEAR = "clear"
    # A crash is counted, but too few for quarantine. An aggregator sends the
    # request to a leaf only while the leaf runs no other.
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True, slots=True)
class CrashCount:
    """Record of the crash count of a fingerprint, for other members."""

    fingerprint: str
    crashes: int
    expires_in_s: float


@dataclass(slots=True)
class _Entry:
    crashes: int
    expires: float
    cleared: bool = False
    # Leaves that crashed while running this request and no other.
    leaves: frozenset[str] = frozenset()


def fingerprint(service: str, text: str, k: int) -> str:
    """Returns the fingerprint of a request as a hexadecimal string.

    Texts that differ only in case, Unicode form or white space have the same
    fingerprint.
    """
    folded = unicodedata.normalize("NFKC", text).casefold()
    normal = " ".join(folded.split())
    data = f"{service}\0{normal}\0{k}".encode("utf-8", "surrogatepass")
    return hashlib.blake2b(data, digest_size=16).hexdigest()


class Quarantine:
    """Counts crashes by fingerprint.

    All times are in seconds of the same monotonic clock.
    """

    def __init__(self, expire_s: float) -> None:
        self._expire_s = expire_s
        self._entries: dict[str, _Entry] = {}

    def set_expiry(self, expire_s: float) -> None:
        """Sets the lifetime of entries that are stored from now on."""
        self._expire_s = expire_s

    def verdict(self, fingerprint: str, now: float) -> Verdict:
        """Returns whether and how a request with this fingerprint may run."""
        entry = self._unexpired(fingerprint, now)
        if entry is None or entry.cleared:
            return Verdict.CLEAR
        if entry.crashes >= QUARANTINE_CRASHES:
            return Verdict.QUARANTINED
        return Verdict.SUSPECT

    def record_crash(
        self, fingerprint: str, now: float, alone: bool, leaf: str = ""
    ) -> Verdict:
        """Counts a connection that was lost while the request was running.

        Crashes after the first are counted only if `alone` is set. When a
        failure domain is lost, many leaves that run the same harmless request
        are lost together. Each crash renews the lifetime of the entry, counted
        or not.

        Args:
            fingerprint: Fingerprint of the request.
            now: Present time in seconds.
            alone: Whether the crash is evidence against this request even if
                others were counted before. Aggregators set it if the leaf ran
                no other request, gateways if the last crash of a leaf that ran
                this request was some time ago.
            leaf: Name of the leaf, if others may report the same crash.
        """
        entry = self._unexpired(fingerprint, now)
        if entry is None or entry.cleared:
            entry = _Entry(0, now)
        crashes, leaves = entry.crashes, entry.leaves
        if alone or crashes == 0:
            crashes += 1
        if alone and leaf:
            leaves |= {leaf}
        expires = now + self._expire_s
        self._store(fingerprint, _Entry(crashes, expires, leaves=leaves), now)
        return self.verdict(fingerprint, now)

    def record_survival(self, fingerprint: str, now: float) -> None:
        """Clears a suspect that ran alone without crashing its leaf.

        The cleared entry is kept until it expires, so that records of other
        members do not make the request a suspect again.
        """
        if self.verdict(fingerprint, now) is Verdict.SUSPECT:
            self._entries[fingerprint].cleared = True

    def records(self, now: float) -> list[CrashCount]:
        """Returns the records to send to other members."""
        self._remove_expired(now)
        return [
            CrashCount(name, entry.crashes, entry.expires - now)
            for name, entry in self._entries.items()
            if not entry.cleared
        ]

    def merge(self, records: Iterable[CrashCount], now: float) -> None:
        """Merges records of another member that have more or later crashes."""
        for record in records:
            if record.crashes < 1 or record.expires_in_s <= 0:
                continue
            lifetime_s = min(record.expires_in_s, self._expire_s)
            self._merge_one(record, now + lifetime_s, now)

    def merge_count(self, fingerprint: str, crashes: int, now: float) -> None:
        """Merges the crash count that an entry process sends with a request.

        The leaves that a request crashes may be held by different members.
        Without the count of the entry process, each member would know of its
        own crash only.
        """
        known = min(crashes, QUARANTINE_CRASHES)
        self.merge([CrashCount(fingerprint, known, self._expire_s)], now)

    def merge_crashed_leaves(
        self, fingerprint: str, leaves: Iterable[str], now: float
    ) -> None:
        """Merges the names of leaves that crashed while running it alone.

        Counts do not show whether two reports are of the same crash, while the
        names of the leaves do. Two different leaves quarantine the request.
        """
        entry = self._unexpired(fingerprint, now)
        if entry is None or entry.cleared:
            return
        entry.leaves = entry.leaves.union(leaves)
        if len(entry.leaves) >= QUARANTINE_CRASHES > entry.crashes:
            entry.crashes = QUARANTINE_CRASHES
            entry.expires = now + self._expire_s

    def _merge_one(
        self, record: CrashCount, expires: float, now: float
    ) -> None:
        entry = self._unexpired(record.fingerprint, now)
        if entry is not None:
            if record.crashes < entry.crashes:
                return
            if record.crashes == entry.crashes and (
                entry.cleared or expires <= entry.expires + EXPIRY_TOLERANCE_S
            ):
                return
            expires = max(expires, entry.expires)
        leaves = entry.leaves if entry is not None else frozenset[str]()
        self._store(
            record.fingerprint,
            _Entry(record.crashes, expires, leaves=leaves),
            now,
        )

    def _store(self, fingerprint: str, entry: _Entry, now: float) -> None:
        if len(self._entries) >= MAX_ENTRIES:
            self._remove_expired(now)
        if len(self._entries) >= MAX_ENTRIES:
            soonest = min(
                self._entries,
                key=lambda f: (
                    self._entries[f].crashes >= QUARANTINE_CRASHES,
                    self._entries[f].expires,
                ),
            )
            del self._entries[soonest]
        self._entries[fingerprint] = entry

    def _unexpired(self, fingerprint: str, now: float) -> _Entry | None:
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.expires <= now:
            del self._entries[fingerprint]
            return None
        return entry

    def _remove_expired(self, now: float) -> None:
        gone = [f for f, e in self._entries.items() if e.expires <= now]
        for fingerprint in gone:
            del self._entries[fingerprint]
