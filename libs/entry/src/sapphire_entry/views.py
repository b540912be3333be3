"""Polling of the aggregators for their views.

A view is what an aggregator reports: the leaves that it holds, the entries and
aggregators that it knows, quarantined queries and revisions.
"""

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
    LoadedVersion,
    Replica,
    ReplicaState,
    ShardMap,
    select_map,
)
from sapphire_wire.channel import Peer
from sapphire_wire.gen.ttypes import Frame, View

from sapphire_entry.discovery import LeafDiscovery

POLL_INTERVAL_S = 0.5
# Minimum interval between polls that queries trigger when views are outdated.
MIN_REFRESH_INTERVAL_S = 0.05
# An aggregator that does not answer a poll within this time is considered
# unreachable. Its leaves are used again after its next reply.
POLL_TIMEOUT_S = 1.0
# Unreachable aggregators are removed after this time unless they are seeds or
# listed as a peer by another aggregator.
UNREACHABLE_EXPIRY_S = 60.0
# Sequence number that no view has, which requests a full view.
NO_SEQUENCE = -1


@dataclass(slots=True)
class Aggregator:
    """An aggregator and its last reported state.

    Attributes:
        peer: Client for the aggregator.
        leaves: Not used; `LeafTable` contains the reported leaves.
        listed_peers: Frame addresses of the aggregators that it lists.
        entries: EntryRecords that it reported, by address.
        sequence: Sequence number of its last view.
        entries_sequence: Sequence number of its last list of entries.
        is_reachable: Whether it answered the last poll.
        needs_full_view: Whether the next poll requests a full view.
        is_leaving: Whether it reports that it is shutting down or out of
            service.
        last_reply: Time of its last reply, in seconds.
        config_revision: Its configuration revision.
    """

    peer: Peer
    leaves: set[str] = field(default_factory=set)
    listed_peers: frozenset[str] = frozenset()
    entries: dict[str, Any] = field(default_factory=dict)
    sequence: int = NO_SEQUENCE
    entries_sequence: int | None = None
    is_reachable: bool = False
    needs_full_view: bool = False
    is_leaving: bool = False
    last_reply: float = -math.inf
    config_revision: int = 0


class LeafTable:
    """Reported leaves by service and address."""

    def __init__(self) -> None:
        self._services: dict[str, dict[str, Replica]] = {}
        self._maps: dict[str, ShardMap | None] = {}
        self._is_in_service: Callable[[str, str, str], bool] = (
            lambda service, leaf, domain: True
        )

    def shard_map(self, service: str) -> ShardMap | None:
        """Returns the shard map for queries, or None if no leaf is known."""
        if service not in self._maps:
            replicas = self._services.get(service, {})
            self._maps[service] = select_map(replicas.values())
        return self._maps[service]

    def replicas(self, service: str) -> dict[str, Replica]:
        """Returns a Replica for each known leaf of a service, by address."""
        return self._services.get(service, {})

    def services(self) -> list[str]:
        """Returns the services with reported leaves."""
        return sorted(self._services)

    def apply_configuration(
        self,
        is_in_service: Callable[[str, str, str], bool],
        is_configured: Callable[[str, str], bool],
    ) -> None:
        """Applies the configuration to the reported leaves.

        Leaves that are not configured and have no holder are removed. A leaf
        that is out of service receives no queries, but still counts for the
        document total of its shard.

        Args:
            is_in_service: Called with service, leaf and failure domain, also
                for leaves that are reported later.
            is_configured: Called with service and leaf, only for the leaves
                that are known now.
        """
        self._is_in_service = is_in_service
        for service, replicas in self._services.items():
            for address, replica in list(replicas.items()):
                # A leaf with a holder is kept: the aggregator may have a
                # newer configuration than this entry.
                unknown = not is_configured(service, address)
                if unknown and replica.holder is None:
                    del replicas[address]
        for service, replicas in self._services.items():
            for replica in replicas.values():
                replica.in_service = is_in_service(
                    service, replica.address, replica.failure_domain
                )
        self._maps.clear()

    def update(
        self, holder: str, leaf_view: Any, now: float
    ) -> tuple[str, str]:
        """Applies the report on a leaf; returns its service and address."""
        service, address = leaf_view.service_name, leaf_view.leaf
        replicas = self._services.setdefault(service, {})
        versions = tuple(
            LoadedVersion(v.version, v.shard, v.shards, v.documents)
            for v in leaf_view.versions or ()
        )
        state = ReplicaState(leaf_view.state)
        replica = replicas.get(address)
        if replica is None:
            replica = replicas[address] = Replica(
                address, None, leaf_view.failure_domain, state, 0.0, 0
            )
            replica.in_service = self._is_in_service(
                service, address, leaf_view.failure_domain
            )
        # A holder reports no versions if the leaf is down or its index was not
        # read yet. The leaf then counts as without a holder and receives no
        # queries, but its last known versions are kept so that its documents
        # remain in the total.
        known_versions = versions or replica.versions
        new_holder = holder if versions else None
        former = (replica.holder, replica.state, replica.versions)
        if new_holder is None:
            replica.release(now)
        if former != (new_holder, state, known_versions):
            self._maps.pop(service, None)
        replica.holder = new_holder
        replica.state = state
        replica.versions = known_versions
        replica.latency_ms = leaf_view.latency_ms
        replica.queued = leaf_view.queued
        return service, address

    def release(
        self, holder: str, keep: set[tuple[str, str]], now: float
    ) -> None:
        """Removes the holder from its leaves, except for those in keep."""
        for service, replicas in self._services.items():
            for address, replica in replicas.items():
                is_held = replica.holder == holder
                if is_held and (service, address) not in keep:
                    replica.release(now)
                    self._maps.pop(service, None)


