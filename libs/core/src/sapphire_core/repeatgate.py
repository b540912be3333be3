"""Whether the calls of a request may be repeated after a leaf was lost.

A request may crash each leaf that runs it. As long as none of its calls was
answered, a lost leaf is taken as a sign of that: a single call, the probe, is
made next, and the others wait for its result.
"""

from __future__ import annotations

import enum


class Repetition(enum.Enum):
    """What to do with a further call of a request."""

    ALLOWED = "allowed"
    # Wait until a leaf has answered, or the probe has ended.
    DEFERRED = "deferred"
    DENIED = "denied"


class RepeatGate:
    """Decides on the further calls of one request."""

    def __init__(self, is_suspected: bool = False) -> None:
        """Starts without results.

        Args:
            is_suspected: Whether the request is known to be suspected, so that
                its first call is a probe.
        """
        self._is_suspicious = is_suspected
        self._has_answer = False
        self._has_failed = False
        self._probe: str | None = None

    @property
    def is_open(self) -> bool:
        """Whether any number of calls may be made."""
        return self._has_answer or not self._is_suspicious

    @property
    def is_suspicious(self) -> bool:
        """Whether the request is suspected, or has lost a leaf."""
        return self._is_suspicious

    def request_call(self, part: str) -> Repetition:
        """Returns whether a call for a part may be made now.

        An allowed call becomes the probe if the request is suspicious.
        """
        if self.is_open:
            return Repetition.ALLOWED
        if self._has_failed:
            return Repetition.DENIED
        if self._probe is not None:
            return Repetition.DEFERRED
        self._probe = part
        return Repetition.ALLOWED

    def suspect(self) -> None:
        """Records that the request is suspected of crashing leaves."""
        self._is_suspicious = True

    def record_answer(self) -> None:
        """Records that a leaf has answered: the request is harmless."""
        self._has_answer = True

    def record_failure(self, part: str, is_lost: bool) -> None:
        """Records a call without an answer.

        Args:
            part: Part of the call.
            is_lost: Whether its leaf was lost.
        """
        if part == self._probe:
            self._probe = None
            self._has_failed |= is_lost
        elif is_lost:
            self._is_suspicious = True
