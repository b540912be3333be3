"""Tests of what is held and doubted after a return, without a store."""

from __future__ import annotations

import dataclasses

from sapphire_core.members import Member
from sapphire_core.routing import ClientLimits, Configuration
from sapphire_core.storerevision import StoreRevision
from sapphire_gateway.fleet_view import ConfigurationUpdate, MemberUpdate
from sapphire_gateway.reconciliation import DOUBT_S, Reconciler
from sapphire_gateway.store import HELD, Batch, Change

MEMBER = Member("vm9", "10.0.0.9:80", "z1")
LEAVING = dataclasses.replace(MEMBER, leaving=True)
KEY = "members/vm9"


def write(member, number):
    """Returns the write of a member's entry."""
    return Change(KEY, number, MemberUpdate(member), repr(member).encode())


def version(number, revision):
    """Returns the write of a configuration."""
    update = ConfigurationUpdate(Configuration(number, (), {}, ClientLimits()))
    return Change("op/config", revision, update, b"%d" % number)


def full_state(era, *changes: Change):
    """Returns a full state of an era."""
    return Batch(changes, StoreRevision(era, 50), is_full_state=True)


def test_older_entry_is_doubted_in_a_second_copy_too():
    """Guards against a VM that is being stopped and seems to stay."""
    reconciler = Reconciler()
    reconciler.reconcile(full_state(1, write(MEMBER, 10)), 0.0)
    reconciler.reconcile(
        Batch((write(LEAVING, 20),), StoreRevision(1, 20)), 1.0
    )
    for era in (2, 3, 4):
        batch = reconciler.reconcile(full_state(era, write(MEMBER, 10)), 2.0)
        believed = reconciler.believed(batch)
        assert [c.update.member for c in believed.changes] == [LEAVING]
    assert reconciler.take_believable(2.0 + DOUBT_S) == [write(MEMBER, 10)]


def test_feed_that_holds_a_newer_write_is_believed():
    """Guards against a VM that was cut off and holds what it missed."""
    reconciler = Reconciler()
    reconciler.reconcile(full_state(1, version(2, 10)), 0.0)
    told = full_state(2, version(3, HELD))
    (change,) = reconciler.reconcile(told, 1.0).changes
    assert change.update.configuration.version == 3


def test_feed_that_holds_an_older_write_is_not_believed():
    """Guards against a feed of a VM that was cut off before the return."""
    reconciler = Reconciler()
    reconciler.reconcile(full_state(1, version(3, 10)), 0.0)
    told = full_state(2, version(2, HELD))
    (change,) = reconciler.reconcile(told, 1.0).changes
    assert change.update.configuration.version == 3
    assert change.revision == HELD
