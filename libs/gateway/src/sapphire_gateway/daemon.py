"""The gateway process: starts, serves, reloads and leaves."""

from __future__ import annotations

import functools
import itertools
import signal
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass

import trio
from sapphire_core.members import Member
from sapphire_core.retrybudget import BudgetTerms
from sapphire_core.routing import ClientLimits

from sapphire_gateway import telemetry
from sapphire_gateway.callers import Caller, CallerServer
from sapphire_gateway.delegated_calls import HelperPool, HelperServer
from sapphire_gateway.dialect import Dialect
from sapphire_gateway.feed import FeedClient, FeedServer
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.gateway import Gateway
from sapphire_gateway.messages import Answer, Request
from sapphire_gateway.pool import LeafPool
from sapphire_gateway.store import Store
from sapphire_gateway.sync import Sync

TICK_S = 0.25
# Ticks between two looks at the settings file.
RELOAD_TICKS = 8
# A tick that is later than this means that the VM stood still.
PAUSE_S = 1.0
# Left of the time to stop when the last requests get a final answer.
STOP_MARGIN_S = 0.8


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of a gateway process.

    Attributes:
        name: Name of the VM.
        domain: Failure domain of the VM.
        cores: Processor time of the VM, as a number of cores.
        callers_address: Where callers connect.
        peer_address: Where other VMs ask this one.
        budget: Limit of extra calls over all VMs.
        grace_s: Time from SIGTERM to SIGKILL.
        addresses_keep_s: How long callers may keep the addresses they were
            told; each look-up delays a request by two round trips.
        metrics_address: Where metrics are served, or None.
    """

    name: str
    domain: str
    cores: float
    callers_address: str
    peer_address: str
    budget: BudgetTerms
    grace_s: float
    addresses_keep_s: float
    metrics_address: str | None


ExtraHandler = Callable[["GatewayDaemon", Request], Answer]


@dataclass(frozen=True, slots=True)
class ExtraListener:
    """A further address of the process, answered without leaves."""

    address: str
    handler: ExtraHandler


class PeerServer:
    """Answers other VMs of the fleet."""

    def __init__(self, feed: FeedServer, helper: HelperServer) -> None:
        self._feed = feed
        self._helper = helper

    async def answer(self, request: Request) -> Answer:
        """Answers a question; entries post theirs."""
        if request.method == b"POST":
            return await self._helper.answer(request)
        return await self._feed.answer(request)


class GatewayDaemon:
    """Holds the parts of a gateway process together."""

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        store: Store,
        extras: list[ExtraListener],
        reload_settings: Callable[[bool], None],
    ) -> None:
        """Prepares a process.

        Args:
            settings: Settings at the start.
            dialect: Header names.
            store: The platform's store.
            extras: Further addresses to serve.
            reload_settings: Reads the settings again; with False only if the
                file has changed, since no signal announces each change.
        """
        self._settings = settings
        self._dialect = dialect
        self._store = store
        self._extras = extras
        self._reload_settings = reload_settings
        self._view = FleetView(settings.name)
        self._is_leaving = False
        self._fleet: Fleet | None = None

    @property
    def is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self._is_leaving and self._view.configuration is not None

    @property
    def addresses_keep_s(self) -> float:
        """How long callers may keep addresses, in seconds."""
        return self._settings.addresses_keep_s

    def addresses_for(self, caller_domain: str) -> list[str]:
        """Returns the addresses that a caller should use, possibly none."""
        if self._fleet is None:
            return []
        now = trio.current_time()
        named = self._fleet.members_for_caller(caller_domain, now)
        if not named and self.is_ready:
            return [self._settings.callers_address]
        return [member.address for member in named]

    def set_budget(self, terms: BudgetTerms) -> None:
        """Adopts another limit of extra calls."""
        if self._fleet is not None:
            self._fleet.budget.set_terms(terms)

    async def run(self) -> None:
        """Runs until SIGTERM and a graceful stop."""
        telemetry.event("start", vm=self._settings.name)
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGHUP
        ) as signals:
            async with trio.open_nursery() as nursery:
                await self._serve(nursery, signals)
                nursery.cancel_scope.cancel()
        telemetry.event("stop", vm=self._settings.name)

    async def _serve(
        self, nursery: trio.Nursery, signals: AsyncIterator[int]
    ) -> None:
        self._store.start(nursery)
        pool = LeafPool(nursery, self._dialect)
        fleet = Fleet(
            self._view,
            pool,
            self._dialect,
            self._settings.domain,
            self._settings.budget,
        )
        gateway = Gateway(fleet)
        self._fleet = fleet
        server = CallerServer(
            gateway.handle, self._limits, self._closes, gateway.sent
        )
        await nursery.start(server.serve, self._settings.callers_address)
        extras = list(self._extras)
        if self._settings.metrics_address is not None:
            extras.append(
                ExtraListener(self._settings.metrics_address, _metrics)
            )
        for extra in extras:
            await self._listen(
                nursery, extra.address, functools.partial(self._extra, extra)
            )
        me = Member(
            self._settings.name,
            self._settings.callers_address,
            self._settings.domain,
            cores=self._settings.cores,
            peer_address=self._settings.peer_address,
        )
        sync = Sync(
            self._store,
            self._view,
            me,
            self._believed,
            lambda me, avoided: fleet.choose_feed(
                me, avoided, trio.current_time()
            ),
            lambda address: FeedClient(address, nursery, self._store.decode),
        )
        peers = PeerServer(
            FeedServer(sync.mirror, lambda: sync.feeding_age_s),
            HelperServer(fleet, lambda: sync.contact_age_s),
        )
        fleet.helpers = HelperPool(fleet, nursery)
        await self._listen(nursery, self._settings.peer_address, peers.answer)
        nursery.start_soon(sync.run)
        nursery.start_soon(pool.sweep)
        nursery.start_soon(self._tick, sync, pool)
        telemetry.event("serving", address=self._settings.callers_address)
        async for number in signals:
            if number == signal.SIGTERM:
                await self._leave(sync, server)
                return
            self._reload_settings(True)

    async def _extra(self, extra: ExtraListener, request: Request) -> Answer:
        return extra.handler(self, request)

    async def _listen(
        self,
        nursery: trio.Nursery,
        address: str,
        answer: Callable[[Request], Awaitable[Answer]],
    ) -> None:
        async def handle(request: Request, caller: Caller) -> Answer:
            return await answer(request)

        server = CallerServer(
            handle, ClientLimits, self._closes, lambda _request, _now: None
        )
        await nursery.start(server.serve, address)

    async def _leave(self, sync: Sync, server: CallerServer) -> None:
        """Stops: leaves the addresses, then waits for callers to go.

        Callers with old addresses connect up to the end, so the address is
        served as long as the time to stop allows.
        """
        began = trio.current_time()
        self._is_leaving = True
        sync.leave()
        telemetry.event("leaving", connections=server.connections)
        end = began + self._settings.grace_s - STOP_MARGIN_S
        await trio.sleep_until(end)
        server.stop()
        with trio.move_on_after(STOP_MARGIN_S / 2):
            while server.busy:
                await trio.sleep(0.02)
        telemetry.event("left", connections=server.connections)

    def _closes(self) -> bool:
        return self._is_leaving

    def _limits(self) -> ClientLimits:
        configuration = self._view.configuration
        return configuration.limits if configuration else ClientLimits()

    def _believed(self) -> None:
        assert self._fleet is not None
        now = trio.current_time()
        self._fleet.changed(now)
        self._fleet.warm()

    async def _tick(self, sync: Sync, pool: LeafPool) -> None:
        assert self._fleet is not None
        before = _clocks()
        for tick in itertools.count(1):
            await trio.sleep(TICK_S)
            if tick % RELOAD_TICKS == 0:
                self._reload_settings(False)
            now = _clocks()
            if max(n - b for n, b in zip(now, before, strict=True)) > PAUSE_S:
                telemetry.event("paused", clocks=now, before=before)
                pool.close_idle("the VM stood still")
                sync.resync("the VM stood still")
            before = now
            self._share_suspects(sync, trio.current_time())
            self._fleet.forget_gone_leaves(trio.current_time())
            telemetry.CONNECTIONS.set(pool.opened)

    def _share_suspects(self, sync: Sync, now: float) -> None:
        suspects = self._view.crashes.take_unshared(now)
        if suspects is not None:
            sync.share_suspects(suspects)


def _clocks() -> tuple[float, float]:
    """Returns the steady clock and the one that counts a suspended VM."""
    return time.monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME)


def _metrics(daemon: GatewayDaemon, request: Request) -> Answer:
    headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
    return Answer(200, headers, telemetry.metrics_text())


def run(daemon: GatewayDaemon) -> None:
    """Runs a daemon to its end."""
    telemetry.start()
    trio.run(functools.partial(_guarded, daemon))


async def _guarded(daemon: GatewayDaemon) -> None:
    try:
        await daemon.run()
    except BaseException as error:
        telemetry.event("crash", error=repr(error))
        raise
