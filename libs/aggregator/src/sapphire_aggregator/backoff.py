"""Background loops that are repeated after errors, with backoff."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import trio

from sapphire_aggregator import log, metrics

INITIAL_PAUSE_S = 0.2
# A configuration change accepted after an outage must be in force within 5 s.
MAX_PAUSE_S = 2.0


class Backoff:
    """Exponential backoff with jitter."""

    def __init__(
        self, initial_s: float = INITIAL_PAUSE_S, max_s: float = MAX_PAUSE_S
    ) -> None:
        self._initial_s = initial_s
        self._max_s = max_s
        self._pause_s = initial_s

    def reset(self) -> None:
        """Resets the pause to its initial length, after a success."""
        self._pause_s = self._initial_s

    def next_s(self) -> float:
        """Returns the next pause in seconds."""
        pause_s = self._pause_s
        self._pause_s = min(self._pause_s * 2, self._max_s)
        return pause_s * random.uniform(0.5, 1.0)


async def run_forever(
    place: str, step: Callable[[], Awaitable[None]], interval_s: float
) -> None:
    """Repeats a step until cancelled.

    An unexpected error is logged, and the next round starts after a backoff.

    Args:
        place: Name of the loop in logs and metrics.
        step: Runs one round.
        interval_s: Seconds between two rounds.
    """
    backoff = Backoff()
    while True:
        try:
            await step()
        except Exception as error:
            metrics.UNEXPECTED_ERRORS.labels(place).inc()
            log.unexpected_error(place, error)
            await trio.sleep(backoff.next_s())
        else:
            backoff.reset()
            await trio.sleep(interval_s)
