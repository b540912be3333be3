"""Rounds of pings to the other members of a cell."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio
from sapphire_core.rights import PING_INTERVAL_S

from sapphire_aggregator.backoff import run_forever

# News of a crash are sent at once, but not more often than this.
MIN_PING_S = 0.05


class PingRounds:
    """Keeps one ping loop for each other member and seed.

    All pings of a round leave together, which costs fewer passes of the event
    loop than a timer for each peer.
    """

    def __init__(
        self,
        begin: Callable[[], None],
        others: Callable[[], set[str]],
        ping: Callable[[str], Awaitable[None]],
    ) -> None:
        """Prepares the rounds.

        Args:
            begin: Called at the start of each round.
            others: Returns the addresses to ping.
            ping: Pings an address once.
        """
        self._begin = begin
        self._others = others
        self._ping = ping
        self._pinged: dict[str, trio.CancelScope] = {}
        self._wake = trio.Event()
        self._round = trio.Event()

    def wake(self) -> None:
        """Starts the next round now."""
        self._wake.set()
        self._wake = trio.Event()

    async def run(self, nursery: trio.Nursery) -> None:
        """Starts rounds until cancelled; loops of peers run in the nursery."""

        async def step() -> None:
            self._begin()
            self._start_peers(nursery)
            self._round.set()
            self._round = trio.Event()
            with trio.move_on_after(PING_INTERVAL_S - MIN_PING_S):
                await self._wake.wait()

        await run_forever("votes", step, MIN_PING_S)

    def _start_peers(self, nursery: trio.Nursery) -> None:
        wanted = self._others()
        for address in self._pinged.keys() - wanted:
            self._pinged.pop(address).cancel()
        for address in wanted - self._pinged.keys():
            scope = self._pinged[address] = trio.CancelScope()
            nursery.start_soon(self._run_peer, address, scope)

    async def _run_peer(self, address: str, scope: trio.CancelScope) -> None:
        async def step() -> None:
            await self._ping(address)
            await self._round.wait()

        with scope:
            await run_forever("ping", step, 0.0)
