"""Tests of leaves that say they are leaving, or ask for a pause.

What they say in their answers holds whatever the store says of them.
"""

from __future__ import annotations

import dataclasses

import pytest
import trio
from gateway_harness import Leaf, reply, search_route, single_leaf_route
from sapphire_core.leafset import LAST_RESORT_S
from sapphire_core.routing import Kind
from sapphire_gateway import telemetry

A = b"a" * 16
B = b"b" * 16
LEAVING = ["X-Leaving: 1"]
FULL = "503 Service Unavailable"


def rejection(request, pause):
    """Returns the reply of a leaf that turns a request away."""
    extra = ["X-Not-Run: full", f"X-Pause: {pause}"]
    return reply(request, b"", FULL, signature="", extra=extra)


def _entry(harness):
    """Returns the entry of the harness's first leaf."""
    return next(iter(harness.view.registry.leaves)).entry


async def _fetch(harness, count=1):
    """Sends requests and returns their statuses."""
    return [(await harness.request()).status for _ in range(count)]


def test_leaf_that_says_it_is_leaving_gets_no_more_requests(run_with_harness):
    """Guards against a leaf whose entry never says that it is draining."""

    async def test(harness):
        leaving = await harness.leaf("s", lambda r: reply(r, A, extra=LEAVING))
        other = await harness.leaf("s", lambda r: reply(r, B), domain="z2")
        harness.configure(single_leaf_route())
        assert await _fetch(harness, 5) == [200] * 5
        assert (len(leaving.requests), len(other.requests)) == (1, 4)
        # Its heartbeats go on to say that it is ready.
        entry = dataclasses.replace(_entry(harness), sequence=7)
        harness.view.registry.put(entry, trio.current_time())
        await _fetch(harness, 3)
        assert len(leaving.requests) == 1

    run_with_harness(test)


def test_only_leaf_of_a_service_is_used_for_a_moment_while_it_leaves(
    run_with_harness,
):
    """Guards against requests to it after the time to drain has passed."""

    async def test(harness):
        leaf = await harness.leaf("s", lambda r: reply(r, A, extra=LEAVING))
        harness.configure(single_leaf_route())
        assert await _fetch(harness, 2) == [200, 200]
        await trio.sleep(LAST_RESORT_S)
        assert await _fetch(harness, 2) == [503, 503]
        assert len(leaf.requests) == 2

    run_with_harness(test)


def test_entry_that_vanishes_and_returns_does_not_undo_the_leaving(
    run_with_harness,
):
    """Guards against an outage of the store that makes a VM forget it."""

    async def test(harness):
        leaf = await harness.leaf("s", lambda r: reply(r, A, extra=LEAVING))
        harness.configure(single_leaf_route())
        assert await _fetch(harness) == [200]
        entry = _entry(harness)
        registry = harness.view.registry
        registry.record_missing(entry.leaf_id, trio.current_time())
        await trio.sleep(LAST_RESORT_S)
        harness.fleet.remove_expired_leaves(trio.current_time())
        registry.put(entry, trio.current_time())
        assert await _fetch(harness) == [503]
        # A new start under the same id knows nothing of it.
        registry.put(
            dataclasses.replace(entry, born_ms=2000), trio.current_time()
        )
        assert await _fetch(harness) == [200]
        assert len(leaf.requests) == 2

    run_with_harness(test)


def test_leaf_that_asks_for_a_pause_gets_no_request_in_it(run_with_harness):
    """Guards against retries and new requests in a pause."""

    async def test(harness):
        answers = []

        def answer(request):
            answers.append(trio.current_time())
            if len(answers) == 1:
                return rejection(request, "0.8")
            return reply(request, A)

        paused = await harness.leaf("s", answer)
        other = await harness.leaf("s", lambda r: reply(r, B), domain="z2")
        harness.configure(single_leaf_route(kind=Kind.AT_MOST_ONCE))
        ends_at = trio.current_time() + 0.75
        while trio.current_time() < ends_at:
            assert await _fetch(harness) == [200]
            await trio.sleep(0.02)
        assert len(paused.requests) == 1
        assert len(other.requests) > 5
        # It gets requests again some time after its pause.
        with trio.fail_after(5.0):
            while len(paused.requests) == 1:
                await _fetch(harness)
                await trio.sleep(0.02)
        assert answers[1] - answers[0] >= 0.8

    run_with_harness(test)


def test_request_whose_leaves_all_pause_is_refused_until_the_first_returns(
    run_with_harness,
):
    """Guards against callers that wait, or come back while it lasts."""

    async def test(harness):
        for pause in ("5", "1.5"):
            await harness.leaf("s", lambda r, p=pause: rejection(r, p))
        harness.configure(single_leaf_route())
        assert await _fetch(harness) == [503]
        started_at = trio.current_time()
        refused = await harness.request()
        assert refused.status == 503
        assert 1.0 < float(refused.headers["retry-after"]) <= 2.0
        assert trio.current_time() - started_at < 0.5

    run_with_harness(test)


