"""Tests of sync: outages, lost history, expired and removed entries."""

from __future__ import annotations

import dataclasses

import trio
from sapphire_core.freshness import MAX_WATCH_S
from sapphire_core.members import Member
from sapphire_gateway.feed import LONG_POLL_S, RESPONSE_GRACE_S
from sapphire_gateway.fleet_view import (
    EvacuationUpdate,
    LeafUpdate,
    MemberRemoval,
)
from sync_harness import LEAF, FakeFeed, run_fleet, run_sync

# Time within which a change has to be applied.
APPLY_LIMIT_S = 3.0


def test_idle_minute_needs_few_calls_except_renewals():
    async def test(store, view, sync):
        # After the start, watches are short at first.
        await trio.sleep(60)
        store.calls.clear()
        await trio.sleep(60)
        assert store.calls.count("watch") <= 60 / MAX_WATCH_S + 1
        assert set(store.calls) <= {"watch", "renew"}

    run_sync(test)


def test_changes_are_applied_within_a_second():
    async def test(store, view, sync):
        for number in range(5):
            store.write(f"servers/i-{number}", LeafUpdate(LEAF))
            await trio.sleep(0.05)
        await trio.sleep(1)
        assert view.revision == store.revision
        assert view.registry.candidates("s", trio.current_time())

    run_sync(test)


def test_many_changes_are_fetched_together():
    async def test(store, view, sync):
        store.calls.clear()
        for number in range(100):
            store.write(f"servers/i-{number}", LeafUpdate(LEAF))
            await trio.sleep(0.02)
        assert store.calls.count("watch") <= 7

    run_sync(test)


def test_keys_removed_with_the_lost_history_are_dropped():
    async def test(store, view, sync):
        store.write("servers/i-1", LeafUpdate(LEAF))
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        await trio.sleep(1)
        assert view.registry.evacuated == {"z2"}
        store.changes_by_key.clear()
        store.revision += 1
        store.forget_history()
        await trio.sleep(4)
        assert not view.registry.candidates("s", trio.current_time())
        assert not view.registry.evacuated

    run_sync(test)


def test_expired_entry_is_written_again():
    async def test(store, view, sync):
        store.leases.update(dict.fromkeys(store.leases, 0.0))
        store.write("members/vm1", MemberRemoval("vm1"))
        await trio.sleep(2)
        assert "members/vm1" in store.changes_by_key

    run_sync(test)


def test_an_entry_that_was_taken_away_is_written_again():
    """An entry removed while its lease is valid is restored.

    Renewals still succeed then, so that no call to the store reports the loss.
    """

    async def test(store, view, sync):
        store.write("members/vm1", MemberRemoval("vm1"))
        await trio.sleep(1)
        assert "members/vm1" in store.changes_by_key

    run_sync(test)


def test_a_watch_that_hangs_is_repeated_when_the_store_is_back():
    """A store outage can drop pending watches without closing connections."""

    async def test(store, view, sync):
        store.is_silent = True
        store.write("servers/i-1", LeafUpdate(LEAF))
        await trio.sleep(6)
        assert trio.current_time() - store.answered_at > 4
        store.is_silent = False
        store.write("servers/i-2", LeafUpdate(LEAF))
        await trio.sleep(3)
        assert view.revision == store.revision

    run_sync(test)


def test_outage_is_probed_by_renewals():
    async def test(store, view, sync):
        store.is_down = True
        store.forget_history()
        await trio.sleep(2)
        store.calls.clear()
        await trio.sleep(10)
        assert store.calls.count("watch") <= 6
        store.is_down = False
        await trio.sleep(2)
        assert view.revision == store.revision

    run_sync(test)


def test_leaving_is_published_immediately():
    async def test(store, view, sync):
        sync.own_entry.publish_leaving()
        await trio.sleep(0.1)
        assert store.changes_by_key["members/vm1"].update.member.leaving

    run_sync(test)


