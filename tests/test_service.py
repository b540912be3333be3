"""Failure domains, leaves and daemons that leave service and return.

Covers domains that operators take out, draining leaves, planned stops of
daemons and killed daemons.
"""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable
from typing import Any

import trio
from sapphire_bench.fleet import Fleet
from sapphire_bench.spec import LeafSpec, Vm
from support import (
    NEW_WORK_LIMIT_S,
    is_cell_complete,
    run_scenario,
    run_under_load,
    wait_until,
)

SHUTDOWN_LIMIT_S = 20.0
RESTARTED_ENTRY_LIMIT_S = 20.0
LOST_ENTRY_LIMIT_S = 5.0
# For all changes of the address list except the loss or restart of an entry,
# which have their own limits above. An entry announces itself, or that it is
# leaving, when it polls the aggregators, and another entry learns of it at its
# own next poll. Entries poll about every 0.5 s. The rest is a margin, in which
# entries must also adopt a configuration change that takes a domain out or puts
# it back; the platform is up and notifies them of it.
ADDRESS_UPDATE_LIMIT_S = 2.0


def now_ms() -> float:
    """Returns the time of the machine's monotonic clock.

    All processes share this clock, and the stand-ins use it in their records.
    """
    return time.monotonic() * 1000


async def find_last_arrival_ms(fleet: Fleet, leaf: LeafSpec) -> float:
    """Returns when a leaf last received a search or submission; 0 if never."""
    record = await fleet.record(leaf.address)
    return max(record["last_new_work_ms"].values(), default=0.0)


async def apply_update(
    fleet: Fleet, expected_revision: int, **fields: Any
) -> int:
    """Applies the initial deployment document with some fields replaced.

    The revision in force must be the expected one, which is 1 for a new fleet.
    Returns the new revision.
    """
    document = fleet.document.model_copy(update=fields)
    return await fleet.apply(document, expected_revision)


def test_failure_domain_out_and_back_under_load():
    """Guards against new work in a failure domain that is out of service.

    Meanwhile the entry of the domain must refuse searches and state that they
    were not run. After the return, leaves of the domain must get work again.
    """

    async def scenario(fleet: Fleet) -> None:
        domain = fleet.vms[0].failure_domain
        leaves = [
            leaf for leaf in fleet.leaves if leaf.failure_domain == domain
        ]

        async def take_domain_out_and_back() -> None:
            revision = 1
            for _ in range(2):
                # The domain is taken out again 1 s after its first return, so
                # that a delayed effect of that return would show.
                revision = await apply_update(
                    fleet, revision, out_failure_domains=[domain]
                )
                out_at = now_ms()
                await trio.sleep(NEW_WORK_LIMIT_S + 1)
                for leaf in leaves:
                    last = await find_last_arrival_ms(fleet, leaf)
                    assert last < out_at + NEW_WORK_LIMIT_S * 1000
                body = {
                    "service": "toxdesk",
                    "text": "dose",
                    "k": 1,
                    "class": "typing",
                    "deadline_ms": 500,
                }
                reply = await fleet.call(
                    fleet.vms[0].entry, "POST", "/v1/search", body
                )
                assert reply["error"]["kind"] == "domain_out"
                assert reply["error"]["run"] == "not run"
                revision = await apply_update(fleet, revision)
                await trio.sleep(1)
            await trio.sleep(5)

        load = await run_under_load(fleet, take_domain_out_and_back)
        assert not load.failures
        assert not load.incomplete
        # At least one leaf of the domain got new work in the last 5 s.
        last_arrivals = [
            await find_last_arrival_ms(fleet, leaf) for leaf in leaves
        ]
        assert max(last_arrivals) > now_ms() - 5000

    run_scenario(scenario)


def test_draining_leaf_gets_no_new_work():
    """Guards against new work on a draining leaf."""

    async def scenario(fleet: Fleet) -> None:
        # The first leaf of toxdesk, the service that the load searches.
        leaf = fleet.leaves[0]

        async def drain_leaf() -> None:
            await fleet.fault(leaf.address, draining=True)
            drained_at = now_ms()
            await trio.sleep(NEW_WORK_LIMIT_S + 2)
            last = await find_last_arrival_ms(fleet, leaf)
            assert last < drained_at + NEW_WORK_LIMIT_S * 1000

        load = await run_under_load(fleet, drain_leaf)
        assert not load.failures
        assert not load.incomplete

    run_scenario(scenario)


def test_rolling_restart_fails_no_search():
    """Guards against searches that fail because of a planned stop.

    The client sends a search to another entry if an entry drops it or refuses
    it as leaving. A drop or refusal shows only if the search fails after that.
    Each daemon must exit with code 0 within SHUTDOWN_LIMIT_S.
    """

    async def scenario(fleet: Fleet) -> None:
        async def restart_daemons() -> None:
            for vm in fleet.vms:
                for role in ("entry", "aggregator"):
                    name = f"{role}-{vm.name}"
                    with trio.fail_after(SHUTDOWN_LIMIT_S):
                        assert await fleet.stop(name) == 0
                    if role == "entry":
                        await fleet.start_entry(vm)
                    else:
                        await fleet.start_aggregator(vm)
                        await wait_until(fleet, is_cell_complete)

        load = await run_under_load(fleet, restart_daemons)
        assert not load.failures
        assert not load.incomplete

    run_scenario(scenario)


