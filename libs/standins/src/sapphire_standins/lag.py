"""Values that are reported with a delay."""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

ValueType = TypeVar("ValueType")


class LaggedValue(Generic[ValueType]):
    """A value that is read as it was some seconds ago."""

    def __init__(self, value: ValueType) -> None:
        self._value = value
        self._pending: deque[tuple[float, ValueType]] = deque()

    def set(self, value: ValueType, now: float) -> None:
        """Sets the value as of now, in seconds."""
        self._pending.append((now, value))

    def get(self, now: float, lag_s: float) -> ValueType:
        """Returns the value as it was lag_s before now.

        A longer lag than in an earlier call doesn't bring back values that
        were already replaced then.
        """
        while self._pending and self._pending[0][0] <= now - lag_s:
            self._value = self._pending.popleft()[1]
        return self._value
