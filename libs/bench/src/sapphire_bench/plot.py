"""Plots of the results of a run."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot

from sapphire_bench.report import DeploymentPhases, group_by_deployment
from sapphire_bench.stats import Phase

_DPI = 80
_COLOURS = {"tier": "tab:blue", "baseline": "tab:orange"}


def draw(phases: Sequence[Phase], directory: pathlib.Path) -> list[str]:
    """Writes one plot per deployment and returns the file names."""
    names = []
    for group in group_by_deployment(phases):
        name = f"{group.deployment}.png"
        _draw_deployment(group, directory / name)
        names.append(name)
    return names


def _draw_deployment(group: DeploymentPhases, path: pathlib.Path) -> None:
    cases = list(dict.fromkeys([*group.tier, *group.baseline]))
    figure, axes = pyplot.subplots(
        len(cases),
        2,
        figsize=(11, 2.2 * len(cases)),
        squeeze=False,
        layout="constrained",
    )
    for row, case in zip(axes, cases, strict=True):
        for by_case in (group.baseline, group.tier):
            if case in by_case:
                _draw_phase(row, by_case[case])
        row[0].set_title(f"{case}: latency by due time", fontsize=9)
        row[0].set_yscale("log")
        row[0].set_ylabel("ms", fontsize=8)
        row[1].set_title(f"{case}: share good by second", fontsize=9)
        row[1].set_ylim(-0.05, 1.05)
    axes[0][0].legend(fontsize=8)
    figure.savefig(path, dpi=_DPI)
    pyplot.close(figure)


def _draw_phase(row: Sequence[pyplot.Axes], phase: Phase) -> None:
    colour = _COLOURS[phase.policy]
    due_s = [point[0] for point in phase.points]
    latency_ms = [point[1] for point in phase.points]
    row[0].plot(
        due_s, latency_ms, ".", markersize=3, color=colour, label=phase.policy
    )
    # The x axis counts the values: seconds without a request have none.
    row[1].plot(phase.seconds, "-o", markersize=3, color=colour)
