"""Tests of watches that the store accepts and does not answer.

The store discards its history: it hides changes from watches, resets them, and
drops the history a moment later. A watch that is asked in between is accepted
and stays silent until the next change.
"""

from __future__ import annotations

import dataclasses

import pytest
import trio
from sapphire_core.leafset import LeafState
from sapphire_core.members import Member
from sapphire_core.routing import ClientLimits, Configuration
from sapphire_gateway.feed import MAX_DATA_AGE_S
from sapphire_gateway.fleet_view import (
    ConfigurationUpdate,
    EvacuationUpdate,
    LeafRemoval,
    LeafUpdate,
    MemberRemoval,
    MemberUpdate,
)
from sapphire_gateway.store import StoreUnavailableError
from sapphire_gateway.sync import READ_ALL_INTERVAL_S
from sync_harness import LEAF, FakeFeed, FakeStore, run_fleet, run_sync

# Time for which changes are hidden before the watches are reset.
HIDDEN_S = 1.0
# Time between the reset of the watches and the end of the history. It exceeds
# RENEW_INTERVAL_S: a renewal within it ends the pause after the reset, and its
# success is the last sign that the VM gets of the disruption.
ACCEPTING_S = 1.4
# Time within which a change has to be applied after the store has recovered.
APPLY_LIMIT_S = 3.0
FEED = Member("vm3", "10.0.0.3:80", "z1", peer_address="near")
OTHER_VM = Member("vm2", "10.0.0.2:80", "z1")
SECOND_CONFIGURATION = Configuration(2, (), {}, ClientLimits())


async def forget_history(store):
    """Discards the history, with a gap in which watches are accepted."""
    await trio.sleep(HIDDEN_S)
    store.reset_watches()
    await trio.sleep(ACCEPTING_S)
    store.forget_hidden_changes()


def is_used(view):
    """Returns whether requests may be sent to the leaf."""
    return bool(view.registry.candidates("s", trio.current_time()))


# For each kind of change: the key, the value written before the gap, the one
# that is hidden from the watches, and whether the view shows the latter.
CHANGES = {
    "configuration": (
        "op/config",
        ConfigurationUpdate(Configuration(1, (), {}, ClientLimits())),
        ConfigurationUpdate(SECOND_CONFIGURATION),
        lambda view: view.configuration is SECOND_CONFIGURATION,
    ),
    "evacuation begins": (
        "op/evacuate/z2",
        EvacuationUpdate("z2", False),
        EvacuationUpdate("z2", True),
        lambda view: view.registry.evacuated == {"z2"},
    ),
    "evacuation ends": (
        "op/evacuate/z2",
        EvacuationUpdate("z2", True),
        EvacuationUpdate("z2", False),
        lambda view: not view.registry.evacuated,
    ),
    "leaf drains": (
        "servers/i-1",
        LeafUpdate(LEAF),
        LeafUpdate(
            dataclasses.replace(LEAF, state=LeafState.DRAINING, sequence=2)
        ),
        lambda view: view.registry.get("i-1").entry.state is LeafState.DRAINING,
    ),
    "leaf is gone": (
        "servers/i-1",
        LeafUpdate(LEAF),
        LeafRemoval("i-1", "removed"),
        lambda view: not is_used(view),
    ),
    "leaf registers": (
        "servers/i-1",
        LeafRemoval("i-1", "removed"),
        LeafUpdate(LEAF),
        is_used,
    ),
    "member leaves": (
        "members/vm2",
        MemberUpdate(OTHER_VM),
        MemberUpdate(dataclasses.replace(OTHER_VM, leaving=True)),
        lambda view: OTHER_VM not in view.members.live(trio.current_time()),
    ),
    "member is gone": (
        "members/vm2",
        MemberUpdate(OTHER_VM),
        MemberRemoval("vm2"),
        lambda view: OTHER_VM not in view.members.live(trio.current_time()),
    ),
}


