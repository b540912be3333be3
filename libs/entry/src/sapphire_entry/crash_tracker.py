"""Tracks which queries are safe and which may crash leaves."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

import trio
from sapphire_core.errors import QuarantinedError
from sapphire_core.quarantine import (
    QUARANTINE_CRASHES,
    CrashCount,
    Quarantine,
    Verdict,
)

MAX_SAFE_QUERIES = 4096

_CRASH_COUNTS = {
    Verdict.CLEAR: 0,
    Verdict.SUSPECT: 1,
    Verdict.QUARANTINED: QUARANTINE_CRASHES,
}


class CrashTracker:
    """Safe queries, running canaries and quarantine, by fingerprint."""

    def __init__(self, quarantine_s: float) -> None:
        """Creates an empty tracker.

        Args:
            quarantine_s: Lifetime of crash records.
        """
        self._quarantine_s = quarantine_s
        self._quarantine = Quarantine(quarantine_s)
        self._known_safe: OrderedDict[str, None] = OrderedDict()
        self._running_canaries: dict[str, trio.Event] = {}

    def set_expiry(self, quarantine_s: float) -> None:
        """Sets the lifetime of crash records created from now on."""
        self._quarantine_s = quarantine_s
        self._quarantine.set_expiry(quarantine_s)

    def suspect_count(self, now: float) -> int:
        """Returns the number of suspect and quarantined queries."""
        return len(self._quarantine.records(now))

    def is_known_safe(self, fingerprint: str, now: float) -> bool:
        """Whether the query has succeeded here and no crash is on record."""
        if fingerprint not in self._known_safe:
            return False
        if self._quarantine.verdict(fingerprint, now) is not Verdict.CLEAR:
            return False
        self._known_safe.move_to_end(fingerprint)
        return True

    def crash_count(self, fingerprint: str, now: float) -> int:
        """Returns 0 for a clear, 1 for a suspect, 2 for a quarantined query.

        A suspect is a query that was running when a leaf crashed.
        """
        return _CRASH_COUNTS[self._quarantine.verdict(fingerprint, now)]

    def raise_if_quarantined(self, fingerprint: str, now: float) -> None:
        """Rejects a quarantined query.

        Raises:
            QuarantinedError: The query has crashed two leaves.
        """
        if self._quarantine.verdict(fingerprint, now) is Verdict.QUARANTINED:
            raise QuarantinedError("the query has crashed leaves.")

    def record_success(self, fingerprint: str, now: float) -> None:
        """Marks an answered query as safe and ends its canary."""
        self._quarantine.record_survival(fingerprint, now)
        self._known_safe[fingerprint] = None
        self._known_safe.move_to_end(fingerprint)
        if len(self._known_safe) > MAX_SAFE_QUERIES:
            self._known_safe.popitem(last=False)
        self.end_canary(fingerprint)

    def record_crash(self, fingerprint: str, now: float) -> None:
        """Makes the query a suspect, after a leaf was lost while running it.

        This never raises the count above one: leaves lost in the same run may
        share a machine. Gather counts the crashes of calls that run alone, and
        a second one leads to quarantine().
        """
        self._quarantine.record_crash(fingerprint, now, alone=False)

    def quarantine(self, fingerprint: str, now: float) -> None:
        """Quarantines the query."""
        record = CrashCount(fingerprint, QUARANTINE_CRASHES, self._quarantine_s)
        self._quarantine.merge([record], now)

    def merge_records(self, records: Iterable[Any], now: float) -> None:
        """Merges the CrashRecords of an aggregator."""
        self._quarantine.merge(
            [
                CrashCount(r.fingerprint, r.crashes, r.expires_in_ms / 1000)
                for r in records
            ],
            now,
        )

    def running_canary(self, fingerprint: str) -> trio.Event | None:
        """Returns the completion event of a running canary, or None."""
        return self._running_canaries.get(fingerprint)

    def begin_canary(self, fingerprint: str) -> None:
        """Registers a canary that identical queries wait for."""
        self._running_canaries[fingerprint] = trio.Event()

    def end_canary(self, fingerprint: str) -> None:
        """Wakes the queries that wait for a canary, if one is running."""
        event = self._running_canaries.pop(fingerprint, None)
        if event is not None:
            event.set()
