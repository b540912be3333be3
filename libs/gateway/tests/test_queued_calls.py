"""Tests of calls that wait for a connection while their leaf changes.

Whether a leaf may get a call is decided when the call is sent, not only when
the leaf is chosen. A call that waits for a leaf which may not get it any more
goes to another leaf at once, or is refused as not run.
"""

from __future__ import annotations

import contextlib
import dataclasses
import types

import pytest
import trio
from gateway_harness import DOMAIN, Leaf, reply, single_leaf_route
from sapphire_core.leafset import LAST_RESORT_S, LeafState
from sapphire_core.routing import Kind, ServiceSpec

FINE = b"fine"
OTHER = b"other"
# Limit of what happens at once, also on a busy machine. The leaf would answer
# only later, so that a call that is not placed anew has no answer by then.
AT_ONCE_S = 3.0


class SlowLeaf(Leaf):
    """Answers when it is released, and records which requests it got."""

    def __init__(self, extra=()) -> None:
        super().__init__(self._answer)
        self._extra = list(extra)
        self.release = trio.Event()

    async def _answer(self, request):
        await self.release.wait()
        return reply(request, FINE, extra=self._extra)


def entry_of(harness, leaf):
    """Returns the entry of a leaf."""
    return next(
        known.entry
        for known in harness.view.registry.leaves
        if known.entry.address == leaf.address
    )


def put(harness, leaf, **changes: object):
    """Writes a leaf's entry with changed fields."""
    entry = entry_of(harness, leaf)
    changed = dataclasses.replace(entry, sequence=entry.sequence + 1, **changes)
    harness.view.registry.put(changed, trio.current_time())


def drain(harness, leaf):
    put(harness, leaf, state=LeafState.DRAINING)


def remove(harness, leaf):
    entry = entry_of(harness, leaf)
    harness.view.registry.record_missing(entry.leaf_id, trio.current_time())


def say_leaving(harness, leaf):
    harness.view.registry.record_leaving(
        entry_of(harness, leaf).incarnation, trio.current_time()
    )


def evacuate(harness, leaf):
    harness.view.registry.set_evacuated({DOMAIN})


def misdirect(harness, leaf):
    harness.view.registry.misdirected(entry_of(harness, leaf).leaf_id)


def pause(harness, leaf):
    endpoint = harness.pool.get_or_create(entry_of(harness, leaf))
    endpoint.terms.record_pause(20.0, trio.current_time())


def limit(harness, leaf):
    endpoint = harness.pool.get_or_create(entry_of(harness, leaf))
    endpoint.terms.record_limit(0.1, trio.current_time())


def turn_cold(harness, leaf):
    configuration = harness.view.configuration
    services = {"s": ServiceSpec("s", 20, 0.1)}
    harness.view.adopt(
        dataclasses.replace(configuration, version=99, services=services)
    )
    put(harness, leaf, warmup_left_s=20.0)
    endpoint = harness.pool.get_or_create(entry_of(harness, leaf))
    # Another call has used the leaf's rate.
    harness.fleet.reserve(endpoint, types.SimpleNamespace())


CHANGES = [
    drain, remove, say_leaving, evacuate, misdirect, pause, limit, turn_cold,
]  # fmt: skip


async def wait_for(condition, limit_s=AT_ONCE_S):
    """Waits until a condition holds."""
    with trio.fail_after(limit_s):
        while not condition():
            await trio.sleep(0.01)


class WaitingRequest:
    """A request that waits for the only connection to a leaf.

    Attributes:
        leaf: The leaf, which runs another request on that connection.
    """

    def __init__(self, leaf) -> None:
        self.leaf = leaf
        self.answers = {}

    async def answer(self, limit_s=AT_ONCE_S):
        """Returns the answer to the waiting request within a time."""
        await wait_for(lambda: "waiting" in self.answers, limit_s)
        return self.answers["waiting"]