@pytest.mark.parametrize("kind", CHANGES)
def test_change_hidden_from_an_accepted_watch_is_applied(kind):
    """Guards against a VM that takes a watch's silence for "no change".

    Such a VM went on with an old configuration until the next change of any
    key, while its lease renewals succeeded.
    """
    key, before, hidden, is_applied = CHANGES[kind]

    async def test(store, view, sync):
        store.write(key, before)
        await trio.sleep(1)
        assert not is_applied(view)
        store.hide_changes_from_watches()
        store.write(key, hidden)
        await forget_history(store)
        await trio.sleep(APPLY_LIMIT_S)
        assert is_applied(view)

    run_sync(test)


def test_change_during_the_accepting_moment_is_applied():
    """The change is made after the reset, when the watch is asked already."""

    async def test(store, view, sync):
        store.hide_changes_from_watches()
        await trio.sleep(HIDDEN_S)
        store.reset_watches()
        await trio.sleep(ACCEPTING_S)
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        store.forget_hidden_changes()
        await trio.sleep(APPLY_LIMIT_S)
        assert view.registry.evacuated == {"z2"}

    run_sync(test)


def test_revision_heard_of_elsewhere_ends_a_silent_watch():
    """Guards against a lost watch of which nothing else gives a sign.

    Its connection may be silent while those of other calls work.
    """

    async def test(store, view, sync):
        await trio.sleep(30)
        store.hide_changes_from_watches()
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        view.freshness.learn_revision(store.position, trio.current_time())
        await trio.sleep(APPLY_LIMIT_S)
        assert view.registry.evacuated == {"z2"}

    run_sync(test)


def test_own_write_shows_that_a_watch_is_silent():
    async def test(store, view, sync):
        await trio.sleep(30)
        store.hide_changes_from_watches()
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        sync.own_entry.publish_suspects(())
        await trio.sleep(APPLY_LIMIT_S)
        assert view.registry.evacuated == {"z2"}

    run_sync(test)


def test_overdue_changes_are_read_past_a_feed():
    """A feed that falls behind does not hold back the VM that follows it."""

    async def test(store, view, sync):
        feed_store.revision = store.revision
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        view.freshness.learn_revision(store.position, trio.current_time())
        await trio.sleep(APPLY_LIMIT_S)
        assert view.registry.evacuated == {"z2"}

    feed_store = FakeStore()
    FakeFeed.silent_addresses = set()
    run_sync(test, feeds=(FEED,), feed_store=feed_store)


def test_copy_ages_while_only_renewals_succeed():
    """Guards against a VM that feeds others with data that it cannot update."""

    async def test(store, view, sync):
        store.hide_changes_from_watches()
        for _ in range(40):
            store.reset_watches()
            await trio.sleep(0.1)
        assert sync.feed_age_s > MAX_DATA_AGE_S

    run_sync(test)


def test_reset_watch_does_not_interrupt_feeds():
    """A single failure is overcome before other VMs need another feed."""

    async def test(store, view, sync):
        for _ in range(20):
            await trio.sleep(10)
            store.reset_watches()
            for _ in range(100):
                assert sync.feed_age_s < MAX_DATA_AGE_S
                await trio.sleep(0.01)

    run_sync(test)


def test_disruption_costs_few_calls():
    """Watches are soon as long as before, since each counts as a call."""

    async def test(store, view, sync):
        await trio.sleep(60)
        store.calls.clear()
        store.reset_watches()
        await trio.sleep(60)
        assert store.calls.count("watch") <= 10
        assert store.calls.count("read_all") == 0

    run_sync(test)


def test_lost_history_does_not_cause_a_storm_of_reads():
    """The store may report that the history is gone to each watch."""

    async def test(store, view, sync):
        store.calls.clear()
        end = trio.current_time() + 10
        while trio.current_time() < end:
            store.revision += 1
            store.forget_history()
            await trio.sleep(0.01)
        assert store.calls.count("read_all") <= 10 / READ_ALL_INTERVAL_S + 1

    run_sync(test)


