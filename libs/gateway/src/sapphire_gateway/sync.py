"""Keeps the belief current with the store, and this VM's entry alive."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable, Container, Iterator
from dataclasses import replace
from typing import Protocol

import trio
from sapphire_core.errors import SapphireError
from sapphire_core.members import Member
from sapphire_core.quarantine import Record

from sapphire_gateway import telemetry
from sapphire_gateway.feed import WAIT_S, Mirror
from sapphire_gateway.fleet_view import (
    EvacuationFact,
    FleetView,
    LeafFact,
    MemberFact,
    apply,
)
from sapphire_gateway.store import (
    Batch,
    HistoryGoneError,
    LeaseGoneError,
    Store,
    StoreUnavailableError,
)

# One watch carries all keys. Its calls are priced, so it waits long; a store
# that falls silent is noticed by the renewals of the lease.
WATCH_WAIT_S = 25.0
# Changes of this time are fetched by one call.
WATCH_GAP_S = 0.4
# An entry lapses this long after the last renewal of its VM.
LEASE_S = 4.5
# Renewals cost a tenth of other calls.
RENEW_S = 1.2
# Time between tries while the store does not answer.
RETRY_S = 0.7
# A watch whose connection was cut is repeated at once.
FIRST_RETRY_S = 0.1
# A watch that keeps failing is repeated at this pace, or when a renewal
# succeeds.
WATCH_RETRY_S = 2.0
# A VM that failed to feed this one is not asked again for this time.
AVOID_S = 5.0


# Returns the member to ask for changes, without the named ones; None to ask
# the store.
ChooseFeed = Callable[[Member, Container[str]], Member | None]


class Feed(Protocol):
    """Another VM that passes changes on."""

    async def changes(self, after: int | None) -> Batch:
        """Waits a short time for changes after a revision."""

    def close(self) -> None:
        """Closes the connections."""


class Sync:
    """Two loops: one follows the store's changes, one renews the lease.

    The changes come from the store or, for a VM that serves no callers, from
    one that does.
    """

    def __init__(
        self,
        store: Store,
        view: FleetView,
        me: Member,
        on_change: Callable[[], None],
        choose_feed: ChooseFeed,
        connect_feed: Callable[[str], Feed],
    ) -> None:
        """Prepares the loops.

        Args:
            store: The platform's store.
            view: What is kept current.
            me: This VM's entry.
            on_change: Called after the belief has changed.
            choose_feed: Decides whom to ask for changes.
            connect_feed: Returns a client of the VM at an address.
        """
        self._store = store
        self._view = view
        self._me = me
        self._on_change = on_change
        self._choose_feed = choose_feed
        self._connect_feed = connect_feed
        self._feed: tuple[Member, Feed] | None = None
        self._avoided: dict[str, float] = {}
        self._is_history_gone = False
        self.mirror = Mirror()
        self._cursor: int | None = None
        self._watch_scope = trio.CancelScope()
        self._lease: int | None = None
        self._is_written = False
        self._in_contact = True
        self._contact = trio.Event()
        self._wake = trio.Event()
        self._last_contact = 0.0

    @property
    def contact_age_s(self) -> float:
        """Seconds since the store last answered."""
        return trio.current_time() - self._last_contact

    @property
    def feeding_age_s(self) -> float:
        """Contact age for VMs that this one feeds; infinity if it is fed."""
        return math.inf if self._feed is not None else self.contact_age_s

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._renew)

    def resync(self, reason: str) -> None:
        """Repeats the waiting watch on a new connection."""
        telemetry.event("resync", reason=reason)
        self._store.reconnect(reason)
        self._watch_scope.cancel()
        self._wake.set()

    def leave(self) -> None:
        """Tells the other members that this VM is being stopped."""
        self._rewrite(replace(self._me, leaving=True))

    def share_suspects(self, suspects: tuple[Record, ...]) -> None:
        """Tells the other members which requests may crash leaves."""
        self._rewrite(replace(self._me, suspects=suspects))

    def _rewrite(self, me: Member) -> None:
        self._me = me
        self._is_written = False
        self._wake.set()

    async def _watch(self) -> None:
        while True:
            with trio.CancelScope() as self._watch_scope:
                try:
                    await self._watch_once()
                except HistoryGoneError as error:
                    telemetry.event("history_gone", error=str(error))
                    self._is_history_gone = True
                except StoreUnavailableError as error:
                    was_in_contact = self._in_contact
                    self._lost("watch", error)
                    await self._retry_pause(was_in_contact)

    async def _watch_once(self) -> None:
        if self._cursor is None:
            await self._read_members()
        feed = self._current_feed()
        if feed is not None:
            self._take_batch(await self._fed(feed))
            return
        if self._cursor is None or self._is_history_gone:
            batch = await self._store.read_all()
            self._is_history_gone = False
        else:
            batch = await self._store.watch_all(self._cursor, WATCH_WAIT_S)
        self._answered()
        self._take_batch(batch)
        if batch.changes and not batch.is_truncated and not batch.is_full_state:
            await trio.sleep(WATCH_GAP_S)

    async def _read_members(self) -> None:
        """Learns whom to ask, before anything else is known."""
        for change in await self._store.read_members():
            apply(change.fact, self._view, trio.current_time())
        self._answered()

    def _current_feed(self) -> Feed | None:
        """Returns the VM to ask for changes, or None for the store."""
        now = trio.current_time()
        self._avoided = {
            name: until for name, until in self._avoided.items() if now < until
        }
        chosen = self._choose_feed(self._me, self._avoided)
        present = self._feed
        if present is not None and not _is_same(present[0], chosen):
            present[1].close()
            self._feed = None
        if chosen is not None and self._feed is None:
            self._feed = chosen, self._connect_feed(chosen.peer_address)
            telemetry.event("feed", member=chosen.name)
        return self._feed[1] if self._feed is not None else None

    async def _fed(self, feed: Feed) -> Batch:
        """Returns changes from another VM, or from the store if it fails."""
        try:
            batch = await feed.changes(self._cursor)
        except StoreUnavailableError as error:
            self._drop_feed(error)
        else:
            self._is_history_gone = False
            return batch
        if self._cursor is None:
            batch = await self._store.read_all()
        else:
            batch = await self._store.watch_all(self._cursor, WAIT_S)
        self._answered()
        return batch

    def _drop_feed(self, error: SapphireError) -> None:
        assert self._feed is not None
        member, feed = self._feed
        feed.close()
        self._feed = None
        self._avoided[member.name] = trio.current_time() + AVOID_S
        telemetry.event("feed_lost", member=member.name, error=str(error))

    def _take_batch(self, batch: Batch) -> None:
        self.mirror.take(batch)
        if batch.is_full_state:
            self._take_all(batch)
        else:
            self._take(batch)

    def _take_all(self, batch: Batch) -> None:
        now = trio.current_time()
        leaves = set()
        members = set()
        out = set()
        for change in batch.changes:
            if isinstance(change.fact, EvacuationFact):
                out.add(change.fact.domain)
            elif isinstance(change.fact, LeafFact):
                leaves.add(change.fact.entry.leaf_id)
            elif isinstance(change.fact, MemberFact):
                members.add(change.fact.member.name)
        before = {leaf.entry.leaf_id for leaf in self._view.registry.leaves}
        self._take(batch)
        self._view.registry.retain(leaves, now)
        self._view.members.retain(members, now)
        self._view.registry.set_evacuated(out)
        telemetry.event(
            "read_all",
            revision=batch.revision,
            leaves=len(leaves),
            members=len(members),
            vanished=len(before - leaves),
        )

    def _take(self, batch: Batch) -> None:
        now = trio.current_time()
        for change in batch.changes:
            self._view.revision = change.revision
            apply(change.fact, self._view, now)
        self._cursor = batch.revision
        self._view.revision = batch.revision
        self._view.updated_at = now - batch.age_s
        if self._view.self_vanished and not self._me.leaving:
            self._is_written = False
            self._wake.set()
        self._on_change()

    async def _renew(self) -> None:
        while True:
            self._wake = trio.Event()
            pause = RENEW_S
            try:
                await self._renew_once()
                self._answered()
            except LeaseGoneError:
                telemetry.event("lease_gone", lease=self._lease)
                self._lease = None
                self._is_written = False
                continue
            except StoreUnavailableError as error:
                self._lost("renewal", error)
                pause = RETRY_S
            with trio.move_on_after(pause):
                await self._wake.wait()

    async def _renew_once(self) -> None:
        if self._lease is None:
            if self._me.leaving:
                return
            self._lease = await self._store.open_lease(LEASE_S)
        elif self._is_written:
            await self._store.keep_lease(self._lease)
        if not self._is_written:
            me = self._me
            await self._store.put_member(me, self._lease)
            # What was changed meanwhile is written by the next round.
            self._is_written = me is self._me
            self._view.self_vanished = False

    def _lost(self, what: str, error: SapphireError) -> None:
        if not self._in_contact:
            return
        self._in_contact = False
        self._contact = trio.Event()
        telemetry.event("store_lost", call=what, error=str(error))

    def _answered(self) -> None:
        self._last_contact = trio.current_time()
        if self._in_contact:
            return
        self._in_contact = True
        self._contact.set()
        telemetry.event("store_regained", revision=self._view.revision)
        # A watch that began before may never be answered.
        self._watch_scope.cancel()

    async def _retry_pause(self, is_first: bool) -> None:
        """Waits for a renewal to succeed, since renewals cost less."""
        if is_first:
            await trio.sleep(FIRST_RETRY_S)
            return
        limit = RETRY_S if self._cursor is None else WATCH_RETRY_S
        with trio.move_on_after(limit):
            await self._contact.wait()


def _is_same(present: Member, chosen: Member | None) -> bool:
    return chosen is not None and (present.name, present.peer_address) == (
        chosen.name,
        chosen.peer_address,
    )


@contextlib.contextmanager
def count_store_call(operation: str) -> Iterator[None]:
    """Counts a call to the store by its result."""
    try:
        yield
    except SapphireError as error:
        telemetry.STORE_CALLS.labels(operation, error.kind).inc()
        raise
    telemetry.STORE_CALLS.labels(operation, "ok").inc()
