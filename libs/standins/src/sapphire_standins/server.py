"""One process that serves one stand-in until it is told to stop."""

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

from sapphire_standins.calls import Model, ModelType
from sapphire_standins.proxy import Address, Proxy

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
SHUTDOWN_TIMEOUT_S = 10.0
# Replies of the work that has just ended are still on their way through
# hypercorn and the gate.
REPLY_FLUSH_S = 0.1


class ListenSettings(Model):
    """Addresses of a stand-in; port 0 lets the system choose."""

    listen: str = "127.0.0.1:0"
    control: str = Field(
        "127.0.0.1:0",
        description="Serves the same calls without limits and faults of"
        " connections, so that it answers while the stand-in is down.",
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
        """Reports the addresses through task_status and serves."""


def run_command(run: Callable[..., None]) -> None:
    """Runs a function with the flags of the command line."""
    try:
        fire.Fire(run)
    except SettingsError as error:
        sys.exit(str(error))


def read_settings(
    model: type[ModelType], path: str | None, flags: dict[str, Any]
) -> ModelType:
    """Returns settings from a JSON file with flags laid over it.

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
    """Runs a stand-in in this process for the length of a block."""
    async with trio.open_nursery() as nursery:
        start = functools.partial(serve, settings, trio.Event())
        yield await nursery.start(start)
        nursery.cancel_scope.cancel()


async def serve_until_signal(
    serve: ServeFunction[SettingsType], settings: SettingsType
) -> None:
    """Runs a stand-in until SIGTERM or SIGINT.

    The bound addresses are printed as one JSON line at the start.
    """
    stop = trio.Event()
    # The receiver is installed before the reader of the addresses may send
    # a signal.
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
    """Serves an application behind a gate.

    Args:
        app: The ASGI application.
        proxy: Listens for callers.
        settings: The addresses.
        stop: Ends the service when set.
        background: Runs while the app is served.
        drain: Finishes running work before the service ends.
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
    """Returns host and port of host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def _join_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
