"""CPU time, memory and platform calls of daemons without requests.

The sizes of a fleet are varied one at a time: members of the cell, leaves held
by each member, leaves in the document, and entries. Simulated entries, called
pollers, stand for large numbers of entries; they only poll the views of the
aggregators, which list the leaves that an aggregator holds.
"""

from __future__ import annotations

import contextlib
from collections import defaultdict
from dataclasses import dataclass

import trio
from sapphire_core.errors import ChannelError
from sapphire_wire.channel import Peer
from sapphire_wire.gen.ttypes import EntryRecord, Frame, View

from sapphire_bench.slope import Point, print_point
from sapphire_bench.stub_fleet import (
    LOCAL_REGION,
    FleetSize,
    StubLeafFleet,
    open_stub_fleet,
)
from sapphire_bench.usage import process_cpu_s, process_memory_mb, sum_counter

# Time between the start of a fleet and its measurement.
STABILIZE_S = 3.0
# As in sapphire_entry.views.
POLL_INTERVAL_S = 0.5
MEMBER_COUNTS = (3, 5, 7, 9)
HELD_LEAF_COUNTS = (30, 90, 300)
LISTED_LEAF_COUNTS = (100, 1000, 4600)
ENTRY_COUNTS = (10, 100, 300)
LEAVES_PER_MEMBER = 10
PLATFORM_CALLS = "sapphirecross_platform_calls_total"


async def measure_control(seconds: float) -> list[Point]:
    """Measures daemons without requests at each fleet size.

    Args:
        seconds: Duration of one measurement.
    """
    points = []
    for members in MEMBER_COUNTS:
        size = FleetSize(members, members * LEAVES_PER_MEMBER)
        points.append(
            await _idle_point(
                "members", {"members": members}, size, seconds, entries=True
            )
        )
    for leaves in HELD_LEAF_COUNTS:
        held = {"leaves_held_per_member": leaves / 3}
        points.append(
            await _idle_point("held", held, FleetSize(3, leaves), seconds)
        )
    for listed in LISTED_LEAF_COUNTS:
        size = FleetSize(3, 30, listed)
        points.append(
            await _idle_point(
                "listed", {"leaves_listed": listed}, size, seconds
            )
        )
    for entries in ENTRY_COUNTS:
        points.append(
            await _idle_point(
                "entries",
                {"entries": entries},
                FleetSize(3, 30),
                seconds,
                entries,
            )
        )
    return points


async def _idle_point(
    group: str,
    size: dict[str, float],
    fleet_size: FleetSize,
    seconds: float,
    pollers: int = 0,
    *,
    entries: bool = False,
) -> Point:
    async with (
        open_stub_fleet(fleet_size, entries=entries) as fleet,
        trio.open_nursery() as nursery,
    ):
        for number in range(pollers):
            for vm in fleet.vms:
                nursery.start_soon(poll_views, vm.aggregator, number, nursery)
        await trio.sleep(STABILIZE_S)
        before = await _idle_reading(fleet)
        await trio.sleep(seconds)
        after = await _idle_reading(fleet)
        nursery.cancel_scope.cancel()
        return print_point(Point(group, size, _idle_figures(before, after)))
    raise AssertionError("unreachable")


@dataclass(frozen=True)
class IdleReading:
    """Readings of the daemons, summed by kind: "aggregator" or "entry".

    Attributes:
        time_s: Time of the reading, on trio's clock.
        cpu_s: CPU time since the start of the daemons.
        memory_mb: Resident memory.
        platform_calls: Calls to the platform since the start of the daemons.
        daemons: Number of daemons.
    """

    time_s: float
    cpu_s: dict[str, float]
    memory_mb: dict[str, float]
    platform_calls: dict[str, float]
    daemons: dict[str, int]


async def _idle_reading(fleet: StubLeafFleet) -> IdleReading:
    cpu: dict[str, float] = defaultdict(float)
    memory: dict[str, float] = defaultdict(float)
    calls: dict[str, float] = defaultdict(float)
    daemons: dict[str, int] = defaultdict(int)
    for vm in fleet.vms:
        for kind, address in (("aggregator", vm.admin), ("entry", vm.entry)):
            process = fleet.processes.get(f"{kind}-{vm.name}")
            if process is None:
                continue
            daemons[kind] += 1
            cpu[kind] += process_cpu_s(process.pid)
            memory[kind] += process_memory_mb(process.pid)
            text = await fleet.metrics(address)
            calls[kind] += sum_counter(text, PLATFORM_CALLS)
    return IdleReading(trio.current_time(), cpu, memory, calls, daemons)


def _idle_figures(before: IdleReading, after: IdleReading) -> dict[str, float]:
    figures = {}
    elapsed_s = after.time_s - before.time_s
    for kind, count in after.daemons.items():
        daemon_s = elapsed_s * count
        used_s = after.cpu_s[kind] - before.cpu_s[kind]
        calls = after.platform_calls[kind] - before.platform_calls[kind]
        figures[f"{kind}_cpu_percent"] = 100 * used_s / daemon_s
        figures[f"{kind}_memory_mb"] = after.memory_mb[kind] / count
        figures[f"{kind}_platform_calls_per_s"] = calls / daemon_s
    return figures


async def poll_views(address: str, number: int, nursery: trio.Nursery) -> None:
    """Polls an aggregator's view as an entry does; runs until cancelled.

    Args:
        address: Address of the aggregator in the frame protocol.
        number: Number of the simulated entry, from which its address is made.
        nursery: Runs the connection.
    """
    peer = Peer(address, nursery)
    record = EntryRecord(
        address=f"10.0.{number // 250}.{number % 250 + 1}:8080",
        vm=f"10.0.{number // 250}.{number % 250 + 1}",
        failure_domain=LOCAL_REGION,
        ready=True,
        stamp=1,
        frames="",
    )
    # Sequence numbers of the last reply; the aggregator sends only what has
    # changed since.
    known, known_entries = -1, None
    # Spread the pollers over the interval; otherwise all ask at once.
    await trio.sleep(POLL_INTERVAL_S * (number % 100) / 100)
    while True:
        view = View(
            known=known,
            config_revision=1,
            entry=record,
            known_entries=known_entries,
        )
        with contextlib.suppress(ChannelError):
            reply = (await peer.request(Frame(view=view))).view_reply
            known, known_entries = reply.sequence, reply.entries_sequence
        await trio.sleep(POLL_INTERVAL_S)
