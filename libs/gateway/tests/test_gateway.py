"""Tests of requests through the gateway, with correct and faulty leaves.

A submission is a request of a route whose kind is AT_MOST_ONCE.
"""

from __future__ import annotations

import dataclasses
import functools

import pytest
import trio
from gateway_harness import (
    field,
    read_response,
    reply,
    request_bytes,
    search_route,
    single_leaf_route,
)
from sapphire_core.fanout import FanOut
from sapphire_core.routing import Kind

A = b"a" * 16
B = b"b" * 16
C = b"c" * 16


def test_a_leafs_answer_is_returned_unchanged(run_with_harness):
    async def test(harness):
        leaf = await harness.leaf(
            "s", lambda r: reply(r, b"body", extra=["X-Other: 1"])
        )
        harness.configure(single_leaf_route())
        answer = await harness.request("/a/x?q=%20", left=900)
        assert (answer.status, answer.body) == (200, b"body")
        assert answer.headers["x-signature"] == "s"
        assert answer.headers["x-other"] == "1"
        sent = leaf.requests[0]
        assert sent.startswith(b"GET /a/x?q=%20 HTTP/1.1\r\n")
        assert field(sent, "x-target").startswith("i-")
        assert 0 < int(field(sent, "x-left")) <= 900

    run_with_harness(test)


def test_the_greatest_records_of_all_parts_are_merged(run_with_harness):
    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, A + C + b"short"))
        await harness.leaf("t", lambda r: reply(r, B + C, signature="t"))
        harness.configure(search_route("s", "t", top=3))
        answer = await harness.request()
        assert answer.body == C + C + B
        assert answer.headers["x-missing"] == "0"
        signatures = answer.headers["x-signatures"].split(", ")
        assert sorted(signatures) == ["s", "t"]

    run_with_harness(test)


def test_a_part_without_a_reply_is_left_out_at_the_target(run_with_harness):
    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, A))
        await harness.leaf("t", lambda r: None)
        harness.configure(search_route("s", "t", target_s=0.2))
        answer = await harness.request()
        assert (answer.status, answer.body) == (200, A)
        assert answer.headers["x-missing"] == "1"

    run_with_harness(test)


def test_too_few_parts_give_an_error(run_with_harness):
    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, A))
        await harness.leaf("t", lambda r: reply(r, b"", "500 Error"))
        harness.configure(search_route("s", "t", min_share=1.0))
        assert (await harness.request()).status == 502

    run_with_harness(test)


def test_a_silent_leaf_is_hedged(run_with_harness):
    async def test(harness):
        silent = await harness.leaf("s", lambda r: None)
        other = await harness.leaf("s", lambda r: reply(r, A), domain="z2")
        harness.configure(single_leaf_route())
        assert (await harness.request()).body == A
        assert len(silent.requests) == len(other.requests) == 1

    run_with_harness(test)


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
    run_with_harness, faulty_reply
):
    async def test(harness):
        await harness.leaf("s", faulty_reply)
        await harness.leaf("s", lambda r: reply(r, B), domain="z2")
        harness.configure(single_leaf_route())
        answer = await harness.request()
        assert (answer.status, answer.body) == (200, B)

    run_with_harness(test)


@pytest.mark.parametrize(
    "faulty_reply", FAULTY_REPLIES.values(), ids=FAULTY_REPLIES
)
def test_a_submission_is_never_retried_after_a_faulty_reply(
    run_with_harness, faulty_reply
):
    async def test(harness):
        await harness.leaf("s", faulty_reply)
        other = await harness.leaf("s", lambda r: reply(r, B), domain="z2")
        harness.configure(single_leaf_route(kind=Kind.AT_MOST_ONCE))
        answer = await harness.request(method="POST", body=b"proposal")
        assert answer.status in {500, 502}
        assert answer.status == 500 or "x-signature" not in answer.headers
        assert other.requests == []

    run_with_harness(test)


def test_a_submission_that_no_leaf_ran_is_refused_with_503(run_with_harness):
    async def test(harness):
        full = ["X-Not-Run: 1"]
        for domain in ("z1", "z2"):
            await harness.leaf(
                "s",
                lambda r: reply(r, b"", "503 Full", extra=full),
                domain=domain,
            )
        harness.configure(single_leaf_route(kind=Kind.AT_MOST_ONCE))
        answer = await harness.request(method="POST", body=b"proposal")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert "x-signature" not in answer.headers

    run_with_harness(test)


