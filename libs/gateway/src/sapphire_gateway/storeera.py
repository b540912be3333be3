"""Era of the platform's store, as its answers state it.

The era rises by one whenever the store comes back from an older copy of itself.
An answer that was asked for before such a return is from a state that no longer
exists. An era that cannot be read, is missing or falls says nothing: the last
good one is kept.
"""

from __future__ import annotations

from sapphire_gateway import telemetry
from sapphire_gateway.decoding import parse_count
from sapphire_gateway.store import StoreUnavailableError

# A VM that was cut off may miss some returns of the store, but not as many as
# this; an era that is so much higher is an error of the store.
MAX_ERA_STEP = 1000


class EraTracker:
    """Last good era that the store has stated."""

    def __init__(self, store_address: str) -> None:
        """Creates a tracker that knows no era.

        Args:
            store_address: Address of the store, for the log.
        """
        self._store_address = store_address
        self._era: int | None = None

    @property
    def era(self) -> int:
        """Last good era; 0 before the first."""
        return self._era or 0

    def record(self, stated: bytes | None, asked_in: int) -> bool:
        """Records the era that an answer of the store states.

        Args:
            stated: The era as stated; None if the answer states none.
            asked_in: Value of `era` when the store was asked.

        Returns:
            Whether the store has come back from a copy since its last answer.

        Raises:
            StoreUnavailableError: The answer was asked for before the return
                and is not from the present era, so that it must not be used.
        """
        if asked_in < self.era and not self._is_present(stated):
            raise StoreUnavailableError(
                f"the store was asked in era {asked_in}, and has come back from"
                f" a copy in era {self._era} since."
            )
        era = self._readable(stated)
        if era is None:
            return False
        has_returned = self._era is not None and era > self._era
        self._era = era
        return has_returned

    def _is_present(self, stated: bytes | None) -> bool:
        """Returns whether an answer states the present era or a later one."""
        era = parse_count(stated) if stated is not None else None
        return era is not None and era >= self.era

    def _readable(self, stated: bytes | None) -> int | None:
        """Returns a stated era that may be believed, or None."""
        era = parse_count(stated) if stated is not None else None
        problem = self._problem(stated, era)
        if problem is None:
            return era
        telemetry.reject_message("store_era", problem, self._store_address)
        return None

    def _problem(self, stated: bytes | None, era: int | None) -> str | None:
        """Returns what is wrong with a stated era, if anything."""
        if stated is None:
            # A store that never states an era has none.
            return None if self._era is None else "the answer states no era"
        if era is None:
            return f"the era {stated[:40]!r} is no count"
        if self._era is None:
            return None
        if era < self._era:
            return f"the era {era} is lower than {self._era}"
        if era > self._era + MAX_ERA_STEP:
            return f"the era {era} is too far above {self._era}"
        return None
