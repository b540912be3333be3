"""What the aggregators report: leaves, entries, quarantine, revisions."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio
from eliot import log_message
from sapphire_core.errors import ChannelError
from sapphire_core.shardmap import (
    HeldVersion,
    Replica,
    ReplicaState,
    ShardMap,
    select_map,
)
from sapphire_wire.channel import Peer
from sapphire_wire.gen.ttypes import Frame, View

POLL_S = 0.5
# Queries that find stale views ask for new ones at most this often.
MIN_REFRESH_S = 0.05
# An aggregator that answers no poll for a second holds leaves only in
# theory; its leaves are used again after the next answer.
POLL_TIMEOUT_S = 1.0
# An aggregator that is no seed and that no other names is forgotten.
FORGET_S = 60.0
# No view has this sequence number, so that the reply is a whole view.
NOTHING_KNOWN = -1


@dataclass(slots=True)
class Source:
    """One aggregator and what it reported last."""

    peer: Peer
    leaves: set[str] = field(default_factory=set)
    peers: frozenset[str] = frozenset()
    entries: dict[str, Any] = field(default_factory=dict)
    sequence: int = NOTHING_KNOWN
    entries_sequence: int | None = None
    is_reached: bool = False
    is_stale: bool = False
    is_leaving: bool = False
    last_reply: float = -math.inf
    config_revision: int = 0


class LeafTable:
    """All leaves that were ever reported, by service and address."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, Replica]] = {}
        self._maps: dict[str, ShardMap | None] = {}
        self._is_in_service: Callable[[str, str, str], bool] = (
            lambda service, leaf, domain: True
        )

    def shard_map(self, service: str) -> ShardMap | None:
        """Returns the map to serve, or None if no leaf is known."""
        if service not in self._maps:
            replicas = self._services.get(service, {})
            self._maps[service] = select_map(replicas.values())
        return self._maps[service]

    def replicas(self, service: str) -> dict[str, Replica]:
        """Returns the known leaves of a service by address."""
        return self._services.get(service, {})

    def services(self) -> list[str]:
        """Returns the services of which a leaf was reported."""
        return sorted(self._services)

    def set_filter(
        self,
        is_in_service: Callable[[str, str, str], bool],
        is_configured: Callable[[str, str], bool],
    ) -> None:
        """Sets which leaves the configuration uses.

        Leaves that it no longer names are forgotten. A leaf that is only
        out of service still counts for the documents of its shard.

        Args:
            is_in_service: Called with service, leaf and failure domain.
            is_configured: Called with service and leaf.
        """
        self._is_in_service = is_in_service
        for service, replicas in self._services.items():
            for address, replica in list(replicas.items()):
                # An aggregator may know a newer configuration than this.
                unknown = not is_configured(service, address)
                if unknown and replica.holder is None:
                    del replicas[address]
        for service, replicas in self._services.items():
            for replica in replicas.values():
                replica.in_service = is_in_service(
                    service, replica.address, replica.failure_domain
                )
        self._maps.clear()

    def take(self, holder: str, view: Any, now: float) -> tuple[str, str]:
        """Takes the report on one leaf; returns its service and address."""
        service, address = view.service_name, view.leaf
        replicas = self._services.setdefault(service, {})
        versions = tuple(
            HeldVersion(v.version, v.shard, v.shards, v.documents)
            for v in view.versions or ()
        )
        state = ReplicaState(view.state)
        replica = replicas.get(address)
        if replica is None:
            replica = replicas[address] = Replica(
                address, None, view.failure_domain, state, 0.0, 0
            )
            replica.in_service = self._is_in_service(
                service, address, view.failure_domain
            )
        # A holder that has not read the leaf's index reports no versions.
        # The leaf gets no queries then, but what it held still counts, so
        # that its documents do not drop out of the total.
        known = versions or replica.versions
        current = holder if versions else None
        if current is None:
            replica.release(now)
        shape = (replica.holder, replica.state, replica.versions)
        if shape != (current, state, known):
            self._maps.pop(service, None)
        replica.holder = current
        replica.state = state
        replica.versions = known
        replica.latency_ms = view.latency_ms
        replica.queued = view.queued
        return service, address

    def release(
        self, holder: str, keep: set[tuple[str, str]], now: float
    ) -> None:
        """Marks the leaves of a holder, except some, as without a holder."""
        for service, replicas in self._services.items():
            for address, replica in replicas.items():
                lost = replica.holder == holder
                if lost and (service, address) not in keep:
                    replica.release(now)
                    self._maps.pop(service, None)


