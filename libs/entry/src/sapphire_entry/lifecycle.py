"""Lifecycle of an entry: starting, ready, out of service or leaving."""

from __future__ import annotations

import enum
import math
import time
from collections.abc import Callable

import trio
from eliot import log_message
from sapphire_core.errors import (
    NotReadyError,
    OutOfServiceError,
    RequestRefusedError,
    ShuttingDownError,
)

# Callers may have fetched the address list just before the entry goes out of
# service or shuts down, and may use it for its time to live, which the list
# names as keep_ms. The grace period is added to this time and covers the
# connection setup and request of such a caller.
REFUSAL_GRACE_S = 1.0
DEFAULT_ADDRESS_TTL_S = 2.0


class Phase(enum.Enum):
    """Lifecycle phase of an entry."""

    STARTING = "starting"
    READY = "ready"
    OUT = "out"
    LEAVING = "leaving"


class Lifecycle:
    """Tracks the phase of this entry and when it refuses requests."""

    def __init__(self) -> None:
        """Creates an entry lifecycle in phase STARTING."""
        self._phase = Phase.STARTING
        self._refuse_at = math.inf
        self._stamp = _next_stamp(0)
        self._changed = trio.Event()
        self.address_ttl_s = DEFAULT_ADDRESS_TTL_S
        self.on_change: Callable[[], None] = lambda: None

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    @property
    def stamp(self) -> int:
        """Sequence number of the last change, which rises across restarts."""
        return self._stamp

    @property
    def is_listed(self) -> bool:
        """Whether the address list may include this entry."""
        return self._phase is Phase.READY

    @property
    def refuse_at(self) -> float:
        """Time in seconds from which requests are refused.

        In phase STARTING it is infinite, although all requests are refused.
        """
        return self._refuse_at

    @property
    def changed(self) -> trio.Event:
        """Event that is set at the next change."""
        return self._changed

    def set_out_of_service(self, out: bool) -> None:
        """Sets whether the configuration or the VM list takes the entry out.

        An entry that is taken out of service still serves callers until their
        cached address lists have expired.
        """
        if self._phase is Phase.LEAVING or self._phase is Phase.STARTING:
            return
        phase = Phase.OUT if out else Phase.READY
        if phase is not self._phase:
            self._transition(phase, self._refusal_time() if out else math.inf)

    def finish_startup(self, out: bool) -> None:
        """Ends the startup; an entry that is out of service refuses at once."""
        if self._phase is Phase.STARTING:
            phase = Phase.OUT if out else Phase.READY
            self._transition(phase, trio.current_time() if out else math.inf)

    def begin_shutdown(self) -> None:
        """Begins a graceful shutdown."""
        if self._phase is not Phase.LEAVING:
            refuse_at = min(self._refuse_at, self._refusal_time())
            self._transition(Phase.LEAVING, refuse_at)

    def refusal(self) -> RequestRefusedError | None:
        """Returns the error for a request that arrives now, or None."""
        if self._phase is Phase.STARTING:
            return NotReadyError("the entry has no configuration yet.")
        if trio.current_time() < self._refuse_at:
            return None
        if self._phase is Phase.LEAVING:
            return ShuttingDownError("the entry is shutting down.")
        return OutOfServiceError("the entry is out of service.")

    def _refusal_time(self) -> float:
        return trio.current_time() + self.address_ttl_s + REFUSAL_GRACE_S

    def _transition(self, phase: Phase, refuse_at: float) -> None:
        log_message("entry_phase", former=self._phase.value, phase=phase.value)
        self._phase = phase
        self._refuse_at = refuse_at
        self._stamp = _next_stamp(self._stamp)
        self._changed.set()
        self._changed = trio.Event()
        self.on_change()


def _next_stamp(previous: int) -> int:
    """Returns a number above all earlier ones, also across restarts."""
    return max(previous + 1, time.time_ns() // 1_000_000)