def test_a_reused_address_is_not_asked_again(run_with_harness):
    async def test(harness):
        other = await harness.leaf("s", lambda r: reply(r, b"", "421 Other"))
        await harness.leaf("s", lambda r: reply(r, A), domain="z2")
        harness.configure(single_leaf_route())
        for _ in range(3):
            assert (await harness.request()).body == A
        assert len(other.requests) == 1

    run_with_harness(test)


def test_bytes_after_a_reply_end_the_connection(run_with_harness):
    """Guards against using an extra reply for the next request."""

    async def test(harness):
        leaf = await harness.leaf("s", lambda r: reply(r, A) + reply(r, B))
        harness.configure(single_leaf_route())
        for _ in range(2):
            assert (await harness.request()).body == A
        await trio.sleep(0.05)
        assert leaf.closed == 2

    run_with_harness(test)


def test_a_reply_without_length_ends_with_its_connection(run_with_harness):
    async def test(harness):
        await harness.leaf(
            "s",
            lambda r: (b"HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nopen end",),
        )
        harness.configure(single_leaf_route())
        assert (await harness.request()).body == b"open end"

    run_with_harness(test)


def test_connections_are_reused(run_with_harness):
    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, A))
        harness.configure(single_leaf_route())
        for _ in range(5):
            await harness.request()
        assert harness.pool.opened_count == 1

    run_with_harness(test)


def test_an_unreachable_leaf_is_skipped(run_with_harness):
    async def test(harness):
        leaf = await harness.leaf("s", lambda r: reply(r, A))
        gone = harness.view.registry.candidates("s", 0.0)[0].entry
        harness.view.registry.put(
            dataclasses.replace(gone, leaf_id="i-0", address="127.0.0.1:1"),
            0.0,
        )
        harness.configure(single_leaf_route(kind=Kind.AT_MOST_ONCE))
        for _ in range(4):
            answer = await harness.request(method="POST", body=b"x")
            assert answer.status == 200
        assert len(leaf.requests) == 4

    run_with_harness(test)


def test_replies_wake_the_request_only_if_the_verdict_may_change(
    run_with_harness, monkeypatch
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

    async def test(harness):
        shards = [f"s{number}" for number in range(8)]

        def delayed_reply(number):
            async def answer(request):
                await trio.sleep(0.01 * number)
                return reply(request, A, signature=f"{number}")

            return answer

        for number, shard in enumerate(shards):
            await harness.leaf(shard, delayed_reply(number))
        harness.configure(search_route(*shards, target_s=1.0))
        answer = await harness.request()
        assert len(answer.headers["x-signatures"].split(", ")) == len(shards)
        assert len(wakeups) == 1

    run_with_harness(test)


def test_a_disconnecting_caller_closes_the_connection_to_the_leaf(
    run_with_harness,
):
    async def test(harness):
        leaf = await harness.leaf("s", lambda r: None)
        harness.configure(single_leaf_route())
        stream = await harness.connect()
        await stream.send_all(request_bytes())
        await trio.sleep(0.05)
        assert len(leaf.requests) == 1
        await stream.aclose()
        await trio.sleep(0.45)
        assert leaf.closed == 1

    run_with_harness(test)


def test_a_submission_continues_after_its_caller_disconnects(run_with_harness):
    async def test(harness):
        leaf = await harness.leaf("s", lambda r: None)
        harness.configure(single_leaf_route(kind=Kind.AT_MOST_ONCE))
        stream = await harness.connect()
        await stream.send_all(request_bytes(method="POST", body=b"x"))
        await trio.sleep(0.05)
        await stream.aclose()
        await trio.sleep(0.45)
        assert leaf.closed == 0

    run_with_harness(test)


def test_answers_keep_the_order_of_pipelined_requests(run_with_harness):
    async def test(harness):
        async def answer(request):
            if b"/a/slow" in request:
                await trio.sleep(0.1)
            return reply(request, field(request, "x-id").encode())

        await harness.leaf("s", answer)
        await harness.leaf("s", answer)
        harness.configure(single_leaf_route())
        async with await harness.connect() as stream:
            await stream.send_all(
                request_bytes("/a/slow", "r1") + request_bytes("/a/quick", "r2")
            )
            first = await read_response(stream)
            assert first.body == b"r1"
            assert (await read_response(stream)).body == b"r2"

    run_with_harness(test)


def test_refusals_before_any_leaf(run_with_harness):
    async def test(harness):
        harness.configure(single_leaf_route())
        assert (await harness.request("/b/x")).status == 404
        answer = await harness.request("/a/x")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0

    run_with_harness(test)


def test_a_vm_that_shuts_down_answers_and_closes(run_with_harness):
    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, A))
        harness.configure(single_leaf_route())
        async with await harness.connect() as stream:
            harness.is_shutting_down = True
            await stream.send_all(request_bytes())
            answer = await read_response(stream)
            assert answer.body == A
            assert answer.headers["connection"] == "close"
            assert await stream.receive_some(1) == b""

    run_with_harness(test)


