"""Queries the status of daemons over HTTP."""

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

from sapphire_ctl.fleet import (
    AddressList,
    DaemonResult,
    DaemonStatus,
    ResponseModel,
)

CALL_TIMEOUT_S = 2.0
MAX_CONCURRENT_CALLS = 32

ResponseT = TypeVar("ResponseT", bound=ResponseModel)


class DaemonClient:
    """HTTP client for the status interface of daemons."""

    async def addresses(self, entry: str) -> list[str]:
        """Asks an entry process for the addresses of all that are in service.

        Args:
            entry: Address of the entry process to ask.

        Raises:
            SettingsError: The entry did not return valid addresses.
        """
        try:
            listed = await _get(entry, "/v1/addresses", AddressList)
        except _CallError as error:
            raise SettingsError(
                "--entry",
                entry,
                f"the entry returned no addresses ({error})",
                "Specify another entry, or the daemons with --daemons.",
            ) from error
        return [a.address for a in listed.addresses]

    async def statuses(self, addresses: list[str]) -> list[DaemonResult]:
        """Returns one result per distinct address, in the order given."""
        results: dict[str, DaemonResult] = {}
        limit = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)

        async def query(address: str) -> None:
            async with limit:
                results[address] = await _status(address)

        async with trio.open_nursery() as nursery:
            for address in dict.fromkeys(addresses):
                nursery.start_soon(query, address)
        return [results[a] for a in dict.fromkeys(addresses)]


class _CallError(Exception):
    """A daemon did not respond, or its response was not as expected."""


async def _status(address: str) -> DaemonResult:
    try:
        status = await _get(address, "/v1/status", DaemonStatus)
    except _CallError as error:
        return DaemonResult(address, problem=str(error))
    return DaemonResult(address, status=status)


async def _get(address: str, path: str, model: type[ResponseT]) -> ResponseT:
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
