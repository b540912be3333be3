"""State shared by all leaves of a daemon, and the client of one leaf."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import trio
from sapphire_core.quarantine import Quarantine
from sapphire_core.window import LeafLimits
from sapphire_wire.leaf import LeafClient, LeafIndex, LeafQuery, SearchReply

from sapphire_aggregator.backlog import SingleQueryRuns
from sapphire_aggregator.lag import LoopLag
from sapphire_aggregator.sendright import Rights

# Connections in addition to one per slot: for the index and for cancellations.
EXTRA_CONNECTIONS = 2


@dataclass(slots=True)
class LeafContext:
    """State shared by all leaves of a daemon.

    Attributes:
        on_crash: Called after each crash of a leaf has been recorded.
        batch_prefix: Random prefix that makes batch ids globally unique.
    """

    rights: Rights
    quarantine: Quarantine
    nursery: trio.Nursery
    on_crash: Callable[[], None]
    single_query_runs: SingleQueryRuns = field(default_factory=SingleQueryRuns)
    lag: LoopLag = field(default_factory=LoopLag)
    batch_ids: Any = field(default_factory=itertools.count)
    batch_prefix: str = ""

    def next_batch_id(self) -> str:
        """Returns an id that is unique among the batches of all daemons."""
        return f"{self.batch_prefix}-{next(self.batch_ids)}"


class Client(Protocol):
    """Interface of LeafClient."""

    async def search(
        self,
        batch_id: str,
        version: str,
        shard: int,
        queries: list[LeafQuery],
        *,
        remaining: Callable[[], float],
    ) -> SearchReply:
        """Runs a batch."""
        ...

    async def submit(
        self, key: str, body: str, *, remaining: Callable[[], float]
    ) -> Any:
        """Runs a submission."""
        ...

    async def index(self, timeout_s: float) -> LeafIndex:
        """Reads the index versions."""
        ...

    async def cancel(self, batch_id: str, timeout_s: float) -> None:
        """Cancels a batch."""
        ...

    async def aclose(self) -> None:
        """Closes all connections."""
        ...


def open_client(
    address: str, limits: LeafLimits, connections: int
) -> LeafClient:
    """Returns a client that respects the leaf's limit of connections."""
    return LeafClient(
        address, min(limits.slots + EXTRA_CONNECTIONS, connections)
    )