def test_calls_queued_for_a_leaf_do_not_reach_it_in_its_pause(
    run_with_harness,
):
    """Guards against calls that wait for a connection when a pause begins."""

    async def test(harness):
        async def answer(request):
            await trio.sleep(0.1)
            return rejection(request, "30")

        paused = await harness.leaf("s", answer)
        harness.pool.max_connections = lambda _: 2
        harness.configure(single_leaf_route(target_s=1.0))
        async with trio.open_nursery() as requests:
            for _ in range(10):
                requests.start_soon(harness.request)
        assert len(paused.requests) == 2

    run_with_harness(test)


def test_no_burst_after_a_pause(run_with_harness):
    """Guards against all waiting callers at once when a pause ends."""

    async def test(harness):
        running = []
        most = 0

        async def answer(request):
            nonlocal most
            if not running and most == 0:
                most = 1
                return rejection(request, "0.3")
            running.append(request)
            most = max(most, len(running))
            await trio.sleep(0.1)
            running.remove(request)
            return rejection(request, "0.2")

        await harness.leaf("s", answer)
        harness.configure(single_leaf_route())
        assert await _fetch(harness) == [503]
        for _ in range(10):
            async with trio.open_nursery() as requests:
                for _ in range(5):
                    requests.start_soon(harness.request)
            await trio.sleep(0.02)
        assert most == 1

    run_with_harness(test)


def test_pause_outlives_an_entry_that_vanishes(run_with_harness):
    """Guards against an outage of the store that makes a VM forget it."""

    async def test(harness):
        leaf = await harness.leaf("s", lambda r: rejection(r, "30"))
        harness.configure(single_leaf_route())
        await _fetch(harness)
        entry = _entry(harness)
        harness.pool.drop(entry.leaf_id, "the entry is gone")
        assert await _fetch(harness) == [503]
        assert len(leaf.requests) == 1

    run_with_harness(test)


@pytest.mark.parametrize(
    "value", ["soon", "-1", "1e400", "nan", "Sat, 05 Dec 2026 08:00:00 GMT"]
)
def test_pause_that_cannot_be_read_asks_for_nothing(run_with_harness, value):
    """Guards against pauses without end, and against errors."""

    async def test(harness):
        leaf = await harness.leaf("s", lambda r: rejection(r, value))
        harness.configure(single_leaf_route())
        await _fetch(harness, 2)
        assert len(leaf.requests) == 2

    run_with_harness(test)


@pytest.mark.parametrize("value", ["0", "yes", "true", "11"])
def test_other_values_do_not_say_that_a_leaf_is_leaving(
    run_with_harness, value
):
    async def test(harness):
        leaf = await harness.leaf(
            "s", lambda r: reply(r, A, extra=[f"X-Leaving: {value}"])
        )
        await harness.leaf("s", lambda r: reply(r, B), domain="z2")
        harness.configure(single_leaf_route())
        await _fetch(harness, 3)
        assert len(leaf.requests) == 3

    run_with_harness(test)


def test_reply_to_another_request_asks_for_nothing(run_with_harness):
    """Guards against late replies that make a leaf count as leaving."""

    async def test(harness):
        leaf = Leaf(lambda r: reply(r.replace(b"r1", b"r0"), A, extra=LEAVING))
        await harness.leaf("s", leaf)
        harness.configure(single_leaf_route(max_attempts=1))
        assert await _fetch(harness, 2) == [502, 502]
        leaf.make_reply = lambda r: reply(r, A)
        await trio.sleep(LAST_RESORT_S)
        assert await _fetch(harness) == [200]

    run_with_harness(test)


def test_search_goes_on_without_a_paused_shard(run_with_harness):
    """Guards against a whole search that waits for one paused leaf."""

    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, A))
        paused = await harness.leaf("t", lambda r: rejection(r, "30"))
        harness.configure(search_route("s", "t", min_share=0.5))
        for _ in range(3):
            answer = await harness.request()
            assert (answer.status, answer.headers["x-missing"]) == (200, "1")
        assert len(paused.requests) == 1

    run_with_harness(test)


def test_log_line_of_a_request_names_the_leaf_that_was_passed_over(
    run_with_harness, monkeypatch
):
    """Guards against refusals of which no log tells the cause."""
    lines = []

    def write(kind, **fields: object):
        lines.append((kind, fields))

    monkeypatch.setattr(telemetry, "event", write)

    async def test(harness):
        paused = await harness.leaf("s", lambda r: rejection(r, "5"))
        leaf_id = _entry(harness).leaf_id
        harness.configure(single_leaf_route())
        await _fetch(harness, 2)
        await harness.leaf("s", lambda r: reply(r, A))
        assert await _fetch(harness) == [200]
        assert len(paused.requests) == 1
        passed_over = [
            (kind, fields["passed_over"])
            for kind, fields in lines
            if kind in {"request", "request_refused"}
        ]
        assert passed_over[1:] == [
            ("request_refused", [leaf_id]),
            ("request", [leaf_id]),
        ]

    run_with_harness(test)
