"""At-most-once submissions by a claim that is stored in the platform.

A submission is a request to a leaf that must not run twice. Its caller names it
by an idempotency key, and an entry process, the process that receives the
caller's request, writes a claim for this key before it sends the submission.
Requests that repeat the idempotency key find the claim.

The platform is a key-value store in which each key has a version; version 0
means that the key does not exist.

Section 6.3 of docs/design.md specifies the protocol. A `Submission` is the
state machine of one request: it returns the next action, and the code of the
entry process that drives it performs the action and passes the resulting event
to `Submission.handle`.
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

# Maximum time from sending the write of the claim to dispatching the
# submission, in seconds. It bounds how late an entry process that was paused
# can start a submission.
DISPATCH_WITHIN_S = 1.0


class ClaimState(enum.StrEnum):
    """State of a claim in the platform."""

    # The submission is about to be sent, or was sent and has no outcome yet.
    DISPATCHING = "dispatching"
    # Nothing ran under the claim; another request may replace the claim.
    RELEASED = "released"
    # The outcome is stored.
    DONE = "done"


@dataclass(frozen=True)
class Claim:
    """The value stored in the platform for one idempotency key of a service.

    The platform's key is `claims/<service>/<idempotency key>`.

    Attributes:
        state: State of the claim.
        claim_id: Unique id of the request that created the claim.
        body_hash: Result of `body_hash` for the body submitted.
        outcome: JSON text of the leaf's answer; None until it is known.
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
    """Returns a hash for comparing bodies with the same idempotency key."""
    return hashlib.sha256(body.encode()).hexdigest()


# Actions.


@dataclass(frozen=True)
class Write:
    """Write the claim if the platform's key has version `expect`.

    Version 0 creates the key.
    """

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
    """Answer the caller, then perform `follow_up` in the background.

    Attributes:
        run: What is known about the execution of the submission with this
            idempotency key, also if another request sent it. Only `NOT_RUN`
            is about this request alone: it implies nothing about other
            requests with the same idempotency key.
        outcome: JSON text of the outcome of the submission with this
            idempotency key, if it is known.
        first: Whether this request sent the submission that had this outcome;
            False if another request with the same idempotency key did.
        error: The error to return if there is no outcome.
        follow_up: An action that stores the outcome or releases the claim.
    """

    run: RunState
    outcome: str | None = None
    first: bool = False
    error: SapphireError | None = None
    follow_up: Write | Read | None = None


Action: TypeAlias = Write | Read | Wait | Dispatch | Answer


# Events.


@dataclass(frozen=True)
class Found:
    """A read or watch returned; None and version 0 if there is no claim."""

    claim: Claim | None
    version: int


@dataclass(frozen=True)
class Written:
    """The write took effect."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The write did not take effect; the platform's key has another version.

    Attributes:
        current: The version of the key.
    """

    current: int


@dataclass(frozen=True)
class WriteLost:
    """The write is unconfirmed: it may have taken effect or may do so later."""


@dataclass(frozen=True)
class Unavailable:
    """The read or the watch failed, or the write was not sent."""


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
    """The submission may have been sent, and the leaf's answer is unknown."""


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
    # The claim is this request's, and the dispatch has no result yet.
    CLAIMED = "claimed"
    # The submission may have been sent, and the caller was told that its
    # outcome is not known. A late result may still arrive.
    UNKNOWN = "unknown"
    STORING = "storing"
    RELEASING = "releasing"
    CLOSED = "closed"


