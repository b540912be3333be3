"""Tests of numbers in messages that no program should send.

They say nothing; the request or the message is handled as without them.
"""

from __future__ import annotations

import pytest
import trio
from gateway_harness import (
    read_response,
    reply,
    request_bytes,
    search_route,
    single_leaf_route,
)
from sapphire_gateway.feed import FeedServer, Mirror
from sapphire_gateway.messages import Request

HUGE = "9" * 400
# More digits than int() takes.
ENDLESS = "9" * 5_000
ODD_NUMBERS = [HUGE, ENDLESS, "-" + HUGE, "-1", "1e400", "nan", "\xb2", ""]


@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_deadline_of_a_caller(run_with_harness, number):
    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, b"a"))
        harness.configure(single_leaf_route())
        async with await harness.connect() as stream:
            request = request_bytes(left="DEADLINE")
            number_bytes = number.encode("latin-1")
            await stream.send_all(request.replace(b"DEADLINE", number_bytes))
            assert (await read_response(stream)).status == 200

    run_with_harness(test)


@pytest.mark.parametrize("number", ODD_NUMBERS)
@pytest.mark.parametrize("header", ["X-Load: {},0", "X-Load: 0,{}"])
def test_load_of_a_leaf(run_with_harness, header, number):
    """Guards against a leaf that is avoided, or preferred, for ever."""

    async def test(harness):
        extra = [header.format(number)]
        odd = await harness.leaf("s", lambda r: reply(r, b"a" * 16))
        odd.make_reply = lambda r: _with_header(r, extra[0])
        await harness.leaf("t", lambda r: reply(r, b"a" * 16))
        harness.configure(search_route("s", "t"))
        for _ in range(3):
            answer = await harness.request()
            assert answer.status == 200
            assert answer.headers["x-missing"] == "0"

    run_with_harness(test)


@pytest.mark.parametrize("number", ODD_NUMBERS)
def test_idle_timeout_of_a_leaf(run_with_harness, number):
    async def test(harness):
        header = f"Keep-Alive: timeout={number}"
        await harness.leaf("s", lambda r: _with_header(r, header))
        harness.configure(single_leaf_route())
        for _ in range(3):
            assert (await harness.request()).status == 200

    run_with_harness(test)


@pytest.mark.parametrize("number", [n for n in ODD_NUMBERS if n])
def test_revision_of_a_vm_that_asks_for_changes(number):
    learned = []

    async def main():
        server = FeedServer(Mirror(), lambda: 0.0, learned.append)
        target = f"/changes?after={number}".encode("latin-1")
        return await server.handle(Request(b"GET", target, [], b"", True))

    assert trio.run(main).status == 404
    assert learned == []


def _with_header(request, header):
    """Returns a reply with a header of any bytes."""
    head, _, body = reply(request, b"a" * 16).partition(b"\r\n\r\n")
    return b"%s\r\n%s\r\n\r\n%s" % (head, header.encode("latin-1"), body)
