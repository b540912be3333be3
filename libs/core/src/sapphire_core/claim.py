"""At-most-once submissions: the claim in the platform and its decisions.

Section 6.3 of docs/design.md has the protocol. A `Submission` is the state
machine of one request: it returns the next action, and the caller performs
it and hands back the event that resulted.
"""

from __future__ import annotations

import enum
import hashlib
import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, TypeAlias

from sapphire_core.errors import (
    DeadlinePassedError,
    KeyConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    RunState,
    SapphireError,
)

# A claim is dispatched within this time of the sending of its write, in
# seconds. It bounds how late a paused entry can start a submission.
DISPATCH_WITHIN_S = 1.0


class ClaimState(enum.StrEnum):
    """State of a claim in the platform."""

    DISPATCHING = "dispatching"
    RELEASED = "released"
    DONE = "done"


@dataclass(frozen=True)
class Claim:
    """The value of a key `claims/<service>/<key>`.

    Attributes:
        state: State of the claim.
        claim_id: Unique id of the request that made it.
        body_hash: Result of `body_hash` for the body submitted.
        outcome: JSON text of the leaf's answer once it is known.
    """

    state: ClaimState
    claim_id: str
    body_hash: str
    outcome: str | None = None

    def to_json(self) -> str:
        """Returns the JSON text stored in the platform."""
        return json.dumps(
            {
                "state": self.state.value,
                "claim_id": self.claim_id,
                "body_hash": self.body_hash,
                "outcome": self.outcome,
            }
        )

    @classmethod
    def from_json(cls, text: str) -> Claim:
        """Parses the JSON text stored in the platform.

        Raises:
            ValueError: The text is not a claim.
        """
        try:
            fields = json.loads(text)
            return cls(
                ClaimState(fields["state"]),
                str(fields["claim_id"]),
                str(fields["body_hash"]),
                fields["outcome"],
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(f"{text[:80]!r} is not a claim.") from error


def body_hash(body: str) -> str:
    """Returns the hash that tells two bodies under one key apart."""
    return hashlib.sha256(body.encode()).hexdigest()


# Actions.


@dataclass(frozen=True)
class Write:
    """Write the claim by compare-and-swap; expect 0 creates it."""

    claim: Claim
    expect: int


@dataclass(frozen=True)
class Read:
    """Read the claim."""


@dataclass(frozen=True)
class Wait:
    """Watch the claim for a version above `after`, up to the deadline."""

    after: int


@dataclass(frozen=True)
class Dispatch:
    """Send the submission if `Submission.begin_dispatch` allows it."""


@dataclass(frozen=True)
class Answer:
    """Answer the caller, then perform `then` in the background.

    Attributes:
        run: What is known about the execution of this request. `NOT_RUN`
            says nothing of other requests with the same key.
        outcome: JSON text of the first outcome, if it is known.
        first: Whether this request produced the outcome.
        error: The refusal if there is no outcome.
        then: An action that stores the outcome or releases the claim.
    """

    run: RunState
    outcome: str | None = None
    first: bool = False
    error: SapphireError | None = None
    then: Write | Read | None = None


Action: TypeAlias = Write | Read | Wait | Dispatch | Answer


# Events.


@dataclass(frozen=True)
class Found:
    """A read or watch answered; version 0 and None mean absent."""

    claim: Claim | None
    version: int


@dataclass(frozen=True)
class Written:
    """The write took effect."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The write did not take effect; the claim has the version `current`."""

    current: int


@dataclass(frozen=True)
class WriteLost:
    """The write may take effect, now or later."""


@dataclass(frozen=True)
class Unavailable:
    """The read failed, or the write was not sent."""


@dataclass(frozen=True)
class Outcome:
    """The leaf answered."""

    text: str


@dataclass(frozen=True)
class NotSent:
    """No byte of the submission was sent, and none will be."""

    error: SapphireError


@dataclass(frozen=True)
class OutcomeLost:
    """A byte may have been sent and the leaf's answer is not known."""


@dataclass(frozen=True)
class DeadlinePassed:
    """The caller's deadline passed before the submission was dispatched."""


Event: TypeAlias = (
    Found
    | Written
    | Conflict
    | WriteLost
    | Unavailable
    | Outcome
    | NotSent
    | OutcomeLost
    | DeadlinePassed
)


class Phase(enum.StrEnum):
    """Phase of a submission."""

    CREATING = "creating"
    READING = "reading"
    WAITING = "waiting"
    CLAIMED = "claimed"
    UNKNOWN = "unknown"
    STORING = "storing"
    RELEASING = "releasing"
    CLOSED = "closed"


class Submission:
    """The state machine of one request for a submission.

    Args:
        claim_id: Unique id of the request.
        digest: Result of `body_hash` for its body.
    """

    def __init__(self, claim_id: str, digest: str) -> None:
        self._claim = Claim(ClaimState.DISPATCHING, claim_id, digest)
        self._phase = Phase.CREATING
        self._version = 0
        self._expect = 0
        self._at_least = 0
        self._claim_sent_at = 0.0
        # A claim write of this request may still take effect.
        self._may_exist = False
        # Another request may have the claim.
        self._may_be_foreign = False
        self._began = False
        self._repeat: Write | Read = Read()

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    def start(self, now: float) -> Write:
        """Returns the first action: create the claim if it is absent."""
        return self._create(0, now)

    def begin_dispatch(self, now: float) -> bool:
        """Allows the single dispatch; call it immediately before the send.

        Returns:
            Whether to send now. After False, report `NotSent`; nothing was
            sent unless an earlier call returned True.
        """
        if self._phase is not Phase.CLAIMED or self._began:
            return False
        if now - self._claim_sent_at >= DISPATCH_WITHIN_S:
            return False
        self._began = True
        return True

    def handle(self, event: Event, now: float) -> Action | None:
        """Returns the next action after an event; None ends the request.

        Args:
            event: The result of the last action.
            now: Seconds of the monotonic clock.

        Raises:
            ValueError: The event can't result from the last action.
        """
        handler = _TRANSITIONS.get((self._phase, type(event)))
        if handler is None:
            name = type(event).__name__
            raise ValueError(f"{name} is not valid in phase {self._phase}.")
        return handler(self, event, now)

    def _create(self, expect: int, now: float) -> Write:
        self._phase = Phase.CREATING
        if not self._may_exist:
            self._claim_sent_at = now
        self._expect = expect
        return Write(self._claim, expect)

    def _claimed(self, event: Written, now: float) -> Action:
        self._phase = Phase.CLAIMED
        self._version = event.version
        return Dispatch()

    def _create_conflict(self, event: Conflict, now: float) -> Action:
        self._phase = Phase.READING
        self._may_be_foreign = True
        self._at_least = max(self._at_least, event.current)
        return Read()

    def _read_back(self, event: WriteLost, now: float) -> Action:
        self._phase = Phase.READING
        self._may_exist = True
        return Read()

    def _found(self, event: Found, now: float) -> Action:
        claim = event.claim
        if event.version < self._at_least:
            # The platform answered with an old value.
            self._phase = Phase.READING
            return Read()
        self._at_least = event.version
        if claim is None:
            # Creating it again settles whether the lost write can still
            # take effect; reading can't.
            return self._create(0, now)
        if claim.claim_id == self._claim.claim_id:
            return self._claimed(Written(event.version), now)
        return self._found_foreign(claim, event.version, now)

    def _found_foreign(self, claim: Claim, version: int, now: float) -> Action:
        if version > self._expect:
            # A lost claim write of this request can't take effect any more.
            self._may_exist = False
        if claim.state is ClaimState.RELEASED:
            # Nothing ran under a released claim, whatever its body was.
            return self._create(version, now)
        if claim.body_hash != self._claim.body_hash:
            text = "another body was submitted under this key."
            return self._refuse(RunState.NOT_RUN, KeyConflictError(text))
        if claim.state is ClaimState.DONE:
            self._phase = Phase.CLOSED
            return Answer(RunState.RUN, outcome=claim.outcome)
        self._phase = Phase.WAITING
        self._may_be_foreign = True
        return Wait(version)

    def _wait_again(self, event: Unavailable, now: float) -> Action:
        return Wait(self._at_least)

    def _unavailable(self, event: Unavailable, now: float) -> Action:
        if self._may_be_foreign:
            return self._refuse_as_unknown(event, now)
        text = "the claim can't be made: the platform did not answer."
        return self._refuse(RunState.NOT_RUN, PlatformUnavailableError(text))

    def _deadline_passed_in_write(
        self, event: DeadlinePassed, now: float
    ) -> Action:
        self._may_exist = True
        return self._deadline_passed(event, now)

    def _deadline_passed(self, event: DeadlinePassed, now: float) -> Action:
        if self._may_be_foreign:
            return self._refuse_as_unknown(event, now)
        text = "the deadline passed before the claim was made."
        run = RunState.NOT_RUN
        return self._refuse(run, DeadlinePassedError(text, run=run))

    def _refuse_as_unknown(self, event: Event, now: float) -> Action:
        text = "the outcome of the submission is not known."
        return self._refuse(RunState.UNKNOWN, OutcomeUnknownError(text))

    def _refuse(self, run: RunState, error: SapphireError) -> Answer:
        """Refuses a request that dispatched nothing."""
        then: Read | None = None
        self._phase = Phase.CLOSED
        if self._may_exist:
            self._phase = Phase.RELEASING
            then = self._repeat = Read()
        return Answer(run, error=error, then=then)

    def _not_sent(self, event: NotSent, now: float) -> Action:
        then = self._release(event, now)
        return Answer(RunState.NOT_RUN, error=event.error, then=then)

    def _release(self, event: Event, now: float) -> Write:
        self._phase = Phase.RELEASING
        released = replace(self._claim, state=ClaimState.RELEASED)
        self._repeat = Write(released, self._version)
        return self._repeat

    def _outcome_received(self, event: Outcome, now: float) -> Action:
        then = self._store(event, now)
        return Answer(RunState.RUN, event.text, first=True, then=then)

    def _store(self, event: Outcome, now: float) -> Write:
        self._phase = Phase.STORING
        done = replace(self._claim, state=ClaimState.DONE, outcome=event.text)
        self._repeat = Write(done, self._version)
        return self._repeat

    def _outcome_lost(self, event: OutcomeLost, now: float) -> Action:
        self._phase = Phase.UNKNOWN
        text = "the submission was sent and its outcome is not known."
        return Answer(RunState.UNKNOWN, error=OutcomeUnknownError(text))

    def _release_found(self, event: Found, now: float) -> Action | None:
        if event.version < self._at_least:
            return self._repeat_action(event, now)
        if event.claim is None:
            # A released claim keeps the lost write from taking effect.
            self._version = 0
            return self._release(event, now)
        is_own = event.claim.claim_id == self._claim.claim_id
        if not is_own and event.claim.state is ClaimState.RELEASED:
            # A lost takeover of this claim may still take effect.
            self._version = event.version
            return self._release(event, now)
        if not is_own or event.claim.state is not ClaimState.DISPATCHING:
            return self._close(event, now)
        self._version = event.version
        return self._release(event, now)

    def _release_conflict(self, event: Conflict, now: float) -> Action:
        self._at_least = max(self._at_least, event.current)
        self._repeat = Read()
        return self._repeat

    def _repeat_action(self, event: Event, now: float) -> Action:
        return self._repeat

    def _close(self, event: Event, now: float) -> Action | None:
        self._phase = Phase.CLOSED
        return None


_Handler: TypeAlias = Callable[[Submission, Any, float], Action | None]

# In the phases after the answer, the caller repeats an action that failed
# after a back-off, for as long as the process runs.
_TRANSITIONS: dict[tuple[Phase, type[Event]], _Handler] = {
    (Phase.CREATING, Written): Submission._claimed,
    (Phase.CREATING, Conflict): Submission._create_conflict,
    (Phase.CREATING, WriteLost): Submission._read_back,
    (Phase.CREATING, Unavailable): Submission._unavailable,
    (Phase.CREATING, DeadlinePassed): Submission._deadline_passed_in_write,
    (Phase.READING, Found): Submission._found,
    (Phase.READING, Unavailable): Submission._unavailable,
    (Phase.READING, DeadlinePassed): Submission._deadline_passed,
    (Phase.WAITING, Found): Submission._found,
    (Phase.WAITING, Unavailable): Submission._wait_again,
    (Phase.WAITING, DeadlinePassed): Submission._refuse_as_unknown,
    (Phase.CLAIMED, Outcome): Submission._outcome_received,
    (Phase.CLAIMED, NotSent): Submission._not_sent,
    (Phase.CLAIMED, OutcomeLost): Submission._outcome_lost,
    (Phase.UNKNOWN, Outcome): Submission._store,
    (Phase.UNKNOWN, NotSent): Submission._release,
    (Phase.STORING, Written): Submission._close,
    # Nobody else changes a dispatching claim: an earlier write was lost.
    (Phase.STORING, Conflict): Submission._close,
    (Phase.STORING, WriteLost): Submission._repeat_action,
    (Phase.STORING, Unavailable): Submission._repeat_action,
    (Phase.RELEASING, Found): Submission._release_found,
    (Phase.RELEASING, Written): Submission._close,
    (Phase.RELEASING, Conflict): Submission._release_conflict,
    (Phase.RELEASING, WriteLost): Submission._repeat_action,
    (Phase.RELEASING, Unavailable): Submission._repeat_action,
}
