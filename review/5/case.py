"""A version raises the limit of a body; clients keep their connections."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import CONFIG_APPLY_S, CONTACT_S, CannotRunError, Client, Lab, main

ZONES = ["north-a", "north-b", "north-c"]
SERVICES = [{"Name": "desk", "MaxConnections": 48, "HealthPath": "/health"}]
ROUTES = [
    {
        "Name": "submit",
        "Prefix": "/submit/",
        "Service": "desk",
        "Kind": "non_idempotent",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 400,
        "MaxAttempts": 2,
        "Priority": 2,
    }
]
OLD_LIMIT = 262_144
NEW_LIMIT = 524_288
SMALL = 1_000
LARGE = 300_000


async def play(lab: Lab, has_trouble: bool) -> bool:
    """Returns whether bodies within the limit in force were accepted."""
    for zone in ZONES:
        await lab.add_leaf("desk", zone, 0.02)
    # Without the disruption, the greater limit is in force from the start.
    first_limit = OLD_LIMIT if has_trouble else NEW_LIMIT
    lab.configure(101, ROUTES, SERVICES, first_limit)
    await lab.start(ZONES)
    await lab.wait_ready()
    client = Client(lab, lab.new_host())

    async def send(size: int) -> list[int]:
        sent = []
        for _ in range(4):
            for gateway in lab.gateways:
                body = b"x" * size
                sent.append(
                    client.send(gateway, "/submit/1", "POST", 4000, body)
                )
                await asyncio.sleep(0.01)
        return [s.status for s in await asyncio.gather(*sent)]

    await asyncio.sleep(CONTACT_S)
    before = await send(SMALL)
    if has_trouble:
        lab.configure(104, ROUTES, SERVICES, NEW_LIMIT)
    await asyncio.sleep(CONFIG_APPLY_S + CONTACT_S)
    kept = await send(LARGE)
    fresh = await send(LARGE)
    if set(before) != {200}:
        raise CannotRunError(f"before the change: {before}")
    refused = kept.count(413) + fresh.count(413)
    asked = len(before) + len(kept) + len(fresh)
    lab.note(
        "result",
        before=before,
        first_round=kept,
        second_round=fresh,
        refused=refused,
        allowed=5 + asked / 500,
    )
    return refused <= 5 + asked / 500


if __name__ == "__main__":
    main(play, pathlib.Path(__file__).with_name("record.txt"))
