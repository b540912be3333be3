"""Cold leaves: all daemons together stay within the limits of a cold leaf.

A leaf can be cold after a start, and a warm leaf can turn cold at any time. A
cold leaf is slow, and fails if it gets more concurrent requests than its limit.
"""

from __future__ import annotations

import signal

import trio
from sapphire_bench.fleet import Fleet
from sapphire_bench.spec import LeafSpec
from support import find_holder, run_scenario, run_under_load

# Concurrent requests that a cold stand-in leaf handles (section 1.4 of
# docs/design.md): one while it is known to be cold. After an unannounced turn
# to cold, as many as the leaf has slots, until its first slow reply has shown
# that it is cold.
COLD_LIMITS = {"cold_bears": 1, "unnoticed_bears": 2}
# Wait after each pause or resumption of the aggregator that holds a send right.
# Another aggregator takes over about 3 s after a pause begins.
SEND_RIGHT_TRANSFER_S = 5.0


async def check_cold_limits(fleet: Fleet, leaves: list[LeafSpec]) -> None:
    """Checks that no leaf exceeded its limits while it was cold.

    A leaf counts as a fall each failure because of more requests than the limit
    that applies at the time: cold_bears while it is known to be cold, and
    unnoticed_bears before that. Its largest number of concurrent requests
    (greatest_cold) covers only the time in which it was known to be cold.
    """
    for leaf in leaves:
        record = await fleet.record(leaf.address)
        assert record["falls"] == 0, (leaf.name, record)
        assert record["greatest_cold"] <= COLD_LIMITS["cold_bears"], leaf.name


def test_cold_limit_holds_when_paused_aggregators_resume_in_outage():
    """Guards against two aggregators that send to the same cold leaf.

    An aggregator that holds the send right for the leaf is paused until
    another one has taken over the right. When it resumes, it must not send
    because of the right that it held before. The platform is down meanwhile.
    """

    async def scenario(fleet: Fleet) -> None:
        leaves = [
            leaf for leaf in fleet.leaves if leaf.service.name == "toxdesk"
        ]
        for leaf in leaves:
            # More finished calls than this test sends to a leaf, so that the
            # leaves never become warm and the limit always applies.
            await fleet.fault(leaf.address, warm_after=10_000, **COLD_LIMITS)
            await fleet.fault(leaf.address, act="turn_cold")
        await fleet.fault(fleet.platform, down=True)
        await trio.sleep(3)

        async def pause_holders() -> None:
            # Both replicas of the first shard, one after the other.
            for leaf in leaves[:2]:
                vm = await find_holder(fleet, leaf)
                assert vm is not None
                aggregator = fleet.processes[f"aggregator-{vm.name}"]
                aggregator.signal(signal.SIGSTOP)
                await trio.sleep(SEND_RIGHT_TRANSFER_S)
                assert await find_holder(fleet, leaf) not in (vm, None)
                aggregator.signal(signal.SIGCONT)
                await trio.sleep(SEND_RIGHT_TRANSFER_S)

        # Whether searches fail or are incomplete is not checked here.
        await run_under_load(fleet, pause_holders, rate=40)
        await check_cold_limits(fleet, leaves)

    run_scenario(scenario)


def test_leaves_that_turn_cold_without_notice_do_not_fail():
    """Guards against full load on a leaf that turns cold but reports warm.

    The leaf also reports no load, so that only its slow replies show that it
    is cold. No search may fail; coverage is not checked.
    """

    async def scenario(fleet: Fleet) -> None:
        leaves = [
            leaf for leaf in fleet.leaves if leaf.service.name == "toxdesk"
        ]
        for leaf in leaves:
            await fleet.fault(
                leaf.address, health_says="warm", load_says=0, **COLD_LIMITS
            )

        async def turn_leaves_cold() -> None:
            # The first replica of each shard; the second one stays warm.
            for leaf in leaves[::2]:
                await fleet.fault(leaf.address, act="turn_cold")
                await trio.sleep(1)

        load = await run_under_load(fleet, turn_leaves_cold, rate=60)
        assert not load.failures
        for leaf in leaves:
            record = await fleet.record(leaf.address)
            assert record["falls"] == 0, (leaf.name, record)

    run_scenario(scenario)


def test_cold_leaves_of_returned_failure_domain_do_not_fail():
    """Guards against full load on the cold leaves of a returned domain.

    A failure domain is taken out of service; its leaves turn cold before it
    is put back.
    """

    async def scenario(fleet: Fleet) -> None:
        domain = fleet.vms[0].failure_domain
        leaves = [
            leaf for leaf in fleet.leaves if leaf.failure_domain == domain
        ]

        async def take_domain_out_and_back() -> None:
            document = fleet.document.model_copy(
                update={"out_failure_domains": [domain]}
            )
            revision = await fleet.apply(document, expected_revision=1)
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
