"""Tests of leaf calls that a helper makes for another VM."""

from __future__ import annotations

import pytest
import trio
from gateway_harness import (
    HEADER_NAMES,
    reply,
    request_bytes,
    search_route,
)
from sapphire_core.members import Member
from sapphire_core.retrybudget import RetryBudgetPolicy
from sapphire_core.storerevision import StoreRevision
from sapphire_gateway.callers import CallerServer
from sapphire_gateway.delegated_calls import MAX_DATA_AGE_S, HelperServer
from sapphire_gateway.delegated_parts import MAX_HEDGE_DEFERRAL_SHARE
from sapphire_gateway.delegation_messages import CALLS_PATH
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.helperpool import RESPONSE_GRACE_S, HelperPool
from sapphire_gateway.pool import LeafPool

REMOTE_DOMAIN = "z2"
# Revision of the helper's copy of the store.
HELPER_REVISION = StoreRevision(2, 7)
# Letters of each shard's records.
SHARDS = {"s": "ae", "t": "bf", "u": "cg", "v": "dh"}


def records(letters):
    """Returns one record for each letter."""
    return b"".join(letter.encode() * 16 for letter in letters)


def shard_reply(shard):
    """Returns a function that makes a leaf's reply for a shard."""
    return lambda request: reply(
        request, records(SHARDS[shard]), signature=shard
    )


def delayed(shard, delay_s):
    """Returns a function that makes a leaf's reply after a delay."""

    async def make_reply(request):
        await trio.sleep(delay_s)
        return shard_reply(shard)(request)

    return make_reply


class DelegationHarness:
    """A gateway in one domain and a helper in the domain of the leaves."""

    def __init__(self, harness) -> None:
        self.harness = harness
        self.helper_view = FleetView("vm2")
        self.request_count = 0
        self.is_silent = False
        # Time that requests for calls take to reach the helper.
        self.delay_s = 0.0
        self.leaves = {}

    async def start(self, target_s=1.2, helper_data_age_s=0.1, own_age_s=0.1):
        """Starts the leaves and the helper, and configures the route."""
        self.harness.view.freshness.record_current(
            HELPER_REVISION, trio.current_time() - own_age_s
        )
        self.helper_view.freshness.record_current(
            HELPER_REVISION, trio.current_time() - helper_data_age_s
        )
        for shard in SHARDS:
            self.leaves[shard] = await self.harness.leaf(
                shard, shard_reply(shard), domain=REMOTE_DOMAIN
            )
        self.harness.configure(search_route(*SHARDS, target_s=target_s, top=3))
        address = await self._serve_helper()
        members = self.harness.view.members
        members.put(Member("vm1", "10.0.0.1:80", "z1", peer_address="none"))
        members.put(
            Member("vm2", "10.0.0.2:80", REMOTE_DOMAIN, peer_address=address)
        )
        fleet = self.harness.fleet
        fleet.helpers = HelperPool(fleet, self.harness.nursery)

    async def _serve_helper(self):
        nursery = self.harness.nursery
        view = self.helper_view
        for leaf in self.harness.view.registry.leaves:
            view.registry.put(leaf.entry, trio.current_time())
        pool = LeafPool(nursery, HEADER_NAMES)
        nursery.start_soon(pool.run_sweeps)
        self.helper_pool = pool
        budget_policy = RetryBudgetPolicy(0.2, 50.0, 10.0)
        fleet = Fleet(view, pool, HEADER_NAMES, REMOTE_DOMAIN, budget_policy)
        helper = HelperServer(fleet)

        async def handle(request, caller):
            self.request_count += 1
            if self.is_silent:
                await trio.sleep_forever()
            if request.target == CALLS_PATH.encode():
                await trio.sleep(self.delay_s)
            return await helper.handle(request)

        server = CallerServer(
            handle,
            lambda: self.harness.view.configuration.limits,
            lambda: False,
            lambda _request, _now: None,
        )
        with trio.socket.socket() as sock:
            await sock.bind(("127.0.0.1", 0))
            port = sock.getsockname()[1]
        await nursery.start(server.serve, f"127.0.0.1:{port}")
        return f"127.0.0.1:{port}"

    def leaf_request_counts(self):
        """Returns the number of requests that each leaf received."""
        return [len(leaf.requests) for leaf in self.leaves.values()]


def check_complete(answer):
    """Checks that an answer contains all parts."""
    assert answer.status == 200
    assert answer.headers["x-missing"] == "0"
    assert answer.body == records("hgf")
    assert sorted(answer.headers["x-signatures"].split(", ")) == list(SHARDS)


