"""Measurement of the scheduling delay of the event loop."""

from __future__ import annotations

from collections.abc import Callable

import trio

BUSY_INTERVAL_S = 0.02
# The delay is needed only while replies are being timed.
IDLE_INTERVAL_S = 0.25
# Decay factor per interval; the half-life is about 0.13 s while busy.
_DECAY = 0.9
# Upper limit of the reported delay, which is added to the time after which a
# request is overdue. A longer one would hide the slow replies of a cold leaf.
MAX_LAG_S = 0.02


class LoopLag:
    """Measures how late the event loop resumes tasks that are due."""

    def __init__(self) -> None:
        self._recent_s = 0.0

    @property
    def recent_s(self) -> float:
        """Recent maximum of the delay in seconds, decayed and limited."""
        return min(self._recent_s, MAX_LAG_S)

    async def run(self, is_idle: Callable[[], bool]) -> None:
        """Measures until cancelled, less often while no request is running."""
        while True:
            interval_s = IDLE_INTERVAL_S if is_idle() else BUSY_INTERVAL_S
            due = trio.current_time() + interval_s
            await trio.sleep_until(due)
            late_s = trio.current_time() - due
            self._recent_s = max(late_s, self._recent_s * _DECAY)
