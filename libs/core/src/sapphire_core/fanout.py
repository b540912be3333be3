"""State of a request that is sent to one or many parts; does no I/O."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

# Keeps rounding errors of a share such as 0.9 from requiring one more part.
_ROUNDING_TOLERANCE = 1e-9


class Failure(enum.Enum):
    """How a call to a leaf ended without a usable reply."""

    # The leaf did not run the request, or never received it.
    NOT_RUN = "not_run"
    # The request may have run; the reply is lost or unusable.
    LOST = "lost"
    # The leaf ran the request and replied with an error.
    ANSWERED = "answered"


class Verdict(enum.Enum):
    """Next step of a request."""

    WAIT = "wait"
    ANSWER = "answer"
    GIVE_UP = "give_up"


@dataclass(frozen=True, slots=True)
class FanOutPolicy:
    """When a request is retried, hedged, answered and given up.

    Attributes:
        min_parts: Minimum number of parts for an answer.
        max_attempts: Maximum number of leaves that may receive each part.
        is_repeatable: Whether a part may run more than once.
        answer_at: Time from which an answer with min_parts no longer waits for
            the remaining parts.
        hedge_at: Time to send a part without a reply to a second leaf.
        give_up_at: Time at which the request ends, with or without min_parts.
    """

    min_parts: int
    max_attempts: int
    is_repeatable: bool
    answer_at: float
    hedge_at: float
    give_up_at: float


def min_parts_for_share(total: int, share: float) -> int:
    """Returns the smallest number of parts that reaches the share."""
    return max(1, math.ceil(total * share - _ROUNDING_TOLERANCE))


@dataclass(slots=True)
class _Part:
    sent: int = 0
    running: int = 0
    is_successful: bool = False
    may_have_run: bool = False
    is_abandoned: bool = False

    @property
    def is_open(self) -> bool:
        return not self.is_successful and not self.is_abandoned


class FanOut:
    """Tracks the calls of one request and decides on its next step.

    A request to a single leaf is a fan-out of one part. The caller reports
    each call sent, each reply and each failure, and asks for the verdict after
    each of them and again at next_time.
    """

    def __init__(self, parts: Iterable[str], policy: FanOutPolicy) -> None:
        self._policy = policy
        self._parts = {name: _Part() for name in parts}
        self._successful = 0
        self._abandoned = 0

    @property
    def successful_parts(self) -> int:
        """Number of parts with a good reply."""
        return self._successful

    @property
    def may_have_run(self) -> bool:
        """Whether a leaf may have run the request or a part of it."""
        return any(
            part.may_have_run or part.is_successful or part.running
            for part in self._parts.values()
        )

    def record_sent(self, name: str) -> None:
        """Records a call for a part."""
        part = self._parts[name]
        part.sent += 1
        part.running += 1

    def is_sent(self, name: str) -> bool:
        """Returns whether a part was sent to a leaf."""
        return self._parts[name].sent > 0

    def record_reply(self, name: str) -> bool:
        """Records a good reply; returns False if the part needs none."""
        part = self._parts[name]
        part.running -= 1
        if not part.is_open:
            return False
        part.is_successful = True
        self._successful += 1
        return True

    def are_open(self, names: Iterable[str]) -> bool:
        """Returns whether all of the parts still need a good reply."""
        return all(self._parts[name].is_open for name in names)

    def record_failure(self, name: str, failure: Failure) -> bool:
        """Records a call that ended without a good reply.

        Returns:
            Whether the part may be sent to another leaf. A caller that does
            not send it must call abandon.
        """
        part = self._parts[name]
        part.running -= 1
        if failure is not Failure.NOT_RUN:
            part.may_have_run = True
        return part.is_open and part.running == 0 and self._may_repeat(part)

    def abandon(self, name: str) -> None:
        """Records that a part gets no further call."""
        part = self._parts[name]
        if part.is_open and part.running == 0:
            part.is_abandoned = True
            self._abandoned += 1

    def record_unsent(self, name: str) -> None:
        """Uncounts a call that was never written to a connection."""
        part = self._parts[name]
        part.sent -= 1
        part.running -= 1

    def to_hedge(self, now: float) -> list[str]:
        """Returns the parts to send to a second leaf now."""
        if now < self._policy.hedge_at or not self._policy.is_repeatable:
            return []
        return [
            name
            for name, part in self._parts.items()
            if part.is_open and part.sent == 1 and self._may_repeat(part)
        ]

    def verdict(self, now: float) -> Verdict:
        """Returns the next step of the request."""
        is_enough = self._successful >= self._policy.min_parts
        pending = len(self._parts) - self._successful - self._abandoned
        if pending == 0 or now >= self._policy.give_up_at:
            return Verdict.ANSWER if is_enough else Verdict.GIVE_UP
        if self._successful + pending < self._policy.min_parts:
            return Verdict.GIVE_UP
        if is_enough and now >= self._policy.answer_at:
            return Verdict.ANSWER
        return Verdict.WAIT

    def next_time(self, now: float) -> float:
        """Returns the next time at which the verdict or hedges may change."""
        policy = self._policy
        times = [policy.give_up_at]
        if now < policy.hedge_at and policy.is_repeatable:
            times.append(policy.hedge_at)
        if now < policy.answer_at:
            times.append(policy.answer_at)
        return min(times)

    def _may_repeat(self, part: _Part) -> bool:
        if part.sent >= self._policy.max_attempts:
            return False
        return self._policy.is_repeatable or not part.may_have_run
