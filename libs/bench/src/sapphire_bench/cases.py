"""What happens to the fleet while the load of a case runs."""

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
# Parts of a case: the fault begins after the first and ends after the second.
FAULT_FROM = 0.2
FAULT_UNTIL = 0.6
LOST_MS = 1000.0


@dataclass
class Stage:
    """What a case acts on.

    Attributes:
        fleet: The processes.
        settings: Settings of the run.
        clients: Callers of the policy under test.
        seconds: Length of the load.
        revision: Revision of the document in force.
    """

    fleet: Fleet
    settings: BenchSettings
    clients: list[Client]
    seconds: float
    revision: int = 1

    @property
    def main(self) -> list[LeafSpec]:
        """Leaves of the first service, which most of the load asks."""
        first = self.fleet.leaves[0].service.name
        return [p for p in self.fleet.leaves if p.service.name == first]

    async def wait(self, share: float) -> None:
        """Sleeps for a share of the load's length."""
        await trio.sleep(self.seconds * share)

    async def take_out(self, domains: list[str]) -> None:
        """Sets which failure domains are out of service."""
        document = self.fleet.document.model_copy(
            update={"out_failure_domains": domains}
        )
        self.revision = await self.fleet.apply(document, self.revision)

    def stragglers(self) -> list[LeafSpec]:
        """Returns one leaf in twenty, at least one, of the first service."""
        leaves = len(self.fleet.leaves)
        count = max(1, math.floor(leaves * self.settings.straggler_share))
        return self.main[:count]

    def domain(self) -> str:
        """Returns the failure domain that goes out."""
        return self.fleet.vms[-1].failure_domain

    def leaves_of_domain(self) -> list[LeafSpec]:
        """Returns the leaves of the failure domain that goes out."""
        out = self.domain()
        return [p for p in self.fleet.leaves if p.failure_domain == out]


Act = Callable[[Stage], Awaitable[None]]


@dataclass(frozen=True)
class Case:
    """A fault that acts while the load runs, and its clean-up after it."""

    act: Act
    clean: Act


async def _nothing(stage: Stage) -> None:
    del stage


async def _slow_stragglers(stage: Stage) -> None:
    for place in stage.stragglers():
        await stage.fleet.fault(
            place.address, slow_factor=stage.settings.straggler_factor
        )


async def _end_stragglers(stage: Stage) -> None:
    for place in stage.stragglers():
        await stage.fleet.fault(place.address, slow_factor=1.0)


async def _lose_leaf(stage: Stage) -> None:
    await stage.wait(FAULT_FROM)
    place = stage.main[0]
    stage.fleet.kill(f"leaf-{place.name}")
    await stage.wait(FAULT_UNTIL - FAULT_FROM)
    await stage.fleet.restart_leaf(place, cold=True)


async def _turn_cold(stage: Stage) -> None:
    place = stage.main[0]
    # Until the first slow reply nobody can know of the turn, so that the
    # guarantee allows up to `slots` requests until then.
    await stage.fleet.fault(place.address, unnoticed_bears=place.service.slots)
    await stage.wait(FAULT_FROM)
    await stage.fleet.fault(place.address, act="turn_cold")


async def _renew_first(stage: Stage) -> None:
    await _renew(stage, stage.main[:1])


async def _renew(stage: Stage, places: list[LeafSpec]) -> None:
    """Starts new leaf processes, whose counters begin at zero."""
    async with trio.open_nursery() as nursery:
        for place in places:
            nursery.start_soon(_renew_one, stage, place)


async def _renew_one(stage: Stage, place: LeafSpec) -> None:
    await stage.fleet.restart_leaf(place, cold=False)


async def _move_domain(stage: Stage) -> None:
    await stage.wait(FAULT_FROM)
    await stage.take_out([stage.domain()])
    await stage.wait((FAULT_UNTIL - FAULT_FROM) / 2)
    for place in stage.leaves_of_domain():
        # The leaves restart while out of service and come back cold.
        await stage.fleet.fault(place.address, act="crash", restart_ms=LOST_MS)
    await stage.wait((FAULT_UNTIL - FAULT_FROM) / 2)
    await stage.take_out([])


async def _renew_domain(stage: Stage) -> None:
    await _renew(stage, stage.leaves_of_domain())


async def _stop_platform(stage: Stage) -> None:
    await stage.fleet.fault(stage.fleet.platform, down=True)


async def _start_platform(stage: Stage) -> None:
    await stage.fleet.fault(stage.fleet.platform, down=False)


async def _repeat_crash(stage: Stage) -> None:
    for place in stage.main:
        await stage.fleet.fault(place.address, crash_word=CRASH_WORD)
    await stage.wait(FAULT_FROM)
    service = stage.main[0].service
    pause_s = 1 / stage.settings.crash_rate
    end = trio.current_time() + stage.seconds * (FAULT_UNTIL - FAULT_FROM)
    async with trio.open_nursery() as nursery:
        while trio.current_time() < end:
            nursery.start_soon(_send_crash, stage, service.name)
            await trio.sleep(pause_s)


async def _send_crash(stage: Stage, service: str) -> None:
    request_class = stage.main[0].service.classes[0].name
    await stage.clients[0].search(
        service, CRASH_WORD, request_class=request_class, deadline_ms=1000
    )


async def _renew_main(stage: Stage) -> None:
    await _renew(stage, stage.main)


async def _slow_leaves(stage: Stage) -> None:
    for place in stage.main:
        await stage.fleet.fault(
            place.address, service_ms=stage.settings.overload.service_ms
        )


async def _end_slow_leaves(stage: Stage) -> None:
    for place in stage.main:
        await stage.fleet.fault(
            place.address, service_ms=place.service.service_ms
        )


async def _restart_daemons(stage: Stage) -> None:
    fleet = stage.fleet
    for vm in fleet.vms:
        await fleet.stop(f"entry-{vm.name}")
        await fleet.stop(f"aggregator-{vm.name}")
        await fleet.start_aggregator(vm)
        await fleet.start_entry(vm)
        await fleet.wait_entry(vm.entry)
        # The next VM follows when the cell is whole again, as an operator
        # would have it.
        await fleet.wait_settled()


# The overload case changes its leaves before the load of its ramp.
CASES = {
    CaseName.STEADY: Case(_nothing, _nothing),
    CaseName.STRAGGLER: Case(_slow_stragglers, _end_stragglers),
    CaseName.LEAF_LOST: Case(_lose_leaf, _renew_first),
    CaseName.LEAF_COLD: Case(_turn_cold, _renew_first),
    CaseName.DOMAIN: Case(_move_domain, _renew_domain),
    CaseName.PLATFORM_DOWN: Case(_stop_platform, _start_platform),
    CaseName.CRASH: Case(_repeat_crash, _renew_main),
    CaseName.OVERLOAD: Case(_slow_leaves, _end_slow_leaves),
    CaseName.RESTART: Case(_restart_daemons, _nothing),
}
