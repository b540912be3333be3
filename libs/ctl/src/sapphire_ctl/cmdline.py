"""The command `sapphirecross-ctl`: arguments to calls on the facade."""

from __future__ import annotations

import argparse
import contextlib
import dataclasses
import enum
import io
import json
import os
import pathlib
import sys
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NoReturn, TypeVar, cast

import fire
import trio
from fire.core import FireExit
from fire.decorators import SetParseFn
from pydantic import TypeAdapter, ValidationError
from sapphire_config.document import Address
from sapphire_core.errors import (
    ChangeUnknownError,
    PlatformUnavailableError,
    SapphireError,
    SettingsError,
)
from sapphire_wire.platform import PlatformClient

from sapphire_ctl import operator, report
from sapphire_ctl.daemons import DaemonClient
from sapphire_ctl.fleet import StatusReport
from sapphire_ctl.operator import Checked, Operator
from sapphire_ctl.store import ConfigStore

PROGRAM = "sapphirecross-ctl"
PATIENCE_S = 30.0
MAX_PATIENCE_S = 86_400.0
PLATFORM_VARIABLE = "SAPPHIRECROSS_PLATFORM"
DAEMONS_VARIABLE = "SAPPHIRECROSS_DAEMONS"

HELP = f"""\
usage: {PROGRAM} COMMAND [ARGUMENTS] [--platform=IP:PORT] [--json]

Look (changes nothing):
  status               Revision, domains out and leaf states of the fleet.
      --daemons=IP:PORT,IP:PORT   HTTP addresses of daemons, or
      --entry=IP:PORT             an entry that lists the entries in service.
  show                 Revision in force and a summary.
      --document                  Print the document, to edit it.
  diff FILE            What FILE would change.
  check FILE           Every error in FILE. Needs no platform.
  find-change ID       Whether a change was accepted.
  schema               JSON Schema of the document. Needs no platform.

Change:
  domain-out DOMAIN    Take a failure domain out of service.
  domain-in DOMAIN     Put it back.
  vm-out IP            Take a VM out of service.
  vm-in IP             Put it back.
  apply FILE --expected-revision=N
                       Replace revision N, as diff and show print it, by the
                       document in FILE. 0 if none is stored yet.

FILE can be - for standard input.

Options of every command:
  --platform=IP:PORT   Key-value service. Default: ${PLATFORM_VARIABLE}.
  --patience=SECONDS   How long to settle a write whose answer was lost
                       (default {PATIENCE_S:g}).
  --json               One JSON object on standard output, also for errors.
  --help               This text.
${DAEMONS_VARIABLE} is the default of --daemons.

Exit codes:
  0  Done. status: every daemon answers and holds the newest revision.
  1  Refused, or another change came first. Nothing was changed.
     status: a daemon does not answer or holds an older revision.
     find-change: not among the recent changes.
  2  Wrong usage or invalid document. Nothing was changed.
  3  Platform unavailable. Nothing was changed.
  4  Result unknown: the change may or may not be in force. Use the
     find-change command that the message names before you repeat it.
"""


