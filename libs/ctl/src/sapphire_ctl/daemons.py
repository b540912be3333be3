"""Asks daemons for their status over HTTP."""

from __future__ import annotations

from typing import TypeVar

import trio
from pydantic import ValidationError
from sapphire_core.errors import SettingsError
from sapphire_wire.web import (
    HttpClient,
    HttpConnectError,
    HttpConnectionLostError,
    HttpTimeoutError,
)

from sapphire_ctl.fleet import AddressList, Answer, DaemonStatus, Reported

CALL_TIMEOUT_S = 2.0
MAX_CALLS = 32

ReportedType = TypeVar("ReportedType", bound=Reported)


class DaemonClient:
    """Asks daemons by their HTTP addresses."""

    async def addresses(self, entry: str) -> list[str]:
        """Returns the entries that an entry tells callers to use.

        Raises:
            SettingsError: The entry did not answer.
        """
        try:
            listed = await _get(entry, "/v1/addresses", AddressList)
        except _CallError as error:
            raise SettingsError(
                "--entry",
                entry,
                f"the entry gave no addresses ({error})",
                "Name another entry, or the daemons with --daemons.",
            ) from error
        return [a.address for a in listed.addresses]

    async def statuses(self, addresses: list[str]) -> list[Answer]:
        """Returns the answers of all daemons, in the order given."""
        answers: dict[str, Answer] = {}
        limit = trio.CapacityLimiter(MAX_CALLS)

        async def ask(address: str) -> None:
            async with limit:
                answers[address] = await _status(address)

        async with trio.open_nursery() as nursery:
            for address in dict.fromkeys(addresses):
                nursery.start_soon(ask, address)
        return [answers[a] for a in dict.fromkeys(addresses)]


class _CallError(Exception):
    """A daemon did not answer or answered something else."""


async def _status(address: str) -> Answer:
    try:
        status = await _get(address, "/v1/status", DaemonStatus)
    except _CallError as error:
        return Answer(address, problem=str(error))
    return Answer(address, status=status)


async def _get(
    address: str, path: str, model: type[ReportedType]
) -> ReportedType:
    client = HttpClient(address, 1)
    try:
        reply = await client.call("GET", path, timeout_s=CALL_TIMEOUT_S)
    except HttpConnectError as error:
        raise _CallError("no connection") from error
    except (HttpConnectionLostError, HttpTimeoutError) as error:
        raise _CallError("no answer") from error
    finally:
        await client.aclose()
    if reply.status != 200:
        raise _CallError(f"answered {path} with HTTP {reply.status}")
    try:
        return model.model_validate_json(reply.body)
    except ValidationError as error:
        raise _CallError(f"malformed answer to {path}") from error
