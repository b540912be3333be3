"""Tests of sync: outages, lost history, expired and removed entries."""

from __future__ import annotations

from typing import ClassVar

import pytest
import trio
import trio.testing
from sapphire_core.leafset import LeafEntry, LeafState
from sapphire_core.members import Member
from sapphire_gateway.feed import LONG_POLL_S, RESPONSE_GRACE_S
from sapphire_gateway.fleet_view import (
    EvacuationUpdate,
    FleetView,
    LeafRemoval,
    LeafUpdate,
    MemberRemoval,
    MemberUpdate,
)
from sapphire_gateway.store import (
    Batch,
    Change,
    HistoryGoneError,
    LeaseGoneError,
    StoreUnavailableError,
)
from sapphire_gateway.sync import LEASE_TTL_S, WATCH_TIMEOUT_S, Sync

# Maximum number of changes that one watch returns.
MAX_WATCH_CHANGES = 500
OWN_ENTRY = Member("vm1", "10.0.0.1:80", "z1")
LEAF = LeafEntry("i-1", "s", "10.0.1.1:80", "z1", 2, LeafState.READY, 0.0, 1, 1)


class FakeStore:
    """In-memory store with fault injection."""

    def __init__(self) -> None:
        self.changes_by_key = {}
        self.history = []
        self.revision = 1
        self.oldest_revision = 0
        self.is_down = False
        self.is_silent = False
        self.leases = {}
        self.calls = []
        self.changed = trio.Event()

    def write(self, key, update):
        """Writes a key, or removes it if the update is a removal."""
        self.revision += 1
        change = Change(key, self.revision, update)
        if isinstance(update, LeafRemoval | MemberRemoval):
            self.changes_by_key.pop(key, None)
        else:
            self.changes_by_key[key] = change
        self.history.append(change)
        self.changed.set()
        self.changed = trio.Event()

    def forget_history(self):
        """Discards the history, so that watches of older revisions fail."""
        self.oldest_revision = self.revision
        self.changed.set()
        self.changed = trio.Event()

    def start(self, nursery):
        """Does nothing, since no tasks are needed."""

    def reconnect(self, reason):
        """Records the call."""
        self.calls.append("reconnect")

    async def _called(self, name):
        self.calls.append(name)
        await trio.sleep(0.004)
        if self.is_silent:
            await trio.sleep(1.5)
        if self.is_down or self.is_silent:
            raise StoreUnavailableError("down.")

    async def read_all(self):
        await self._called("read_all")
        return Batch(
            tuple(self.changes_by_key.values()),
            self.revision,
            is_full_state=True,
        )

    async def read_members(self):
        await self._called("read_members")
        return [
            change
            for change in self.changes_by_key.values()
            if isinstance(change.update, MemberUpdate)
        ]

    async def watch_all(self, after, wait_s):
        await self._called("watch")
        with trio.move_on_after(wait_s):
            while self.revision <= after and self.oldest_revision <= after:
                await self.changed.wait()
        if self.is_silent:
            await trio.sleep_forever()
        if after < self.oldest_revision:
            raise HistoryGoneError("gone.")
        changes = tuple(c for c in self.history if c.revision > after)
        if len(changes) <= MAX_WATCH_CHANGES:
            return Batch(changes, self.revision)
        changes = changes[:MAX_WATCH_CHANGES]
        return Batch(changes, changes[-1].revision, is_truncated=True)

    async def open_lease(self, ttl_s):
        await self._called("lease")
        number = len(self.leases) + 1
        self.leases[number] = trio.current_time() + ttl_s
        return number

    async def renew_lease(self, lease):
        await self._called("renew")
        if self.leases[lease] < trio.current_time():
            raise LeaseGoneError("gone.")
        self.leases[lease] = trio.current_time() + LEASE_TTL_S

    async def put_member(self, member, lease):
        await self._called("put")
        if self.leases[lease] < trio.current_time():
            raise LeaseGoneError("gone.")
        self.write(f"members/{member.name}", MemberUpdate(member))


class FakeFeed:
    """Feed of another VM that is always up to date with the store."""

    silent_addresses: ClassVar[set[str]] = set()
    polled_addresses: ClassVar[list[str]] = []

    def __init__(self, address, store) -> None:
        self._address = address
        self._store = store

    def close(self):
        """Does nothing."""

    async def changes(self, after):
        """Returns changes like a feed, or times out if it is silent."""
        FakeFeed.polled_addresses.append(self._address)
        if self._address in FakeFeed.silent_addresses:
            await trio.sleep(LONG_POLL_S + RESPONSE_GRACE_S)
            raise StoreUnavailableError("silent.")
        if after is None:
            return Batch(
                tuple(self._store.changes_by_key.values()),
                self._store.revision,
                is_full_state=True,
            )
        with trio.move_on_after(LONG_POLL_S):
            while self._store.revision <= after:
                await self._store.changed.wait()
        changes = [c for c in self._store.history if c.revision > after]
        return Batch(tuple(changes), self._store.revision)


