"""Command line interface of `sapphirecross-burn`, the burn-rate report.

The burn rate is the speed at which requests that miss an objective use up the
error budget. A snapshot is one reading of a daemon's metrics.
"""

from __future__ import annotations

import contextlib
import enum
import io
import json as jsontext
import pathlib
import sys
import time
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import asdict, dataclass

import fire
import trio
from fire.core import FireExit
from fire.decorators import SetParseFn
from sapphire_config.document import Document, parse
from sapphire_core import burn
from sapphire_core.burn import DAY_S, HOUR_S, MINUTE_S, Burn, Group, GroupBurn
from sapphire_core.errors import SapphireError, SettingsError
from sapphire_wire.web import (
    HttpClient,
    HttpConnectError,
    HttpConnectionLostError,
    HttpTimeoutError,
)

from sapphire_bench import request_log
from sapphire_bench.snapshot import Snapshot, decode, sample

PROGRAM = "sapphirecross-burn"
CALL_TIMEOUT_S = 2.0
INTERVAL_S = 15.0

HELP = f"""\
usage: {PROGRAM} --document=FILE (--daemons=LIST | --snapshots=LIST) ...
       {PROGRAM} --logs=LIST --objective=SHARE [--json]

Error-budget burn by service and class over 5 min and 1 h (fast) and over
6 h and 3 d (slow). 1.0 uses up the budget of 30 days in 30 days. Late,
incomplete, refused and wrong answers use the budget.

  --document=FILE      Objectives: the document that
                       'sapphirecross-ctl show --document' prints.
  --daemons=LIST       HTTP addresses, separated by commas, to read /metrics.
  --samples=N          How often to read them (default 1).
  --every=SECONDS      Time between two readings (default {INTERVAL_S:g}).
  --record=FILE        Append the readings to FILE.
  --snapshots=LIST     Recorded files, separated by commas.
  --logs=LIST          Files of gateways' logs, separated by commas. Each
                       covers the time from its first request to its last.
  --objective=SHARE    Objective of all routes in the logs, such as 0.99.
  --json               One JSON object on standard output.
  --help               This text.

One reading covers the time since each daemon started if that is shorter
than two windows. Longer windows need recorded readings: run with --record
every few minutes, and name the file in --snapshots.

Exit codes: 0 no alert, 1 at least one alert, 2 wrong usage or invalid file,
3 no daemon answered.
"""


class ExitCode(enum.IntEnum):
    """Exit codes; HELP describes them."""

    NO_ALERT = 0
    ALERT = 1
    USAGE = 2
    UNAVAILABLE = 3


@dataclass(frozen=True)
class Options:
    """Parsed command line options."""

    document: str
    daemons: list[str]
    snapshots: list[str]
    record: str
    samples: int
    every_s: float
    json: bool
    logs: list[str]
    objective: float


@dataclass(frozen=True)
class CollectedSnapshots:
    """Recorded and new snapshots.

    Attributes:
        snapshots: All snapshots.
        silent: Addresses of the daemons that did not answer the last reading.
    """

    snapshots: list[Snapshot]
    silent: list[str]


@dataclass(frozen=True)
class Report:
    """Burn rates by group, written out by --json.

    Attributes:
        groups: Burn rates of each service and request class.
        silent: Addresses of the daemons that did not answer the last reading.
    """

    groups: list[GroupBurn]
    silent: list[str]


def run(arguments: Sequence[str]) -> int:
    """Runs the command and returns its exit code."""
    if not arguments:
        sys.stderr.write(HELP)
        return ExitCode.USAGE
    if {"--help", "-h"} & set(arguments):
        sys.stdout.write(HELP)
        return ExitCode.NO_ALERT
    try:
        options = _parse_options(arguments)
        if options.logs:
            return _report_logs(options)
        objectives = _objectives(_read(options.document))
        collected = _collect_snapshots(options)
        samples = [sample(s) for s in collected.snapshots]
    except SapphireError as error:
        print(f"{PROGRAM}: {error.message}", file=sys.stderr)
        print(error.remedy, file=sys.stderr)
        return ExitCode.USAGE
    if not samples:
        print(
            f"{PROGRAM}: no daemon answered. Check the addresses:"
            f" {', '.join(collected.silent)}",
            file=sys.stderr,
        )
        return ExitCode.UNAVAILABLE
    report = Report(burn.report(samples, objectives), collected.silent)
    return _print_report(report, options)


