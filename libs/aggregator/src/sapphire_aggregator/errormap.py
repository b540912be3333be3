"""Mapping of errors of leaf calls to shard statuses and call outcomes."""

from __future__ import annotations

import functools

from sapphire_core.errors import (
    LeafColdError,
    LeafCrashedError,
    LeafDrainingError,
    LeafOverloadedError,
    LeafTimeoutError,
    LeafUnreachableError,
    VersionGoneError,
)
from sapphire_core.window import CallOutcome
from sapphire_wire.gen.ttypes import ShardStatus


class RightLostError(Exception):
    """The send right had ended, or was about to end, before the send."""


@functools.singledispatch
def status_of(error: Exception) -> ShardStatus:
    """Returns the shard status that the callers of a failed call receive.

    The dispatcher replaces LATE if the callers still have time left.
    """
    del error
    return ShardStatus.FAILED


@status_of.register
def _(error: LeafOverloadedError) -> ShardStatus:
    return ShardStatus.SHED


@status_of.register
def _(error: LeafDrainingError) -> ShardStatus:
    return ShardStatus.DRAINING


@status_of.register
def _(error: LeafCrashedError) -> ShardStatus:
    return ShardStatus.CRASHED


@status_of.register
def _(error: LeafTimeoutError) -> ShardStatus:
    return ShardStatus.LATE


@status_of.register
def _(error: VersionGoneError) -> ShardStatus:
    return ShardStatus.VERSION_GONE


@status_of.register
def _(error: RightLostError) -> ShardStatus:
    return ShardStatus.NOT_HOLDER


@functools.singledispatch
def call_outcome_of(error: Exception) -> CallOutcome:
    """Returns the outcome of a failed call, as reported to the window."""
    del error
    return CallOutcome.NEUTRAL


@call_outcome_of.register
def _(error: LeafColdError) -> CallOutcome:
    return CallOutcome.COLD


@call_outcome_of.register
def _(error: LeafOverloadedError) -> CallOutcome:
    return CallOutcome.SHED


@call_outcome_of.register
def _(error: LeafDrainingError) -> CallOutcome:
    return CallOutcome.DRAINING


@call_outcome_of.register
def _(error: LeafCrashedError) -> CallOutcome:
    return CallOutcome.LOST


@call_outcome_of.register
def _(error: LeafUnreachableError) -> CallOutcome:
    return CallOutcome.UNREACHABLE


@call_outcome_of.register
def _(error: LeafTimeoutError) -> CallOutcome:
    return CallOutcome.LATE
