"""What all requests of a VM share: belief, connections and limits."""

from __future__ import annotations

import math
from collections.abc import Container
from typing import TYPE_CHECKING

import trio
from sapphire_core.coldshare import ColdShare
from sapphire_core.leafset import LeafEntry, RegisteredLeaf
from sapphire_core.members import (
    Member,
    RecentPeak,
    active,
    feeding,
    named_to,
)
from sapphire_core.retrybudget import BudgetTerms, RetryBudget

from sapphire_gateway import telemetry
from sapphire_gateway.calls import MISDIRECTED
from sapphire_gateway.dialect import Dialect
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.messages import Reply
from sapphire_gateway.pool import CONNECTIONS_PART, LeafPool

if TYPE_CHECKING:
    from sapphire_gateway.delegated_calls import HelperPool

DEFAULT_CONNECTIONS = 8
LEAST_CONNECTIONS = 1
# Callers are served by so many VMs that each can hold this many connections
# to each leaf.
WANTED_CONNECTIONS = 4
# The choice of the serving VMs looks at all leaves, so it is kept this long
# unless the belief changes.
SERVING_KEPT_S = 0.2


class Fleet:
    """Belief about leaves and members, with this VM's shares of limits."""

    def __init__(
        self,
        view: FleetView,
        pool: LeafPool,
        dialect: Dialect,
        domain: str,
        terms: BudgetTerms,
    ) -> None:
        self.view = view
        self.pool = pool
        self.dialect = dialect
        self.domain = domain
        self.budget = RetryBudget(terms)
        self._cold = ColdShare(view.self_name)
        self._sharers = 1
        self._is_serving = False
        self._peak = RecentPeak()
        self._serving: list[Member] = []
        self._serving_until = -math.inf
        self.helpers: HelperPool | None = None
        pool.connections_per_leaf = self._connections_per_leaf
        pool.on_crash = self._leaf_crashed

    @property
    def is_serving(self) -> bool:
        """Whether callers are sent to this VM."""
        return self._is_serving

    def changed(self, now: float) -> None:
        """Adapts this VM's shares after the belief has changed."""
        self._serving_until = -math.inf
        members = self.view.members
        self._cold.set_members(members.names(now))
        serving = self.serving(now)
        self._is_serving = any(
            member.name == self.view.self_name for member in serving
        )
        self._sharers = max(1, self._peak.update(len(serving), now))
        share = 1.0 / self._sharers if self._is_serving else 0.0
        self.budget.set_share(share)
        telemetry.LEAVES.set(len(self.view.registry))
        telemetry.MEMBERS.set(len(members.names(now)))

    def forget_gone_leaves(self, now: float) -> None:
        """Drops leaves that are gone."""
        for leaf in self.view.registry.forget_gone(now):
            self.pool.drop(leaf.entry.leaf_id, "the leaf is gone")
            self._cold.forget(leaf.entry.leaf_id)

    def warm(self) -> None:
        """Opens a connection to each leaf, if callers are sent here."""
        if not self._is_serving:
            return
        for leaf in self.view.registry.leaves:
            if leaf.leaving_since is None:
                self.pool.warm(leaf.entry)

    def leaf_counts(self) -> dict[str, int]:
        """Counts the leaves of sharded services by failure domain."""
        configuration = self.view.configuration
        if configuration is None:
            return {}
        services = configuration.gather_services() or set(
            configuration.services
        )
        return self.view.registry.domain_counts(services)

    def choose_feed(
        self, me: Member, avoided: Container[str], now: float
    ) -> Member | None:
        """Returns the member to ask for changes; None to ask the store."""
        live = self.view.members.live(now)
        if all(member.name != me.name for member in live):
            live.append(me)
        return feeding(me, self._serving_of(live), avoided)

    def members_for_caller(
        self, caller_domain: str, now: float
    ) -> list[Member]:
        """Returns the members that a caller should connect to."""
        return named_to(caller_domain, self.serving(now))

    def serving(self, now: float) -> list[Member]:
        """Returns the members that serve callers."""
        if now >= self._serving_until:
            live = self.view.members.live(now)
            self._serving = self._serving_of(live)
            self._serving_until = now + SERVING_KEPT_S
        return self._serving

    def _serving_of(self, live: list[Member]) -> list[Member]:
        configuration = self.view.configuration
        accepted = [DEFAULT_CONNECTIONS]
        if configuration is not None and configuration.services:
            accepted = [
                service.max_connections
                for service in configuration.services.values()
            ]
        most = int(min(accepted) * CONNECTIONS_PART / WANTED_CONNECTIONS)
        return active(live, self.leaf_counts(), most)

    def may_send(self, leaf: RegisteredLeaf, now: float) -> bool:
        """Returns whether a cold leaf may get a request; a warm one may."""
        if not leaf.is_cold(now):
            return True
        rate = self._cold_rate(leaf.entry)
        if rate <= 0:
            return True
        return self._cold.may_send(leaf.entry.leaf_id, rate, now)

    def record_cold_request(self, entry: LeafEntry, now: float) -> None:
        """Counts a request to a cold leaf."""
        rate = self._cold_rate(entry)
        if rate > 0:
            self._cold.sent(entry.leaf_id, rate, now)

    def handle_rejection(self, entry: LeafEntry, reply: Reply) -> None:
        """Takes a leaf's statement that it did not run a request."""
        if reply.status == MISDIRECTED:
            self.view.registry.misdirected(entry.leaf_id)
            self.pool.drop(entry.leaf_id, "another leaf answered")
            telemetry.event(
                "leaf_misdirected", leaf=entry.leaf_id, address=entry.address
            )

    def _leaf_crashed(self, entry: LeafEntry, suspects: set[str]) -> None:
        now = trio.current_time()
        for suspect in suspects:
            verdict = self.view.crashes.crashed(suspect, now)
            telemetry.event(
                "leaf_crashed",
                leaf=entry.leaf_id,
                service=entry.service,
                fingerprint=suspect,
                verdict=verdict.value,
            )

    def _cold_rate(self, entry: LeafEntry) -> float:
        configuration = self.view.configuration
        if configuration is None:
            return 0.0
        service = configuration.services.get(entry.service)
        return service.cold_rate if service is not None else 0.0

    def _connections_per_leaf(self, entry: LeafEntry) -> int:
        configuration = self.view.configuration
        limit = DEFAULT_CONNECTIONS
        if configuration is not None:
            service = configuration.services.get(entry.service)
            if service is not None:
                limit = service.max_connections
        share = int(limit * CONNECTIONS_PART / self._sharers)
        return max(LEAST_CONNECTIONS, share)