@pytest.fixture
def run_sync():
    """Runs a test against a sync on a mock clock that skips waiting."""

    def run(test, feeds=()):
        async def main():
            store = FakeStore()
            view = FleetView("vm1")

            def choose(own_entry, avoided):
                left = [f for f in feeds if f.name not in avoided]
                return left[0] if left else None

            def connect(address):
                return FakeFeed(address, store)

            sync = Sync(store, view, OWN_ENTRY, lambda: None, choose, connect)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sync.run)
                await trio.sleep(2)
                await test(store, view, sync)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


def test_idle_minute_needs_few_calls_except_renewals(run_sync):
    async def test(store, view, sync):
        store.calls.clear()
        await trio.sleep(60)
        assert store.calls.count("watch") <= 60 / WATCH_TIMEOUT_S + 1
        assert set(store.calls) <= {"watch", "renew"}

    run_sync(test)


def test_changes_are_applied_within_a_second(run_sync):
    async def test(store, view, sync):
        for number in range(5):
            store.write(f"servers/i-{number}", LeafUpdate(LEAF))
            await trio.sleep(0.05)
        await trio.sleep(1)
        assert view.revision == store.revision
        assert view.registry.candidates("s", trio.current_time())

    run_sync(test)


def test_many_changes_are_fetched_together(run_sync):
    async def test(store, view, sync):
        store.calls.clear()
        for number in range(100):
            store.write(f"servers/i-{number}", LeafUpdate(LEAF))
            await trio.sleep(0.02)
        assert store.calls.count("watch") <= 7

    run_sync(test)


def test_keys_removed_with_the_lost_history_are_dropped(run_sync):
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


def test_expired_entry_is_written_again(run_sync):
    async def test(store, view, sync):
        store.leases.update(dict.fromkeys(store.leases, 0.0))
        store.write("members/vm1", MemberRemoval("vm1"))
        await trio.sleep(2)
        assert "members/vm1" in store.changes_by_key

    run_sync(test)


def test_an_entry_that_was_taken_away_is_written_again(run_sync):
    """An entry removed while its lease is valid is restored.

    Renewals still succeed then, so that no call to the store reports the loss.
    """

    async def test(store, view, sync):
        store.write("members/vm1", MemberRemoval("vm1"))
        await trio.sleep(1)
        assert "members/vm1" in store.changes_by_key

    run_sync(test)


def test_a_watch_that_hangs_is_repeated_when_the_store_is_back(run_sync):
    """A store outage can drop pending watches without closing connections."""

    async def test(store, view, sync):
        store.is_silent = True
        store.write("servers/i-1", LeafUpdate(LEAF))
        await trio.sleep(6)
        assert sync.contact_age_s > 4
        store.is_silent = False
        store.write("servers/i-2", LeafUpdate(LEAF))
        await trio.sleep(3)
        assert view.revision == store.revision

    run_sync(test)


def test_outage_is_probed_by_renewals(run_sync):
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


def test_leaving_is_published_immediately(run_sync):
    async def test(store, view, sync):
        sync.publish_leaving()
        await trio.sleep(0.1)
        assert store.changes_by_key["members/vm1"].update.member.leaving

    run_sync(test)


def test_entry_changed_during_a_write_is_written_again(run_sync):
    """A stop that begins during a write still reaches the other VMs."""

    async def test(store, view, sync):
        sync.publish_suspects(())
        await trio.sleep(0.002)
        assert store.calls[-1] == "put"
        sync.publish_leaving()
        await trio.sleep(0.1)
        assert store.changes_by_key["members/vm1"].update.member.leaving

    run_sync(test)


def test_many_changes_after_an_outage_are_read_without_pauses(run_sync):
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
        while sync.contact_age_s > 1:
            await trio.sleep(0.1)
        await trio.sleep(1)
        assert view.revision == store.revision

    run_sync(test)


LOCAL_FEED = Member("vm2", "10.0.0.2:80", "z1", peer_address="near")
REMOTE_FEED = Member("vm3", "10.0.0.3:80", "z2", peer_address="far")


def test_vm_with_a_feed_calls_the_store_only_for_its_lease(run_sync):
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


def test_silent_feed_is_replaced_in_time(run_sync):
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


def test_store_is_read_when_all_feeds_fail(run_sync):
    """A VM stays up to date without a feed."""

    async def test(store, view, sync):
        FakeFeed.silent_addresses = {"near", "far"}
        for number in range(5):
            store.write(f"servers/i-{number}", LeafUpdate(LEAF))
            await trio.sleep(2.0)
            assert view.revision == store.revision

    FakeFeed.silent_addresses = set()
    run_sync(test, feeds=(LOCAL_FEED, REMOTE_FEED))
