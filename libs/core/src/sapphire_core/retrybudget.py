"""Budget of extra calls that all VMs share without asking each other."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field

# Part of the allowance that is spent: the rest covers calls that arrive in
# another window than they were sent in.
SAFETY = 0.8
# A VM that restarts forgets what it spent in the running window, so each
# incarnation gets only this part of its VM's share of the slack.
INCARNATION_PART = 0.5
# Counts are kept in slots of this length.
SLOTS_PER_WINDOW = 20


@dataclass(frozen=True, slots=True)
class RetryBudgetPolicy:
    """The limit that holds for a service over all VMs.

    Attributes:
        ratio: Extra calls per request in a window.
        slack: Extra calls allowed in a window besides.
        window_s: Length of the window.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class _Window:
    """Counts of one service, by time slot."""

    slots: collections.deque[list[float]] = field(
        default_factory=collections.deque
    )
    requests: float = 0.0
    extras: float = 0.0

    def advance(self, slot: int, keep: int) -> list[float]:
        while self.slots and self.slots[0][0] <= slot - keep:
            _, requests, extras = self.slots.popleft()
            self.requests -= requests
            self.extras -= extras
        if not self.slots or self.slots[-1][0] != slot:
            self.slots.append([slot, 0.0, 0.0])
        return self.slots[-1]


class RetryBudget:
    """Allows extra calls to a service within this VM's share of the limit."""

    def __init__(self, terms: RetryBudgetPolicy) -> None:
        """Starts without a part of the slack."""
        self._terms = terms
        self._windows: dict[str, _Window] = {}
        self._share = 0.0

    def set_policy(self, terms: RetryBudgetPolicy) -> None:
        """Adopts another limit."""
        self._terms = terms

    def set_share(self, share: float) -> None:
        """Sets this VM's part of the slack, 0 to 1.

        The parts of the VMs that serve callers add up to 1; others have none.
        """
        self._share = share

    def request(self, service: str, now: float) -> None:
        """Counts the first call of a request to a service."""
        window, slot = self._at(service, now)
        window.requests += 1
        slot[1] += 1

    def has_room(self, service: str, now: float, reserve: float = 0.0) -> bool:
        """Returns whether one more extra call keeps the limit.

        Args:
            service: The service that would get the call.
            now: Present time in seconds.
            reserve: Part of the allowance left untouched, 0 to 1.
        """
        window, _ = self._at(service, now)
        slack = self._terms.slack * INCARNATION_PART * self._share
        allowance = SAFETY * (self._terms.ratio * window.requests + slack)
        return window.extras + 1 <= allowance * (1.0 - reserve)

    def spend(self, service: str, now: float) -> None:
        """Counts an extra call, allowed or not."""
        window, slot = self._at(service, now)
        window.extras += 1
        slot[2] += 1

    def _at(self, service: str, now: float) -> tuple[_Window, list[float]]:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        length = self._terms.window_s / SLOTS_PER_WINDOW
        return window, window.advance(int(now / length), SLOTS_PER_WINDOW + 1)
