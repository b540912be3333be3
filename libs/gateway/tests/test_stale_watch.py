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
from sapphire_gateway.fleet_view import (
    ConfigurationUpdate,
    EvacuationUpdate,
    LeafRemoval,
    LeafUpdate,
    MemberRemoval,
    MemberUpdate,
)
from sync_harness import LEAF, run_sync

# Time for which changes are hidden before the watches are reset.
HIDDEN_S = 1.0
# Time between the reset of the watches and the end of the history. It exceeds
# RENEW_INTERVAL_S: a renewal within it ends the pause after the reset, and its
# success is the last sign that the VM gets of the disruption.
ACCEPTING_S = 1.4
# Time within which a change has to be applied after the store has recovered.
APPLY_LIMIT_S = 3.0
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
