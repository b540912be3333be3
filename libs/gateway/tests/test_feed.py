"""Tests of the replication feed between VMs."""

from __future__ import annotations

import math

import msgspec
import pytest
import trio
import trio.testing
from gateway_harness import serve_peer
from sapphire_core.members import Member
from sapphire_core.storerevision import StoreRevision
from sapphire_gateway.feed import (
    LONG_POLL_S,
    MAX_DATA_AGE_S,
    MAX_RETAINED_BYTES,
    MAX_RETAINED_CHANGES,
    FeedClient,
    FeedResponse,
    FeedServer,
    Mirror,
)
from sapphire_gateway.fleet_view import MemberRemoval, MemberUpdate
from sapphire_gateway.messages import Request, Response
from sapphire_gateway.store import Batch, Change, StoreUnavailableError


def decode(key, value):
    """Decodes every key as a member's entry."""
    if value is None:
        return MemberRemoval(key)
    return MemberUpdate(Member(key, value.decode(), "z1"))


def at(number, era=1):
    """Returns a revision of the store."""
    return StoreRevision(era, number)


def change(key, revision, value=b"v"):
    return Change(key, revision, decode(key, value), value)


def full_state(*changes: Change, revision=10):
    return Batch(tuple(changes), at(revision), is_full_state=True)


def test_only_later_changes_are_returned():
    mirror = Mirror()
    mirror.apply(full_state(change("a", 3), change("b", 7)))
    mirror.apply(Batch((change("c", 11), change("a", 12, None)), at(12)))
    is_full_state, items = mirror.since(at(11))
    assert not is_full_state
    assert [(i.key, i.revision, i.value) for i in items] == [("a", 12, None)]


def test_first_request_gets_all_existing_keys():
    mirror = Mirror()
    mirror.apply(full_state(change("a", 3), change("b", 7)))
    mirror.apply(Batch((change("a", 12, None),), at(12)))
    is_full_state, items = mirror.since(None)
    assert is_full_state
    assert [item.key for item in items] == ["b"]


def test_vm_behind_the_history_gets_all_keys():
    """A VM misses no change that was evicted before it asked."""
    mirror = Mirror()
    mirror.apply(full_state(change("a", 3)))
    for revision in range(11, 11 + MAX_RETAINED_CHANGES + 5):
        mirror.apply(Batch((change("b", revision),), at(revision)))
    assert mirror.since(at(10))[0]
    assert mirror.since(at(12))[0]
    assert not mirror.since(at(11 + MAX_RETAINED_CHANGES))[0]


