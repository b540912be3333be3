"""Keeps the fleet view up to date, and this VM's entry in the store.

Each VM of the fleet writes an entry (a Member) about itself to the store, where
it expires unless its lease is renewed. VMs that serve callers read changes from
the store. The others read them from the feed of a serving VM, which relays the
changes, so that the number of watches does not grow with the size of the fleet.
The number of lease renewals does.
"""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable, Container, Iterator
from dataclasses import replace
from typing import Protocol

import trio
from sapphire_core.errors import SapphireError
from sapphire_core.freshness import MAX_WATCH_S
from sapphire_core.members import Member
from sapphire_core.quarantine import CrashCount

from sapphire_gateway import telemetry
from sapphire_gateway.feed import LONG_POLL_S, Mirror
from sapphire_gateway.fleet_view import (
    EvacuationUpdate,
    FleetView,
    LeafUpdate,
    MemberUpdate,
    apply_update,
)
from sapphire_gateway.store import (
    Batch,
    HistoryGoneError,
    LeaseGoneError,
    Store,
    StoreUnavailableError,
)

# Pause after a watch with changes, so that one call fetches the changes of
# this interval.
WATCH_COALESCE_S = 0.4
# A VM's entry expires this long after the last renewal.
LEASE_TTL_S = 4.5
# A renewal costs a tenth of any other call to the store, so renewals can be
# frequent.
RENEW_INTERVAL_S = 1.2
# Interval between renewals, and between attempts at the first read, while the
# store does not respond.
RETRY_INTERVAL_S = 0.7
# Delay after the first failure of a watch. It is short, because the store may
# merely have closed the connection.
FIRST_RETRY_DELAY_S = 0.1
# Interval between retries of a watch that keeps failing; a successful renewal
# ends the wait.
WATCH_RETRY_INTERVAL_S = 2.0
# Shortest interval between two reads of all keys.
READ_ALL_INTERVAL_S = 0.25
# Interval between checks whether changes are overdue.
PROGRESS_CHECK_INTERVAL_S = 0.25
# A VM whose feed failed is not used again for this long.
FEED_RETRY_DELAY_S = 5.0


# Returns the VM to read changes from, or None for the store. Arguments are this
# VM's entry and the names of VMs to avoid.
SelectChangeSource = Callable[[Member, Container[str]], Member | None]


class Feed(Protocol):
    """Client of another VM that relays the changes of the store."""

    async def changes(self, after: int | None) -> Batch:
        """Waits up to LONG_POLL_S for changes after a revision.

        Returns the full state if the revision is None, or if the other VM no
        longer has all changes after it.

        Raises:
            StoreUnavailableError: The VM did not respond, or its data are too
                old.
        """

    def close(self) -> None:
        """Closes the connections."""


