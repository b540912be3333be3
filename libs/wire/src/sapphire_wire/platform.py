"""Client of the platform's key-value service and list of VMs."""

from __future__ import annotations

import contextlib
import urllib.parse
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from prometheus_client import Counter
from sapphire_core.errors import (
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnconfirmedError,
)

from sapphire_wire.web import (
    HttpClient,
    HttpConnectError,
    HttpConnectionLostError,
    HttpReply,
    HttpTimeoutError,
)

CALL_TIMEOUT_S = 1.0
WATCH_WAIT_S = 30.0
MAX_CONNECTIONS = 8
_DECODE_ERRORS = (ValueError, KeyError, TypeError, RecursionError)

_PLATFORM_CALLS = Counter(
    "sapphirecross_platform_calls_total",
    "Calls to the platform, waiting watches included.",
    ["operation", "result"],
)


@dataclass(frozen=True)
class VersionedValue:
    """A value and its version; version 0 means that the key is absent."""

    value: str
    version: int


@dataclass(frozen=True)
class VmLists:
    """VMs in the platform's list.

    Attributes:
        live: Addresses of the running VMs.
        leaving: Addresses of the VMs that are being taken out of service.
    """

    live: frozenset[str]
    leaving: frozenset[str]


class PlatformClient:
    """Calls the platform's key-value service and reads its list of VMs."""

    def __init__(self, address: str, vm_list_address: str | None) -> None:
        self._kv = HttpClient(address, MAX_CONNECTIONS)
        self._vms = HttpClient(vm_list_address, 1) if vm_list_address else None

    async def get(self, key: str) -> VersionedValue:
        """Reads a key.

        Raises:
            PlatformUnavailableError: No valid reply within CALL_TIMEOUT_S.
        """
        reply = await self._call("get", "GET", _key_path(key))
        return _versioned_value("get", reply)

    async def put(self, key: str, value: str, expect: int) -> int:
        """Writes a key by compare-and-swap.

        Args:
            key: The key.
            value: The new value, at most 1 MB.
            expect: The version to replace; 0 creates the key.

        Returns:
            The new version.

        Raises:
            WriteConflictError: The key is at another version.
            PlatformUnavailableError: The write was not applied: it was not
                sent or was rejected by the rate limit.
            WriteUnconfirmedError: The write may or may not have taken effect.
        """
        body = {"value": value, "expect": expect}
        try:
            reply = await self._kv.call(
                "PUT", _key_path(key), body, timeout_s=CALL_TIMEOUT_S
            )
        except HttpConnectError as error:
            _PLATFORM_CALLS.labels("put", "unsent").inc()
            raise PlatformUnavailableError(
                f"the write of {key!r} was not sent."
            ) from error
        except (HttpConnectionLostError, HttpTimeoutError) as error:
            _PLATFORM_CALLS.labels("put", "unknown").inc()
            raise WriteUnconfirmedError(
                f"no reply to the write of {key!r}; its outcome is unknown."
            ) from error
        if reply.status == 409:
            _PLATFORM_CALLS.labels("put", "conflict").inc()
            raise WriteConflictError(key, expect, _written_version(key, reply))
        if reply.status == 429:
            _PLATFORM_CALLS.labels("put", "limited").inc()
            raise PlatformUnavailableError(
                "the platform rate-limited the write (status 429)."
            )
        if reply.status != 200:
            _PLATFORM_CALLS.labels("put", "unknown").inc()
            raise WriteUnconfirmedError(
                f"the platform replied to the write of {key!r} with the"
                f" unexpected status {reply.status}; its outcome is unknown."
            )
        _PLATFORM_CALLS.labels("put", "ok").inc()
        return _written_version(key, reply)

    async def watch(self, key: str, after: int) -> VersionedValue:
        """Waits for a change of a key and returns its newest value.

        Returns the current value if there is no change within WATCH_WAIT_S.

        Args:
            key: The key.
            after: Version that the caller has; a higher one is a change.

        Raises:
            PlatformUnavailableError: No valid reply.
        """
        wait_ms = round(WATCH_WAIT_S * 1000)
        path = f"/watch/{_quote(key)}?after={after}&wait_ms={wait_ms}"
        reply = await self._call(
            "watch", "GET", path, timeout_s=WATCH_WAIT_S + CALL_TIMEOUT_S
        )
        return _versioned_value("watch", reply)

    async def vms(self) -> VmLists:
        """Reads the list of VMs, which lags behind the VMs' actual state.

        Raises:
            PlatformUnavailableError: No address of a list is configured, or
                there was no valid reply.
        """
        if self._vms is None:
            raise PlatformUnavailableError(
                "no address of a VM list is configured."
            )
        reply = await self._call("vms", "GET", "/vms", client=self._vms)
        with _malformed_as_unavailable("vms"):
            lists = reply.json()
            return VmLists(
                _string_set(lists["live"]), _string_set(lists["leaving"])
            )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._kv.aclose()
        if self._vms is not None:
            await self._vms.aclose()

    async def _call(
        self,
        operation: str,
        method: str,
        path: str,
        *,
        timeout_s: float = CALL_TIMEOUT_S,
        client: HttpClient | None = None,
    ) -> HttpReply:
        try:
            reply = await (client or self._kv).call(
                method, path, timeout_s=timeout_s
            )
        except (
            HttpConnectError,
            HttpConnectionLostError,
            HttpTimeoutError,
        ) as error:
            _PLATFORM_CALLS.labels(operation, "failed").inc()
            raise PlatformUnavailableError(
                f"no reply from the platform to the {operation!r} request."
            ) from error
        if reply.status != 200:
            _PLATFORM_CALLS.labels(operation, "failed").inc()
            raise PlatformUnavailableError(
                f"the platform replied to the {operation!r} request with the"
                f" unexpected status {reply.status}."
            )
        _PLATFORM_CALLS.labels(operation, "ok").inc()
        return reply


