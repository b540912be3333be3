"""Sync with the store: outages, lost history, lapsed and revoked entries."""

from __future__ import annotations

from typing import ClassVar

import pytest
import trio
import trio.testing
from sapphire_core.leafset import LeafEntry, LeafState
from sapphire_core.members import Member
from sapphire_gateway.feed import SILENCE_S, WAIT_S
from sapphire_gateway.fleet_view import (
    EvacuationFact,
    FleetView,
    LeafFact,
    LeafGoneFact,
    MemberFact,
    MemberGoneFact,
)
from sapphire_gateway.store import (
    Batch,
    Change,
    HistoryGoneError,
    LeaseGoneError,
    StoreUnavailableError,
)
from sapphire_gateway.sync import LEASE_S, WATCH_WAIT_S, Sync

# Changes that one watch returns.
MOST_CHANGES = 500
ME = Member("vm1", "10.0.0.1:80", "z1")
LEAF = LeafEntry("i-1", "s", "10.0.1.1:80", "z1", 2, LeafState.READY, 0.0, 1, 1)


class FakeStore:
    """The store in memory, with faults that a test switches on."""

    def __init__(self) -> None:
        self.facts = {}
        self.history = []
        self.revision = 1
        self.first = 0
        self.is_down = False
        self.is_silent = False
        self.leases = {}
        self.calls = []
        self.changed = trio.Event()

    def write(self, key, fact):
        """Writes a key, or removes it if the fact says so."""
        self.revision += 1
        change = Change(key, self.revision, fact)
        if isinstance(fact, LeafGoneFact | MemberGoneFact):
            self.facts.pop(key, None)
        else:
            self.facts[key] = change
        self.history.append(change)
        self.changed.set()
        self.changed = trio.Event()

    def forget_history(self):
        """Makes watches from before fail."""
        self.first = self.revision
        self.changed.set()
        self.changed = trio.Event()

    def start(self, nursery):
        """Needs no tasks."""

    def reconnect(self, reason):
        """Counts as a call."""
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
            tuple(self.facts.values()), self.revision, is_full_state=True
        )

    async def read_members(self):
        await self._called("read_members")
        return [
            change
            for change in self.facts.values()
            if isinstance(change.fact, MemberFact)
        ]

    async def watch_all(self, after, wait_s):
        await self._called("watch")
        with trio.move_on_after(wait_s):
            while self.revision <= after and self.first <= after:
                await self.changed.wait()
        if self.is_silent:
            await trio.sleep_forever()
        if after < self.first:
            raise HistoryGoneError("gone.")
        changes = tuple(c for c in self.history if c.revision > after)
        if len(changes) <= MOST_CHANGES:
            return Batch(changes, self.revision)
        changes = changes[:MOST_CHANGES]
        return Batch(changes, changes[-1].revision, is_truncated=True)

    async def open_lease(self, ttl_s):
        await self._called("lease")
        number = len(self.leases) + 1
        self.leases[number] = trio.current_time() + ttl_s
        return number

    async def keep_lease(self, lease):
        await self._called("keep")
        if self.leases[lease] < trio.current_time():
            raise LeaseGoneError("gone.")
        self.leases[lease] = trio.current_time() + LEASE_S

    async def put_member(self, member, lease):
        await self._called("put")
        if self.leases[lease] < trio.current_time():
            raise LeaseGoneError("gone.")
        self.write(f"members/{member.name}", MemberFact(member))


class FakeFeed:
    """Another VM that passes on what the store has."""

    broken: ClassVar[set[str]] = set()
    asked: ClassVar[list[str]] = []

    def __init__(self, address, store) -> None:
        self._address = address
        self._store = store

    def close(self):
        """Needs nothing."""

    async def changes(self, after):
        """Answers like the feed of another VM, or is silent."""
        FakeFeed.asked.append(self._address)
        if self._address in FakeFeed.broken:
            await trio.sleep(WAIT_S + SILENCE_S)
            raise StoreUnavailableError("silent.")
        if after is None:
            return Batch(
                tuple(self._store.facts.values()),
                self._store.revision,
                is_full_state=True,
            )
        with trio.move_on_after(WAIT_S):
            while self._store.revision <= after:
                await self._store.changed.wait()
        changes = [c for c in self._store.history if c.revision > after]
        return Batch(tuple(changes), self._store.revision)


@pytest.fixture
def played():
    """Runs a test against a sync, on a clock that needs no waiting."""

    def run(test, feeds=()):
        async def main():
            store = FakeStore()
            view = FleetView("vm1")

            def choose(me, avoided):
                left = [f for f in feeds if f.name not in avoided]
                return left[0] if left else None

            def connect(address):
                return FakeFeed(address, store)

            sync = Sync(store, view, ME, lambda: None, choose, connect)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(sync.run)
                await trio.sleep(2)
                await test(store, view, sync)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


def test_a_calm_minute_costs_few_full_calls(played):
    async def test(store, view, sync):
        store.calls.clear()
        await trio.sleep(60)
        assert store.calls.count("watch") <= 60 / WATCH_WAIT_S + 1
        assert set(store.calls) <= {"watch", "keep"}

    played(test)


