"""What a VM believes after the store has come back from an older copy.

The copy lacks what was written since it was made. The operators, leaves and VMs
write it again, each in its own time. Until then a key that is missing is not a
removal: its last write is held, and passed on to the VMs that read this VM's
feed.

The copy also has what was removed or replaced since. A write of a leaf or a VM
that this VM has seen removed or replaced is doubted: it counts only once its
writer would have ended it again.
"""

from __future__ import annotations

import dataclasses
import functools
import math
from collections.abc import Iterable
from dataclasses import dataclass

from sapphire_core.leafset import is_older

from sapphire_gateway.fleet_view import (
    ConfigurationUpdate,
    EvacuationUpdate,
    LeafUpdate,
    MemberUpdate,
    Update,
)
from sapphire_gateway.store import HELD, Batch, Change

# Time for which an evacuation that the copy lacks stays in force. Ending it too
# early sends requests to a domain that operators have taken out; ending it too
# late costs the capacity of a domain that they have taken back meanwhile.
EVACUATION_HOLD_S = 60.0
# A leaf that lives and reaches the store is back in it about two seconds after
# the store's return.
LEAF_HOLD_S = 2.0
# A VM renews its lease within 1.8 s, finds it lost, and writes its entry again.
MEMBER_HOLD_S = 3.0
# A leaf that is gone is removed from the store after three heartbeats of
# silence, a VM when its lease ends.
DOUBT_S = 6.0
# Removed writes that are remembered; a copy is some seconds old.
MAX_REMOVED = 4096


@dataclass(frozen=True, slots=True)
class _Doubted:
    change: Change
    until: float


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
        # Last writes of keys that were removed, the newest last.
        self._removed: dict[str, Change] = {}
        # Writes in the copy that are not believed yet.
        self._doubted: dict[str, _Doubted] = {}

    @property
    def held_count(self) -> int:
        """Number of keys that the store lacks and that count all the same."""
        return len(self._held_until)

    @property
    def held_evacuations(self) -> set[str]:
        """Failure domains whose evacuation the store lacks."""
        updates = [self._known[key].update for key in self._held_until]
        return {u.domain for u in updates if isinstance(u, EvacuationUpdate)}

    def reconcile(self, batch: Batch, now: float) -> Batch:
        """Returns the batch as it has to be applied.

        The first full state of an era is completed by what was known before,
        and so are later ones as long as that is held.
        """
        known_before: dict[str, Change] = {}
        if batch.is_full_state:
            batch = self._complete(batch, now)
            known_before, self._known = self._known, {}
        self._era = batch.revision.era
        for change in batch.changes:
            if self._is_doubted(change):
                continue
            self._record(change)
            before = known_before.get(change.key)
            if change.revision == HELD and before is not None:
                # Its number tells whether a later copy has an older write.
                self._known[change.key] = before
        return batch

    def hear(self, changes: Iterable[Change], now: float) -> list[Change]:
        """Holds what another VM holds, and returns what is to be applied.

        A VM that started after the return has seen only the copy.
        """
        heard = [c for c in changes if c.revision == HELD and self._lacks(c)]
        for change in heard:
            if change.key not in self._known:
                self._held_until[change.key] = now + hold_s(change.update)
            self._known[change.key] = change
        return heard

    def _lacks(self, change: Change) -> bool:
        known = self._known.get(change.key)
        return known is None or supersedes(change.update, known.update)

    def believed(self, batch: Batch) -> Batch:
        """Returns a reconciled batch without the writes that are doubted.

        Other VMs have their own reasons to doubt, so that feeds include them.
        """
        changes = [c for c in batch.changes if not self._is_doubted(c)]
        return dataclasses.replace(batch, changes=tuple(changes))

    def take_believable(self, now: float) -> list[Change]:
        """Removes and returns the writes that have been doubted long enough."""
        ended = [d.change for d in self._doubted.values() if d.until <= now]
        for change in ended:
            self._record(change)
        return ended

    def take_expired(self, now: float) -> list[str]:
        """Removes and returns the keys that have been held long enough."""
        expired = [key for key, end in self._held_until.items() if end <= now]
        for key in expired:
            del self._held_until[key]
            del self._known[key]
        return expired

    def _is_doubted(self, change: Change) -> bool:
        doubted = self._doubted.get(change.key)
        return doubted is not None and doubted.change == change

    def _record(self, change: Change) -> None:
        if change.revision != HELD:
            self._held_until.pop(change.key, None)
            self._doubted.pop(change.key, None)
        if change.value is not None:
            self._known[change.key] = change
            return
        known = self._known.pop(change.key, None)
        if known is not None:
            self._removed.pop(change.key, None)
            self._removed[change.key] = known
            if len(self._removed) > MAX_REMOVED:
                del self._removed[next(iter(self._removed))]

    def _complete(self, batch: Batch, now: float) -> Batch:
        """Returns a full state with the writes that are held."""
        is_return = self._era not in (None, batch.revision.era)
        listed = {c.key: c for c in batch.changes if c.revision != HELD}
        # Held by the VM whose feed sent the batch, and not known better.
        told = {
            c.key: c
            for c in batch.changes
            if c.revision == HELD and self._lacks(c)
        }
        candidates = {**self._known, **told}
        held: dict[str, Change] = {}
        held_until: dict[str, float] = {}
        self._doubt(listed, is_return, now)
        for key, known in candidates.items():
            if key in listed:
                is_doubted = self._is_doubted(listed[key])
                if is_doubted or supersedes(known.update, listed[key].update):
                    held[key] = dataclasses.replace(known, revision=HELD)
                continue
            end = self._held_until.get(key, -math.inf)
            if known == self._removed.get(key):
                # It had been taken back, and was in an earlier copy.
                continue
            if is_return or key in told:
                end = now + hold_s(known.update)
            if end > now:
                held[key] = dataclasses.replace(known, revision=HELD)
                held_until[key] = end
        self._held_until = held_until
        changes = [c for key, c in listed.items() if key not in held]
        return dataclasses.replace(batch, changes=(*changes, *held.values()))

    def _doubt(
        self, listed: dict[str, Change], is_return: bool, now: float
    ) -> None:
        """Finds the listed writes that this VM has seen removed or replaced."""
        doubted = {
            c.key: self._doubted[c.key]
            for c in listed.values()
            if self._is_doubted(c)
        }
        if is_return:
            for key, change in listed.items():
                if self._is_outdated(change):
                    doubted[key] = _Doubted(change, now + DOUBT_S)
        self._doubted = doubted

    def _is_outdated(self, change: Change) -> bool:
        """Returns whether a write in a copy has ended, as far as is known."""
        if not isinstance(change.update, LeafUpdate | MemberUpdate):
            return False
        known = self._known.get(change.key)
        if known is None:
            return self._removed.get(change.key) == change
        # The order of a leaf's entries is known without their numbers.
        is_member = isinstance(change.update, MemberUpdate)
        is_same = known.update == change.update
        return is_member and not is_same and known.revision > change.revision
