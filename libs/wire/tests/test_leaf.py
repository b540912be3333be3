"""Tests of the leaf client."""

import copy
import json

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.errors import (
    LeafColdError,
    LeafCrashedError,
    LeafDrainingError,
    LeafError,
    LeafOverloadedError,
    LeafReplyError,
    LeafTimeoutError,
    LeafUnreachableError,
    VersionGoneError,
)
from sapphire_wire.leaf import Hit, LeafClient, LeafQuery
from sapphire_wire.web import HttpReply

QUERIES = [LeafQuery("0", "a", 2), LeafQuery("1", "b", 2)]
GOOD = {
    "batch_id": "b1",
    "version": "v1",
    "shard": 1,
    "documents": 7,
    "results": [
        {"id": "1", "matches": []},
        {"id": "0", "matches": [{"id": "d", "score": 2, "title": "t"}]},
    ],
}


class _Http:
    """HTTP client stub that returns a fixed reply and keeps the last body."""

    def __init__(self, status, body) -> None:
        self.reply = HttpReply(status, body)
        self.body = None

    async def call(self, method, path, body, *, timeout_s):
        self.body = body.build()
        assert len(self.body) == body.length
        return self.reply


def _search(status, body, remaining=lambda: 0.25):
    client = LeafClient("127.0.0.1:1", 1)
    client._http = _Http(status, body)

    async def main():
        return await client.search("b1", "v1", 1, QUERIES, remaining=remaining)

    return trio.run(main), json.loads(client._http.body)


def test_results_are_matched_by_query_id():
    """Guards against matches that are assigned to the wrong query."""
    reply, sent = _search(200, json.dumps(GOOD).encode())
    assert reply.documents == 7
    assert reply.matches == [[Hit(-2, "d", "t")], []]
    assert sent["deadline_ms"] == 250
    assert (sent["batch_id"], sent["version"], sent["shard"]) == ("b1", "v1", 1)


paths = st.sampled_from(
    [
        ("batch_id",),
        ("version",),
        ("shard",),
        ("documents",),
        ("results",),
        ("results", 0),
        ("results", 0, "id"),
        ("results", 0, "matches"),
        ("results", 1, "matches", 0),
        ("results", 1, "matches", 0, "id"),
        ("results", 1, "matches", 0, "score"),
        ("results", 1, "matches", 0, "title"),
    ]
)
values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-3, -1),
    st.sampled_from(["2", "v2", "x", float("nan"), float("inf"), {}]),
    st.lists(st.integers(), min_size=1, max_size=2),
)


@given(paths, values)
def test_reply_with_any_invalid_field_is_rejected(path, value):
    """Guards against accepting a malformed reply or one to another request."""
    reply = copy.deepcopy(GOOD)
    parent = reply
    for step in path[:-1]:
        parent = parent[step]
    is_number = path[-1] in ("score",) and type(value) is int
    is_text = path[-1] == "title" and type(value) is str
    is_match_id = path[1:2] == (1,) and path[-1] == "id"
    if is_number or is_text or (is_match_id and type(value) is str):
        return
    parent[path[-1]] = value
    with pytest.raises(LeafReplyError):
        _search(200, json.dumps(reply).encode())


@given(st.binary(max_size=40))
def test_reply_that_is_not_json_is_rejected(body):
    """Guards against an error of another type on a truncated reply."""
    with pytest.raises(LeafReplyError):
        _search(200, body)


def test_missing_and_additional_results_are_rejected():
    """Guards against a query without results or with those of another."""
    for results in (
        GOOD["results"][:1],
        [*GOOD["results"], GOOD["results"][0]],
    ):
        body = json.dumps({**GOOD, "results": results}).encode()
        with pytest.raises(LeafReplyError):
            _search(200, body)


