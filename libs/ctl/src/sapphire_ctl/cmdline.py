"""The `sapphirecross-ctl` command: parses arguments and runs operations."""

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

from sapphire_ctl import operations, report
from sapphire_ctl.daemons import DaemonClient
from sapphire_ctl.fleet import StatusReport
from sapphire_ctl.operations import CheckResult, Operations
from sapphire_ctl.store import ConfigStore

PROGRAM = "sapphirecross-ctl"
DEFAULT_RESOLVE_TIMEOUT_S = 30.0
MAX_RESOLVE_TIMEOUT_S = 86_400.0
PLATFORM_VARIABLE = "SAPPHIRECROSS_PLATFORM"
DAEMONS_VARIABLE = "SAPPHIRECROSS_DAEMONS"

HELP = f"""\
usage: {PROGRAM} COMMAND [ARGUMENTS] [--platform=IP:PORT] [--json]

Read-only commands:
  status               Show revisions, domains out of service and leaf states.
      --daemons=IP:PORT,IP:PORT   HTTP addresses of daemons, or
      --entry=IP:PORT             an entry that lists the entries in service.
  show                 Show a summary of the revision in force.
      --document                  Print the document instead, for editing.
  diff FILE            Show what FILE would change.
  check FILE           List every error in FILE. Does not use the platform.
  find-change ID       Show whether a change was accepted.
  schema               Print the JSON Schema of the document. Does not use the
                       platform.

Commands that change the configuration:
  domain-out DOMAIN    Take a failure domain out of service.
  domain-in DOMAIN     Put it back.
  vm-out IP            Take a VM out of service.
  vm-in IP             Put it back.
  apply FILE --expected-revision=N
                       Replace revision N, as printed by diff and show, with
                       the document in FILE. 0 if none is stored yet.

FILE can be - for standard input.

Options of all commands:
  --platform=IP:PORT   Key-value service. Default: ${PLATFORM_VARIABLE}.
  --patience=SECONDS   Time limit for resolving a write whose response was lost
                       (default {DEFAULT_RESOLVE_TIMEOUT_S:g}).
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
    """Exit codes, described in HELP."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNAVAILABLE = 3
    UNKNOWN = 4


# Other errors map to REFUSED.
_EXIT_CODES: tuple[tuple[type[SapphireError], ExitCode], ...] = (
    (SettingsError, ExitCode.USAGE),
    (PlatformUnavailableError, ExitCode.UNAVAILABLE),
    (ChangeUnknownError, ExitCode.UNKNOWN),
)

Action = Callable[[Operations], Awaitable[Any]]
Function = TypeVar("Function", bound=Callable[..., None])


def _string_arguments(function: Function) -> Function:
    """Stops Fire from parsing names such as 1e3 as numbers."""
    return cast(Function, SetParseFn(str)(function))


class Commands:
    """Records the requested command without running it.

    Fire calls a command function before it detects surplus arguments.
    Therefore, the functions only store an action, which runs after all
    arguments have been validated.
    """

    def __init__(self) -> None:
        self.action: Action | None = None
        self.needs_platform = True

    def functions(self) -> dict[str, Callable[..., None]]:
        """Returns the command functions by command name."""
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

    @_string_arguments
    def _check(self, file: str) -> None:
        self.needs_platform = False

        async def call(op: Operations) -> Any:
            return op.check(_read_file(file))

        self.action = call

    @_string_arguments
    def _apply(self, file: str, *, expected_revision: str = "") -> None:
        revision = _parse_revision(expected_revision)
        self.action = lambda op: op.apply(_read_file(file), revision)

    def _show(self, *, document: bool = False) -> None:
        async def call(op: Operations) -> Any:
            stored = await op.show()
            return stored.document if document else stored

        self.action = call

    @_string_arguments
    def _diff(self, file: str) -> None:
        self.action = lambda op: op.diff(_read_file(file))

    def _schema(self) -> None:
        self.needs_platform = False

        async def call(op: Operations) -> Any:
            return op.schema()

        self.action = call

    @_string_arguments
    def _status(self, *, daemons: str = "", entry: str = "") -> None:
        daemon_list, option = daemons, "--daemons"
        # --entry takes precedence over the environment variable.
        if not daemons and not entry:
            daemon_list = os.environ.get(DAEMONS_VARIABLE, "")
            option = DAEMONS_VARIABLE
        addresses = [
            _parse_address(option, address.strip())
            for address in daemon_list.split(",")
            if address
        ]
        source = _parse_address("--entry", entry) if entry else None
        self.action = lambda op: op.status(addresses, source)

    @_string_arguments
    def _find_change(self, change_id: str) -> None:
        self.action = lambda op: op.find_change(change_id)

    @_string_arguments
    def _domain_out(self, domain: str) -> None:
        edit = operations.domain_edit(domain, out=True)
        self.action = lambda op: op.edit(edit)

    @_string_arguments
    def _domain_in(self, domain: str) -> None:
        edit = operations.domain_edit(domain, out=False)
        self.action = lambda op: op.edit(edit)

    @_string_arguments
    def _vm_out(self, vm: str) -> None:
        edit = operations.vm_edit(vm, out=True)
        self.action = lambda op: op.edit(edit)

    @_string_arguments
    def _vm_in(self, vm: str) -> None:
        edit = operations.vm_edit(vm, out=False)
        self.action = lambda op: op.edit(edit)


