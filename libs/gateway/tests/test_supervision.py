"""Tests of errors that nobody expected: they must not end the process."""

from __future__ import annotations

import dataclasses

import pytest
import trio
import trio.testing
from gateway_harness import HEADER_NAMES, reply, single_leaf_route
from sapphire_core.retrybudget import RetryBudgetPolicy
from sapphire_gateway import sync, telemetry
from sapphire_gateway.crashexchange import CrashExchange
from sapphire_gateway.daemon import GatewayDaemon, GatewaySettings
from sapphire_gateway.fleet_view import LeafUpdate
from sapphire_gateway.leafcalls import LeafCaller
from sapphire_gateway.limitends import LimitEndTeller
from sapphire_gateway.ownentry import OwnEntry
from sapphire_gateway.pool import LeafPool
from sapphire_gateway.revisionexchange import RevisionExchange
from sapphire_gateway.supervision import RESTART_PAUSE_S, run_always, run_once
from sapphire_gateway.sync import Sync
from sync_harness import LEAF, FakeStore

pytestmark = pytest.mark.plants_errors
LEAF_CHANGE = LeafUpdate(LEAF)


class PlantedError(Exception):
    """An error that no code expects."""


def failures(task):
    """Returns the counted failures of a task."""
    return telemetry.TASK_FAILURES.labels(task)._value.get()


def test_error_ends_one_task_and_is_counted():
    async def fail(number):
        raise PlantedError(number)

    before = failures("test")
    trio.run(run_once, "test", fail, 7)
    assert failures("test") == before + 1


def test_failed_task_starts_again_after_a_pause():
    started_at = []

    async def fail():
        started_at.append(trio.current_time())
        raise PlantedError

    async def main():
        with trio.move_on_after(2.5 * RESTART_PAUSE_S):
            await run_always("test", fail)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(started_at) == 3


def test_error_in_a_request_fails_only_that_request(
    run_with_harness, monkeypatch
):
    """Guards against a request that ends the process and all others."""

    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, b"a"))
        harness.configure(single_leaf_route())
        create_job = harness.gateway._create_job

        def fail_once(request, *more: object):
            if b"odd" in request.target:
                raise PlantedError
            return create_job(request, *more)

        monkeypatch.setattr(harness.gateway, "_create_job", fail_once)
        before = failures("request")
        assert (await harness.request("/a/odd")).status == 502
        assert (await harness.request("/a/x")).status == 200
        assert failures("request") == before + 1

    run_with_harness(test)


def test_error_in_the_result_of_a_call_fails_only_its_request(
    run_with_harness, monkeypatch
):
    """Guards against a leaf's answer that ends the process."""

    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, b"a"))
        harness.configure(single_leaf_route())
        record = LeafCaller._record_result

        def fail_once(self, call, *more: object):
            if b"odd" in call.payload:
                raise PlantedError
            record(self, call, *more)

        monkeypatch.setattr(LeafCaller, "_record_result", fail_once)
        assert (await harness.request("/a/odd", left=200)).status == 504
        assert (await harness.request("/a/x")).status == 200

    run_with_harness(test)


@pytest.mark.parametrize("is_full_state", [True, False])
def test_change_that_cannot_be_applied_stops_no_other(
    monkeypatch, is_full_state
):
    """Guards against a VM that stops following the store."""
    apply_update = sync.apply_update

    def fail_for_odd(update, view, now):
        if getattr(getattr(update, "entry", None), "leaf_id", "") == "odd":
            raise PlantedError
        apply_update(update, view, now)

    monkeypatch.setattr(sync, "apply_update", fail_for_odd)
    store = FakeStore()

    def write():
        odd = dataclasses.replace(LEAF, leaf_id="odd")
        store.write("servers/odd", LeafUpdate(odd))
        store.write("servers/i-1", LEAF_CHANGE)

    async def main():
        daemon = _daemon(store)
        if is_full_state:
            write()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(daemon.run)
            await trio.sleep(1.0)
            if not is_full_state:
                write()
                await trio.sleep(1.0)
            leaves = [leaf.entry for leaf in daemon._view.registry.leaves]
            assert leaves == [LEAF]
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (Sync, "_read_changes"),
        (Sync, "_check_progress"),
        (OwnEntry, "run"),
        (RevisionExchange, "run"),
        (CrashExchange, "run"),
        (LimitEndTeller, "run"),
        (LeafPool, "run_sweeps"),
        (GatewayDaemon, "_run_periodic_tasks"),
    ],
)
def test_task_that_fails_starts_again(monkeypatch, owner, name):
    """Guards against processes that end, and tasks that stay ended."""
    run = getattr(owner, name)
    starts = []

    async def fail_first(*arguments: object):
        starts.append(arguments)
        if len(starts) == 1:
            raise PlantedError
        await run(*arguments)

    monkeypatch.setattr(owner, name, fail_first)

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_daemon(FakeStore()).run)
            await trio.sleep(RESTART_PAUSE_S + 0.5)
            assert len(starts) == 2
            nursery.cancel_scope.cancel()

    trio.run(main)


def _daemon(store):
    settings = GatewaySettings(
        name="vm1",
        domain="z1",
        cores=1.0,
        addresses_ttl_s=2.0,
        callers_address="127.0.0.1:0",
        peer_address="127.0.0.1:0",
        metrics_address=None,
        grace_s=1.0,
        budget=RetryBudgetPolicy(0.2, 50.0, 10.0),
    )
    return GatewayDaemon(settings, HEADER_NAMES, store, [], lambda _: None)
