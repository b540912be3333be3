"""Tests of the exchange of revisions between VMs."""

from __future__ import annotations

import pytest
import trio
from gateway_harness import HEADER_NAMES, serve_peer
from sapphire_core.members import Member
from sapphire_core.retrybudget import RetryBudgetPolicy
from sapphire_core.storerevision import StoreRevision
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.messages import Request, Response
from sapphire_gateway.pool import LeafPool
from sapphire_gateway.revisionexchange import (
    EXCHANGE_INTERVAL_S,
    RevisionExchange,
    RevisionServer,
)


def run_exchange(test, make_handler):
    """Runs a test with a VM and a peer that answers with a handler.

    The handler is made from the peer's view.
    """

    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                views = FleetView("vm1"), FleetView("vm2")
                address = await serve_peer(nursery, make_handler(views[1]))
                own = Member("vm1", "a:1", "z1", peer_address="a:2")
                peer = Member("vm2", "b:1", "z1", peer_address=address)
                for member in (own, peer):
                    views[0].members.put(member)
                fleet = Fleet(
                    views[0],
                    LeafPool(nursery, HEADER_NAMES),
                    HEADER_NAMES,
                    "z1",
                    RetryBudgetPolicy(0.2, 50.0, 10.0),
                )
                exchange = RevisionExchange(fleet, own, nursery)
                nursery.start_soon(exchange.run)
                await test(*views)
                nursery.cancel_scope.cancel()

    trio.run(main)


# Time for one answer on a busy machine, before the next question.
ANSWER_LIMIT_S = 0.9 * EXCHANGE_INTERVAL_S


def at(number, era=1):
    """Returns a revision of the store."""
    return StoreRevision(era, number)


def server_handler(view):
    """Returns the handler of a VM that takes part in the exchange."""
    server = RevisionServer(view.freshness)

    async def handle(request, caller):
        return server.handle(request)

    return handle


@pytest.mark.parametrize(("own", "others"), [(5, 9), (9, 5)])
def test_both_vms_learn_the_newer_revision(own, others):
    """A VM whose watch is silent hears that it is behind, or is asked it."""

    async def test(view, peer_view):
        now = trio.current_time()
        view.freshness.record_current(at(own), now)
        peer_view.freshness.record_current(at(others), now)
        await trio.sleep(EXCHANGE_INTERVAL_S)
        with trio.fail_after(ANSWER_LIMIT_S):
            while {
                view.freshness.newest_revision,
                peer_view.freshness.newest_revision,
            } != {at(9)}:
                await trio.sleep(0.02)

    run_exchange(test, server_handler)


@pytest.mark.parametrize(
    "response",
    [
        Response(503, [], b"99"),
        Response(200, [], b""),
        Response(200, [], b"-1"),
        Response(200, [], b"9" * 5000),
        Response(200, [], "²".encode("latin-1")),
    ],
)
def test_unusable_answer_is_ignored(response):
    """A broken peer ends neither the exchange nor the process."""

    async def test(view, peer_view):
        view.freshness.record_current(at(5), trio.current_time())
        await trio.sleep(EXCHANGE_INTERVAL_S + 0.3)
        assert view.freshness.newest_revision == at(5)

    async def answer(request, caller):
        return response

    run_exchange(test, lambda _: answer)


@pytest.mark.parametrize("target", [b"/revision", b"/revision?known=x"])
def test_unusable_question_is_rejected(target):
    view = FleetView("vm1")
    request = Request(b"GET", target, [], b"", True)
    assert RevisionServer(view.freshness).handle(request).status == 400
