"""The gateway process: start, reload of the settings and graceful stop."""

from __future__ import annotations

import dataclasses
import functools
import itertools
import math
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import trio
from sapphire_core.members import Member
from sapphire_core.retrybudget import RetryBudgetPolicy
from sapphire_core.routing import ClientLimits

from sapphire_gateway import (
    crashexchange,
    feed,
    limitends,
    revisionexchange,
    supervision,
    telemetry,
)
from sapphire_gateway.callers import Caller, CallerServer
from sapphire_gateway.connectionlimit import (
    CALLER_CONNECTIONS,
    PEER_CONNECTIONS,
    ConnectionLimit,
)
from sapphire_gateway.crashexchange import CrashExchange, CrashServer
from sapphire_gateway.delegated_calls import HelperServer
from sapphire_gateway.feed import FeedClient, FeedServer
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.gateway import Gateway
from sapphire_gateway.headernames import HeaderNames
from sapphire_gateway.helperpool import HelperPool
from sapphire_gateway.limitends import LimitEndServer, LimitEndTeller
from sapphire_gateway.messagememory import MEMORY_SHARE, PROCESS_MEMORY
from sapphire_gateway.messages import Request, Response
from sapphire_gateway.pool import LeafPool
from sapphire_gateway.revisionexchange import RevisionExchange, RevisionServer
from sapphire_gateway.store import Store
from sapphire_gateway.sync import Sync

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
TICK_S = 0.25
BUSY_CHECK_INTERVAL_S = 0.02
# Number of ticks between checks for changes of the settings file.
RELOAD_TICKS = 8
# The VM is taken to have been paused if a tick takes longer than this.
PAUSE_THRESHOLD_S = 1.0
# Times before SIGKILL at which the listening socket is closed, the remaining
# requests are answered with what has arrived, and the process ends.
CLOSE_MARGIN_S = 0.8
ANSWER_MARGIN_S = 0.6
END_MARGIN_S = 0.4


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway process.

    Attributes:
        name: Name of the VM.
        domain: Failure domain of the VM.
        cores: Processor cores available to the VM; may be a fraction.
        callers_address: Address on which callers are served.
        peer_address: Address on which other VMs of the fleet are served.
        budget: Limit of retries and hedges over all VMs.
        grace_s: Time between SIGTERM and SIGKILL.
        addresses_ttl_s: Time for which callers may cache the addresses of the
            VMs; each look-up delays a request by two round trips.
        metrics_address: Address on which metrics are served, or None.
        memory_bytes: Memory of the process, or None if it is not known.
        max_descriptors: File descriptors that the process may have, or None for
            the limit of the operating system.
    """

    name: str
    domain: str
    cores: float
    callers_address: str
    peer_address: str
    budget: RetryBudgetPolicy
    grace_s: float
    addresses_ttl_s: float
    metrics_address: str | None
    memory_bytes: float | None = None
    max_descriptors: int | None = None


# Settings that are taken over while the process runs.
RUNTIME_SETTINGS = frozenset(
    {
        "budget",
        "grace_s",
        "addresses_ttl_s",
        "memory_bytes",
        "max_descriptors",
    }
)


@dataclass(frozen=True, slots=True)
class SettingChange:
    """A setting that has changed but needs a restart."""

    name: str
    before: object
    after: object


ExtraHandler = Callable[["GatewayDaemon", Request], Response]


@dataclass(frozen=True, slots=True)
class ExtraListener:
    """An additional address, served without calls to leaves."""

    address: str
    handler: ExtraHandler


class PeerServer:
    """Serves requests of other VMs of the fleet."""

    def __init__(
        self,
        feed: FeedServer,
        helper: HelperServer,
        revisions: RevisionServer,
        crashes: CrashServer,
        limit_ends: LimitEndServer,
    ) -> None:
        self._feed = feed
        self._helper = helper
        self._revisions = revisions
        self._crashes = crashes
        self._limit_ends = limit_ends

    async def handle(self, request: Request) -> Response:
        """Answers a request.

        POST requests tell of crashes or of limits, or ask for calls to leaves;
        all others ask for the revision, for held writes or for changes.
        """
        if request.target.startswith(crashexchange.NEWS_PATH.encode()):
            return self._crashes.handle(request)
        if request.target == limitends.PATH.encode():
            return self._limit_ends.handle(request)
        if request.method == b"POST":
            return await self._helper.handle(request)
        if request.target.startswith(revisionexchange.PATH.encode()):
            return self._revisions.handle(request)
        if request.target == feed.HELD_PATH.encode():
            return self._feed.handle_held()
        return await self._feed.handle(request)


class GatewayDaemon:
    """Creates and connects the components of a gateway process."""

    def __init__(
        self,
        settings: GatewaySettings,
        header_names: HeaderNames,
        store: Store,
        extras: list[ExtraListener],
        reload_settings: Callable[[bool], None],
    ) -> None:
        """Creates a daemon that does not run yet.

        Args:
            settings: Settings at start-up.
            header_names: Names of the HTTP headers.
            store: The platform's store.
            extras: Additional addresses to serve.
            reload_settings: Reads the settings again. With False, reads them
                only if the file has changed, for changes that are not
                announced by SIGHUP.
        """
        self._settings = settings
        self._header_names = header_names
        self._store = store
        self._extras = extras
        self._reload_settings = reload_settings
        self._view = FleetView(settings.name)
        self._is_shutting_down = False
        self._is_serving = False
        self._fleet: Fleet | None = None
        # Set when the time to stop becomes shorter.
        self._grace_shortened = trio.Event()
        self._limit_resources()

    @property
    def is_ready(self) -> bool:
        """Whether callers may be directed to this VM."""
        return (
            not self._is_shutting_down and self._view.configuration is not None
        )

    @property
    def addresses_ttl_s(self) -> float:
        """Time for which callers may cache addresses, in seconds."""
        return self._settings.addresses_ttl_s

    def addresses_for(self, caller_domain: str) -> list[str]:
        """Returns the addresses for callers in a failure domain, if any."""
        if self._fleet is None:
            return []
        now = trio.current_time()
        serving_members = self._fleet.members_for_caller(caller_domain, now)
        if not serving_members and self.is_ready:
            return [self._settings.callers_address]
        return [member.address for member in serving_members]

    def apply_settings(self, new: GatewaySettings) -> list[SettingChange]:
        """Takes over the settings that can change at run time.

        A stop that is under way keeps the shorter of its two ends.

        Args:
            new: All settings as they are now.

        Returns:
            The changes of other settings, which need a restart.
        """
        old = self._settings
        runtime = {name: getattr(new, name) for name in RUNTIME_SETTINGS}
        self._settings = dataclasses.replace(old, **runtime)
        if self._fleet is not None and new.budget != old.budget:
            self._fleet.budget.set_policy(new.budget)
        self._limit_resources()
        if new.grace_s < old.grace_s:
            self._grace_shortened.set()
        return [
            SettingChange(field.name, before, after)
            for field in dataclasses.fields(GatewaySettings)
            if field.name not in RUNTIME_SETTINGS
            and (before := getattr(old, field.name))
            != (after := getattr(new, field.name))
        ]

    def _limit_resources(self) -> None:
        for limit in (CALLER_CONNECTIONS, PEER_CONNECTIONS):
            limit.set_resources(
                self._settings.max_descriptors, self._settings.memory_bytes
            )
        if self._settings.memory_bytes is not None:
            PROCESS_MEMORY.limit_bytes = int(
                MEMORY_SHARE * self._settings.memory_bytes
            )

    async def run(self) -> None:
        """Runs until a graceful stop after SIGTERM or SIGINT."""
        telemetry.event("start", vm=self._settings.name)
        with trio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                await self._serve(nursery, signals)
                nursery.cancel_scope.cancel()
        telemetry.event("stop", vm=self._settings.name)

    async def _serve(
        self, nursery: trio.Nursery, signals: AsyncIterator[int]
    ) -> None:
        self._store.start(nursery)
        pool = LeafPool(nursery, self._header_names)
        fleet = Fleet(
            self._view,
            pool,
            self._header_names,
            self._settings.domain,
            self._settings.budget,
        )
        gateway = Gateway(fleet)
        self._fleet = fleet
        server = CallerServer(
            gateway.handle,
            self._limits,
            self._closes_connections,
            gateway.answer_sent,
        )
        self_member = Member(
            self._settings.name,
            self._settings.callers_address,
            self._settings.domain,
            cores=self._settings.cores,
            peer_address=self._settings.peer_address,
        )
        sync = Sync(
            self._store,
            self._view,
            self_member,
            self._on_view_changed,
            lambda self_member, avoided, can_watch: fleet.change_source(
                self_member, avoided, can_watch, trio.current_time()
            ),
            lambda source: FeedClient(
                source.peer_address,
                nursery,
                self._store.decode,
                telemetry.domain_traffic(
                    "feed", source.domain != self._settings.domain
                ),
            ),
        )
        peers = PeerServer(
            FeedServer(
                sync.mirror,
                lambda: sync.feed_age_s,
                lambda revision: self._view.freshness.learn_revision(
                    revision, trio.current_time()
                ),
            ),
            HelperServer(fleet),
            RevisionServer(self._view.freshness),
            CrashServer(self._view),
            LimitEndServer(pool),
        )
        fleet.helpers = HelperPool(fleet, nursery)

        def start_task(task: str, run: Callable[[], Awaitable[None]]) -> None:
            nursery.start_soon(supervision.run_always, task, run)

        exchange = RevisionExchange(fleet, self_member, nursery)
        start_task("exchange of revisions", exchange.run)
        crashes = CrashExchange(fleet, self_member, nursery)
        fleet.on_serving = crashes.ask_soon
        start_task("exchange of crashes", crashes.run)
        limit_ends = LimitEndTeller(fleet, nursery)
        fleet.on_limit_end = limit_ends.record
        start_task("ends of limits", limit_ends.run)
        start_task("sweeps", pool.run_sweeps)
        start_task(
            "periodic tasks",
            functools.partial(self._run_periodic_tasks, sync, pool),
        )

        async def begin_serving() -> None:
            await nursery.start(server.serve, self._settings.callers_address)
            for extra in self._extras:
                await self._listen_extra(nursery, extra)
            await self._listen(
                nursery,
                self._settings.peer_address,
                peers.handle,
                PEER_CONNECTIONS,
            )
            # Other VMs direct callers to this one as soon as its entry is in
            # the store, which is written by sync.
            nursery.start_soon(sync.run)
            self._is_serving = True
            telemetry.event("serving", address=self._settings.callers_address)

        nursery.start_soon(begin_serving)
        if self._settings.metrics_address is not None:
            # Nobody waits for the metrics: requests are served without them.
            nursery.start_soon(
                self._listen_extra,
                nursery,
                ExtraListener(self._settings.metrics_address, _answer_metrics),
            )
        async for signal_number in signals:
            if signal_number in STOP_SIGNALS:
                if self._is_serving:
                    nursery.start_soon(self._handle_reloads, signals)
                    await self._shut_down(sync, server, gateway)
                return
            self._reload(is_requested=True)

    async def _handle_reloads(self, signals: AsyncIterator[int]) -> None:
        """Handles signals while the process stops: it stops only once."""
        async for signal_number in signals:
            if signal_number not in STOP_SIGNALS:
                self._reload(is_requested=True)

    def _reload(self, is_requested: bool) -> None:
        """Reads the settings again; an unexpected error changes nothing."""
        try:
            self._reload_settings(is_requested)
        except Exception as error:
            supervision.record_failure("reload of the settings", error)

    async def _listen_extra(
        self, nursery: trio.Nursery, extra: ExtraListener
    ) -> None:
        await self._listen(
            nursery,
            extra.address,
            functools.partial(self._handle_extra, extra),
        )

    async def _handle_extra(
        self, extra: ExtraListener, request: Request
    ) -> Response:
        return extra.handler(self, request)

    async def _listen(
        self,
        nursery: trio.Nursery,
        address: str,
        handle_request: Callable[[Request], Awaitable[Response]],
        connection_limit: ConnectionLimit = CALLER_CONNECTIONS,
    ) -> None:
        async def handle(request: Request, caller: Caller) -> Response:
            return await handle_request(request)

        server = CallerServer(
            handle,
            ClientLimits,
            self._closes_connections,
            lambda _request, _now: None,
            connection_limit=connection_limit,
        )
        await nursery.start(server.serve, address)

    async def _shut_down(
        self, sync: Sync, server: CallerServer, gateway: Gateway
    ) -> None:
        """Withdraws this VM's address, then serves callers until the stop.

        Callers with cached addresses keep connecting, so the address is served
        for as long as the grace period allows. Every request that is accepted
        gets an answer before the process ends.
        """
        began = trio.current_time()
        self._is_shutting_down = True
        sync.own_entry.publish_leaving()
        telemetry.event("leaving", connections=server.connections)
        killed_at = math.inf
        while began + self._settings.grace_s < killed_at:
            self._grace_shortened = trio.Event()
            killed_at = began + self._settings.grace_s
            gateway.begin_stop(killed_at - ANSWER_MARGIN_S)
            with trio.move_on_at(killed_at - CLOSE_MARGIN_S):
                await self._grace_shortened.wait()
        server.stop()
        await _wait_while_busy(server, killed_at - ANSWER_MARGIN_S)
        gateway.end_requests()
        await _wait_while_busy(server, killed_at - END_MARGIN_S)
        telemetry.event("left", connections=server.connections, cut=server.busy)

    def _closes_connections(self) -> bool:
        return self._is_shutting_down

    def _limits(self) -> ClientLimits:
        configuration = self._view.configuration
        return configuration.limits if configuration else ClientLimits()

    def _on_view_changed(self) -> None:
        assert self._fleet is not None
        now = trio.current_time()
        self._fleet.recompute_shares(now)
        self._fleet.pool.place_waiting_anew()
        self._fleet.connect_to_leaves()

    async def _run_periodic_tasks(self, sync: Sync, pool: LeafPool) -> None:
        assert self._fleet is not None
        previous = _read_clocks()
        for tick in itertools.count(1):
            await trio.sleep(TICK_S)
            if tick % RELOAD_TICKS == 0:
                self._reload(is_requested=False)
            now = _read_clocks()
            if (
                max(n - b for n, b in zip(now, previous, strict=True))
                > PAUSE_THRESHOLD_S
            ):
                telemetry.event("paused", clocks=now, before=previous)
                pool.close_idle("the VM was paused")
                sync.resync("the VM was paused")
            previous = now
            self._publish_suspects(sync, trio.current_time())
            self._fleet.remove_expired_leaves(trio.current_time())
            age_s = self._view.freshness.age_s(trio.current_time())
            telemetry.DATA_AGE.set(age_s)
            telemetry.CONNECTIONS.set(pool.opened_count)
            telemetry.MESSAGE_MEMORY.set(PROCESS_MEMORY.held_bytes)
            telemetry.LIMITED_LEAVES.set(pool.limited_count)
            telemetry.PAUSED_LEAVES.set(pool.paused_count(trio.current_time()))
            telemetry.LEAVING_LEAVES.set(self._view.registry.leaving_count)

    def _publish_suspects(self, sync: Sync, now: float) -> None:
        """Publishes the suspected requests if this VM saw a new crash."""
        suspects = self._view.crashes.take_unpublished(now)
        if suspects is not None:
            sync.own_entry.publish_suspects(suspects)


async def _wait_while_busy(server: CallerServer, until: float) -> None:
    """Waits until no request is in progress, or a time has come."""
    with trio.move_on_at(until):
        while server.busy:
            await trio.sleep(BUSY_CHECK_INTERVAL_S)


def _read_clocks() -> tuple[float, float]:
    """Returns the monotonic clock without and with time in suspension."""
    return time.monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME)


def _answer_metrics(daemon: GatewayDaemon, request: Request) -> Response:
    headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
    return Response(200, headers, telemetry.metrics_text())


def run(daemon: GatewayDaemon) -> None:
    """Runs a daemon until it stops."""
    telemetry.start()
    trio.run(functools.partial(_run_and_log_crash, daemon))


async def _run_and_log_crash(daemon: GatewayDaemon) -> None:
    try:
        await daemon.run()
    except BaseException as error:
        telemetry.event("crash", error=repr(error))
        raise
