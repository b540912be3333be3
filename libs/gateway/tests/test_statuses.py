"""Tests of the statuses that replies may have.

A leaf in trouble may send any three digits, and a body where none belongs.
Neither may reach a caller as an answer, or as a part of another answer.
"""

from __future__ import annotations

import pytest
import trio
from gateway_harness import reply, search_route, single_leaf_route
from sapphire_core.routing import Kind
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.messages import MessageError
from sapphire_gateway.replyreader import ReplyReader
from sapphire_gateway.store import StoreUnavailableError

INVALID = ["000", "001", "099", "101", "600", "999"]
INTERIM = ["100", "102", "103", "199"]
WRONG = b"WRONG"


def interim(status, body=b""):
    """Returns the bytes of a reply with a status that announces others."""
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@pytest.mark.parametrize("status", INVALID)
def test_reply_with_an_invalid_status_is_malformed(status):
    """Guards against statuses that are waited out or passed on."""
    with pytest.raises(MessageError, match=f"status {int(status)} "):
        ReplyReader().feed(interim(status))


@pytest.mark.parametrize("status", ["200", "299", "304", "404", "599"])
def test_reply_with_a_final_status_is_complete(status):
    reader = ReplyReader()
    reader.feed(interim(status))
    assert reader.reply is not None
    assert reader.reply.status == int(status)


@pytest.mark.parametrize("status", INTERIM)
def test_interim_reply_is_skipped_with_its_headers(status):
    """Guards against headers of an interim reply in the final one."""
    reader = ReplyReader()
    reader.feed(f"HTTP/1.1 {status} X\r\nX-Signature: w\r\n\r\n".encode())
    reader.feed(interim("200", b"body"))
    assert reader.reply is not None
    assert reader.reply.body == b"body"
    assert reader.reply.get(b"x-signature") is None


@pytest.mark.parametrize("status", [*INVALID, *INTERIM])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_body_of_an_interim_reply_is_malformed(status, is_chunked):
    """Guards against a body that is put before that of the next reply."""
    data = interim(status, WRONG)
    if is_chunked:
        head = f"HTTP/1.1 {status} X\r\nTransfer-Encoding: chunked\r\n\r\n"
        data = head.encode() + b"5\r\nWRONG\r\n0\r\n\r\n"
    reader = ReplyReader()
    with pytest.raises(MessageError):
        reader.feed(data + interim("200", b"body"))


@pytest.mark.parametrize("status", [*INVALID, *INTERIM])
@pytest.mark.parametrize("kind", list(Kind))
def test_caller_gets_no_part_of_a_reply_with_such_a_status(
    run_with_harness, status, kind
):
    """Guards against answers made of a leaf's bytes that are none."""

    async def test(harness):
        await harness.leaf(
            "s", lambda r: interim(status, WRONG) + reply(r, b"r" * 16)
        )
        harness.configure(single_leaf_route(kind=kind, max_attempts=1))
        answer = await harness.request(left=500)
        assert answer.status == 502
        assert WRONG not in answer.body
        assert "x-signature" not in answer.headers

    run_with_harness(test)


@pytest.mark.parametrize("status", INVALID)
def test_invalid_status_is_retried_at_another_leaf(run_with_harness, status):
    """Guards against a leaf in trouble that is waited for to the deadline."""

    async def test(harness):
        async def fail_first(request):
            if harness.fails:
                harness.fails = False
                return interim(status)
            return reply(request, b"r" * 16)

        harness.fails = True
        for _ in range(2):
            await harness.leaf("s", fail_first)
        harness.configure(single_leaf_route())
        assert (await harness.request()).status == 200

    run_with_harness(test)


@pytest.mark.parametrize("status", ["000", "999"])
def test_part_with_an_invalid_status_is_missing(run_with_harness, status):
    """Guards against a search that takes such a reply for a part."""

    async def test(harness):
        await harness.leaf("s", lambda _: interim(status, WRONG))
        await harness.leaf("t", lambda r: reply(r, b"t" * 16, signature="t"))
        harness.configure(search_route("s", "t"))
        answer = await harness.request()
        assert (answer.status, answer.headers["x-missing"]) == (200, "1")
        assert answer.body == b"t" * 16

    run_with_harness(test)


@pytest.mark.parametrize("status", ["000", "099", "600"])
def test_client_of_the_store_takes_an_invalid_status_for_no_answer(status):
    """Guards against stores, feeds and other VMs with such a status."""

    async def serve(stream):
        await stream.receive_some()
        await stream.send_all(interim(status, WRONG) + interim("200", b"x"))
        await trio.sleep_forever()

    async def main():
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, serve, 0)
            port = listeners[0].socket.getsockname()[1]
            client = HttpClient(f"127.0.0.1:{port}")
            client.start(nursery)
            with pytest.raises(StoreUnavailableError):
                await client.request("GET", "/", 1.0)
            nursery.cancel_scope.cancel()

    trio.run(main)
