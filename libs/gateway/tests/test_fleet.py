"""Tests of how the VMs of a fleet divide its limits."""

from __future__ import annotations

import dataclasses

import trio
from gateway_harness import DOMAIN, HEADER_NAMES, single_leaf_route
from sapphire_core.coldshare import MAX_SENDERS
from sapphire_core.crashsuspects import (
    CANARY_INTERVAL_S,
    CANARY_JITTER_S,
    HOLD_S,
    CrashedLeaf,
    CrashVerdict,
)
from sapphire_core.leafset import LeafEntry, LeafState
from sapphire_core.members import Member
from sapphire_core.retrybudget import RetryBudgetPolicy
from sapphire_core.routing import Configuration, ServiceSpec
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.pool import LeafPool

COLD_LEAF = LeafEntry(
    "i-1", "s", "127.0.0.1:1", DOMAIN, 2, LeafState.READY, 3.0, 1000, 1
)
COLD_RATE = 10.0


def run_with_fleets(test, domains=5, strong=3, weak=36):
    """Runs a test with one Fleet a VM, of a fleet in which most are spare.

    Args:
        test: Async function of the fleets.
        domains: Number of failure domains.
        strong: VMs of each domain with much processor time.
        weak: VMs of each domain with little.
    """

    async def main():
        now = trio.current_time()
        members = [
            Member(
                f"vm-{d}-{n}", "a:1", f"z{d}", cores=2.0 if is_strong else 0.5
            )
            for d in range(domains)
            for n, is_strong in enumerate([True] * strong + [False] * weak)
        ]
        async with trio.open_nursery() as nursery:
            fleets = []
            for member in members:
                fleet = Fleet(
                    FleetView(member.name),
                    LeafPool(nursery, HEADER_NAMES),
                    HEADER_NAMES,
                    member.domain,
                    RetryBudgetPolicy(0.2, 50.0, 10.0),
                )
                fleet.view.adopt(
                    Configuration(
                        1,
                        (single_leaf_route(),),
                        {"s": ServiceSpec("s", 120, COLD_RATE)},
                    )
                )
                for domain in range(domains):
                    entry = dataclasses.replace(
                        COLD_LEAF, leaf_id=f"i-{domain}", domain=f"z{domain}"
                    )
                    fleet.view.registry.put(entry, now)
                for other in members:
                    fleet.view.members.put(other)
                fleet.recompute_shares(now)
                fleets.append(fleet)
            await test(fleets)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_cold_leaf_is_called_by_vms_that_serve():
    """Guards against a cold leaf that only spare VMs may call.

    The load: 195 VMs, of which 15 serve, and leaves that have just started.
    """

    async def test(fleets):
        now = trio.current_time()
        for leaf in fleets[0].view.registry.leaves:
            senders = [f for f in fleets if f.may_send(leaf, now)]
            assert len(senders) == MAX_SENDERS
            assert all(fleet.is_serving for fleet in senders)

    run_with_fleets(test)


def test_canaries_of_the_serving_vms_follow_each_other():
    """Guards against canaries that all VMs of a large fleet run at once."""

    async def test(fleets):
        serving = [fleet for fleet in fleets if fleet.is_serving]
        for fleet in serving:
            fleet.view.crashes.record_crash(
                "a", CrashedLeaf("s", "i-1@1"), False, 0.0
            )
        for rank in range(len(serving)):
            at = HOLD_S + rank * CANARY_INTERVAL_S + CANARY_JITTER_S
            verdicts = [f.view.crashes.verdict("a", at) for f in serving]
            # Ranks from the longest delay on run theirs together.
            assert verdicts.count(CrashVerdict.CANARY) >= rank + 1

    run_with_fleets(test)
