"""Command line of the entry daemon."""

from __future__ import annotations

import fire
from sapphire_config import program
from sapphire_config.settings import EntrySettings, read_settings

from sapphire_entry import daemon


def run(settings: str) -> None:
    """Runs an entry daemon until SIGTERM.

    Args:
        settings: Path of the JSON settings file.
    """
    program.run(
        "sapphirecross-entry",
        lambda: read_settings(EntrySettings, settings),
        daemon.main,
    )


def main() -> None:
    """Entry point of the console script."""
    fire.Fire(run)