@pytest.mark.parametrize(
    ("status", "name", "error"),
    [
        (503, "shed", LeafOverloadedError),
        (503, "cold", LeafColdError),
        (503, "draining", LeafDrainingError),
        (503, "other", LeafReplyError),
        (410, "version_gone", VersionGoneError),
        (504, "deadline", LeafTimeoutError),
        (500, "fault", LeafReplyError),
    ],
)
def test_each_error_status_has_its_own_exception(status, name, error):
    """Guards against a refusal that is classified as a leaf failure."""
    with pytest.raises(error) as caught:
        _search(status, json.dumps({"error": name}).encode())
    assert type(caught.value) is error


async def _serve(nursery, handler):
    listeners = await nursery.start(trio.serve_tcp, handler, 0)
    port = listeners[0].socket.getsockname()[1]
    return LeafClient(f"127.0.0.1:{port}", 2)


@pytest.mark.parametrize(
    "sent",
    [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
    ],
)
def test_lost_and_refused_connections_have_different_errors(sent):
    """Guards against a crash that is reported as a request not sent."""

    async def close(stream):
        await stream.receive_some()
        await stream.send_all(sent)
        await stream.aclose()

    async def main():
        async with trio.open_nursery() as nursery:
            client = await _serve(nursery, close)
            with pytest.raises(LeafCrashedError):
                await client.search("b", "v", 0, QUERIES, remaining=lambda: 5.0)
            nursery.cancel_scope.cancel()
        with pytest.raises(LeafUnreachableError):
            await client.search("b", "v", 0, QUERIES, remaining=lambda: 5.0)

    trio.run(main)


def test_body_is_not_sent_if_the_send_right_expires_while_connecting():
    """Guards against a request that is sent after the send right expired."""
    received = []
    calls = []

    async def listen(stream):
        async for data in stream:
            received.append(bytes(data))

    def remaining():
        calls.append(True)
        if len(calls) > 1:
            raise LeafTimeoutError("the send right expired.")
        return 5.0

    async def main():
        async with trio.open_nursery() as nursery:
            client = await _serve(nursery, listen)
            with pytest.raises(LeafError):
                await client.search("b", "v", 0, QUERIES, remaining=remaining)
            await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(calls) == 2
    assert b"queries" not in b"".join(received)


def test_connection_of_a_mismatched_reply_is_closed():
    """Guards against replies that each arrive one call late.

    This happens if a connection that delivered the reply to another request
    is used again.
    """
    closed = []

    async def answer(stream):
        body = json.dumps({**GOOD, "batch_id": "other"}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        received = b""
        async for data in stream:
            received += data
            if received.endswith(b"}]}"):
                received = b""
                await stream.send_all(head.encode() + body)
        closed.append(True)

    async def main():
        async with trio.open_nursery() as nursery:
            client = await _serve(nursery, answer)
            for _ in range(3):
                with pytest.raises(LeafReplyError):
                    await client.search(
                        "b1", "v1", 1, QUERIES, remaining=lambda: 5.0
                    )
            await trio.sleep(0.05)
            assert len(closed) == 2
            await client.aclose()
            await trio.sleep(0.05)
            assert len(closed) == 3
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize(
    "body",
    [
        # An integer that is too large for a float.
        json.dumps(GOOD).replace('"score": 2', '"score": 1' + "0" * 400),
        "[" * 100_000,
    ],
)
def test_reply_with_extreme_json_is_rejected(body):
    """Guards against errors that no caller of the client handles."""
    with pytest.raises(LeafReplyError):
        _search(200, body.encode())


def test_reply_that_is_not_http_is_no_crash():
    """A leaf that sends wrong bytes runs on, and its request is not to blame.

    A request that crashes two leaves is refused.
    """

    async def main():
        async def send_wrong_bytes(stream):
            await stream.receive_some()
            await stream.send_all(b"no http at all\r\n\r\n")
            await stream.receive_some()

        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(trio.serve_tcp, send_wrong_bytes, 0)
            port = listeners[0].socket.getsockname()[1]
            client = LeafClient(f"127.0.0.1:{port}", 1)
            with pytest.raises(LeafReplyError):
                await client.search(
                    "b1", "v1", 1, QUERIES, remaining=lambda: 2.0
                )
            await client.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
