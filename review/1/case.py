"""Leaves send bytes without end in place of some answers."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import CONTACT_S, CannotRunError, Client, Gateway, Lab, main

ZONES = ["north-a", "north-b"]
SHARDS = [f"shard-{n:02}" for n in range(30)]
ROUTES = [
    {
        "Name": "search",
        "Prefix": "/search/",
        "Gather": SHARDS,
        "TopK": 20,
        "MinShardShare": 0.75,
        "Kind": "idempotent",
        "TimeoutMs": 2500,
        "TargetLatencyMs": 500,
        "MaxAttempts": 2,
        "Priority": 1,
    }
]
SERVICES = [
    {"Name": s, "MaxConnections": 26, "HealthPath": "/health"} for s in SHARDS
]
# MemoryMb of the settings, taken as MiB.
MEMORY_MB = 300 * 1.048576
SEARCHES_PER_S = 24
ENDLESS_SHARE = 0.04
LEAF_SHARE = 0.5
TROUBLE_S = 5.0
TROUBLES = 3


async def play(lab: Lab, has_trouble: bool) -> bool:
    """Returns whether the processes kept within their memory."""
    for shard in SHARDS:
        for zone in ZONES:
            leaf = await lab.add_leaf(shard, zone, 0.01, 4)
            leaf.records = 25
    lab.configure(101, ROUTES, SERVICES)
    await lab.start(ZONES)
    await lab.wait_ready()
    client = Client(lab, lab.new_host())
    ends = {gateway.name: 0 for gateway in lab.gateways}
    peaks = {gateway.name: 0.0 for gateway in lab.gateways}

    async def watch(gateway: Gateway) -> None:
        while True:
            await asyncio.sleep(0.02)
            used = gateway.memory_mb
            peaks[gateway.name] = max(peaks[gateway.name], used)
            if used > MEMORY_MB:
                lab.note("over", gateway=gateway.name, memory_mb=round(used))
                gateway.process.kill()
                ends[gateway.name] += 1
                await gateway.process.wait()
                await asyncio.sleep(0.3)
                await gateway.start()

    async def load(until: float) -> None:
        while lab.now() < until:
            for gateway in lab.gateways:
                path = f"/search/{len(lab.sent)}"
                lab.spawn(client.send(gateway, path, deadline_ms=2500))
                await asyncio.sleep(1 / SEARCHES_PER_S)

    for gateway in lab.gateways:
        lab.spawn(watch(gateway))
    await asyncio.sleep(CONTACT_S)
    length = TROUBLES * 2 * TROUBLE_S + 6
    lab.spawn(load(lab.now() + length))
    await asyncio.sleep(5.0)
    for _ in range(TROUBLES):
        for number, leaf in enumerate(lab.leaves):
            if has_trouble and number % 4 < 4 * LEAF_SHARE:
                leaf.endless_share = ENDLESS_SHARE
        lab.note("endless", share=ENDLESS_SHARE, of_leaves=LEAF_SHARE)
        await asyncio.sleep(TROUBLE_S)
        for leaf in lab.leaves:
            leaf.endless_share = 0.0
        lab.note("endless", share=0)
        await asyncio.sleep(TROUBLE_S)
    if sum(s.status == 200 for s in lab.sent) < 100:
        raise CannotRunError("too few requests were answered")
    slow = sorted(s.ended - s.at for s in lab.sent)
    lab.note(
        "result",
        ends=ends,
        peak_mb={n: round(v) for n, v in peaks.items()},
        sent=len(lab.sent),
        p50=slow[len(slow) // 2],
        p99=slow[int(len(slow) * 0.99)],
    )
    return min(ends.values()) < 3


if __name__ == "__main__":
    main(play, pathlib.Path(__file__).with_name("record.txt"))
