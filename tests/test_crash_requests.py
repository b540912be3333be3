"""Fleets of real gateway processes under a request that crashes leaves.

Its caller repeats it; other callers send harmless requests beside it.
"""

from __future__ import annotations

import pytest
import trio
from soak import faults
from soak.callers import send_request
from soak.guarantees import (
    CRASH_LIMIT_S,
    CRASHES_BEFORE_LIMIT,
    MAX_LATE_CRASH_REQUESTS,
)
from soak.leafprocess import SupervisedLeaf
from soak.leaves import CRASH_PATH
from soak.operator import FETCH, UNSHARDED_SERVICE
from soak.runner import run_seed, running_environment, wait_until_ready

# Time during which a run starts faults. A fault that repeats a crashing request
# goes on for some seconds more.
FAULT_PHASE_S = 0.5
# So many leaves that some are up whenever the request is repeated.
LEAVES = 16
QUICK_PAUSE_S = 0.02
SLOW_PAUSE_S = 0.6
# Leaves that are processes of their own, and how their request is repeated.
SUPERVISED_LEAVES = 8
FIRST_SUPERVISED_PORT = 9400
SUPERVISED_REPETITION_S = 12.0
SUPERVISED_PAUSE_S = 0.1
HARMLESS_TRIES = 5


def _violations(monkeypatch, names, pause_s, callers=1, phase_s=FAULT_PHASE_S):
    monkeypatch.setattr(faults, "CRASH_PAUSES_S", (pause_s,))
    monkeypatch.setattr(faults, "CRASH_CALLER_COUNTS", (callers,))
    return run_seed(
        1, phase_s, fault_names=names, unsharded_leaves=LEAVES
    ).violations


@pytest.mark.parametrize("pause_s", [QUICK_PAUSE_S, SLOW_PAUSE_S])
def test_crash_request_repeated_at_one_gateway_is_kept_from_leaves(
    monkeypatch, pause_s
):
    """Guards against a quick series of crashes that counts as one."""
    names = ("crash_fetch_at_one_gateway",)
    assert _violations(monkeypatch, names, pause_s) == []


@pytest.mark.parametrize("callers", [1, 4])
def test_crash_request_repeated_at_any_gateway_is_kept_from_leaves(
    monkeypatch, callers
):
    """Guards against gateways that do not add up their crashes.

    Also guards against harmless requests that are refused because they ran
    beside the crashing one.
    """
    names = ("crash_fetch",)
    assert _violations(monkeypatch, names, QUICK_PAUSE_S, callers) == []


@pytest.mark.parametrize("pause_s", [QUICK_PAUSE_S, SLOW_PAUSE_S])
def test_crash_request_of_many_callers_is_kept_from_leaves(
    monkeypatch, pause_s
):
    """Guards against one request that each caller's address gives a new name.

    Nobody had seen it before at each of its arrivals, and it ran each time.
    """
    names = ("crash_fetch_from_many_hosts",)
    assert _violations(monkeypatch, names, pause_s) == []


def test_crash_search_is_kept_from_leaves(monkeypatch):
    """Guards against a search that ends the leaves of all its shards."""
    assert _violations(monkeypatch, ("crash_search",), SLOW_PAUSE_S) == []


def test_crash_request_is_kept_from_leaves_while_gateways_are_killed(
    monkeypatch,
):
    """Guards against counts that go with the gateway that has them."""
    names = ("crash_fetch", "kill")
    assert _violations(monkeypatch, names, SLOW_PAUSE_S, phase_s=3.0) == []


def test_crash_request_is_kept_from_leaves_without_the_store(monkeypatch):
    """Guards against counts that are exchanged through the store only."""
    names = ("crash_fetch", "store_unreachable")
    assert _violations(monkeypatch, names, SLOW_PAUSE_S, phase_s=3.0) == []


def test_lost_failure_domain_quarantines_no_harmless_request(monkeypatch):
    """Guards against blaming the requests that ran on lost leaves."""
    names = ("failure_domain_crashes",)
    assert _violations(monkeypatch, names, SLOW_PAUSE_S, phase_s=6.0) == []


@pytest.mark.parametrize(
    ("end", "keeps_id"),
    [("SIGKILL", False), ("SIGSEGV", True), ("exit", False)],
)
def test_crash_of_a_supervised_leaf_process_is_seen(tmp_path, end, keeps_id):
    """Guards against a leaf that counts as alive as its address accepts.

    A supervisor keeps its socket open and starts it again at once.
    """
    reached_at, status = trio.run(
        _repeat_at_supervised_leaves, tmp_path, end, keeps_id
    )
    assert len(reached_at) >= CRASHES_BEFORE_LIMIT
    limit_at = reached_at[CRASHES_BEFORE_LIMIT - 1] + CRASH_LIMIT_S
    late = [at for at in reached_at if at > limit_at]
    assert len(late) <= MAX_LATE_CRASH_REQUESTS
    assert status == 200


async def _repeat_at_supervised_leaves(folder, end, keeps_id):
    """Repeats a request that crashes leaves.

    Returns:
        The times of the repetitions that crashed leaves, and the status of a
        harmless request after them.
    """
    async with running_environment(1, folder, 0) as (environment, nursery):
        subnet = environment.gateways[0].host.rpartition(".")[0]
        leaves = [
            SupervisedLeaf(
                f"{subnet}.3:{FIRST_SUPERVISED_PORT + number}",
                UNSHARDED_SERVICE,
                "za",
                environment.store,
                end,
            )
            for number in range(SUPERVISED_LEAVES)
        ]
        for leaf in leaves:
            nursery.start_soon(leaf.run, keeps_id)
        await wait_until_ready(environment, nursery)
        path = f"{FETCH.prefix}{CRASH_PATH.decode()}"
        reached_at = []
        ends_at = trio.current_time() + SUPERVISED_REPETITION_S
        while trio.current_time() < ends_at:
            before = sum(leaf.crashes for leaf in leaves)
            gateway = environment.rng.choice(environment.gateways)
            await send_request(gateway, FETCH, path)
            await trio.sleep(SUPERVISED_PAUSE_S)
            if sum(leaf.crashes for leaf in leaves) > before:
                reached_at.append(trio.current_time())
        # The last leaf is up again.
        await trio.sleep(SLOW_PAUSE_S)
        status = await _harmless_status(environment.gateways[0])
        nursery.cancel_scope.cancel()
    return reached_at, status


async def _harmless_status(gateway):
    """Sends a harmless request, again as long as it is refused with 503.

    The refusal is true: entries of leaves that were started again name leaves
    which do not run any more, until they lapse.
    """
    status = 503
    for _ in range(HARMLESS_TRIES):
        if status != 503:
            break
        attempt = await send_request(gateway, FETCH, f"{FETCH.prefix}x")
        status = attempt.reply and attempt.reply.status
        await trio.sleep(SUPERVISED_PAUSE_S)
    return status