def _quote(key: str) -> str:
    return urllib.parse.quote(key, safe="")


def _key_path(key: str) -> str:
    return f"/kv/{_quote(key)}"


@contextlib.contextmanager
def _malformed_as_unavailable(operation: str) -> Iterator[None]:
    """Converts the errors of decoding a reply's body."""
    try:
        yield
    except _DECODE_ERRORS as error:
        raise PlatformUnavailableError(
            f"the platform replied to the {operation!r} request with a"
            f" malformed body: {error!r}."
        ) from error


def _versioned_value(operation: str, reply: HttpReply) -> VersionedValue:
    with _malformed_as_unavailable(operation):
        fields = reply.json()
        value = fields["value"]
        if type(value) is not str:
            raise ValueError(f"expected a string, got {value!r}")
        return VersionedValue(value, _version(fields))


def _written_version(key: str, reply: HttpReply) -> int:
    """Returns the version in a reply to a write.

    Raises:
        WriteUnconfirmedError: The body of the reply is malformed.
    """
    try:
        return _version(reply.json())
    except _DECODE_ERRORS as error:
        raise WriteUnconfirmedError(
            f"the platform replied to the write of {key!r} with a malformed"
            " body; its outcome is unknown."
        ) from error


def _version(fields: dict[str, Any]) -> int:
    version = fields["version"]
    if type(version) is not int or version < 0:
        raise ValueError(f"expected a version, got {version!r}")
    return version


def _string_set(values: object) -> frozenset[str]:
    # Iteration would accept a string as a list of its characters.
    if type(values) is not list or any(type(v) is not str for v in values):
        raise ValueError(f"expected a list of strings, got {values!r}")
    return frozenset(values)


def join_key(parts: Sequence[str]) -> str:
    """Joins parts with slashes to a key.

    Slashes in parts are quoted, so that different lists of parts never give
    the same key.
    """
    return "/".join(_quote(part) for part in parts)