def test_regained_contact_does_not_interrupt_a_full_read():
    """With a slow store, a full read would otherwise never be finished."""

    async def test(store, view, sync):
        store.read_delay_s = 2.0
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        store.forget_history()
        for _ in range(4):
            await trio.sleep(0.7)
            # Each renewal that follows reports that contact was regained.
            sync._contact.record_failure("renewal", StoreUnavailableError("x."))
        assert view.registry.evacuated == {"z2"}

    run_sync(test)


def test_older_full_state_is_not_applied():
    """Guards against a source that answers with an earlier state."""

    async def test(store, view, sync):
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        await trio.sleep(1)
        current = store.position
        store.changes_by_key.pop("op/evacuate/z2")
        store.revision = current.number - 1
        store.forget_history()
        store.oldest_revision = current.number + 1
        store.reset_watches()
        await trio.sleep(3)
        assert view.registry.evacuated == {"z2"}
        assert view.freshness.revision == current

    run_sync(test)


def test_own_entry_lost_with_the_history_is_written_again():
    """The removal of an entry may be among the changes that are not told."""

    async def test(store, view, sync):
        store.hide_changes_from_watches()
        store.write("members/vm1", MemberRemoval("vm1"))
        await forget_history(store)
        await trio.sleep(APPLY_LIMIT_S)
        assert "members/vm1" in store.changes_by_key

    run_sync(test)


def test_batch_is_announced_as_a_whole():
    """Limits are recomputed after a full state's removals, not before."""
    seen = []

    async def test(store, view, sync):
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        store.write("servers/i-1", LeafUpdate(LEAF))
        await trio.sleep(1)
        del store.changes_by_key["op/evacuate/z2"]
        del store.changes_by_key["servers/i-1"]
        store.revision += 1
        store.forget_history()
        await trio.sleep(2)
        assert seen[-1] == (frozenset(), False)

    def on_change(view):
        leaf = view.registry.get("i-1")
        seen.append(
            (view.registry.evacuated, leaf is not None and leaf.has_entry)
        )

    run_sync(test, on_change=on_change)


@pytest.mark.parametrize("accepting_s", [0.12, 0.25, 1.4, 2.5])
def test_fed_vm_is_not_held_back_by_a_silent_watch(accepting_s):
    """Two VMs at once wait in vain, and one of them feeds a third.

    The VM that feeds others must not state that its data are current.
    """

    async def test(store, views):
        store.write("servers/i-1", LeafUpdate(LEAF))
        await trio.sleep(5)
        store.hide_changes_from_watches()
        store.write("op/evacuate/z2", EvacuationUpdate("z2", True))
        store.write("servers/i-1", LeafRemoval("i-1", "removed"))
        await trio.sleep(HIDDEN_S)
        store.reset_watches()
        await trio.sleep(accepting_s)
        store.forget_hidden_changes()
        await trio.sleep(APPLY_LIMIT_S)
        for view in views:
            assert view.registry.evacuated == {"z2"}
            assert not is_used(view)

    run_fleet(test)


def test_fed_vm_stays_current_without_calls_to_the_store():
    async def test(store, views):
        for number in range(20):
            store.write(f"servers/i-{number}", LeafUpdate(LEAF))
            await trio.sleep(1.0)
            assert views[2].freshness.revision == store.position
        ages = [view.freshness.age_s(trio.current_time()) for view in views]
        assert max(ages) < MAX_DATA_AGE_S + 1

    run_fleet(test)


def test_renewals_do_not_confirm_what_a_feed_said():
    """A fed VM knows the age of its data from the feed alone."""

    async def test(store, view, sync):
        FakeFeed.age_s = 3.0
        await trio.sleep(5)
        assert view.freshness.age_s(trio.current_time()) >= 3.0

    FakeFeed.silent_addresses = set()
    try:
        run_sync(test, feeds=(FEED,))
    finally:
        FakeFeed.age_s = 0.0