def test_an_evacuated_domain_gets_no_requests(run_with_harness):
    async def test(harness):
        leaf = await harness.leaf("s", lambda r: reply(r, A))
        harness.configure(single_leaf_route())
        harness.view.registry.set_evacuated({"z1"})
        assert (await harness.request()).status == 503
        assert leaf.requests == []

    run_with_harness(test)


def test_a_new_process_does_not_refuse_by_a_guess(run_with_harness):
    """Guards against refusals by a load forecast without measured reply times.

    After a restart all callers connected at once and were refused, see
    docs/incidents/inc-6a8a.md.
    """

    async def test(harness):
        async def answer(request):
            await trio.sleep(0.005)
            return reply(request, A)

        await harness.leaf("s", answer)
        harness.configure(single_leaf_route(target_s=0.5))
        statuses = []

        async def ask(number):
            got = await harness.request(request_id=f"r{number}")
            statuses.append(got.status)

        async with trio.open_nursery() as nursery:
            for number in range(30):
                nursery.start_soon(ask, number)
        assert statuses == [200] * 30

    run_with_harness(test)


def test_shutdown_completes_requests_in_progress(run_with_harness):
    """Checks that a connection with a request closes only after its answer.

    Idle connections close at once.
    """

    async def test(harness):
        async def answer(request):
            await trio.sleep(0.2)
            return reply(request, A)

        await harness.leaf("s", answer)
        harness.configure(single_leaf_route())
        async with (
            await harness.connect() as idle,
            await harness.connect() as busy,
        ):
            await busy.send_all(request_bytes())
            await trio.sleep(0.05)
            harness.is_shutting_down = True
            harness.server.stop()
            assert await idle.receive_some(1) == b""
            assert (await read_response(busy)).body == A
            assert await busy.receive_some(1) == b""
            with pytest.raises(OSError, match="connect"):
                await harness.connect()

    run_with_harness(test)


def test_leaf_gets_no_more_than_the_limit_it_names(run_with_harness):
    """Guards against leaves that name a limit and get as many as before."""

    async def test(harness):
        limited = await harness.leaf(
            "s", lambda r: reply(r, A, extra=["X-Limit: 4.0"])
        )
        other = await harness.leaf("s", lambda r: reply(r, B), domain="z2")
        harness.configure(single_leaf_route())
        for _ in range(60):
            assert (await harness.request()).status == 200
            await trio.sleep(0.02)
        # The calls took over a second, and a burst is allowed.
        assert 2 <= len(limited.requests) <= 10
        assert len(limited.requests) + len(other.requests) == 60

    run_with_harness(test)


def test_request_without_room_at_any_leaf_is_refused_at_once(run_with_harness):
    """Guards against callers that wait for a leaf which takes no more."""

    async def test(harness):
        leaf = await harness.leaf(
            "s", lambda r: reply(r, A, extra=["X-Limit: 0.5"])
        )
        harness.configure(single_leaf_route())
        assert (await harness.request()).status == 200
        started_at = trio.current_time()
        refused = await harness.request()
        assert refused.status == 503
        assert 0 < float(refused.headers["retry-after"]) <= 2.0
        assert trio.current_time() - started_at < 0.5
        assert len(leaf.requests) == 1

    run_with_harness(test)


def test_search_leaves_out_a_shard_without_room(run_with_harness):
    """Guards against calls for a part beyond its leaf's limit."""

    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, A))
        limited = await harness.leaf(
            "t", lambda r: reply(r, B, extra=["X-Limit: 0.5"])
        )
        harness.configure(search_route("s", "t", min_share=0.5))
        assert (await harness.request()).headers["x-missing"] == "0"
        answer = await harness.request()
        assert (answer.status, answer.headers["x-missing"]) == (200, "1")
        assert len(limited.requests) == 1

    run_with_harness(test)


