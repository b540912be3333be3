"""Tests of requests through the gateway, with correct and faulty leaves."""

from __future__ import annotations

import dataclasses

import pytest
import trio
from gateway_harness import ask_bytes, field, one, read_answer, reply, search
from sapphire_core.fanout import FanOut
from sapphire_core.routing import Kind

A = b"a" * 16
B = b"b" * 16
C = b"c" * 16


def test_a_leafs_answer_is_returned_unchanged(in_world):
    async def test(world):
        leaf = await world.leaf(
            "s", lambda r: reply(r, b"body", extra=["X-Other: 1"])
        )
        world.configure(one())
        answer = await world.ask("/a/x?q=%20", left=900)
        assert (answer.status, answer.body) == (200, b"body")
        assert answer.headers["x-signature"] == "s"
        assert answer.headers["x-other"] == "1"
        sent = leaf.requests[0]
        assert sent.startswith(b"GET /a/x?q=%20 HTTP/1.1\r\n")
        assert field(sent, "x-target").startswith("i-")
        assert 0 < int(field(sent, "x-left")) <= 900

    in_world(test)


def test_the_greatest_records_of_all_parts_are_merged(in_world):
    async def test(world):
        await world.leaf("s", lambda r: reply(r, A + C + b"short"))
        await world.leaf("t", lambda r: reply(r, B + C, signature="t"))
        world.configure(search("s", "t", top=3))
        answer = await world.ask()
        assert answer.body == C + C + B
        assert answer.headers["x-missing"] == "0"
        signatures = answer.headers["x-signatures"].split(", ")
        assert sorted(signatures) == ["s", "t"]

    in_world(test)


def test_a_part_without_a_reply_is_left_out_at_the_target(in_world):
    async def test(world):
        await world.leaf("s", lambda r: reply(r, A))
        await world.leaf("t", lambda r: None)
        world.configure(search("s", "t", target_s=0.2))
        answer = await world.ask()
        assert (answer.status, answer.body) == (200, A)
        assert answer.headers["x-missing"] == "1"

    in_world(test)


def test_too_few_parts_give_an_error(in_world):
    async def test(world):
        await world.leaf("s", lambda r: reply(r, A))
        await world.leaf("t", lambda r: reply(r, b"", "500 Error"))
        world.configure(search("s", "t", least=1.0))
        assert (await world.ask()).status == 502

    in_world(test)


def test_a_silent_leaf_is_hedged(in_world):
    async def test(world):
        silent = await world.leaf("s", lambda r: None)
        other = await world.leaf("s", lambda r: reply(r, A), domain="z2")
        world.configure(one())
        assert (await world.ask()).body == A
        assert len(silent.requests) == len(other.requests) == 1

    in_world(test)


FAULTY_REPLIES = {
    "another id": lambda r: reply(r.replace(b"r1", b"r0"), A),
    "no signature": lambda r: reply(r, A, signature=""),
    "encoded": lambda r: reply(r, A, extra=["Content-Encoding: gzip"]),
    "cut": lambda r: (reply(r, A)[:-4],),
    "no bytes": lambda r: (b"",),
    "no message": lambda r: b"\x00garbage\r\n\r\n",
    "own failure": lambda r: reply(r, b"", "500 Internal Server Error"),
}


@pytest.mark.parametrize(
    "faulty_reply", FAULTY_REPLIES.values(), ids=FAULTY_REPLIES
)
def test_a_request_is_retried_at_another_leaf_after_a_faulty_reply(
    in_world, faulty_reply
):
    async def test(world):
        await world.leaf("s", faulty_reply)
        await world.leaf("s", lambda r: reply(r, B), domain="z2")
        world.configure(one())
        answer = await world.ask()
        assert (answer.status, answer.body) == (200, B)

    in_world(test)


@pytest.mark.parametrize(
    "faulty_reply", FAULTY_REPLIES.values(), ids=FAULTY_REPLIES
)
def test_a_submission_is_never_retried_after_a_faulty_reply(
    in_world, faulty_reply
):
    async def test(world):
        await world.leaf("s", faulty_reply)
        other = await world.leaf("s", lambda r: reply(r, B), domain="z2")
        world.configure(one(kind=Kind.AT_MOST_ONCE))
        answer = await world.ask(method="POST", body=b"proposal")
        assert answer.status in {500, 502}
        assert answer.status == 500 or "x-signature" not in answer.headers
        assert other.requests == []

    in_world(test)


def test_a_submission_that_no_leaf_ran_is_refused_with_503(in_world):
    async def test(world):
        full = ["X-Not-Run: 1"]
        for domain in ("z1", "z2"):
            await world.leaf(
                "s",
                lambda r: reply(r, b"", "503 Full", extra=full),
                domain=domain,
            )
        world.configure(one(kind=Kind.AT_MOST_ONCE))
        answer = await world.ask(method="POST", body=b"proposal")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert "x-signature" not in answer.headers

    in_world(test)


def test_a_reused_address_is_not_asked_again(in_world):
    async def test(world):
        other = await world.leaf("s", lambda r: reply(r, b"", "421 Other"))
        await world.leaf("s", lambda r: reply(r, A), domain="z2")
        world.configure(one())
        for _ in range(3):
            assert (await world.ask()).body == A
        assert len(other.requests) == 1

    in_world(test)


def test_bytes_after_a_reply_end_the_connection(in_world):
    """Guards against using an extra reply for the next request."""

    async def test(world):
        leaf = await world.leaf("s", lambda r: reply(r, A) + reply(r, B))
        world.configure(one())
        for _ in range(2):
            assert (await world.ask()).body == A
        await trio.sleep(0.05)
        assert leaf.closed == 2

    in_world(test)


