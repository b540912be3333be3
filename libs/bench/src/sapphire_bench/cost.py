"""Processor time per leaf call, query and shard under load."""

from __future__ import annotations

import contextlib
import itertools

import trio

from sapphire_bench.caller import Caller, NoAddressError
from sapphire_bench.harness import (
    REQUEST_CLASS,
    SERVICE,
    LightFleet,
    Size,
    open_light,
)
from sapphire_bench.slope import Point, note
from sapphire_bench.usage import process_cpu_s

WARM_UP_S = 1.0
BASELINE_TIMEOUT_MS = 20_000.0
# With more queries the load tool's own process is the limit.
CONCURRENCY = (1, 8, 32, 96)
SHARDS = (4, 16, 48)


async def _drive(callers: list[Caller], seconds: float) -> int:
    """Keeps one query of each caller running; counts the whole answers."""
    end = trio.current_time() + seconds
    done = 0
    texts = itertools.count()

    async def run_one(caller: Caller) -> None:
        nonlocal done
        while trio.current_time() < end:
            # A saturated entry may not tell its addresses in time.
            with contextlib.suppress(NoAddressError):
                answer = await caller.search(
                    SERVICE,
                    f"dermal irritation {next(texts)}",
                    request_class=REQUEST_CLASS,
                    deadline_ms=19_000,
                )
                done += answer.is_complete

    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(run_one, caller)
    return done


async def measure_load(seconds: float) -> list[Point]:
    """Returns points of processor time under closed-loop load."""
    points = []
    for shards in SHARDS:
        async with open_light(Size(leaves=shards), entries=True) as fleet:
            vm = fleet.vms[0]
            await fleet.start_baseline(vm, BASELINE_TIMEOUT_MS)
            await fleet.wait_entry(vm.entry)
            await fleet.wait_entry(vm.baseline)
            for concurrency in CONCURRENCY:
                points.append(
                    await _load_point(fleet, shards, concurrency, seconds)
                )
    return points


async def _load_point(
    fleet: LightFleet, shards: int, concurrency: int, seconds: float
) -> Point:
    vm = fleet.vms[0]
    pids = {
        name: fleet.processes[f"{name}-{vm.name}"].pid
        for name in ("entry", "aggregator", "baseline")
    }
    figures: dict[str, float] = {}
    for address in (vm.entry, vm.baseline):
        # The time of httpcore's pool grows with its connections, so that
        # one pool for all queries would make this process the limit.
        callers = [Caller([address]) for _ in range(concurrency)]
        await _drive(callers, WARM_UP_S)
        before = {name: process_cpu_s(pid) for name, pid in pids.items()}
        start = trio.current_time()
        done = await _drive(callers, seconds)
        elapsed_s = trio.current_time() - start
        used_ms = {
            name: (process_cpu_s(pid) - before[name]) * 1000
            for name, pid in pids.items()
        }
        for caller in callers:
            await caller.aclose()
        if not done:
            continue
        calls = done * shards
        if address == vm.entry:
            figures["aggregator_cpu_ms_per_leaf_call"] = (
                used_ms["aggregator"] / calls
            )
            figures["entry_cpu_ms_per_query"] = used_ms["entry"] / done
            figures["tier_cpu_ms_per_leaf_call"] = (
                used_ms["aggregator"] + used_ms["entry"]
            ) / calls
            figures["tier_queries_per_s"] = done / elapsed_s
        else:
            figures["baseline_cpu_ms_per_leaf_call"] = (
                used_ms["baseline"] / calls
            )
            figures["baseline_queries_per_s"] = done / elapsed_s
    size: dict[str, float] = {
        "shards": shards,
        "concurrent_queries": concurrency,
    }
    return note(Point("load", size, figures))
