"""Tests of a VM whose store comes back from an older copy of itself.

What was written since the copy is lost, leases too, and revisions and lease
numbers are given out again. The era tells the states apart.
"""

from __future__ import annotations

import dataclasses

import pytest
import trio
from sapphire_core.crashsuspects import CrashRecord, CrashVerdict
from sapphire_core.leafset import LAST_RESORT_S, LeafState
from sapphire_core.members import Member
from sapphire_core.routing import ClientLimits, Configuration
from sapphire_gateway.feed import FeedServer
from sapphire_gateway.fleet_view import (
    ConfigurationUpdate,
    EvacuationUpdate,
    FleetView,
    LeafUpdate,
    MemberUpdate,
)
from sapphire_gateway.reconciliation import (
    DOUBT_S,
    EVACUATION_HOLD_S,
    LEAF_HOLD_S,
    MEMBER_HOLD_S,
    Reconciler,
)
from sapphire_gateway.sync import Sync
from sync_harness import (
    LEAF,
    OWN_ENTRY,
    DirectFeed,
    FakeStore,
    run_fleet,
    run_sync,
)

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


def evacuate(store, domain, is_out=True):
    """Takes a failure domain out of service, or returns it to service."""
    store.write(f"op/evacuate/{domain}", EvacuationUpdate(domain, is_out))


async def lose_version_and_evacuation(store):
    """Makes the store come back without version 2 and the evacuation of z2."""
    write_version(store, 1)
    state = store.copy()
    write_version(store, 2)
    evacuate(store, "z2")
    await trio.sleep(1)
    store.come_back(state)


@pytest.mark.parametrize("written_again_after_s", [0.0, 0.5, 20.0])
def test_evacuation_lost_with_the_copy_stays_in_force(written_again_after_s):
    """Guards against requests to a domain whose evacuation is written late."""

    async def test(store, views):
        state = store.copy()
        evacuate(store, "z2")
        await trio.sleep(2)
        store.come_back(state)
        for _ in range(int(written_again_after_s / 0.1)):
            await trio.sleep(0.1)
            assert all(v.registry.evacuated == {"z2"} for v in views)
        evacuate(store, "z2")
        # Longer than it is held if it isn't written again.
        await trio.sleep(EVACUATION_HOLD_S + 5)
        assert all(v.registry.evacuated == {"z2"} for v in views)
        evacuate(store, "z2", is_out=False)
        await trio.sleep(APPLY_LIMIT_S)
        assert not any(v.registry.evacuated for v in views)

    run_fleet(test)


def test_evacuation_that_is_never_written_again_ends():
    """Guards against a domain that is out until the VMs restart."""

    async def test(store, views):
        state = store.copy()
        evacuate(store, "z2")
        await trio.sleep(2)
        store.come_back(state)
        await trio.sleep(EVACUATION_HOLD_S + 5)
        assert not any(v.registry.evacuated for v in views)

    run_fleet(test)


def test_held_evacuation_outlives_lost_history():
    """Guards against a second full read that ends it."""

    async def test(store, view, sync):
        state = store.copy()
        evacuate(store, "z2")
        await trio.sleep(1)
        store.come_back(state)
        await trio.sleep(1)
        store.write("servers/i-1", LeafUpdate(LEAF))
        store.forget_history()
        sync.resync("test")
        await trio.sleep(5)
        assert view.registry.evacuated == {"z2"}

    run_sync(test)


def test_vm_that_starts_after_the_return_hears_of_held_writes():
    """Guards against a new VM that knows only what the copy has."""

    async def test(store, view, sync):
        await lose_version_and_evacuation(store)
        await trio.sleep(1)
        server = FeedServer(sync.mirror, lambda: 0.0, lambda revision: None)
        batch = await DirectFeed(server, store.decode).changes(None)
        reconciler = Reconciler()
        batch = reconciler.reconcile(batch, 0.0)
        found = {change.key: change.update for change in batch.changes}
        assert found["op/config"].configuration.version == 2
        assert found["op/evacuate/z2"].is_out
        # It does not hold them for ever either.
        assert reconciler.take_expired(EVACUATION_HOLD_S) == ["op/evacuate/z2"]

    run_sync(test)


