"""Structured log of the aggregator: one message per change of state."""

from __future__ import annotations

import sys

import eliot
from sapphire_core.window import State

_PREFIX = "aggregator:"


def open_log(path: str | None) -> None:
    """Directs the log to a file, or to standard error if the path is None.

    Raises:
        OSError: The file can't be opened.
    """
    stream = sys.stderr if path is None else open(path, "a")  # noqa: SIM115
    eliot.to_file(stream)


def event(name: str, **fields: object) -> None:
    """Logs a change of state."""
    eliot.log_message(message_type=_PREFIX + name, **fields)


def leaf_state(service: str, leaf: str, before: State, after: State) -> None:
    """Logs a change of the state of a leaf."""
    event(
        "leaf_state",
        service=service,
        leaf=leaf,
        before=before.name.lower(),
        after=after.name.lower(),
    )


def quarantined(fingerprint: str, service: str, leaf: str) -> None:
    """Logs that a crash of a leaf has put a fingerprint in quarantine."""
    event("quarantined", fingerprint=fingerprint, service=service, leaf=leaf)


def unexpected_error(place: str, error: BaseException) -> None:
    """Logs an exception caught by a catch-all handler."""
    event("unexpected_error", place=place, error=repr(error))
