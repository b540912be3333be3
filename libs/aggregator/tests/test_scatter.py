"""Tests of the execution of Scatter requests."""

from collections import Counter

import pytest
import trio
from sapphire_aggregator.leaves import LeafSet
from sapphire_aggregator.scatter import ScatterHandler, merge
from sapphire_config.document import Document
from sapphire_core.errors import (
    LeafCrashedError,
    LeafReplyError,
    LeafUnreachableError,
)
from sapphire_wire.gen.ttypes import Scatter, ShardStatus, Target
from sapphire_wire.leaf import Hit
from trio.testing import MockClock

from .fakes import FakeClient, error_of, make_context

LEAVES = 4


def _document(**changes: object):
    service = {
        "name": "s",
        "leaves": [
            {"address": f"10.0.0.{n}:1", "failure_domain": "ab"[n % 2]}
            for n in range(LEAVES)
        ],
        "classes": [{"name": "c", "priority": 0}],
    }
    return Document.model_validate(
        {
            "name": "d",
            "regions": [{"name": "r", "failure_domains": ["a", "b"]}],
            "services": [service],
            **changes,
        }
    )


def _scatter(**changes: object):
    targets = [Target(n, f"10.0.0.{n}:1") for n in range(LEAVES)]
    fields = {
        "service_name": "s",
        "version": "v1",
        "text": "q",
        "k": 3,
        "remaining_ms": 200.0,
        "priority": 0,
        "targets": targets,
        "canary": False,
        "hedge": False,
        "fingerprint": "f",
    }
    return Scatter(**{**fields, **changes})


class _Fleet:
    """Leaves with fake clients, and the handler that uses them."""

    def __init__(self, nursery) -> None:
        self.clients = {}
        self.context = make_context(nursery)
        self.leaves = LeafSet(self.context, "r", self._open)
        self.leaves.apply(_document())
        self.handler = ScatterHandler(self.leaves, self.context.quarantine)
        self.parts = []

    def _open(self, address, shape, connections):
        self.clients[address] = FakeClient()
        return self.clients[address]

    def client(self, number):
        return self.clients[f"10.0.0.{number}:1"]

    async def run(self, scatter):
        start = trio.current_time()
        self.parts = []
        await self.handler.run(
            scatter,
            lambda frame: self.parts.append(
                (trio.current_time() - start, frame.part)
            ),
        )
        return self.parts

    def statuses(self):
        return {
            result.shard: result.status
            for _, part in self.parts
            for result in part.results
        }


def _run(check):
    async def main():
        async with trio.open_nursery() as nursery:
            await check(_Fleet(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def _assert_whole(parts, scatter):
    """Asserts one result per target, and one last part before the deadline."""
    results = Counter(r.shard for _, part in parts for r in part.results)
    assert results == Counter(t.shard for t in scatter.targets)
    assert [part.last for _, part in parts].count(True) == 1
    assert parts[-1][1].last
    assert not parts[-1][0] > scatter.remaining_ms / 1000


def test_results_that_are_ready_together_go_in_one_part():
    """Guards against one frame per shard."""

    async def check(fleet):
        parts = await fleet.run(_scatter())
        _assert_whole(parts, _scatter())
        assert len(parts) == 1
        assert [m.score for m in parts[0][1].matches] == [4.0, 3.0, 2.0]

    _run(check)


def test_fast_leaves_do_not_wait_for_a_straggler():
    """Guards against results that are delayed by the slowest leaf."""

    async def check(fleet):
        fleet.client(1).seconds = 0.15
        parts = await fleet.run(_scatter())
        _assert_whole(parts, _scatter())
        assert [len(part.results) for _, part in parts] == [3, 1]
        assert parts[0][0] < 0.05

    _run(check)


@pytest.mark.parametrize(
    ("seconds", "error", "status"),
    [
        (5.0, None, ShardStatus.LATE),
        (0.01, error_of(LeafReplyError), ShardStatus.FAILED),
        (0.01, RuntimeError("a fault"), ShardStatus.FAILED),
    ],
)
def test_every_target_gets_one_result_in_time(seconds, error, status):
    """Guards against shards without a result when a leaf fails or hangs."""

    async def check(fleet):
        fleet.client(2).seconds = seconds
        if error is not None:
            fleet.client(2).errors["q"] = error
        parts = await fleet.run(_scatter())
        _assert_whole(parts, _scatter())
        assert fleet.statuses() == {0: 0, 1: 0, 2: status, 3: 0}

    _run(check)


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"service_name": "unknown"}, ShardStatus.NOT_HOLDER),
        ({"remaining_ms": 0.0}, ShardStatus.LATE),
        ({"priority": None}, ShardStatus.FAILED),
        ({"k": -1}, ShardStatus.FAILED),
        ({"remaining_ms": float("nan")}, ShardStatus.FAILED),
    ],
)
def test_scatter_that_cannot_run_is_answered(changes, status):
    """Guards against leaving a request unanswered that can't run."""

    async def check(fleet):
        parts = await fleet.run(_scatter(**changes))
        _assert_whole(parts, _scatter(**changes))
        assert set(fleet.statuses().values()) == {status}
        assert not any(client.batches for client in fleet.clients.values())

    _run(check)


