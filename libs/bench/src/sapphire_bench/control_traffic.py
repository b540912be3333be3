"""Control traffic between daemons, counted where frames are encoded.

Frames are the messages between daemons. The aggregators, which are the members
of one cell, run in this process, and so do the simulated entries (pollers) that
poll them, so all frames are counted.
"""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from typing import Any

import trio
from sapphire_aggregator.daemon import Daemon
from sapphire_config.settings import AggregatorSettings
from sapphire_wire import channel, frames

from sapphire_bench.idle_cost import (
    ENTRY_COUNTS,
    HELD_LEAF_COUNTS,
    LEAVES_PER_MEMBER,
    MEMBER_COUNTS,
    STABILIZE_S,
    poll_views,
)
from sapphire_bench.slope import Point, print_point
from sapphire_bench.stub_fleet import FleetSize, StubLeafFleet, open_stub_fleet


class FrameCounts:
    """Encoded bytes and frames by message type."""

    def __init__(self) -> None:
        self.bytes: Counter[str] = Counter()
        self.frames: Counter[str] = Counter()

    def clear(self) -> None:
        """Resets all counts to zero."""
        self.bytes.clear()
        self.frames.clear()

    def add(self, frame: Any, data: bytes) -> None:
        """Adds one encoded frame."""
        name = next(
            (
                name
                for name in ("ping", "pong", "view", "view_reply")
                if getattr(frame, name) is not None
            ),
            "other",
        )
        self.bytes[name] += len(data)
        self.frames[name] += 1


@contextlib.contextmanager
def count_frames() -> Iterator[FrameCounts]:
    """Counts all frames that channels in this process encode."""
    counts = FrameCounts()

    def encode_and_count(frame: Any) -> bytes:
        data = frames.encode(frame)
        counts.add(frame, data)
        return data

    setattr(channel, "encode", encode_and_count)  # noqa: B010
    try:
        yield counts
    finally:
        setattr(channel, "encode", frames.encode)  # noqa: B010


async def measure_bytes(seconds: float) -> list[Point]:
    """Measures control traffic with varying members, leaves and entries.

    Args:
        seconds: Duration of one measurement.
    """
    points = []
    for members in MEMBER_COUNTS:
        size = FleetSize(members, members * LEAVES_PER_MEMBER)
        points.append(
            await _bytes_point(
                "bytes-members", {"members": members}, size, 0, seconds
            )
        )
    for leaves in HELD_LEAF_COUNTS:
        held = {"leaves_held_per_member": leaves / 3}
        points.append(
            await _bytes_point(
                "bytes-held", held, FleetSize(3, leaves), 3, seconds
            )
        )
    for entries in ENTRY_COUNTS:
        points.append(
            await _bytes_point(
                "bytes-entries",
                {"entries": entries},
                FleetSize(3, 30),
                entries,
                seconds,
            )
        )
    return points


async def _bytes_point(
    group: str,
    size: dict[str, float],
    fleet_size: FleetSize,
    pollers: int,
    seconds: float,
) -> Point:
    with count_frames() as counts:
        async with (
            _open_in_process(fleet_size) as fleet,
            trio.open_nursery() as nursery,
        ):
            for number in range(pollers):
                for vm in fleet.vms:
                    nursery.start_soon(
                        poll_views, vm.aggregator, number, nursery
                    )
            await trio.sleep(STABILIZE_S)
            counts.clear()
            start = trio.current_time()
            await trio.sleep(seconds)
            elapsed_s = trio.current_time() - start
            member_s = elapsed_s * fleet_size.members
            figures = {
                f"{name}_bytes_per_s": total / member_s
                for name, total in sorted(counts.bytes.items())
            }
            # Includes the frames that the simulated entries send. Each member
            # receives as many ping and pong bytes as it sends.
            figures["bytes_sent_per_s"] = sum(counts.bytes.values()) / member_s
            if pollers:
                views = counts.bytes["view"] + counts.bytes["view_reply"]
                figures["view_bytes_per_entry_and_member_per_s"] = views / (
                    member_s * pollers
                )
            nursery.cancel_scope.cancel()
    return print_point(Point(group, size, figures))


@contextlib.asynccontextmanager
async def _open_in_process(size: FleetSize) -> AsyncIterator[StubLeafFleet]:
    """Starts a cell whose aggregators run in this process."""
    async with (
        open_stub_fleet(size, entries=False, aggregators=False) as fleet,
        trio.open_nursery() as nursery,
    ):
        for vm in fleet.vms:
            settings = AggregatorSettings.model_validate(
                fleet.aggregator_settings(vm)
            )
            await Daemon(settings, nursery).start()
        await fleet.wait_leaves_held()
        yield fleet
        nursery.cancel_scope.cancel()