class AggregatorPool:
    """Polls all known aggregators and keeps the connections to them.

    The polls run in the given nursery. The reported leaves are applied to
    `table`; `on_reply` is the handler for the rest of a reply. Listeners are
    called after that, for queries that wait for a change.
    """

    def __init__(
        self,
        seeds: list[str],
        nursery: trio.Nursery,
        own_record: Callable[[], Any],
        config_revision: Callable[[], int],
    ) -> None:
        """Prepares the polls; start launches them.

        Args:
            seeds: Addresses at which the initial aggregators accept frames.
            nursery: Runs the polls and the connections.
            own_record: Returns the EntryRecord of this entry.
            config_revision: Returns the current configuration revision.
        """
        self._seeds = frozenset(seeds)
        self._nursery = nursery
        self._own_record = own_record
        self._config_revision = config_revision
        self._aggregators: dict[str, Aggregator] = {}
        self._refresh_requested = trio.Event()
        self._replied = trio.Event()
        self._listeners: set[Callable[[], None]] = set()
        self.table = LeafTable()
        self.discovery = LeafDiscovery(self.table.replicas)
        self.on_reply: Callable[[Aggregator, Any], None] = (
            lambda aggregator, reply: None
        )

    @property
    def aggregators(self) -> dict[str, Aggregator]:
        """The known aggregators by frame address."""
        return self._aggregators

    def start(self) -> None:
        """Starts polling the seeds."""
        for address in sorted(self._seeds):
            self._add(address)

    def peer(self, address: str) -> Peer | None:
        """Returns the client for an aggregator, or None if unknown."""
        aggregator = self._aggregators.get(address)
        return aggregator.peer if aggregator else None

    def refresh(self) -> None:
        """Triggers all polls now, for example to announce a change."""
        self._refresh_requested.set()
        self._refresh_requested = trio.Event()

    def broadcast(self, frame: Any) -> None:
        """Sends a request to all reachable aggregators."""
        for aggregator in self._aggregators.values():
            if aggregator.is_reachable:
                self._nursery.start_soon(self._send, aggregator, frame)

    def request_full_view(self, address: str) -> None:
        """Requests a full view from an aggregator that released a leaf.

        It may have acquired the leaf again before the next poll and would then
        report its view as unchanged.
        """
        aggregator = self._aggregators.get(address)
        if aggregator is not None:
            aggregator.needs_full_view = True
            self.refresh()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Registers a listener that is called after each view reply."""
        self._listeners.add(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Removes a listener if it is registered."""
        self._listeners.discard(listener)

    async def wait_reply(self) -> None:
        """Waits for the next view reply of any aggregator."""
        await self._replied.wait()

    def entries(self) -> dict[str, Any]:
        """Returns the latest known record of each entry by address."""
        newest: dict[str, Any] = {}
        for aggregator in self._aggregators.values():
            if not aggregator.is_reachable:
                continue
            for address, record in aggregator.entries.items():
                latest = newest.get(address)
                if latest is None or record.stamp > latest.stamp:
                    newest[address] = record
        return newest

    def _add(self, address: str) -> None:
        if address in self._aggregators:
            return
        aggregator = Aggregator(Peer(address, self._nursery))
        aggregator.last_reply = trio.current_time()
        self._aggregators[address] = aggregator
        self._nursery.start_soon(self._poll, address, aggregator)

    async def _send(self, aggregator: Aggregator, frame: Any) -> None:
        with contextlib.suppress(ChannelError):
            with trio.move_on_after(POLL_TIMEOUT_S):
                await aggregator.peer.request(frame)

    async def _poll(self, address: str, aggregator: Aggregator) -> None:
        while not self._is_expired(address, aggregator):
            refresh = self._refresh_requested
            try:
                with trio.fail_after(POLL_TIMEOUT_S):
                    frame = await aggregator.peer.request(
                        self._view_request(aggregator)
                    )
                self._handle_reply(address, aggregator, frame.view_reply)
            except (ChannelError, trio.TooSlowError):
                self._mark_unreachable(address, aggregator)
            except Exception as error:
                # A malformed reply must not end the daemon; its sender is
                # considered unreachable.
                log_message("bad_view", source=address, error=repr(error))
                self._mark_unreachable(address, aggregator)
            # The event was obtained before the poll, so a refresh requested
            # during the poll triggers another one.
            await trio.sleep(MIN_REFRESH_INTERVAL_S)
            with trio.move_on_after(POLL_INTERVAL_S - MIN_REFRESH_INTERVAL_S):
                await refresh.wait()
        self._mark_unreachable(address, aggregator)
        del self._aggregators[address]

    def _is_expired(self, address: str, aggregator: Aggregator) -> bool:
        if address in self._seeds:
            return False
        now = trio.current_time()
        if now - aggregator.last_reply < UNREACHABLE_EXPIRY_S:
            return False
        return all(
            address not in s.listed_peers for s in self._aggregators.values()
        )

    def _view_request(self, aggregator: Aggregator) -> Any:
        sequence = (
            NO_SEQUENCE if aggregator.needs_full_view else aggregator.sequence
        )
        aggregator.needs_full_view = False
        request = View(
            known=sequence,
            config_revision=self._config_revision(),
            entry=self._own_record(),
            known_entries=aggregator.entries_sequence,
        )
        return Frame(view=request)

    def _mark_unreachable(self, address: str, aggregator: Aggregator) -> None:
        aggregator.sequence = NO_SEQUENCE
        aggregator.entries_sequence = None
        if aggregator.is_reachable:
            aggregator.is_reachable = False
            aggregator.listed_peers = frozenset()
            self.table.release(address, set(), trio.current_time())

    def _handle_reply(
        self, address: str, aggregator: Aggregator, reply: Any
    ) -> None:
        aggregator.is_reachable = True
        aggregator.last_reply = trio.current_time()
        aggregator.sequence = reply.sequence
        aggregator.is_leaving = bool(reply.leaving)
        aggregator.config_revision = reply.config_revision or 0
        if reply.entries is not None:
            aggregator.entries = {
                record.address: record for record in reply.entries
            }
        aggregator.entries_sequence = reply.entries_sequence
        if reply.changed or reply.leaving:
            leaves = () if reply.leaving else reply.leaves or ()
            now = aggregator.last_reply
            kept = {
                self.table.update(address, leaf_view, now)
                for leaf_view in leaves
            }
            self.table.release(address, kept, now)
            aggregator.listed_peers = frozenset(reply.peers or ())
        for peer in aggregator.listed_peers:
            self._add(peer)
        self.on_reply(aggregator, reply)
        for listener in list(self._listeners):
            listener()
        self._replied.set()
        self._replied = trio.Event()
