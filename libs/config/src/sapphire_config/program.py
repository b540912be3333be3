"""Starts a daemon from its settings file."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import TypeVar

from sapphire_core.errors import SapphireError

EXIT_BAD_SETTINGS = 2

_Settings = TypeVar("_Settings")


def run(
    program: str,
    read: Callable[[], _Settings],
    start: Callable[[_Settings], None],
) -> None:
    """Reads the settings and runs a daemon until it ends.

    Prints the error and its remedy to standard error and exits with
    EXIT_BAD_SETTINGS if the settings, or a resource that they refer to, can't
    be used.

    Args:
        program: Name of the program, used in the error message.
        read: Reads and validates the settings.
        start: Runs the daemon.
    """
    try:
        start(read())
    except SapphireError as error:
        print(f"{program}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
