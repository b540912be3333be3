"""Tests of the registry of announced entries."""

from sapphire_aggregator.announcements import RETENTION_S, Announcements
from sapphire_wire.gen.ttypes import EntryRecord


def record(address="127.0.0.1:1", *, ready=True, stamp=1):
    """Returns an announcement."""
    return EntryRecord(
        address=address,
        vm="127.0.0.1",
        failure_domain="a",
        ready=ready,
        stamp=stamp,
    )


def test_entries_are_listed_until_their_announcements_expire():
    """Guards against listing lost entries, and against dropping live ones."""
    announcements = Announcements()
    announcements.add(record("a"), 0.0)
    announcements.add(record("b"), 0.0)
    announcements.add(record("a"), RETENTION_S - 0.1)
    announcements.expire(RETENTION_S)
    assert [r.address for r in announcements.changed_records(None)] == ["a"]
    announcements.expire(2 * RETENTION_S)
    assert announcements.changed_records(None) == []


def test_newest_stamp_wins():
    """Guards against a delayed announcement that relists a stopped entry."""
    announcements = Announcements()
    announcements.add(record(stamp=1), 0.0)
    announcements.add(record(stamp=2, ready=False), 0.1)
    announcements.add(record(stamp=1), 0.2)
    assert [r.ready for r in announcements.changed_records(None)] == [False]
    # Nor does the ignored announcement extend the lifetime of the other.
    announcements.expire(0.1 + RETENTION_S)
    assert announcements.changed_records(None) == []


def test_records_are_sent_only_when_they_changed():
    """Guards against missed changes, and against sending the list each time."""
    announcements = Announcements()
    announcements.add(record("a"), 0.0)
    known = announcements.sequence
    announcements.add(record("a"), 0.5)
    announcements.expire(0.5)
    assert announcements.changed_records(known) is None
    announcements.add(record("a", stamp=2, ready=False), 1.0)
    assert announcements.changed_records(known) is not None
    known = announcements.sequence
    announcements.expire(1.0 + RETENTION_S)
    assert announcements.changed_records(known) == []
    assert Announcements().sequence != Announcements().sequence


def test_unusable_announcements_are_ignored():
    """Guards against an error on a view request without an entry record."""
    announcements = Announcements()
    announcements.add(None, 0.0)
    announcements.add(EntryRecord(), 0.0)
    assert announcements.changed_records(None) == []
