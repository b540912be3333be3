"""Measurement of the slopes that a capacity page needs."""

from __future__ import annotations

from collections.abc import Sequence

from sapphire_core.errors import SettingsError

from sapphire_bench import cost, idle, size, traffic
from sapphire_bench.slope import Point

GROUPS = ("document", "load", "control", "bytes")
# Idle daemons use little time, which /proc counts in steps of 10 ms.
IDLE_FACTOR = 2


async def measure(seconds: float, groups: Sequence[str]) -> list[Point]:
    """Measures some groups; seconds is the length of one measurement.

    Raises:
        SettingsError: A group is unknown.
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
        points += await size.measure_documents()
    if "load" in groups:
        points += await cost.measure_load(seconds)
    if "control" in groups:
        points += await idle.measure_control(seconds * IDLE_FACTOR)
    if "bytes" in groups:
        points += await traffic.measure_bytes(seconds)
    return points
