"""Values that are reported with a delay."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

# Longest lag; longer ones are shortened to it.
MAX_LAG_S = 600.0

ValueType = TypeVar("ValueType")


class LaggedValue(Generic[ValueType]):
    """A value that is read as it was some seconds ago."""

    def __init__(self, value: ValueType) -> None:
        self._value = value
        self._pending: deque[tuple[float, ValueType]] = deque()

    def set(self, value: ValueType, now: float) -> None:
        """Sets the value as of now, in seconds.

        Values that are older than MAX_LAG_S are dropped, so that they do not
        accumulate while nobody reads.
        """
        self._pending.append((now, value))
        self._drop_before(now - MAX_LAG_S)

    def get(self, now: float, lag_s: float) -> ValueType:
        """Returns the value as it was lag_s before now.

        A longer lag than in an earlier call doesn't bring back values that
        were already replaced then.
        """
        self._drop_before(now - min(lag_s, MAX_LAG_S))
        return self._value

    def _drop_before(self, time: float) -> None:
        """Makes the last value that was set before a time the current one."""
        while self._pending and self._pending[0][0] <= time:
            self._value = self._pending.popleft()[1]
