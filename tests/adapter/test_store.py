"""Tests of the store client against a scripted server on loopback.

The gateway (`sapphire_gateway`) is a daemon that knows nothing of a particular
platform and defines the interface of a store client. The adapter implements it
for the users' platform.

The server is the scripted leaf of the gateway's tests: a function computes the
reply to each request. None means no reply, and a tuple has the bytes to send
before the connection is closed.
"""

from __future__ import annotations

import base64
import json

import pytest
import trio
import trio.testing
from adapter.store import StoreClient
from gateway_harness import Leaf as ScriptedServer
from sapphire_core.members import Member
from sapphire_core.storerevision import StoreRevision
from sapphire_gateway.fleet_view import EvacuationUpdate
from sapphire_gateway.store import (
    HistoryGoneError,
    Lease,
    LeaseGoneError,
    StoreUnavailableError,
)

MEMBER = Member("vm1", "10.0.0.1:80", "z1")
# The era of a store that states none.
ERA = 0
LEASE = Lease(7, ERA)


def at(number, era=ERA):
    """Returns a revision of the store."""
    return StoreRevision(era, number)


def response(fields, status="200 OK"):
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def item(key, revision, value=b"{}"):
    encoded = base64.b64encode(value).decode()
    return {"Key": key, "Revision": revision, "Value": encoded}


def run_call(script, call):
    """Runs a call against a scripted store.

    Returns the result of the call and the requests that the store received.
    """
    results = []

    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                store = ScriptedServer(script)
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
        # Raises the first exception in trio's groups, so that pytest.raises()
        # can match it.
        error = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        raise error from None
    return results


def test_pages_are_joined_with_revision_of_first_page():
    """Guards against lost changes that were made between two pages.

    A watch from the revision of the first page returns them.
    """

    def script(request):
        if b"after=" in request:
            page = {"items": [item("op/evacuate/b", 9)], "CurrentRev": 9}
            return response({**page, "HasMore": False})
        page = {"items": [item("op/evacuate/a", 3)], "CurrentRev": 5}
        return response({**page, "HasMore": True})

    batch, requests = run_call(script, lambda c: c.read_all())
    assert batch.revision == at(5)
    # The key op/evacuate/a takes failure domain "a" out of service.
    assert [c.update for c in batch.changes] == [
        EvacuationUpdate("a", is_out=True),
        EvacuationUpdate("b", is_out=True),
    ]
    assert b"after=op%2Fevacuate%2Fa" in requests[1]


def test_watch_returns_writes_and_removals_in_order():
    """The event of an unrelated key is left out."""
    events = [
        item("op/evacuate/a", 6),
        {"Key": "op/evacuate/a", "Revision": 7, "Removed": True},
        {"Key": "other", "Revision": 8, "Removed": True},
    ]

    def script(request):
        assert b"after=5&WaitMs=1000" in request
        return response({"events": events, "CurrentRev": 8})

    batch, _ = run_call(script, lambda c: c.watch_all(at(5), 1.0))
    assert [c.update.is_out for c in batch.changes] == [True, False]
    assert batch.revision == at(8)


def test_discarded_history_is_distinguished_from_outage():
    """Status 410: the store has discarded the changes after revision 5."""
    with pytest.raises(HistoryGoneError):
        run_call(
            lambda r: response({}, "410 Gone"),
            lambda c: c.watch_all(at(5), 1.0),
        )


def test_empty_answer_with_a_newer_revision_does_not_move_the_cursor():
    """Guards against changes that are lost for good.

    The store may hide changes from watches while its revision rises.
    """
    with pytest.raises(HistoryGoneError, match="skipped"):
        run_call(
            lambda r: response({"events": [], "CurrentRev": 7}),
            lambda c: c.watch_all(at(5), 1.0),
        )


def test_watch_goes_on_from_the_last_event():
    """The store's revision may be ahead of the events that it returns."""

    def script(request):
        events = [item("op/evacuate/a", 6)]
        return response({"events": events, "CurrentRev": 9})

    batch, _ = run_call(script, lambda c: c.watch_all(at(5), 1.0))
    assert batch.revision == at(6)
    assert batch.is_truncated


@pytest.mark.parametrize(
    "reply",
    [
        response({}, "503 Busy"),
        response({}, "429 Many"),
        # Lacks the field Lease.
        response({"x": 1}),
        # The connection is closed without a reply.
        (b"",),
        # The call times out.
        None,
    ],
)
def test_failed_call_is_reported_as_outage(reply):
    with pytest.raises(StoreUnavailableError):
        run_call(lambda r: reply, lambda c: c.open_lease(4.0))


def test_unknown_lease_is_reported_as_gone():
    for call in (
        lambda c: c.renew_lease(LEASE),
        lambda c: c.put_member(MEMBER, LEASE),
    ):
        with pytest.raises(LeaseGoneError):
            run_call(lambda r: response({}, "404 Not Found"), call)


