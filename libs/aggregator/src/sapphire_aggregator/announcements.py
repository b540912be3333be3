"""Announcements of entries, passed on to every entry that asks for a view."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Any

# Entries announce themselves in each poll, twice a second. A lost entry is
# dropped early enough to be off every list of addresses within 5 s.
RETENTION_S = 3.0
_SEQUENCE_BITS = 40


@dataclass(frozen=True, slots=True)
class _Announcement:
    """A record and the time of its last announcement, in seconds."""

    record: Any
    received_at: float


class Announcements:
    """Keeps the newest EntryRecord of each entry by address.

    All times are seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        # Ordered by the time of the last announcement.
        self._announcements: dict[str, _Announcement] = {}
        # A random start keeps the numbers of a restarted daemon apart from
        # those of its predecessor.
        self._sequence = secrets.randbits(_SEQUENCE_BITS) + 1

    @property
    def sequence(self) -> int:
        """Number that changes with each change of the records."""
        return self._sequence

    def add(self, record: Any, now: float) -> None:
        """Keeps a record unless a newer one of the same entry is known.

        A record with ready=false is kept too, so that it replaces the former
        one wherever that is known.
        """
        if record is None or not record.address:
            return
        former = self._announcements.get(record.address)
        if former is not None and record.stamp < former.record.stamp:
            return
        self._announcements.pop(record.address, None)
        self._announcements[record.address] = _Announcement(record, now)
        if former is None or former.record != record:
            self._sequence += 1

    def expire(self, now: float) -> None:
        """Drops the records that were not announced again in time."""
        for address, announcement in list(self._announcements.items()):
            if now - announcement.received_at < RETENTION_S:
                return
            del self._announcements[address]
            self._sequence += 1

    def changed_records(self, known: int | None) -> list[Any] | None:
        """Returns all records, or None if the asker knows them already."""
        if known == self._sequence:
            return None
        return [
            announcement.record for announcement in self._announcements.values()
        ]
