"""Interface to the platform's key-value store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio
from sapphire_core.errors import SapphireError
from sapphire_core.members import Member
from sapphire_core.storerevision import StoreRevision

from sapphire_gateway.fleet_view import Update


class StoreUnavailableError(SapphireError):
    """The store did not respond, or rejected the call."""

    kind = "platform_unavailable"
    default_remedy = "Check the store and the network; calls are retried."


class HistoryGoneError(SapphireError):
    """The store has discarded changes after the requested revision."""

    kind = "history_gone"
    default_remedy = "Read everything again."


class LeaseGoneError(SapphireError):
    """A lease has expired or was revoked."""

    kind = "lease_gone"
    default_remedy = "Open a new lease."


class LeaseLostError(LeaseGoneError):
    """A lease belongs to an earlier era, and what it kept alive is unknown."""


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease of the store.

    Attributes:
        number: The store's number of the lease.
        era: Era in which it was opened. A store that comes back from a copy may
            give the number to another VM, so the lease ends with its era.
    """

    number: int
    era: int


# Stands for the revision of a write that is held, because the store lacks it
# since it has come back from an older copy.
HELD = 0


@dataclass(frozen=True, slots=True)
class Change:
    """A key that was written or removed.

    Attributes:
        key: The key.
        revision: Number of the change, in the era of its batch; or HELD.
        update: Decoded value, or removal.
        value: Stored value; None if the key was removed.
    """

    key: str
    revision: int
    update: Update
    value: bytes | None = None


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes in order, complete up to a revision.

    Attributes:
        changes: Keys that were written or removed.
        revision: The batch contains all changes up to this revision.
        is_truncated: The response may have reached the store's size limit, so
            that more changes may be available at once.
        is_full_state: The changes list all existing keys instead of a delta.
        age_s: Seconds since the copy of the VM whose feed sent the batch was
            last known to be current; 0 if the batch was read from the store.
    """

    changes: tuple[Change, ...]
    revision: StoreRevision
    is_truncated: bool = False
    is_full_state: bool = False
    age_s: float = 0.0


# Decodes the value of a key; a value of None means that the key was removed.
Decode = Callable[[str, bytes | None], Update | None]


class Store(Protocol):
    """Client of the store; calls raise StoreUnavailableError on failure."""

    def start(self, nursery: trio.Nursery) -> None:
        """Sets the nursery in which connections run."""

    def decode(self, key: str, value: bytes | None) -> Update | None:
        """Decodes the value of a key; returns None for unrelated keys."""

    async def read_all(self) -> Batch:
        """Reads all keys that describe the fleet."""

    async def read_members(self) -> list[Change]:
        """Reads the members' entries; the result may be seconds out of date."""

    async def watch_all(self, after: StoreRevision, wait_s: float) -> Batch:
        """Waits for changes after a revision.

        Raises:
            HistoryGoneError: The changes are no longer available, the store
                skipped some, or the revision is of an earlier era.
        """

    async def open_lease(self, ttl_s: float) -> Lease:
        """Opens a lease."""

    async def renew_lease(self, lease: Lease) -> None:
        """Renews a lease.

        Raises:
            LeaseGoneError: The lease has expired.
            LeaseLostError: It is of an earlier era.
        """

    async def put_member(self, member: Member, lease: Lease) -> StoreRevision:
        """Writes this VM's entry, which the store removes with the lease.

        Returns the revision of the write.

        Raises:
            LeaseGoneError: The lease has expired.
            LeaseLostError: It is of an earlier era.
        """

    def reconnect(self, reason: str) -> None:
        """Closes all connections; the next call opens a new one."""
