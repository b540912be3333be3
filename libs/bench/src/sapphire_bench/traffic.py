"""Bytes that daemons exchange for control, counted at the frame layer."""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from typing import Any

import trio
from sapphire_aggregator.daemon import Daemon
from sapphire_config.settings import AggregatorSettings
from sapphire_wire import channel, frames

from sapphire_bench.harness import LightFleet, Size, open_light
from sapphire_bench.idle import (
    ENTRIES,
    HELD,
    LEAVES_PER_MEMBER,
    MEMBERS,
    SETTLE_S,
    poll_views,
)
from sapphire_bench.slope import Point, note


class FrameCount:
    """Bytes and frames encoded, by message."""

    def __init__(self) -> None:
        self.bytes: Counter[str] = Counter()
        self.frames: Counter[str] = Counter()

    def clear(self) -> None:
        """Starts again at zero."""
        self.bytes.clear()
        self.frames.clear()

    def note(self, frame: Any, data: bytes) -> None:
        """Counts one frame."""
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
def counted_frames() -> Iterator[FrameCount]:
    """Counts all frames that the channels of this process encode."""
    count = FrameCount()

    def counting(frame: Any) -> bytes:
        data = frames.encode(frame)
        count.note(frame, data)
        return data

    setattr(channel, "encode", counting)  # noqa: B010
    try:
        yield count
    finally:
        setattr(channel, "encode", frames.encode)  # noqa: B010


async def measure_bytes(seconds: float) -> list[Point]:
    """Returns points of control bytes against members and entries."""
    points = []
    for members in MEMBERS:
        size = Size(members, members * LEAVES_PER_MEMBER)
        points.append(
            await _bytes_point(
                "bytes-members", {"members": members}, size, 0, seconds
            )
        )
    for leaves in HELD:
        held = {"leaves_held_per_member": leaves / 3}
        points.append(
            await _bytes_point("bytes-held", held, Size(3, leaves), 3, seconds)
        )
    for entries in ENTRIES:
        points.append(
            await _bytes_point(
                "bytes-entries",
                {"entries": entries},
                Size(3, 30),
                entries,
                seconds,
            )
        )
    return points


async def _bytes_point(
    group: str,
    size: dict[str, float],
    harness: Size,
    pollers: int,
    seconds: float,
) -> Point:
    with counted_frames() as count:
        async with (
            _in_process(harness) as fleet,
            trio.open_nursery() as nursery,
        ):
            for number in range(pollers):
                for vm in fleet.vms:
                    nursery.start_soon(
                        poll_views, vm.aggregator, number, nursery
                    )
            await trio.sleep(SETTLE_S)
            count.clear()
            start = trio.current_time()
            await trio.sleep(seconds)
            elapsed_s = trio.current_time() - start
            per = elapsed_s * harness.members
            figures = {
                f"{name}_bytes_per_s": total / per
                for name, total in sorted(count.bytes.items())
            }
            # A member sends its pings and pongs and receives as many.
            figures["bytes_sent_per_s"] = sum(count.bytes.values()) / per
            if pollers:
                views = count.bytes["view"] + count.bytes["view_reply"]
                figures["view_bytes_per_entry_and_member_per_s"] = views / (
                    per * pollers
                )
            nursery.cancel_scope.cancel()
    return note(Point(group, size, figures))


@contextlib.asynccontextmanager
async def _in_process(size: Size) -> AsyncIterator[LightFleet]:
    """Opens a cell whose aggregators run in this process."""
    async with (
        open_light(size, entries=False, aggregators=False) as fleet,
        trio.open_nursery() as nursery,
    ):
        for vm in fleet.vms:
            settings = AggregatorSettings.model_validate(
                fleet.aggregator_settings(vm)
            )
            await Daemon(settings, nursery).start()
        await fleet.wait_held()
        yield fleet
        nursery.cancel_scope.cancel()
