"""Tests of the announcements of entries."""

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


def test_entries_are_listed_until_they_fall_silent():
    """Guards against a lost entry that stays listed, or a live one dropped."""
    kept = Announcements()
    kept.add(record("a"), 0.0)
    kept.add(record("b"), 0.0)
    kept.add(record("a"), RETENTION_S - 0.1)
    kept.expire(RETENTION_S)
    assert [r.address for r in kept.changed_records(None)] == ["a"]
    kept.expire(2 * RETENTION_S)
    assert kept.changed_records(None) == []


def test_newest_stamp_wins():
    """Guards against an old announcement that lists a leaving entry again."""
    kept = Announcements()
    kept.add(record(stamp=1), 0.0)
    kept.add(record(stamp=2, ready=False), 0.1)
    kept.add(record(stamp=1), 0.2)
    assert [r.ready for r in kept.changed_records(None)] == [False]
    # The ignored announcement does not prolong the kept one either.
    kept.expire(0.1 + RETENTION_S)
    assert kept.changed_records(None) == []


def test_records_are_sent_only_when_they_changed():
    """Guards against a list that is missed, or sent with each poll."""
    kept = Announcements()
    kept.add(record("a"), 0.0)
    known = kept.sequence
    kept.add(record("a"), 0.5)
    kept.expire(0.5)
    assert kept.changed_records(known) is None
    kept.add(record("a", stamp=2, ready=False), 1.0)
    assert kept.changed_records(known) is not None
    known = kept.sequence
    kept.expire(1.0 + RETENTION_S)
    assert kept.changed_records(known) == []
    assert Announcements().sequence != Announcements().sequence


def test_unusable_announcements_are_ignored():
    """Guards against a view of another sender that ends the answer."""
    kept = Announcements()
    kept.add(None, 0.0)
    kept.add(EntryRecord(), 0.0)
    assert kept.changed_records(None) == []
