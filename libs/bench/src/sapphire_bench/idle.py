"""Processor time, memory and platform calls of idle daemons."""

from __future__ import annotations

import contextlib
from collections import defaultdict
from dataclasses import dataclass

import trio
from sapphire_core.errors import ChannelError
from sapphire_wire.channel import Peer
from sapphire_wire.gen.ttypes import EntryRecord, Frame, View

from sapphire_bench.harness import NEAR, LightFleet, Size, open_light
from sapphire_bench.slope import Point, note
from sapphire_bench.usage import counter, process_cpu_s, process_memory_mb

SETTLE_S = 3.0
POLL_S = 0.5
MEMBERS = (3, 5, 7, 9)
HELD = (30, 90, 300)
LISTED = (100, 1000, 4600)
ENTRIES = (10, 100, 300)
LEAVES_PER_MEMBER = 10
PLATFORM_CALLS = "sapphirecross_platform_calls_total"


async def measure_control(seconds: float) -> list[Point]:
    """Returns points of idle cells against members, leaves and entries."""
    points = []
    for members in MEMBERS:
        size = Size(members, members * LEAVES_PER_MEMBER)
        points.append(
            await _idle_point(
                "members", {"members": members}, size, seconds, entries=True
            )
        )
    for leaves in HELD:
        held = {"leaves_held_per_member": leaves / 3}
        points.append(await _idle_point("held", held, Size(3, leaves), seconds))
    for listed in LISTED:
        size = Size(3, 30, listed)
        points.append(
            await _idle_point(
                "listed", {"leaves_listed": listed}, size, seconds
            )
        )
    for entries in ENTRIES:
        points.append(
            await _idle_point(
                "entries", {"entries": entries}, Size(3, 30), seconds, entries
            )
        )
    return points


async def _idle_point(
    group: str,
    size: dict[str, float],
    harness: Size,
    seconds: float,
    pollers: int = 0,
    *,
    entries: bool = False,
) -> Point:
    async with (
        open_light(harness, entries=entries) as fleet,
        trio.open_nursery() as nursery,
    ):
        for number in range(pollers):
            for vm in fleet.vms:
                nursery.start_soon(poll_views, vm.aggregator, number, nursery)
        await trio.sleep(SETTLE_S)
        before = await _idle_reading(fleet)
        await trio.sleep(seconds)
        after = await _idle_reading(fleet)
        nursery.cancel_scope.cancel()
        return note(Point(group, size, _idle_figures(before, after)))
    raise AssertionError("unreachable")


@dataclass(frozen=True)
class IdleReading:
    """Counters of all daemons by kind, summed."""

    at: float
    cpu_s: dict[str, float]
    memory_mb: dict[str, float]
    platform_calls: dict[str, float]
    daemons: dict[str, int]


async def _idle_reading(fleet: LightFleet) -> IdleReading:
    cpu: dict[str, float] = defaultdict(float)
    memory: dict[str, float] = defaultdict(float)
    calls: dict[str, float] = defaultdict(float)
    daemons: dict[str, int] = defaultdict(int)
    for vm in fleet.vms:
        for kind, address in (("aggregator", vm.admin), ("entry", vm.entry)):
            member = fleet.processes.get(f"{kind}-{vm.name}")
            if member is None:
                continue
            daemons[kind] += 1
            cpu[kind] += process_cpu_s(member.pid)
            memory[kind] += process_memory_mb(member.pid)
            text = await fleet.metrics(address)
            calls[kind] += counter(text, PLATFORM_CALLS)
    return IdleReading(trio.current_time(), cpu, memory, calls, daemons)


def _idle_figures(before: IdleReading, after: IdleReading) -> dict[str, float]:
    figures = {}
    elapsed_s = after.at - before.at
    for kind, count in after.daemons.items():
        per = elapsed_s * count
        used_s = after.cpu_s[kind] - before.cpu_s[kind]
        calls = after.platform_calls[kind] - before.platform_calls[kind]
        figures[f"{kind}_cpu_percent"] = 100 * used_s / per
        figures[f"{kind}_memory_mb"] = after.memory_mb[kind] / count
        figures[f"{kind}_platform_calls_per_s"] = calls / per
    return figures


async def poll_views(address: str, number: int, nursery: trio.Nursery) -> None:
    """Polls the views of an aggregator as an entry does, until cancelled."""
    peer = Peer(address, nursery)
    record = EntryRecord(
        address=f"10.0.{number // 250}.{number % 250 + 1}:8080",
        vm=f"10.0.{number // 250}.{number % 250 + 1}",
        failure_domain=NEAR,
        ready=True,
        stamp=1,
        frames="",
    )
    known, known_entries = -1, None
    # Without the spread all pollers would ask in the same instant.
    await trio.sleep(POLL_S * (number % 100) / 100)
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
        await trio.sleep(POLL_S)
