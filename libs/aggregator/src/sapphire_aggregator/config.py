"""Adoption of the configuration, from the platform and from peers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import trio
from sapphire_config.document import StoredDocument, parse
from sapphire_core.adoption import Adoption, ConfigDocument, Source
from sapphire_core.errors import (
    ChannelError,
    PlatformUnavailableError,
    SettingsError,
)
from sapphire_wire.gen.ttypes import ConfigReply, FetchConfig, Frame
from sapphire_wire.platform import VersionedValue

from sapphire_aggregator import log, metrics
from sapphire_aggregator.backoff import Backoff

CONFIG_KEY = "config"
FETCH_TIMEOUT_S = 1.0
# Shortest interval between two watches, in case the platform does not wait.
MIN_WATCH_INTERVAL_S = 0.1


class PlatformReader(Protocol):
    """The methods of the platform client that ConfigStore uses."""

    async def get(self, key: str) -> VersionedValue:
        """Reads a key."""
        ...

    async def watch(self, key: str, after: int) -> VersionedValue:
        """Waits for a value of a key that is newer than a version."""
        ...


RequestPeer = Callable[[str, Frame], Awaitable[Any]]


class ConfigStore:
    """Holds the configuration of the highest revision received."""

    def __init__(self, on_change: Callable[[StoredDocument], None]) -> None:
        self._on_change = on_change
        self._adoption = Adoption()
        self._stored: StoredDocument | None = None
        self._peer_revision: tuple[int, str] | None = None
        self._peer_revision_changed = trio.Event()

    @property
    def stored(self) -> StoredDocument | None:
        """The configuration in force; None before the first one."""
        return self._stored

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first one."""
        return self._adoption.revision

    def reply(self) -> ConfigReply:
        """Returns the answer to FetchConfig."""
        current = self._adoption.current
        return ConfigReply(
            revision=self.revision,
            document=current.document if current else "",
        )

    def offer(self, text: str, source: Source) -> bool:
        """Adopts a stored document if its revision is higher.

        Returns:
            Whether the document was adopted.

        Raises:
            SettingsError: The text is not a valid stored document.
        """
        stored = parse(StoredDocument, text)
        if not self._adoption.adopt(
            ConfigDocument(stored.revision, text, source)
        ):
            return False
        self._stored = stored
        metrics.CONFIG_REVISION.set(stored.revision)
        log.event(
            "config_adopted", revision=stored.revision, source=source.value
        )
        self._on_change(stored)
        return True

    def on_peer_revision(self, revision: int | None, address: str) -> None:
        """Schedules a fetch if a peer announces a higher revision."""
        if revision is not None and self._adoption.observe_revision(revision):
            self._peer_revision = (revision, address)
            self._peer_revision_changed.set()

    async def run_watch(self, platform: PlatformReader) -> None:
        """Watches the configuration on the platform until cancelled."""
        backoff = Backoff()
        after: int | None = None
        while True:
            started = trio.current_time()
            try:
                if after is None:
                    item = await platform.get(CONFIG_KEY)
                else:
                    item = await platform.watch(CONFIG_KEY, after)
                if item.version:
                    self.offer(
                        item.value,
                        Source.PLATFORM if after is None else Source.WATCH,
                    )
            except PlatformUnavailableError:
                await trio.sleep(backoff.next_s())
            except Exception as error:
                # An invalid document must not end the watch.
                _report_error("config_watch", error)
                await trio.sleep(backoff.next_s())
                after = None
            else:
                backoff.reset()
                after = max(after or 0, item.version)
                await trio.sleep_until(started + MIN_WATCH_INTERVAL_S)

    async def run_peers(self, request_peer: RequestPeer) -> None:
        """Fetches the revisions that peers announce, until cancelled."""
        backoff = Backoff()
        while True:
            await self._peer_revision_changed.wait()
            self._peer_revision_changed = trio.Event()
            announced, self._peer_revision = self._peer_revision, None
            if announced is None or announced[0] <= self.revision:
                continue
            try:
                with trio.fail_after(FETCH_TIMEOUT_S):
                    frame = Frame(fetch_config=FetchConfig())
                    answer = await request_peer(announced[1], frame)
                if answer.config_reply.revision:
                    self.offer(answer.config_reply.document, Source.PEER)
            except (ChannelError, trio.TooSlowError):
                await trio.sleep(backoff.next_s())
            except Exception as error:
                _report_error("config_fetch", error)
                await trio.sleep(backoff.next_s())
            else:
                backoff.reset()


def _report_error(place: str, error: Exception) -> None:
    metrics.UNEXPECTED_ERRORS.labels(place).inc()
    if isinstance(error, SettingsError):
        log.event("config_refused", place=place, error=str(error))
    else:
        log.unexpected_error(place, error)
