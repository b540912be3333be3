"""Fault injection for each case of the load tool."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from sapphire_bench.fleet import Fleet
from sapphire_bench.load import Client
from sapphire_bench.plan import BenchSettings, CaseName
from sapphire_bench.spec import LeafSpec

CRASH_WORD = "crashword"
# Start and end of a fault, as shares of the duration of the load.
FAULT_START_SHARE = 0.2
FAULT_END_SHARE = 0.6
CRASH_RESTART_MS = 1000.0


@dataclass
class CaseContext:
    """Fleet and settings that a case works on.

    Attributes:
        fleet: Fleet under test.
        settings: Settings of the run.
        clients: Clients of the policy under test: the query tier or the
            baseline.
        seconds: Duration of the load.
        revision: Current revision of the deployment document.
    """

    fleet: Fleet
    settings: BenchSettings
    clients: list[Client]
    seconds: float
    revision: int = 1

    @property
    def first_service_leaves(self) -> list[LeafSpec]:
        """Leaves of the first service in the deployment's plan."""
        first = self.fleet.leaves[0].service.name
        return [x for x in self.fleet.leaves if x.service.name == first]

    async def sleep_share(self, share: float) -> None:
        """Sleeps for a share of the duration of the load."""
        await trio.sleep(self.seconds * share)

    async def set_out_domains(self, domains: list[str]) -> None:
        """Sets which failure domains are out of service."""
        document = self.fleet.document.model_copy(
            update={"out_failure_domains": domains}
        )
        self.revision = await self.fleet.apply(document, self.revision)

    def straggler_leaves(self) -> list[LeafSpec]:
        """Returns the leaves to slow down, all of the first service.

        There is at least one. The number is straggler_share of the leaves of
        all services, limited by the number of leaves of the first service.
        """
        leaves = len(self.fleet.leaves)
        count = max(1, math.floor(leaves * self.settings.straggler_share))
        return self.first_service_leaves[:count]

    def out_domain(self) -> str:
        """Returns the failure domain to take out of service."""
        return self.fleet.vms[-1].failure_domain

    def leaves_of_out_domain(self) -> list[LeafSpec]:
        """Returns the leaves of the failure domain to take out of service."""
        out = self.out_domain()
        return [x for x in self.fleet.leaves if x.failure_domain == out]


FleetAction = Callable[[CaseContext], Awaitable[None]]


@dataclass(frozen=True)
class Case:
    """A fault to inject during the load, and its clean-up after it."""

    inject: FleetAction
    cleanup: FleetAction


async def _no_op(context: CaseContext) -> None:
    del context


async def _slow_down_stragglers(context: CaseContext) -> None:
    for leaf in context.straggler_leaves():
        await context.fleet.fault(
            leaf.address, slow_factor=context.settings.straggler_factor
        )


async def _reset_stragglers(context: CaseContext) -> None:
    for leaf in context.straggler_leaves():
        await context.fleet.fault(leaf.address, slow_factor=1.0)


async def _kill_and_restart_leaf(context: CaseContext) -> None:
    await context.sleep_share(FAULT_START_SHARE)
    leaf = context.first_service_leaves[0]
    context.fleet.kill(f"leaf-{leaf.name}")
    await context.sleep_share(FAULT_END_SHARE - FAULT_START_SHARE)
    await context.fleet.restart_leaf(leaf, cold=True)


async def _turn_cold(context: CaseContext) -> None:
    leaf = context.first_service_leaves[0]
    # Neither aggregators nor the baseline read GET /health, so the first sign
    # that the leaf is cold is a slow reply. Up to `slots` concurrent requests
    # until then are allowed, so they do not cause an outage here.
    await context.fleet.fault(leaf.address, unnoticed_bears=leaf.service.slots)
    await context.sleep_share(FAULT_START_SHARE)
    await context.fleet.fault(leaf.address, act="turn_cold")


async def _restart_first_leaf(context: CaseContext) -> None:
    await _restart_leaves(context, context.first_service_leaves[:1])


async def _restart_leaves(context: CaseContext, leaves: list[LeafSpec]) -> None:
    """Restarts leaf processes, which resets their faults and counters.

    A leaf reports the peak of concurrent calls while cold since its start.
    Without the restart it would count for the following phases as well.
    """
    async with trio.open_nursery() as nursery:
        for leaf in leaves:
            nursery.start_soon(_restart_leaf, context, leaf)