def test_history_is_limited_in_bytes():
    """Memory does not grow with each large configuration."""
    mirror = Mirror()
    mirror.apply(full_state())
    large = b"v" * (MAX_RETAINED_BYTES // 4)
    for revision in range(11, 21):
        mirror.apply(Batch((change("a", revision, large),), at(revision)))
    assert mirror.since(at(12))[0]
    is_full_state, items = mirror.since(at(17))
    assert not is_full_state
    assert [item.revision for item in items] == [18, 19, 20]


def run_with_mirror(test, age_s=lambda: 0.1):
    """Runs a test with a mirror and a client of its feed on loopback."""

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                mirror = Mirror()
                feed = FeedServer(mirror, age_s, lambda _: None)

                async def handle(request, caller):
                    return await feed.handle(request)

                address = await serve_peer(nursery, handle)
                await test(mirror, FeedClient(address, nursery, decode))
                nursery.cancel_scope.cancel()

    trio.run(main)


def test_changes_reach_another_vm_at_once():
    async def test(mirror, client):
        mirror.apply(full_state(change("a", 3)))
        first = await client.changes(None)
        assert first.is_full_state
        assert first.changes == (change("a", 3),)
        async with trio.open_nursery() as nursery:
            began = trio.current_time()
            nursery.start_soon(_later, mirror)
            batch = await client.changes(first.revision)
            assert batch.changes == (change("c", 11),)
            assert trio.current_time() - began >= 0.05

    async def _later(mirror):
        await trio.sleep(0.05)
        mirror.apply(Batch((change("c", 11),), at(11)))

    run_with_mirror(test)


def test_poll_without_changes_returns_an_empty_batch():
    async def test(mirror, client):
        mirror.apply(full_state(change("a", 3)))
        batch = await client.changes(at(10))
        assert batch.changes == ()
        assert batch.revision == at(10)
        assert batch.age_s == pytest.approx(0.1)

    run_with_mirror(test)


def test_feed_that_lags_behind_is_refused():
    """After a switch to another feed, no older state is applied or followed."""

    async def test(mirror, client):
        mirror.apply(full_state(change("a", 3)))
        with pytest.raises(StoreUnavailableError):
            await client.changes(at(15))

    run_with_mirror(test)


@pytest.mark.parametrize("age_s", [MAX_DATA_AGE_S, math.inf])
def test_vm_without_store_contact_refuses_to_feed(age_s):
    """A fed VM's view does not become stale unnoticed."""

    async def test(mirror, client):
        mirror.apply(full_state(change("a", 3)))
        with pytest.raises(StoreUnavailableError):
            await client.changes(at(3))

    run_with_mirror(test, lambda: age_s)


def test_many_keys_are_compressed():
    """Full state is compressed to less than a fifth.

    Otherwise the traffic of idle VMs grows with each leaf's entry.
    """
    value = b'{"Service":"s1","Address":"10.0.0.1:8000","State":"ready"}'

    async def test(mirror, client):
        changes = [
            change(f"leaves/i-{number}", number, value)
            for number in range(1, 501)
        ]
        mirror.apply(full_state(*changes, revision=500))
        feed = FeedServer(mirror, lambda: 0.0, lambda _: None)
        request = Request(b"GET", b"/changes", [], b"", True)
        answer = await feed.handle(request)
        assert len(answer.body) < 500 * len(value) / 5
        batch = await client.changes(None)
        assert [c.key for c in batch.changes] == [c.key for c in changes]
        assert {c.value for c in batch.changes} == {value}

    run_with_mirror(test)


def test_corrupt_response_is_rejected():
    """Corrupt bytes from another VM do not end the process."""
    answer = FeedResponse(3, 0.0, True, True, b"no zlib stream")

    async def main():
        async def damaged(_request, _caller):
            return Response(200, [], msgspec.msgpack.encode(answer))

        async with trio.open_nursery() as nursery:
            address = await serve_peer(nursery, damaged)
            with pytest.raises(
                StoreUnavailableError, match="cannot be decoded"
            ):
                await FeedClient(address, nursery, decode).changes(None)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_server_refuses_a_vm_that_has_newer_data():
    """The VM that asks then reads the store or another feed."""
    mirror = Mirror()
    mirror.apply(full_state(change("a", 3)))
    learned = []

    async def main():
        server = FeedServer(mirror, lambda: 0.0, learned.append)
        request = Request(b"GET", b"/changes?after=11&era=1", [], b"", True)
        return await server.handle(request)

    assert trio.run(main).status == 503
    assert learned == [at(11)]


def test_vm_of_an_earlier_version_waits_for_changes():
    """Guards against full states without a pause during a rolling upgrade."""
    mirror = Mirror()
    mirror.apply(Batch((change("a", 3),), at(10, era=3), is_full_state=True))

    async def main():
        server = FeedServer(mirror, lambda: 0.0, lambda revision: None)
        request = Request(b"GET", b"/changes?after=10", [], b"", True)
        began = trio.current_time()
        response = await server.handle(request)
        return trio.current_time() - began, response

    clock = trio.testing.MockClock(autojump_threshold=0)
    waited_s, response = trio.run(main, clock=clock)
    assert waited_s == pytest.approx(LONG_POLL_S)
    decoded = msgspec.msgpack.decode(response.body, type=FeedResponse)
    assert not decoded.is_full_state


def test_client_refuses_older_data():
    """Guards against a feed that goes back, whatever it says of its age."""
    answer = FeedResponse(9, 0.0, True, False, msgspec.msgpack.encode([]))

    async def main():
        async def outdated(_request, _caller):
            return Response(200, [], msgspec.msgpack.encode(answer))

        async with trio.open_nursery() as nursery:
            address = await serve_peer(nursery, outdated)
            with pytest.raises(StoreUnavailableError, match="older than 10"):
                await FeedClient(address, nursery, decode).changes(at(10))
            nursery.cancel_scope.cancel()

    trio.run(main)
