"""Tests of peers that send bytes without end, in a head or in a body.

Each such message must be rejected after a bounded number of bytes, however the
bytes are split, and must not cost other requests.
"""

from __future__ import annotations

import contextlib
import dataclasses
import itertools

import pytest
import trio
from gateway_harness import (
    Leaf,
    read_response,
    reply,
    request_bytes,
    search_route,
    single_leaf_route,
)
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.messages import MessageError
from sapphire_gateway.replyreader import ReplyLimits, ReplyReader
from sapphire_gateway.requestreader import RequestReader
from sapphire_gateway.store import StoreUnavailableError

MAX_HEAD_BYTES = 1_000
MAX_BODY_BYTES = 10_000
# A message is rejected at the latest after this many bytes: a chunked body has
# up to six bytes for each byte of content.
MAX_ACCEPTED_BYTES = MAX_HEAD_BYTES + 7 * MAX_BODY_BYTES
PIECE = b"a" * 500
# Deadline that the caller states.
DEADLINE_S = 2.0
# Time within which the connection of an endless reply is closed. The callers'
# requests have a time limit of 1.5 s.
CUT_OFF_LIMIT_S = 2.0
# Beginning of a message, and what follows without end.
ENDLESS_REPLIES = {
    "reason": (b"HTTP/1.1 200 ", PIECE),
    "header name": (b"HTTP/1.1 200 OK\r\n", PIECE),
    "header value": (b"HTTP/1.1 200 OK\r\nX-A: ", PIECE),
    "headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "interim replies": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "unframed body": (b"HTTP/1.1 200 OK\r\n\r\n", PIECE),
    "long body": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
        PIECE,
    ),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"4\r\nabcd\r\n",
    ),
    "chunk extension": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=",
        PIECE,
    ),
    "trailers": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-A: b\r\n",
    ),
    "trailer value": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ",
        PIECE,
    ),
}
_CHUNKED_REQUEST = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
ENDLESS_REQUESTS = {
    "target": (b"GET /", PIECE, 431),
    "header name": (b"GET / HTTP/1.1\r\n", PIECE, 431),
    "header value": (b"GET / HTTP/1.1\r\nX-A: ", PIECE, 431),
    "headers": (b"GET / HTTP/1.1\r\n", b"X-A: b\r\n", 431),
    "long body": (
        b"POST /a HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
        PIECE,
        413,
    ),
    "chunks": (_CHUNKED_REQUEST, b"4\r\nabcd\r\n", 413),
    "chunk extension": (_CHUNKED_REQUEST + b"1;x=", PIECE, 413),
    "trailers": (_CHUNKED_REQUEST + b"0\r\n", b"X-A: b\r\n", 413),
    "trailer value": (_CHUNKED_REQUEST + b"0\r\nX-A: ", PIECE, 413),
}


def feed_without_end(reader, begin, piece, step):
    """Feeds a message in steps; returns the bytes fed until it is rejected."""
    stream = itertools.chain([begin], itertools.repeat(piece))
    fed = 0
    buffered = b""
    for data in stream:
        buffered += data
        while len(buffered) >= step:
            fed += step
            try:
                reader.feed(buffered[:step])
            except MessageError as error:
                return fed, error
            buffered = buffered[step:]
            assert fed <= MAX_ACCEPTED_BYTES + step, "accepted without end"
    raise AssertionError("the stream has no end")


@pytest.mark.parametrize("step", [7, 4096])
@pytest.mark.parametrize("kind", ENDLESS_REPLIES)
def test_endless_reply_is_rejected(kind, step):
    reader = ReplyReader(limits=ReplyLimits(MAX_HEAD_BYTES, MAX_BODY_BYTES))
    begin, piece = ENDLESS_REPLIES[kind]
    _, error = feed_without_end(reader, begin, piece, step)
    assert reader.reply is None
    assert "exceeds" in str(error)


@pytest.mark.parametrize("step", [7, 4096])
@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
def test_endless_request_is_rejected(kind, step):
    reader = RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES)
    begin, piece, status = ENDLESS_REQUESTS[kind]
    _, error = feed_without_end(reader, begin, piece, step)
    assert not reader.complete
    assert error.status == status


@pytest.mark.parametrize("step", [1, 50, 100_000])
def test_reply_at_the_limits_is_accepted(step):
    """The limits hold for each reply, not for all on a connection."""
    body = b"b" * 9_000
    head = b"HTTP/1.1 200 OK\r\nX-A: %s\r\nContent-Length: 9000\r\n\r\n"
    data = head % (b"a" * 900) + body
    reader = ReplyReader(limits=ReplyLimits(MAX_HEAD_BYTES, MAX_BODY_BYTES))
    for _ in range(20):
        for start in range(0, len(data), step):
            reader.feed(data[start : start + step])
        assert reader.reply.body == body
        reader.restart(is_to_head=False)


@pytest.mark.parametrize("step", [1, 50, 100_000])
def test_pipelined_requests_are_limited_one_by_one(step):
    head = b"POST /a HTTP/1.1\r\nX-A: %s\r\nContent-Length: 9000\r\n\r\n"
    data = (head % (b"a" * 900) + b"b" * 9_000) * 20
    reader = RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES)
    for start in range(0, len(data), step):
        reader.feed(data[start : start + step])
    assert len(reader.complete) == 20


