"""Identity of a state of the platform's store.

The store counts its changes. When it comes back from an older copy of itself,
it continues from the copy's count, so the same number then names a different
state. The store therefore states an era, which rises at each such return; a
number counts only together with the era in which it was read.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class StoreRevision:
    """A state of the store; a state of a later era is newer than all before.

    Attributes:
        era: Number of the era, as the store states it; 0 if it states none.
        number: Number of changes that the store has counted.
    """

    era: int
    number: int

    def __str__(self) -> str:
        return f"{self.number} of era {self.era}"


# Older than any state of the store.
NO_REVISION = StoreRevision(0, 0)