def test_remote_parts_are_merged_by_a_helper(run_with_harness):
    """One request crosses failure domains instead of one for each part."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start()
        check_complete(await harness.request())
        assert delegation.request_count == 1
        assert delegation.leaf_request_counts() == [1, 1, 1, 1]

    run_with_harness(test)


@pytest.mark.parametrize("fault", ["stale", "silent", "gone"])
def test_a_helper_that_fails_costs_no_part(run_with_harness, fault):
    """Parts are called directly if their helper fails."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        is_stale = fault == "stale"
        age_s = MAX_DATA_AGE_S + 1 if is_stale else 0.1
        await delegation.start(helper_data_age_s=age_s)
        if fault == "silent":
            delegation.is_silent = True
        if fault == "gone":
            gone = Member(
                "vm2", "10.0.0.2:80", REMOTE_DOMAIN, peer_address="127.0.0.1:1"
            )
            harness.view.members.put(gone)
        check_complete(await harness.request())
        await trio.sleep(2 * RESPONSE_GRACE_S)
        count_after_failure = delegation.request_count
        check_complete(await harness.request(request_id="r2"))
        # The failed helper is not used again for HELPER_RETRY_DELAY_S.
        assert delegation.request_count == count_after_failure

    run_with_harness(test)


def test_helper_accepts_calls_while_all_copies_are_old(run_with_harness):
    """Guards against direct calls of all parts in an outage of the store."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        age_s = MAX_DATA_AGE_S + 1
        await delegation.start(helper_data_age_s=age_s + 1, own_age_s=age_s)
        check_complete(await harness.request())
        check_complete(await harness.request(request_id="r2"))
        assert delegation.request_count == 2
        assert delegation.leaf_request_counts() == [2, 2, 2, 2]

    run_with_harness(test)


def test_slow_part_is_fetched_by_a_second_request(run_with_harness):
    """A part that completes after the helper's first response is not lost."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start()

        async def slow(request):
            await trio.sleep(0.8)
            return shard_reply("u")(request)

        delegation.leaves["u"].make_reply = slow
        check_complete(await harness.request())
        assert delegation.request_count == 2

    run_with_harness(test)


def test_hedges_replace_a_silent_helper(run_with_harness):
    """A search does not wait for a helper until its latency target."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start(target_s=0.5)
        for shard in SHARDS:
            await harness.leaf(shard, shard_reply(shard), domain="z3")
        delegation.is_silent = True
        check_complete(await harness.request())

    run_with_harness(test)


def test_delegated_parts_that_take_their_usual_time_are_not_hedged(
    run_with_harness,
):
    """Guards against hedges at the time at which direct calls are hedged.

    The load: a search over many shards, most of them in other domains. Their
    replies come later than those of leaves in the VM's own domain.
    """

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start()
        others = [
            await harness.leaf(shard, shard_reply(shard), domain="z3")
            for shard in SHARDS
        ]
        (route,) = harness.view.configuration.routes
        hedge_delay = harness.gateway._reply_times_of(route).hedge_delay
        for _ in range(100):
            hedge_delay.record_completion(0.01)
        for shard, leaf in delegation.leaves.items():
            leaf.make_reply = delayed(shard, 2 * hedge_delay.delay_s)
        check_complete(await harness.request())
        assert [len(leaf.requests) for leaf in others] == [0, 0, 0, 0]

    run_with_harness(test)


def test_paused_part_is_hedged_when_the_helper_says_that_it_runs(
    run_with_harness,
):
    """Guards against a hedge that waits although the helper knows better."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start()
        other = await harness.leaf("u", shard_reply("u"), domain="z3")
        for number in range(20):
            check_complete(await harness.request(request_id=f"a{number}"))
        delegation.leaves["u"].make_reply = lambda request: None
        count = len(other.requests)
        began = trio.current_time()
        check_complete(await harness.request())
        assert len(other.requests) == count + 1
        assert trio.current_time() - began < MAX_HEDGE_DEFERRAL_SHARE * 1.2

    run_with_harness(test)