def test_cancelled_scatter_cancels_its_calls():
    """Guards against calls that continue after the entry has cancelled."""

    async def check(fleet):
        for client in fleet.clients.values():
            client.seconds = 5.0
        with trio.move_on_after(0.02):
            await fleet.run(_scatter(remaining_ms=9000.0))
        await trio.sleep(0.1)
        assert all(client.cancelled for client in fleet.clients.values())
        assert fleet.leaves.is_idle

    _run(check)


def test_quarantined_request_reaches_no_leaf():
    """Guards against running a request that is known to crash leaves."""

    async def check(fleet):
        for _ in range(2):
            fleet.context.quarantine.record_crash("f", 0.0, alone=True)
        await fleet.run(_scatter())
        assert set(fleet.statuses().values()) == {ShardStatus.QUARANTINED}
        assert not any(client.batches for client in fleet.clients.values())

    _run(check)


def test_new_document_keeps_running_work():
    """Guards against failing queries when the configuration changes."""

    async def check(fleet):
        for client in fleet.clients.values():
            client.seconds = 0.1
        fields = _document().model_dump()
        fields["services"][0]["leaves"].pop(0)
        fields["out_failure_domains"] = ["b"]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fleet.run, _scatter())
            await trio.sleep(0.05)
            fleet.leaves.apply(Document.model_validate(fields))
        assert set(fleet.statuses().values()) == {ShardStatus.OK}
        await fleet.run(_scatter())
        assert fleet.statuses() == {
            0: ShardStatus.NOT_HOLDER,
            1: ShardStatus.DRAINING,
            2: ShardStatus.OK,
            3: ShardStatus.DRAINING,
        }

    _run(check)


def test_daemon_that_shuts_down_refuses():
    """Guards against new requests during a planned stop."""

    async def check(fleet):
        fleet.handler.is_leaving = True
        await fleet.run(_scatter())
        assert set(fleet.statuses().values()) == {ShardStatus.NOT_HOLDER}

    _run(check)


def test_merge_order_does_not_depend_on_arrival():
    """Guards against matches that depend on the order of the replies."""
    lists = [
        [Hit(-1.0, document, "") for document in names]
        for names in ("ac", "bd")
    ]
    merged = [m.document for m in merge(lists, 3)]
    assert merged == [m.document for m in merge(lists[::-1], 3)]
    assert merged == ["a", "b", "c"]


def test_queued_canary_reports_the_crash_of_an_identical_query():
    """Guards against retrying a query on another leaf after a crash.

    The identical query of another entry crashes the leaf while this one is
    queued. An entry that knows of no crash has to be told of it; one that
    knows of it must not count it twice.
    """

    async def check(fleet):
        fleet.client(0).errors["q"] = error_of(LeafCrashedError)
        targets = [Target(0, "10.0.0.0:1")]
        statuses = {}

        async def run(name, after_s, **changes: object):
            await trio.sleep(after_s)
            scatter = _scatter(targets=targets, canary=True, **changes)

            def keep(frame):
                for result in frame.part.results:
                    statuses[name] = result.status

            await fleet.handler.run(scatter, keep)

        async def go_down():
            # After the crash, before the end of the next attempt.
            await trio.sleep(0.015)
            unreachable = error_of(LeafUnreachableError)
            fleet.client(0).errors["q"] = unreachable

        async with trio.open_nursery() as nursery:
            nursery.start_soon(go_down)
            nursery.start_soon(run, "first", 0.0)
            nursery.start_soon(run, "waiting", 0.005)
            nursery.start_soon(run, "later", 0.05)
        assert statuses == dict.fromkeys(
            ("first", "waiting", "later"), ShardStatus.CRASHED
        )
        await run("informed", 0.0, crashes=1)
        assert statuses["informed"] == ShardStatus.FAILED

    _run(check)


def test_second_crash_quarantines_every_queued_canary():
    """Guards against a third crash caused by an entry that knew of none."""

    async def check(fleet):
        fleet.client(0).errors["q"] = error_of(LeafCrashedError)
        targets = [Target(0, "10.0.0.0:1")]
        statuses = []

        async def run(after_s, crashes):
            await trio.sleep(after_s)
            scatter = _scatter(targets=targets, canary=True, crashes=crashes)
            await fleet.handler.run(
                scatter,
                lambda frame: statuses.extend(
                    result.status for result in frame.part.results
                ),
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run, 0.0, 0)
            # Reports the crash of another leaf while the first one is running.
            nursery.start_soon(run, 0.005, 1)
        assert statuses == [ShardStatus.QUARANTINED] * 2

    _run(check)


def test_crashes_of_two_leaves_are_added_up():
    """Guards against a third crash after two that were counted as one.

    A hedged canary crashes leaves of two aggregators at about the same time.
    The entry then reports the crash at the first aggregator to the second
    one. Both have a count of one, but of different leaves.
    """

    async def check(fleet):
        statuses = []

        async def run(**changes: object):
            scatter = _scatter(
                targets=[Target(0, "10.0.0.0:1")], canary=True, **changes
            )
            await fleet.handler.run(
                scatter,
                lambda frame: statuses.extend(
                    result.status for result in frame.part.results
                ),
            )

        fleet.client(0).errors["q"] = error_of(LeafCrashedError)
        await run()
        fleet.client(0).errors["q"] = error_of(LeafUnreachableError)
        await run(crashes=1, crashed_leaves=["10.0.0.0:1"])
        await run(crashes=1, crashed_leaves=["10.0.0.9:1"])
        assert statuses == [
            ShardStatus.CRASHED,
            ShardStatus.FAILED,
            ShardStatus.QUARANTINED,
        ]

    _run(check)
