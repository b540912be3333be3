"""What is known about queries that may crash leaves."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

import trio
from sapphire_core.errors import QuarantinedError
from sapphire_core.quarantine import (
    QUARANTINE_CRASHES,
    Quarantine,
    Record,
    Verdict,
)

MAX_SAFE_QUERIES = 4096

_CRASH_COUNTS = {
    Verdict.CLEAR: 0,
    Verdict.SUSPECT: 1,
    Verdict.QUARANTINED: QUARANTINE_CRASHES,
}


class CrashTracker:
    """Harmless queries, running canaries and quarantine, by fingerprint."""

    def __init__(self, quarantine_s: float) -> None:
        """Starts with nothing known.

        Args:
            quarantine_s: How long a crash is remembered.
        """
        self._quarantine_s = quarantine_s
        self._quarantine = Quarantine(quarantine_s)
        self._known_safe: OrderedDict[str, None] = OrderedDict()
        self._running_canaries: dict[str, trio.Event] = {}

    def set_expiry(self, quarantine_s: float) -> None:
        """Adopts a new life time for crashes from now on."""
        self._quarantine_s = quarantine_s
        self._quarantine.set_expiry(quarantine_s)

    def suspect_count(self, now: float) -> int:
        """Returns how many queries are suspects or quarantined."""
        return len(self._quarantine.records(now))

    def is_known_safe(self, key: str, now: float) -> bool:
        """Whether the query has run here and no crash is known."""
        if key not in self._known_safe:
            return False
        if self._quarantine.verdict(key, now) is not Verdict.CLEAR:
            return False
        self._known_safe.move_to_end(key)
        return True

    def crash_count(self, key: str, now: float) -> int:
        """Returns how many leaves the query is known to have crashed."""
        return _CRASH_COUNTS[self._quarantine.verdict(key, now)]

    def raise_if_quarantined(self, key: str, now: float) -> None:
        """Refuses a quarantined query.

        Raises:
            QuarantinedError: The query has crashed two leaves.
        """
        if self._quarantine.verdict(key, now) is Verdict.QUARANTINED:
            raise QuarantinedError("the query has crashed leaves.")

    def record_success(self, key: str, now: float) -> None:
        """Remembers a query that a leaf has answered, and tells waiters."""
        self._quarantine.survived(key, now)
        self._known_safe[key] = None
        self._known_safe.move_to_end(key)
        if len(self._known_safe) > MAX_SAFE_QUERIES:
            self._known_safe.popitem(last=False)
        self.end_canary(key)

    def record_crash(self, key: str, now: float) -> None:
        """Remembers a query that was running when a leaf was lost.

        Several leaves lost in one run count once: they may have shared a
        machine. Only the loss of a leaf that ran the query alone adds up.
        """
        self._quarantine.crashed(key, now, alone=False)

    def quarantine(self, key: str, now: float) -> None:
        """Refuses the query from now on."""
        record = Record(key, QUARANTINE_CRASHES, self._quarantine_s)
        self._quarantine.merge([record], now)

    def merge_records(self, records: Iterable[Any], now: float) -> None:
        """Takes the CrashRecords of an aggregator."""
        self._quarantine.merge(
            [
                Record(r.fingerprint, r.crashes, r.expires_in_ms / 1000)
                for r in records
            ],
            now,
        )

    def running_canary(self, key: str) -> trio.Event | None:
        """Returns the event that ends a running canary, or None."""
        return self._running_canaries.get(key)

    def begin_canary(self, key: str) -> None:
        """Makes equal queries wait for this query's canary."""
        self._running_canaries[key] = trio.Event()

    def end_canary(self, key: str) -> None:
        """Lets waiting queries go on; no effect if none is running."""
        event = self._running_canaries.pop(key, None)
        if event is not None:
            event.set()
