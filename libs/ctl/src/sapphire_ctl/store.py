"""Reads and replaces the configuration in the platform's key-value store."""

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
    WriteUnconfirmedError,
)
from sapphire_wire.platform import VersionedValue

from sapphire_ctl import revisions
from sapphire_ctl.revisions import ReadResult

CONFIG_KEY = "config"
# Limits the retries of a read, so that a command fails soon while the platform
# is down.
READ_RETRY_LIMIT_S = 3.0
# First and longest delay between attempts, before jitter.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0


class KeyValue(Protocol):
    """The part of the platform client that this module uses."""

    async def get(self, key: str) -> VersionedValue:
        """Reads a key."""

    async def put(self, key: str, value: str, expect: int) -> int:
        """Writes a key if it is at the expected version."""


class Backoff:
    """Exponential backoff with jitter and a time limit."""

    def __init__(self, limit_s: float) -> None:
        self._end = trio.current_time() + limit_s
        self._delay_s = MIN_RETRY_DELAY_S

    async def wait(self) -> bool:
        """Sleeps and returns True; after the time limit, returns False."""
        if trio.current_time() >= self._end:
            return False
        # Jitter keeps writers that had the same conflict from retrying at the
        # same time.
        await trio.sleep(self._delay_s * random.uniform(0.5, 1.0))
        self._delay_s = min(2 * self._delay_s, MAX_RETRY_DELAY_S)
        return True


class ConfigStore:
    """Access to the configuration key.

    Args:
        platform: Client of the key-value service.
        resolve_timeout_s: Time limit for resolving a write whose response was
            lost.
    """

    def __init__(self, platform: KeyValue, resolve_timeout_s: float) -> None:
        self._platform = platform
        self._resolve_timeout_s = resolve_timeout_s
        self._pending_change_id: str | None = None

    @property
    def pending_change(self) -> str | None:
        """Id of the change whose write may or may not have taken effect."""
        return self._pending_change_id

    async def read(
        self, min_version: int = 0, expected_revision: int = 0
    ) -> ReadResult:
        """Reads the configuration; retries after failures and stale values.

        Args:
            min_version: Version of the key that is known to exist.
            expected_revision: Revision that is expected to exist. If no read
                returns it or a later one within READ_RETRY_LIMIT_S, the newest
                value is returned.

        Raises:
            PlatformUnavailableError: No response, or only values older than
                min_version.
            ChangeRefusedError: The stored value is not a valid document, so
                neither showing nor changing it is possible.
        """
        backoff = Backoff(READ_RETRY_LIMIT_S)
        newest: ReadResult | None = None
        problem = PlatformUnavailableError(
            "the platform returned only values older than version"
            f" {min_version}."
        )
        while True:
            try:
                found = await self._get()
                if found.version >= min_version and (
                    newest is None or found.version > newest.version
                ):
                    newest = found
            except PlatformUnavailableError as error:
                problem = error
            if newest is not None and newest.revision >= expected_revision:
                return newest
            if not await backoff.wait():
                break
        if newest is None:
            raise problem
        return newest

    async def replace(self, base: ReadResult, stored: StoredDocument) -> None:
        """Replaces the base with a new value.

        If the response is lost, the key is read back to look for the change
        id. While the read fails or shows no later version, the same write is
        sent again. Both writes expect the same version of the key, so at most
        one of them can take effect, and both contain the same change.

        Raises:
            WriteConflictError: Another write took effect first; this one did
                not and will not take effect.
            PlatformUnavailableError: The write was not sent.
            ChangeUnknownError: The write could not be resolved in time.
        """
        value = revisions.encode(stored)
        self._pending_change_id = stored.change_id
        response_lost = False
        backoff = Backoff(self._resolve_timeout_s)
        while True:
            try:
                await self._put(value, base.version)
            except (WriteConflictError, PlatformUnavailableError):
                # After a lost response, the error of a repeated write does not
                # show whether the first write took effect: the first write may
                # have caused the conflict. Reading the key back shows it.
                if not response_lost:
                    self._pending_change_id = None
                    raise
            except WriteUnconfirmedError:
                response_lost = True
            else:
                break
            if await self._resolve_write(base, stored):
                break
            if not await backoff.wait():
                raise ChangeUnknownError(
                    stored.change_id,
                    "the response to the write was lost and reading the key"
                    " back did not show its result within"
                    f" {self._resolve_timeout_s:g} s",
                )
        self._pending_change_id = None

    async def _resolve_write(
        self, base: ReadResult, stored: StoredDocument
    ) -> bool:
        """Returns True if a write took effect, False if that is not known yet.

        Raises:
            WriteConflictError: Another write took effect first, so this one is
                no longer pending.
            ChangeUnknownError: The value read back can't show the result.
        """
        try:
            found = await self._get()
        except PlatformUnavailableError:
            return False
        except ChangeRefusedError as error:
            raise ChangeUnknownError(
                stored.change_id, "the value read back is not valid"
            ) from error
        resolution = revisions.resolve(base, stored, found)
        if resolution is Resolution.REFUSED:
            self._pending_change_id = None
            raise WriteConflictError(CONFIG_KEY, base.version, found.version)
        if resolution is Resolution.HISTORY_TRUNCATED:
            raise ChangeUnknownError(
                stored.change_id,
                f"revision {found.revision} no longer lists a change as old"
                f" as revision {stored.revision}",
            )
        return resolution is Resolution.ACCEPTED

    async def _get(self) -> ReadResult:
        try:
            item = await self._platform.get(CONFIG_KEY)
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailableError(
                "the platform's response to a read is malformed."
            ) from error
        if item.version == 0:
            return ReadResult(0, None)
        try:
            stored = parse(StoredDocument, item.value)
        except SettingsError as error:
            raise ChangeRefusedError(
                f"the stored configuration is not valid: {error.message}",
                "Use the release of sapphirecross-ctl that wrote it.",
            ) from error
        return ReadResult(item.version, stored)

    async def _put(self, value: str, expect: int) -> None:
        try:
            await self._platform.put(CONFIG_KEY, value, expect)
        except (ValueError, KeyError, TypeError) as error:
            raise WriteUnconfirmedError(
                "the platform's response to a write is malformed."
            ) from error
