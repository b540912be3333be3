"""What a return of the store from a copy costs in calls to the store.

The fleet must stay within the rates of the store that the users state, and
within what a restart of the store without loss costs. Run with -s, the test
prints the figures of docs/CAPACITY.md.
"""

from __future__ import annotations

import collections

import pytest
import trio
from sapphire_core.members import MAX_WATCHERS
from sapphire_gateway.fleet_view import MemberRemoval
from sync_harness import run_large_fleet

# Rates of the users' store, in calls per second of all VMs together.
WRITES_PER_S = 400
READS_PER_S = 2000
WRITES = {"lease", "put"}
# Length of the stretch after the return in which calls are counted.
COUNTED_S = 10.0
AWAY_S = 5.0


def most_per_second(times):
    """Returns the most calls in any second."""
    times = sorted(times)
    return max(
        (sum(t <= at < t + 1.0 for at in times) for t in times), default=0
    )


async def count_calls(store):
    """Returns the calls of the next seconds: total, writes, reads a second."""
    store.call_times.clear()
    await trio.sleep(COUNTED_S)
    by_name = collections.Counter(name for _, name in store.call_times)
    writes = [t for t, name in store.call_times if name in WRITES]
    reads = [t for t, name in store.call_times if name not in WRITES]
    return by_name, most_per_second(writes), most_per_second(reads)


async def restart(store):
    """Ends all leases and the history while the store is away."""
    store.is_down = True
    store.reset_watches()
    await trio.sleep(AWAY_S)
    store.leases = dict.fromkeys(store.leases, 0.0)
    for key in list(store.changes_by_key):
        store.write(key, MemberRemoval(key.rpartition("/")[2]))
    store.forget_history()
    store.is_down = False


async def come_back(store):
    """Comes back from a copy that is as old as the store was away."""
    state = store.copy()
    await trio.sleep(1)
    store.is_down = True
    store.reset_watches()
    await trio.sleep(AWAY_S)
    store.come_back(state)
    store.is_down = False


def measure(count, disturb):
    """Returns what a fleet calls after a disturbance of the store."""
    results = []

    async def test(store):
        await disturb(store)
        results.append(await count_calls(store))

    run_large_fleet(count, test)
    return results[0]


@pytest.mark.parametrize("count", [9, 60, 195])
def test_return_costs_no_more_than_a_restart(count):
    """Guards against re-reading and registration beyond the store's rates."""
    restarted, _, _ = measure(count, restart)
    returned, writes_per_s, reads_per_s = measure(count, come_back)
    print(
        f"{count} VMs: restart {restarted.total()} calls {dict(restarted)};"
        f" return {returned.total()} calls {dict(returned)}, at most"
        f" {writes_per_s} writes/s and {reads_per_s} reads/s"
    )
    assert writes_per_s <= WRITES_PER_S
    assert reads_per_s <= READS_PER_S
    assert returned.total() <= restarted.total()
    # The other VMs read their feeds.
    assert returned["read_all"] <= MAX_WATCHERS
