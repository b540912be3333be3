"""A leaf is drained while requests wait for a connection to it."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import CONTACT_S, CannotRunError, Client, Lab, main

ZONES = ["north-a", "north-b", "north-c"]
SERVICES = [{"Name": "desk", "MaxConnections": 8, "HealthPath": "/health"}]
ROUTES = [
    {
        "Name": "report",
        "Prefix": "/report/",
        "Service": "desk",
        "Kind": "non_idempotent",
        "TimeoutMs": 20000,
        "TargetLatencyMs": 10000,
        "MaxAttempts": 2,
        "Priority": 0,
    }
]
SLOTS = 6
WORK_S = 0.6
DRAIN_S = 3.0
# The leaf exits when all that reached it in time has long been answered.
MORE_S = 1.0
INTERVAL_S = 1 / 42
LOAD_S = 16.0


async def play(lab: Lab, has_trouble: bool) -> bool:
    """Returns whether no request reached the leaf too late."""
    for zone in ZONES:
        await lab.add_leaf("desk", zone, WORK_S, SLOTS)
    lab.configure(101, ROUTES, SERVICES)
    await lab.start(ZONES)
    await lab.wait_ready()
    clients = [Client(lab, lab.new_host()) for _ in range(4)]

    async def load(until: float) -> None:
        number = 0
        while lab.now() < until:
            number += 1
            gateway = lab.gateways[number % len(lab.gateways)]
            client = clients[number % len(clients)]
            path = f"/report/{number}"
            lab.spawn(client.send(gateway, path, "POST", 20000, b"order"))
            await asyncio.sleep(INTERVAL_S)

    await asyncio.sleep(CONTACT_S + 1.0)
    lab.spawn(load(lab.now() + LOAD_S))
    await asyncio.sleep(LOAD_S - 2.0)
    leaf = lab.leaves[0]
    acknowledged_at = lab.now()
    if has_trouble:
        acknowledged_at = await leaf.drain(DRAIN_S, MORE_S)
    await asyncio.sleep(24.0)
    late = [
        run
        for run in lab.runs
        if run.leaf == leaf.leaf_id and run.at > acknowledged_at + DRAIN_S
    ]
    answers = {s.request_id: s.status for s in lab.sent}
    if sum(status == 200 for status in answers.values()) < 50:
        raise CannotRunError("too few requests were answered")
    if not has_trouble:
        late = []
    counts: dict[int, int] = {}
    for status in answers.values():
        counts[status] = counts.get(status, 0) + 1
    lab.note(
        "result",
        acknowledged_at=round(acknowledged_at, 3),
        reached_too_late=len(late),
        after_s=[round(run.at - acknowledged_at, 2) for run in late],
        of_these_unanswered=sum(answers[r.request_id] != 200 for r in late),
        answers_by_status=counts,
    )
    return not late


if __name__ == "__main__":
    main(play, pathlib.Path(__file__).with_name("record.txt"))
