"""A leaf fails part of its requests after it has run them, with status 503."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import CONTACT_S, CannotRunError, Client, Lab, main

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
LEAVES = 8
# One leaf of eight fails this share of its requests for this time.
FAILING_SHARE = 0.4
FAILING_S = 5.0
PROMISES = (408, 421, 429, 503)


async def play(lab: Lab, has_trouble: bool) -> bool:
    """Returns whether no request that has run was said not to have run."""
    for number in range(LEAVES):
        await lab.add_leaf("desk", ZONES[number % len(ZONES)], 0.03)
    lab.configure(101, ROUTES, SERVICES)
    await lab.start(ZONES)
    await lab.wait_ready()
    client = Client(lab, lab.new_host())

    async def load(until: float) -> None:
        while lab.now() < until:
            for gateway in lab.gateways:
                path = f"/submit/{len(lab.sent)}"
                lab.spawn(client.send(gateway, path, "POST", body=b"proposal"))
            await asyncio.sleep(0.04)

    await asyncio.sleep(CONTACT_S)
    lab.spawn(load(lab.now() + FAILING_S + 2.0))
    await asyncio.sleep(1.0)
    # The leaf that has run most so far.
    names = [run.leaf for run in lab.runs]
    leaf = max(lab.leaves, key=lambda leaf: names.count(leaf.leaf_id))
    if has_trouble:
        leaf.failing_status = 503
        leaf.failing_share = FAILING_SHARE
        lab.note("failing", leaf=leaf.leaf_id, share=FAILING_SHARE)
    await asyncio.sleep(FAILING_S)
    leaf.failing_share = 0.0
    await asyncio.sleep(3.0)
    ran = {run.request_id for run in lab.runs}
    if sum(s.status == 200 for s in lab.sent) < 100:
        raise CannotRunError("too few requests were answered")
    untrue = [
        s for s in lab.sent if s.status in PROMISES and s.request_id in ran
    ]
    lab.note("result", sent=len(lab.sent), run_and_refused=len(untrue))
    return not untrue


if __name__ == "__main__":
    main(play, pathlib.Path(__file__).with_name("record.txt"))
