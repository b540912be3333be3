"""CPU time per query and per shard call under load.

The load is a closed loop: each of a number of callers sends a query as soon as
the answer to its last one has arrived. A shard call is the part of a query that
one shard answers.
"""

from __future__ import annotations

import contextlib
import itertools

import trio

from sapphire_bench.caller import Caller, NoAddressError
from sapphire_bench.slope import Point, print_point
from sapphire_bench.stub_fleet import (
    REQUEST_CLASS,
    SERVICE,
    FleetSize,
    StubLeafFleet,
    open_stub_fleet,
)
from sapphire_bench.usage import process_cpu_s

WARM_UP_S = 1.0
BASELINE_TIMEOUT_MS = 20_000.0
# With more than 96, this process would be the bottleneck.
CONCURRENT_QUERIES = (1, 8, 32, 96)
SHARD_COUNTS = (4, 16, 48)


async def _run_closed_loop(callers: list[Caller], seconds: float) -> int:
    """Runs queries back to back on each caller.

    Returns the number of complete answers.
    """
    end = trio.current_time() + seconds
    completed = 0
    numbers = itertools.count()

    async def run_one(caller: Caller) -> None:
        nonlocal completed
        while trio.current_time() < end:
            # A saturated entry may not return its addresses in time.
            with contextlib.suppress(NoAddressError):
                answer = await caller.search(
                    SERVICE,
                    f"dermal irritation {next(numbers)}",
                    request_class=REQUEST_CLASS,
                    deadline_ms=19_000,
                )
                completed += answer.is_complete

    async with trio.open_nursery() as nursery:
        for caller in callers:
            nursery.start_soon(run_one, caller)
    return completed


async def measure_load(seconds: float) -> list[Point]:
    """Measures CPU time and throughput under closed-loop load.

    Args:
        seconds: Duration of one measurement.
    """
    points = []
    for shards in SHARD_COUNTS:
        async with open_stub_fleet(
            FleetSize(leaves=shards), entries=True
        ) as fleet:
            vm = fleet.vms[0]
            await fleet.start_baseline(vm, BASELINE_TIMEOUT_MS)
            await fleet.wait_entry(vm.entry)
            await fleet.wait_entry(vm.baseline)
            for concurrency in CONCURRENT_QUERIES:
                points.append(
                    await _load_point(fleet, shards, concurrency, seconds)
                )
    return points


async def _load_point(
    fleet: StubLeafFleet, shards: int, concurrency: int, seconds: float
) -> Point:
    vm = fleet.vms[0]
    pids = {
        name: fleet.processes[f"{name}-{vm.name}"].pid
        for name in ("entry", "aggregator", "baseline")
    }
    figures: dict[str, float] = {}
    for address in (vm.entry, vm.baseline):
        # Overhead of httpcore's pool grows with its connections: with one
        # pool for all queries this process would be the bottleneck.
        callers = [Caller([address]) for _ in range(concurrency)]
        await _run_closed_loop(callers, WARM_UP_S)
        before = {name: process_cpu_s(pid) for name, pid in pids.items()}
        start = trio.current_time()
        completed = await _run_closed_loop(callers, seconds)
        elapsed_s = trio.current_time() - start
        used_ms = {
            name: (process_cpu_s(pid) - before[name]) * 1000
            for name, pid in pids.items()
        }
        for caller in callers:
            await caller.aclose()
        if not completed:
            continue
        # Only complete answers are counted, while the CPU time is that of all
        # queries.
        shard_calls = completed * shards
        if address == vm.entry:
            figures["aggregator_cpu_ms_per_leaf_call"] = (
                used_ms["aggregator"] / shard_calls
            )
            figures["entry_cpu_ms_per_query"] = used_ms["entry"] / completed
            figures["tier_cpu_ms_per_leaf_call"] = (
                used_ms["aggregator"] + used_ms["entry"]
            ) / shard_calls
            figures["tier_queries_per_s"] = completed / elapsed_s
        else:
            figures["baseline_cpu_ms_per_leaf_call"] = (
                used_ms["baseline"] / shard_calls
            )
            figures["baseline_queries_per_s"] = completed / elapsed_s
    size: dict[str, float] = {
        "shards": shards,
        "concurrent_queries": concurrency,
    }
    return print_point(Point("load", size, figures))