class ExitCode(enum.IntEnum):
    """Exit codes; HELP describes them."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNKNOWN = 4


# Errors of other kinds are refusals.
_CODES: tuple[tuple[type[SapphireError], ExitCode], ...] = (
    (SettingsError, ExitCode.USAGE),
    (PlatformUnavailableError, ExitCode.UNAVAILABLE),
    (ChangeUnknownError, ExitCode.UNKNOWN),
)

Action = Callable[[Operator], Awaitable[Any]]
Function = TypeVar("Function", bound=Callable[..., None])


def _with_texts(function: Function) -> Function:
    """Keeps Fire from turning a name such as 1e3 into a number."""
    return cast(Function, SetParseFn(str)(function))


class Commands:
    """Notes what the command line asks for.

    Fire runs a command before it finds surplus arguments, so that commands
    only note the call, which starts once all arguments are known to be good.
    """

    def __init__(self) -> None:
        self.action: Action | None = None
        self.needs_platform = True

    def table(self) -> dict[str, Callable[..., None]]:
        """Returns the commands by name."""
        return {
            "check": self._check,
            "apply": self._apply,
            "show": self._show,
            "diff": self._diff,
            "schema": self._schema,
            "status": self._status,
            "find-change": self._find_change,
            "domain-out": self._domain_out,
            "domain-in": self._domain_in,
            "vm-out": self._vm_out,
            "vm-in": self._vm_in,
        }

    @_with_texts
    def _check(self, file: str) -> None:
        self.needs_platform = False

        async def call(on: Operator) -> Any:
            return on.check(_read(file))

        self.action = call

    @_with_texts
    def _apply(self, file: str, *, expected_revision: str = "") -> None:
        revision = _revision(expected_revision)
        self.action = lambda on: on.apply(_read(file), revision)

    def _show(self, *, document: bool = False) -> None:
        async def call(on: Operator) -> Any:
            stored = await on.show()
            return stored.document if document else stored

        self.action = call

    @_with_texts
    def _diff(self, file: str) -> None:
        self.action = lambda on: on.diff(_read(file))

    def _schema(self) -> None:
        self.needs_platform = False

        async def call(on: Operator) -> Any:
            return on.schema()

        self.action = call

    @_with_texts
    def _status(self, *, daemons: str = "", entry: str = "") -> None:
        listed = daemons or os.environ.get(DAEMONS_VARIABLE, "")
        addresses = [
            _address("--daemons", a.strip()) for a in listed.split(",") if a
        ]
        source = _address("--entry", entry) if entry else None
        if entry and not daemons:
            addresses = []
        self.action = lambda on: on.status(addresses, source)

    @_with_texts
    def _find_change(self, change_id: str) -> None:
        self.action = lambda on: on.find_change(change_id)

    @_with_texts
    def _domain_out(self, domain: str) -> None:
        edit = operator.domain_edit(domain, out=True)
        self.action = lambda on: on.edit(edit)

    @_with_texts
    def _domain_in(self, domain: str) -> None:
        edit = operator.domain_edit(domain, out=False)
        self.action = lambda on: on.edit(edit)

    @_with_texts
    def _vm_out(self, vm: str) -> None:
        edit = operator.vm_edit(vm, out=True)
        self.action = lambda on: on.edit(edit)

    @_with_texts
    def _vm_in(self, vm: str) -> None:
        edit = operator.vm_edit(vm, out=False)
        self.action = lambda on: on.edit(edit)


@dataclasses.dataclass
class Options:
    """Options of every command."""

    platform: str
    patience: float
    json: bool


class _OptionParser(argparse.ArgumentParser):
    def error(self, message: str) -> NoReturn:
        raise _usage_error(message)


def run(arguments: Sequence[str]) -> int:
    """Runs one command and returns its exit code.

    Results go to standard output, errors to standard error, or with --json
    to standard output as well.
    """
    if not arguments:
        sys.stderr.write(HELP)
        return ExitCode.USAGE
    if {"--help", "-h", "help"} & set(arguments):
        sys.stdout.write(HELP)
        return ExitCode.DONE
    as_json = "--json" in arguments
    try:
        options, rest = _options(arguments)
        result = _execute(options, _commands(rest))
    except SapphireError as error:
        _print_error(error, as_json)
        return next(
            (code for kind, code in _CODES if isinstance(error, kind)),
            ExitCode.REFUSED,
        )
    _print(
        json.dumps(report.fields(result), indent=2)
        if as_json
        else report.text(result)
    )
    return _code(result)


def main() -> None:
    """Entry point of the console script."""
    sys.exit(run(sys.argv[1:]))


def _print(text: str) -> None:
    try:
        print(text, flush=True)
    except BrokenPipeError:
        # The reader, such as head, has seen enough. The interpreter would
        # report the same error again when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _options(arguments: Sequence[str]) -> tuple[Options, list[str]]:
    # Fire takes the word after --json for its value, hence this parser.
    parser = _OptionParser(add_help=False, allow_abbrev=False)
    parser.add_argument(
        "--platform", default=os.environ.get(PLATFORM_VARIABLE, "")
    )
    parser.add_argument("--patience", type=_seconds, default=PATIENCE_S)
    parser.add_argument("--json", action="store_true")
    known, rest = parser.parse_known_args(arguments)
    return Options(**vars(known)), rest


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds <= MAX_PATIENCE_S:
        raise argparse.ArgumentTypeError(
            f"not a number of seconds up to {MAX_PATIENCE_S:g}"
        )
    return seconds


def _commands(arguments: list[str]) -> Commands:
    commands = Commands()
    if "--" in arguments:
        raise _usage_error("unexpected argument --")
    output = io.StringIO()
    try:
        with (
            contextlib.redirect_stderr(output),
            contextlib.redirect_stdout(output),
        ):
            rest = fire.Fire(
                commands.table(),
                command=arguments,
                name=PROGRAM,
                serialize=lambda _: None,
            )
    except FireExit as error:
        trace = error.trace
        problem = trace.elements[-1].ErrorAsStr() if trace else "unknown"
        raise _usage_error(problem) from error
    if rest is not None or commands.action is None:
        raise _usage_error("no command, or surplus arguments")
    return commands


def _execute(options: Options, commands: Commands) -> Any:
    action = commands.action
    if action is None:
        raise _usage_error("no command")
    address = options.platform
    if commands.needs_platform:
        address = _address("--platform", address)
    stores: list[ConfigStore] = []
    results: list[Any] = []

    async def call() -> None:
        platform = PlatformClient(address, None)
        stores.append(ConfigStore(platform, options.patience))
        try:
            results.append(await action(Operator(stores[0], DaemonClient())))
        finally:
            with trio.CancelScope(shield=True):
                await platform.aclose()

    try:
        trio.run(call)
    except SapphireError:
        raise
    except (Exception, KeyboardInterrupt, BaseExceptionGroup) as error:
        # An accepted change stays accepted if the clean-up was interrupted.
        if not results:
            raise _ended_early(stores, error) from error
    return results[0]


def _ended_early(
    stores: list[ConfigStore], error: BaseException
) -> SapphireError:
    reason = f"the command ended early ({error!r})"
    pending = stores[0].pending_change if stores else None
    if pending is not None:
        return ChangeUnknownError(pending, reason)
    return SapphireError(
        f"{reason}; no change was under way.", "Repeat the command."
    )


def _print_error(error: SapphireError, as_json: bool) -> None:
    if as_json:
        _print(json.dumps({"error": report.fields(error)}, indent=2))
    print(f"{PROGRAM}: {error.message}", file=sys.stderr)
    print(error.remedy, file=sys.stderr)


def _code(result: object) -> ExitCode:
    if isinstance(result, Checked):
        return ExitCode.USAGE if result.errors else ExitCode.DONE
    if isinstance(result, operator.Found):
        return ExitCode.DONE if result.accepted else ExitCode.REFUSED
    if isinstance(result, StatusReport) and result.platform_problem:
        return ExitCode.UNAVAILABLE
    if isinstance(result, StatusReport) and result.problems:
        return ExitCode.REFUSED
    return ExitCode.DONE


def _usage_error(problem: str) -> SettingsError:
    line = " ".join(problem.split())
    return SettingsError(
        "command line",
        " ".join(sys.argv[1:]) or None,
        line,
        f"Type '{PROGRAM} --help' for the commands and their arguments.",
    )


def _read(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            "FILE",
            path,
            f"the file can't be read ({error})",
            "Name a file of UTF-8 text that you may read.",
        ) from error


def _revision(text: str) -> int:
    if not text.isdecimal():
        raise SettingsError(
            "--expected-revision",
            text,
            "not a revision",
            f"Use the number that '{PROGRAM} show' prints, or 0 if no"
            " configuration is stored yet.",
        )
    return int(text)


def _address(option: str, text: str) -> str:
    try:
        return TypeAdapter(Address).validate_python(text)
    except ValidationError as error:
        raise SettingsError(
            option,
            text,
            "not an IPv4 address and port",
            f"Use {option}=IP:PORT, as in 10.1.2.3:8080.",
        ) from error
