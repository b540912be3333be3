"""One process that serves one stand-in until it is told to stop."""

from __future__ import annotations

import contextlib
import functools
import json
import pathlib
import signal
import sys
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import Any, Protocol, TypeVar

import fire
import trio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from sapphire_core.errors import BadRequestError, SettingsError
from sapphire_wire.web import serve_http
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sapphire_standins.gate import Address, Gate

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
GRACEFUL_S = 10.0
# Replies of the work that has just ended are still on their way through
# hypercorn and the gate.
FLUSH_S = 0.1


class Model(BaseModel):
    """Base of settings and fault models: unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(Model):
    """Addresses of a stand-in; port 0 lets the system choose."""

    listen: str = "127.0.0.1:0"
    control: str = Field(
        "127.0.0.1:0",
        description="Serves the same calls without limits and faults of"
        " connections, so that it answers while the stand-in is down.",
    )


class Call(BaseModel):
    """Base of the bodies of calls: unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


@dataclass(frozen=True)
class Addresses:
    """Bound addresses of a stand-in, as host:port."""

    listen: str
    control: str


@dataclass(frozen=True)
class Reply:
    """A JSON answer and its HTTP status."""

    status: int
    body: Any


Body = Callable[[], Any]
Handler = Callable[[Request], Awaitable[Reply | Response]]
ModelType = TypeVar("ModelType", bound=BaseModel)
SettingsType = TypeVar("SettingsType", bound=ListenSettings, contravariant=True)


class Serve(Protocol[SettingsType]):
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
        first = error.errors()[0]
        name = ".".join(str(part) for part in first["loc"]) or "settings"
        raise SettingsError(name, first["input"], first["msg"]) from error


def changed(current: ModelType, changes: Any) -> ModelType:
    """Returns a copy of a model with some fields changed.

    Raises:
        BadRequestError: A field is unknown or its value is not valid.
    """
    if not isinstance(changes, dict):
        raise BadRequestError("the body is not a JSON object.")
    try:
        fields = {**current.model_dump(), **changes}
        return type(current).model_validate(fields)
    except ValidationError as error:
        raise BadRequestError(str(error)) from error


async def read_json(request: Request) -> Any:
    """Returns the decoded body of a request.

    Raises:
        BadRequestError: The body is not JSON.
    """
    try:
        return json.loads(await request.body())
    except ValueError as error:
        raise BadRequestError(f"the body is not JSON: {error}.") from error


async def read_call(model: type[ModelType], request: Request) -> ModelType:
    """Returns the validated body of a call.

    Raises:
        BadRequestError: The body is not valid.
    """
    fields = await read_json(request)
    try:
        return model.model_validate(fields)
    except ValidationError as error:
        raise BadRequestError(str(error)) from error


def client_of(request: Request) -> Address | None:
    """Returns the address of the connection's other end."""
    client = request.client
    return None if client is None else (client.host, client.port)


def route(path: str, method: str, handler: Handler) -> Route:
    """Returns a route that answers with the handler's reply as JSON."""

    async def answer(request: Request) -> Response:
        try:
            reply = await handler(request)
        except BadRequestError as error:
            reply = Reply(400, {"error": str(error)})
        except Exception:
            # hypercorn's error log is off; a fault of the stand-in itself
            # must not pass for an injected one.
            traceback.print_exc()
            raise
        if isinstance(reply, Response):
            return reply
        return Response(
            json.dumps(reply.body),
            reply.status,
            media_type="application/json",
        )

    return Route(path, answer, methods=[method])


@contextlib.asynccontextmanager
async def started(
    serve: Serve[SettingsType], settings: SettingsType
) -> AsyncIterator[Addresses]:
    """Runs a stand-in in this process for the length of a block."""
    async with trio.open_nursery() as nursery:
        start = functools.partial(serve, settings, trio.Event())
        yield await nursery.start(start)
        nursery.cancel_scope.cancel()


async def serve_until_signal(
    serve: Serve[SettingsType], settings: SettingsType
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
    gate: Gate,
    settings: ListenSettings,
    stop: trio.Event,
    *,
    background: Callable[[], Awaitable[None]] = trio.sleep_forever,
    settle: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint,
    task_status: trio.TaskStatus[Addresses] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serves an application behind a gate.

    Args:
        app: The ASGI application.
        gate: Listens for callers.
        settings: The addresses.
        stop: Ends the service when set.
        background: Runs while the app is served.
        settle: Finishes running work before the service ends.
        task_status: Receives the bound addresses.
    """
    async with trio.open_nursery() as nursery:
        control = await nursery.start(
            functools.partial(_serve_control, app, settings.control)
        )
        listen = await nursery.start(
            gate.run, split_address(settings.listen), control
        )
        nursery.start_soon(background)
        task_status.started(
            Addresses(_join_address(listen), _join_address(control))
        )
        await stop.wait()
        with trio.move_on_after(GRACEFUL_S):
            await settle()
            await trio.sleep(FLUSH_S)
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