class Sync:
    """Reads the changes, renews the lease and checks that changes arrive."""

    def __init__(
        self,
        store: Store,
        view: FleetView,
        own_entry: Member,
        on_change: Callable[[], None],
        select_change_source: SelectChangeSource,
        connect_feed: Callable[[str], Feed],
    ) -> None:
        """Prepares the loops; `run` starts them.

        Args:
            store: Client of the platform's key-value store.
            view: Fleet view to update.
            own_entry: This VM's entry.
            on_change: Called after a batch was applied to the view as a whole.
                There is no call after the members are read to choose a feed.
            select_change_source: Chooses the VM to read changes from.
            connect_feed: Returns a client of the feed at an address.
        """
        self._store = store
        self._view = view
        self._freshness = view.freshness
        self._own_entry = own_entry
        self._on_change = on_change
        self._select_change_source = select_change_source
        self._connect_feed = connect_feed
        self._feed: tuple[Member, Feed] | None = None
        # VMs whose feed has failed, with the time until which each is avoided.
        self._avoided_until: dict[str, float] = {}
        # Set when the store has discarded changes that were not read yet.
        self._must_read_all = False
        # Set when changes are overdue: the next read asks the store for all
        # keys, even if this VM has a feed.
        self._must_ask_store = False
        self._last_read_all_at = -math.inf
        # Copy of the store's keys and values, which FeedServer serves to other
        # VMs.
        self.mirror = Mirror()
        # Scope of the current iteration of the loop that reads changes, and of
        # the part of it in which a watch waits for the store.
        self._read_scope = trio.CancelScope()
        self._watch_scope = trio.CancelScope()
        self._lease: int | None = None
        self._is_entry_written = False
        # Revision of the last write of this VM's entry.
        self._own_entry_revision = 0
        self._is_store_reachable = True
        self._store_recovered = trio.Event()
        self._renew_now = trio.Event()

    @property
    def feed_age_s(self) -> float:
        """Seconds since this VM's copy was last known to be current.

        Infinity if this VM reads from a feed itself, so that no VM reads from
        it: feeds are not chained.
        """
        if self._feed is not None:
            return math.inf
        return self._freshness.age_s(trio.current_time())

    async def run(self) -> None:
        """Runs until cancelled."""
        self._freshness.record_disruption(trio.current_time())
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._read_changes)
            nursery.start_soon(self._renew)
            nursery.start_soon(self._check_progress)

    def resync(self, reason: str) -> None:
        """Reconnects to the store and restarts the pending read."""
        telemetry.event("resync", reason=reason)
        self._freshness.record_disruption(trio.current_time())
        self._store.reconnect(reason)
        self._read_scope.cancel()
        self._renew_now.set()

    def publish_leaving(self) -> None:
        """Publishes in this VM's entry that it is leaving the fleet."""
        self._replace_own_entry(replace(self._own_entry, leaving=True))

    def publish_suspects(self, suspects: tuple[CrashCount, ...]) -> None:
        """Publishes in this VM's entry which requests may crash leaves.

        Other VMs use this to refuse such requests.

        Args:
            suspects: For each request that was running when a leaf crashed, by
                fingerprint, the number of those crashes.
        """
        self._replace_own_entry(replace(self._own_entry, suspects=suspects))

    def _replace_own_entry(self, own_entry: Member) -> None:
        self._own_entry = own_entry
        self._is_entry_written = False
        self._renew_now.set()

    async def _read_changes(self) -> None:
        while True:
            with trio.CancelScope() as self._read_scope:
                try:
                    await self._read_once()
                except HistoryGoneError as error:
                    telemetry.event("history_gone", error=str(error))
                    self._must_read_all = True
                    self._freshness.record_disruption(trio.current_time())
                except StoreUnavailableError as error:
                    was_reachable = self._is_store_reachable
                    self._record_store_failure("watch", error)
                    await self._retry_pause(was_reachable)

    async def _read_once(self) -> None:
        if self._freshness.revision is None:
            await self._read_members()
        feed = self._current_feed()
        if feed is not None and not self._must_ask_store:
            batch = await self._read_feed(feed)
        else:
            batch = await self._read_store(MAX_WATCH_S)
        if batch is None:
            return
        self._apply_batch(batch)
        # The rest of a truncated batch is available at once. A feed merges the
        # changes itself.
        is_delta = not batch.is_truncated and not batch.is_full_state
        if batch.changes and is_delta and feed is None:
            await trio.sleep(WATCH_COALESCE_S)

    async def _read_store(self, max_wait_s: float) -> Batch | None:
        """Reads all keys if necessary, else watches for changes.

        Returns None if the watch was abandoned.
        """
        after = self._freshness.revision
        if after is None or self._must_read_all or self._must_ask_store:
            batch = await self._read_all()
        else:
            wait_s = self._freshness.watch_limit_s(trio.current_time())
            found = await self._watch_store(after, min(wait_s, max_wait_s))
            if found is None:
                return None
            batch = found
        self._record_store_response()
        return batch

    async def _read_all(self) -> Batch:
        await trio.sleep_until(self._last_read_all_at + READ_ALL_INTERVAL_S)
        self._last_read_all_at = trio.current_time()
        batch = await self._store.read_all()
        self._freshness.record_store_revision(batch.revision)
        applied = self._freshness.revision
        if applied is not None and batch.revision < applied:
            raise StoreUnavailableError(
                f"the store returned revision {batch.revision}, older than"
                f" {applied}."
            )
        self._must_read_all = False
        self._must_ask_store = False
        return batch

    async def _read_members(self) -> None:
        """Reads the members, which are needed to choose a feed."""
        for change in await self._store.read_members():
            apply_update(change.update, self._view, trio.current_time())
        self._record_store_response()

    def _current_feed(self) -> Feed | None:
        """Returns the feed to read changes from, or None for the store."""
        now = trio.current_time()
        self._avoided_until = {
            name: until
            for name, until in self._avoided_until.items()
            if now < until
        }
        chosen = self._select_change_source(
            self._own_entry, self._avoided_until
        )
        current = self._feed
        if current is not None and not _is_same_source(current[0], chosen):
            current[1].close()
            self._feed = None
        if chosen is not None and self._feed is None:
            self._feed = chosen, self._connect_feed(chosen.peer_address)
            telemetry.event("feed", member=chosen.name)
        return self._feed[1] if self._feed is not None else None

    async def _read_feed(self, feed: Feed) -> Batch | None:
        """Reads changes from a feed, or from the store if the feed fails.

        Returns None if the store was asked and the watch was abandoned.
        """
        try:
            batch = await feed.changes(self._freshness.revision)
        except StoreUnavailableError as error:
            # The feed has failed; a Feed raises the same error as the Store.
            self._drop_feed(error)
        else:
            # A feed that lacks changes after the revision sends the full state.
            self._must_read_all = False
            return batch
        # The watch lasts no longer than a call to a feed does: the next
        # iteration chooses a feed again.
        return await self._read_store(LONG_POLL_S)

    async def _watch_store(self, after: int, wait_s: float) -> Batch | None:
        """Watches the store; logs the start and the answer.

        Returns None if the watch was abandoned.
        """
        telemetry.event("watch", after=after, wait_s=round(wait_s, 2))
        began = trio.current_time()
        with trio.CancelScope() as self._watch_scope:
            batch = await self._store.watch_all(after, wait_s)
        if self._watch_scope.cancelled_caught:
            return None
        telemetry.event(
            "watch_answered",
            after=after,
            revision=batch.revision,
            changes=len(batch.changes),
            waited_s=round(trio.current_time() - began, 3),
        )
        return batch

    def _drop_feed(self, error: SapphireError) -> None:
        assert self._feed is not None
        member, feed = self._feed
        feed.close()
        self._feed = None
        self._avoided_until[member.name] = (
            trio.current_time() + FEED_RETRY_DELAY_S
        )
        # Whether a watch of the store works has yet to be seen.
        self._freshness.record_disruption(trio.current_time())
        telemetry.event("feed_lost", member=member.name, error=str(error))

    def _apply_batch(self, batch: Batch) -> None:
        self.mirror.apply(batch)
        if batch.is_full_state:
            self._apply_full_state(batch)
        else:
            self._apply_changes(batch)
        if batch.is_truncated:
            self._freshness.record_applied(batch.revision)
        else:
            as_of = trio.current_time() - batch.age_s
            self._freshness.record_current(batch.revision, as_of)
        telemetry.REVISION.set(batch.revision)
        if self._view.is_own_entry_missing and not self._own_entry.leaving:
            self._is_entry_written = False
            self._renew_now.set()
        self._on_change()

    def _apply_full_state(self, batch: Batch) -> None:
        """Applies the full state, which was read from the store or a feed.

        Leaves and members that it does not contain are recorded as missing;
        evacuations that it does not contain end.
        """
        now = trio.current_time()
        leaves = set()
        members = set()
        evacuated_domains = set()
        for change in batch.changes:
            if isinstance(change.update, EvacuationUpdate):
                evacuated_domains.add(change.update.domain)
            elif isinstance(change.update, LeafUpdate):
                leaves.add(change.update.entry.leaf_id)
            elif isinstance(change.update, MemberUpdate):
                members.add(change.update.member.name)
        before = {leaf.entry.leaf_id for leaf in self._view.registry.leaves}
        self._apply_changes(batch)
        self._view.registry.retain(leaves, now)
        self._view.members.retain(members, now)
        self._view.registry.set_evacuated(evacuated_domains)
        if self._lacks_own_entry(members, batch.revision):
            self._view.is_own_entry_missing = True
        telemetry.event(
            "read_all",
            revision=batch.revision,
            leaves=len(leaves),
            members=len(members),
            # Leaves only.
            vanished=len(before - leaves),
        )

    def _apply_changes(self, batch: Batch) -> None:
        now = trio.current_time()
        for change in batch.changes:
            self._view.revision = change.revision
            apply_update(change.update, self._view, now)
        self._view.revision = batch.revision

    def _lacks_own_entry(self, members: Container[str], revision: int) -> bool:
        """Returns whether a full state lacks this VM's entry, though written.

        Args:
            members: Names of the members in the full state.
            revision: Revision of the full state.
        """
        return (
            self._is_entry_written
            and self._own_entry.name not in members
            and self._own_entry_revision <= revision
        )

    async def _check_progress(self) -> None:
        """Asks the store for all keys if known changes do not arrive."""
        while True:
            await trio.sleep(PROGRESS_CHECK_INTERVAL_S)
            now = trio.current_time()
            if not self._is_store_reachable:
                continue
            if not self._freshness.is_overdue(now):
                continue
            telemetry.event(
                "changes_overdue",
                revision=self._freshness.revision,
                newest_revision=self._freshness.newest_revision,
                source=self._feed[0].name if self._feed else "store",
            )
            self._freshness.record_disruption(now)
            self._must_ask_store = True
            self._watch_scope.cancel()

    async def _renew(self) -> None:
        while True:
            self._renew_now = trio.Event()
            pause = RENEW_INTERVAL_S
            try:
                await self._renew_once()
                self._record_store_response()
            except LeaseGoneError:
                telemetry.event("lease_gone", lease=self._lease)
                self._lease = None
                self._is_entry_written = False
                continue
            except StoreUnavailableError as error:
                self._record_store_failure("renewal", error)
                pause = RETRY_INTERVAL_S
            with trio.move_on_after(pause):
                await self._renew_now.wait()

    async def _renew_once(self) -> None:
        if self._lease is None:
            if self._own_entry.leaving:
                return
            self._lease = await self._store.open_lease(LEASE_TTL_S)
        elif self._is_entry_written:
            await self._store.renew_lease(self._lease)
        if not self._is_entry_written:
            # The lease is not renewed in an iteration that writes the entry.
            # It is safe to skip one renewal, as LEASE_TTL_S is longer than
            # several renewal intervals.
            own_entry = self._own_entry
            self._own_entry_revision = await self._store.put_member(
                own_entry, self._lease
            )
            self._freshness.learn_revision(
                self._own_entry_revision, trio.current_time()
            )
            # If the entry was replaced during the write, the next iteration
            # writes it again.
            self._is_entry_written = own_entry is self._own_entry
            self._view.is_own_entry_missing = False

    def _record_store_failure(self, loop: str, error: SapphireError) -> None:
        """Records that a call to the store failed; logs the first failure.

        Args:
            loop: Loop that made the call, "watch" or "renewal". A loop makes
                calls of several kinds, and any of them may have failed.
            error: The failure.
        """
        self._freshness.record_disruption(trio.current_time())
        if not self._is_store_reachable:
            return
        self._is_store_reachable = False
        self._store_recovered = trio.Event()
        telemetry.event("store_lost", call=loop, error=str(error))

    def _record_store_response(self) -> None:
        """Records that the store responded; logs the end of an outage."""
        if self._feed is None:
            self._freshness.record_contact(trio.current_time())
        if self._is_store_reachable:
            return
        self._is_store_reachable = True
        self._store_recovered.set()
        telemetry.event("store_regained", revision=self._view.revision)
        # The store may have dropped a watch that was pending during the
        # outage without closing its connection, so the watch is restarted when
        # a renewal succeeds.
        self._watch_scope.cancel()

    async def _retry_pause(self, was_reachable: bool) -> None:
        """Waits before a retry; a successful renewal ends the wait.

        During an outage only renewals probe the store often, since they cost
        less than watches.

        Args:
            was_reachable: Whether the store responded before this failure.
        """
        if was_reachable:
            await trio.sleep(FIRST_RETRY_DELAY_S)
            return
        limit = (
            RETRY_INTERVAL_S
            if self._freshness.revision is None
            else WATCH_RETRY_INTERVAL_S
        )
        with trio.move_on_after(limit):
            await self._store_recovered.wait()


def _is_same_source(current: Member, chosen: Member | None) -> bool:
    """Returns whether two members have the same name and feed address."""
    return chosen is not None and (current.name, current.peer_address) == (
        chosen.name,
        chosen.peer_address,
    )


@contextlib.contextmanager
def count_store_call(operation: str) -> Iterator[None]:
    """Counts a call to the store by operation and result.

    Implementations of Store enclose each of their calls in it.
    """
    try:
        yield
    except SapphireError as error:
        telemetry.STORE_CALLS.labels(operation, error.kind).inc()
        raise
    telemetry.STORE_CALLS.labels(operation, "ok").inc()
