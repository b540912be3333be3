"""Case 6: the store comes back from a copy, and the gateways never notice."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import lab2

# The copy is so old when the store comes back from it. The pages say some
# seconds.
COPY_AGE_S = 4.0
# The store is away for so long. The pages say a moment.
AWAY_S = 1.0
# Versions that the operator writes after the copy was made.
LOST_VERSIONS = 5
# The operator's next change comes so long after the store's return, when the
# machines are in touch again: ContactMs is 4 s.
CALM_S = 8.0
# Requests of each kind to each gateway.
REQUESTS = 20


def _configuration(version: int, service: str, has_late: bool) -> object:
    route = {
        "Host": lab2.HOST,
        "Kind": "idempotent",
        "TimeoutMs": 4000,
        "TargetLatencyMs": 346,
        "Priority": 2,
        "MaxAttempts": 2,
    }
    routes = [{**route, "Name": "a", "Prefix": "/a/", "Service": service}]
    if has_late:
        late = {"Name": "late", "Prefix": "/late/", "Service": "new"}
        routes.append({**route, **late})
    # Versions differ in the time-out of a route that nobody uses.
    idle = {"Name": "idle", "Prefix": "/idle/", "Service": "old"}
    routes.append({**route, **idle, "TimeoutMs": 4000 + version})
    service_fields = {
        "HealthPath": "/health",
        "MaxConnections": 110,
        "WarmupS": 3.0,
        "WarmupPerS": 0.0,
    }
    return {
        "Version": version,
        "Routes": routes,
        "Services": [
            {"Name": name, **service_fields} for name in ("old", "new")
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 262144,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


async def _send(lab: lab2.Lab, path: str) -> list[lab2.Answer]:
    """Sends requests to each gateway, one after the other."""

    async def send_to(gateway: lab2.Gateway) -> list[lab2.Answer]:
        connection = lab2.Connection(gateway.ip, gateway.front, gateway.name)
        answers = []
        for number in range(REQUESTS):
            answers.append(await connection.request(f"{path}{number}", 4000))
            await asyncio.sleep(0.03)
        connection.close()
        return answers

    found = await asyncio.gather(*(send_to(g) for g in lab.gateways))
    return [answer for answers in found for answer in answers]


def _describe(lab: lab2.Lab, answers: list[lab2.Answer]) -> list[str]:
    """Records the answers; returns the service that ran each, or its status."""
    services = {run.request_id: run.service for run in lab.runs}
    results = []
    for answer in answers:
        service = services.get(answer.request_id)
        result = f"{answer.status} {service or 'not run'}"
        results.append(result)
        lab.record.write(
            f"{answer.gateway} {answer.path} {answer.request_id}: {result}"
        )
    return results


async def _play(lab: lab2.Lab) -> list[str]:
    for service in ("old", "new"):
        for zone in ("z1", "z2", "z3"):
            await lab.add_leaf(service, zone, lambda: 0.01)
    version = 1
    lab.store.write("op/config", _configuration(version, "old", False))
    await lab.start_gateways(["z1", "z2", "z3"])
    await lab.wait_until_known()
    _describe(lab, await _send(lab, "/a/"))

    state = lab.store.copy()
    lab.record.write(f"store: the copy is made at revision {state.revision}")
    for _ in range(LOST_VERSIONS):
        await asyncio.sleep(COPY_AGE_S / LOST_VERSIONS)
        version += 1
        configuration = _configuration(version, "old", False)
        lab.store.write("op/config", configuration)
    await asyncio.sleep(0.5)
    if lab2.trouble_wanted():
        lab.record.write("store: away")
        lab.store.go_away()
        await asyncio.sleep(AWAY_S)
        lab.store.come_back(state)
        lab.record.write(
            f"store: back from the copy, era {lab.store.era},"
            f" revision {lab.store.revision}"
        )
        # What the operator wrote is written again; it writes the whole
        # configuration, so that is its newest version. The leaves have written
        # nothing since the copy.
        lab.store.write("op/config", configuration)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(CALM_S)
    _describe(lab, await _send(lab, "/a/"))

    version += 1
    lab.store.write("op/config", _configuration(version, "new", True))
    lab.record.write(f"version {version} is acknowledged")
    await asyncio.sleep(lab2.CONFIG_APPLY_S + 1.0)
    moved = _describe(lab, await _send(lab, "/a/"))
    added = _describe(lab, await _send(lab, "/late/"))
    breaches = []
    by_old = sum(result.endswith(" old") for result in moved)
    if by_old:
        breaches.append(
            f"CONFIG: {by_old} of {len(moved)} requests were run by the old"
            f" service, over 4 s after the acknowledgement of {version}"
        )
    refused = sum(result.startswith("404") for result in added)
    if refused:
        breaches.append(
            f"CONFIG: {refused} of {len(added)} requests to the added route"
            " got 404"
        )

    lab.store.write("op/evacuate/z1", {})
    lab.record.write("the evacuation of z1 is acknowledged")
    await asyncio.sleep(lab2.EVACUATE_S + 1.0)
    began = lab2.now()
    _describe(lab, await _send(lab, "/a/"))
    in_zone = [
        run for run in lab.runs if run.arrived_at >= began and run.zone == "z1"
    ]
    if in_zone:
        breaches.append(
            f"EVAC: {len(in_zone)} requests reached leafs of z1 over 6 s after"
            " the acknowledgement of its evacuation"
        )
    return breaches


if __name__ == "__main__":
    lab2.main(pathlib.Path(__file__).resolve().parent, _play)