class Views:
    """Polls all aggregators; owned by the nursery that it is given."""

    def __init__(
        self,
        seeds: list[str],
        nursery: trio.Nursery,
        record: Callable[[], Any],
        revision: Callable[[], int],
    ) -> None:
        """Prepares the polls; start begins them.

        Args:
            seeds: Frame addresses of aggregators to ask first.
            nursery: Runs the polls and the connections.
            record: Returns the EntryRecord of this entry.
            revision: Returns the revision of the configuration in force.
        """
        self._seeds = frozenset(seeds)
        self._nursery = nursery
        self._record = record
        self._revision = revision
        self._sources: dict[str, Source] = {}
        self._refresh = trio.Event()
        self._replied = trio.Event()
        self._listeners: set[Callable[[], None]] = set()
        self.table = LeafTable()
        self.on_reply: Callable[[Source, Any], None] = lambda source, reply: (
            None
        )

    @property
    def sources(self) -> dict[str, Source]:
        """The known aggregators by frame address."""
        return self._sources

    def start(self) -> None:
        """Begins to poll the seeds."""
        for address in sorted(self._seeds):
            self._add(address)

    def peer(self, address: str) -> Peer | None:
        """Returns the channel to an aggregator, or None if not known."""
        source = self._sources.get(address)
        return source.peer if source else None

    def refresh(self) -> None:
        """Makes all polls happen now, for example to announce a change."""
        self._refresh.set()
        self._refresh = trio.Event()

    def tell(self, frame: Any) -> None:
        """Sends a request to every aggregator that answers its polls."""
        for source in self._sources.values():
            if source.is_reached:
                self._nursery.start_soon(self._tell, source, frame)

    def recheck(self, address: str) -> None:
        """Asks for a whole view of an aggregator that gave up a leaf.

        It may have the leaf again when it is asked, so that its view would
        count as unchanged.
        """
        source = self._sources.get(address)
        if source is not None:
            source.is_stale = True
            self.refresh()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Calls the listener after each reply, until it is removed."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Removes a listener; no effect if it is not known."""
        self._listeners.discard(listener)

    async def wait_reply(self) -> None:
        """Returns after the next reply of any aggregator."""
        await self._replied.wait()

    def entries(self) -> dict[str, Any]:
        """Returns the newest known record of each other entry."""
        newest: dict[str, Any] = {}
        for source in self._sources.values():
            if not source.is_reached:
                continue
            for address, record in source.entries.items():
                known = newest.get(address)
                if known is None or record.stamp > known.stamp:
                    newest[address] = record
        return newest

    def _add(self, address: str) -> None:
        if address in self._sources:
            return
        source = Source(Peer(address, self._nursery))
        source.last_reply = trio.current_time()
        self._sources[address] = source
        self._nursery.start_soon(self._poll, address, source)

    async def _tell(self, source: Source, frame: Any) -> None:
        with contextlib.suppress(ChannelError):
            with trio.move_on_after(POLL_TIMEOUT_S):
                await source.peer.request(frame)

    async def _poll(self, address: str, source: Source) -> None:
        while not self._is_forgotten(address, source):
            refresh = self._refresh
            try:
                with trio.fail_after(POLL_TIMEOUT_S):
                    frame = await source.peer.request(self._view(source))
                self._take(address, source, frame.view_reply)
            except (ChannelError, trio.TooSlowError):
                self._lose(address, source)
            except Exception as error:
                # A malformed reply must not end the daemon, whatever it
                # holds; the aggregator counts as not reached.
                log_message("bad_view", source=address, error=repr(error))
                self._lose(address, source)
            # The event was taken before the poll: a change that came
            # meanwhile is announced by the next one.
            await trio.sleep(MIN_REFRESH_S)
            with trio.move_on_after(POLL_S - MIN_REFRESH_S):
                await refresh.wait()
        self._lose(address, source)
        del self._sources[address]

    def _is_forgotten(self, address: str, source: Source) -> bool:
        if address in self._seeds:
            return False
        now = trio.current_time()
        if now - source.last_reply < FORGET_S:
            return False
        return all(address not in s.peers for s in self._sources.values())

    def _view(self, source: Source) -> Any:
        known = NOTHING_KNOWN if source.is_stale else source.sequence
        source.is_stale = False
        view = View(
            known=known,
            config_revision=self._revision(),
            entry=self._record(),
            known_entries=source.entries_sequence,
        )
        return Frame(view=view)

    def _lose(self, address: str, source: Source) -> None:
        source.sequence = NOTHING_KNOWN
        source.entries_sequence = None
        if source.is_reached:
            source.is_reached = False
            source.peers = frozenset()
            self.table.release(address, set(), trio.current_time())

    def _take(self, address: str, source: Source, reply: Any) -> None:
        source.is_reached = True
        source.last_reply = trio.current_time()
        source.sequence = reply.sequence
        source.is_leaving = bool(reply.leaving)
        source.config_revision = reply.config_revision or 0
        if reply.entries is not None:
            source.entries = {
                record.address: record for record in reply.entries
            }
        source.entries_sequence = reply.entries_sequence
        if reply.changed or reply.leaving:
            leaves = () if reply.leaving else reply.leaves or ()
            now = source.last_reply
            kept = {self.table.take(address, view, now) for view in leaves}
            self.table.release(address, kept, now)
            source.peers = frozenset(reply.peers or ())
        for peer in source.peers:
            self._add(peer)
        self.on_reply(source, reply)
        for listener in list(self._listeners):
            listener()
        self._replied.set()
        self._replied = trio.Event()
