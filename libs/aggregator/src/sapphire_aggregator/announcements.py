"""Registry of the entries that announced themselves, sent with views."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import Any

# Entries announce themselves in each poll, twice a second. A lost entry has
# to disappear from every list of addresses within 5 s.
RETENTION_S = 3.0
_SEQUENCE_BITS = 40


@dataclass(frozen=True, slots=True)
class _Announcement:
    """A record and the time of its last announcement."""

    record: Any
    received_at: float


class Announcements:
    """The newest EntryRecord of each entry, by address.

    All times are in seconds of one monotonic clock.
    """

    def __init__(self) -> None:
        # Ordered by the time of the last announcement.
        self._announcements: dict[str, _Announcement] = {}
        # Starts at a random number, so that a restarted daemon does not repeat
        # the numbers that it sent before.
        self._sequence = secrets.randbits(_SEQUENCE_BITS) + 1

    @property
    def sequence(self) -> int:
        """Number that is incremented with each change of the records."""
        return self._sequence

    def add(self, record: Any, now: float) -> None:
        """Stores a record unless a newer one of the same entry is stored.

        A record with ready=false is stored too, so that it replaces the
        previous record at every entry that has it.
        """
        if record is None or not record.address:
            return
        previous = self._announcements.get(record.address)
        if previous is not None and record.stamp < previous.record.stamp:
            return
        self._announcements.pop(record.address, None)
        self._announcements[record.address] = _Announcement(record, now)
        if previous is None or previous.record != record:
            self._sequence += 1

    def expire(self, now: float) -> None:
        """Removes the records that were not announced again in time."""
        for address, announcement in list(self._announcements.items()):
            if now - announcement.received_at < RETENTION_S:
                return
            del self._announcements[address]
            self._sequence += 1

    def changed_records(self, known: int | None) -> list[Any] | None:
        """Returns all records, or None if none changed since a sequence number.

        Args:
            known: Last sequence number that the caller has received.
        """
        if known == self._sequence:
            return None
        return [
            announcement.record for announcement in self._announcements.values()
        ]
