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

    def is_known_safe(self, key: str, now: float) -> bool:
        """Whether the query has succeeded here and no crash is on record."""
        if key not in self._known_safe:
            return False
        if self._quarantine.verdict(key, now) is not Verdict.CLEAR:
            return False
        self._known_safe.move_to_end(key)
        return True

    def crash_count(self, key: str, now: float) -> int:
        """Returns the number of known leaf crashes caused by the query."""
        return _CRASH_COUNTS[self._quarantine.verdict(key, now)]

    def raise_if_quarantined(self, key: str, now: float) -> None:
        """Rejects a quarantined query.

        Raises:
            QuarantinedError: The query has crashed two leaves.
        """
        if self._quarantine.verdict(key, now) is Verdict.QUARANTINED:
            raise QuarantinedError("the query has crashed leaves.")

    def record_success(self, key: str, now: float) -> None:
        """Marks an answered query as safe and ends its canary."""
        self._quarantine.record_survival(key, now)
        self._known_safe[key] = None
        self._known_safe.move_to_end(key)
        if len(self._known_safe) > MAX_SAFE_QUERIES:
            self._known_safe.popitem(last=False)
        self.end_canary(key)

    def record_crash(self, key: str, now: float) -> None:
        """Records that a leaf was lost while running the query.

        Leaves lost in the same run count as one crash because they may share
        a machine. Crashes accumulate only if the leaf ran the query alone.
        """
        self._quarantine.record_crash(key, now, alone=False)

    def quarantine(self, key: str, now: float) -> None:
        """Quarantines the query."""
        record = CrashCount(key, QUARANTINE_CRASHES, self._quarantine_s)
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

    def running_canary(self, key: str) -> trio.Event | None:
        """Returns the completion event of a running canary, or None."""
        return self._running_canaries.get(key)

    def begin_canary(self, key: str) -> None:
        """Registers a canary that identical queries wait for."""
        self._running_canaries[key] = trio.Event()

    def end_canary(self, key: str) -> None:
        """Wakes the queries that wait for a canary, if one is running."""
        event = self._running_canaries.pop(key, None)
        if event is not None:
            event.set()
