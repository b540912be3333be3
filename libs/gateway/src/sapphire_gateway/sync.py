"""Keeps the fleet view up to date, and this VM's entry in the store.

Each VM of the fleet writes an entry (a Member) about itself to the store. Some
of the VMs that serve callers, the watchers, read changes from the store. The
others read them from the feed of a watcher, which relays the changes, so that
the number of watches does not grow with the size of the fleet. The number of
lease renewals does.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import trio
from sapphire_core.freshness import MAX_WATCH_S
from sapphire_core.members import Member, select_revision_peers
from sapphire_core.storerevision import StoreRevision

from sapphire_gateway import supervision, telemetry
from sapphire_gateway.feed import LONG_POLL_S, Mirror
from sapphire_gateway.feedselector import (
    Feed,
    FeedSelector,
    SelectChangeSource,
)
from sapphire_gateway.fleet_view import (
    EvacuationUpdate,
    FleetView,
    LeafUpdate,
    MemberUpdate,
    apply_update,
)
from sapphire_gateway.ownentry import OwnEntry
from sapphire_gateway.reconciliation import Reconciler
from sapphire_gateway.store import (
    HELD,
    Batch,
    Change,
    HistoryGoneError,
    Store,
    StoreUnavailableError,
)
from sapphire_gateway.storecontact import StoreContact

# Pause after a watch with changes, so that one call fetches the changes of
# this interval.
WATCH_COALESCE_S = 0.4
# Delay after the first failure of a watch. It is short, because the store may
# merely have closed the connection.
FIRST_RETRY_DELAY_S = 0.1
# Intervals between retries of a read that keeps failing, before and after the
# first full read. A successful renewal ends the wait: during an outage only
# renewals probe the store often, since they cost less than watches.
FIRST_READ_RETRY_INTERVAL_S = 0.7
READ_RETRY_INTERVAL_S = 2.0
# Shortest interval between two reads of all keys.
READ_ALL_INTERVAL_S = 0.25
# Time in which the VMs that watch the store read all keys again, before the
# others ask them for all keys.
FEED_RECOVERY_S = 0.5
# Interval between checks whether changes are overdue.
PROGRESS_CHECK_INTERVAL_S = 0.25
# Other VMs are asked so often after the start for the writes that they hold.
HELD_QUESTIONS = 4
HELD_QUESTION_INTERVAL_S = 0.5
# Keys that one log line names at most.
MAX_LOGGED_KEYS = 20


class Sync:
    """Reads the changes and checks that they arrive.

    Attributes:
        own_entry: This VM's entry, which `run` keeps alive.
        mirror: Copy of the store's keys and values, which FeedServer serves to
            other VMs.
    """

    def __init__(
        self,
        store: Store,
        view: FleetView,
        own_entry: Member,
        on_change: Callable[[], None],
        select_change_source: SelectChangeSource,
        connect_feed: Callable[[Member], Feed],
    ) -> None:
        """Prepares the loops; `run` starts them.

        Args:
            store: Client of the platform's key-value store.
            view: Fleet view to update.
            own_entry: This VM's entry.
            on_change: Called after a batch was applied to the view as a whole.
                There is no call after the members are read to choose a feed.
            select_change_source: Chooses the VM to read changes from.
            connect_feed: Returns a client of a VM's feed.
        """
        self._store = store
        self._view = view
        self._freshness = view.freshness
        self._on_change = on_change
        self._connect_feed = connect_feed
        self._feeds = FeedSelector(select_change_source, connect_feed)
        self._contact = StoreContact(view.freshness)
        self._contact.on_regained = self._restart_watch
        self.own_entry = OwnEntry(store, view, own_entry, self._contact)
        # Set when the store has discarded changes that were not read yet.
        self._must_read_all = False
        # Set when changes are overdue: the next read asks the store for all
        # keys, even if this VM has a feed.
        self._must_ask_store = False
        self._last_read_all_at = -math.inf
        self.mirror = Mirror()
        self._reconciler = Reconciler()
        # Scope of the current iteration of the loop that reads changes, and of
        # the part of it in which a watch waits for the store.
        self._read_scope = trio.CancelScope()
        self._watch_scope = trio.CancelScope()

    @property
    def feed_age_s(self) -> float:
        """Seconds since this VM's copy was last known to be current.

        Infinity if this VM reads from a feed itself, so that no VM reads from
        it: feeds are not chained.
        """
        if self._feeds.source is not None:
            return math.inf
        return self._freshness.age_s(trio.current_time())

    async def run(self) -> None:
        """Runs until cancelled."""
        self._freshness.record_disruption(trio.current_time())
        async with trio.open_nursery() as nursery:
            for task, run in (
                ("reading changes", self._read_changes),
                ("own entry", self.own_entry.run),
                ("check of the progress", self._check_progress),
                ("writes of a copy", self._settle_writes),
                ("held writes", self._ask_for_held_writes),
            ):
                nursery.start_soon(supervision.run_always, task, run)

    def resync(self, reason: str) -> None:
        """Reconnects to the store and restarts the pending read."""
        telemetry.event("resync", reason=reason)
        self._freshness.record_disruption(trio.current_time())
        self._store.reconnect(reason)
        self._read_scope.cancel()
        self.own_entry.renew_soon()

    async def _read_changes(self) -> None:
        while True:
            with trio.CancelScope() as self._read_scope:
                try:
                    await self._read_once()
                except HistoryGoneError as error:
                    telemetry.event("history_gone", error=str(error))
                    self._must_read_all = True
                    self._freshness.record_disruption(trio.current_time())
                    if self._feeds.forgive(self.own_entry.member):
                        # A feed is cheaper than all keys from the store.
                        await trio.sleep(FEED_RECOVERY_S)
                except StoreUnavailableError as error:
                    was_reachable = self._contact.is_reachable
                    self._contact.record_failure("watch", error)
                    await self._retry_pause(was_reachable)

    async def _read_once(self) -> None:
        if self._freshness.revision is None:
            await self._read_members()
        had_feed = self._feeds.source is not None
        # A VM that the store turns away asks another one that reads it.
        feed = self._feeds.choose(
            self.own_entry.member, self._contact.is_reachable
        )
        if had_feed and feed is None:
            # Whether a watch of the store works has yet to be seen.
            self._freshness.record_disruption(trio.current_time())
        self._contact.is_watching_store = feed is None
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
        self._contact.record_response()
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
        self._contact.record_response()

    async def _read_feed(self, feed: Feed) -> Batch | None:
        """Reads changes from a feed, or from the store if the feed fails.

        Returns None if the store was asked and the watch was abandoned.
        """
        try:
            batch = await feed.changes(self._freshness.revision)
        except StoreUnavailableError as error:
            # The feed has failed; a Feed raises the same error as the Store.
            self._feeds.drop(error)
            self._contact.is_watching_store = True
            # Whether a watch of the store works has yet to be seen.
            self._freshness.record_disruption(trio.current_time())
        else:
            # A feed that lacks changes after the revision sends the full state.
            self._must_read_all = False
            return batch
        # The watch lasts no longer than a call to a feed does: the next
        # iteration chooses a feed again.
        return await self._read_store(LONG_POLL_S)

    async def _watch_store(
        self, after: StoreRevision, wait_s: float
    ) -> Batch | None:
        """Watches the store; logs the start and the answer.

        Returns None if the watch was abandoned.
        """
        telemetry.event(
            "watch",
            after=after.number,
            era=after.era,
            wait_s=round(wait_s, 2),
        )
        began = trio.current_time()
        with trio.CancelScope() as self._watch_scope:
            batch = await self._store.watch_all(after, wait_s)
        if self._watch_scope.cancelled_caught:
            return None
        telemetry.event(
            "watch_answered",
            after=after.number,
            revision=batch.revision.number,
            era=batch.revision.era,
            changes=len(batch.changes),
            waited_s=round(trio.current_time() - began, 3),
        )
        return batch

    def _apply_batch(self, batch: Batch) -> None:
        self._log_return(batch)
        batch = self._reconciler.reconcile(batch, trio.current_time())
        self.mirror.apply(batch)
        batch = self._reconciler.believed(batch)
        if batch.is_full_state:
            self._apply_full_state(batch)
        else:
            self._apply_changes(batch)
        if batch.is_truncated:
            self._freshness.record_applied(batch.revision)
        else:
            as_of = trio.current_time() - batch.age_s
            self._freshness.record_current(batch.revision, as_of)
        self._show_held_writes()
        telemetry.REVISION.set(batch.revision.number)
        telemetry.STORE_ERA.set(batch.revision.era)
        self.own_entry.restore_if_missing()
        self._on_change()

    def _log_return(self, batch: Batch) -> None:
        """Logs and counts if the batch is the first of a new era."""
        before = self._freshness.revision
        after = batch.revision
        if before is None or after.era == before.era:
            return
        telemetry.STORE_RETURNS.inc()
        telemetry.event(
            "store_returned",
            era_before=before.era,
            revision_before=before.number,
            era=after.era,
            revision=after.number,
        )

    def _apply_full_state(self, batch: Batch) -> None:
        """Applies the full state, completed by the writes that are held.

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
        if self.own_entry.is_lost(_listed_members(batch), batch.revision):
            self._view.is_own_entry_missing = True
        telemetry.event(
            "read_all",
            revision=batch.revision.number,
            era=batch.revision.era,
            leaves=len(leaves),
            members=len(members),
            # Leaves only.
            vanished=len(before - leaves),
            held=self._reconciler.held_count,
        )

    def _apply_changes(self, batch: Batch) -> None:
        now = trio.current_time()
        for change in batch.changes:
            self._view.revision = change.revision
            try:
                apply_update(change.update, self._view, now)
            except Exception as error:
                # The changes behind it, and later ones, must still be applied.
                supervision.record_failure("change of the store", error)
        self._view.revision = batch.revision.number

    async def _ask_for_held_writes(self) -> None:
        """Asks other VMs what the store lacks since it came back from a copy.

        A VM that has just started knows only what the store has. Another one
        that has not read the new era yet holds nothing, and is asked again.
        """
        for _ in range(HELD_QUESTIONS):
            await trio.sleep(HELD_QUESTION_INTERVAL_S)
            own = self.own_entry.member
            live = self._view.members.live(trio.current_time())
            for peer in select_revision_peers(own, [own, *live]):
                if await self._hear_held_writes(peer):
                    await trio.sleep_forever()
        await trio.sleep_forever()

    async def _hear_held_writes(self, peer: Member) -> bool:
        """Returns whether a VM has told what it holds in the present era."""
        feed = self._connect_feed(peer)
        try:
            batch = await feed.held()
        except StoreUnavailableError:
            # Another VM is asked, or this one again.
            return False
        finally:
            feed.close()
        revision = self._freshness.revision
        if revision is None or batch.revision.era != revision.era:
            return False
        heard = self._reconciler.hear(batch.changes, trio.current_time())
        if heard:
            keys = [c.key for c in heard[:MAX_LOGGED_KEYS]]
            telemetry.event("held_writes_heard", member=peer.name, keys=keys)
            self.mirror.put(heard)
            self._apply_outside_batch(heard)
        return True

    def _apply_outside_batch(self, changes: list[Change]) -> None:
        for change in changes:
            apply_update(change.update, self._view, trio.current_time())
        self._show_held_writes()
        self._on_change()

    def _show_held_writes(self) -> None:
        telemetry.HELD_WRITES.set(self._reconciler.held_count)
        self._view.registry.set_doubtful(self._reconciler.held_evacuations)

    async def _settle_writes(self) -> None:
        """Ends what is held or doubted after a return of the store."""
        while True:
            await trio.sleep(PROGRESS_CHECK_INTERVAL_S)
            now = trio.current_time()
            expired = self._reconciler.take_expired(now)
            believable = self._reconciler.take_believable(now)
            if not expired and not believable:
                continue
            telemetry.event(
                "copy_settled",
                removed=expired[:MAX_LOGGED_KEYS],
                believed=[c.key for c in believable[:MAX_LOGGED_KEYS]],
            )
            self.mirror.drop(expired)
            self.mirror.put(believable)
            for key in expired:
                self._apply_removal(key)
            self._apply_outside_batch(believable)

    def _apply_removal(self, key: str) -> None:
        update = self._store.decode(key, None)
        if update is not None:
            apply_update(update, self._view, trio.current_time())

    async def _check_progress(self) -> None:
        """Asks the store for all keys if known changes do not arrive."""
        while True:
            await trio.sleep(PROGRESS_CHECK_INTERVAL_S)
            now = trio.current_time()
            if not self._contact.is_reachable:
                continue
            if not self._freshness.is_overdue(now):
                continue
            source = self._feeds.source
            telemetry.event(
                "changes_overdue",
                revision=str(self._freshness.revision),
                newest_revision=str(self._freshness.newest_revision),
                source=source.name if source else "store",
            )
            self._freshness.record_disruption(now)
            self._must_ask_store = True
            self._watch_scope.cancel()

    def _restart_watch(self) -> None:
        """Ends the pending watch when the store responds again.

        The store may have dropped it without closing its connection.
        """
        self._watch_scope.cancel()

    async def _retry_pause(self, was_reachable: bool) -> None:
        """Waits before a retry.

        Args:
            was_reachable: Whether the store responded before this failure.
        """
        if was_reachable:
            await trio.sleep(FIRST_RETRY_DELAY_S)
        elif self._freshness.revision is None:
            await self._contact.wait_until_regained(FIRST_READ_RETRY_INTERVAL_S)
        else:
            await self._contact.wait_until_regained(READ_RETRY_INTERVAL_S)


def _listed_members(batch: Batch) -> set[str]:
    """Returns the names of the members that the store itself has."""
    return {
        change.update.member.name
        for change in batch.changes
        if isinstance(change.update, MemberUpdate) and change.revision != HELD
    }
