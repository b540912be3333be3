"""Cost measurements for the capacity page, docs/CAPACITY.md."""

from __future__ import annotations

from collections.abc import Sequence

from sapphire_core.errors import SettingsError

from sapphire_bench import control_traffic, document_cost, idle_cost, load_cost
from sapphire_bench.slope import Point

GROUPS = ("document", "load", "control", "bytes")
# Relative duration of measurements of idle daemons: /proc counts CPU time in
# steps of 10 ms, which is too coarse for the little time that they use.
IDLE_DURATION_FACTOR = 2


async def measure(seconds: float, groups: Sequence[str]) -> list[Point]:
    """Runs the measurements of the given groups.

    Args:
        seconds: Duration of one measurement.
        groups: Names out of GROUPS.

    Raises:
        SettingsError: A group name is unknown.
    """
    for group in groups:
        if group not in GROUPS:
            raise SettingsError(
                "--groups",
                group,
                "no such group",
                f"Name some of {', '.join(GROUPS)}, separated by commas.",
            )
    points: list[Point] = []
    if "document" in groups:
        points += await document_cost.measure_documents()
    if "load" in groups:
        points += await load_cost.measure_load(seconds)
    if "control" in groups:
        points += await idle_cost.measure_control(
            seconds * IDLE_DURATION_FACTOR
        )
    if "bytes" in groups:
        points += await control_traffic.measure_bytes(seconds)
    return points