@dataclasses.dataclass
class Options:
    """Options common to all commands."""

    platform: str
    resolve_timeout_s: float
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
        options, rest = _parse_options(arguments)
        result = _execute(options, _parse_command(rest))
    except SapphireError as error:
        _print_error(error, as_json)
        return next(
            (code for kind, code in _EXIT_CODES if isinstance(error, kind)),
            ExitCode.REFUSED,
        )
    _print(
        json.dumps(report.to_json(result), indent=2)
        if as_json
        else report.to_text(result)
    )
    return _exit_code(result)


def main() -> None:
    """Entry point of the console script."""
    sys.exit(run(sys.argv[1:]))


def _print(text: str) -> None:
    try:
        print(text, flush=True)
    except BrokenPipeError:
        # The reader, such as head, closed the pipe. Without the redirection,
        # the interpreter would report the error again when it flushes at exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _parse_options(arguments: Sequence[str]) -> tuple[Options, list[str]]:
    # Fire would treat the word after --json as its value, so common options
    # are parsed here.
    parser = _OptionParser(add_help=False, allow_abbrev=False)
    parser.add_argument(
        "--platform", default=os.environ.get(PLATFORM_VARIABLE, "")
    )
    parser.add_argument(
        "--patience",
        dest="resolve_timeout_s",
        type=_parse_seconds,
        default=DEFAULT_RESOLVE_TIMEOUT_S,
    )
    parser.add_argument("--json", action="store_true")
    known, rest = parser.parse_known_args(arguments)
    return Options(**vars(known)), rest


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 <= seconds <= MAX_RESOLVE_TIMEOUT_S:
        raise argparse.ArgumentTypeError(
            f"not a number of seconds up to {MAX_RESOLVE_TIMEOUT_S:g}"
        )
    return seconds


def _parse_command(arguments: list[str]) -> Commands:
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
                commands.functions(),
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
        address = _parse_address("--platform", address)
    stores: list[ConfigStore] = []
    results: list[Any] = []

    async def call() -> None:
        platform = PlatformClient(address, None)
        stores.append(ConfigStore(platform, options.resolve_timeout_s))
        try:
            results.append(await action(Operations(stores[0], DaemonClient())))
        finally:
            with trio.CancelScope(shield=True):
                await platform.aclose()

    try:
        trio.run(call)
    except SapphireError:
        raise
    except (Exception, KeyboardInterrupt, BaseExceptionGroup) as error:
        # If only the cleanup was interrupted, the result is still valid.
        if not results:
            raise _interruption_error(stores, error) from error
    return results[0]


def _interruption_error(
    stores: list[ConfigStore], error: BaseException
) -> SapphireError:
    reason = f"the command was interrupted ({error!r})"
    pending = stores[0].pending_change if stores else None
    if pending is not None:
        return ChangeUnknownError(pending, reason)
    return SapphireError(
        f"{reason}; no change was in progress.", "Repeat the command."
    )


def _print_error(error: SapphireError, as_json: bool) -> None:
    if as_json:
        _print(json.dumps({"error": report.to_json(error)}, indent=2))
    print(f"{PROGRAM}: {error.message}", file=sys.stderr)
    print(error.remedy, file=sys.stderr)


def _exit_code(result: object) -> ExitCode:
    if isinstance(result, CheckResult):
        return ExitCode.USAGE if result.errors else ExitCode.DONE
    if isinstance(result, operations.FindResult):
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


def _read_file(path: str) -> str:
    if path == "-":
        return sys.stdin.read()
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            "FILE",
            path,
            f"cannot read the file ({error})",
            "Specify a readable UTF-8 text file.",
        ) from error


def _parse_revision(text: str) -> int:
    if not text.isdecimal():
        raise SettingsError(
            "--expected-revision",
            text,
            "not a revision",
            f"Use the number that '{PROGRAM} show' prints, or 0 if no"
            " configuration is stored yet.",
        )
    return int(text)


def _parse_address(option: str, text: str) -> str:
    try:
        return TypeAdapter(Address).validate_python(text)
    except ValidationError as error:
        raise SettingsError(
            option,
            text,
            "not an IPv4 address and port",
            f"Use {option}=IP:PORT, as in 10.1.2.3:8080.",
        ) from error