def test_limit_that_ends_or_cannot_be_read(run_with_harness):
    """Guards against limits that are believed after the leaf has ended them."""

    async def test(harness):
        values = iter(["2.0", "1e400", "-1", "nan", "0x1", "Sat, 05 Dec", None])

        def answer(request):
            value = next(values, None)
            return reply(request, A, extra=[f"X-Limit: {value}"] * bool(value))

        leaf = await harness.leaf("s", answer)
        harness.configure(single_leaf_route())
        assert (await harness.request()).status == 200
        (endpoint,) = [
            harness.pool.get_or_create(leaf.entry)
            for leaf in harness.view.registry.leaves
        ]
        for _ in range(5):
            # Odd values change nothing.
            assert endpoint.terms.limit_per_s == 2.0
            await trio.sleep(0.55)
            assert (await harness.request()).status == 200
        await trio.sleep(0.55)
        assert (await harness.request()).status == 200
        assert not endpoint.terms.has_limit
        assert len(leaf.requests) == 7

    run_with_harness(test)


def _cut_in_head(request, cut, length):
    head = reply(request, A, extra=["Connection: close"]).partition(
        b"\r\n\r\n"
    )[0]
    if not length:
        # Without a length, the end of the connection is the end of the body.
        head = head.replace(b"Content-Length: 16\r\n", b"")
    return (head[: int(len(head) * cut)] if cut < 1 else head + CUT_ENDS[cut],)


# Ends of a head that lacks its empty line, by a number above 1.
CUT_ENDS = {2: b"", 3: b"\r", 4: b"\r\n", 5: b"\r\n\r"}


@pytest.mark.parametrize("length", [True, False], ids=["length", "no length"])
@pytest.mark.parametrize("cut", [0.1, 0.3, 0.5, 0.7, 0.9, *CUT_ENDS])
def test_reply_that_ends_inside_its_head_is_no_answer(
    run_with_harness, cut, length
):
    """Guards against a 200 with an empty or short body, framed as whole."""

    async def test(harness):
        await harness.leaf("s", lambda r: _cut_in_head(r, cut, length))
        harness.configure(single_leaf_route(kind=Kind.AT_MOST_ONCE))
        assert (await harness.request(method="POST", body=b"b")).status == 502
        harness.configure(search_route("s", "t"))
        await harness.leaf("t", lambda r: reply(r, B))
        answer = await harness.request("/a/search")
        assert (answer.status, answer.headers["x-missing"]) == (200, "1")
        assert answer.body == B

    run_with_harness(test)


def test_interim_reply_without_a_final_one_is_no_answer(run_with_harness):
    """Guards against a leaf that ends after a status of 1xx."""

    async def test(harness):
        await harness.leaf(
            "s",
            lambda r: (b"HTTP/1.1 103 Early Hints\r\nX-Signature: s\r\n\r\n",),
        )
        harness.configure(single_leaf_route(max_attempts=1))
        assert (await harness.request()).status == 502

    run_with_harness(test)


@pytest.mark.parametrize("kind", [Kind.IDEMPOTENT, Kind.AT_MOST_ONCE])
def test_request_that_a_stopping_vm_cannot_answer_is_refused(
    run_with_harness, kind
):
    """Guards against requests that are passed on and cut at the stop."""

    async def test(harness):
        leaf = await harness.leaf("s", lambda r: reply(r, A))
        harness.configure(single_leaf_route(kind=kind, target_s=0.5))
        harness.is_shutting_down = True
        harness.gateway.begin_stop(trio.current_time() + 5.0)
        answer = await harness.request(method="POST", body=b"b")
        assert answer.status == 200
        harness.gateway.begin_stop(trio.current_time() + 0.1)
        refused = await harness.request(method="POST", body=b"b")
        assert refused.status == 503
        assert refused.headers["connection"] == "close"
        assert float(refused.headers["retry-after"]) == 0
        assert len(leaf.requests) == 1

    run_with_harness(test)


def test_running_request_is_answered_at_the_stop(run_with_harness):
    """Guards against requests that are still running when the VM ends."""

    async def test(harness):
        await harness.leaf("s", lambda r: None)
        await harness.leaf("t", lambda r: reply(r, A))
        harness.configure(
            single_leaf_route(kind=Kind.AT_MOST_ONCE),
            dataclasses.replace(
                search_route("s", "t", target_s=1.0), prefix="/search/"
            ),
        )
        answers = {}

        async def send(path, **more: object):
            answers[path] = await harness.request(path, **more)

        with trio.fail_after(1.0):
            async with trio.open_nursery() as requests:
                requests.start_soon(
                    functools.partial(send, "/a/x", method="POST", body=b"b")
                )
                requests.start_soon(send, "/search/x")
                await trio.sleep(0.1)
                harness.gateway.end_requests()
        assert answers["/a/x"].status == 504
        assert answers["/search/x"].status == 200
        assert answers["/search/x"].headers["x-missing"] == "1"

    run_with_harness(test)
