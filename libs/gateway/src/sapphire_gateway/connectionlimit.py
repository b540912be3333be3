"""Limit of the connections that callers and other VMs keep open.

Each connection takes memory and a descriptor. Without a limit, callers could
use up those that the process needs for leaves, for the store and for other
callers. If the limit is reached, a new connection takes the place of the one
that has waited longest without a complete request.
"""

from __future__ import annotations

import resource
from typing import Protocol

from sapphire_gateway import telemetry

# Memory of a connection with its tasks and buffers, without its messages.
CONNECTION_BYTES = 16_384
# Share of the memory of a VM that connections of callers may take.
MEMORY_SHARE = 0.2
# Descriptors of files, which are left out.
FILE_DESCRIPTORS = 200
# Shares of the other descriptors for connections of callers and of other VMs.
# The rest is for connections to leaves, the store and other VMs.
CALLERS_SHARE = 0.4
PEERS_SHARE = 0.2
# Smallest limit, whatever the settings say.
MIN_CONNECTIONS = 16


class WaitingConnection(Protocol):
    """A connection that may be closed while it has no complete request."""

    def close_for_room(self) -> None:
        """Closes the connection, so that another one can take its place."""


class ConnectionLimit:
    """The open connections that share a limit.

    Attributes:
        max_connections: Largest number of them.
    """

    def __init__(self, share: float) -> None:
        """Starts with a limit from the descriptors of the process.

        Args:
            share: Share of the descriptors that the connections may take.
        """
        self._share = share
        self._count = 0
        # Connections without a complete request; the one that has waited
        # longest comes first.
        self._waiting: dict[WaitingConnection, None] = {}
        self.max_connections = 0
        self.set_resources(None, None)

    @property
    def count(self) -> int:
        """Number of open connections."""
        return self._count

    def set_resources(
        self, max_descriptors: int | None, memory_bytes: float | None
    ) -> None:
        """Sets the limit for what the process may take.

        Args:
            max_descriptors: Descriptors of the process; None for the limit of
                the operating system.
            memory_bytes: Memory of the process, or None if it is not known.
        """
        if max_descriptors is None:
            max_descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        limit = int(self._share * (max_descriptors - FILE_DESCRIPTORS))
        if memory_bytes is not None:
            by_memory = int(MEMORY_SHARE * memory_bytes / CONNECTION_BYTES)
            limit = min(limit, by_memory)
        self.max_connections = max(MIN_CONNECTIONS, limit)

    def admit(self, connection: WaitingConnection) -> bool:
        """Adds a new connection, which waits for its first request.

        Returns:
            False if there is no room for it: all others have a request.
        """
        if self._count >= self.max_connections:
            oldest = next(iter(self._waiting), None)
            if oldest is None:
                telemetry.CLOSED_FOR_ROOM.labels("new").inc()
                return False
            telemetry.CLOSED_FOR_ROOM.labels("waiting").inc()
            del self._waiting[oldest]
            oldest.close_for_room()
        self._count += 1
        self._waiting[connection] = None
        return True

    def begin_request(self, connection: WaitingConnection) -> None:
        """Records that a connection has a complete request."""
        self._waiting.pop(connection, None)

    def end_request(self, connection: WaitingConnection) -> None:
        """Records that a connection waits for its next request."""
        self._waiting[connection] = None

    def remove(self, connection: WaitingConnection) -> None:
        """Removes a connection that has ended."""
        self._count -= 1
        self._waiting.pop(connection, None)


# The connections of callers of this process.
CALLER_CONNECTIONS = ConnectionLimit(CALLERS_SHARE)
# The connections of other VMs, which no crowd of callers may take.
PEER_CONNECTIONS = ConnectionLimit(PEERS_SHARE)
