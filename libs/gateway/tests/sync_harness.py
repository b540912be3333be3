"""A Sync on a mock clock, with an in-memory store and feeds of other VMs."""

from __future__ import annotations

from typing import ClassVar

import trio
import trio.testing
from sapphire_core.leafset import LeafEntry, LeafState
from sapphire_core.members import MAX_WATCHERS, Member
from sapphire_core.storerevision import StoreRevision
from sapphire_gateway.feed import (
    HELD_PATH,
    LONG_POLL_S,
    RESPONSE_GRACE_S,
    FeedClient,
    FeedServer,
)
from sapphire_gateway.fleet_view import (
    EvacuationUpdate,
    FleetView,
    LeafRemoval,
    MemberRemoval,
    MemberUpdate,
)
from sapphire_gateway.messages import Reply, Request
from sapphire_gateway.ownentry import LEASE_TTL_S, RENEW_INTERVAL_S
from sapphire_gateway.store import (
    Batch,
    Change,
    HistoryGoneError,
    Lease,
    LeaseGoneError,
    LeaseLostError,
    StoreUnavailableError,
)
from sapphire_gateway.sync import Sync

# Maximum number of changes that one watch returns.
MAX_WATCH_CHANGES = 500
OWN_ENTRY = Member("vm1", "10.0.0.1:80", "z1")
LEAF = LeafEntry("i-1", "s", "10.0.1.1:80", "z1", 2, LeafState.READY, 0.0, 1, 1)


def _is_removal(update):
    """Returns whether an update removes its key."""
    if isinstance(update, EvacuationUpdate):
        return not update.is_out
    return isinstance(update, LeafRemoval | MemberRemoval)


def _removal_of(key):
    """Returns the update for the removal of a key."""
    folder, _, name = key.rpartition("/")
    if folder == "op/evacuate":
        return EvacuationUpdate(name, False)
    if folder == "members":
        return MemberRemoval(name)
    if folder == "servers":
        return LeafRemoval(name, "removed")
    return None


