"""Progress of one request over one or many parts, without input or output."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from dataclasses import dataclass

# Rounding of a share such as 0.9 must not demand a part more.
_ROUNDING = 1e-9


class Failure(enum.Enum):
    """How a call to a leaf ended without a usable reply."""

    # The leaf did not run the request, or never received it.
    NOT_RUN = "not_run"
    # The request may have run; the reply is lost or unusable.
    LOST = "lost"
    # The leaf ran the request and answered with a failure of its own.
    ANSWERED = "answered"


class Verdict(enum.Enum):
    """What to do with a request now."""

    WAIT = "wait"
    ANSWER = "answer"
    GIVE_UP = "give_up"


@dataclass(frozen=True, slots=True)
class FanOutPolicy:
    """When a request is repeated, answered and given up.

    Attributes:
        min_parts: Parts that make an answer.
        max_attempts: Leaves that may receive each part.
        repeatable: Whether a part may run more than once.
        answer_at: Time to answer with the parts that are in.
        hedge_at: Time to send a waiting part to a second leaf.
        give_up_at: Time of the final answer in any case.
    """

    min_parts: int
    max_attempts: int
    repeatable: bool
    answer_at: float
    hedge_at: float
    give_up_at: float


def min_parts_for_share(total: int, share: float) -> int:
    """Returns how many of the parts are at least the share."""
    return max(1, math.ceil(total * share - _ROUNDING))


@dataclass(slots=True)
class _Part:
    sent: int = 0
    running: int = 0
    is_in: bool = False
    may_have_run: bool = False
    is_abandoned: bool = False

    @property
    def is_open(self) -> bool:
        return not self.is_in and not self.is_abandoned


class FanOut:
    """Counts the calls of one request and decides how it goes on.

    A request to a single leaf is a fan-out of one part. The caller reports
    each call that was sent, each reply and each failure, and asks for the
    verdict afterwards and at next_time.
    """

    def __init__(self, parts: Iterable[str], terms: FanOutPolicy) -> None:
        self._terms = terms
        self._parts = {name: _Part() for name in parts}
        self._in = 0
        self._abandoned = 0

    @property
    def parts_in(self) -> int:
        """Parts with a good reply."""
        return self._in

    @property
    def may_have_run(self) -> bool:
        """Whether a leaf may have run the request or a part of it."""
        return any(
            part.may_have_run or part.is_in or part.running
            for part in self._parts.values()
        )

    def sent(self, name: str) -> None:
        """Counts a call for a part."""
        part = self._parts[name]
        part.sent += 1
        part.running += 1

    def is_sent(self, name: str) -> bool:
        """Returns whether a part was sent to a leaf."""
        return self._parts[name].sent > 0

    def arrived(self, name: str) -> bool:
        """Counts a good reply; False if the part is in already."""
        part = self._parts[name]
        part.running -= 1
        if not part.is_open:
            return False
        part.is_in = True
        self._in += 1
        return True

    def are_open(self, names: Iterable[str]) -> bool:
        """Returns whether all of the parts wait for a good reply."""
        return all(self._parts[name].is_open for name in names)

    def failed(self, name: str, failure: Failure) -> bool:
        """Counts a call without a good reply.

        Returns:
            Whether the part may be sent to another leaf. If it is not sent,
            the caller reports it as abandoned.
        """
        part = self._parts[name]
        part.running -= 1
        if failure is not Failure.NOT_RUN:
            part.may_have_run = True
        return part.is_open and part.running == 0 and self._may_repeat(part)

    def abandon(self, name: str) -> None:
        """Notes that a part gets no further call."""
        part = self._parts[name]
        if part.is_open and part.running == 0:
            part.is_abandoned = True
            self._abandoned += 1

    def unsent(self, name: str) -> None:
        """Takes back a call that never reached the leaf's connection."""
        part = self._parts[name]
        part.sent -= 1
        part.running -= 1

    def to_hedge(self, now: float) -> list[str]:
        """Returns the parts that should go to a second leaf now."""
        if now < self._terms.hedge_at or not self._terms.repeatable:
            return []
        return [
            name
            for name, part in self._parts.items()
            if part.is_open and part.sent == 1 and self._may_repeat(part)
        ]

    def verdict(self, now: float) -> Verdict:
        """Returns what to do with the request."""
        is_enough = self._in >= self._terms.min_parts
        pending = len(self._parts) - self._in - self._abandoned
        if pending == 0 or now >= self._terms.give_up_at:
            return Verdict.ANSWER if is_enough else Verdict.GIVE_UP
        if self._in + pending < self._terms.min_parts:
            return Verdict.GIVE_UP
        if is_enough and now >= self._terms.answer_at:
            return Verdict.ANSWER
        return Verdict.WAIT

    def next_time(self, now: float) -> float:
        """Returns the next time at which the verdict or hedges change."""
        terms = self._terms
        times = [terms.give_up_at]
        if now < terms.hedge_at and terms.repeatable:
            times.append(terms.hedge_at)
        if now < terms.answer_at:
            times.append(terms.answer_at)
        return min(times)

    def _may_repeat(self, part: _Part) -> bool:
        if part.sent >= self._terms.max_attempts:
            return False
        return self._terms.repeatable or not part.may_have_run
