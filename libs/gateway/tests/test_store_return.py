"""Tests of a VM whose store comes back from an older copy of itself.

What was written since the copy is lost, leases too, and revisions and lease
numbers are given out again. The era tells the states apart.
"""

from __future__ import annotations

import pytest
import trio
from sapphire_core.members import Member
from sapphire_core.routing import ClientLimits, Configuration
from sapphire_gateway.fleet_view import (
    ConfigurationUpdate,
    EvacuationUpdate,
    LeafUpdate,
)
from sync_harness import LEAF, OWN_ENTRY, FakeStore, run_fleet, run_sync

# Time within which a change has to be applied once the store is back.
APPLY_LIMIT_S = 3.0
FEED = Member("vm3", "10.0.0.3:80", "z1", peer_address="near")
OWN_KEY = f"members/{OWN_ENTRY.name}"


def write_version(store, version):
    """Writes a configuration without routes."""
    configuration = Configuration(version, (), {}, ClientLimits())
    store.write("op/config", ConfigurationUpdate(configuration))


def version_of(view):
    """Returns the version that a VM has in force."""
    return view.configuration.version


@pytest.mark.parametrize("away_s", [0.0, 1.0, 5.0])
@pytest.mark.parametrize("lost_count", [1, 30])
def test_changes_after_the_return_are_applied(away_s, lost_count):
    """Guards against VMs that refuse the copy as an answer that lags behind."""

    async def test(store, view, sync):
        write_version(store, 1)
        state = store.copy()
        for version in range(2, 2 + lost_count):
            write_version(store, version)
        await trio.sleep(1)
        store.is_down = away_s > 0
        await trio.sleep(away_s)
        store.come_back(state)
        store.is_down = False
        await trio.sleep(0.5)
        write_version(store, 100)
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        await trio.sleep(APPLY_LIMIT_S)
        assert version_of(view) == 100
        assert view.registry.evacuated == {"z2"}

    run_sync(test)


def test_revision_given_out_again_is_read_again():
    """Guards against changes at numbers that the VM has seen before.

    The store has passed the old revision when the VM next asks, so that its
    answer shows neither a lower revision nor a missing history.
    """

    async def test(store, view, sync):
        write_version(store, 1)
        state = store.copy()
        for _ in range(3):
            store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        await trio.sleep(1)
        known = store.revision
        store.is_down = True
        store.come_back(state)
        write_version(store, 2)
        while store.revision <= known + 3:
            store.write("servers/i-1", LeafUpdate(LEAF))
        await trio.sleep(1)
        store.is_down = False
        await trio.sleep(APPLY_LIMIT_S)
        assert version_of(view) == 2
        assert view.revision == store.revision

    run_sync(test)


def test_several_returns_in_a_row_are_followed():
    """Guards against a VM that follows only the first return."""

    async def test(store, view, sync):
        write_version(store, 1)
        await trio.sleep(1)
        for version in range(2, 6):
            state = store.copy()
            write_version(store, version)
            await trio.sleep(0.3 * version)
            store.come_back(state)
        await trio.sleep(0.2)
        write_version(store, 50)
        await trio.sleep(APPLY_LIMIT_S)
        assert version_of(view) == 50
        assert view.freshness.revision == store.position

    run_sync(test)


def test_fed_vms_follow_the_return():
    """Guards against feeds that compare revisions of different eras."""

    async def test(store, views):
        write_version(store, 1)
        state = store.copy()
        for version in range(2, 12):
            write_version(store, version)
        await trio.sleep(2)
        store.come_back(state)
        await trio.sleep(1)
        write_version(store, 100)
        await trio.sleep(APPLY_LIMIT_S)
        assert [version_of(view) for view in views] == [100, 100, 100]
        assert {view.freshness.revision.era for view in views} == {store.era}

    run_fleet(test)


def test_vm_that_the_store_turns_away_follows_its_feed():
    """Guards against a VM that waits for the store to tell it the era."""

    async def test(store, views):
        write_version(store, 1)
        state = store.copy()
        write_version(store, 2)
        await trio.sleep(2)
        store.turned_away.add("vm3")
        store.come_back(state)
        await trio.sleep(1)
        write_version(store, 100)
        await trio.sleep(APPLY_LIMIT_S)
        assert version_of(views[2]) == 100

    run_fleet(test)


def test_feed_that_has_not_heard_of_the_return_is_not_believed_for_long():
    """Guards against a VM that goes by an era that the store has left."""
    feed_store = FakeStore()

    async def test(store, view, sync):
        # The feed's revision has a greater number, in the era before.
        feed_store.revision = store.revision + 50
        await trio.sleep(2)
        store.come_back(store.copy())
        # A renewal finds the lease gone; the new entry's revision is newer.
        await trio.sleep(2)
        write_version(store, 100)
        await trio.sleep(APPLY_LIMIT_S)
        assert version_of(view) == 100
        assert view.freshness.revision == store.position

    run_sync(test, feeds=(FEED,), feed_store=feed_store)


def test_own_entry_is_written_anew_after_the_return():
    """Guards against a VM that is lost for callers after the return."""

    async def test(store, view, sync):
        state = ({}, [], {}, 0)
        await trio.sleep(5)
        store.come_back(state)
        await trio.sleep(2.0)
        assert OWN_KEY in store.changes_by_key

    run_sync(test)


def test_lease_number_given_out_again_is_not_renewed():
    """Guards against a VM that keeps another VM's lease alive."""

    async def test(store, view, sync):
        # The copy is from before this VM's lease, whose number another VM gets.
        store.come_back(({}, [], {}, 0))
        other = await store.open_lease(60.0)
        expiry = store.leases[other.number]
        await trio.sleep(10)
        assert store.leases[other.number] == expiry
        assert OWN_KEY in store.changes_by_key

    run_sync(test)
