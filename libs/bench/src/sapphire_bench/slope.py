"""Measured points and the regression lines through them.

A point has one or more sizes that were varied, such as the number of leaves,
and the figures that were measured, such as CPU time.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import numpy as np

# Rounding error of the least-squares fit, relative to the largest value. It
# differs between CPUs, so smaller intercepts and residuals are reported as 0.
RELATIVE_ROUNDING_ERROR = 1e-9


@dataclass(frozen=True)
class Point:
    """One measurement.

    Attributes:
        group: Name of the series of measurements.
        size: Values of the varied sizes, by name.
        figures: Measured values by name; units are part of the names.
    """

    group: str
    size: dict[str, float]
    figures: dict[str, float]


@dataclass(frozen=True)
class Slope:
    """A regression line through the points of one group.

    Attributes:
        group: Name of the series of measurements.
        figure: Name of the measured value.
        per: Name of the varied size.
        intercept: Value at size 0.
        slope: Change of the value per unit of the size.
        residual: Largest absolute difference of a point from the line.
        points: Number of points.
    """

    group: str
    figure: str
    per: str
    intercept: float
    slope: float
    residual: float
    points: int


def fit_line(
    points: Sequence[Point], group: str, figure: str, per: str
) -> Slope:
    """Returns the least-squares line of a figure over a size.

    Args:
        points: Measured points; those of other groups or without the figure
            are ignored.
        group: Name of the series of measurements.
        figure: Name of the measured value.
        per: Name of the varied size.
    """
    chosen = [p for p in points if p.group == group and figure in p.figures]
    sizes = np.array([p.size[per] for p in chosen])
    values = np.array([p.figures[figure] for p in chosen])
    slope, intercept = np.polyfit(sizes, values, 1)
    residual = np.abs(values - (intercept + slope * sizes)).max()
    rounding = RELATIVE_ROUNDING_ERROR * np.abs(values).max()
    return Slope(
        group,
        figure,
        per,
        _zero_if_rounding_error(intercept, rounding),
        float(slope),
        _zero_if_rounding_error(residual, rounding),
        len(chosen),
    )


def _zero_if_rounding_error(value: float, rounding: float) -> float:
    """Returns 0 for values within the rounding error."""
    return 0.0 if abs(value) < rounding else float(value)


def print_point(point: Point) -> Point:
    """Prints a point to standard error as progress, and returns it."""
    shown = {k: round(v, 4) for k, v in point.figures.items()}
    print(point.group, point.size, shown, file=sys.stderr)
    return point


# Group, varied size and figures of the lines to fit.
_LINE_SPECS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    (
        "members",
        "members",
        (
            "aggregator_cpu_percent",
            "aggregator_memory_mb",
            "entry_cpu_percent",
            "entry_memory_mb",
        ),
    ),
    (
        "held",
        "leaves_held_per_member",
        ("aggregator_cpu_percent", "aggregator_memory_mb"),
    ),
    (
        "listed",
        "leaves_listed",
        ("aggregator_cpu_percent", "aggregator_memory_mb"),
    ),
    (
        "entries",
        "entries",
        ("aggregator_cpu_percent", "aggregator_memory_mb"),
    ),
    ("bytes-members", "members", ("bytes_sent_per_s",)),
    ("bytes-held", "leaves_held_per_member", ("bytes_sent_per_s",)),
    ("bytes-entries", "entries", ("bytes_sent_per_s",)),
    (
        "document",
        "leaves",
        (
            "bytes",
            "parse_ms",
            "adopt_ms",
            "refresh_rights_ms",
            "parsed_mb",
            "adopted_mb",
        ),
    ),
)


def fit_lines(points: Sequence[Point]) -> list[Slope]:
    """Fits lines to all groups that were measured."""
    groups = {point.group for point in points}
    slopes = [
        fit_line(points, group, figure, per)
        for group, per, figures in _LINE_SPECS
        if group in groups
        for figure in figures
    ]
    if "load" in groups:
        slopes += _fit_load_lines(points)
    return slopes


def _fit_load_lines(points: Sequence[Point]) -> list[Slope]:
    """Fits the entry's CPU time over shards at each concurrency."""
    slopes = []
    load = [p for p in points if p.group == "load"]
    for concurrency in sorted({p.size["concurrent_queries"] for p in load}):
        group = f"load, {concurrency:g} queries"
        chosen = [
            Point(group, p.size, p.figures)
            for p in load
            if p.size["concurrent_queries"] == concurrency
        ]
        slopes.append(
            fit_line(chosen, group, "entry_cpu_ms_per_query", "shards")
        )
    return slopes


def to_json(points: Sequence[Point], command: str, commit: str) -> str:
    """Returns the points and slopes as JSON."""
    fields = {
        "command": command,
        "commit": commit,
        "points": [asdict(p) for p in points],
        "slopes": [asdict(s) for s in fit_lines(points)],
    }
    return json.dumps(fields, indent=1) + "\n"


def markdown(points: Sequence[Point], command: str, commit: str) -> str:
    """Returns the points and slopes as a Markdown report."""
    text = [
        "# Slopes",
        "",
        f"- Command: `{command}`",
        f"- Commit: `{commit}`",
        "- CPU and memory are of real daemon processes, from /proc; bytes are"
        " of frames that aggregators in one process encode. Leaves are light:"
        " one listener answers for all of them with canned replies.",
        "- `load`: closed loop over one entry and one aggregator, one replica"
        " per shard, 2 slots, 5 ms per leaf call whatever its batch.",
        "",
        "## Lines",
        "",
        "| group | figure | at size 0 | per unit of | slope | residual"
        " | points |",
        "|---|---|---|---|---|---|---|",
    ]
    text += [
        f"| {s.group} | {s.figure} | {s.intercept:.4g} | {s.per}"
        f" | {s.slope:.4g} | {s.residual:.2g} | {s.points} |"
        for s in fit_lines(points)
    ]
    for group in dict.fromkeys(point.group for point in points):
        chosen = [point for point in points if point.group == group]
        text += ["", f"## {group}", "", *_table(chosen)]
    return "\n".join(text) + "\n"


def _table(points: Sequence[Point]) -> list[str]:
    sizes = list(points[0].size)
    names = list(dict.fromkeys(n for p in points for n in p.figures))
    head = " | ".join([*sizes, *names])
    rows = []
    for point in points:
        cells = [f"{point.size[name]:g}" for name in sizes]
        cells += [
            f"{point.figures[name]:.4g}" if name in point.figures else "-"
            for name in names
        ]
        rows.append(f"| {' | '.join(cells)} |")
    rule = "|".join("---" for _ in [*sizes, *names])
    return [f"| {head} |", f"|{rule}|", *rows]
