"""What a VM believes after the store has come back from an older copy.

The copy lacks what was written since it was made. The operators, leaves and VMs
write it again, each in its own time. Until then a key that is missing is not a
removal: its last write is held, and passed on to the VMs that read this VM's
feed.
"""

from __future__ import annotations

import dataclasses
import functools
import math

from sapphire_core.leafset import is_older

from sapphire_gateway.fleet_view import (
    ConfigurationUpdate,
    EvacuationUpdate,
    LeafUpdate,
    MemberUpdate,
    Update,
)
from sapphire_gateway.store import Batch, Change

# Stands for the revision of a held write, which the store does not have.
HELD = 0
# Time for which an evacuation that the copy lacks stays in force. Ending it too
# early sends requests to a domain that operators have taken out; ending it too
# late only costs the domain's capacity.
EVACUATION_HOLD_S = 60.0
# A leaf that lives and reaches the store is back in it about two seconds after
# the store's return.
LEAF_HOLD_S = 2.0
# A VM renews its lease within 1.8 s, finds it lost, and writes its entry again.
MEMBER_HOLD_S = 3.0


@functools.singledispatch
def hold_s(update: Update) -> float:
    """Returns how long a write that the copy lacks is held, in seconds."""
    return 0.0


@hold_s.register
def _(update: ConfigurationUpdate) -> float:
    # No configuration is given up for none, or for an older one.
    return math.inf


@hold_s.register
def _(update: EvacuationUpdate) -> float:
    return EVACUATION_HOLD_S


@hold_s.register
def _(update: LeafUpdate) -> float:
    return LEAF_HOLD_S


@hold_s.register
def _(update: MemberUpdate) -> float:
    return MEMBER_HOLD_S


@functools.singledispatch
def supersedes(update: Update, listed: Update) -> bool:
    """Returns whether an update is known to be newer than a listed one."""
    return False


@supersedes.register
def _(update: ConfigurationUpdate, listed: Update) -> bool:
    if not isinstance(listed, ConfigurationUpdate):
        return False
    return update.configuration.version > listed.configuration.version


@supersedes.register
def _(update: LeafUpdate, listed: Update) -> bool:
    if not isinstance(listed, LeafUpdate):
        return False
    return is_older(listed.entry, update.entry)


class Reconciler:
    """The last write of each key, and those that are held.

    Batches pass through it in the order in which they are applied.
    """

    def __init__(self) -> None:
        self._era: int | None = None
        # The last write of each key that exists or is held.
        self._known: dict[str, Change] = {}
        # Keys that the store lacks, with the time up to which they are held.
        self._held_until: dict[str, float] = {}

    @property
    def held_count(self) -> int:
        """Number of keys that the store lacks and that count all the same."""
        return len(self._held_until)

    def reconcile(self, batch: Batch, now: float) -> Batch:
        """Returns the batch as it has to be applied.

        The first full state of an era is completed by what was known before,
        and so are later ones as long as that is held.
        """
        if batch.is_full_state:
            batch = self._complete(batch, now)
            self._known.clear()
        self._era = batch.revision.era
        for change in batch.changes:
            self._record(change)
        return batch

    def take_expired(self, now: float) -> list[str]:
        """Removes and returns the keys that have been held long enough."""
        expired = [key for key, end in self._held_until.items() if end <= now]
        for key in expired:
            del self._held_until[key]
            del self._known[key]
        return expired

    def _record(self, change: Change) -> None:
        if change.value is None:
            self._known.pop(change.key, None)
        else:
            self._known[change.key] = change
        if change.revision != HELD:
            self._held_until.pop(change.key, None)

    def _complete(self, batch: Batch, now: float) -> Batch:
        """Returns a full state with the writes that are held."""
        is_return = self._era not in (None, batch.revision.era)
        listed = {c.key: c for c in batch.changes if c.revision != HELD}
        # Held by the VM whose feed sent the batch.
        candidates = {c.key: c for c in batch.changes if c.revision == HELD}
        told = candidates.keys()
        candidates = {**candidates, **self._known}
        held: dict[str, Change] = {}
        held_until: dict[str, float] = {}
        for key, known in candidates.items():
            if key in listed:
                if supersedes(known.update, listed[key].update):
                    held[key] = dataclasses.replace(known, revision=HELD)
                continue
            end = self._held_until.get(key, -math.inf)
            if is_return or (key in told and key not in self._known):
                end = now + hold_s(known.update)
            if end > now:
                held[key] = dataclasses.replace(known, revision=HELD)
                held_until[key] = end
        self._held_until = held_until
        changes = [c for key, c in listed.items() if key not in held]
        return dataclasses.replace(batch, changes=(*changes, *held.values()))
