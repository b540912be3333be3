"""Request bodies, replies and routes of the JSON endpoints."""

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
    """Base of settings and fault models; rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class RequestBody(BaseModel):
    """Base of the request body models; ignores unknown fields."""

    model_config = ConfigDict(extra="ignore", frozen=True)


@dataclass(frozen=True)
class Reply:
    """A JSON response body and its HTTP status."""

    status: int
    body: Any


BodyFactory = Callable[[], Any]
Handler = Callable[[Request], Awaitable[Reply | Response]]
ModelType = TypeVar("ModelType", bound=BaseModel)


def apply_changes(current: ModelType, changes: Any) -> ModelType:
    """Returns a copy of a model with the given fields replaced.

    Raises:
        BadRequestError: The changes are not a JSON object, a field is
            unknown or a value is not valid.
    """
    if not isinstance(changes, dict):
        raise BadRequestError("the body is not a JSON object.")
    try:
        fields = {**current.model_dump(), **changes}
        return type(current).model_validate(fields)
    except ValidationError as error:
        raise BadRequestError(str(error)) from error


async def read_json(request: Request) -> Any:
    """Returns the decoded JSON body of a request.

    Raises:
        BadRequestError: The body is not JSON.
    """
    try:
        return json.loads(await request.body())
    except ValueError as error:
        raise BadRequestError(f"the body is not JSON: {error}.") from error


async def read_body(model: type[ModelType], request: Request) -> ModelType:
    """Returns the request body, validated against a model.

    Raises:
        BadRequestError: The body is not JSON or does not fit the model.
    """
    fields = await read_json(request)
    try:
        return model.model_validate(fields)
    except ValidationError as error:
        raise BadRequestError(str(error)) from error


def client_address(request: Request) -> Address | None:
    """Returns the client's address as the HTTP server sees it."""
    client = request.client
    return None if client is None else (client.host, client.port)


def json_route(path: str, method: str, handler: Handler) -> Route:
    """Returns a route that sends the handler's reply as JSON."""

    async def answer(request: Request) -> Response:
        try:
            reply = await handler(request)
        except BadRequestError as error:
            reply = Reply(400, {"error": str(error)})
        except Exception:
            # hypercorn's error log is disabled. Without the traceback, a bug
            # in the stand-in would look like an injected fault.
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
