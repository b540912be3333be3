"""Reads and replaces the configuration in the platform."""

from __future__ import annotations

import random
from typing import Protocol

import trio
from sapphire_config.document import StoredDocument
from sapphire_config.parsing import parse
from sapphire_core.adoption import Resolution
from sapphire_core.errors import (
    ChangeRefusedError,
    ChangeUnknownError,
    PlatformUnavailableError,
    SettingsError,
    WriteConflictError,
    WriteUnknownError,
)
from sapphire_wire.platform import VersionedValue

from sapphire_ctl import decisions
from sapphire_ctl.decisions import Reading

KEY = "config"
# Longest time to repeat a read before anything was written, so that a command
# fails soon while the platform is down.
READ_PATIENCE_S = 3.0
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0


class KeyValue(Protocol):
    """The part of the platform client that this module uses."""

    async def get(self, key: str) -> VersionedValue:
        """Reads a key."""

    async def put(self, key: str, value: str, expect: int) -> int:
        """Writes a key if it is at the expected version."""


class Backoff:
    """Pauses that grow up to a bound, until a time limit."""

    def __init__(self, limit_s: float) -> None:
        self._end = trio.current_time() + limit_s
        self._pause_s = MIN_PAUSE_S

    async def wait(self) -> bool:
        """Pauses; returns False, without a pause, after the limit."""
        if trio.current_time() >= self._end:
            return False
        # Writers that lost the same race must not retry in step.
        await trio.sleep(self._pause_s * random.uniform(0.5, 1.0))
        self._pause_s = min(2 * self._pause_s, MAX_PAUSE_S)
        return True


class ConfigStore:
    """The configuration key.

    Args:
        platform: Client of the key-value service.
        patience_s: Seconds to settle a write whose answer was lost.
    """

    def __init__(self, platform: KeyValue, patience_s: float) -> None:
        self._platform = platform
        self._patience_s = patience_s
        self._pending: str | None = None

    @property
    def pending_change(self) -> str | None:
        """Id of the change whose write was begun and is not settled."""
        return self._pending

    async def read(self, at_least: int = 0, revision: int = 0) -> Reading:
        """Reads the configuration, and reads again while it is too old.

        Args:
            at_least: Version of the key that is known to exist.
            revision: Revision of the document that should exist. If it is
                not seen in time, the newest value seen is returned.

        Raises:
            PlatformUnavailableError: No answer, or only values older than
                at_least.
            ChangeRefusedError: The stored value is not a valid document.
        """
        backoff = Backoff(READ_PATIENCE_S)
        newest: Reading | None = None
        problem = PlatformUnavailableError(
            f"the platform returned only values before version {at_least}."
        )
        while True:
            try:
                found = await self._get()
                if found.version >= at_least and (
                    newest is None or found.version > newest.version
                ):
                    newest = found
            except PlatformUnavailableError as error:
                problem = error
            if newest is not None and newest.revision >= revision:
                return newest
            if not await backoff.wait():
                break
        if newest is None:
            raise problem
        return newest

    async def replace(self, base: Reading, stored: StoredDocument) -> None:
        """Replaces the base by a new value.

        A lost answer is settled by reading the change id back. While the
        read shows no later version, the same write is sent again: at most
        one of the two can take effect, and both hold the same change.

        Raises:
            WriteConflictError: Another write came first; this one did not
                and will not take effect.
            PlatformUnavailableError: The write was not sent.
            ChangeUnknownError: The write could not be settled in time.
        """
        value = decisions.encode(stored)
        self._pending = stored.change_id
        lost_answer = False
        backoff = Backoff(self._patience_s)
        while True:
            try:
                await self._put(value, base.version)
            except (WriteConflictError, PlatformUnavailableError):
                if not lost_answer:
                    self._pending = None
                    raise
            except WriteUnknownError:
                lost_answer = True
            else:
                break
            if await self._is_applied(base, stored):
                break
            if not await backoff.wait():
                raise ChangeUnknownError(
                    stored.change_id,
                    "the answer to the write was lost and reading it back"
                    f" did not settle it within {self._patience_s:g} s",
                )
        self._pending = None

    async def _is_applied(self, base: Reading, stored: StoredDocument) -> bool:
        try:
            found = await self._get()
        except PlatformUnavailableError:
            return False
        except ChangeRefusedError as error:
            raise ChangeUnknownError(
                stored.change_id, "the value read back is not valid"
            ) from error
        resolution = decisions.resolve(base, stored, found)
        if resolution is Resolution.REFUSED:
            self._pending = None
            raise WriteConflictError(KEY, base.version, found.version)
        if resolution is Resolution.FORGOTTEN:
            raise ChangeUnknownError(
                stored.change_id,
                f"revision {found.revision} no longer lists a change as old"
                f" as revision {stored.revision}",
            )
        return resolution is Resolution.ACCEPTED

    async def _get(self) -> Reading:
        try:
            item = await self._platform.get(KEY)
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(
                "the platform's answer to a read is malformed."
            ) from error
        if item.version == 0:
            return Reading(0, None)
        try:
            stored = parse(StoredDocument, item.value)
        except SettingsError as error:
            raise ChangeRefusedError(
                f"the stored configuration is not valid: {error.message}",
                "Use the release of sapphirecross-ctl that wrote it.",
            ) from error
        return Reading(item.version, stored)

    async def _put(self, value: str, expect: int) -> None:
        try:
            await self._platform.put(KEY, value, expect)
        except (ValueError, KeyError, TypeError) as error:
            raise WriteUnknownError(
                "the platform's answer to a write is malformed."
            ) from error
