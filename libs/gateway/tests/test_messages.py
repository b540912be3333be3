"""Tests of HTTP parsing: fragmented, oversized and malformed messages."""

from __future__ import annotations

import pytest
from sapphire_gateway.messages import (
    BodyBuffer,
    MessageError,
    Response,
    encode_response,
)
from sapphire_gateway.replyreader import ReplyReader
from sapphire_gateway.requestreader import RequestReader

REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"


def test_a_request_is_parsed_byte_by_byte():
    reader = RequestReader(1000, 1000)
    for index in range(len(REQUEST)):
        reader.feed(REQUEST[index : index + 1])
    request = reader.complete[0]
    assert (request.method, request.target) == (b"POST", b"/a")
    assert request.headers[0] == (b"host", b"h")
    assert request.body == b"abc"
    assert reader.is_between_messages


def test_a_chunked_body_is_joined():
    reader = RequestReader(1000, 1000)
    reader.feed(
        b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
    )
    assert reader.complete[0].body == b"abc"


@pytest.mark.parametrize(
    "data",
    [
        b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"GET /a HTTP/1.1\r\nBad Header: x\r\n\r\n",
        b"\x16\x03\x01\x02\x00",
    ],
)
def test_ambiguous_requests_are_rejected(data):
    """Guards against request smuggling.

    If two parsers disagree about the end of a request, the rest of its bytes
    may be taken for another request.
    """
    with pytest.raises(MessageError):
        RequestReader(1000, 1000).feed(data)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /a HTTP/1.1\r\nX: " + b"y" * 200 + b"\r\n\r\n", 431),
        (b"GET /" + b"y" * 200 + b" HTTP/1.1\r\n\r\n", 431),
        (b"POST /a HTTP/1.1\r\nContent-Length: 150\r\n\r\n" + b"y" * 150, 413),
    ],
)
def test_each_limit_has_its_status(data, status):
    with pytest.raises(MessageError) as caught:
        RequestReader(100, 100).feed(data)
    assert caught.value.status == status


def test_an_interim_reply_is_skipped():
    reader = ReplyReader()
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert reader.reply is None
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
    assert reader.reply.body == b"x"


def test_a_reply_without_length_ends_with_the_connection():
    reader = ReplyReader()
    reader.feed(b"HTTP/1.1 200 OK\r\n\r\nabc")
    assert reader.reply is None
    reader.finish()
    assert reader.reply.body == b"abc"
    assert not reader.reply.keeps_alive


def test_a_truncated_reply_is_never_complete():
    reader = ReplyReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc")
    reader.finish()
    assert reader.reply is None


@pytest.mark.parametrize("extra", [b"HTTP/1.1 200 OK\r\n", b"x", b"\x00\xff"])
def test_bytes_after_a_reply_are_reported(extra):
    reader = ReplyReader()
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny" + extra)
    assert reader.reply.body == b"y"
    assert reader.has_extra


def test_a_reply_to_head_has_no_body():
    reader = ReplyReader(is_to_head=True)
    reader.feed(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
    assert reader.reply.body == b""


REPLY = b"HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: 2\r\n\r\nab"
HEAD_REPLY = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"


def test_a_reader_parses_successive_replies():
    """Guards against data of an earlier reply in a later one."""
    reader = ReplyReader()
    for number in range(3):
        reader.restart(is_to_head=False)
        data = REPLY % number
        reader.feed(data[:30])
        assert reader.reply is None
        reader.feed(data[30:])
        assert reader.reply.get(b"x-id") == b"%d" % number
        assert reader.reply.body == b"ab"
        assert not reader.has_extra


def test_a_reply_to_head_leaves_the_next_reply_intact():
    """Guards against waiting for the body of a reply to HEAD.

    The next reply on the connection would be taken for that body.
    """
    reader = ReplyReader(is_to_head=True)
    reader.feed(HEAD_REPLY)
    assert reader.reply.body == b""
    reader.restart(is_to_head=False)
    reader.feed(REPLY % 7)
    assert reader.reply.get(b"x-id") == b"7"


def test_the_first_header_of_a_name_is_used():
    reader = ReplyReader()
    reader.feed(
        b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Id: 2\r\nContent-Length: 0\r\n\r\n"
    )
    assert reader.reply.get(b"x-id") == b"1"


def test_answers_state_length_and_close():
    answer = Response(200, [(b"A", b"1")], b"xy")
    assert encode_response(answer, True, False) == (
        b"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 2\r\n"
        b"Connection: close\r\n\r\nxy"
    )
    assert encode_response(answer, False, True).endswith(b"Length: 2\r\n\r\n")


@pytest.mark.parametrize("size", [1, 1_000, 65_535, 65_536, 100_000])
def test_body_buffer_keeps_pieces_of_any_size(size):
    """Guards against pieces that are lost or put in another order."""
    content = bytes(range(256)) * 1_200
    buffer = BodyBuffer()
    for begin in range(0, len(content), size):
        buffer.append(content[begin : begin + size])
    assert len(buffer) == len(content)
    assert buffer.content() == content