class Submission:
    """The state machine of one submission request.

    Args:
        claim_id: Unique id of the request.
        body_hash: Result of the function `body_hash` for its body.
    """

    def __init__(self, claim_id: str, body_hash: str) -> None:
        self._claim = Claim(ClaimState.DISPATCHING, claim_id, body_hash)
        self._phase = Phase.CREATING
        # Version of this request's claim, once it was written or found.
        self._claim_version = 0
        # Version that the last write of the claim replaces.
        self._replaced_version = 0
        # Lowest version that a read may return without being stale: the highest
        # version seen.
        self._min_version = 0
        self._claim_sent_at = 0.0
        # An unconfirmed claim write of this request may have taken effect or
        # may still do so.
        self._has_unconfirmed_write = False
        # Another request may hold the claim or have held it. Once set, this
        # stays set, even if that request has released the claim.
        self._other_may_hold_claim = False
        self._has_begun_dispatch = False
        # Action after the answer, repeated if it fails.
        self._follow_up: Write | Read = Read()

    @property
    def phase(self) -> Phase:
        """The current phase."""
        return self._phase

    def start(self, now: float) -> Write:
        """Returns the first action, which creates the claim if none exists."""
        return self._create(0, now)

    def begin_dispatch(self, now: float) -> bool:
        """Permits the single dispatch; call it immediately before the send.

        Returns:
            Whether to send now. If this is the first call and it returns
            False, nothing was sent; pass `NotSent` to `handle`. After a call
            that returned True, all later ones return False, although the
            submission may have been sent.
        """
        if self._phase is not Phase.CLAIMED or self._has_begun_dispatch:
            return False
        if now - self._claim_sent_at >= DISPATCH_WITHIN_S:
            return False
        self._has_begun_dispatch = True
        return True

    def handle(self, event: Event, now: float) -> Action | None:
        """Returns the next action, or None when the request is finished.

        Args:
            event: The result of the last action, or `DeadlinePassed`.
            now: Seconds of the monotonic clock.

        Raises:
            ValueError: The event is not possible in the current phase.
        """
        handler = _TRANSITIONS.get((self._phase, type(event)))
        if handler is None:
            event_name = type(event).__name__
            raise ValueError(
                f"{event_name} is not valid in phase {self._phase}."
            )
        return handler(self, event, now)

    def _create(self, expect: int, now: float) -> Write:
        """Creates the claim, or replaces a released one of version `expect`."""
        self._phase = Phase.CREATING
        # An earlier, unconfirmed write may be the one that takes effect, so
        # DISPATCH_WITHIN_S then counts from the sending of that write.
        if not self._has_unconfirmed_write:
            self._claim_sent_at = now
        self._replaced_version = expect
        return Write(self._claim, expect)

    def _claimed(self, event: Written, now: float) -> Action:
        self._phase = Phase.CLAIMED
        self._claim_version = event.version
        return Dispatch()

    def _create_conflict(self, event: Conflict, now: float) -> Action:
        self._phase = Phase.READING
        self._other_may_hold_claim = True
        self._min_version = max(self._min_version, event.current)
        return Read()

    def _read_back(self, event: WriteLost, now: float) -> Action:
        self._phase = Phase.READING
        self._has_unconfirmed_write = True
        return Read()

    def _found(self, event: Found, now: float) -> Action:
        claim = event.claim
        if event.version < self._min_version:
            # The platform returned a stale value.
            self._phase = Phase.READING
            return Read()
        self._min_version = event.version
        if claim is None:
            # An unconfirmed write of this request may still take effect, and a
            # read can't rule that out. Once another create has succeeded or met
            # a conflict, the key exists, so that an earlier write that expects
            # version 0 can no longer take effect.
            return self._create(0, now)
        if claim.claim_id == self._claim.claim_id:
            return self._claimed(Written(event.version), now)
        return self._found_other_claim(claim, event.version, now)

    def _found_other_claim(
        self, claim: Claim, version: int, now: float
    ) -> Action:
        if version > self._replaced_version:
            # An unconfirmed claim write of this request can no longer take
            # effect.
            self._has_unconfirmed_write = False
        if claim.state is ClaimState.RELEASED:
            # Nothing ran under a released claim, so this request may replace it
            # even if its body differs.
            return self._create(version, now)
        if claim.body_hash != self._claim.body_hash:
            text = "another body was submitted under this key."
            return self._refuse(RunState.NOT_RUN, KeyConflictError(text))
        if claim.state is ClaimState.DONE:
            self._phase = Phase.CLOSED
            return Answer(RunState.RUN, outcome=claim.outcome)
        self._phase = Phase.WAITING
        self._other_may_hold_claim = True
        return Wait(version)

    def _wait_again(self, event: Unavailable, now: float) -> Action:
        return Wait(self._min_version)

    def _unavailable(self, event: Unavailable, now: float) -> Action:
        if self._other_may_hold_claim:
            return self._refuse_as_unknown(event, now)
        text = "the claim can't be made: the platform did not answer."
        return self._refuse(RunState.NOT_RUN, PlatformUnavailableError(text))

    def _deadline_passed_in_write(
        self, event: DeadlinePassed, now: float
    ) -> Action:
        self._has_unconfirmed_write = True
        return self._deadline_passed(event, now)

    def _deadline_passed(self, event: DeadlinePassed, now: float) -> Action:
        if self._other_may_hold_claim:
            return self._refuse_as_unknown(event, now)
        text = "the deadline passed before the claim was made."
        run = RunState.NOT_RUN
        return self._refuse(run, DeadlinePassedError(text, run=run))

    def _refuse_as_unknown(self, event: Event, now: float) -> Action:
        text = "the outcome of the submission is not known."
        return self._refuse(RunState.UNKNOWN, OutcomeUnknownError(text))

    def _refuse(self, run: RunState, error: SapphireError) -> Answer:
        """Refuses a request that has dispatched nothing.

        If its claim write may still take effect, the claim is released.
        """
        follow_up: Read | None = None
        self._phase = Phase.CLOSED
        if self._has_unconfirmed_write:
            self._phase = Phase.RELEASING
            follow_up = self._follow_up = Read()
        return Answer(run, error=error, follow_up=follow_up)

    def _not_sent(self, event: NotSent, now: float) -> Action:
        follow_up = self._release(event, now)
        return Answer(RunState.NOT_RUN, error=event.error, follow_up=follow_up)

    def _release(self, event: Event, now: float) -> Write:
        self._phase = Phase.RELEASING
        released = replace(self._claim, state=ClaimState.RELEASED)
        self._follow_up = Write(released, self._claim_version)
        return self._follow_up

    def _outcome_received(self, event: Outcome, now: float) -> Action:
        follow_up = self._store(event, now)
        return Answer(RunState.RUN, event.text, first=True, follow_up=follow_up)

    def _store(self, event: Outcome, now: float) -> Write:
        self._phase = Phase.STORING
        done = replace(self._claim, state=ClaimState.DONE, outcome=event.text)
        self._follow_up = Write(done, self._claim_version)
        return self._follow_up

    def _outcome_lost(self, event: OutcomeLost, now: float) -> Action:
        self._phase = Phase.UNKNOWN
        text = "the submission was sent and its outcome is not known."
        return Answer(RunState.UNKNOWN, error=OutcomeUnknownError(text))

    def _release_found(self, event: Found, now: float) -> Action | None:
        """Handles the result of a read in the phase RELEASING."""
        if event.version < self._min_version:
            return self._repeat_action(event, now)
        if event.claim is None:
            # Writing a released claim prevents the unconfirmed write from
            # taking effect.
            self._claim_version = 0
            return self._release(event, now)
        is_own = event.claim.claim_id == self._claim.claim_id
        if not is_own and event.claim.state is ClaimState.RELEASED:
            # An unconfirmed write of this request may still replace the claim
            # that was found.
            self._claim_version = event.version
            return self._release(event, now)
        if not is_own or event.claim.state is not ClaimState.DISPATCHING:
            return self._close(event, now)
        self._claim_version = event.version
        return self._release(event, now)

    def _release_conflict(self, event: Conflict, now: float) -> Action:
        self._min_version = max(self._min_version, event.current)
        self._follow_up = Read()
        return self._follow_up

    def _repeat_action(self, event: Event, now: float) -> Action:
        return self._follow_up

    def _close(self, event: Event, now: float) -> Action | None:
        self._phase = Phase.CLOSED
        return None


_Handler: TypeAlias = Callable[[Submission, Any, float], Action | None]

# In the phases after the answer, the caller of `handle` retries a failed action
# with back-off for as long as the process runs.
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
    # The process that sends to the leaf may report, after the caller was
    # answered, that it has sent nothing.
    (Phase.UNKNOWN, NotSent): Submission._release,
    (Phase.STORING, Written): Submission._close,
    # Only this request changes its dispatching claim, so a conflict means that
    # an earlier, unconfirmed write of the outcome took effect.
    (Phase.STORING, Conflict): Submission._close,
    (Phase.STORING, WriteLost): Submission._repeat_action,
    (Phase.STORING, Unavailable): Submission._repeat_action,
    (Phase.RELEASING, Found): Submission._release_found,
    (Phase.RELEASING, Written): Submission._close,
    (Phase.RELEASING, Conflict): Submission._release_conflict,
    (Phase.RELEASING, WriteLost): Submission._repeat_action,
    (Phase.RELEASING, Unavailable): Submission._repeat_action,
}
