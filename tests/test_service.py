"""Changes of what is in service: domains, VMs, leaves, planned stops."""

from __future__ import annotations

import time
from typing import Any

import trio
from sapphire_bench.fleet import Fleet
from sapphire_bench.shape import LeafPlace
from support import (
    OUT_BOUND_S,
    has_full_roster,
    run_scenario,
    wait_until,
    with_load,
)

GRACEFUL_S = 20.0


def now_ms() -> float:
    """Returns the clock of the stand-ins' records."""
    return time.monotonic() * 1000


async def last_new_work_ms(fleet: Fleet, place: LeafPlace) -> float:
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
