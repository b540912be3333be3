"""Client of the store, against a scripted one on loopback."""

from __future__ import annotations

import base64
import json

import pytest
import trio
from adapter.store import StoreClient
from gateway_world import Leaf
from sapphire_core.members import Member
from sapphire_gateway.fleet_view import EvacuationFact
from sapphire_gateway.store import (
    HistoryGoneError,
    LeaseGoneError,
    StoreUnavailableError,
)

ME = Member("vm1", "10.0.0.1:80", "z1")


def answer(fields, status="200 OK"):
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def item(key, revision, value=b"{}"):
    encoded = base64.b64encode(value).decode()
    return {"Key": key, "Revision": revision, "Value": encoded}


def ask(script, call):
    """Calls a store that answers by the script; returns both."""
    results = []

    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                store = Leaf(script)
                listeners = await nursery.start(trio.serve_tcp, store.serve, 0)
                port = listeners[0].socket.getsockname()[1]
                client = StoreClient(f"127.0.0.1:{port}")
                client.start(nursery)
                results.append(await call(client))
                results.append(store.requests)
                nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    except BaseExceptionGroup as group:
        error = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None
    return results


def test_pages_are_joined_at_the_revision_of_the_first():
    def script(request):
        if b"after=" in request:
            page = {"items": [item("op/evacuate/b", 9)], "CurrentRev": 9}
            return answer({**page, "HasMore": False})
        page = {"items": [item("op/evacuate/a", 3)], "CurrentRev": 5}
        return answer({**page, "HasMore": True})

    batch, requests = ask(script, lambda c: c.read_all())
    assert batch.revision == 5
    assert [c.fact for c in batch.changes] == [
        EvacuationFact("a", True),
        EvacuationFact("b", True),
    ]
    assert b"after=op%2Fevacuate%2Fa" in requests[1]


def test_a_watch_returns_writes_and_removals_in_order():
    events = [
        item("op/evacuate/a", 6),
        {"Key": "op/evacuate/a", "Revision": 7, "Removed": True},
        {"Key": "other", "Revision": 8, "Removed": True},
    ]

    def script(request):
        assert b"after=5&WaitMs=1000" in request
        return answer({"events": events, "CurrentRev": 8})

    batch, _ = ask(script, lambda c: c.watch_all(5, 1.0))
    assert [c.fact.is_out for c in batch.changes] == [True, False]
    assert batch.revision == 8


def test_lost_history_is_told_apart_from_an_outage():
    with pytest.raises(HistoryGoneError):
        ask(lambda r: answer({}, "410 Gone"), lambda c: c.watch_all(5, 1.0))


@pytest.mark.parametrize(
    "reply",
    [
        answer({}, "503 Busy"),
        answer({}, "429 Many"),
        answer({"x": 1}),
        (b"",),
        None,
    ],
)
def test_each_kind_of_refusal_is_an_outage(reply):
    with pytest.raises(StoreUnavailableError):
        ask(lambda r: reply, lambda c: c.open_lease(4.0))


def test_a_lease_that_has_ended():
    for call in (
        lambda c: c.keep_lease(7),
        lambda c: c.put_member(ME, 7),
    ):
        with pytest.raises(LeaseGoneError):
            ask(lambda r: answer({}, "404 Not Found"), call)


def test_a_members_entry_ends_with_its_lease():
    _, requests = ask(
        lambda r: answer({"Revision": 3}), lambda c: c.put_member(ME, 7)
    )
    body = json.loads(requests[0].partition(b"\r\n\r\n")[2])
    assert body["Puts"][0]["Key"] == "members/vm1"
    assert body["Puts"][0]["Lease"] == 7


def test_a_connection_without_answer_is_not_used_again():
    answers = iter([None, answer({"Lease": 4, "TtlMs": 1})])

    async def call(client):
        with pytest.raises(StoreUnavailableError):
            await client.open_lease(4.0)
        return await client.open_lease(4.0)

    lease, _ = ask(lambda r: next(answers), call)
    assert lease == 4
