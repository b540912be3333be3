"""Start of a daemon from its settings file, the same for all daemons."""

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
    """Reads the settings and runs a daemon to its end.

    Exits with EXIT_BAD_SETTINGS, and the remedy on standard error, if the
    settings or what they name can't be used.

    Args:
        program: Name of the program, for the message.
        read: Reads and checks the settings.
        start: Runs the daemon.
    """
    try:
        start(read())
    except SapphireError as error:
        print(f"{program}: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