class EndlessLeaf(Leaf):
    """Sends the beginning of a reply, then a piece until it is cut off."""

    def __init__(self, begin, piece) -> None:
        super().__init__(None)
        self._begin = begin
        self._piece = piece * max(1, 60_000 // len(piece))
        self.cut_off_count = 0

    async def wait_until_cut_off(self):
        """Waits until the connections of all requests were closed."""
        with trio.fail_after(CUT_OFF_LIMIT_S):
            while self.cut_off_count < len(self.requests):
                await trio.sleep(0.01)

    async def _send_reply(self, stream, data):
        try:
            await stream.send_all(self._begin)
            while True:
                await stream.send_all(self._piece)
        except trio.BrokenResourceError:
            self.cut_off_count += 1
            raise


@pytest.mark.parametrize("kind", ENDLESS_REPLIES)
def test_endless_reply_costs_only_its_own_part(run_with_harness, kind):
    """The search is answered in time, and the leaf is cut off."""

    async def test(harness):
        leaf = EndlessLeaf(*ENDLESS_REPLIES[kind])
        await harness.leaf("s", leaf)
        await harness.leaf("t", lambda r: reply(r, b"b" * 16, signature="t"))
        harness.configure(search_route("s", "t"))
        began = trio.current_time()
        answer = await harness.request()
        assert trio.current_time() - began < DEADLINE_S
        assert (answer.status, answer.headers["x-missing"]) == (200, "1")
        await leaf.wait_until_cut_off()

    run_with_harness(test)


@pytest.mark.parametrize("kind", ENDLESS_REPLIES)
def test_request_with_an_endless_reply_is_retried(run_with_harness, kind):
    """A single request gets the reply of the service's other leaf."""

    async def test(harness):
        leaf = EndlessLeaf(*ENDLESS_REPLIES[kind])
        await harness.leaf("s", leaf)
        await harness.leaf("s", lambda r: reply(r, b"fine"))
        harness.configure(single_leaf_route("s"))
        for number in range(10):
            answer = await harness.request(request_id=f"r{number}")
            assert (answer.status, answer.body) == (200, b"fine")
        assert leaf.requests
        await leaf.wait_until_cut_off()

    run_with_harness(test)


@pytest.mark.parametrize("kind", ENDLESS_REQUESTS)
def test_endless_request_gets_a_final_answer(run_with_harness, kind):
    """The answer says what is wrong; the connection is not just reset."""

    async def test(harness):
        harness.configure(single_leaf_route("s"))
        begin, piece, status = ENDLESS_REQUESTS[kind]
        async with await harness.connect() as stream:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_endless_request, stream, begin, piece)
                with trio.fail_after(CUT_OFF_LIMIT_S):
                    answer = await read_response(stream)
                nursery.cancel_scope.cancel()
            assert answer.status == status

    run_with_harness(test)


async def send_endless_request(stream, begin, piece):
    """Sends a message without end until the connection is closed."""
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(begin)
        while True:
            await stream.send_all(piece * max(1, 60_000 // len(piece)))


def test_refused_long_body_ends_with_an_answer(run_with_harness):
    """The caller sends all of its body before it reads the answer.

    Closing the connection with unread bytes resets it, and the reset may
    overtake the answer.
    """

    async def test(harness):
        harness.configure(single_leaf_route("s"))
        body = b"b" * 3_000_000
        async with await harness.connect() as stream:
            await stream.send_all(request_bytes(method="POST", body=body))
            await trio.sleep(0.1)
            answer = await read_response(stream)
            assert answer.status == 413

    run_with_harness(test)


def test_pipelined_request_has_its_own_time_to_arrive(run_with_harness):
    """A request that begins with the end of another one is timed from there."""

    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, b"fine"))
        harness.configure(single_leaf_route("s"))
        limits = dataclasses.replace(
            harness.view.configuration.limits, header_timeout_s=0.4
        )
        harness.view.adopt(
            dataclasses.replace(
                harness.view.configuration, version=9, limits=limits
            )
        )
        data = request_bytes(request_id="r1") + request_bytes(request_id="r2")
        first, second, third = data[:20], data[20:-30], data[-30:]
        async with await harness.connect() as stream:
            await stream.send_all(first)
            await trio.sleep(0.3)
            await stream.send_all(second)
            assert (await read_response(stream)).status == 200
            await trio.sleep(0.3)
            await stream.send_all(third)
            assert (await read_response(stream)).status == 200

    run_with_harness(test)


@pytest.mark.parametrize("kind", ENDLESS_REPLIES)
def test_endless_reply_counts_as_unavailable(kind):
    """The store and other VMs are called with the same client."""

    async def main():
        leaf = EndlessLeaf(*ENDLESS_REPLIES[kind])
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(leaf.run)
            port = listeners[0].socket.getsockname()[1]
            limits = ReplyLimits(MAX_HEAD_BYTES, MAX_BODY_BYTES)
            client = HttpClient(f"127.0.0.1:{port}", limits)
            client.start(nursery)
            with (
                trio.fail_after(CUT_OFF_LIMIT_S),
                pytest.raises(StoreUnavailableError, match="exceeds"),
            ):
                await client.request("GET", "/", timeout_s=10.0)
            nursery.cancel_scope.cancel()

    trio.run(main)