def test_failure_at_the_helper_is_retried_by_the_coordinator(run_with_harness):
    """Retries of delegated parts use the coordinator's retry budget."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start()
        other = await harness.leaf("t", shard_reply("t"), domain="z3")
        delegation.leaves["t"].make_reply = lambda r: reply(r, b"", "500 Error")
        check_complete(await harness.request())
        assert len(other.requests) == 1

    run_with_harness(test)


def test_completed_part_does_not_wait_for_a_slower_one(run_with_harness):
    """A completed part reaches the coordinator before it answers the caller."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start()

        async def slow(request):
            await trio.sleep(0.7)
            return shard_reply("u")(request)

        delegation.leaves["u"].make_reply = slow
        delegation.leaves["v"].make_reply = lambda request: None
        began = trio.current_time()
        answer = await harness.request()
        assert trio.current_time() - began > 1.0
        assert answer.headers["x-missing"] == "1"
        assert sorted(answer.headers["x-signatures"].split(", ")) == [
            "s",
            "t",
            "u",
        ]
        assert delegation.request_count >= 3

    run_with_harness(test)


def test_parts_with_a_local_leaf_are_called_directly(run_with_harness):
    """A part with a local leaf is not delegated, even if that leaf is slow."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start()
        for shard in SHARDS:
            local = await harness.leaf(shard, shard_reply(shard), domain="z1")
            entry = next(
                leaf.entry
                for leaf in harness.view.registry.leaves
                if leaf.entry.address == local.address
            )
            harness.pool.get_or_create(entry).load.slowness = 20.0
            harness.pool.get_or_create(
                entry
            ).load.slowness_at = trio.current_time()
        check_complete(await harness.request())
        assert delegation.request_count == 0

    run_with_harness(test)


def test_revisions_are_exchanged_with_a_delegation(run_with_harness):
    """A VM whose watch is silent hears of changes from the VMs it works with.

    Guards against an old configuration or a leaf that has left on one VM while
    the others know better.
    """

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start()
        freshness = harness.view.freshness
        freshness.record_current(StoreRevision(1, 99), trio.current_time())
        check_complete(await harness.request())
        assert freshness.newest_revision == HELPER_REVISION
        newer = StoreRevision(3, 1)
        freshness.record_current(newer, trio.current_time())
        check_complete(await harness.request(request_id="r2"))
        known = delegation.helper_view.freshness.newest_revision
        assert known == newer

    run_with_harness(test)


def test_part_that_waits_at_a_helper_does_not_reach_a_leaf_that_leaves(
    run_with_harness,
):
    """Guards against helpers that send what they decided on earlier."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start()
        delegation.helper_pool.max_connections = lambda _: 1
        leaf = delegation.leaves["s"]
        leaf.make_reply = delayed("s", 0.5)
        answers = []

        async def search(request_id):
            answers.append(await harness.request(request_id=request_id))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(search, "r1")
            await trio.sleep(0.1)
            nursery.start_soon(search, "r2")
            await trio.sleep(0.1)
            other = await harness.leaf(
                "s", shard_reply("s"), domain=REMOTE_DOMAIN
            )
            now = trio.current_time()
            for known in list(harness.view.registry.leaves):
                delegation.helper_view.registry.put(known.entry, now)
                if known.entry.address == leaf.address:
                    for view in (delegation.helper_view, harness.view):
                        view.registry.record_leaving(
                            known.entry.incarnation, now
                        )
        for answer in answers:
            check_complete(answer)
        assert len(leaf.requests) == 1
        # A hedge of the first search may have reached it, too.
        assert other.requests

    run_with_harness(test)


def test_calls_of_a_helper_end_when_the_caller_has_left(run_with_harness):
    """Guards against leaves that work for a caller who is gone (review/10)."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start(target_s=2.0)
        for leaf in delegation.leaves.values():
            leaf.make_reply = lambda request: None
        stream = await harness.connect()
        await stream.send_all(request_bytes())
        await trio.sleep(0.1)
        assert delegation.leaf_request_counts() == [1] * 4
        assert delegation.request_count == 1
        await stream.aclose()
        await trio.sleep(0.45)
        assert [leaf.closed for leaf in delegation.leaves.values()] == [1] * 4
        # The helper was not given up.
        for shard, leaf in delegation.leaves.items():
            leaf.make_reply = shard_reply(shard)
        before = delegation.request_count
        check_complete(await harness.request(request_id="r2"))
        assert delegation.request_count == before + 1

    run_with_harness(test)


def test_calls_are_not_made_if_the_caller_leaves_before_they_arrive(
    run_with_harness,
):
    """Guards against a request for calls that is overtaken by its end."""

    async def test(harness):
        delegation = DelegationHarness(harness)
        await delegation.start(target_s=2.0)
        delegation.delay_s = 0.3
        stream = await harness.connect()
        await stream.send_all(request_bytes())
        await trio.sleep(0.1)
        await stream.aclose()
        await trio.sleep(0.6)
        assert delegation.leaf_request_counts() == [0] * 4

    run_with_harness(test)
