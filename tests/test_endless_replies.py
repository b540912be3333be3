"""Replies without end that leaves send to real gateway processes."""

from __future__ import annotations

import trio
from soak.callers import send_request
from soak.operator import FETCH, SEARCH, SHARDS
from soak.proxy import Mode
from soak.runner import running_environment, wait_until_ready

# Memory of each VM. A gateway without load takes less than half of it.
MEMORY_MB = 120.0
BYTES_PER_MB = 1e6
TROUBLE_S = 4.0
# Few enough that a busy machine refuses none of them as overloaded.
REQUEST_INTERVAL_S = 0.05
WATCH_INTERVAL_S = 0.02


def test_endless_replies_end_no_process_and_cost_no_request(tmp_path):
    """Guards against a process that keeps all bytes and runs out of memory.

    The requests of other callers were lost with it.
    """
    statuses, peak_mb = trio.run(_play, tmp_path)
    assert peak_mb < MEMORY_MB
    assert len(statuses) > 100
    assert set(statuses) == {200}


async def _play(folder):
    async with running_environment(1, folder, 2, MEMORY_MB) as (
        environment,
        nursery,
    ):
        await wait_until_ready(environment, nursery)
        gateway = environment.gateways[0]
        peak = 0
        statuses = []

        async def watch():
            nonlocal peak
            while True:
                peak = max(peak, gateway.memory_bytes)
                await trio.sleep(WATCH_INTERVAL_S)

        async def send(route):
            attempt = await send_request(gateway, route, f"{route.prefix}x")
            statuses.append(attempt.reply and attempt.reply.status)

        nursery.start_soon(watch)
        # One of the two leaves of each shard.
        faulty = {leaf.service: leaf for leaf in environment.leaves}
        for shard in SHARDS:
            proxy = environment.leaf_proxies[faulty[shard].address]
            proxy.set_mode(Mode.ENDLESS_REPLIES)
        ends_at = trio.current_time() + TROUBLE_S
        async with trio.open_nursery() as requests:
            while trio.current_time() < ends_at:
                requests.start_soon(send, SEARCH)
                requests.start_soon(send, FETCH)
                await trio.sleep(REQUEST_INTERVAL_S)
        assert gateway.is_running
        nursery.cancel_scope.cancel()
        return statuses, peak / BYTES_PER_MB
