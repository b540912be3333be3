"""Whether an entry has found a holder of each leaf since it was configured.

Entries choose the leaf of a canary in an order that is common to all of them.
An entry that does not know a holder of all leaves yet, as after its start, may
choose another leaf than the others, and a request that crashes leaves then
crashes one more. Until it has found all leaves once, an entry therefore waits a
moment before it begins a canary.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import trio
from sapphire_core.shardmap import Replica

# Time after a configuration within which leaves are awaited. Later, a leaf
# without a holder is taken to have failed.
DISCOVERY_S = 15.0
# Longest wait of a query, and as a share of the time until its answer is due.
MAX_WAIT_S = 1.0
MAX_WAIT_SHARE = 0.5


class LeafDiscovery:
    """Tracks, by service, whether all leaves have had a holder."""

    def __init__(
        self, replicas: Callable[[str], Mapping[str, Replica]]
    ) -> None:
        """Creates a tracker without a configuration.

        Args:
            replicas: Returns the known leaves of a service, by address.
        """
        self._replicas = replicas
        self._expected: dict[str, frozenset[str]] = {}
        self._ends_at: dict[str, float] = {}

    def configure(
        self, leaves: Mapping[str, frozenset[str]], now: float
    ) -> None:
        """Sets the leaves to find; those of unchanged services stay found.

        Args:
            leaves: Addresses of the leaves in service, by service.
            now: Current time in seconds.
        """
        for service, expected in leaves.items():
            if not expected <= self._expected.get(service, frozenset()):
                self._ends_at[service] = now + DISCOVERY_S
        self._expected = dict(leaves)

    def is_over(self, service: str, now: float) -> bool:
        """Returns whether all leaves were found, or the time is over."""
        if now >= self._ends_at.get(service, now):
            return True
        replicas = self._replicas(service)
        if any(
            leaf not in replicas or replicas[leaf].holder is None
            for leaf in self._expected.get(service, ())
        ):
            return False
        del self._ends_at[service]
        return True

    async def wait(
        self,
        service: str,
        answer_at: float,
        wait_reply: Callable[[], Awaitable[None]],
    ) -> bool:
        """Waits until discovery is over, for a limited time.

        Args:
            service: The service of a query.
            answer_at: Time at which the query's answer is due.
            wait_reply: Waits for the next report on leaves.

        Returns:
            Whether it waited.
        """
        now = trio.current_time()
        if self.is_over(service, now):
            return False
        limit_s = min(MAX_WAIT_S, MAX_WAIT_SHARE * (answer_at - now))
        with trio.move_on_after(max(0.0, limit_s)):
            while not self.is_over(service, trio.current_time()):
                await wait_reply()
        return True
