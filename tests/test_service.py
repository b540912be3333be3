"""Changes of what is in service: domains, VMs, leaves, planned stops."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterable
from typing import Any

import trio
from sapphire_bench.fleet import Fleet
from sapphire_bench.spec import LeafSpec, Vm
from support import (
    OUT_BOUND_S,
    has_full_roster,
    run_scenario,
    wait_until,
    with_load,
)

GRACEFUL_S = 20.0
KILLED_BOUND_S = 5.0
# A poll of each entry and of the one that is asked, and time to spare.
ANNOUNCED_BOUND_S = 2.0


def now_ms() -> float:
    """Returns the clock of the stand-ins' records."""
    return time.monotonic() * 1000


async def last_new_work_ms(fleet: Fleet, place: LeafSpec) -> float:
    """Returns when a leaf last received a search or submission."""
    record = await fleet.record(place.address)
    return max(record["last_new_work_ms"].values(), default=0.0)


async def set_out(fleet: Fleet, revision: int, **out: Any) -> int:
    """Applies a document with other parts out; returns the new revision."""
    document = fleet.document.model_copy(update=out)
    return await fleet.apply(document, revision)


def test_failure_domain_out_and_back_under_load():
    """Guards against new work in a domain that is out of service."""

    async def scenario(fleet: Fleet) -> None:
        domain = fleet.vms[0].failure_domain
        places = [p for p in fleet.leaves if p.failure_domain == domain]

        async def act() -> None:
            revision = 1
            for _ in range(2):
                # In quick succession, so that a late effect of putting it
                # back would show.
                revision = await set_out(
                    fleet, revision, out_failure_domains=[domain]
                )
                out_at = now_ms()
                await trio.sleep(OUT_BOUND_S + 1)
                for place in places:
                    last = await last_new_work_ms(fleet, place)
                    assert last < out_at + OUT_BOUND_S * 1000
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
                revision = await set_out(fleet, revision)
                await trio.sleep(1)
            await trio.sleep(5)

        load = await with_load(fleet, act)
        assert not load.failures
        assert not load.incomplete
        works = [await last_new_work_ms(fleet, place) for place in places]
        assert max(works) > now_ms() - 5000

    run_scenario(scenario)


def test_draining_leaf_gets_no_new_work():
    """Guards against new work on a leaf that is leaving."""

    async def scenario(fleet: Fleet) -> None:
        place = fleet.leaves[0]

        async def act() -> None:
            await fleet.fault(place.address, draining=True)
            drained_at = now_ms()
            await trio.sleep(OUT_BOUND_S + 2)
            last = await last_new_work_ms(fleet, place)
            assert last < drained_at + OUT_BOUND_S * 1000

        load = await with_load(fleet, act)
        assert not load.failures
        assert not load.incomplete

    run_scenario(scenario)


def test_rolling_restart_fails_no_request():
    """Guards against a planned stop that cuts or refuses a request."""

    async def scenario(fleet: Fleet) -> None:
        async def act() -> None:
            for vm in fleet.vms:
                for role in ("entry", "aggregator"):
                    name = f"{role}-{vm.name}"
                    with trio.fail_after(GRACEFUL_S):
                        assert await fleet.stop(name) == 0
                    if role == "entry":
                        await fleet.start_entry(vm)
                    else:
                        await fleet.start_aggregator(vm)
                        await wait_until(fleet, has_full_roster)

        load = await with_load(fleet, act)
        assert not load.failures
        assert not load.incomplete

    run_scenario(scenario)


def test_killed_vms_are_replaced_without_a_lost_answer():
    """Guards against an outage when VMs fail one after the other."""

    async def scenario(fleet: Fleet) -> None:
        async def act() -> None:
            for vm in fleet.vms[:2]:
                fleet.kill(f"entry-{vm.name}")
                fleet.kill(f"aggregator-{vm.name}")
                await trio.sleep(2)
                await fleet.start_entry(vm)
                await fleet.start_aggregator(vm)
                await wait_until(fleet, has_full_roster)

        load = await with_load(fleet, act)
        # Searches are repeatable; the caller repeats those of a lost entry.
        assert not load.failures
        for body in load.incomplete:
            # Coverage may be partial while send rights move, never unstated.
            assert body["coverage"]["missing"]

    run_scenario(scenario)


def test_all_vms_lost_at_once_come_back():
    """Guards against send rights that nobody can take after a total loss."""

    async def scenario(fleet: Fleet) -> None:
        for vm in fleet.vms:
            fleet.kill(f"entry-{vm.name}")
            fleet.kill(f"aggregator-{vm.name}")
        for vm in fleet.vms:
            await fleet.start_aggregator(vm)
            await fleet.start_entry(vm)
        await fleet.wait_ready()

    run_scenario(scenario)


async def listed(fleet: Fleet, vm: Vm) -> set[str]:
    """Returns the addresses that the entry of a VM tells callers."""
    reply = await fleet.call(vm.entry, "GET", "/v1/addresses")
    return {item["address"] for item in reply["addresses"]}


async def wait_listed(
    fleet: Fleet, asked: Iterable[Vm], expected: set[str], within_s: float
) -> None:
    """Waits until each asked entry lists exactly the expected ones."""

    async def is_listed(fleet: Fleet) -> bool:
        return all([await listed(fleet, vm) == expected for vm in asked])

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
    """Guards against callers sent to one entry only, or to a lost one."""

    async def scenario(fleet: Fleet) -> None:
        first, second, third = fleet.vms
        everyone = {vm.entry for vm in fleet.vms}
        await wait_listed(fleet, fleet.vms, everyone, ANNOUNCED_BOUND_S)

        fleet.kill(f"entry-{third.name}")
        rest = everyone - {third.entry}
        await wait_listed(fleet, (first, second), rest, KILLED_BOUND_S)
        await fleet.start_entry(third)
        await wait_listed(fleet, (first, second), everyone, GRACEFUL_S)

        out = {"out_failure_domains": [third.failure_domain]}
        revision = await set_out(fleet, 1, **out)
        await wait_listed(fleet, fleet.vms, rest, ANNOUNCED_BOUND_S)
        await set_out(fleet, revision)
        await wait_listed(fleet, fleet.vms, everyone, ANNOUNCED_BOUND_S)

        answer = await fleet.call(first.entry, "GET", "/v1/addresses")
        keep_s = answer["keep_ms"] / 1000
        member = fleet.processes[f"entry-{third.name}"]
        stopped_at = trio.current_time()
        member.signal(signal.SIGTERM)
        served_until = stopped_at + keep_s
        rest_within = stopped_at + ANNOUNCED_BOUND_S
        while trio.current_time() < served_until:
            reply = await search_at(fleet, third, "safety dossier")
            assert reply.get("coverage", {}).get("complete"), reply
            await trio.sleep(0.05)
        left_s = max(rest_within - trio.current_time(), 0.1)
        await wait_listed(fleet, (first, second), rest, left_s)
        assert await fleet.stop(f"entry-{third.name}") == 0

    run_scenario(scenario)