class FakeStore:
    """In-memory store with fault injection."""

    def __init__(self) -> None:
        self.changes_by_key = {}
        self.history = []
        # All writes, also those that were lost.
        self.written = []
        # Number of the last change; `position` has the era, too.
        self.revision = 1
        self.era = 1
        self.oldest_revision = 0
        self.is_down = False
        self.is_silent = False
        self.read_delay_s = 0.0
        self.leases = {}
        self.calls = []
        self.call_times = []
        # Time at which a call last succeeded or a watch was accepted.
        self.answered_at = 0.0
        self.changed = trio.Event()
        # Names of the VMs of run_fleet whose calls fail.
        self.turned_away = set()
        self._hides_changes = False
        self._reset_count = 0

    def write(self, key, update):
        """Writes a key, or removes it if the update is a removal."""
        self.revision += 1
        value = None
        if not _is_removal(update):
            value = b"%d of %d" % (self.revision, self.era)
        change = Change(key, self.revision, update, value)
        if _is_removal(update):
            self.changes_by_key.pop(key, None)
        else:
            self.changes_by_key[key] = change
        self.history.append(change)
        self.written.append(change)
        if not self._hides_changes:
            self._notify()

    def decode(self, key, value):
        """Returns the update of a value, or of the removal of a key."""
        if value is None:
            return _removal_of(key)
        return next(
            change.update
            for change in reversed(self.written)
            if change.key == key and change.value == value
        )

    @property
    def position(self):
        """The store's revision."""
        return StoreRevision(self.era, self.revision)

    def copy(self):
        """Returns a copy of the present state."""
        return (
            dict(self.changes_by_key),
            list(self.history),
            dict(self.leases),
            self.revision,
        )

    def come_back(self, state):
        """Replaces the state by an older copy, in a new era.

        The leases in the copy run from now.
        """
        changes_by_key, history, leases, revision = state
        self.changes_by_key = dict(changes_by_key)
        self.history = list(history)
        expiry = trio.current_time() + LEASE_TTL_S
        self.leases = dict.fromkeys(leases, expiry)
        self.revision = revision
        self.era += 1
        self.reset_watches()

    def forget_history(self):
        """Discards the history, so that watches of older revisions fail."""
        self.oldest_revision = self.revision
        self._notify()

    def hide_changes_from_watches(self):
        """From now on, watches are not told of changes."""
        self._hides_changes = True

    def reset_watches(self):
        """Ends all waiting watches with a connection error."""
        self._reset_count += 1
        self._notify()

    def forget_hidden_changes(self):
        """Discards the history without a word to the watches that wait.

        They hear of it at the next change. Watches asked from now on are
        answered as usual.
        """
        self.oldest_revision = self.revision
        self._hides_changes = False

    def start(self, nursery):
        """Does nothing, since no tasks are needed."""

    def reconnect(self, reason):
        """Records the call."""
        self.calls.append("reconnect")

    def _notify(self):
        """Wakes the waiting watches and feeds."""
        self.changed.set()
        self.changed = trio.Event()

    async def _called(self, name):
        self.calls.append(name)
        self.call_times.append((trio.current_time(), name))
        await trio.sleep(0.004)
        if self.is_silent:
            await trio.sleep(1.5)
        if self.is_down or self.is_silent:
            raise StoreUnavailableError("down.")
        self.answered_at = trio.current_time()

    async def read_all(self):
        await self._called("read_all")
        await trio.sleep(self.read_delay_s)
        return Batch(
            tuple(self.changes_by_key.values()),
            self.position,
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
        if after.era != self.era:
            raise HistoryGoneError("the store is in another era.")
        era, after = after.era, after.number
        await self._called("watch")
        resets = self._reset_count
        with trio.move_on_after(wait_s) as wait:
            while self._hides_changes or (
                self.revision <= after and self.oldest_revision <= after
            ):
                await self.changed.wait()
                if self._reset_count > resets:
                    raise StoreUnavailableError("reset.")
        if self.is_silent:
            await trio.sleep_forever()
        if era != self.era:
            raise HistoryGoneError("the store is in another era.")
        if wait.cancelled_caught:
            return Batch((), StoreRevision(era, after))
        if after < self.oldest_revision:
            raise HistoryGoneError("gone.")
        changes = tuple(c for c in self.history if c.revision > after)
        if len(changes) <= MAX_WATCH_CHANGES:
            return Batch(changes, self.position)
        changes = changes[:MAX_WATCH_CHANGES]
        last = StoreRevision(era, changes[-1].revision)
        return Batch(changes, last, is_truncated=True)

    async def open_lease(self, ttl_s):
        await self._called("lease")
        number = len(self.leases) + 1
        self.leases[number] = trio.current_time() + ttl_s
        return Lease(number, self.era)

    async def renew_lease(self, lease):
        await self._called("renew")
        self._check_lease(lease)
        self.leases[lease.number] = trio.current_time() + LEASE_TTL_S

    async def put_member(self, member, lease):
        await self._called("put")
        self._check_lease(lease)
        self.write(f"members/{member.name}", MemberUpdate(member))
        return self.position

    def _check_lease(self, lease):
        expires_at = self.leases.get(lease.number, 0.0)
        if lease.era != self.era:
            raise LeaseLostError("of an earlier era.")
        if expires_at < trio.current_time():
            raise LeaseGoneError("gone.")


class StoreOfVm:
    """The store as one VM sees it."""

    def __init__(self, store, name) -> None:
        self._store = store
        self._name = name

    def decode(self, key, value):
        return self._store.decode(key, value)

    def reconnect(self, reason):
        self._store.reconnect(reason)

    async def _call(self, method, *args: object):
        if self._name not in self._store.turned_away:
            return await method(*args)
        raise StoreUnavailableError("turned away.")

    async def read_all(self):
        return await self._call(self._store.read_all)

    async def read_members(self):
        return await self._call(self._store.read_members)

    async def watch_all(self, after, wait_s):
        return await self._call(self._store.watch_all, after, wait_s)

    async def open_lease(self, ttl_s):
        return await self._call(self._store.open_lease, ttl_s)

    async def renew_lease(self, lease):
        return await self._call(self._store.renew_lease, lease)

    async def put_member(self, member, lease):
        return await self._call(self._store.put_member, member, lease)


class FakeFeed:
    """Feed of another VM that is always up to date with the store."""

    silent_addresses: ClassVar[set[str]] = set()
    polled_addresses: ClassVar[list[str]] = []
    # Age of the data, as stated by all feeds.
    age_s: ClassVar[float] = 0.0

    def __init__(self, address, store) -> None:
        self._address = address
        self._store = store

    def close(self):
        """Does nothing."""

    async def held(self):
        """Holds nothing."""
        return Batch((), self._store.position)

    async def changes(self, after):
        """Returns changes like a feed, or times out if it is silent."""
        FakeFeed.polled_addresses.append(self._address)
        if self._address in FakeFeed.silent_addresses:
            await trio.sleep(LONG_POLL_S + RESPONSE_GRACE_S)
            raise StoreUnavailableError("silent.")
        if after is None or after.era < self._store.era:
            return Batch(
                tuple(self._store.changes_by_key.values()),
                self._store.position,
                is_full_state=True,
                age_s=FakeFeed.age_s,
            )
        with trio.move_on_after(LONG_POLL_S):
            while self._store.position <= after:
                await self._store.changed.wait()
        if self._store.position < after:
            raise StoreUnavailableError("behind.")
        changes = [c for c in self._store.history if c.revision > after.number]
        return Batch(tuple(changes), self._store.position, age_s=FakeFeed.age_s)


def run_sync(test, feeds=(), feed_store=None, on_change=lambda view: None):
    """Runs a test against a sync on a mock clock that skips waiting.

    Args:
        test: Async function of the store, the view and the sync.
        feeds: Members whose feeds the sync may use.
        feed_store: Store whose state the feeds have; the sync's own by default.
        on_change: Called with the view after each batch.
    """

    async def main():
        store = FakeStore()
        view = FleetView("vm1")

        def choose(own_entry, avoided, can_watch):
            left = [f for f in feeds if f.name not in avoided]
            return left[0] if left else None

        def connect(member):
            return FakeFeed(member.peer_address, feed_store or store)

        sync = Sync(
            store, view, OWN_ENTRY, lambda: on_change(view), choose, connect
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sync.run)
            await trio.sleep(2)
            await test(store, view, sync)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class DirectFeed(FeedClient):
    """Client of another VM's feed without a connection."""

    def __init__(self, server: FeedServer, decode) -> None:
        self._http = _DirectHttp(server)
        self._decode = decode

    def close(self):
        """Does nothing."""


class _DirectHttp:
    def __init__(self, server: FeedServer) -> None:
        self.address = "direct"
        self._server = server

    async def request(self, method, target, timeout_s):
        """Passes a request to the server, as HttpClient does over TCP."""
        request = Request(method.encode(), target.encode(), [], b"", True)
        with trio.move_on_after(timeout_s):
            if target == HELD_PATH:
                response = self._server.handle_held()
            else:
                response = await self._server.handle(request)
            return Reply(response.status, [], response.body, True)
        raise StoreUnavailableError("no answer in time.")


def run_fleet(test):
    """Runs a test with two VMs that watch the store and one that is fed.

    The test gets the store and the views of the three VMs; the fed VM is the
    last, and reads the feed of the first VM unless that fails.
    """

    async def main():
        store = FakeStore()
        syncs = []
        async with trio.open_nursery() as nursery:
            for name in ("vm1", "vm2", "vm3"):
                sync = _fleet_sync(store, name, list(syncs), name == "vm3")
                syncs.append(sync)
                nursery.start_soon(sync.run)
            await trio.sleep(30)
            await test(store, [sync.view for sync in syncs])
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def run_large_fleet(count, test):
    """Runs a test with many VMs, of which the first ones watch the store."""

    async def main():
        store = FakeStore()
        watchers = []
        async with trio.open_nursery() as nursery:
            for number in range(count):
                sources = []
                if number >= MAX_WATCHERS:
                    sources = [watchers[number % MAX_WATCHERS]]
                sync = _fleet_sync(store, f"vm{number}", sources, bool(sources))
                if number < MAX_WATCHERS:
                    watchers.append(sync)
                nursery.start_soon(sync.run)
                # The VMs' renewals are spread.
                await trio.sleep(RENEW_INTERVAL_S / count)
            await trio.sleep(60)
            await test(store)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def _fleet_sync(store, name, sources, is_fed):
    """Returns the Sync of a VM that may read the feeds of other VMs.

    A VM that is not fed does so only while the store does not answer it.
    """

    def learn(source):
        return lambda revision: source.view.freshness.learn_revision(
            revision, trio.current_time()
        )

    feeds = {
        f"vm{number}": FeedServer(
            source.mirror, lambda s=source: s.feed_age_s, learn(source)
        )
        for number, source in enumerate(sources, 1)
    }
    members = [
        Member(feed, f"{feed}:80", "z1", peer_address=feed) for feed in feeds
    ]

    def choose(own_entry, avoided, can_watch):
        if can_watch and not is_fed:
            return None
        left = [m for m in members if m.name not in avoided]
        return left[0] if left else None

    view = FleetView(name)
    sync = Sync(
        StoreOfVm(store, name),
        view,
        Member(name, f"{name}:80", "z1"),
        lambda: None,
        choose,
        lambda member: DirectFeed(feeds[member.peer_address], store.decode),
    )
    sync.view = view
    return sync
