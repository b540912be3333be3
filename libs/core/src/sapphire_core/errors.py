"""Typed errors that state what happened and how to remedy it."""

from __future__ import annotations

import enum


class RunState(enum.StrEnum):
    """What is known about the execution of a request."""

    RUN = "run"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class SapphireError(Exception):
    """Base class of all errors of the query tier.

    Attributes:
        kind: Stable, machine-readable identifier.
        status: HTTP status code returned to callers.
        run: What is known about the execution of the request.
        message: What happened.
        remedy: What the recipient can do about it.
    """

    kind = "internal"
    status = 500
    run = RunState.UNKNOWN
    default_remedy = "Report this with the daemon's log."

    def __init__(
        self,
        message: str,
        remedy: str | None = None,
        *,
        run: RunState | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy or self.default_remedy
        if run is not None:
            self.run = run

    def __str__(self) -> str:
        return f"{self.message} {self.remedy}"


class RequestRefusedError(SapphireError):
    """The request was refused before any leaf received it."""

    run = RunState.NOT_RUN


class BadRequestError(RequestRefusedError):
    """The request is malformed."""

    kind = "bad_request"
    status = 400
    default_remedy = "Correct the request as docs/api.md describes."


class MissingKeyError(BadRequestError):
    """A submission has no idempotency key."""

    kind = "missing_key"
    default_remedy = "Send a unique idempotency key with each submission."


class UnknownServiceError(RequestRefusedError):
    """The configuration has no such service."""

    kind = "unknown_service"
    status = 404
    default_remedy = "Use a service of the configuration in force."


class NotFoundError(RequestRefusedError):
    """The API has no such path."""

    kind = "not_found"
    status = 404
    default_remedy = "Use a path and method of the callers' interface."


class MethodNotAllowedError(NotFoundError):
    """The path does not support this method."""

    status = 405


class CallerDisconnectedError(SapphireError):
    """The caller closed the connection while its search was running."""

    kind = "caller_gone"
    status = 499
    default_remedy = "Repeat the search."


class TooLargeError(RequestRefusedError):
    """The request body is larger than the limit."""

    kind = "too_large"
    status = 413
    default_remedy = "Send a smaller request."


class SlowBodyError(RequestRefusedError):
    """The request body did not arrive in time."""

    kind = "slow_body"
    status = 408
    default_remedy = "Send the whole body at once."


class DeadlinePassedError(SapphireError):
    """The deadline passed before an answer was ready."""

    kind = "deadline_passed"
    status = 504
    default_remedy = "Repeat the request with a longer deadline."


class OverloadedError(RequestRefusedError):
    """Admission control refused the request."""

    kind = "overloaded"
    status = 429
    default_remedy = "Repeat the request after a short wait."


class QuarantinedError(SapphireError):
    """The query is quarantined because leaves crashed while running it."""

    kind = "quarantined"
    status = 422
    default_remedy = "Change the query text; the entry expires by itself."


class NotReadyError(RequestRefusedError):
    """The daemon has no configuration yet."""

    kind = "not_ready"
    status = 503
    default_remedy = "Ask another address of the system."


class OutOfServiceError(RequestRefusedError):
    """The daemon's failure domain or VM is out of service."""

    kind = "domain_out"
    status = 503
    default_remedy = "Ask for the addresses again and use one of them."


class ShuttingDownError(RequestRefusedError):
    """The daemon is shutting down."""

    kind = "leaving"
    status = 503
    default_remedy = "Ask for the addresses again and use one of them."


class KeyConflictError(RequestRefusedError):
    """Another body was submitted under the same idempotency key."""

    kind = "key_conflict"
    status = 409
    default_remedy = "Use a new idempotency key for a different body."


class OutcomeUnknownError(SapphireError):
    """A submission may have been sent, and its outcome is not known.

    Another request with the same idempotency key may be the one that sent it.
    """

    kind = "outcome_unknown"
    status = 504
    default_remedy = "Repeat the submission with the same key to learn it."


class PlatformUnavailableError(RequestRefusedError):
    """The platform's key-value service did not answer."""

    kind = "platform_unavailable"
    status = 503
    default_remedy = "Repeat the request when the platform is back."


class WriteUnconfirmedError(SapphireError):
    """A platform write was sent and the reply to it was lost."""

    kind = "write_unknown"
    default_remedy = "Read the key back to learn whether the write applied."


class WriteConflictError(SapphireError):
    """A compare-and-swap found a version other than the expected one.

    Attributes:
        current: The version in the platform.
    """

    kind = "write_conflict"
    status = 409
    default_remedy = "Read the current value and apply the change to it."

    def __init__(self, key: str, expected: int, current: int) -> None:
        super().__init__(
            f"key {key!r} is at version {current}, expected {expected}."
        )
        self.current = current


class ConfigConflictError(SapphireError):
    """A change was not applied because another revision is in force.

    Attributes:
        revision: The revision in force, None if it could not be read.
    """

    kind = "config_conflict"
    status = 409
    run = RunState.NOT_RUN

    def __init__(self, message: str, remedy: str, revision: int | None) -> None:
        super().__init__(message, remedy)
        self.revision = revision


class ChangeRefusedError(SapphireError):
    """A change can't be applied to the configuration in force."""

    kind = "change_refused"
    status = 409
    run = RunState.NOT_RUN


class ChangeUnknownError(SapphireError):
    """It is not known whether a change was accepted.

    Attributes:
        change_id: The id with which the change can be looked up.
    """

    kind = "change_unknown"

    def __init__(self, change_id: str, reason: str) -> None:
        super().__init__(
            f"it is not known whether change {change_id} was accepted:"
            f" {reason}.",
            f"Type 'sapphirecross-ctl find-change {change_id}' when the"
            " platform answers again, before you repeat the change.",
        )
        self.change_id = change_id


class ChannelError(SapphireError):
    """A connection between two daemons failed.

    Attributes:
        sent: Whether any part of the request may have been sent.
    """

    kind = "channel"
    default_remedy = "Check that the peer runs and is reachable."

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class LeafError(SapphireError):
    """A call to a leaf failed."""

    kind = "leaf"
    default_remedy = "Check the leaf's health and its log."


class LeafUnreachableError(LeafError):
    """No connection to the leaf could be opened; no byte was sent."""

    kind = "leaf_unreachable"
    run = RunState.NOT_RUN


class LeafCrashedError(LeafError):
    """The connection was lost while the leaf was running the request."""

    kind = "leaf_crashed"


class LeafTimeoutError(LeafError):
    """The call ended at the deadline.

    Raised as such if the leaf itself ended the request, or if too little time
    was left to send it.
    """

    kind = "leaf_late"


class LeafNoReplyError(LeafTimeoutError):
    """No complete reply arrived in time; the leaf may still run the request."""

    kind = "leaf_silent"


class LeafReplyError(LeafError):
    """The leaf's reply is malformed or belongs to another request."""

    kind = "leaf_reply"


class LeafOverloadedError(LeafError):
    """The leaf refused the request because it lacks capacity."""

    kind = "leaf_shed"
    run = RunState.NOT_RUN


class LeafColdError(LeafOverloadedError):
    """The leaf refused the request because it is in a cold start."""

    kind = "leaf_cold"


class LeafDrainingError(LeafError):
    """The leaf is shutting down and accepts no new requests."""

    kind = "leaf_draining"
    run = RunState.NOT_RUN


class VersionGoneError(LeafError):
    """The leaf no longer has the pinned index version."""

    kind = "version_gone"
    run = RunState.NOT_RUN


class SettingsError(SapphireError):
    """A settings file or document is not valid.

    Attributes:
        field: Dotted path of the field.
        value: The invalid value.
    """

    kind = "settings"
    run = RunState.NOT_RUN

    def __init__(
        self,
        field: str,
        value: object,
        problem: str,
        remedy: str | None = None,
    ) -> None:
        super().__init__(
            f"{field}: {problem}, found {value!r}.",
            remedy or f"Correct {field} and start again.",
        )
        self.field = field
        self.value = value
