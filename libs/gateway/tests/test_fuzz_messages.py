"""Property tests of the HTTP parsers, in both directions.

Any split of the bytes gives the same messages; no message is made of the bytes
of two; the limits hold; and no other exception than MessageError is raised.
`make fuzz` runs more examples.
"""

from __future__ import annotations

import contextlib

from fuzzing import fuzz
from hypothesis import example, given
from hypothesis import strategies as st
from sapphire_gateway.messages import MessageError
from sapphire_gateway.replyreader import ReplyLimits, ReplyReader
from sapphire_gateway.requestreader import RequestReader

MAX_HEAD_BYTES = 400
MAX_BODY_BYTES = 300
# Limits that wild messages often exceed.
WILD_HEAD_BYTES = 80
WILD_BODY_BYTES = 12
TOKENS = st.text("abcXYZ09-_", min_size=1, max_size=12).map(str.encode)
TEXTS = st.binary(max_size=30).map(
    lambda raw: bytes(b for b in raw if 32 <= b < 127).strip()
)
HEADERS = st.lists(
    st.tuples(TOKENS.map(lambda name: b"x-" + name.lower()), TEXTS), max_size=4
)
BODIES = st.binary(max_size=MAX_BODY_BYTES)
# Sizes of the pieces into which a stream is split, used in turn.
SPLITS = st.lists(st.integers(1, 60), min_size=1, max_size=20)
PIECES = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"Host: a\r\n",
        b"Content-Length: 3\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Upgrade: x\r\nConnection: upgrade\r\n",
        b"\r\n",
        b"\n",
        b"abc",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        b"0\r\nHost: b\r\n\r\n",
        b"ffffffffffffffff\r\n",
        b"\x00",
        b"\xff\xfe",
        b" ",
        b":",
    ]
)
WILD = st.one_of(
    st.binary(max_size=300),
    st.lists(PIECES | st.binary(max_size=8), max_size=25).map(b"".join),
    # Beginnings of valid messages, so that more examples get past them.
    st.tuples(
        st.sampled_from(
            [
                b"POST /a HTTP/1.1\r\nHost: a\r\n",
                b"HTTP/1.1 200 OK\r\n",
                b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 X\r\n",
            ]
        ),
        st.lists(PIECES, max_size=25).map(b"".join),
    ).map(b"".join),
)


def pieces(data, splits):
    """Yields the data in pieces of the given sizes."""
    start = index = 0
    while start < len(data):
        size = splits[index % len(splits)]
        yield data[start : start + size]
        start += size
        index += 1


def frame(body, is_chunked, chunk_sizes):
    """Returns framing headers and the framed body."""
    if not is_chunked:
        return b"Content-Length: %d\r\n" % len(body), body
    chunks = b"".join(
        b"%x\r\n%s\r\n" % (len(chunk), chunk)
        for chunk in pieces(body, chunk_sizes)
    )
    return b"Transfer-Encoding: chunked\r\n", chunks + b"0\r\n\r\n"


def encode(first_line, headers, body, is_chunked, chunk_sizes):
    """Returns the bytes of a message."""
    framing, framed = frame(body, is_chunked, chunk_sizes)
    lines = b"".join(b"%s: %s\r\n" % pair for pair in headers)
    return first_line + b"\r\n" + lines + framing + b"\r\n" + framed


MESSAGES = st.tuples(HEADERS, BODIES, st.booleans(), SPLITS)


@fuzz
@given(st.lists(st.tuples(TOKENS, MESSAGES), min_size=1, max_size=4), SPLITS)
def test_requests_are_the_same_however_they_are_split(messages, splits):
    """Guards against a request that is made of the bytes of two."""
    data = b"".join(
        encode(b"POST /%s HTTP/1.1" % target, *message)
        for target, message in messages
    )
    reader = RequestReader(MAX_HEAD_BYTES, MAX_BODY_BYTES)
    for piece in pieces(data, splits):
        reader.feed(piece)
    assert [
        (
            request.target,
            [h for h in request.headers if h[0].startswith(b"x-")],
            request.body,
        )
        for request in reader.complete
    ] == [
        (b"/" + target, headers, body)
        for target, (headers, body, *_) in messages
    ]
    assert reader.is_between_messages


@fuzz
@given(MESSAGES, SPLITS, st.lists(st.just(b""), max_size=2))
def test_reply_is_the_same_however_it_is_split(message, splits, interim):
    headers, body, *_ = message
    data = b"HTTP/1.1 100 Continue\r\n\r\n" * len(interim)
    data += encode(b"HTTP/1.1 200 OK", *message)
    reader = ReplyReader(limits=ReplyLimits(MAX_HEAD_BYTES, 8 * MAX_BODY_BYTES))
    for piece in pieces(data, splits):
        assert reader.reply is None
        reader.feed(piece)
    assert reader.reply.body == body
    assert not reader.has_extra
    received = [h for h in reader.reply.headers if h[0].startswith(b"x-")]
    assert received == headers


def read_requests(data, splits):
    """Returns the requests read before an error, and whether there was one."""
    reader = RequestReader(WILD_HEAD_BYTES, WILD_BODY_BYTES)
    try:
        for piece in pieces(data, splits):
            reader.feed(piece)
    except MessageError:
        return reader.complete, True
    return reader.complete, False


@fuzz
@given(WILD, SPLITS)
def test_wild_requests_raise_only_the_modules_error(data, splits):
    complete, _ = read_requests(data, splits)
    for request in complete:
        head = sum(len(n) + len(v) + 4 for n, v in request.headers)
        assert head + len(request.target) <= WILD_HEAD_BYTES
        assert len(request.body) <= WILD_BODY_BYTES


@fuzz
@given(WILD, SPLITS)
def test_wild_requests_are_the_same_however_they_are_split(data, splits):
    """Guards against a split that hides a request in the body of another."""
    whole, _ = read_requests(data, [max(1, len(data))])
    split, _ = read_requests(data, splits)
    shorter = min(len(whole), len(split))
    assert whole[:shorter] == split[:shorter]


@fuzz
@given(WILD, SPLITS, st.booleans())
@example(
    b"HTTP/1.1 200 OK\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", [9], False
)
@example(
    b"HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", [9], True
)
def test_wild_replies_raise_only_the_modules_error(data, splits, is_to_head):
    limits = ReplyLimits(WILD_HEAD_BYTES, WILD_BODY_BYTES)
    reader = ReplyReader(is_to_head, limits)
    with contextlib.suppress(MessageError):
        for piece in pieces(data, splits):
            reader.feed(piece)
        reader.finish()
    if reader.reply is not None:
        # The bytes in which the head ends are not counted.
        assert len(reader.reply.body) <= WILD_BODY_BYTES + max(splits)
