"""State shared by all requests of a VM: fleet view, connections and limits."""

from __future__ import annotations

import functools
import math
import random
from collections.abc import Callable, Container
from typing import TYPE_CHECKING

import trio
from sapphire_core.coldshare import ColdLeafLimiter
from sapphire_core.crashsuspects import CrashedLeaf
from sapphire_core.leafset import LeafEntry, RegisteredLeaf
from sapphire_core.leafterms import UNLIMITED, RateShare, limit_share
from sapphire_core.members import (
    Member,
    RecentPeak,
    select_change_source,
    select_for_caller,
    select_serving,
    select_watchers,
)
from sapphire_core.retrybudget import RetryBudget, RetryBudgetPolicy

from sapphire_gateway import telemetry
from sapphire_gateway.calls import MISDIRECTED, Call
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.headernames import HeaderNames
from sapphire_gateway.leafendpoint import LeafEndpoint, LostCall
from sapphire_gateway.messages import Reply
from sapphire_gateway.pool import CONNECTION_SHARE, LeafPool

if TYPE_CHECKING:
    from sapphire_gateway.helperpool import HelperPool

# Maximum number of connections to a leaf from all VMs together if its service
# isn't configured.
DEFAULT_MAX_CONNECTIONS = 8
# Connections to a leaf that each VM may open in any case.
MIN_CONNECTIONS_PER_VM = 1
# Connections to a leaf that each serving VM should be able to open; limits the
# number of serving VMs.
TARGET_CONNECTIONS_PER_VM = 4
# Choosing the serving VMs scans all leaves, so the result is cached for this
# long or until the fleet view changes.
SERVING_CACHE_S = 0.2
# A call that waits for longer after its leaf was charged with it is charged
# again. In no second does a leaf then get more than the calls that it was
# charged with in one and a half, which is what cold leaves bear.
RESERVATION_S = 0.5
# Leaves that are probed when a leaf has crashed under a canary.
MAX_NEIGHBOUR_PROBES = 3


