"""The current configuration, received from the platform or an aggregator."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

import trio
from eliot import log_message
from sapphire_config.document import (
    Document,
    RequestClass,
    Service,
    StoredDocument,
    parse,
)
from sapphire_core.adoption import Adoption, ConfigDocument, Source
from sapphire_core.errors import (
    ChannelError,
    PlatformUnavailableError,
    SettingsError,
)
from sapphire_wire.gen.ttypes import FetchConfig, Frame
from sapphire_wire.platform import VersionedValue

from sapphire_entry import metrics
from sapphire_entry.submit import KeyValueStore
from sapphire_entry.views import Aggregator

CONFIG_KEY = "config"
# Backoff between failed calls to the platform, plus up to 50 percent of
# jitter. Aggregators distribute new revisions during an outage.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 5.0
# Minimum interval between watches: a watch can return an old value at once.
MIN_WATCH_INTERVAL_S = 0.1
FETCH_TIMEOUT_S = 2.0


class CurrentConfig:
    """A configuration revision with lookup tables for request processing."""

    def __init__(self, stored: StoredDocument, text: str) -> None:
        self.revision = stored.revision
        self.text = text
        self.document: Document = stored.document
        self._services = {s.name: s for s in stored.document.services}
        self._classes = {
            (service.name, item.name): item
            for service in stored.document.services
            for item in service.classes
        }
        self._leaf_domains = {
            (service.name, leaf.address): leaf.failure_domain
            for service in stored.document.services
            for leaf in service.leaves
        }
        self._domains_out = frozenset(stored.document.out_failure_domains)
        self._vms_out = frozenset(stored.document.out_vms)

    def service(self, name: str) -> Service | None:
        """Returns a service, or None if it is not configured."""
        return self._services.get(name)

    def request_class(self, service: str, name: str) -> RequestClass | None:
        """Returns a request class, or None if it is not configured."""
        return self._classes.get((service, name))

    def priorities(self) -> set[int]:
        """Returns the priorities of all request classes."""
        return {item.priority for item in self._classes.values()}

    def is_out_of_service(self, vm: str, failure_domain: str) -> bool:
        """Whether a VM or its failure domain is out of service."""
        return vm in self._vms_out or failure_domain in self._domains_out

    def is_leaf_configured(self, service: str, leaf: str) -> bool:
        """Whether the document contains a leaf."""
        return (service, leaf) in self._leaf_domains

    def is_leaf_in_service(
        self, service: str, leaf: str, failure_domain: str
    ) -> bool:
        """Whether a leaf is configured and in service.

        Both the configured and the reported failure domain are checked.
        """
        domain = self._leaf_domains.get((service, leaf))
        if domain is None:
            return False
        vm = leaf.rpartition(":")[0]
        out = self.is_out_of_service(vm, domain)
        return not out and failure_domain not in self._domains_out

    def leaves_in_service(self, service: str) -> list[str]:
        """Returns the addresses of the leaves that are in service."""
        return [
            leaf
            for name, leaf in self._leaf_domains
            if name == service and self.is_leaf_in_service(name, leaf, "")
        ]


class ConfigTracker:
    """Adopts the highest revision from the platform or an aggregator."""

    def __init__(self, platform: KeyValueStore, rng: Random) -> None:
        """Creates a tracker without a configuration."""
        self._platform = platform
        self._rng = rng
        self._adoption = Adoption()
        self._current: CurrentConfig | None = None
        self._fetching = False
        self.on_adopted: Callable[[CurrentConfig], None] = lambda current: None

    @property
    def current(self) -> CurrentConfig | None:
        """The current configuration; None before the first one."""
        return self._current

    @property
    def revision(self) -> int:
        """The current revision; 0 before the first one."""
        return self._adoption.revision

    def adopt(self, text: str, source: Source) -> bool:
        """Adopts a stored document if its revision is higher.

        A document that this version of the daemon can't parse is logged and
        ignored; the previous one remains current.
        """
        try:
            stored = parse(StoredDocument, text)
        except SettingsError as error:
            log_message("config_rejected", error=str(error))
            return False
        if not self._adoption.adopt(
            ConfigDocument(stored.revision, text, source)
        ):
            return False
        self._current = CurrentConfig(stored, text)
        metrics.CONFIG_REVISION.set(stored.revision)
        log_message("config_adopted", revision=stored.revision)
        self.on_adopted(self._current)
        return True

    async def watch(self) -> None:
        """Watches the configuration key until cancelled."""
        after, backoff_s = 0, INITIAL_BACKOFF_S
        while True:
            started = trio.current_time()
            try:
                item = await self._read(after)
                if item.version > after:
                    after = item.version
                    self.adopt(item.value, Source.WATCH)
            except Exception as error:
                # A malformed response is handled like an outage.
                if not isinstance(error, PlatformUnavailableError):
                    log_message("bad_platform_answer", error=repr(error))
                await trio.sleep(backoff_s * (1 + self._rng.random() / 2))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            backoff_s = INITIAL_BACKOFF_S
            await trio.sleep_until(started + MIN_WATCH_INTERVAL_S)

    async def _read(self, after: int) -> VersionedValue:
        if after == 0:
            item = await self._platform.get(CONFIG_KEY)
            if item.version:
                return item
        return await self._platform.watch(CONFIG_KEY, after)

    async def fetch(self, aggregator: Aggregator) -> None:
        """Fetches a higher revision that an aggregator has reported."""
        if not self._adoption.observe_revision(aggregator.config_revision):
            return
        if self._fetching:
            return
        self._fetching = True
        try:
            with trio.fail_after(FETCH_TIMEOUT_S):
                reply = await aggregator.peer.request(
                    Frame(fetch_config=FetchConfig())
                )
            self._handle_reply(reply)
        except (ChannelError, trio.TooSlowError):
            # The next view reply repeats the revision, which triggers a retry.
            pass
        except Exception as error:
            log_message("bad_config_reply", error=repr(error))
        finally:
            self._fetching = False

    def _handle_reply(self, frame: Any) -> None:
        reply = frame.config_reply
        if reply is not None and reply.revision > self.revision:
            self.adopt(reply.document, Source.PEER)
