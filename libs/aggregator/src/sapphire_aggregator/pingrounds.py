"""Periodic pings to the other members of a cell."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from sapphire_core.rights import PING_INTERVAL_S

from sapphire_aggregator.backoff import run_forever

# Minimum pause between rounds, also of those requested out of schedule, such as
# after a crash.
MIN_ROUND_INTERVAL_S = 0.05


class PingRounds:
    """Runs one ping loop for each other member and seed.

    All pings of a round are sent together, which takes fewer passes of the
    event loop than a timer for each peer. A peer whose last ping is still
    running at the start of a round is not pinged in that round.
    """

    def __init__(
        self,
        on_round_start: Callable[[], None],
        targets: Callable[[], set[str]],
        ping: Callable[[str], Awaitable[None]],
    ) -> None:
        """Creates the rounds without starting them.

        Args:
            on_round_start: Called at the start of each round.
            targets: Returns the addresses to ping.
            ping: Pings an address once.
        """
        self._on_round_start = on_round_start
        self._ping_targets = targets
        self._ping = ping
        self._scopes: dict[str, trio.CancelScope] = {}
        self._round_requested = trio.Event()
        self._round_started = trio.Event()

    def start_now(self) -> None:
        """Requests the next round at once, within the rate limit."""
        self._round_requested.set()
        self._round_requested = trio.Event()

    async def run(self, nursery: trio.Nursery) -> None:
        """Runs rounds until cancelled.

        Args:
            nursery: Runs the ping loops of the peers.
        """

        async def step() -> None:
            self._on_round_start()
            self._start_peers(nursery)
            self._round_started.set()
            self._round_started = trio.Event()
            with trio.move_on_after(PING_INTERVAL_S - MIN_ROUND_INTERVAL_S):
                await self._round_requested.wait()

        await run_forever("votes", step, MIN_ROUND_INTERVAL_S)

    def _start_peers(self, nursery: trio.Nursery) -> None:
        wanted = self._ping_targets()
        for address in self._scopes.keys() - wanted:
            self._scopes.pop(address).cancel()
        for address in wanted - self._scopes.keys():
            scope = self._scopes[address] = trio.CancelScope()
            nursery.start_soon(self._run_peer, address, scope)

    async def _run_peer(self, address: str, scope: trio.CancelScope) -> None:
        async def step() -> None:
            await self._ping(address)
            await self._round_started.wait()

        with scope:
            await run_forever("ping", step, 0.0)