@pytest.mark.parametrize("is_fed", [False, True])
def test_older_configuration_of_the_copy_is_not_passed_on(is_fed):
    """Guards against VMs that start with it while others have a newer one."""

    async def test(store, view, sync):
        write_version(store, 1)
        state = store.copy()
        write_version(store, 2)
        await trio.sleep(2)
        store.come_back(state)
        await trio.sleep(2)
        assert version_of(view) == 2
        items = {i.key: i for i in sync.mirror.since(None)[1]}
        update = store.decode("op/config", items["op/config"].value)
        assert update.configuration.version == 2

    run_sync(test, feeds=(FEED,) if is_fed else ())


def usable(view):
    """Returns the ids of the leaves that requests may use, but for the last."""
    now = trio.current_time()
    return {
        leaf.entry.leaf_id
        for leaf in view.registry.candidates("s", now)
        if leaf.leaving_since is None
    }


def write_leaf(store, number, **fields: object):
    """Writes the entry of a leaf."""
    leaf_id = f"i-{number}"
    entry = dataclasses.replace(
        LEAF, leaf_id=leaf_id, address=f"10.0.1.{number}:80", **fields
    )
    store.write(f"servers/{leaf_id}", LeafUpdate(entry))


@pytest.mark.parametrize("order", [(1, 2, 3), (3, 2, 1)])
def test_leaves_that_the_copy_lacks_stay_in_use(order):
    """Guards against a gap of entries that counts as a mass departure."""

    async def test(store, views):
        state = store.copy()
        for number in order:
            write_leaf(store, number)
        await trio.sleep(3)
        everyone = usable(views[0])
        assert len(everyone) == 3
        store.come_back(state)
        for _ in range(18):
            await trio.sleep(0.1)
            assert [usable(view) for view in views] == [everyone] * 3
        for number in reversed(order):
            write_leaf(store, number)
        for _ in range(100):
            await trio.sleep(0.1)
            assert [usable(view) for view in views] == [everyone] * 3

    run_fleet(test)


def test_leaf_that_does_not_register_again_is_gone():
    """Guards against requests to a leaf that ended while the store was away."""

    async def test(store, views):
        state = store.copy()
        write_leaf(store, 1)
        write_leaf(store, 2)
        await trio.sleep(3)
        store.come_back(state)
        write_leaf(store, 2)
        await trio.sleep(LEAF_HOLD_S + 2.0)
        assert [usable(view) for view in views] == [{"i-2"}] * 3
        await trio.sleep(LAST_RESORT_S)
        now = trio.current_time()
        for view in views:
            left = view.registry.candidates("s", now)
            assert [leaf.entry.leaf_id for leaf in left] == ["i-2"]

    run_fleet(test)


def test_draining_leaf_is_not_ready_again_in_the_copy():
    """Guards against requests to a leaf that leaves, until it writes again."""

    async def test(store, views):
        write_leaf(store, 1)
        write_leaf(store, 2)
        state = store.copy()
        await trio.sleep(1)
        write_leaf(store, 1, state=LeafState.DRAINING, sequence=2)
        await trio.sleep(2)
        store.come_back(state)
        for _ in range(100):
            await trio.sleep(0.1)
            assert [usable(view) for view in views] == [{"i-2"}] * 3

    run_fleet(test)


def test_vm_whose_entry_the_copy_lacks_stays_in_the_fleet():
    """Guards against callers, shares and feeds that move at each return.

    The store takes some seconds to accept the entries of a large fleet.
    """

    async def test(store, views):
        await trio.sleep(5)
        everyone = ["vm1", "vm2", "vm3"]
        assert [v.members.names(trio.current_time()) for v in views] == [
            everyone
        ] * 3
        # At several moments between two renewals.
        for _ in range(8):
            store.come_back(({}, [], {}, 0))
            store.turned_away.add("vm3")
            for step in range(53):
                await trio.sleep(0.1)
                if step == 20:
                    store.turned_away.clear()
                now = trio.current_time()
                assert [v.members.names(now) for v in views] == [everyone] * 3

    run_fleet(test)


