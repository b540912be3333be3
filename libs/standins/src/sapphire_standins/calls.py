"""Bodies, answers and routes of JSON calls."""

from __future__ import annotations

import json
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError
from sapphire_core.errors import BadRequestError
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sapphire_standins.proxy import Address


class Model(BaseModel):
    """Base of settings and fault models: unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RequestBody(BaseModel):
    """Base of the bodies of calls: unknown fields are ignored."""

    model_config = ConfigDict(extra="ignore", frozen=True)


@dataclass(frozen=True)
class Reply:
    """A JSON answer and its HTTP status."""

    status: int
    body: Any


BodyFactory = Callable[[], Any]
Handler = Callable[[Request], Awaitable[Reply | Response]]
ModelType = TypeVar("ModelType", bound=BaseModel)


def apply_changes(current: ModelType, changes: Any) -> ModelType:
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


async def read_body(model: type[ModelType], request: Request) -> ModelType:
    """Returns the validated body of a call.

    Raises:
        BadRequestError: The body is not valid.
    """
    fields = await read_json(request)
    try:
        return model.model_validate(fields)
    except ValidationError as error:
        raise BadRequestError(str(error)) from error


def client_address(request: Request) -> Address | None:
    """Returns the address of the connection's other end."""
    client = request.client
    return None if client is None else (client.host, client.port)


def json_route(path: str, method: str, handler: Handler) -> Route:
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
