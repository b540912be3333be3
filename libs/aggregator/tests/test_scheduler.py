"""Tests of the queue, limits and calls of one leaf."""

import pytest
import trio
from sapphire_aggregator.backlog import Call, Query
from sapphire_aggregator.errormap import RightLostError
from sapphire_core.errors import (
    LeafCrashedError,
    LeafDrainingError,
    LeafNoReplyError,
    LeafReplyError,
    LeafTimeoutError,
    LeafUnreachableError,
)
from sapphire_core.window import CallOutcome, LeafLimits, State
from sapphire_wire.gen.ttypes import ShardStatus
from trio.testing import MockClock

from .fakes import FakeClient, Rights, error_of, make_context, make_scheduler


def _run(main):
    trio.run(main, clock=MockClock(autojump_threshold=0))


def _add(scheduler, ended, text, *, seconds=10.0, canary=False, priority=0):
    now = trio.current_time()
    query = Query("v1", text, 3, text, priority, now + seconds, canary)
    call = Call(query, 0, "leaf", now, lambda c, o: ended.append((text, o)))
    scheduler.add(call)
    return call


def _statuses(ended):
    return [(text, outcome.status) for text, outcome in ended]


async def _warm_up(scheduler):
    for number in range(4):
        _add(scheduler, [], f"warm up {number}")
        await trio.sleep(1)
    assert scheduler.window.state is State.WARM


def test_queued_queries_share_a_batch():
    """Guards against one HTTP request per query under load."""

    async def main():
        client, ended = FakeClient(), []
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client)
            await _warm_up(scheduler)
            client.batches.clear()
            for number in range(40):
                _add(scheduler, ended, f"q{number % 20}")
            await trio.sleep(1)
        assert len(ended) == 40
        assert len(client.batches) <= 2
        assert sum(map(len, client.batches)) == 20
        assert client.max_running <= 2

    _run(main)


def test_cold_leaf_gets_small_batches_one_at_a_time():
    """Guards against overloading a cold leaf."""

    async def main():
        client, ended = FakeClient(seconds=0.1), []
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client)
            for number in range(30):
                _add(scheduler, ended, f"q{number}")
            await trio.sleep(9)
        assert len(ended) == 30
        assert client.max_running == 1
        assert max(map(len, client.batches)) == LeafLimits().cold_batch

    _run(main)


def test_deadline_at_the_leaf_ends_with_the_send_right():
    """Guards against requests of two holders on a leaf at the same time."""

    async def main():
        client, rights, ended = FakeClient(), Rights(), []
        rights.until = trio.current_time() + 0.5
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery, rights), client)
            _add(scheduler, ended, "q")
            await trio.sleep(0.1)
            assert client.deadlines[0] <= rights.until
            rights.until = trio.current_time()
            _add(scheduler, ended, "r")
            await trio.sleep(0.1)
        assert client.batches == [["q"]]
        assert _statuses(ended) == [
            ("q", ShardStatus.OK),
            ("r", ShardStatus.NOT_HOLDER),
        ]

    _run(main)


def test_crash_makes_suspects_that_run_alone_and_once_more():
    """Guards against a third crash caused by the same request."""

    async def main():
        client, ended = FakeClient(), []
        client.errors["bad"] = error_of(LeafCrashedError)
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client)
            await _warm_up(scheduler)
            client.batches.clear()
            for text in ("good", "bad"):
                _add(scheduler, ended, text)
            await trio.sleep(1)
            for text in ("good", "bad", "bad", "other"):
                _add(scheduler, ended, text)
            await trio.sleep(1)
            _add(scheduler, ended, "bad")
            await trio.sleep(1)
        assert client.batches[0] == ["good", "bad"]
        assert [b for b in client.batches[1:] if "bad" in b] == [["bad"]]
        assert ["good"] in client.batches[1:]
        assert _statuses(ended)[-1] == ("bad", ShardStatus.QUARANTINED)

    _run(main)


def test_suspect_has_the_leaf_to_itself():
    """Guards against blaming a query for a crash caused by another one."""

    async def main():
        client, ended = FakeClient(), []
        async with trio.open_nursery() as nursery:
            context = make_context(nursery)
            scheduler = make_scheduler(context, client)
            await _warm_up(scheduler)
            now = trio.current_time()
            context.quarantine.record_crash("suspect", now, False)
            client.concurrent.clear()
            client.batches.clear()
            _add(scheduler, ended, "running")
            await trio.sleep(0.003)
            _add(scheduler, ended, "suspect")
            await trio.sleep(0.003)
            _add(scheduler, ended, "next", canary=True)
            await trio.sleep(2)
        assert client.concurrent == {"running": 0, "suspect": 0, "next": 0}
        assert client.batches == [["running"], ["suspect"], ["next"]]
        assert len(ended) == 3

    _run(main)