def test_a_reply_without_length_ends_with_its_connection(in_world):
    async def test(world):
        await world.leaf(
            "s",
            lambda r: (b"HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nopen end",),
        )
        world.configure(one())
        assert (await world.ask()).body == b"open end"

    in_world(test)


def test_connections_are_reused(in_world):
    async def test(world):
        await world.leaf("s", lambda r: reply(r, A))
        world.configure(one())
        for _ in range(5):
            await world.ask()
        assert world.pool.opened == 1

    in_world(test)


def test_an_unreachable_leaf_is_skipped(in_world):
    async def test(world):
        leaf = await world.leaf("s", lambda r: reply(r, A))
        gone = world.view.registry.candidates("s", 0.0)[0].entry
        world.view.registry.put(
            dataclasses.replace(gone, leaf_id="i-0", address="127.0.0.1:1"),
            0.0,
        )
        world.configure(one(kind=Kind.AT_MOST_ONCE))
        for _ in range(4):
            answer = await world.ask(method="POST", body=b"x")
            assert answer.status == 200
        assert len(leaf.requests) == 4

    in_world(test)


def test_replies_wake_the_request_only_if_the_verdict_may_change(
    in_world, monkeypatch
):
    """Guards against waking the request's task for each reply of a search.

    With many shards this took much processor time.
    """
    wakeups = []
    next_time = FanOut.next_time

    def counted(fanout, now):
        wakeups.append(now)
        return next_time(fanout, now)

    monkeypatch.setattr(FanOut, "next_time", counted)

    async def test(world):
        shards = [f"s{number}" for number in range(8)]

        def delayed_reply(number):
            async def answer(request):
                await trio.sleep(0.01 * number)
                return reply(request, A, signature=f"{number}")

            return answer

        for number, shard in enumerate(shards):
            await world.leaf(shard, delayed_reply(number))
        world.configure(search(*shards, target_s=1.0))
        answer = await world.ask()
        assert len(answer.headers["x-signatures"].split(", ")) == len(shards)
        assert len(wakeups) == 1

    in_world(test)


def test_a_disconnecting_caller_closes_the_connection_to_the_leaf(in_world):
    async def test(world):
        leaf = await world.leaf("s", lambda r: None)
        world.configure(one())
        stream = await world.connect()
        await stream.send_all(ask_bytes())
        await trio.sleep(0.05)
        assert len(leaf.requests) == 1
        await stream.aclose()
        await trio.sleep(0.45)
        assert leaf.closed == 1

    in_world(test)


def test_a_submission_continues_after_its_caller_disconnects(in_world):
    async def test(world):
        leaf = await world.leaf("s", lambda r: None)
        world.configure(one(kind=Kind.AT_MOST_ONCE))
        stream = await world.connect()
        await stream.send_all(ask_bytes(method="POST", body=b"x"))
        await trio.sleep(0.05)
        await stream.aclose()
        await trio.sleep(0.45)
        assert leaf.closed == 0

    in_world(test)


def test_answers_keep_the_order_of_pipelined_requests(in_world):
    async def test(world):
        async def answer(request):
            if b"/a/slow" in request:
                await trio.sleep(0.1)
            return reply(request, field(request, "x-id").encode())

        await world.leaf("s", answer)
        await world.leaf("s", answer)
        world.configure(one())
        async with await world.connect() as stream:
            await stream.send_all(
                ask_bytes("/a/slow", "r1") + ask_bytes("/a/quick", "r2")
            )
            first = await read_answer(stream)
            assert first.body == b"r1"
            assert (await read_answer(stream)).body == b"r2"

    in_world(test)


def test_refusals_before_any_leaf(in_world):
    async def test(world):
        world.configure(one())
        assert (await world.ask("/b/x")).status == 404
        answer = await world.ask("/a/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0

    in_world(test)


def test_a_vm_that_shuts_down_answers_and_closes(in_world):
    async def test(world):
        await world.leaf("s", lambda r: reply(r, A))
        world.configure(one())
        async with await world.connect() as stream:
            world.leaving = True
            await stream.send_all(ask_bytes())
            answer = await read_answer(stream)
            assert answer.body == A
            assert answer.headers["connection"] == "close"
            assert await stream.receive_some(1) == b""

    in_world(test)


def test_an_evacuated_domain_gets_no_requests(in_world):
    async def test(world):
        leaf = await world.leaf("s", lambda r: reply(r, A))
        world.configure(one())
        world.view.registry.set_evacuated({"z1"})
        assert (await world.ask()).status == 503
        assert leaf.requests == []

    in_world(test)


def test_a_new_process_does_not_refuse_by_a_guess(in_world):
    """Guards against refusals by a load forecast without measured reply times.

    After a restart all callers connected at once and were refused (inc-6a8a).
    """

    async def test(world):
        async def answer(request):
            await trio.sleep(0.005)
            return reply(request, A)

        await world.leaf("s", answer)
        world.configure(one(target_s=0.5))
        statuses = []

        async def ask(number):
            got = await world.ask(request_id=f"r{number}")
            statuses.append(got.status)

        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(ask, number)
        assert statuses == [200] * 30

    in_world(test)


def test_shutdown_completes_requests_in_progress(in_world):
    """Checks that a connection with a request closes only after its answer.

    Idle connections close at once.
    """

    async def test(world):
        async def answer(request):
            await trio.sleep(0.2)
            return reply(request, A)

        await world.leaf("s", answer)
        world.configure(one())
        async with await world.connect() as idle, await world.connect() as busy:
            await busy.send_all(ask_bytes())
            await trio.sleep(0.05)
            world.leaving = True
            world.server.stop()
            assert await idle.receive_some(1) == b""
            assert (await read_answer(busy)).body == A
            assert await busy.receive_some(1) == b""
            with pytest.raises(OSError, match="connect"):
                await world.connect()

    in_world(test)