def test_changes_are_learned_within_a_second(played):
    async def test(store, view, sync):
        for number in range(5):
            store.write(f"servers/i-{number}", LeafFact(LEAF))
            await trio.sleep(0.05)
        await trio.sleep(1)
        assert view.revision == store.revision
        assert view.registry.candidates("s", trio.current_time())

    played(test)


def test_many_changes_are_fetched_together(played):
    async def test(store, view, sync):
        store.calls.clear()
        for number in range(100):
            store.write(f"servers/i-{number}", LeafFact(LEAF))
            await trio.sleep(0.02)
        assert store.calls.count("watch") <= 7

    played(test)


def test_what_vanished_with_the_history_is_gone(played):
    async def test(store, view, sync):
        store.write("servers/i-1", LeafFact(LEAF))
        store.write("op/evacuate/z2", EvacuationFact("z2", True))
        await trio.sleep(1)
        assert view.registry.evacuated == {"z2"}
        store.facts.clear()
        store.revision += 1
        store.forget_history()
        await trio.sleep(4)
        assert not view.registry.candidates("s", trio.current_time())
        assert not view.registry.evacuated

    played(test)


def test_an_entry_that_lapsed_is_written_again(played):
    async def test(store, view, sync):
        store.leases.update(dict.fromkeys(store.leases, 0.0))
        store.write("members/vm1", MemberGoneFact("vm1"))
        await trio.sleep(2)
        assert "members/vm1" in store.facts

    played(test)


def test_an_entry_that_was_taken_away_is_written_again(played):
    """The lease still renews, so that no call shows the loss."""

    async def test(store, view, sync):
        store.write("members/vm1", MemberGoneFact("vm1"))
        await trio.sleep(1)
        assert "members/vm1" in store.facts

    played(test)


def test_a_watch_that_hangs_is_repeated_when_the_store_is_back(played):
    """A silent store drops waiting watches without closing connections."""

    async def test(store, view, sync):
        store.is_silent = True
        store.write("servers/i-1", LeafFact(LEAF))
        await trio.sleep(6)
        assert sync.contact_age_s > 4
        store.is_silent = False
        store.write("servers/i-2", LeafFact(LEAF))
        await trio.sleep(3)
        assert view.revision == store.revision

    played(test)


def test_an_outage_is_probed_by_renewals(played):
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

    played(test)


def test_leaving_is_told_at_once(played):
    async def test(store, view, sync):
        sync.leave()
        await trio.sleep(0.1)
        assert store.facts["members/vm1"].fact.member.leaving

    played(test)


def test_a_change_during_a_write_is_written_too(played):
    """Guards against a stop that no other VM learns of."""

    async def test(store, view, sync):
        sync.share_suspects(())
        await trio.sleep(0.002)
        assert store.calls[-1] == "put"
        sync.leave()
        await trio.sleep(0.1)
        assert store.facts["members/vm1"].fact.member.leaving

    played(test)


def test_many_changes_after_an_outage_are_read_without_pauses(played):
    """Guards against a leaf that left seconds ago and still gets requests.

    After an outage with 3,500 changes, a VM that paused after each 500 of
    them knew the last ones 7 s later.
    """

    async def test(store, view, sync):
        store.is_silent = True
        await trio.sleep(6)
        for number in range(3500):
            store.write(f"servers/i-{number % 400}", LeafFact(LEAF))
        store.is_silent = False
        while sync.contact_age_s > 1:
            await trio.sleep(0.1)
        await trio.sleep(1)
        assert view.revision == store.revision

    played(test)


NEAR = Member("vm2", "10.0.0.2:80", "z1", peer_address="near")
FAR = Member("vm3", "10.0.0.3:80", "z2", peer_address="far")


def test_a_fed_vm_asks_the_store_only_for_its_lease(played):
    """Guards against calls to the store that grow with the fleet."""

    async def test(store, view, sync):
        store.calls.clear()
        for number in range(20):
            store.write(f"servers/i-{number}", LeafFact(LEAF))
            await trio.sleep(0.5)
            assert view.revision == store.revision
        assert set(store.calls) == {"keep"}

    FakeFeed.broken = set()
    played(test, feeds=(NEAR, FAR))


def test_a_silent_feed_is_replaced_within_the_bounds(played):
    """Guards against a VM that believes a feed which has stopped."""

    async def test(store, view, sync):
        FakeFeed.broken = {"near"}
        store.write("servers/i-1", LeafFact(LEAF))
        await trio.sleep(WAIT_S + SILENCE_S + 0.2)
        assert view.revision == store.revision
        FakeFeed.asked.clear()
        await trio.sleep(3)
        assert set(FakeFeed.asked) == {"far"}

    FakeFeed.broken = set()
    played(test, feeds=(NEAR, FAR))


def test_without_a_feed_the_store_is_asked(played):
    """Guards against a VM that nobody feeds."""

    async def test(store, view, sync):
        FakeFeed.broken = {"near", "far"}
        for number in range(5):
            store.write(f"servers/i-{number}", LeafFact(LEAF))
            await trio.sleep(2.0)
            assert view.revision == store.revision

    FakeFeed.broken = set()
    played(test, feeds=(NEAR, FAR))
