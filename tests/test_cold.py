"""Cold leaves: no more work than they bear, over all daemons together."""

from __future__ import annotations

import signal

import trio
from sapphire_bench.fleet import Fleet
from sapphire_bench.spec import LeafSpec
from support import holder_of, run_scenario, with_load

# The stand-in's bounds, from section 1.4 of the design: a leaf known to be
# cold runs one request, one that turned cold unnoticed at most its slots.
BEARS = {"cold_bears": 1, "unnoticed_bears": 2}
RIGHT_MOVES_S = 5.0


async def check_cold(fleet: Fleet, places: list[LeafSpec]) -> None:
    """Checks that no leaf fell over or bore more than it can."""
    for place in places:
        record = await fleet.record(place.address)
        assert record["falls"] == 0, (place.name, record)
        assert record["greatest_cold"] <= BEARS["cold_bears"], place.name


def test_cold_bound_holds_over_pauses_and_outage():
    """Guards against two daemons that both send to a cold leaf."""

    async def scenario(fleet: Fleet) -> None:
        places = [p for p in fleet.leaves if p.service.name == "toxdesk"]
        for place in places:
            # Leaves that never get warm keep the bound in force.
            await fleet.fault(place.address, warm_after=10_000, **BEARS)
            await fleet.fault(place.address, act="turn_cold")
        await fleet.fault(fleet.platform, down=True)
        await trio.sleep(3)

        async def act() -> None:
            for place in places[:2]:
                vm = await holder_of(fleet, place)
                assert vm is not None
                member = fleet.processes[f"aggregator-{vm.name}"]
                member.signal(signal.SIGSTOP)
                await trio.sleep(RIGHT_MOVES_S)
                assert await holder_of(fleet, place) not in (vm, None)
                member.signal(signal.SIGCONT)
                await trio.sleep(RIGHT_MOVES_S)

        await with_load(fleet, act, rate=40)
        await check_cold(fleet, places)

    run_scenario(scenario)


def test_leaves_that_turn_cold_unannounced_do_not_fall():
    """Guards against full load on a warm leaf that turns cold."""

    async def scenario(fleet: Fleet) -> None:
        places = [p for p in fleet.leaves if p.service.name == "toxdesk"]
        for place in places:
            await fleet.fault(
                place.address, health_says="warm", load_says=0, **BEARS
            )

        async def act() -> None:
            for place in places[::2]:
                await fleet.fault(place.address, act="turn_cold")
                await trio.sleep(1)

        load = await with_load(fleet, act, rate=60)
        assert not load.failures
        for place in places:
            record = await fleet.record(place.address)
            assert record["falls"] == 0, (place.name, record)

    run_scenario(scenario)


def test_failure_domain_that_returns_cold_does_not_fall():
    """Guards against full load on a whole domain that returns cold."""

    async def scenario(fleet: Fleet) -> None:
        domain = fleet.vms[0].failure_domain
        places = [p for p in fleet.leaves if p.failure_domain == domain]

        async def act() -> None:
            out = fleet.document.model_copy(
                update={"out_failure_domains": [domain]}
            )
            revision = await fleet.apply(out, 1)
            await trio.sleep(4)
            for place in places:
                await fleet.fault(place.address, **BEARS)
                await fleet.fault(place.address, act="turn_cold")
            await fleet.apply(fleet.document, revision)
            await trio.sleep(6)

        load = await with_load(fleet, act, rate=60)
        assert not load.failures
        assert not load.incomplete
        await check_cold(fleet, places)

    run_scenario(scenario)
