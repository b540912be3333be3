"""Interface of the platform's store, as the gateway uses it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import trio
from sapphire_core.errors import SapphireError
from sapphire_core.members import Member

from sapphire_gateway.fleet_view import Fact


class StoreUnavailableError(SapphireError):
    """The store did not answer, or refused the call."""

    kind = "platform_unavailable"
    default_remedy = "Check the store and the network; calls are repeated."


class HistoryGoneError(SapphireError):
    """The store no longer has the changes after a revision."""

    kind = "history_gone"
    default_remedy = "Read everything again."


class LeaseGoneError(SapphireError):
    """A lease has ended."""

    kind = "lease_gone"
    default_remedy = "Open a new lease."


@dataclass(frozen=True, slots=True)
class Change:
    """A key that was written or removed, and what it says.

    Attributes:
        key: The key.
        revision: Revision of the change.
        fact: What the value means.
        value: The value as it is stored; None if the key was removed.
    """

    key: str
    revision: int
    fact: Fact
    value: bytes | None = None


@dataclass(frozen=True, slots=True)
class Batch:
    """Changes in order, and the revision up to which they are complete.

    Attributes:
        changes: What was written or removed.
        revision: Later changes are still to come.
        is_cut: So much was answered that more may be waiting.
        is_whole: The changes are all keys that exist.
        age_s: Seconds since the store has answered.
    """

    changes: tuple[Change, ...]
    revision: int
    is_truncated: bool = False
    is_full_state: bool = False
    age_s: float = 0.0


# Returns what a key's value says, or its removal if it is None.
Decode = Callable[[str, bytes | None], Fact | None]


class Store(Protocol):
    """Calls to the store; each raises StoreUnavailableError on failure."""

    def start(self, nursery: trio.Nursery) -> None:
        """Sets the nursery in which connections run."""

    def decode(self, key: str, value: bytes | None) -> Fact | None:
        """Returns what a key's value says; None for keys of no interest."""

    async def read_all(self) -> Batch:
        """Reads every key that concerns the fleet."""

    async def read_members(self) -> list[Change]:
        """Reads the members' entries, which may be seconds old."""

    async def watch_all(self, after: int, wait_s: float) -> Batch:
        """Waits for changes after a revision.

        Raises:
            HistoryGoneError: The changes are no longer available.
        """

    async def open_lease(self, ttl_s: float) -> int:
        """Opens a lease and returns its number."""

    async def keep_lease(self, lease: int) -> None:
        """Renews a lease.

        Raises:
            LeaseGoneError: The lease has ended.
        """

    async def put_member(self, member: Member, lease: int) -> None:
        """Writes this VM's entry, which ends with the lease.

        Raises:
            LeaseGoneError: The lease has ended.
        """

    def reconnect(self, reason: str) -> None:
        """Closes all connections, so that the next call opens a new one."""
