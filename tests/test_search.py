"""Searches under failure: one snapshot, true coverage, own whole answer."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
import trio
from sapphire_bench.caller import Caller
from sapphire_bench.fleet import Fleet
from sapphire_bench.spec import LeafSpec
from sapphire_standins.corpus import WORDS
from support import Load, run_scenario, wait_until, with_load

CALLS = 600
CALLERS = 30
CRASH_ROUNDS = 3
RECOVERY_S = 2.0
FAULTY_REPLIES = {
    "crossed_share": 0.1,
    "late_share": 0.1,
    "late_ms": 300,
    "duplicated_share": 0.1,
    "truncated_share": 0.1,
    "garbage_share": 0.1,
}


def test_faulty_replies_never_reach_an_answer():
    """Guards against a crossed, late, cut or repeated reply in an answer."""

    async def scenario(fleet: Fleet) -> None:
        async def act() -> None:
            for place in fleet.leaves[::2]:
                await fleet.fault(place.address, **FAULTY_REPLIES)
            await trio.sleep(3)
            for place in fleet.leaves[::2]:
                await fleet.fault(
                    place.address, **dict.fromkeys(FAULTY_REPLIES, 0)
                )

        load = await with_load(fleet, act)
        assert len(load.answers) > 50
        assert set(load.failures) <= {"overloaded", "quarantined"}

    run_scenario(scenario)


def test_repartition_under_load_keeps_one_snapshot():
    """Guards against an answer that mixes index versions or partitions."""

    async def scenario(fleet: Fleet) -> None:
        places = [p for p in fleet.leaves if p.service.name == "toxdesk"]

        async def act() -> None:
            # Version v2 has two shards instead of three. Leaves get it one
            # by one, and lose v1 one by one.
            for number, place in enumerate(places):
                old = {"version": "v1", "shard": place.shard, "shards": 3}
                new = {"version": "v2", "shard": number % 2, "shards": 2}
                await fleet.fault(place.address, versions=[old, new])
                await trio.sleep(0.2)
            await trio.sleep(1.5)
            for number, place in enumerate(places):
                new = {"version": "v2", "shard": number % 2, "shards": 2}
                await fleet.fault(place.address, versions=[new])
                await trio.sleep(0.2)
            await trio.sleep(1.5)

        load = await with_load(fleet, act)
        assert not load.failures
        assert not load.incomplete
        assert {a.body["index_version"] for a in load.answers} == {"v1", "v2"}

    run_scenario(scenario)


def test_lost_leaves_cost_coverage_only_without_a_replica():
    """Guards against a missing shard that the answer does not name."""

    async def scenario(fleet: Fleet) -> None:
        places = [p for p in fleet.leaves if p.service.name == "toxdesk"]
        one_of_each = [p for p in places if p.name.endswith("-0")]

        async def kill_one_of_each() -> None:
            for place in one_of_each:
                fleet.kill(f"leaf-{place.name}")
            await trio.sleep(2)

        load = await with_load(fleet, kill_one_of_each)
        assert not load.failures
        assert not load.incomplete

        async def kill_last_of_shard_1() -> None:
            fleet.kill("leaf-toxdesk-1-1")
            await trio.sleep(2)

        load = await with_load(fleet, kill_last_of_shard_1)
        assert not load.failures
        last = load.answers[-1].body["coverage"]
        assert [m["shard"] for m in last["missing"]] == [1]
        assert last["shards_answered"] == 2

    run_scenario(scenario)


def test_crash_request_is_quarantined_and_others_are_served():
    """Guards against one request that takes the leaves down one by one."""

    async def scenario(fleet: Fleet) -> None:
        places = [p for p in fleet.leaves if p.service.name == "toxdesk"]
        for place in places:
            await fleet.fault(place.address, crash_word="zzcrash")
        kinds = []

        async def act() -> None:
            for _ in range(3):
                for entry in fleet.entries:
                    body = {
                        "service": "toxdesk",
                        "text": "zzcrash dossier",
                        "k": 5,
                        "class": "sweep",
                        "deadline_ms": 2000,
                    }
                    reply = await fleet.call(entry, "POST", "/v1/search", body)
                    kinds.append(reply.get("error", {}).get("kind"))
                    await trio.sleep(0.3)

        load = await with_load(fleet, act)
        crashes = 0
        for place in places:
            crashes += (await fleet.record(place.address))["crashes"]
        # Section 6.5 of the design: two leaves while the canary's aggregator
        # does not change.
        assert 1 <= crashes <= 2
        assert kinds[-1] == "quarantined"
        assert not load.failures
        assert not load.incomplete

    run_scenario(scenario)


@pytest.mark.parametrize("spacing_ms", [0, 10, 30, 60])
def test_crash_request_through_every_entry_at_once(spacing_ms):
    """Guards against entries that each try a crashing request anew."""

    async def scenario(fleet: Fleet) -> None:
        places = [p for p in fleet.leaves if p.service.name == "toxdesk"]
        for place in places:
            await fleet.fault(
                place.address, crash_word="zzcrash", restart_ms=300
            )
        for number in range(CRASH_ROUNDS):
            before = await count_crashes(fleet, places)
            body = {
                "service": "toxdesk",
                "text": f"zzcrash dossier {number}",
                "k": 5,
                "class": "sweep",
                "deadline_ms": 1500,
            }

            async def send(entry: str, delay_s: float, body: Any) -> None:
                await trio.sleep(delay_s)
                await fleet.call(entry, "POST", "/v1/search", body)

            for _ in range(2):
                async with trio.open_nursery() as nursery:
                    for place, entry in enumerate(fleet.entries):
                        delay_s = place * spacing_ms / 1000
                        nursery.start_soon(send, entry, delay_s, body)
            # The leaves restart and their holders find them again.
            await trio.sleep(RECOVERY_S)
            crashes = await count_crashes(fleet, places) - before
            # Section 6.5 of the design.
            assert 1 <= crashes <= 2, number

    run_scenario(scenario)


async def count_crashes(fleet: Fleet, places: list[LeafSpec]) -> int:
    """Returns how often the leaves have crashed."""
    records = [await fleet.record(place.address) for place in places]
    return sum(record["crashes"] for record in records)


def test_answers_are_whole_for_concurrent_callers():
    """Guards against answers that reach another caller's request."""

    async def scenario(fleet: Fleet) -> None:
        caller = Caller(fleet.entries)
        load = Load(caller, deadline_ms=10_000)
        rng = random.Random(11)
        texts = [" ".join(rng.sample(WORDS, 2)) for _ in range(CALLS)]

        async def call(part: list[str]) -> None:
            for text in part:
                await load.search(text)

        async with trio.open_nursery() as nursery:
            for number in range(CALLERS):
                nursery.start_soon(call, texts[number::CALLERS])
        await caller.aclose()
        assert not load.failures
        assert not load.incomplete
        assert len(load.answers) == CALLS

    run_scenario(scenario)


def test_caller_that_hangs_up_frees_the_leaves():
    """Guards against leaves that work on for a caller who has gone."""

    async def scenario(fleet: Fleet) -> None:
        places = [p for p in fleet.leaves if p.service.name == "toxdesk"]
        for place in places:
            await fleet.fault(place.address, service_ms=3000)
        body = {
            "service": "toxdesk",
            "text": "hang up",
            "k": 5,
            "class": "sweep",
            "deadline_ms": 10_000,
        }
        data = json.dumps(body)
        host, _, port = fleet.entries[0].rpartition(":")
        async with await trio.open_tcp_stream(host, int(port)) as stream:
            head = "POST /v1/search HTTP/1.1\r\nHost: x\r\n"
            head += f"Content-Length: {len(data)}\r\n\r\n"
            await stream.send_all((head + data).encode())
            await trio.sleep(0.3)

        async def is_cancelled(fleet: Fleet) -> bool:
            records = [await fleet.record(place.address) for place in places]
            return any(record["stops"]["cancelled"] for record in records)

        # Sooner than the search would have ended at the leaf.
        await wait_until(fleet, is_cancelled, 2.0)

    run_scenario(scenario)