def test_vm_that_ended_while_the_store_was_away_leaves_the_fleet():
    """Guards against callers that are sent to it for long."""

    async def test(store, views):
        store.write("members/vm9", MemberUpdate(Member("vm9", "a:1", "z1")))
        await trio.sleep(3)
        store.come_back(({}, [], {}, 0))
        await trio.sleep(MEMBER_HOLD_S + 3.0)
        now = trio.current_time()
        assert all("vm9" not in v.members.names(now) for v in views)

    run_fleet(test)


def remove(store, key):
    """Removes a key, as an entry that has lapsed."""
    store.write(key, store.decode(key, None))


@pytest.mark.parametrize("is_removed_again", [True, False])
def test_leaf_that_is_gone_is_not_used_while_the_copy_has_it(is_removed_again):
    """Guards against requests to leaves that left before the store did."""

    async def test(store, views):
        write_leaf(store, 1)
        write_leaf(store, 2)
        await trio.sleep(1)
        state = store.copy()
        remove(store, "servers/i-1")
        await trio.sleep(5)
        store.come_back(state)
        for _ in range(int(DOUBT_S / 0.1) - 1):
            await trio.sleep(0.1)
            assert [usable(view) for view in views] == [{"i-2"}] * 3
        if is_removed_again:
            remove(store, "servers/i-1")
        # It lives if nobody has removed it by then.
        await trio.sleep(2)
        left = {"i-2"} if is_removed_again else {"i-1", "i-2"}
        assert [usable(view) for view in views] == [left] * 3

    run_fleet(test)


def test_leaf_that_registers_again_is_not_doubted():
    """Guards against a leaf that is left out although it has said it lives."""

    async def test(store, views):
        write_leaf(store, 1)
        write_leaf(store, 2)
        await trio.sleep(1)
        state = store.copy()
        remove(store, "servers/i-1")
        await trio.sleep(5)
        store.come_back(state)
        write_leaf(store, 1, sequence=2)
        await trio.sleep(2)
        assert [usable(view) for view in views] == [{"i-1", "i-2"}] * 3

    run_fleet(test)


def test_vm_that_ended_is_not_advertised_while_the_copy_has_it():
    """Guards against callers that are sent to VMs lost before the return."""
    entry = Member("vm9", "10.0.0.9:80", "z1")

    async def test(store, views):
        store.write("members/vm9", MemberUpdate(entry))
        await trio.sleep(2)
        state = store.copy()
        remove(store, "members/vm9")
        await trio.sleep(5)
        store.come_back(state)
        for _ in range(45):
            await trio.sleep(0.1)
            now = trio.current_time()
            assert all("vm9" not in v.members.names(now) for v in views)
        remove(store, "members/vm9")
        await trio.sleep(5)
        now = trio.current_time()
        assert all("vm9" not in v.members.names(now) for v in views)

    run_fleet(test)


def test_vm_that_is_leaving_is_not_advertised_again():
    """Guards against callers that are sent to a VM that is being stopped."""

    async def test(store, views):
        entry = Member("vm9", "10.0.0.9:80", "z1")
        store.write("members/vm9", MemberUpdate(entry))
        await trio.sleep(2)
        state = store.copy()
        entry = dataclasses.replace(entry, leaving=True)
        store.write("members/vm9", MemberUpdate(entry))
        await trio.sleep(2)
        store.come_back(state)
        for _ in range(45):
            await trio.sleep(0.1)
            now = trio.current_time()
            assert all("vm9" not in v.members.names(now) for v in views)

    run_fleet(test)


def test_leaving_vm_says_so_again_after_the_return():
    """Guards against an entry in the copy that says that the VM stays."""

    async def test(store, view, sync):
        await trio.sleep(5)
        state = store.copy()
        sync.own_entry.publish_leaving()
        await trio.sleep(1)
        assert store.changes_by_key[OWN_KEY].update.member.leaving
        store.come_back(state)
        assert not store.changes_by_key[OWN_KEY].update.member.leaving
        await trio.sleep(2)
        assert store.changes_by_key[OWN_KEY].update.member.leaving

    run_sync(test)