def test_canary_runs_alone_and_one_at_a_time():
    """Guards against running an unknown request on two leaves at once."""

    async def main():
        clients, ended = [FakeClient(0.1), FakeClient(0.1)], []
        async with trio.open_nursery() as nursery:
            context = make_context(nursery)
            for client in clients:
                scheduler = make_scheduler(context, client)
                _add(scheduler, ended, "new", canary=True)
                _add(scheduler, ended, "other")
            await trio.sleep(0.05)
            started = [b for c in clients for b in c.batches if b == ["new"]]
            assert len(started) == 1
            await trio.sleep(1)
        assert len(ended) == 4
        assert all(
            b in (["new"], ["other"]) for c in clients for b in c.batches
        )

    _run(main)


def test_batch_without_callers_is_cancelled_at_the_leaf():
    """Guards against load from queries whose callers have cancelled."""

    async def main():
        client, ended = FakeClient(seconds=5.0), []
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client)
            calls = [_add(scheduler, ended, "a"), _add(scheduler, ended, "b")]
            await trio.sleep(0.01)
            calls[0].abandon()
            await trio.sleep(0.01)
            assert not client.cancelled
            calls[1].abandon()
            await trio.sleep(0.01)
            assert len(client.cancelled) == 1
            assert scheduler.window.running == 0

    _run(main)


class _OutlastingClient(FakeClient):
    """A leaf that is still running a batch when the deadline has passed."""

    def __init__(self) -> None:
        super().__init__(seconds=0.05)
        self.errors["late"] = error_of(LeafNoReplyError)
        self.running_at_leaf = 0
        self.max_running_at_leaf = 0

    async def search(self, batch_id, version, shard, queries, *, remaining):
        self.running_at_leaf += 1
        self.max_running_at_leaf = max(
            self.max_running_at_leaf, self.running_at_leaf
        )
        reply = await super().search(
            batch_id, version, shard, queries, remaining=remaining
        )
        self.running_at_leaf -= 1
        return reply

    async def cancel(self, batch_id, timeout_s):
        await super().cancel(batch_id, timeout_s)
        await trio.sleep(0.03)
        self.running_at_leaf -= 1


def test_late_batch_keeps_its_slot_until_the_leaf_has_stopped():
    """Guards against two requests on a cold leaf after a missed deadline.

    The leaf's own deadline starts when it receives the request, on a busy
    VM tens of milliseconds later than the caller's.
    """

    async def main():
        client, ended = _OutlastingClient(), []
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client)
            _add(scheduler, ended, "late", seconds=0.05)
            await trio.sleep(0.01)
            _add(scheduler, ended, "next")
            await trio.sleep(0.05)
            # The call ends before the leaf has confirmed the cancellation.
            assert _statuses(ended) == [("late", ShardStatus.LATE)]
            await trio.sleep(1)
        assert len(client.cancelled) == 1
        assert client.max_running_at_leaf == 1
        assert _statuses(ended)[1:] == [("next", ShardStatus.OK)]

    _run(main)


def test_full_queue_sheds():
    """Guards against a queue so long that every query misses its deadline."""

    async def main():
        client, ended = FakeClient(seconds=1.0), []
        limits = LeafLimits(slots=1, multi_search=False)
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client, limits)
            for number in range(30):
                _add(scheduler, ended, f"q{number}")
            shed = [o for _, o in ended if o.status is ShardStatus.SHED]
            assert len(shed) == 14
            nursery.cancel_scope.cancel()

    _run(main)


@pytest.mark.parametrize(
    ("error", "status", "state"),
    [
        (LeafDrainingError, ShardStatus.DRAINING, State.DRAINING),
        (LeafUnreachableError, ShardStatus.FAILED, State.DOWN),
        (LeafReplyError, ShardStatus.FAILED, State.WARM),
        (RuntimeError, ShardStatus.FAILED, State.WARM),
    ],
)
def test_failed_call_ends_its_queries(error, status, state):
    """Guards against calls that never end when their leaf fails."""

    async def main():
        client, ended = FakeClient(), []
        client.errors["q"] = error("for a test")
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client)
            await _warm_up(scheduler)
            _add(scheduler, ended, "q")
            await trio.sleep(0.05)
        assert _statuses(ended) == [("q", status)]
        assert scheduler.window.state is state

    _run(main)


