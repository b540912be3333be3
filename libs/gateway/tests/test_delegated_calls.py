"""Parts of a search that a VM beside the leaves calls for an entry."""

from __future__ import annotations

import pytest
import trio
from gateway_world import DIALECT, reply, search
from sapphire_core.members import Member
from sapphire_core.retrybudget import BudgetTerms
from sapphire_gateway.callers import CallerServer
from sapphire_gateway.delegated_calls import (
    MAX_AGE_S,
    SILENCE_S,
    HelperPool,
    HelperServer,
)
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.pool import LeafPool

FAR = "z2"
# The letters of each shard's records.
SHARDS = {"s": "ae", "t": "bf", "u": "cg", "v": "dh"}


def records(letters):
    """Returns a record of each letter."""
    return b"".join(letter.encode() * 16 for letter in letters)


def part(shard):
    """Returns a leaf's answers for a shard."""
    return lambda request: reply(
        request, records(SHARDS[shard]), signature=shard
    )


class HelpedWorld:
    """An entry in one domain and a helper in the domain of the leaves."""

    def __init__(self, world) -> None:
        self.world = world
        self.age_s = 0.1
        self.questions = 0
        self.is_silent = False
        self.leaves = {}

    async def start(self, target_s=1.2):
        """Starts leaves, helper and route."""
        for shard in SHARDS:
            self.leaves[shard] = await self.world.leaf(
                shard, part(shard), domain=FAR
            )
        self.world.configure(search(*SHARDS, target_s=target_s, top=3))
        address = await self._serve_helper()
        members = self.world.view.members
        members.put(Member("vm1", "10.0.0.1:80", "z1", peer_address="none"))
        members.put(Member("vm2", "10.0.0.2:80", FAR, peer_address=address))
        fleet = self.world.fleet
        fleet.helpers = HelperPool(fleet, self.world.nursery)

    async def _serve_helper(self):
        nursery = self.world.nursery
        view = FleetView("vm2")
        for leaf in self.world.view.registry.leaves:
            view.registry.put(leaf.entry, trio.current_time())
        pool = LeafPool(nursery, DIALECT)
        terms = BudgetTerms(0.2, 50.0, 10.0)
        fleet = Fleet(view, pool, DIALECT, FAR, terms)
        helper = HelperServer(fleet, lambda: self.age_s)

        async def handle(request, caller):
            self.questions += 1
            if self.is_silent:
                await trio.sleep_forever()
            return await helper.answer(request)

        server = CallerServer(
            handle,
            lambda: self.world.view.configuration.limits,
            lambda: False,
            lambda _request, _now: None,
        )
        with trio.socket.socket() as sock:
            await sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        await nursery.start(server.serve, f"127.0.0.1:{port}")
        return f"127.0.0.1:{port}"

    def requests(self):
        """Returns how many requests each leaf got."""
        return [len(leaf.requests) for leaf in self.leaves.values()]


def check_whole(answer):
    """Checks an answer with all parts."""
    assert answer.status == 200
    assert answer.headers["x-missing"] == "0"
    assert answer.body == records("hgf")
    assert sorted(answer.headers["x-signatures"].split(", ")) == list(SHARDS)


def test_far_parts_are_merged_beside_their_leaves(in_world):
    """Guards against a request and a whole reply between domains a part."""

    async def test(world):
        helped = HelpedWorld(world)
        await helped.start()
        check_whole(await world.ask())
        assert helped.questions == 1
        assert helped.requests() == [1, 1, 1, 1]

    in_world(test)


@pytest.mark.parametrize("fault", ["stale", "silent", "gone"])
def test_a_helper_that_fails_costs_no_part(in_world, fault):
    """Guards against parts that are lost with their helper."""

    async def test(world):
        helped = HelpedWorld(world)
        await helped.start()
        if fault == "stale":
            helped.age_s = MAX_AGE_S + 1
        if fault == "silent":
            helped.is_silent = True
        if fault == "gone":
            gone = Member("vm2", "10.0.0.2:80", FAR, peer_address="127.0.0.1:1")
            world.view.members.put(gone)
        check_whole(await world.ask())
        await trio.sleep(2 * SILENCE_S)
        asked = helped.questions
        check_whole(await world.ask(request_id="r2"))
        # The helper is left alone for a while.
        assert helped.questions == asked

    in_world(test)


def test_a_slow_part_is_fetched_with_the_rest(in_world):
    """Guards against a part that comes after the helper's first answer."""

    async def test(world):
        helped = HelpedWorld(world)
        await helped.start()

        async def slow(request):
            await trio.sleep(0.8)
            return part("u")(request)

        helped.leaves["u"].answer = slow
        check_whole(await world.ask())
        assert helped.questions == 2

    in_world(test)


def test_second_calls_replace_a_silent_helper(in_world):
    """Guards against a search that waits for a helper up to its target."""

    async def test(world):
        helped = HelpedWorld(world)
        await helped.start(target_s=0.5)
        for shard in SHARDS:
            await world.leaf(shard, part(shard), domain="z3")
        helped.is_silent = True
        check_whole(await world.ask())

    in_world(test)


def test_a_failure_at_the_helper_is_retried_by_the_entry(in_world):
    """Guards against a retry that the budget does not know."""

    async def test(world):
        helped = HelpedWorld(world)
        await helped.start()
        other = await world.leaf("t", part("t"), domain="z3")
        helped.leaves["t"].answer = lambda r: reply(r, b"", "500 Error")
        check_whole(await world.ask())
        assert len(other.requests) == 1

    in_world(test)


def test_a_late_part_does_not_wait_for_a_later_one(in_world):
    """Guards against parts that are in and come after the answer has left."""

    async def test(world):
        helped = HelpedWorld(world)
        await helped.start()

        async def slow(request):
            await trio.sleep(0.7)
            return part("u")(request)

        helped.leaves["u"].answer = slow
        helped.leaves["v"].answer = lambda request: None
        began = trio.current_time()
        answer = await world.ask()
        assert trio.current_time() - began > 1.0
        assert answer.headers["x-missing"] == "1"
        assert sorted(answer.headers["x-signatures"].split(", ")) == [
            "s",
            "t",
            "u",
        ]
        assert helped.questions >= 3

    in_world(test)


def test_parts_with_a_near_leaf_are_called_directly(in_world):
    """Guards against a hop for parts whose near leaf is only slow now."""

    async def test(world):
        helped = HelpedWorld(world)
        await helped.start()
        for shard in SHARDS:
            near = await world.leaf(shard, part(shard), domain="z1")
            entry = next(
                leaf.entry
                for leaf in world.view.registry.leaves
                if leaf.entry.address == near.address
            )
            world.pool.link(entry).load.slowness = 20.0
            world.pool.link(entry).load.slowness_at = trio.current_time()
        check_whole(await world.ask())
        assert helped.questions == 0

    in_world(test)