def test_entry_changed_during_a_write_is_written_again():
    """A stop that begins during a write still reaches the other VMs."""

    async def test(store, view, sync):
        sync.own_entry.publish_suspects(())
        await trio.sleep(0.002)
        assert store.calls[-1] == "put"
        sync.own_entry.publish_leaving()
        await trio.sleep(0.1)
        assert store.changes_by_key["members/vm1"].update.member.leaving

    run_sync(test)


def test_many_changes_after_an_outage_are_read_without_pauses():
    """Truncated batches are read without the pause between watches.

    With a pause after each 500 changes, a VM needed 7 s to catch up on 3,500
    changes after an outage, and sent requests to leaves that had left.
    """

    async def test(store, view, sync):
        store.is_silent = True
        await trio.sleep(6)
        for number in range(3500):
            store.write(f"servers/i-{number % 400}", LeafUpdate(LEAF))
        store.is_silent = False
        while trio.current_time() - store.answered_at > 1:
            await trio.sleep(0.1)
        await trio.sleep(1)
        assert view.revision == store.revision

    run_sync(test)


LOCAL_FEED = Member("vm2", "10.0.0.2:80", "z1", peer_address="near")
REMOTE_FEED = Member("vm3", "10.0.0.3:80", "z2", peer_address="far")


def test_vm_with_a_feed_calls_the_store_only_for_its_lease():
    """Calls to the store do not grow with the size of the fleet."""

    async def test(store, view, sync):
        store.calls.clear()
        for number in range(20):
            store.write(f"servers/i-{number}", LeafUpdate(LEAF))
            await trio.sleep(0.5)
            assert view.revision == store.revision
        assert set(store.calls) == {"renew"}

    FakeFeed.silent_addresses = set()
    run_sync(test, feeds=(LOCAL_FEED, REMOTE_FEED))


def test_silent_feed_is_replaced_in_time():
    """A VM does not rely on a feed that has stopped."""

    async def test(store, view, sync):
        FakeFeed.silent_addresses = {"near"}
        store.write("servers/i-1", LeafUpdate(LEAF))
        await trio.sleep(LONG_POLL_S + RESPONSE_GRACE_S + 0.2)
        assert view.revision == store.revision
        FakeFeed.polled_addresses.clear()
        await trio.sleep(3)
        assert set(FakeFeed.polled_addresses) == {"far"}

    FakeFeed.silent_addresses = set()
    run_sync(test, feeds=(LOCAL_FEED, REMOTE_FEED))


def test_store_is_read_when_all_feeds_fail():
    """A VM stays up to date without a feed."""

    async def test(store, view, sync):
        FakeFeed.silent_addresses = {"near", "far"}
        for number in range(5):
            store.write(f"servers/i-{number}", LeafUpdate(LEAF))
            await trio.sleep(2.0)
            assert view.revision == store.revision

    FakeFeed.silent_addresses = set()
    run_sync(test, feeds=(LOCAL_FEED, REMOTE_FEED))


def test_watcher_that_the_store_turns_away_reads_a_feed():
    """Guards against a VM that floods a leaf of which others know it is cold.

    The store turns the VM away and serves all others.
    """

    async def test(store, views):
        store.turned_away.add("vm2")
        store.reset_watches()
        await trio.sleep(2)
        for version in range(1, 4):
            cold = dataclasses.replace(LEAF, sequence=version)
            cold = dataclasses.replace(cold, warmup_left_s=60.0)
            store.write("servers/i-1", LeafUpdate(cold))
            await trio.sleep(APPLY_LIMIT_S)
            leaf = views[1].registry.get("i-1")
            assert leaf.entry.sequence == version
            assert leaf.is_cold(trio.current_time())
        store.turned_away.clear()
        await trio.sleep(5)
        store.calls.clear()
        await trio.sleep(60)
        # Both watch the store again.
        assert store.calls.count("watch") >= 2 * (60 // MAX_WATCH_S)

    run_fleet(test)
