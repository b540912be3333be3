"""Changes passed on between VMs: what is kept, asked and answered."""

from __future__ import annotations

import math

import msgspec
import pytest
import trio
from sapphire_core.members import Member
from sapphire_gateway.callers import CallerServer
from sapphire_gateway.feed import (
    KEPT_BYTES,
    KEPT_CHANGES,
    MAX_AGE_S,
    FeedAnswer,
    FeedClient,
    FeedServer,
    Mirror,
)
from sapphire_gateway.fleet_view import MemberFact, MemberGoneFact
from sapphire_gateway.messages import Answer, Request
from sapphire_gateway.store import Batch, Change, StoreUnavailableError


def decode(key, value):
    """Reads each key as a member's."""
    if value is None:
        return MemberGoneFact(key)
    return MemberFact(Member(key, value.decode(), "z1"))


def change(key, revision, value=b"v"):
    return Change(key, revision, decode(key, value), value)


def whole(*changes: Change, revision=10):
    return Batch(tuple(changes), revision, is_full_state=True)


def test_only_later_changes_are_given():
    mirror = Mirror()
    mirror.take(whole(change("a", 3), change("b", 7)))
    mirror.take(Batch((change("c", 11), change("a", 12, None)), 12))
    is_full_state, items = mirror.after(11)
    assert not is_full_state
    assert [(i.key, i.revision, i.value) for i in items] == [("a", 12, None)]


def test_a_newcomer_gets_all_keys_that_exist():
    mirror = Mirror()
    mirror.take(whole(change("a", 3), change("b", 7)))
    mirror.take(Batch((change("a", 12, None),), 12))
    is_full_state, items = mirror.after(None)
    assert is_full_state
    assert [item.key for item in items] == ["b"]


def test_a_vm_that_is_too_far_behind_gets_all_keys():
    """Guards against changes that were dropped before they were asked for."""
    mirror = Mirror()
    mirror.take(whole(change("a", 3)))
    for revision in range(11, 11 + KEPT_CHANGES + 5):
        mirror.take(Batch((change("b", revision),), revision))
    assert mirror.after(10)[0]
    assert mirror.after(12)[0]
    assert not mirror.after(11 + KEPT_CHANGES)[0]


def test_large_values_are_not_kept_for_ever():
    """Guards against memory that grows with each large configuration."""
    mirror = Mirror()
    mirror.take(whole())
    large = b"v" * (KEPT_BYTES // 4)
    for revision in range(11, 21):
        mirror.take(Batch((change("a", revision, large),), revision))
    assert mirror.after(12)[0]
    is_full_state, items = mirror.after(17)
    assert not is_full_state
    assert [item.revision for item in items] == [18, 19, 20]


async def serve(nursery, handle):
    """Serves VMs on loopback and returns the address."""
    server = CallerServer(handle, _Limits, lambda: False, lambda _r, _n: None)
    with trio.socket.socket() as sock:
        await sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    address = f"127.0.0.1:{port}"
    await nursery.start(server.serve, address)
    return address


def asked(test, age_s=lambda: 0.1):
    """Runs a test with a mirror that is served on loopback."""

    async def main():
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                mirror = Mirror()
                feed = FeedServer(mirror, age_s)

                async def handle(request, caller):
                    return await feed.answer(request)

                address = await serve(nursery, handle)
                await test(mirror, FeedClient(address, nursery, decode))
                nursery.cancel_scope.cancel()

    trio.run(main)


class _Limits:
    header_bytes = 10_000
    body_bytes = 10_000
    idle_timeout_s = 10.0
    header_timeout_s = 10.0


def test_changes_reach_another_vm_at_once():
    async def test(mirror, client):
        mirror.take(whole(change("a", 3)))
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
        mirror.take(Batch((change("c", 11),), 11))

    asked(test)


def test_a_calm_store_is_told_as_such():
    async def test(mirror, client):
        mirror.take(whole(change("a", 3)))
        batch = await client.changes(10)
        assert batch.changes == ()
        assert batch.revision == 10
        assert batch.age_s == pytest.approx(0.1)

    asked(test)


def test_a_vm_that_lags_behind_takes_nothing_back():
    """Guards against an older state after a change of the feeding VM."""

    async def test(mirror, client):
        mirror.take(whole(change("a", 3)))
        batch = await client.changes(15)
        assert batch.changes == ()
        assert batch.revision == 15

    asked(test)


@pytest.mark.parametrize("age_s", [MAX_AGE_S, math.inf])
def test_a_vm_without_the_store_feeds_nobody(age_s):
    """Guards against a belief that ages without notice."""

    async def test(mirror, client):
        mirror.take(whole(change("a", 3)))
        with pytest.raises(StoreUnavailableError):
            await client.changes(3)

    asked(test, lambda: age_s)


def test_many_keys_are_compressed():
    """Guards against traffic of idle VMs that grows with each leaf's entry."""
    value = b'{"Service":"s1","Address":"10.0.0.1:8000","State":"ready"}'

    async def test(mirror, client):
        changes = [
            change(f"leaves/i-{number}", number, value)
            for number in range(1, 501)
        ]
        mirror.take(whole(*changes, revision=500))
        feed = FeedServer(mirror, lambda: 0.0)
        request = Request(b"GET", b"/changes", [], b"", True)
        answer = await feed.answer(request)
        assert len(answer.body) < 500 * len(value) / 5
        batch = await client.changes(None)
        assert [c.key for c in batch.changes] == [c.key for c in changes]
        assert {c.value for c in batch.changes} == {value}

    asked(test)


def test_damaged_changes_are_refused():
    """Guards against a VM that ends because another one sent wrong bytes."""
    answer = FeedAnswer(3, 0.0, True, True, b"no zlib stream")

    async def main():
        async def damaged(_request, _caller):
            return Answer(200, [], msgspec.msgpack.encode(answer))

        async with trio.open_nursery() as nursery:
            address = await serve(nursery, damaged)
            with pytest.raises(StoreUnavailableError, match="unreadable"):
                await FeedClient(address, nursery, decode).changes(None)
            nursery.cancel_scope.cancel()

    trio.run(main)
