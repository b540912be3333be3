"""Real gateway processes and a store that comes back from an older copy.

What was written since the copy is lost, leases too, and revisions and lease
numbers are given out again.
"""

from __future__ import annotations

import itertools
import pathlib

import pytest
import trio
from sapphire_gateway.httpclient import HttpClient
from soak.runner import run_seed, running_environment, wait_until_ready

# Versions that the operator writes after the copy was made.
LOST_VERSIONS = 20
# Time after the return within which the gateways are in touch again.
CALM_S = 4.0
# Time within which an acknowledged change has to be in force.
APPLY_LIMIT_S = 3.0
METRICS_PORT = 9464
# Eras that the store states in turn, beside no era at all.
ODD_ERAS = (None, "", "x", "-1", "0", "1.5", "9" * 40, "99999999")
# Faults that come together with returns of the store.
COMPANY = (
    "store_returns",
    "configuration",
    "evacuation",
    "leaf_drains",
    "kill",
    "cut_from_store",
)
FAULT_PHASE_S = 8.0


def test_changes_after_the_return_are_applied(tmp_path):
    """Guards against VMs that keep what they knew before the return.

    The store's revision stays below the one that they had read.
    """
    trio.run(_check_changes, tmp_path)


def test_odd_eras_are_survived_and_a_return_beside_them_is_followed(tmp_path):
    """Guards against VMs that give up the store for a bad header of it."""
    trio.run(_check_odd_eras, tmp_path)


@pytest.mark.parametrize("seed", [1, 2])
def test_guarantees_hold_beside_returns(seed):
    """Guards against what VMs believe wrongly while all is written again."""
    result = run_seed(seed, FAULT_PHASE_S, fault_names=COMPANY)
    assert result.violations == [], result.faults
    assert result.served > 0


async def _check_changes(folder: pathlib.Path):
    async with running_environment(1, folder, 2) as (environment, nursery):
        await wait_until_ready(environment, nursery)
        store, operator = environment.store, environment.operator
        state = store.copy()
        for _ in range(LOST_VERSIONS):
            operator.change_configuration()
            await trio.sleep(0.1)
        known = store.revision
        store.come_back(state)
        operator.rewrite_configuration()
        await trio.sleep(CALM_S)
        operator.change_configuration()
        operator.evacuate("za")
        await trio.sleep(APPLY_LIMIT_S)
        assert store.revision < known
        await _check_version(nursery, environment)
        for gateway in environment.gateways:
            assert gateway.log_lines("gateway:domain_out"), gateway.name
        nursery.cancel_scope.cancel()


async def _check_odd_eras(folder: pathlib.Path):
    async with running_environment(1, folder, 2) as (environment, nursery):
        await wait_until_ready(environment, nursery)
        store, operator = environment.store, environment.operator
        state = store.copy()
        odd = itertools.cycle(ODD_ERAS)
        store.stated_era = lambda: next(odd)
        operator.change_configuration()
        await trio.sleep(APPLY_LIMIT_S)
        await _check_version(nursery, environment)
        store.stated_era = lambda: str(store.era)
        store.come_back(state)
        await trio.sleep(CALM_S)
        store.stated_era = lambda: next(odd)
        operator.change_configuration()
        await trio.sleep(APPLY_LIMIT_S)
        await _check_version(nursery, environment)
        for gateway in environment.gateways:
            assert gateway.log_lines("gateway:store_returned"), gateway.name
            assert gateway.log_lines("gateway:task_failed") == []
        nursery.cancel_scope.cancel()


async def _check_version(nursery: trio.Nursery, environment):
    version = environment.operator.version
    line = f"sapphirecross_config_version {version}.0".encode()
    for gateway in environment.gateways:
        assert line in await _metrics(nursery, gateway), gateway.name


async def _metrics(nursery: trio.Nursery, gateway) -> bytes:
    client = HttpClient(f"{gateway.host}:{METRICS_PORT}")
    client.start(nursery)
    return (await client.request("GET", "/metrics", 2.0)).body
