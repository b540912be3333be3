"""The parts of an entry daemon and what they tell each other."""

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

from sapphire_entry.addresses import Address, Rotation, usable
from sapphire_entry.config import Config, InForce
from sapphire_entry.search import Searcher
from sapphire_entry.standing import Standing
from sapphire_entry.submit import KeyValue, Submitter
from sapphire_entry.suspects import Suspects
from sapphire_entry.views import Source, Views

DEFAULT_HEDGE_SHARE = 0.05
DEFAULT_QUARANTINE_S = 600.0
VM_LIST_S = 2.0


class Entry:
    """All parts of one entry; owned by the nursery that it is given."""

    def __init__(
        self,
        settings: EntrySettings,
        nursery: trio.Nursery,
        platform: PlatformClient,
        watcher: KeyValue,
        seed: int | None = None,
    ) -> None:
        """Connects the parts; start begins their work.

        Args:
            settings: Settings of the process.
            nursery: Runs the parts.
            platform: Client of the key-value service and VM list.
            watcher: Client for waiting watches.
            seed: Seed of the random choices; None draws one.
        """
        if seed is None:
            seed = int.from_bytes(os.urandom(8), "big")
        self.settings = settings
        self.address = settings.listen
        self.standing = Standing()
        self.config = Config(watcher, Random(seed))
        self.views = Views(
            settings.seeds, nursery, self.record, lambda: self.config.revision
        )
        self.suspects = Suspects(DEFAULT_QUARANTINE_S)
        self.budget = Budget(DEFAULT_HEDGE_SHARE)
        self.admission = Admission()
        self.searcher = Searcher(
            self.views,
            self.suspects,
            self.budget,
            self.admission,
            Random(seed + 1),
        )
        self.submitter = Submitter(
            self.views, platform, watcher, nursery, Random(seed + 2)
        )
        self._platform = platform
        self._nursery = nursery
        self._rotation = Rotation(seed % 1009)
        self._leaving_vms: frozenset[str] = frozenset()
        self.config.on_adopted = self._apply
        self.views.on_reply = self._hear
        self.standing.on_change = self.views.refresh

    async def start(self) -> None:
        """Begins all background work."""
        host, _, port = self.settings.frames.rpartition(":")
        await self._nursery.start(channel.serve, self._handle, host, int(port))
        self.views.start()
        self._nursery.start_soon(self.config.watch)
        if self.settings.vm_list is not None:
            self._nursery.start_soon(self._watch_vms)

    def in_force(self) -> InForce:
        """Returns the configuration in force.

        Raises:
            NotReadyError: No configuration is known yet.
        """
        in_force = self.config.in_force
        if in_force is None:
            raise NotReadyError("the entry has no configuration yet.")
        return in_force

    def record(self) -> Any:
        """Returns what this entry tells the others about itself."""
        return EntryRecord(
            address=self.address,
            vm=self.settings.vm,
            failure_domain=self.settings.failure_domain,
            ready=self.standing.is_listed,
            stamp=self.standing.stamp,
            frames=self.settings.frames,
        )

    def addresses(self, nearest: str | None) -> list[Address]:
        """Returns the entries that callers may use, in order of use."""
        records = {**self.views.entries(), self.address: self.record()}
        listed = usable(records.values(), self._is_place_out)
        return self._rotation.order(listed, nearest)

    def _is_place_out(self, vm: str, failure_domain: str) -> bool:
        if vm in self._leaving_vms:
            return True
        in_force = self.config.in_force
        return in_force is not None and in_force.is_place_out(
            vm, failure_domain
        )

    def _apply(self, in_force: InForce) -> None:
        limits = in_force.document.limits
        self.standing.keep_s = limits.address_keep_ms / 1000
        self.suspects.set_expiry(limits.quarantine_s)
        self.budget.set_share(limits.hedge_share)
        self.admission.configure(limits.max_concurrent, in_force.priorities())
        self.views.table.set_filter(
            in_force.is_leaf_in, in_force.is_leaf_configured
        )
        self._update_standing()

    def _hear(self, source: Source, reply: Any) -> None:
        if reply.quarantine:
            self.suspects.take(reply.quarantine, trio.current_time())
        if source.config_revision > self.config.revision:
            self._nursery.start_soon(self.config.fetch, source)
        self._update_standing()

    def _update_standing(self) -> None:
        out = self._is_place_out(self.settings.vm, self.settings.failure_domain)
        self.standing.set_out(out)
        reached = any(s.is_reached for s in self.views.sources.values())
        if self.config.in_force is not None and reached:
            self.standing.set_ready(out)

    async def _watch_vms(self) -> None:
        while True:
            try:
                lists = await self._platform.vms()
            except PlatformUnavailableError:
                pass
            except Exception as error:
                # The list is outside data; the last good one stays.
                log_message("bad_vm_list", error=repr(error))
            else:
                self._leaving_vms = lists.leaving
            await trio.sleep(VM_LIST_S)

    async def _handle(self, frame: Any, reply: channel.Reply) -> None:
        if frame.fetch_config is None:
            return
        in_force = self.config.in_force
        answer = ConfigReply(
            revision=self.config.revision,
            document=in_force.text if in_force else "",
        )
        reply(Frame(config_reply=answer))
