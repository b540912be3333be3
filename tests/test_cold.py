"""Cold leaves: the daemons together stay within a cold leaf's limits."""

from __future__ import annotations

import signal

import trio
from sapphire_bench.fleet import Fleet
from sapphire_bench.spec import LeafSpec
from support import find_holder, run_scenario, run_under_load

# Limits of the stand-in leaf, from section 1.4 of the design: one request on
# a leaf known to be cold, and at most its slots on one that turned cold before
# any daemon has noticed.
COLD_LIMITS = {"cold_bears": 1, "unnoticed_bears": 2}
SEND_RIGHT_TRANSFER_S = 5.0


async def check_cold_limits(fleet: Fleet, leaves: list[LeafSpec]) -> None:
    """Checks that no leaf failed or ran more requests than its cold limit."""
    for leaf in leaves:
        record = await fleet.record(leaf.address)
        assert record["falls"] == 0, (leaf.name, record)
        assert record["greatest_cold"] <= COLD_LIMITS["cold_bears"], leaf.name


def test_cold_bound_holds_over_pauses_and_outage():
    """Guards against two daemons that send to the same cold leaf.

    A paused holder of a send right resumes after the right has moved, while
    the platform is down.
    """

    async def scenario(fleet: Fleet) -> None:
        leaves = [
            leaf for leaf in fleet.leaves if leaf.service.name == "toxdesk"
        ]
        for leaf in leaves:
            # The leaves never become warm, so the cold limit stays in force.
            await fleet.fault(leaf.address, warm_after=10_000, **COLD_LIMITS)
            await fleet.fault(leaf.address, act="turn_cold")
        await fleet.fault(fleet.platform, down=True)
        await trio.sleep(3)

        async def pause_holders() -> None:
            for leaf in leaves[:2]:
                vm = await find_holder(fleet, leaf)
                assert vm is not None
                aggregator = fleet.processes[f"aggregator-{vm.name}"]
                aggregator.signal(signal.SIGSTOP)
                await trio.sleep(SEND_RIGHT_TRANSFER_S)
                assert await find_holder(fleet, leaf) not in (vm, None)
                aggregator.signal(signal.SIGCONT)
                await trio.sleep(SEND_RIGHT_TRANSFER_S)

        await run_under_load(fleet, pause_holders, rate=40)
        await check_cold_limits(fleet, leaves)

    run_scenario(scenario)


def test_leaves_that_turn_cold_unannounced_do_not_fall():
    """Guards against full load on a leaf that turns cold but reports warm."""

    async def scenario(fleet: Fleet) -> None:
        leaves = [
            leaf for leaf in fleet.leaves if leaf.service.name == "toxdesk"
        ]
        for leaf in leaves:
            await fleet.fault(
                leaf.address, health_says="warm", load_says=0, **COLD_LIMITS
            )

        async def turn_leaves_cold() -> None:
            for leaf in leaves[::2]:
                await fleet.fault(leaf.address, act="turn_cold")
                await trio.sleep(1)

        load = await run_under_load(fleet, turn_leaves_cold, rate=60)
        assert not load.failures
        for leaf in leaves:
            record = await fleet.record(leaf.address)
            assert record["falls"] == 0, (leaf.name, record)

    run_scenario(scenario)


def test_failure_domain_that_returns_cold_does_not_fall():
    """Guards against full load on a failure domain that returns cold."""

    async def scenario(fleet: Fleet) -> None:
        domain = fleet.vms[0].failure_domain
        leaves = [
            leaf for leaf in fleet.leaves if leaf.failure_domain == domain
        ]

        async def take_domain_out_and_back() -> None:
            document = fleet.document.model_copy(
                update={"out_failure_domains": [domain]}
            )
            revision = await fleet.apply(document, 1)
            await trio.sleep(4)
            for leaf in leaves:
                await fleet.fault(leaf.address, **COLD_LIMITS)
                await fleet.fault(leaf.address, act="turn_cold")
            await fleet.apply(fleet.document, revision)
            await trio.sleep(6)

        load = await run_under_load(fleet, take_domain_out_and_back, rate=60)
        assert not load.failures
        assert not load.incomplete
        await check_cold_limits(fleet, leaves)

    run_scenario(scenario)