def test_killed_daemons_are_replaced_without_a_failed_search():
    """Guards against failed searches when VMs are lost one after the other.

    The loss of a VM is simulated by killing its daemons. The client sends a
    search again if its entry is lost, so that no search may fail.
    """

    async def scenario(fleet: Fleet) -> None:
        async def replace_daemons() -> None:
            for vm in fleet.vms[:2]:
                fleet.kill(f"entry-{vm.name}")
                fleet.kill(f"aggregator-{vm.name}")
                await trio.sleep(2)
                await fleet.start_entry(vm)
                await fleet.start_aggregator(vm)
                await wait_until(fleet, is_cell_complete)

        load = await run_under_load(fleet, replace_daemons)
        assert not load.failures
        for body in load.incomplete:
            # Coverage may be partial while send rights move, but the missing
            # shards must be reported. An answer without any known shards lists
            # none and is an error here.
            assert body["coverage"]["missing"]

    run_scenario(scenario)


def test_all_shards_answer_again_after_all_daemons_were_killed():
    """Guards against shards that stay unavailable after a total loss.

    All daemons are killed and started again. Then each entry must answer from
    all shards, which needs the send right for one replica of each of them.
    """

    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.vms:
            fleet.kill(f"entry-{vm.name}")
            fleet.kill(f"aggregator-{vm.name}")
        for vm in fleet.vms:
            await fleet.start_aggregator(vm)
            await fleet.start_entry(vm)
        # Waits until a search of each service at each entry covers all shards,
        # and fails the test if that takes too long.
        await fleet.wait_ready()

    run_scenario(scenario)


async def listed_addresses(fleet: Fleet, vm: Vm) -> set[str]:
    """Returns the addresses that a VM's entry tells callers to use."""
    reply = await fleet.call(vm.entry, "GET", "/v1/addresses")
    return {item["address"] for item in reply["addresses"]}


async def wait_until_listed(
    fleet: Fleet, vms: Iterable[Vm], expected: set[str], within_s: float
) -> None:
    """Waits until the VMs' entries list exactly the expected addresses."""

    async def is_listed(fleet: Fleet) -> bool:
        return all(
            [await listed_addresses(fleet, vm) == expected for vm in vms]
        )

    await wait_until(fleet, is_listed, within_s)


async def search_at(fleet: Fleet, vm: Vm, text: str) -> Any:
    """Searches through the entry of one VM."""
    body = {
        "service": "toxdesk",
        "text": text,
        "k": 5,
        "class": "sweep",
        "deadline_ms": 1500,
    }
    return await fleet.call(vm.entry, "POST", "/v1/search", body)


def test_every_entry_lists_the_entries_in_service():
    """Guards against incomplete or outdated address lists.

    Each entry must list exactly the entries in service. One of them is killed
    and restarted, taken out of service with its domain and put back, and at
    last stopped as planned.
    """

    async def scenario(fleet: Fleet) -> None:
        first, second, third = fleet.vms
        all_entries = {vm.entry for vm in fleet.vms}
        await wait_until_listed(
            fleet, fleet.vms, all_entries, ADDRESS_UPDATE_LIMIT_S
        )

        fleet.kill(f"entry-{third.name}")
        remaining = all_entries - {third.entry}
        await wait_until_listed(
            fleet, (first, second), remaining, LOST_ENTRY_LIMIT_S
        )
        await fleet.start_entry(third)
        await wait_until_listed(
            fleet, (first, second), all_entries, RESTARTED_ENTRY_LIMIT_S
        )

        revision = await apply_update(
            fleet,
            expected_revision=1,
            out_failure_domains=[third.failure_domain],
        )
        await wait_until_listed(
            fleet, fleet.vms, remaining, ADDRESS_UPDATE_LIMIT_S
        )
        await apply_update(fleet, revision)
        await wait_until_listed(
            fleet, fleet.vms, all_entries, ADDRESS_UPDATE_LIMIT_S
        )

        # A stopping entry must serve searches for as long as callers may keep
        # its address (keep_ms), while the other entries must cease to list it.
        answer = await fleet.call(first.entry, "GET", "/v1/addresses")
        keep_s = answer["keep_ms"] / 1000
        third_entry = fleet.processes[f"entry-{third.name}"]
        stopped_at = trio.current_time()
        third_entry.signal(signal.SIGTERM)
        served_until = stopped_at + keep_s
        removal_due_at = stopped_at + ADDRESS_UPDATE_LIMIT_S
        while trio.current_time() < served_until:
            reply = await search_at(fleet, third, "safety dossier")
            assert reply.get("coverage", {}).get("complete"), reply
            await trio.sleep(0.05)
        # At least 0.1 s, so that the lists are read even if the searches above
        # lasted beyond removal_due_at.
        time_left_s = max(removal_due_at - trio.current_time(), 0.1)
        await wait_until_listed(fleet, (first, second), remaining, time_left_s)
        # Sends SIGTERM again if the process still runs, and waits for its exit.
        assert await fleet.stop(f"entry-{third.name}") == 0

    run_scenario(scenario)