async def _restart_leaf(context: CaseContext, leaf: LeafSpec) -> None:
    await context.fleet.restart_leaf(leaf, cold=False)


async def _take_domain_out_and_back(context: CaseContext) -> None:
    await context.sleep_share(FAULT_START_SHARE)
    await context.set_out_domains([context.out_domain()])
    await context.sleep_share((FAULT_END_SHARE - FAULT_START_SHARE) / 2)
    for leaf in context.leaves_of_out_domain():
        # The leaves restart while out of service and come back cold.
        await context.fleet.fault(
            leaf.address, act="crash", restart_ms=CRASH_RESTART_MS
        )
    await context.sleep_share((FAULT_END_SHARE - FAULT_START_SHARE) / 2)
    await context.set_out_domains([])


async def _restart_domain_leaves(context: CaseContext) -> None:
    await _restart_leaves(context, context.leaves_of_out_domain())


async def _set_platform_down(context: CaseContext) -> None:
    await context.fleet.fault(context.fleet.platform, down=True)


async def _set_platform_up(context: CaseContext) -> None:
    await context.fleet.fault(context.fleet.platform, down=False)


async def _send_crash_queries(context: CaseContext) -> None:
    for leaf in context.first_service_leaves:
        await context.fleet.fault(leaf.address, crash_word=CRASH_WORD)
    await context.sleep_share(FAULT_START_SHARE)
    service = context.first_service_leaves[0].service
    pause_s = 1 / context.settings.crash_rate
    end = trio.current_time() + context.seconds * (
        FAULT_END_SHARE - FAULT_START_SHARE
    )
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            nursery.start_soon(_send_crash_query, context, service.name)
            await trio.sleep(pause_s)


async def _send_crash_query(context: CaseContext, service: str) -> None:
    request_class = context.first_service_leaves[0].service.classes[0].name
    await context.clients[0].search(
        service, CRASH_WORD, request_class=request_class, deadline_ms=1000
    )


async def _restart_first_service_leaves(context: CaseContext) -> None:
    await _restart_leaves(context, context.first_service_leaves)


async def _lengthen_service_time(context: CaseContext) -> None:
    # With a longer service time, leaves are overloaded at a rate that the load
    # generator and the daemons can sustain on one machine.
    for leaf in context.first_service_leaves:
        await context.fleet.fault(
            leaf.address, service_ms=context.settings.overload.service_ms
        )


async def _reset_service_time(context: CaseContext) -> None:
    for leaf in context.first_service_leaves:
        await context.fleet.fault(
            leaf.address, service_ms=leaf.service.service_ms
        )


async def _restart_daemons(context: CaseContext) -> None:
    fleet = context.fleet
    for vm in fleet.vms:
        await fleet.stop(f"entry-{vm.name}")
        await fleet.stop(f"aggregator-{vm.name}")
        await fleet.start_aggregator(vm)
        await fleet.start_entry(vm)
        await fleet.wait_entry(vm.entry)
        # Wait until all members are back before the next VM, as in a rolling
        # restart by an operator.
        await fleet.wait_until_stable()


# `inject` is called when the load starts; the leaf-lost, leaf-cold, domain and
# crash cases then wait for FAULT_START_SHARE of the load before the fault. In
# the overload case it is called earlier: leaves get a longer service time
# before the run determines the rate with the highest goodput.
CASES = {
    CaseName.STEADY: Case(_no_op, _no_op),
    CaseName.STRAGGLER: Case(_slow_down_stragglers, _reset_stragglers),
    CaseName.LEAF_LOST: Case(_kill_and_restart_leaf, _restart_first_leaf),
    CaseName.LEAF_COLD: Case(_turn_cold, _restart_first_leaf),
    CaseName.DOMAIN: Case(_take_domain_out_and_back, _restart_domain_leaves),
    CaseName.PLATFORM_DOWN: Case(_set_platform_down, _set_platform_up),
    CaseName.CRASH: Case(_send_crash_queries, _restart_first_service_leaves),
    CaseName.OVERLOAD: Case(_lengthen_service_time, _reset_service_time),
    CaseName.RESTART: Case(_restart_daemons, _no_op),
}
