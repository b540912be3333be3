"""Start-up, settings and shutdown shared by the stand-in processes."""

from __future__ import annotations

import contextlib
import functools
import json
import pathlib
import signal
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Any, Protocol, TypeVar

import fire
import trio
from pydantic import Field, ValidationError
from sapphire_core.errors import SettingsError
from sapphire_wire.web import serve_http
from starlette.applications import Starlette

from sapphire_standins.endpoints import Model, ModelType
from sapphire_standins.proxy import Address, Proxy

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SHUTDOWN_TIMEOUT_S = 10.0
# The last replies still pass through hypercorn and the proxy when the work is
# done.
REPLY_FLUSH_S = 0.1


class ListenSettings(Model):
    """Addresses of a stand-in; port 0 lets the system choose a port."""

    listen: str = "127.0.0.1:0"
    control: str = Field(
        "127.0.0.1:0",
        description="Serves the same calls but bypasses the proxy with its"
        " connection limits and connection faults, so that it answers while"
        " the stand-in is unreachable at its listen address.",
    )


@dataclass(frozen=True)
class Addresses:
    """Bound addresses of a stand-in, as host:port."""

    listen: str
    control: str


SettingsType = TypeVar("SettingsType", bound=ListenSettings, contravariant=True)


class ServeFunction(Protocol[SettingsType]):
    """Serves one stand-in until stop is set."""

    async def __call__(
        self,
        settings: SettingsType,
        stop: trio.Event,
        *,
        task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves, and reports the bound addresses through task_status."""


def run_command(run: Callable[..., None]) -> None:
    """Calls a function with the command-line flags."""
    try:
        fire.Fire(run)
    except SettingsError as error:
        sys.exit(str(error))


def read_settings(
    model: type[ModelType], path: str | None, flags: dict[str, Any]
) -> ModelType:
    """Returns settings from a JSON file, overridden by flags.

    Raises:
        SettingsError: The file can't be read or a field is not valid.
    """
    fields: dict[str, Any] = {}
    if path is not None:
        try:
            fields = json.loads(pathlib.Path(path).read_text("utf-8"))
        except (OSError, ValueError) as error:
            raise SettingsError("settings", path, str(error)) from error
    try:
        return model.model_validate({**fields, **flags})
    except ValidationError as error:
        first_error = error.errors()[0]
        name = ".".join(str(part) for part in first_error["loc"]) or "settings"
        raise SettingsError(
            name, first_error["input"], first_error["msg"]
        ) from error


@contextlib.asynccontextmanager
async def started(
    serve: ServeFunction[SettingsType], settings: SettingsType
) -> AsyncIterator[Addresses]:
    """Runs a stand-in in this process for the duration of a with block."""
    async with trio.open_nursery() as nursery:
        start = functools.partial(serve, settings, trio.Event())
        yield await nursery.start(start)
        nursery.cancel_scope.cancel()


async def serve_until_signal(
    serve: ServeFunction[SettingsType], settings: SettingsType
) -> None:
    """Runs a stand-in until SIGTERM or SIGINT.

    Prints the bound addresses as one JSON line at the start.
    """
    stop = trio.Event()
    # Whoever reads the printed addresses can send a signal at once, so the
    # receiver is installed first.
    with trio.open_signal_receiver(*STOP_SIGNALS) as signals:
        async with trio.open_nursery() as nursery:
            start = functools.partial(serve, settings, stop)
            addresses = await nursery.start(start)
            print(json.dumps(asdict(addresses)), flush=True)
            await anext(signals)
            stop.set()


async def serve_app(
    app: Starlette,
    proxy: Proxy,
    settings: ListenSettings,
    stop: trio.Event,
    *,
    background: Callable[[], Awaitable[None]] = trio.sleep_forever,
    drain: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint,
    task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an application behind a proxy.

    Args:
        app: The ASGI application.
        proxy: Accepts the clients' connections.
        settings: The addresses to listen on.
        stop: Starts the shutdown when set.
        background: Runs while the app is served.
        drain: Waits during shutdown until the running work has ended; limited
            to SHUTDOWN_TIMEOUT_S.
        task_status: Receives the bound addresses.
    """
    async with trio.open_nursery() as nursery:
        control = await nursery.start(
            functools.partial(_serve_control, app, settings.control)
        )
        listen = await nursery.start(
            proxy.run, split_address(settings.listen), control
        )
        nursery.start_soon(background)
        task_status.started(
            Addresses(_join_address(listen), _join_address(control))
        )
        await stop.wait()
        with trio.move_on_after(SHUTDOWN_TIMEOUT_S):
            await drain()
            await trio.sleep(REPLY_FLUSH_S)
        nursery.cancel_scope.cancel()


async def _serve_control(
    app: Starlette,
    address: str,
    *,
    task_status: trio.TaskStatus[Address],
) -> None:
    host, port = split_address(address)
    async with trio.open_nursery() as nursery:
        start = functools.partial(
            serve_http, app, host, port, trio.sleep_forever
        )
        binds = await nursery.start(start)
        task_status.started(split_address(binds[0].removeprefix("http://")))


def split_address(address: str) -> Address:
    """Splits host:port into host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _join_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