def _report_logs(options: Options) -> ExitCode:
    logs = [
        request_log.parse_log(_read(path).splitlines(), path)
        for path in options.logs
    ]
    objectives = {
        group: options.objective for log in logs for group in log.groups
    }
    suppressed_count = sum(log.suppressed_count for log in logs)
    if suppressed_count:
        print(
            f"{PROGRAM}: {suppressed_count} lines were left out by the"
            " gateways.",
            file=sys.stderr,
        )
    groups = burn.report([log.sample for log in logs], objectives)
    return _print_report(Report(groups, []), options)


def _print_report(report: Report, options: Options) -> ExitCode:
    print(
        jsontext.dumps(asdict(report)) if options.json else format_table(report)
    )
    alerts = any(g.alerts for g in report.groups)
    return ExitCode.ALERT if alerts else ExitCode.NO_ALERT


def main() -> None:
    """Entry point of the console script."""
    sys.exit(run(sys.argv[1:]))


def format_table(report: Report) -> str:
    """Returns the report as a table."""
    # A document has at least one class and a log at least one request, so there
    # is at least one group.
    windows = [_format_window(w.window_s) for w in report.groups[0].windows]
    rows = [
        ["service", "class", "objective", *windows, "alerts"],
        *(_row(g) for g in report.groups),
    ]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]
    lines += [
        "",
        "Burn rate; 1.0 uses up the budget of 30 days in 30 days."
        " (n) is the number of requests.",
        f"* The readings cover less than {burn.MIN_COVERED_SHARE:.0%}"
        " of the window."
        " -: no requests, too few readings or no objective.",
    ]
    lines += [f"Did not answer: {address}" for address in report.silent]
    return "\n".join(lines)


def _row(group: GroupBurn) -> list[str]:
    objective = "none" if group.objective is None else f"{group.objective:g}"
    return [
        group.group.service,
        group.group.request_class,
        objective,
        *(_format_burn(w) for w in group.windows),
        ", ".join(group.alerts) or "none",
    ]


def _format_burn(window: Burn) -> str:
    rate = "-" if window.rate is None else f"{window.rate:.2f}"
    partial = (
        "*"
        if window.covered_s < burn.MIN_COVERED_SHARE * window.window_s
        else ""
    )
    return f"{rate}{partial} ({window.requests:.0f})"


def _format_window(seconds: float) -> str:
    for unit_s, name in ((DAY_S, "d"), (HOUR_S, "h")):
        if seconds >= unit_s:
            return f"{seconds / unit_s:g} {name}"
    return f"{seconds / MINUTE_S:g} min"


def _objectives(document_text: str) -> Mapping[Group, float]:
    document = parse(Document, document_text)
    return {
        Group(service.name, request_class.name): request_class.objective
        for service in document.services
        for request_class in service.classes
    }


def _collect_snapshots(options: Options) -> CollectedSnapshots:
    recorded = [
        s for path in options.snapshots for s in decode(_read(path), path)
    ]
    if not options.daemons:
        return CollectedSnapshots(recorded, [])
    new = trio.run(_poll, options)
    if options.record:
        _append(options.record, new.snapshots)
    return CollectedSnapshots(recorded + new.snapshots, new.silent)


async def _poll(options: Options) -> CollectedSnapshots:
    snapshots: list[Snapshot] = []
    silent: list[str] = []
    for number in range(options.samples):
        if number:
            await trio.sleep(options.every_s)
        answers = await _read_all(options.daemons)
        snapshots += [s for s in answers.values() if s is not None]
        silent = [a for a in options.daemons if answers[a] is None]
    return CollectedSnapshots(snapshots, silent)


