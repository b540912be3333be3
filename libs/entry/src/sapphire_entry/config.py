"""The configuration in force, from the platform and from peers."""

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
from sapphire_core.adoption import Adoption, Offer
from sapphire_core.adoption import Source as Origin
from sapphire_core.errors import (
    ChannelError,
    PlatformUnavailableError,
    SettingsError,
)
from sapphire_wire.gen.ttypes import FetchConfig, Frame
from sapphire_wire.platform import VersionedValue

from sapphire_entry import metrics
from sapphire_entry.submit import KeyValue
from sapphire_entry.views import Source

KEY = "config"
# Pauses between failed calls to the platform, with up to half added at
# random; peers carry new revisions meanwhile.
FIRST_BACKOFF_S = 0.25
MAX_BACKOFF_S = 5.0
# Shortest time between two watches; an old value may end a watch at once.
MIN_WATCH_S = 0.1
FETCH_TIMEOUT_S = 2.0


class InForce:
    """One revision of the document, with what requests look up in it."""

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
        self._leaves = {
            (service.name, leaf.address): leaf.failure_domain
            for service in stored.document.services
            for leaf in service.leaves
        }
        self._out_domains = frozenset(stored.document.out_failure_domains)
        self._out_vms = frozenset(stored.document.out_vms)

    def service(self, name: str) -> Service | None:
        """Returns a service, or None."""
        return self._services.get(name)

    def request_class(self, service: str, name: str) -> RequestClass | None:
        """Returns a class of a service, or None."""
        return self._classes.get((service, name))

    def priorities(self) -> set[int]:
        """Returns the priorities of all classes."""
        return {item.priority for item in self._classes.values()}

    def is_place_out(self, vm: str, failure_domain: str) -> bool:
        """Whether operators have taken a VM or its domain out."""
        return vm in self._out_vms or failure_domain in self._out_domains

    def is_leaf_configured(self, service: str, leaf: str) -> bool:
        """Whether the document names a leaf."""
        return (service, leaf) in self._leaves

    def is_leaf_in(self, service: str, leaf: str, failure_domain: str) -> bool:
        """Whether a leaf is configured and in service."""
        domain = self._leaves.get((service, leaf))
        if domain is None:
            return False
        vm = leaf.rpartition(":")[0]
        out = self.is_place_out(vm, domain)
        return not out and failure_domain not in self._out_domains

    def leaves_in(self, service: str) -> list[str]:
        """Returns the leaves of a service that are in service."""
        return [
            leaf
            for name, leaf in self._leaves
            if name == service and self.is_leaf_in(name, leaf, "")
        ]


class Config:
    """Adopts the highest revision that the platform or a peer offers."""

    def __init__(self, platform: KeyValue, rng: Random) -> None:
        """Starts without a configuration."""
        self._platform = platform
        self._rng = rng
        self._adoption = Adoption()
        self._in_force: InForce | None = None
        self._fetching = False
        self.on_adopted: Callable[[InForce], None] = lambda in_force: None

    @property
    def in_force(self) -> InForce | None:
        """The revision in force, or None before the first."""
        return self._in_force

    @property
    def revision(self) -> int:
        """Revision in force; 0 before the first."""
        return self._adoption.revision

    def adopt(self, text: str, origin: Origin) -> bool:
        """Adopts a stored document if its revision is higher.

        A document that this version of the daemon can't read is reported
        and not adopted; the former one stays in force.
        """
        try:
            stored = parse(StoredDocument, text)
        except SettingsError as error:
            log_message("config_rejected", error=str(error))
            return False
        if not self._adoption.offer(Offer(stored.revision, text, origin)):
            return False
        self._in_force = InForce(stored, text)
        metrics.CONFIG_REVISION.set(stored.revision)
        log_message("config_adopted", revision=stored.revision)
        self.on_adopted(self._in_force)
        return True

    async def watch(self) -> None:
        """Follows the platform's key until cancelled."""
        after, backoff_s = 0, FIRST_BACKOFF_S
        while True:
            started = trio.current_time()
            try:
                item = await self._read(after)
                if item.version > after:
                    after = item.version
                    self.adopt(item.value, Origin.WATCH)
            except Exception as error:
                # Malformed answers count as an outage, too.
                if not isinstance(error, PlatformUnavailableError):
                    log_message("bad_platform_answer", error=repr(error))
                await trio.sleep(backoff_s * (1 + self._rng.random() / 2))
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
                continue
            backoff_s = FIRST_BACKOFF_S
            await trio.sleep_until(started + MIN_WATCH_S)

    async def _read(self, after: int) -> VersionedValue:
        if after == 0:
            item = await self._platform.get(KEY)
            if item.version:
                return item
        return await self._platform.watch(KEY, after)

    async def fetch(self, source: Source) -> None:
        """Asks an aggregator that has mentioned a higher revision."""
        if not self._adoption.observe_revision(source.config_revision):
            return
        if self._fetching:
            return
        self._fetching = True
        try:
            with trio.fail_after(FETCH_TIMEOUT_S):
                reply = await source.peer.request(
                    Frame(fetch_config=FetchConfig())
                )
            self._take(reply)
        except (ChannelError, trio.TooSlowError):
            # The next view mentions the revision again.
            pass
        except Exception as error:
            log_message("bad_config_reply", error=repr(error))
        finally:
            self._fetching = False

    def _take(self, frame: Any) -> None:
        reply = frame.config_reply
        if reply is not None and reply.revision > self.revision:
            self.adopt(reply.document, Origin.PEER)
