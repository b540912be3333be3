"""Request models, and reading and validation of request bodies."""

from __future__ import annotations

import json
from typing import Annotated, Any, TypeVar

import trio
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from sapphire_config.document import Limits
from sapphire_core.errors import (
    BadRequestError,
    MissingKeyError,
    SlowBodyError,
    TooLargeError,
)
from starlette.requests import Request

MAX_DEADLINE_MS = 60_000
MAX_TEXT_LENGTH = 4_096
MAX_KEY_LENGTH = 256
# The rest of an oversized body is read and discarded up to these limits:
# closing a connection with unread data would reset it and could discard the
# error response before the caller reads it.
MAX_DISCARD_BYTES = 4 << 20
DISCARD_TIMEOUT_S = 0.5

DeadlineMs = Annotated[float, Field(le=MAX_DEADLINE_MS, allow_inf_nan=False)]


class RequestModel(BaseModel):
    """Base model that rejects unknown fields and type coercion."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, populate_by_name=True
    )


class SearchRequest(RequestModel):
    """Body of POST /v1/search."""

    service: str = Field(min_length=1, max_length=63)
    text: str = Field(min_length=1, max_length=MAX_TEXT_LENGTH)
    k: int = Field(ge=1)
    request_class: str = Field(alias="class", min_length=1, max_length=63)
    deadline_ms: DeadlineMs
    request_id: str | None = Field(None, min_length=1, max_length=128)


class SubmitRequest(RequestModel):
    """Body of POST /v1/submit."""

    service: str = Field(min_length=1, max_length=63)
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)
    body: dict[str, Any]
    deadline_ms: DeadlineMs


ModelType = TypeVar("ModelType", bound=BaseModel)


async def read_body(request: Request, limits: Limits) -> bytes:
    """Reads the whole request body.

    Raises:
        TooLargeError: The body is larger than the limit.
        SlowBodyError: The body did not arrive within the timeout.
        BadRequestError: The caller closed the connection.
    """
    timeout_s = limits.body_timeout_ms / 1000
    limit = limits.max_body_bytes
    try:
        with trio.fail_after(timeout_s):
            data, is_complete = await _receive_up_to(request, limit)
    except trio.TooSlowError:
        raise SlowBodyError(
            f"the body did not arrive within {timeout_s} s."
        ) from None
    if len(data) <= limit:
        return data
    if not is_complete:
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            await _receive_up_to(request, MAX_DISCARD_BYTES)
    raise TooLargeError(f"the body has more than {limit} bytes.")


async def _receive_up_to(request: Request, limit: int) -> tuple[bytes, bool]:
    """Reads until the limit is exceeded; returns data and completeness."""
    chunks: list[bytes] = []
    size = 0
    while size <= limit:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            raise BadRequestError("the caller closed the connection.")
        chunks.append(message.get("body", b""))
        size += len(chunks[-1])
        if not message.get("more_body", False):
            return b"".join(chunks), True
    return b"".join(chunks), False


def parse_body(model: type[ModelType], data: bytes) -> ModelType:
    """Parses and validates a request body.

    Raises:
        MissingKeyError: A submission has no idempotency key.
        BadRequestError: The body is not JSON or a field is invalid.
    """
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        field = ".".join(str(part) for part in first["loc"])
        is_key = model is SubmitRequest and field == "key"
        if is_key and first["type"] in _MISSING_KEY_TYPES:
            raise MissingKeyError("the submission has no key.") from None
        where = f"field {field!r}" if field else "the body"
        raise BadRequestError(f"{where}: {first['msg']}.") from None


_MISSING_KEY_TYPES = frozenset({"missing", "string_too_short"})


def canonical_json(body: dict[str, Any]) -> str:
    """Returns the canonical JSON text of a submission's body.

    Raises:
        BadRequestError: The body contains NaN or an infinity.
    """
    try:
        return json.dumps(
            body,
            sort_keys=True,
            separators=(",", ":"),
            ensure_ascii=True,
            allow_nan=False,
        )
    except ValueError:
        raise BadRequestError("field 'body': NaN and Infinity.") from None
