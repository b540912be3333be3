"""The entry daemon: startup and graceful shutdown."""

from __future__ import annotations

import functools
import math
import signal
import ssl
import sys
from typing import Any

import eliot
import trio
from sapphire_config.settings import EntrySettings
from sapphire_core.errors import SettingsError
from sapphire_wire.platform import PlatformClient
from sapphire_wire.web import Tls, serve_http

from sapphire_entry.entry import Entry
from sapphire_entry.lifecycle import Lifecycle, Phase
from sapphire_entry.web import Api, build_app

# Maximum time to finish running requests at shutdown, and then again to store
# the outcomes of submissions.
SHUTDOWN_TIMEOUT_S = 10.0
# An HTTP server that is replaced because the entry is out of service, see
# serve_callers, finishes all of its requests. The time-out is the maximum
# request deadline of 60 s plus a margin for the response.
REPLACED_SERVER_TIMEOUT_S = 70.0
MAX_PORT = 65_535
MAX_BIND_ATTEMPTS = 50
BIND_RETRY_INTERVAL_S = 0.02


def main(settings: EntrySettings) -> None:
    """Runs the daemon until SIGTERM or SIGINT.

    Raises:
        SettingsError: The log file or an address can't be opened.
    """
    _check_port("listen", settings.listen)
    _check_port("frames", settings.frames)
    _open_log(settings.log_file)
    try:
        trio.run(_run, settings)
    except BaseExceptionGroup as group:
        bad, others = group.split(SettingsError)
        if bad is None or others is not None:
            raise
        raise first_exception(bad) from None


def first_exception(error: BaseException) -> BaseException:
    """Returns the first error of a nested group, or the error itself."""
    first = error
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    return first


def _check_port(field: str, address: str) -> None:
    """Rejects ports that the operating system would reduce modulo 65,536."""
    if int(address.rpartition(":")[2]) > MAX_PORT:
        raise SettingsError(field, address, f"the port is above {MAX_PORT}")


def _open_log(path: str | None) -> None:
    if path is None:
        eliot.to_file(sys.stderr)
        return
    try:
        file = open(path, "a", encoding="utf-8")  # noqa: SIM115
    except OSError as error:
        raise SettingsError("log_file", path, str(error)) from error
    eliot.to_file(file)


async def _run(settings: EntrySettings) -> None:
    platform = PlatformClient(settings.platform, settings.vm_list)
    watcher = PlatformClient(settings.platform, None)
    async with trio.open_nursery() as nursery:
        entry = Entry(settings, nursery, platform, watcher)
        try:
            await entry.start()
        except OSError as error:
            raise SettingsError(
                "frames", settings.frames, str(error)
            ) from error
        await nursery.start(_wait_for_stop, entry)
        await serve_callers(entry)
        # Submissions may have outcomes that are not stored yet. Without this
        # wait, their claims would stay open.
        with trio.move_on_after(SHUTDOWN_TIMEOUT_S):
            await entry.submitter.wait_idle()
        nursery.cancel_scope.cancel()


async def _wait_for_stop(
    entry: Entry, *, task_status: trio.TaskStatus[None]
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            entry.lifecycle.begin_shutdown()


async def serve_callers(
    entry: Entry,
    *,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves callers until the entry shuts down.

    When the entry begins to refuse requests because it is out of service, a new
    server replaces the current one on the same address. The old server closes
    its idle connections and finishes running requests; the new one refers
    callers to other entries. A shutdown starts no new server.

    Raises:
        SettingsError: The address can't be opened.
    """
    app = build_app(Api(entry))
    async with trio.open_nursery() as servers:
        stop = trio.Event()
        entry.address = await _start_server(servers, entry, app, stop)
        task_status.started(entry.address)
        while True:
            await _wait_refusing(entry)
            stop.set()
            if entry.lifecycle.phase is Phase.LEAVING:
                servers.cancel_scope.deadline = (
                    trio.current_time() + SHUTDOWN_TIMEOUT_S
                )
                return
            stop = trio.Event()
            await _start_server(servers, entry, app, stop)


async def _start_server(
    servers: trio.Nursery, entry: Entry, app: Any, stop: trio.Event
) -> str:
    """Starts a server and returns its address.

    The previous server closes its listener within a few iterations of the
    event loop, so binding is retried while the address is in use.
    """
    settings = entry.settings
    host, _, port = entry.address.rpartition(":")
    tls = None
    if settings.tls is not None:
        tls = Tls(settings.tls.certfile, settings.tls.keyfile)
    start = functools.partial(
        serve_http,
        app,
        host,
        int(port),
        stop.wait,
        graceful_s=REPLACED_SERVER_TIMEOUT_S,
        tls=tls,
    )
    for attempt in range(MAX_BIND_ATTEMPTS):
        try:
            binds = await servers.start(start)
        except (OSError, BaseExceptionGroup) as error:
            cause = first_exception(error)
            if not isinstance(cause, OSError):
                raise
            if entry.lifecycle.phase is Phase.STARTING:
                raise _listen_error(settings, cause) from error
            if attempt + 1 == MAX_BIND_ATTEMPTS:
                raise
            await trio.sleep(BIND_RETRY_INTERVAL_S)
        else:
            return str(binds[0]).rpartition("/")[2]
    raise AssertionError("unreachable")


def _listen_error(
    settings: EntrySettings, cause: BaseException
) -> SettingsError:
    """Returns the settings error for a listener that can't be opened."""
    if isinstance(cause, FileNotFoundError | ssl.SSLError):
        return SettingsError("tls", settings.tls, str(cause))
    return SettingsError("listen", settings.listen, str(cause))


async def _wait_refusing(entry: Entry) -> None:
    """Waits until the entry begins to refuse requests.

    If it already refuses them because it is out of service, waits until it
    shuts down, or until it has returned to service and refuses them again.
    """
    lifecycle = entry.lifecycle
    while True:
        phase, changed = lifecycle.phase, lifecycle.changed
        # A server that was started while refusing is not replaced.
        has_refusing_server = phase is not Phase.LEAVING and _is_refusing(
            lifecycle
        )
        with trio.move_on_at(
            math.inf if has_refusing_server else lifecycle.refuse_at
        ):
            await changed.wait()
            continue
        return


def _is_refusing(lifecycle: Lifecycle) -> bool:
    return trio.current_time() >= lifecycle.refuse_at