@contextlib.asynccontextmanager
async def waiting_request(harness):
    """Sends the two requests; the leaf answers at the end of the block."""
    waiting = WaitingRequest(await harness.leaf("s", SlowLeaf()))
    harness.configure(once_route())
    harness.pool.max_connections = lambda _: 1

    async def send(request_id):
        waiting.answers[request_id] = await harness.request(
            method="POST", request_id=request_id, left=8000
        )

    async with trio.open_nursery() as nursery:
        nursery.start_soon(send, "running")
        await wait_for(lambda: waiting.leaf.requests)
        nursery.start_soon(send, "waiting")
        endpoint = harness.pool.get_or_create(entry_of(harness, waiting.leaf))
        await wait_for(lambda: endpoint.queue)
        yield waiting
        waiting.leaf.release.set()
    # A call that was sent before a change of the leaf is not ended.
    assert waiting.answers["running"].body == FINE


def once_route():
    """Returns a route with time for a request to wait."""
    route = single_leaf_route(kind=Kind.AT_MOST_ONCE, target_s=4.0)
    return dataclasses.replace(route, timeout_s=8.0)


@pytest.mark.parametrize("change", CHANGES)
def test_waiting_call_goes_to_another_leaf_at_once(run_with_harness, change):
    """Guards against calls that reach a leaf after it has left.

    They were handed to the next free connection without another look.
    """

    async def test(harness):
        async with waiting_request(harness) as waiting:
            other = await harness.leaf(
                "s", lambda r: reply(r, OTHER), domain="z2"
            )
            change(harness, waiting.leaf)
            assert (await waiting.answer()).body == OTHER
        assert (len(waiting.leaf.requests), len(other.requests)) == (1, 1)

    run_with_harness(test)


@pytest.mark.parametrize("change", [evacuate, misdirect, pause, turn_cold])
def test_waiting_call_without_another_leaf_is_refused(run_with_harness, change):
    """Guards against a request that waits for what can't serve it."""

    async def test(harness):
        async with waiting_request(harness) as waiting:
            change(harness, waiting.leaf)
            assert (await waiting.answer()).status == 503
        assert len(waiting.leaf.requests) == 1

    run_with_harness(test)


def test_only_leaf_of_a_service_gets_waiting_calls_for_a_moment(
    run_with_harness,
):
    """Guards against calls that wait longer than a leaf drains."""

    async def test(harness):
        async with waiting_request(harness) as waiting:
            drain(harness, waiting.leaf)
            began = trio.current_time()
            answer = await waiting.answer(LAST_RESORT_S + AT_ONCE_S)
            assert answer.status == 503
            assert trio.current_time() - began > LAST_RESORT_S - 0.1
        assert len(waiting.leaf.requests) == 1

    run_with_harness(test)


def test_waiting_call_still_goes_to_a_leaf_that_does_not_change(
    run_with_harness,
):
    async def test(harness):
        async with waiting_request(harness) as waiting:
            pass
        assert waiting.answers["waiting"].body == FINE
        assert len(waiting.leaf.requests) == 2

    run_with_harness(test)


@pytest.mark.parametrize("change", CHANGES)
def test_call_is_not_sent_on_a_connection_that_opens_too_late(
    run_with_harness, change
):
    """Guards against a leaf that changes while its connection opens."""

    async def test(harness):
        leaf = await harness.leaf("s", lambda r: reply(r, FINE))
        other = await harness.leaf("s", lambda r: reply(r, OTHER), domain="z2")
        harness.configure(once_route())
        open_connection = harness.pool._open

        def open_and_change(endpoint, call):
            open_connection(endpoint, call)
            if endpoint.entry.address == leaf.address:
                change(harness, leaf)

        harness.pool._open = open_and_change
        answer = await harness.request(method="POST", left=8000)
        assert answer.body == OTHER
        assert (len(leaf.requests), len(other.requests)) == (0, 1)

    run_with_harness(test)


def test_call_that_ended_while_its_connection_opened_is_not_sent(
    run_with_harness,
):
    """Guards against requests whose callers have left."""

    async def test(harness):
        leaf = await harness.leaf("s", lambda r: reply(r, FINE))
        harness.configure(single_leaf_route())
        send = harness.pool.call

        def send_and_end(endpoint, call):
            send(endpoint, call)
            call.is_over = True

        harness.pool.call = send_and_end
        with trio.move_on_after(AT_ONCE_S):
            await harness.request()
        assert leaf.requests == []

    run_with_harness(test)