@pytest.mark.parametrize("written_again_after_s", [0.0, 3.0])
def test_watcher_that_starts_after_the_return_asks_for_held_writes(
    written_again_after_s,
):
    """Guards against a new VM that goes by the copy's configuration (soak 506).

    It reads the store itself, which has only the copy.
    """

    async def test(store, view, sync):
        peer = Member("vm5", "10.0.0.5:80", "z1", peer_address="vm5")
        store.write("members/vm5", MemberUpdate(peer))
        await lose_version_and_evacuation(store)
        await trio.sleep(0.5)
        server = FeedServer(sync.mirror, lambda: 0.0, lambda revision: None)
        late_view = FleetView("vm6")
        late = Sync(
            store,
            late_view,
            Member("vm6", "10.0.0.6:80", "z1"),
            lambda: None,
            lambda own_entry, avoided, can_watch: None,
            lambda member: DirectFeed(server, store.decode),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(late.run)
            await trio.sleep(1)
            for _ in range(int(written_again_after_s / 0.1)):
                await trio.sleep(0.1)
                assert version_of(late_view) == 2
                assert late_view.registry.evacuated == {"z2"}
            evacuate(store, "z2")
            evacuate(store, "z2", is_out=False)
            write_version(store, 3)
            await trio.sleep(APPLY_LIMIT_S)
            assert version_of(late_view) == 3
            assert not late_view.registry.evacuated
            nursery.cancel_scope.cancel()

    run_sync(test)


def test_evacuation_that_was_taken_back_is_not_held():
    """Guards against an evacuation that only an earlier copy has (soak 503)."""

    async def test(store, views):
        without = store.copy()
        evacuate(store, "z2")
        await trio.sleep(1)
        with_evacuation = store.copy()
        evacuate(store, "z2", is_out=False)
        await trio.sleep(1)
        store.come_back(with_evacuation)
        await trio.sleep(1)
        store.come_back(without)
        await trio.sleep(2)
        assert not any(view.registry.evacuated for view in views)

    run_fleet(test)


def test_held_evacuations_do_not_end_all_service():
    """Guards against an outage by evacuations that were taken back (soak 503).

    Nobody writes them again, so that only time ends them.
    """

    async def test(store, views):
        write_leaf(store, 1, domain="z1")
        write_leaf(store, 2, domain="z2")
        await trio.sleep(1)
        state = store.copy()
        evacuate(store, "z1")
        evacuate(store, "z2")
        await trio.sleep(1)
        assert not any(usable(view) for view in views)
        store.come_back(state)
        await trio.sleep(1)
        assert all(usable(view) for view in views)

    run_fleet(test)


def test_quarantine_that_the_copy_lacks_is_kept():
    """Guards against a request that crashes leaves once more per return."""
    record = CrashRecord("a", (), True, 60.0)

    async def test(store, views):
        entry = Member("vm9", "10.0.0.9:80", "z1")
        store.write("members/vm9", MemberUpdate(entry))
        state = store.copy()
        suspecting = dataclasses.replace(entry, suspects=(record,))
        store.write("members/vm9", MemberUpdate(suspecting))
        await trio.sleep(2)
        store.come_back(state)
        await trio.sleep(10)
        for view in views:
            verdict = view.crashes.verdict("a", trio.current_time())
            assert verdict is CrashVerdict.QUARANTINED

    run_fleet(test)


def test_leaf_that_has_said_it_leaves_stays_unused_over_the_return():
    """Guards against requests to it when its entry is written again."""

    async def test(store, views):
        state = store.copy()
        write_leaf(store, 1)
        write_leaf(store, 2)
        await trio.sleep(2)
        for view in views:
            entry = view.registry.get("i-1").entry
            view.registry.record_leaving(entry.incarnation, trio.current_time())
        store.come_back(state)
        await trio.sleep(LEAF_HOLD_S + LAST_RESORT_S + 1)
        write_leaf(store, 1, sequence=2)
        write_leaf(store, 2, sequence=2)
        await trio.sleep(2)
        assert [usable(view) for view in views] == [{"i-2"}] * 3

    run_fleet(test)