def test_member_record_is_written_with_lease():
    _, requests = run_call(
        lambda r: response({"Revision": 3}),
        lambda c: c.put_member(MEMBER, LEASE),
    )
    body = json.loads(requests[0].partition(b"\r\n\r\n")[2])
    assert body["Puts"][0]["Key"] == "members/vm1"
    assert body["Puts"][0]["Lease"] == 7


def test_call_succeeds_after_a_timed_out_call():
    """Which connection the second call uses is not checked."""
    # No reply to the first call.
    responses = iter([None, response({"Lease": 4, "TtlMs": 1})])

    async def call(client):
        with pytest.raises(StoreUnavailableError):
            await client.open_lease(4.0)
        return await client.open_lease(4.0)

    lease, _ = run_call(lambda r: next(responses), call)
    assert lease == Lease(4, ERA)


def era_response(era, fields, status="200 OK"):
    """Returns a response that states an era, or none."""
    head, _, body = response(fields, status).partition(b"\r\n\r\n")
    if era is not None:
        head += f"\r\nStore-Era: {era}".encode()
    return head + b"\r\n\r\n" + body


LEASE_FIELDS = {"Lease": 4, "TtlMs": 4000}


@pytest.mark.parametrize(
    "odd", [None, "", "x", "-3", "1", "0", "9" * 30, "99999999", "2.0", "\xb2"]
)
def test_unusable_era_changes_nothing(odd):
    """Guards against a VM that gives up the store, or the era that it knows."""
    eras = iter(["7", odd, "7", odd, odd])

    async def call(client):
        return [await client.open_lease(4.0) for _ in range(5)]

    leases, _ = run_call(lambda r: era_response(next(eras), LEASE_FIELDS), call)
    assert leases == [Lease(4, 7)] * 5


def test_lease_of_an_earlier_era_is_gone_whatever_the_store_answers():
    """Guards against renewals of a number that another VM has been given."""
    eras = iter(["1", "2"])

    async def call(client):
        lease = await client.open_lease(4.0)
        with pytest.raises(LeaseGoneError, match="came back"):
            await client.renew_lease(lease)
        # Known by now, so the store isn't asked.
        with pytest.raises(LeaseGoneError, match="came back"):
            await client.put_member(MEMBER, lease)

    _, requests = run_call(
        lambda r: era_response(next(eras), LEASE_FIELDS), call
    )
    assert len(requests) == 2


def test_entry_under_a_lease_of_an_earlier_era_counts_as_lost():
    """Guards against an entry that ends with another VM's lease."""
    eras = iter(["1", "2"])

    async def call(client):
        lease = await client.open_lease(4.0)
        with pytest.raises(LeaseGoneError, match="came back"):
            await client.put_member(MEMBER, lease)

    run_call(
        lambda r: era_response(
            next(eras), {"Lease": 4, "TtlMs": 4000, "Revision": 9}
        ),
        call,
    )


@pytest.mark.parametrize("status", ["200 OK", "410 Gone", "503 Busy"])
def test_watch_answered_in_another_era_has_no_history(status):
    """Guards against changes of a new era that are taken for the next ones."""
    events = [item("op/evacuate/a", 6)]

    async def call(client):
        await client.open_lease(4.0)
        await client.watch_all(at(5, era=1), 1.0)

    eras = iter(["1", "2"])
    with pytest.raises(HistoryGoneError, match="not in its history"):
        run_call(
            lambda r: era_response(
                next(eras),
                {**LEASE_FIELDS, "events": events, "CurrentRev": 6},
                status if b"kv-watch" in r else "200 OK",
            ),
            call,
        )


def test_pages_of_different_eras_are_not_joined():
    """Guards against a full state of which a part no longer exists."""
    eras = iter(["1", "2"])

    def script(request):
        page = {"items": [item("op/evacuate/a", 3)], "CurrentRev": 5}
        return era_response(next(eras), {**page, "HasMore": True})

    with pytest.raises(StoreUnavailableError, match="between two pages"):
        run_call(script, lambda c: c.read_all())


def test_return_ends_calls_that_wait_on_other_connections():
    """Guards against a watch that waits at a store that no longer exists.

    Whether its connection has failed does not matter.
    """
    eras = iter(["1", "2"])

    def script(request):
        if b"kv-watch" in request:
            return None
        return era_response(next(eras), LEASE_FIELDS)

    async def call(client):
        await client.open_lease(4.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, client)
            await trio.testing.wait_all_tasks_blocked(0.05)
            await client.open_lease(4.0)

    async def watch(client):
        with trio.fail_after(5), pytest.raises(StoreUnavailableError):
            await client.watch_all(at(5, era=1), 25.0)

    run_call(script, call)
