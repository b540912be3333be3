"""Connects the components of an entry daemon."""

from __future__ import annotations

import os
from random import Random
from typing import Any

import trio
from eliot import log_message
from sapphire_config.settings import EntrySettings
from sapphire_core.admission import Admission
from sapphire_core.budget import Budget
from sapphire_core.errors import NotReadyError, PlatformUnavailableError
from sapphire_wire import channel
from sapphire_wire.gen.ttypes import ConfigReply, EntryRecord, Frame
from sapphire_wire.platform import PlatformClient

from sapphire_entry.addresses import Address, AddressRotation, usable_addresses
from sapphire_entry.config import ConfigTracker, CurrentConfig
from sapphire_entry.crash_tracker import CrashTracker
from sapphire_entry.lifecycle import Lifecycle
from sapphire_entry.search import Searcher
from sapphire_entry.submit import KeyValueStore, Submitter
from sapphire_entry.views import Aggregator, AggregatorPool

DEFAULT_HEDGE_SHARE = 0.05
DEFAULT_QUARANTINE_S = 600.0
VM_LIST_POLL_INTERVAL_S = 2.0


class Entry:
    """The components of an entry; their tasks run in the given nursery."""

    def __init__(
        self,
        settings: EntrySettings,
        nursery: trio.Nursery,
        platform: PlatformClient,
        watcher: KeyValueStore,
        seed: int | None = None,
    ) -> None:
        """Connects the components; start launches their tasks.

        Args:
            settings: Settings of the process.
            nursery: Runs the background tasks.
            platform: Client of the key-value store and the VM list.
            watcher: Separate client for long-polling watches.
            seed: Seed of the random number generators; None for a random one.
        """
        if seed is None:
            seed = int.from_bytes(os.urandom(8), "big")
        self.settings = settings
        self.address = settings.listen
        self.lifecycle = Lifecycle()
        self.config = ConfigTracker(watcher, Random(seed))
        self.aggregator_pool = AggregatorPool(
            settings.seeds,
            nursery,
            self.own_record,
            lambda: self.config.revision,
        )
        self.crash_tracker = CrashTracker(DEFAULT_QUARANTINE_S)
        self.budget = Budget(DEFAULT_HEDGE_SHARE)
        self.admission = Admission()
        self.searcher = Searcher(
            self.aggregator_pool,
            self.crash_tracker,
            self.budget,
            self.admission,
            Random(seed + 1),
        )
        self.submitter = Submitter(
            self.aggregator_pool, platform, watcher, nursery, Random(seed + 2)
        )
        self._platform = platform
        self._nursery = nursery
        self._rotation = AddressRotation(seed % 1009)
        self._leaving_vms: frozenset[str] = frozenset()
        self.config.on_adopted = self._apply_config
        self.aggregator_pool.on_reply = self._handle_view_reply
        self.lifecycle.on_change = self.aggregator_pool.refresh

    async def start(self) -> None:
        """Starts all background tasks."""
        host, _, port = self.settings.frames.rpartition(":")
        await self._nursery.start(channel.serve, self._handle, host, int(port))
        self.aggregator_pool.start()
        self._nursery.start_soon(self.config.watch)
        if self.settings.vm_list is not None:
            self._nursery.start_soon(self._watch_vms)

    def current_config(self) -> CurrentConfig:
        """Returns the current configuration.

        Raises:
            NotReadyError: No configuration is known yet.
        """
        current = self.config.current
        if current is None:
            raise NotReadyError("the entry has no configuration yet.")
        return current

    def own_record(self) -> Any:
        """Returns the record that announces this entry to the others."""
        return EntryRecord(
            address=self.address,
            vm=self.settings.vm,
            failure_domain=self.settings.failure_domain,
            ready=self.lifecycle.is_listed,
            stamp=self.lifecycle.stamp,
            frames=self.settings.frames,
        )

    def addresses(self, preferred_domain: str | None) -> list[Address]:
        """Returns the entries that accept callers, in the order to try."""
        records = {
            **self.aggregator_pool.entries(),
            self.address: self.own_record(),
        }
        listed = usable_addresses(records.values(), self._is_out_of_service)
        return self._rotation.order(listed, preferred_domain)

    def _is_out_of_service(self, vm: str, failure_domain: str) -> bool:
        if vm in self._leaving_vms:
            return True
        current = self.config.current
        return current is not None and current.is_out_of_service(
            vm, failure_domain
        )

    def _apply_config(self, current: CurrentConfig) -> None:
        limits = current.document.limits
        self.lifecycle.address_ttl_s = limits.address_keep_ms / 1000
        self.crash_tracker.set_expiry(limits.quarantine_s)
        self.budget.set_share(limits.hedge_share)
        self.admission.configure(limits.max_concurrent, current.priorities())
        self.aggregator_pool.table.apply_configuration(
            current.is_leaf_in_service, current.is_leaf_configured
        )
        leaves = {
            service.name: frozenset(current.leaves_in_service(service.name))
            for service in current.document.services
        }
        self.aggregator_pool.discovery.configure(leaves, trio.current_time())
        self._update_lifecycle()

    def _handle_view_reply(self, aggregator: Aggregator, reply: Any) -> None:
        if reply.quarantine:
            self.crash_tracker.merge_records(
                reply.quarantine, trio.current_time()
            )
        if aggregator.config_revision > self.config.revision:
            self._nursery.start_soon(self.config.fetch, aggregator)
        self._update_lifecycle()

    def _update_lifecycle(self) -> None:
        out = self._is_out_of_service(
            self.settings.vm, self.settings.failure_domain
        )
        self.lifecycle.set_out_of_service(out)
        reached = any(
            s.is_reachable for s in self.aggregator_pool.aggregators.values()
        )
        if self.config.current is not None and reached:
            self.lifecycle.finish_startup(out)

    async def _watch_vms(self) -> None:
        while True:
            try:
                lists = await self._platform.vms()
            except PlatformUnavailableError:
                pass
            except Exception as error:
                # A malformed VM list must not end the daemon; the last valid
                # list remains in use.
                log_message("bad_vm_list", error=repr(error))
            else:
                self._leaving_vms = lists.leaving
            await trio.sleep(VM_LIST_POLL_INTERVAL_S)

    async def _handle(self, frame: Any, reply: channel.Reply) -> None:
        if frame.fetch_config is None:
            return
        current = self.config.current
        answer = ConfigReply(
            revision=self.config.revision,
            document=current.text if current else "",
        )
        reply(Frame(config_reply=answer))
