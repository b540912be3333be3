"""Announcements of entries, passed on to every entry that asks for a view."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Any

# Entries announce themselves in each poll, twice a second. A lost entry is
# dropped early enough to be off every list of addresses within 5 s.
KEEP_S = 3.0
_SEQUENCE_BITS = 40


@dataclass(frozen=True, slots=True)
class _Kept:
    """A record and the time of its last announcement, in seconds."""

    record: Any
    heard_at: float


class Announcements:
    """Keeps the newest EntryRecord of each entry by address.

    All times are seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        # Ordered by the time of the last announcement.
        self._kept: dict[str, _Kept] = {}
        # A random start keeps the numbers of a restarted daemon apart from
        # those of its predecessor.
        self._sequence = secrets.randbits(_SEQUENCE_BITS) + 1

    @property
    def sequence(self) -> int:
        """Number that changes with each change of the records."""
        return self._sequence

    def take(self, record: Any, now: float) -> None:
        """Keeps a record unless a newer one of the same entry is known.

        A record with ready=false is kept too, so that it replaces the former
        one wherever that is known.
        """
        if record is None or not record.address:
            return
        former = self._kept.get(record.address)
        if former is not None and record.stamp < former.record.stamp:
            return
        self._kept.pop(record.address, None)
        self._kept[record.address] = _Kept(record, now)
        if former is None or former.record != record:
            self._sequence += 1

    def expire(self, now: float) -> None:
        """Drops the records that were not announced again in time."""
        for address, kept in list(self._kept.items()):
            if now - kept.heard_at < KEEP_S:
                return
            del self._kept[address]
            self._sequence += 1

    def news(self, known: int | None) -> list[Any] | None:
        """Returns all records, or None if the asker knows them already."""
        if known == self._sequence:
            return None
        return [kept.record for kept in self._kept.values()]
