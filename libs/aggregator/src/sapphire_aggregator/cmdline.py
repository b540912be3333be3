"""Command line of the aggregator daemon."""

from __future__ import annotations

import sys

import fire
from sapphire_config.settings import AggregatorSettings, read_settings
from sapphire_core.errors import SapphireError

from sapphire_aggregator import daemon

EXIT_BAD_SETTINGS = 2


def run(settings: str) -> None:
    """Runs an aggregator daemon until SIGTERM.

    Args:
        settings: Path of the JSON settings file.
    """
    try:
        daemon.main(read_settings(AggregatorSettings, settings))
    except SapphireError as error:
        print(f"sapphirecross-aggregator: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def main() -> None:
    """Entry point of the console script."""
    fire.Fire(run)
