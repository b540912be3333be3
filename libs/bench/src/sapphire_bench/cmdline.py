"""Command line interface of `sapphirecross-bench`."""

from __future__ import annotations

import pathlib
import shlex
import sys
from typing import Any

import fire
import trio
from sapphire_config.settings import read_settings
from sapphire_core.errors import SapphireError, SettingsError

from sapphire_bench import plan, plot, report, slope
from sapphire_bench.measure import GROUPS, measure
from sapphire_bench.plan import BenchSettings, CaseName
from sapphire_bench.run import git_commit
from sapphire_bench.run import run as run_cases

DEFAULT_SETTINGS = "examples/bench/default.json"
DEFAULT_OUTPUT = "build/bench"


def _parse_cases(listed: Any) -> list[CaseName]:
    # Fire passes names that are separated by commas as a tuple, if it can.
    names = listed.split(",") if isinstance(listed, str) else list(listed)
    try:
        return [CaseName(name) for name in names]
    except ValueError as error:
        raise SettingsError(
            "--cases",
            listed,
            str(error),
            f"Name some of {', '.join(CaseName)}, separated by commas.",
        ) from error


def run(
    settings: str = DEFAULT_SETTINGS,
    output: str = DEFAULT_OUTPUT,
    cases: Any = None,
    quick: bool = False,
) -> None:
    """Compares the tier with the baseline and writes a report.

    Args:
        settings: Path of the JSON settings.
        output: Directory for result.json, report.md and the plots.
        cases: Names of cases, separated by commas; all by default.
        quick: Short cases on the first deployment, for a smoke test.
    """
    chosen = read_settings(BenchSettings, settings)
    if quick:
        chosen = plan.shorten(chosen)
    if cases is not None:
        chosen = plan.select_cases(chosen, _parse_cases(cases))
    command = "sapphirecross-bench " + shlex.join(sys.argv[1:])
    result = trio.run(run_cases, chosen, command)
    directory = pathlib.Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    (directory / "result.json").write_text(result.to_json(), "utf-8")
    plots = plot.draw(result.phases, directory)
    text = report.markdown(result, plots)
    (directory / "report.md").write_text(text, "utf-8")
    for target in report.targets(result.phases):
        verdict = "met" if target.met else "MISSED"
        print(f"{verdict}: {target.deployment}: {target.what}: {target.figure}")
    print(directory / "report.md")


def slopes(
    output: str = DEFAULT_OUTPUT,
    groups: Any = GROUPS,
    seconds: float = 2.0,
) -> None:
    """Measures how cost grows with size, for the capacity page.

    Args:
        output: Directory for slopes.json and slopes.md.
        groups: Some of load, control, bytes and document.
        seconds: Duration of one measurement.
    """
    command = "sapphirecross-bench " + shlex.join(sys.argv[1:])
    named = groups.split(",") if isinstance(groups, str) else list(groups)
    commit = git_commit()
    points = trio.run(measure, seconds, named)
    directory = pathlib.Path(output)
    directory.mkdir(parents=True, exist_ok=True)
    text = slope.to_json(points, command, commit)
    (directory / "slopes.json").write_text(text, "utf-8")
    text = slope.markdown(points, command, commit)
    (directory / "slopes.md").write_text(text, "utf-8")
    print(directory / "slopes.md")


def main() -> None:
    """Entry point of the console script."""
    try:
        fire.Fire({"run": run, "slopes": slopes}, name="sapphirecross-bench")
    except SapphireError as error:
        print(f"sapphirecross-bench: {error}", file=sys.stderr)
        sys.exit(2)
