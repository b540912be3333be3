"""Delay of this process's event loop."""

from __future__ import annotations

from collections.abc import Callable

import trio

BUSY_INTERVAL_S = 0.02
# The delay matters only while replies are timed.
IDLE_INTERVAL_S = 0.25
# Share of the delay that is kept per interval; half remains after 0.14 s.
_DECAY = 0.9
# A longer delay would hide the slow replies of a cold leaf.
MAX_LAG_S = 0.02


class LoopLag:
    """Measures how late the event loop runs tasks that are due."""

    def __init__(self) -> None:
        self._recent_s = 0.0

    @property
    def recent_s(self) -> float:
        """The greatest recent delay in seconds, decaying; limited."""
        return min(self._recent_s, MAX_LAG_S)

    async def run(self, is_idle: Callable[[], bool]) -> None:
        """Measures until cancelled, more often while requests run."""
        while True:
            interval_s = IDLE_INTERVAL_S if is_idle() else BUSY_INTERVAL_S
            due = trio.current_time() + interval_s
            await trio.sleep_until(due)
            late_s = trio.current_time() - due
            self._recent_s = max(late_s, self._recent_s * _DECAY)
