"""Key-value store with compare-and-swap and leases."""

from __future__ import annotations

import itertools
import math
from collections import deque
from dataclasses import dataclass, field

MAX_VALUE_BYTES = 1_000_000
_HISTORY_LENGTH = 8


class ConflictError(Exception):
    """The key's version differs from the expected one.

    Attributes:
        current: The current version of the key.
    """

    def __init__(self, current: int) -> None:
        super().__init__(f"the key is at version {current}")
        self.current = current


class ValueSizeError(Exception):
    """The value exceeds the size limit."""


class LeaseError(Exception):
    """The lease does not exist or has expired."""


@dataclass(frozen=True)
class Item:
    """A value and its version; version 0 means that the key is absent."""

    value: str
    version: int


_ABSENT = Item("", 0)


@dataclass
class _Lease:
    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


class Store:
    """In-memory store; callers pass the current time in seconds.

    expire_leases() removes the keys of expired leases; until then they stay
    present. A removed key is absent and reports version 0, but its next write
    continues from its last version. A write that expects an old version can
    therefore never succeed on a new value.
    """

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._history: dict[str, deque[Item]] = {}
        self._last_versions: dict[str, int] = {}
        self._leases: dict[str, _Lease] = {}
        self._lease_by_key: dict[str, str] = {}
        self._lease_numbers = itertools.count(1)

    @property
    def keys(self) -> list[str]:
        """Sorted keys that are present."""
        return sorted(self._items)

    def get(self, key: str) -> Item:
        """Returns the current item of a key."""
        return self._items.get(key, _ABSENT)

    def get_previous(self, key: str, changes_ago: int = 1) -> Item:
        """Returns the item of a key as it was before its last changes.

        Args:
            key: The key.
            changes_ago: Number of changes to go back. The expiry of the key's
                lease counts as a change, like a write.

        Returns:
            The item; the absent one if the history, which keeps the last
            _HISTORY_LENGTH changes, doesn't go back that far.
        """
        history = self._history.get(key, ())
        return history[-changes_ago] if changes_ago <= len(history) else _ABSENT

    def put(
        self, key: str, value: str, expect: int, lease: str | None = None
    ) -> int:
        """Writes a value if the key is at the expected version.

        Returns:
            The new version.

        Raises:
            ConflictError: The key's version differs from expect.
            ValueSizeError: The value exceeds MAX_VALUE_BYTES.
            LeaseError: The lease does not exist. An expired lease exists until
                expire_leases() removes it.
        """
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise ValueSizeError(f"value exceeds {MAX_VALUE_BYTES} bytes")
        current = self.get(key)
        if current.version != expect:
            raise ConflictError(current.version)
        if lease is not None and lease not in self._leases:
            raise LeaseError(lease)
        version = self._last_versions.get(key, 0) + 1
        self._replace(key, Item(value, version))
        self._last_versions[key] = version
        self._attach_lease(key, lease)
        return version

    def open_lease(self, ttl_s: float, now: float) -> str:
        """Opens a lease that expires after ttl_s and returns its id."""
        lease = f"lease-{next(self._lease_numbers)}"
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        return lease

    def renew_lease(self, lease: str, now: float) -> float:
        """Restarts the time to live of a lease and returns it, in seconds.

        Raises:
            LeaseError: The lease does not exist or has expired.
        """
        entry = self._leases.get(lease)
        if entry is None or entry.expires_at <= now:
            raise LeaseError(lease)
        entry.expires_at = now + entry.ttl_s
        return entry.ttl_s

    def expire_leases(self, now: float) -> list[str]:
        """Removes expired leases and their keys; returns those keys."""
        expired = [
            x for x, entry in self._leases.items() if entry.expires_at <= now
        ]
        removed: list[str] = []
        for lease in expired:
            removed.extend(sorted(self._leases.pop(lease).keys))
        for key in removed:
            del self._lease_by_key[key]
            self._replace(key, _ABSENT)
        return removed

    def next_expiry(self) -> float:
        """Returns the time at which the next lease expires."""
        expiries = (lease.expires_at for lease in self._leases.values())
        return min(expiries, default=math.inf)

    def _replace(self, key: str, item: Item) -> None:
        history = self._history.setdefault(key, deque(maxlen=_HISTORY_LENGTH))
        history.append(self.get(key))
        # Version 0 means that the key is removed.
        if item.version:
            self._items[key] = item
        else:
            self._items.pop(key, None)

    def _attach_lease(self, key: str, lease: str | None) -> None:
        previous = self._lease_by_key.pop(key, None)
        if previous is not None:
            self._leases[previous].keys.discard(key)
        if lease is not None:
            self._leases[lease].keys.add(key)
            self._lease_by_key[key] = lease
