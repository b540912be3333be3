"""Retry budget shared by all VMs without coordination."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field

# Share of the allowance that may be used. The rest covers calls that arrive in
# a different window from the one in which they were sent.
USABLE_SHARE = 0.8
# A VM that restarts loses its counts of the current window, so each incarnation
# gets only this part of its VM's share of the slack.
INCARNATION_SHARE = 0.5
# Number of time slots into which a window is divided. The counts of the current
# slot, which is not over yet, are kept in addition to those of as many slots
# before it, so that each call counts for at least a whole window.
SLOTS_PER_WINDOW = 20


@dataclass(frozen=True, slots=True)
class RetryBudgetPolicy:
    """Limit of the extra calls to a service, over all VMs.

    Attributes:
        ratio: Extra calls per request in a window.
        slack: Extra calls allowed per window in addition.
        window_s: Length of the window.
    """

    ratio: float
    slack: float
    window_s: float


@dataclass(slots=True)
class _Window:
    """Request and extra-call counts of one service, by time slot."""

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

    def renumber(self, factor: float) -> None:
        """Keeps the times of the slots when their length changes.

        Args:
            factor: Former length of a slot as a multiple of the new one.
        """
        slots, self.slots = self.slots, collections.deque()
        for number, requests, extras in slots:
            slot = int(number * factor)
            if not self.slots or self.slots[-1][0] != slot:
                self.slots.append([slot, 0.0, 0.0])
            self.slots[-1][1] += requests
            self.slots[-1][2] += extras


class RetryBudget:
    """Limits extra calls to each service to this VM's share of the budget."""

    def __init__(self, policy: RetryBudgetPolicy) -> None:
        """Starts without a share of the slack."""
        self._policy = policy
        self._windows: dict[str, _Window] = {}
        self._share = 0.0

    def set_policy(self, policy: RetryBudgetPolicy) -> None:
        """Replaces the limit."""
        factor = self._policy.window_s / policy.window_s
        if factor != 1.0:
            for window in self._windows.values():
                window.renumber(factor)
        self._policy = policy

    def set_share(self, share: float) -> None:
        """Sets this VM's share of the slack, 0 to 1.

        The shares of the VMs that serve callers add up to 1. Other VMs have no
        share.
        """
        self._share = share

    def record_request(self, service: str, now: float) -> None:
        """Counts a request to a service, which enlarges its allowance.

        It counts whether or not a call is sent.
        """
        window, slot = self._at(service, now)
        window.requests += 1
        slot[1] += 1

    def allows_extra_call(
        self, service: str, now: float, reserve: float = 0.0
    ) -> bool:
        """Returns whether one more extra call is within the limit.

        Args:
            service: Service that would get the call.
            now: Present time in seconds.
            reserve: Share of the allowance that the call may not use, 0 to 1.
        """
        window, _ = self._at(service, now)
        slack = self._policy.slack * INCARNATION_SHARE * self._share
        allowance = USABLE_SHARE * (
            self._policy.ratio * window.requests + slack
        )
        return window.extras + 1 <= allowance * (1.0 - reserve)

    def spend(self, service: str, now: float) -> None:
        """Counts an extra call, whether or not the budget allowed it."""
        window, slot = self._at(service, now)
        window.extras += 1
        slot[2] += 1

    def _at(self, service: str, now: float) -> tuple[_Window, list[float]]:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        slot_s = self._policy.window_s / SLOTS_PER_WINDOW
        return window, window.advance(int(now / slot_s), SLOTS_PER_WINDOW + 1)