def test_leaf_taken_out_gets_nothing_and_returns_cold():
    """Guards against new requests to a leaf that is out of service."""

    async def main():
        client, ended = FakeClient(), []
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client)
            await _warm_up(scheduler)
            client.batches.clear()
            scheduler.set_out(True)
            _add(scheduler, ended, "q")
            await trio.sleep(0.1)
            assert not client.batches
            assert _statuses(ended) == [("q", ShardStatus.DRAINING)]
            scheduler.set_out(False)
        assert scheduler.window.state is State.COLD

    _run(main)


def test_index_reply_does_not_make_a_leaf_warm():
    """Guards against full load on a cold leaf that answers health checks."""

    async def main():
        client = FakeClient()
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client)
            for _ in range(5):
                await scheduler.poll()
            assert scheduler.window.state is State.COLD
            client.errors["index"] = error_of(LeafUnreachableError)
            await scheduler.poll()
            assert scheduler.window.state is State.DOWN
            client.errors.clear()
            await scheduler.poll()
            assert scheduler.window.state is State.COLD

    _run(main)


def test_submission_precedes_queued_queries():
    """Guards against submissions that are starved by searches."""

    async def main():
        client, ended, sent = FakeClient(seconds=0.1), [], []
        limits = LeafLimits(slots=1, multi_search=False)
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery), client, limits)
            for number in range(5):
                _add(scheduler, ended, f"q{number}")
            await trio.sleep(0.01)
            deadline = trio.current_time() + 1
            answer = await scheduler.submit(
                "key", "{}", deadline, lambda: sent.append(True)
            )
            assert answer == {"key": "key"}
            assert len(client.batches) == 1
            assert client.max_running == 1
            assert sent == [True]

    _run(main)


def test_submission_without_slot_or_right_is_not_sent():
    """Guards against sending a submission that is then reported as not sent."""

    async def main():
        client, rights, sent = FakeClient(), Rights(), []
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery, rights), client)
            scheduler.window.observe(
                CallOutcome.UNREACHABLE, trio.current_time()
            )
            with pytest.raises(LeafUnreachableError):
                await scheduler.submit(
                    "k", "{}", trio.current_time() + 1, lambda: sent.append(1)
                )
            scheduler.window.reset()
            rights.until = trio.current_time()
            with pytest.raises(RightLostError):
                await scheduler.submit(
                    "k", "{}", trio.current_time() + 1, lambda: sent.append(1)
                )
        assert not sent
        assert not client.submissions

    _run(main)


def test_call_ended_by_the_send_right_is_not_late():
    """Guards against callers that give up although they have time left."""

    async def main():
        client, rights, ended = FakeClient(), Rights(), []
        client.errors["q"] = error_of(LeafTimeoutError)
        client.seconds = 0.2
        rights.until = trio.current_time() + 0.2
        async with trio.open_nursery() as nursery:
            scheduler = make_scheduler(make_context(nursery, rights), client)
            _add(scheduler, ended, "q")
            _add(scheduler, ended, "q", seconds=0.205)
            await trio.sleep(1)
            rights.until = 1e9
            scheduler.refresh_right(trio.current_time())
            _add(scheduler, ended, "q", seconds=0.205)
            await trio.sleep(1)
        assert [status.name for _, status in _statuses(ended)] == [
            "NOT_HOLDER",
            "NOT_HOLDER",
            "LATE",
        ]

    _run(main)


class _ReconnectingClient(FakeClient):
    """A leaf client that opens a new connection for each call."""

    async def search(self, batch_id, version, shard, queries, *, remaining):
        remaining()
        await trio.sleep(0.02)
        return await super().search(
            batch_id, version, shard, queries, remaining=remaining
        )


def test_opening_a_connection_is_not_part_of_the_reply_time():
    """Guards against an expected time so long that a cold leaf seems warm."""

    async def main():
        async with trio.open_nursery() as nursery:
            client = _ReconnectingClient()
            scheduler = make_scheduler(make_context(nursery), client)
            for number in range(4):
                _add(scheduler, [], f"warm up {number}")
                await trio.sleep(1)
            assert scheduler.window.state is State.WARM
            # Without the connection this is slower than 5 * 10 ms.
            client.seconds = 0.06
            _add(scheduler, [], "slow")
            await trio.sleep(1)
            assert scheduler.window.state is State.COLD

    _run(main)
