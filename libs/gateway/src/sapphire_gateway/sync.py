"""Keeps the belief current with the store, and this VM's entry alive."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import replace

import trio
from sapphire_core.errors import SapphireError
from sapphire_core.members import Member
from sapphire_core.quarantine import Record

from sapphire_gateway import telemetry
from sapphire_gateway.belief import (
    Belief,
    EvacuationFact,
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
# Changes of this time are fetched by one call; a VM that serves no callers is
# in less of a hurry.
WATCH_GAP_S = 0.4
SPARE_WATCH_GAP_S = 1.0
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


class Sync:
    """Two loops: one watches the store, one renews this VM's lease."""

    def __init__(
        self,
        store: Store,
        belief: Belief,
        me: Member,
        on_change: Callable[[], None],
        is_spare: Callable[[], bool],
    ) -> None:
        self._store = store
        self._belief = belief
        self._me = me
        self._on_change = on_change
        self._is_spare = is_spare
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

    def share(self, suspects: tuple[Record, ...]) -> None:
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
                    self._cursor = None
                except StoreUnavailableError as error:
                    was_in_contact = self._in_contact
                    self._lost("watch", error)
                    await self._retry_pause(was_in_contact)

    async def _watch_once(self) -> None:
        if self._cursor is None:
            batch = await self._store.read_all()
            self._answered()
            self._take_all(batch)
            return
        batch = await self._store.watch_all(self._cursor, WATCH_WAIT_S)
        self._answered()
        self._take(batch)
        if batch.changes:
            spare = self._is_spare()
            await trio.sleep(SPARE_WATCH_GAP_S if spare else WATCH_GAP_S)

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
        before = {leaf.entry.leaf_id for leaf in self._belief.registry.leaves}
        self._take(batch)
        self._belief.registry.retain(leaves, now)
        self._belief.members.retain(members, now)
        self._belief.registry.set_evacuated(out)
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
            self._belief.revision = change.revision
            apply(change.fact, self._belief, now)
        self._cursor = batch.revision
        self._belief.revision = batch.revision
        self._belief.learned_at = now
        if self._belief.self_vanished and not self._me.leaving:
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
            self._belief.self_vanished = False

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
        telemetry.event("store_regained", revision=self._belief.revision)
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


@contextlib.contextmanager
def counted(operation: str) -> Iterator[None]:
    """Counts a call to the store by its result."""
    try:
        yield
    except SapphireError as error:
        telemetry.STORE_CALLS.labels(operation, error.kind).inc()
        raise
    telemetry.STORE_CALLS.labels(operation, "ok").inc()
