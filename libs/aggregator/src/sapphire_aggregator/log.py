"""Log lines of the aggregator; one for each change of state."""

from __future__ import annotations

import sys

import eliot
from sapphire_core.window import State

_PREFIX = "aggregator:"


def open_log(path: str | None) -> None:
    """Directs log lines to a file, or to standard error for None.

    Raises:
        OSError: The file can't be opened.
    """
    stream = sys.stderr if path is None else open(path, "a")  # noqa: SIM115
    eliot.to_file(stream)


def event(name: str, **fields: object) -> None:
    """Logs one change of state."""
    eliot.log_message(message_type=_PREFIX + name, **fields)


def leaf_state(service: str, leaf: str, before: State, after: State) -> None:
    """Logs that a leaf has changed its state."""
    event(
        "leaf_state",
        service=service,
        leaf=leaf,
        before=before.name.lower(),
        after=after.name.lower(),
    )


def quarantined(fingerprint: str, service: str, leaf: str) -> None:
    """Logs that a fingerprint is quarantined after a crash."""
    event("quarantined", fingerprint=fingerprint, service=service, leaf=leaf)


def unexpected_error(place: str, error: BaseException) -> None:
    """Logs an error that no code expects."""
    event("unexpected_error", place=place, error=repr(error))
