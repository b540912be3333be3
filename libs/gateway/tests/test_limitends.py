"""Tests of telling other VMs that a leaf no longer names a limit."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest
import trio
from gateway_harness import (
    HEADER_NAMES,
    reply,
    serve_peer,
    single_leaf_route,
)
from sapphire_core.members import Member
from sapphire_gateway.fleet_view import MemberUpdate, apply_update
from sapphire_gateway.limitends import (
    MAX_ENDS,
    EndMessage,
    LimitEndServer,
    LimitEndTeller,
)
from sapphire_gateway.messages import Request
from sapphire_gateway.pool import LeafPool

MESSAGE_S = 0.2


def _message(*ends: EndMessage):
    body = msgspec.msgpack.encode(list(ends))
    return Request(b"POST", b"/limit-ends", [], body, True)


def test_end_of_a_limit_is_told_to_other_vms(run_with_harness):
    """Guards against VMs without a share that notice it half a minute late."""

    async def test(harness):
        limit = ["X-Limit: 1.0"]
        await harness.leaf("s", lambda r: reply(r, b"a", extra=limit))
        harness.configure(single_leaf_route())
        (known,) = harness.view.registry.leaves
        other_pool = LeafPool(harness.nursery, HEADER_NAMES)
        other = other_pool.get_or_create(known.entry).terms
        other.record_limit(1.0, trio.current_time())
        server = LimitEndServer(other_pool)

        async def handle(request, caller):
            return server.handle(request)

        address = await serve_peer(harness.nursery, handle)
        member = Member("vm2", "127.0.0.1:1", "z1", peer_address=address)
        now = trio.current_time()
        apply_update(MemberUpdate(member), harness.view, now)
        teller = LimitEndTeller(harness.fleet, harness.nursery)
        harness.fleet.on_limit_end = teller.record
        harness.nursery.start_soon(teller.run)
        assert (await harness.request()).status == 200
        await trio.sleep(MESSAGE_S)
        assert other.has_limit
        limit.clear()
        # Until the first VM's share allows a request.
        with trio.fail_after(5.0):
            while (await harness.request()).status != 200:
                await trio.sleep(0.1)
        await trio.sleep(MESSAGE_S)
        assert not other.has_limit

    run_with_harness(test)


def test_end_told_late_does_not_undo_a_limit_that_was_named_since(
    run_with_harness,
):
    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, b"a"))
        (known,) = harness.view.registry.leaves
        terms = harness.pool.get_or_create(known.entry).terms
        terms.record_limit(1.0, trio.current_time())
        server = LimitEndServer(harness.pool)
        leaf = known.entry.incarnation
        assert server.handle(_message(EndMessage(*leaf, 0.5))).status == 200
        assert terms.has_limit
        # Another start of the leaf.
        earlier = (leaf[0], leaf[1] - 1, leaf[2])
        server.handle(_message(EndMessage(*earlier, 0.0)))
        assert terms.has_limit
        await trio.sleep(0.01)
        server.handle(_message(EndMessage(*leaf, 0.0)))
        assert not terms.has_limit

    run_with_harness(test)


@pytest.mark.parametrize(
    "body", [b"", b"\xc1", b"\x91\x94\x01\x02\x03\x04", b"\x91" * 5_000]
)
def test_unreadable_message_is_rejected(run_with_harness, body):
    async def test(harness):
        server = LimitEndServer(harness.pool)
        request = Request(b"POST", b"/limit-ends", [], body, True)
        assert server.handle(request).status == 400

    run_with_harness(test)


@pytest.mark.parametrize("age_s", [float("inf"), float("nan"), -1e308])
def test_age_that_makes_no_sense_ends_no_limit(run_with_harness, age_s):
    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, b"a"))
        (known,) = harness.view.registry.leaves
        terms = harness.pool.get_or_create(known.entry).terms
        terms.record_limit(1.0, trio.current_time())
        server = LimitEndServer(harness.pool)
        server.handle(_message(EndMessage(*known.entry.incarnation, age_s)))
        assert terms.has_limit

    run_with_harness(test)


def test_ends_to_tell_are_bounded(run_with_harness):
    """Guards against memory that grows while other VMs can't be told."""

    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, b"a"))
        (known,) = harness.view.registry.leaves
        teller = LimitEndTeller(harness.fleet, harness.nursery)
        for number in range(MAX_ENDS + 5):
            teller.record(dataclasses.replace(known.entry, born_ms=number))
        assert len(msgspec.msgpack.decode(teller._take())) == MAX_ENDS

    run_with_harness(test)
