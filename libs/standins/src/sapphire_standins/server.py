"""One process that serves one stand-in until it is told to stop."""

from __future__ import annotations

import functools
import json
import pathlib
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

import trio
from pydantic import BaseModel, ConfigDict, ValidationError
from sapphire_core.errors import BadRequestError, SettingsError
from sapphire_wire.web import serve_http
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route


class Model(BaseModel):
    """Base of settings and fault models: unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(Model):
    """Address of a stand-in; port 0 lets the system choose.

    The bound address is printed as one JSON line at the start.
    """

    listen: str = "127.0.0.1:0"


@dataclass(frozen=True)
class Reply:
    """A JSON answer and its HTTP status."""

    status: int
    body: Any


Handler = Callable[[Request], Awaitable[Reply]]
ModelType = TypeVar("ModelType", bound=BaseModel)


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


def route(path: str, method: str, handler: Handler) -> Route:
    """Returns a route that answers with the handler's reply as JSON."""

    async def answer(request: Request) -> Response:
        try:
            reply = await handler(request)
        except BadRequestError as error:
            reply = Reply(400, {"error": str(error)})
        return Response(
            json.dumps(reply.body),
            reply.status,
            media_type="application/json",
        )

    return Route(path, answer, methods=[method])


async def serve(app: Starlette, settings: ListenSettings) -> None:
    """Serves until SIGTERM or SIGINT."""
    host, _, port = settings.listen.rpartition(":")
    async with trio.open_nursery() as nursery:
        start = functools.partial(
            serve_http, app, host, int(port), trio.sleep_forever
        )
        binds = await nursery.start(start)
        address = binds[0].removeprefix("http://")
        print(json.dumps({"listen": address}), flush=True)
        await _wait_for_stop()
        nursery.cancel_scope.cancel()


async def _wait_for_stop() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
