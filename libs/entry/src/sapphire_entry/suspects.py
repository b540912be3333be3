"""What is known about queries that may crash leaves."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

import trio
from sapphire_core.errors import QuarantinedError

HARMLESS_ENTRIES = 4096
# Crashes that quarantine a query; see section 6.5 of the design.
QUARANTINE_CRASHES = 2


def fingerprint(service: str, text: str, k: int) -> str:
    """Returns the hash of service, normalised text and k."""
    normal = " ".join(text.casefold().split())
    data = f"{service}\0{normal}\0{k}".encode()
    return hashlib.blake2b(data, digest_size=16).hexdigest()


class Suspects:
    """Harmless queries, crashes and quarantine, by fingerprint."""

    def __init__(self, quarantine_s: float) -> None:
        """Starts with nothing known.

        Args:
            quarantine_s: How long a crash is remembered.
        """
        self.quarantine_s = quarantine_s
        self._harmless: OrderedDict[str, None] = OrderedDict()
        self._crashes: dict[str, tuple[int, float]] = {}
        self._running: dict[str, trio.Event] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def is_harmless(self, key: str) -> bool:
        """Whether the query has run without a crash."""
        if key not in self._harmless:
            return False
        self._harmless.move_to_end(key)
        return True

    def crashes(self, key: str, now: float) -> int:
        """Returns how many leaves the query is known to have crashed."""
        count, expires = self._crashes.get(key, (0, now))
        if expires > now:
            return count
        self._crashes.pop(key, None)
        return 0

    def check(self, key: str, now: float) -> None:
        """Refuses a quarantined query.

        Raises:
            QuarantinedError: The query has crashed two leaves.
        """
        if self._crashes and self.crashes(key, now) >= QUARANTINE_CRASHES:
            raise QuarantinedError("the query has crashed leaves.")

    def note_harmless(self, key: str) -> None:
        """Remembers a query that a leaf has answered, and tells waiters."""
        self._harmless[key] = None
        self._harmless.move_to_end(key)
        if len(self._harmless) > HARMLESS_ENTRIES:
            self._harmless.popitem(last=False)
        if self._crashes.get(key, (0, 0.0))[0] < QUARANTINE_CRASHES:
            self._crashes.pop(key, None)
        self.end_canary(key)

    def note_suspect(self, key: str, now: float) -> None:
        """Remembers a query that was running when a leaf was lost.

        Several leaves lost in one run count once: they may have shared a
        machine. Only the loss of a leaf that ran the query alone adds up.
        """
        count = max(1, self.crashes(key, now))
        self._set(key, count, now + self.quarantine_s)

    def quarantine(self, key: str, now: float) -> None:
        """Refuses the query from now on."""
        self._set(key, QUARANTINE_CRASHES, now + self.quarantine_s)

    def take(self, records: Iterable[Any], now: float) -> None:
        """Takes the CrashRecords of an aggregator.

        A single crash counts until the query proves harmless here, since
        aggregators go on reporting it.
        """
        for record in records:
            key = record.fingerprint
            known = self.crashes(key, now)
            if record.crashes <= known:
                continue
            if record.crashes < QUARANTINE_CRASHES and key in self._harmless:
                continue
            expires = now + record.expires_in_ms / 1000
            self._set(key, record.crashes, expires)

    def canary(self, key: str) -> trio.Event | None:
        """Returns the event that ends a running canary, or None."""
        return self._running.get(key)

    def begin_canary(self, key: str) -> None:
        """Makes equal queries wait for this query's canary."""
        self._running[key] = trio.Event()

    def end_canary(self, key: str) -> None:
        """Lets waiting queries go on; no effect if none is running."""
        event = self._running.pop(key, None)
        if event is not None:
            event.set()

    def _set(self, key: str, count: int, expires: float) -> None:
        self._harmless.pop(key, None)
        self._crashes[key] = (count, expires)
