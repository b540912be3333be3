"""Command line of the aggregator daemon."""

from __future__ import annotations

import fire
from sapphire_config import program
from sapphire_config.settings import AggregatorSettings, read_settings

from sapphire_aggregator import daemon


def run(settings: str) -> None:
    """Runs an aggregator daemon until SIGTERM.

    Args:
        settings: Path of the JSON settings file.
    """
    program.run(
        "sapphirecross-aggregator",
        lambda: read_settings(AggregatorSettings, settings),
        daemon.main,
    )


def main() -> None:
    """Entry point of the console script."""
    fire.Fire(run)