async def _read_all(daemons: list[str]) -> dict[str, Snapshot | None]:
    answers: dict[str, Snapshot | None] = {}

    async def read_one(address: str) -> None:
        answers[address] = await _read_metrics(address)

    async with trio.open_nursery() as nursery:
        for address in daemons:
            nursery.start_soon(read_one, address)
    return answers


async def _read_metrics(address: str) -> Snapshot | None:
    client = HttpClient(address, 1)
    try:
        reply = await client.call("GET", "/metrics", timeout_s=CALL_TIMEOUT_S)
    except (HttpConnectError, HttpConnectionLostError, HttpTimeoutError):
        return None
    finally:
        await client.aclose()
    if reply.status != 200:
        return None
    # Wall-clock time, because snapshots of separate runs are compared.
    return Snapshot(address, time.time(), reply.body.decode(errors="replace"))


def _append(path: str, snapshots: list[Snapshot]) -> None:
    with (
        _file_errors("--record", path),
        pathlib.Path(path).open("a", encoding="utf-8") as file,
    ):
        file.writelines(s.encode() for s in snapshots)


def _read(path: str) -> str:
    with _file_errors("file", path):
        return pathlib.Path(path).read_text(encoding="utf-8")


@contextlib.contextmanager
def _file_errors(field: str, path: str) -> Iterator[None]:
    try:
        yield
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            field,
            path,
            f"the file can't be used ({error})",
            "Name a file of UTF-8 text that you may use.",
        ) from error


def _parse_options(arguments: Sequence[str]) -> Options:
    parsed: list[Options] = []

    # Fire calls this before it detects surplus arguments, so it must only
    # store the options. Its parameter names are the names of the flags.
    def store_options(
        *,
        document: str = "",
        daemons: str = "",
        snapshots: str = "",
        record: str = "",
        samples: str = "1",
        every: str = str(INTERVAL_S),
        json: bool = False,
        logs: str = "",
        objective: str = "",
    ) -> None:
        parsed.append(
            Options(
                document,
                _parse_list(daemons),
                _parse_list(snapshots),
                record,
                _parse_count("--samples", samples),
                _parse_seconds("--every", every),
                json,
                _parse_list(logs),
                _parse_share("--objective", objective) if logs else 0.0,
            )
        )

    names = (
        "document",
        "daemons",
        "snapshots",
        "record",
        "samples",
        "every",
        "logs",
        "objective",
    )
    component = SetParseFn(str, *names)(store_options)
    output = io.StringIO()
    try:
        with contextlib.redirect_stderr(output):
            fire.Fire(component, command=list(arguments), name=PROGRAM)
    except FireExit as error:
        problem = error.trace.elements[-1].ErrorAsStr() if error.trace else ""
        raise _usage_error(" ".join(arguments), problem) from error
    options = parsed[0]
    if options.logs:
        if options.document or options.daemons or options.snapshots:
            raise _usage_error(None, "--logs goes with --objective only")
        return options
    if not options.document:
        raise _usage_error(None, "--document is missing")
    if not options.daemons and not options.snapshots:
        raise _usage_error(None, "neither --daemons nor --snapshots is given")
    return options


def _parse_list(listed: str) -> list[str]:
    return list(dict.fromkeys(x.strip() for x in listed.split(",") if x))


def _parse_count(option: str, text: str) -> int:
    if not text.isdecimal() or int(text) == 0:
        raise _usage_error(text, f"{option} is not a whole number above 0")
    return int(text)


def _parse_seconds(option: str, text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds <= DAY_S:
        raise _usage_error(text, f"{option} is not a time of up to a day")
    return seconds


def _parse_share(option: str, text: str) -> float:
    try:
        share = float(text)
    except ValueError:
        share = 0.0
    if not 0 < share < 1:
        raise _usage_error(text, f"{option} is not a share between 0 and 1")
    return share


def _usage_error(value: object, problem: str) -> SettingsError:
    return SettingsError(
        "command line", value, problem, f"Type '{PROGRAM} --help'."
    )