class Fleet:
    """Leaves and members, with this VM's shares of the fleet-wide limits.

    Members are the VMs that run the gateway. Callers are directed to some of
    them, the serving members. The limits concern extra calls (hedges and
    retries), requests to cold leaves and to leaves that name a limit, and
    connections to each leaf. FleetView
    has what the store says about the fleet; this class adds connections,
    limits, and decisions that are based on the view.

    Attributes:
        view: Configuration, leaves and members as read from the store.
        pool: Connections to the leaves.
        header_names: Names of the HTTP headers.
        domain: Failure domain of this VM.
        budget: Limit of extra calls.
        on_limit_end: Called with a leaf that names no limit any more. Set by
            GatewayDaemon.
        on_serving: Called when this VM begins to serve callers. Set by
            GatewayDaemon.
        helpers: VMs that can make calls for this VM. Set by GatewayDaemon after
            the fleet was created, as HelperPool needs the fleet; None before.
    """

    def __init__(
        self,
        view: FleetView,
        pool: LeafPool,
        header_names: HeaderNames,
        domain: str,
        budget_policy: RetryBudgetPolicy,
    ) -> None:
        self.view = view
        self.pool = pool
        self.header_names = header_names
        self.domain = domain
        self.budget = RetryBudget(budget_policy)
        self._cold_limiter = ColdLeafLimiter(view.self_name)
        self._serving_count = 1
        self._is_serving = False
        # Limits are divided by the recent peak of the number of serving
        # members, so that shares do not grow when entries of members disappear
        # briefly.
        self._serving_peak = RecentPeak()
        self._serving: list[Member] = []
        self._serving_expires_at = -math.inf
        self.on_limit_end: Callable[[LeafEntry], None] = lambda _entry: None
        self.on_serving: Callable[[], None] = lambda: None
        self.helpers: HelperPool | None = None
        pool.max_connections = self._max_connections
        pool.traffic = lambda entry: telemetry.domain_traffic(
            "leaf calls", entry.domain != domain
        )
        pool.refusal = self.refusal
        pool.admit = self.admit
        pool.on_crash = self._record_crash
        pool.on_unexplained_loss = self._record_unexplained_loss
        pool.on_unreachable = self._record_unreachable

    @property
    def is_serving(self) -> bool:
        """Whether callers are directed to this VM."""
        return self._is_serving

    def recompute_shares(self, now: float) -> None:
        """Recomputes this VM's shares after the fleet view has changed.

        Also determines whether this VM serves callers, and updates the metrics.
        The rates of cold leaves and the budget of extra calls are divided
        between the serving members, which also run canaries one after the
        other: spare ones get no requests.
        """
        self._serving_expires_at = -math.inf
        serving = self.serving_members(now)
        serving_names = [member.name for member in serving]
        self._cold_limiter.set_members(serving_names)
        self.view.crashes.suspects.set_members(serving_names)
        was_serving = self._is_serving
        self._is_serving = self.view.self_name in serving_names
        self.pool.keeps_idle = self._is_serving
        if self._is_serving and not was_serving:
            self.on_serving()
        elif was_serving and not self._is_serving:
            self.pool.close_idle("the VM serves no callers any more")
        self._serving_count = max(
            1, self._serving_peak.update(len(serving), now)
        )
        budget_share = 1.0 / self._serving_count if self._is_serving else 0.0
        self.budget.set_share(budget_share)
        telemetry.LEAVES.set(len(self.view.registry))
        telemetry.MEMBERS.set(len(self.view.members.names(now)))

    def remove_expired_leaves(self, now: float) -> None:
        """Removes the unusable leaves without an entry.

        Their connections are closed. A leaf whose entry has just gone is kept
        as a last resort for some seconds.
        """
        for leaf in self.view.registry.remove_expired(now):
            self.pool.drop(leaf.entry.leaf_id, "the leaf is gone")
            self._cold_limiter.forget(leaf.entry.leaf_id)

    def connect_to_leaves(self) -> None:
        """Opens a connection to each leaf if this VM serves callers.

        Leaves that are leaving, or that have a connection, are left out.
        """
        if not self._is_serving:
            return
        for leaf in self.view.registry.leaves:
            if leaf.leaving_since is None:
                self.pool.connect(leaf.entry)

    def leaf_counts(self) -> dict[str, int]:
        """Counts leaves by failure domain.

        Only leaves of the services that searches call (gather_services) are
        counted, or those of all services if no route is a search.
        """
        configuration = self.view.configuration
        if configuration is None:
            return {}
        services = configuration.gather_services() or set(
            configuration.services
        )
        return self.view.registry.domain_counts(services)

    def change_source(
        self,
        own_entry: Member,
        avoided: Container[str],
        can_watch: bool,
        now: float,
    ) -> Member | None:
        """Returns the member to read changes from; None for the store.

        Args:
            own_entry: This VM's entry. It counts as live even if the view does
                not contain it, for example before it was first written.
            avoided: Names of members to avoid.
            can_watch: Whether the store answers this VM.
            now: Current time in seconds.
        """
        live = self.view.members.live(now)
        if all(member.name != own_entry.name for member in live):
            live.append(own_entry)
        watchers = select_watchers(self._serving_among(live))
        return select_change_source(own_entry, watchers, avoided, can_watch)

    def members_for_caller(
        self, caller_domain: str, now: float
    ) -> list[Member]:
        """Returns the serving members that a caller should connect to."""
        return select_for_caller(caller_domain, self.serving_members(now))

    def serving_members(self, now: float) -> list[Member]:
        """Returns the members that serve callers; cached briefly."""
        if now >= self._serving_expires_at:
            live = self.view.members.live(now)
            self._serving = self._serving_among(live)
            self._serving_expires_at = now + SERVING_CACHE_S
        return self._serving

    def _serving_among(self, live: list[Member]) -> list[Member]:
        configuration = self.view.configuration
        connection_limits = [DEFAULT_MAX_CONNECTIONS]
        if configuration is not None and configuration.services:
            connection_limits = [
                service.max_connections
                for service in configuration.services.values()
            ]
        max_serving = int(
            min(connection_limits)
            * CONNECTION_SHARE
            / TARGET_CONNECTIONS_PER_VM
        )
        return select_serving(live, self.leaf_counts(), max_serving)

    def may_send(self, leaf: RegisteredLeaf, now: float) -> bool:
        """Returns whether a leaf may get a request now.

        Only cold leaves, which are still warming up, are limited: to the cold
        rate of their service, in requests per second. A rate of 0 means no
        limit.
        """
        if not leaf.is_cold(now):
            return True
        rate = self._cold_rate(leaf.entry)
        if rate <= 0:
            return True
        return self._cold_limiter.may_send(leaf.entry.leaf_id, rate, now)

    def limit_share(self, endpoint: LeafEndpoint, now: float) -> RateShare:
        """Returns this VM's share of the limit that a leaf names."""
        if not endpoint.terms.has_limit:
            return UNLIMITED
        return limit_share(
            endpoint.entry.leaf_id,
            endpoint.terms.limit_per_s,
            self.view.self_name,
            [member.name for member in self.serving_members(now)],
            self._serving_count,
        )

    def has_room(self, endpoint: LeafEndpoint, now: float) -> bool:
        """Returns whether a leaf wants a request now."""
        is_idle = not endpoint.load.waiting
        share = self.limit_share(endpoint, now)
        return endpoint.terms.may_send(share, is_idle, now)

    def room_at(self, endpoint: LeafEndpoint, now: float) -> float:
        """Returns the time from which a leaf wants a request."""
        return endpoint.terms.room_at(self.limit_share(endpoint, now), now)

    def refusal(self, endpoint: LeafEndpoint, call: Call) -> str | None:
        """Returns why a leaf may not get a call that was chosen for it before.

        A call may have waited for a connection, or for its opening, while the
        leaf began to leave, asked for a pause or a limit, turned cold, or its
        failure domain was evacuated.

        Returns:
            The reason, or None if the call may be sent.
        """
        now = trio.current_time()
        registry = self.view.registry
        leaf = registry.get(endpoint.entry.leaf_id)
        if leaf is None or (
            leaf.entry.incarnation != endpoint.entry.incarnation
        ):
            return "the leaf is gone"
        if not registry.is_candidate(leaf, now):
            return "the leaf gets no more requests"
        if now < endpoint.terms.paused_until:
            return "the leaf asked for a pause"
        if _is_reserved(call, now):
            return None
        if not self.may_send(leaf, now):
            return "the leaf is cold"
        share = self.limit_share(endpoint, now)
        if not endpoint.terms.may_send(share, is_idle=True, now=now):
            return "the leaf has reached its limit"
        return None

    def admit(self, endpoint: LeafEndpoint, call: Call) -> str | None:
        """Decides on a call at the moment of sending.

        The leaf is charged with a call that has waited for long again.

        Returns:
            The reason for which it must not be sent, or None.
        """
        reason = self.refusal(endpoint, call)
        if reason is None and not _is_reserved(call, trio.current_time()):
            self.reserve(endpoint, call)
        return reason

    def reserve(self, endpoint: LeafEndpoint, call: Call) -> None:
        """Charges a leaf's cold rate and its limit with a call."""
        now = trio.current_time()
        leaf = self.view.registry.get(endpoint.entry.leaf_id)
        is_cold = leaf is not None and leaf.is_cold(now)
        if is_cold:
            self._record_cold_request(endpoint.entry, now)
        if endpoint.terms.has_limit:
            telemetry.LIMITED_CALLS.inc()
            endpoint.terms.record_sent(self.limit_share(endpoint, now), now)
        if is_cold or endpoint.terms.has_limit:
            call.reserved_at = now

    def _record_cold_request(self, entry: LeafEntry, now: float) -> None:
        rate = self._cold_rate(entry)
        if rate > 0:
            self._cold_limiter.record_sent(entry.leaf_id, rate, now)

    def handle_rejection(self, entry: LeafEntry, reply: Reply) -> None:
        """Handles a reply by which a leaf declined to run a request.

        If the reply is a 421, another leaf now has the address, and the
        connections to it are closed. Other statuses, such as the 503 of a full
        leaf, need no action here: the request is sent to another leaf.
        """
        if reply.status == MISDIRECTED:
            self.view.registry.misdirected(entry.leaf_id)
            self.pool.drop(entry.leaf_id, "another leaf answered")
            telemetry.event(
                "leaf_misdirected", leaf=entry.leaf_id, address=entry.address
            )

    def _record_crash(
        self, entry: LeafEntry, lost_calls: list[LostCall]
    ) -> None:
        """Records a crash for each request that was running on the leaf."""
        leaf = _crashed_leaf(entry)
        now = trio.current_time()
        for call in lost_calls:
            self.view.crashes.record_crash(
                call.fingerprint, leaf, call.is_canary, now
            )
        if any(call.is_canary for call in lost_calls):
            self.pool.call_after_closing(
                functools.partial(self._probe_neighbours, entry)
            )

    def _record_unexplained_loss(
        self, entry: LeafEntry, lost_calls: list[LostCall]
    ) -> None:
        """Records that a leaf may have crashed, and started again since."""
        now = trio.current_time()
        for call in lost_calls:
            self.view.crashes.record_unexplained_loss(
                call.fingerprint, _crashed_leaf(entry), call.is_canary, now
            )

    def _probe_neighbours(self, lost: LeafEntry) -> None:
        """Finds out whether more of a lost leaf's failure domain is lost.

        Connections are opened to some of its leaves that have none.
        """
        neighbours = [
            leaf.entry
            for leaf in self.view.registry.leaves
            if leaf.entry.domain == lost.domain
            and leaf.entry.leaf_id != lost.leaf_id
            and leaf.leaving_since is None
        ]
        random.shuffle(neighbours)
        opened_before = self.pool.opened_count
        for entry in neighbours:
            if self.pool.opened_count - opened_before >= MAX_NEIGHBOUR_PROBES:
                return
            self.pool.connect(entry)

    def _record_unreachable(self, entry: LeafEntry) -> None:
        self.view.crashes.suspects.record_lost_leaf(
            _crashed_leaf(entry), trio.current_time()
        )

    def _cold_rate(self, entry: LeafEntry) -> float:
        configuration = self.view.configuration
        if configuration is None:
            return 0.0
        service = configuration.services.get(entry.service)
        return service.cold_rate if service is not None else 0.0

    def _max_connections(self, entry: LeafEntry) -> int:
        configuration = self.view.configuration
        limit = DEFAULT_MAX_CONNECTIONS
        if configuration is not None:
            service = configuration.services.get(entry.service)
            if service is not None:
                limit = service.max_connections
        connections = int(limit * CONNECTION_SHARE / self._serving_count)
        return max(MIN_CONNECTIONS_PER_VM, connections)


def _is_reserved(call: Call, now: float) -> bool:
    return now - call.reserved_at <= RESERVATION_S


def _crashed_leaf(entry: LeafEntry) -> CrashedLeaf:
    return CrashedLeaf(entry.service, f"{entry.leaf_id}@{entry.born_ms}")
