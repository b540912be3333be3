"""Tests of the detection and quarantine of requests that crash leaves."""

from __future__ import annotations

import dataclasses

import msgspec
import pytest
import trio
from gateway_harness import (
    Leaf,
    reply,
    request_bytes,
    search_route,
    single_leaf_route,
)
from sapphire_core.crashsuspects import (
    CANARY_JITTER_S,
    HOLD_S,
    QUARANTINE_S,
    SETTLING_S,
    CrashedLeaf,
    CrashRecord,
    CrashVerdict,
)
from sapphire_core.members import Member
from sapphire_core.storerevision import NO_REVISION
from sapphire_gateway import delegation_messages
from sapphire_gateway.crashes import CrashTracker, request_fingerprint
from sapphire_gateway.delegated_calls import HelperServer
from sapphire_gateway.delegation_messages import DelegationRequest
from sapphire_gateway.fleet_view import FleetView, MemberUpdate, apply_update
from sapphire_gateway.messages import Request

POISON = "/a/poison"
# Longest hold of a VM that knows no others, until a canary may run.
MAX_HOLD_S = HOLD_S + CANARY_JITTER_S
# Covers connecting to a leaf to find out whether it lives.
DETECTION_S = 0.1


def test_only_new_crashes_are_published():
    """Guards against calls to the store for what other VMs have told."""
    tracker = CrashTracker("vm1")
    leaf = CrashedLeaf("s", "i-1@1")
    tracker.merge([CrashRecord("b", (leaf,), False, 30.0)], "vm2", 10.0)
    assert tracker.take_unpublished(10.0) is None
    tracker.record_crash("a", leaf, False, 10.0)
    published = tracker.take_unpublished(10.1)
    assert {record.fingerprint for record in published} == {"a", "b"}
    assert tracker.take_unpublished(10.2) is None


def test_quarantine_of_another_vm_applies():
    """A VM refuses requests that other VMs have quarantined."""
    tracker = CrashTracker("vm1")
    tracker.merge([CrashRecord("a", (), True, 30.0)], "vm2", 10.0)
    assert tracker.verdict("a", 11.0) is CrashVerdict.QUARANTINED
    assert tracker.verdict("b", 11.0) is CrashVerdict.CLEAR


def test_vm_learns_from_entries_in_the_store_and_its_own_earlier_one():
    """Guards against a restart that forgets what the VM had published."""
    view = FleetView("vm1")
    for name, fingerprint in (("vm1", "a"), ("vm2", "b")):
        suspects = (CrashRecord(fingerprint, (), True, 30.0),)
        member = Member(name, "127.0.0.1:1", "z1", suspects=suspects)
        apply_update(MemberUpdate(member), view, 10.0)
        verdict = view.crashes.verdict(fingerprint, 10.0)
        assert verdict is CrashVerdict.QUARANTINED


def test_fingerprint_differs_by_method_host_target_and_body():
    """Requests that differ for their leaves have different fingerprints."""
    known = request_fingerprint(b"GET", b"h", b"/a/1", b"")
    assert known == request_fingerprint(b"GET", b"H", b"/a/1", b"")
    others = {
        request_fingerprint(b"PUT", b"h", b"/a/1", b""),
        request_fingerprint(b"GET", b"h", b"/a/2", b""),
        request_fingerprint(b"GET", b"i", b"/a/1", b""),
        request_fingerprint(b"POST", b"h", b"/a/1", b"x"),
        request_fingerprint(b"POST", b"h", b"/a/1", b"y"),
    }
    assert known not in others
    assert len(others) == 5


class CrashingLeaves:
    """Leaves of a harness that end when they get a request for POISON."""

    def __init__(self, harness, is_silent=False, keeps_listening=False) -> None:
        """Creates a group without leaves.

        Args:
            harness: The harness.
            is_silent: Whether a leaf ends without closing its connections.
            keeps_listening: Whether its address accepts connections at once, as
                that of a leaf which a supervisor restarts.
        """
        self._harness = harness
        self._is_silent = is_silent
        self._keeps_listening = keeps_listening
        self._leaves = []
        self.crashes = 0

    async def add(self, service, count=1, **more: object):
        for _ in range(count):
            leaf = Leaf(None)
            leaf.make_reply = self._make_reply(leaf)
            self._leaves.append(leaf)
            await self._harness.leaf(service, leaf, **more)

    def _make_reply(self, leaf):
        async def answer(request):
            if POISON.encode() not in request:
                return reply(request, b"r" * 16)
            self.crashes += 1
            if self._is_silent:
                # The listener ends at once and connections stay open.
                leaf.listening.cancel()
                await trio.sleep(3.0)
            if self._keeps_listening:
                leaf.close_connections()
            else:
                leaf.crash()
            return None

        return answer


@pytest.mark.parametrize("pause_s", [0.05, 0.3, 0.38, 0.6])
def test_request_that_crashes_leaves_is_refused(run_with_harness, pause_s):
    """A request that crashed two leaves does not reach a third one.

    Guards against a series of crashes in quick succession that counts as one.
    """

    async def test(harness):
        leaves = CrashingLeaves(harness)
        await leaves.add("s", 10)
        harness.configure(single_leaf_route(max_attempts=1))
        statuses = []
        for _ in range(10):
            answer = await harness.request(POISON)
            statuses.append(answer.status)
            if answer.status == 503:
                assert float(answer.headers["retry-after"]) > 0
            await trio.sleep(pause_s)
        assert leaves.crashes <= 2
        assert set(statuses[1:]) <= {502, 503}
        assert (await harness.request("/a/other")).status == 200

    run_with_harness(test)


def test_request_of_many_callers_that_crashes_leaves_is_refused(
    run_with_harness,
):
    """Guards against a request that each caller gives a new name."""

    async def test(harness):
        leaves = CrashingLeaves(harness)
        await leaves.add("s", 10)
        harness.configure(single_leaf_route(max_attempts=1))
        for number in range(10):
            await harness.request(POISON, source=f"127.0.0.{10 + number}")
            await trio.sleep(0.3)
        assert leaves.crashes <= 2

    run_with_harness(test)


@pytest.mark.parametrize("max_attempts", [1, 2])
def test_crash_of_a_leaf_whose_address_accepts_is_seen(
    run_with_harness, max_attempts
):
    """Guards against a new connection that is taken for a sign of life.

    A supervisor, a restart at once, or the kernel's backlog accepts it.
    """

    async def test(harness):
        leaves = CrashingLeaves(harness, keeps_listening=True)
        await leaves.add("s", 30)
        harness.configure(single_leaf_route(max_attempts=max_attempts))
        reached = 0
        for _ in range(12):
            crashes_before = leaves.crashes
            await harness.request(POISON)
            reached += leaves.crashes > crashes_before
            await trio.sleep(0.35)
        # Three, and three more that are allowed.
        assert reached <= 6
        assert (await harness.request("/a/other")).status == 200

    run_with_harness(test)


def test_leaf_that_restarts_under_its_id_at_once_has_crashed(run_with_harness):
    """Guards against a restart that is taken for a sign of life."""

    async def test(harness):
        leaves = CrashingLeaves(harness, keeps_listening=True)
        await leaves.add("s")
        (known,) = harness.view.registry.leaves
        harness.configure(single_leaf_route(max_attempts=1))
        assert (await harness.request(POISON)).status == 502
        await trio.sleep(0.3)
        restarted = dataclasses.replace(known.entry, born_ms=2000)
        harness.view.registry.put(restarted, trio.current_time())
        assert (await harness.request("/a/other")).status == 200
        assert (await harness.request(POISON)).status == 503
        assert leaves.crashes == 1

    run_with_harness(test)


def test_request_whose_leaves_answer_500_and_end_is_refused(run_with_harness):
    """Guards against crashes that count only without a reply."""

    async def test(harness):
        ended = 0

        def make_reply(leaf):
            async def answer(request):
                nonlocal ended
                if POISON.encode() not in request:
                    return reply(request, b"r")
                ended += 1
                harness.nursery.start_soon(end_soon, leaf)
                return reply(request, status="500 Internal Server Error")

            return answer

        async def end_soon(leaf):
            await trio.sleep(0.05)
            leaf.crash()

        for _ in range(20):
            leaf = Leaf(None)
            leaf.make_reply = make_reply(leaf)
            await harness.leaf("s", leaf)
        harness.configure(single_leaf_route(max_attempts=1))
        for _ in range(10):
            assert (await harness.request(POISON)).status in {500, 503}
            await trio.sleep(0.35)
        # Three, and three more that are allowed.
        assert ended <= 6
        assert (await harness.request("/a/other")).status == 200

    run_with_harness(test)


def test_leaf_that_answers_500_and_lives_is_no_crash(run_with_harness):
    """Guards against requests that are held for an answer of a live leaf."""

    async def test(harness):
        failed = "500 Internal Server Error"
        for _ in range(2):
            await harness.leaf("s", lambda r: (reply(r, status=failed),))
        harness.configure(single_leaf_route(max_attempts=1))
        for _ in range(4):
            assert (await harness.request()).status == 500
            await trio.sleep(0.35)

    run_with_harness(test)


def test_connections_reset_together_are_no_sign_of_a_crash(run_with_harness):
    """Guards against a search that is held back after a reset of the network.

    The leaves of all its shards lose their connections at the same moment.
    """

    async def test(harness):
        shards = [f"s{number}" for number in range(4)]
        for shard in shards:
            await harness.leaf(shard, lambda _: (b"",))
        harness.configure(search_route(*shards))
        for _ in range(2):
            assert (await harness.request()).status == 502

    run_with_harness(test)


def test_quarantine_names_its_end_to_the_caller(run_with_harness):
    """Guards against callers that are told to come back while it lasts."""

    async def test(harness):
        leaves = CrashingLeaves(harness)
        await leaves.add("s", 4)
        harness.configure(single_leaf_route(max_attempts=1))
        for _ in range(2):
            assert (await harness.request(POISON)).status == 502
            await trio.sleep(MAX_HOLD_S + DETECTION_S)
        refused = await harness.request(POISON)
        assert float(refused.headers["retry-after"]) == QUARANTINE_S
        assert leaves.crashes == 2

    run_with_harness(test)


def test_one_request_crashes_two_leaves_at_most(run_with_harness):
    """Guards against retries and hedges of a request that crashes leaves."""

    async def test(harness):
        leaves = CrashingLeaves(harness)
        await leaves.add("s", 6)
        harness.configure(single_leaf_route(max_attempts=5))
        assert (await harness.request(POISON)).status == 502
        assert leaves.crashes == 2

    run_with_harness(test)


def test_search_that_crashes_leaves_is_not_repeated_at_each_shard(
    run_with_harness,
):
    """Guards against a search that ends two leaves of each shard."""

    async def test(harness):
        leaves = CrashingLeaves(harness)
        shards = [f"s{number}" for number in range(8)]
        for shard in shards:
            await leaves.add(shard, 2)
        harness.configure(search_route(*shards))
        assert (await harness.request(POISON)).status == 502
        assert leaves.crashes == len(shards) + 1
        await trio.sleep(MAX_HOLD_S + DETECTION_S)
        # The canary goes to a single shard.
        assert (await harness.request(POISON)).status == 502
        assert leaves.crashes == len(shards) + 2
        await trio.sleep(MAX_HOLD_S + DETECTION_S)
        assert (await harness.request(POISON)).status == 503
        harmless = await harness.request("/a/other")
        assert harmless.status == 200

    run_with_harness(test)


def test_harmless_search_gets_all_parts_when_a_domain_is_lost(
    run_with_harness,
):
    """Guards against lost coverage: the retries wait for one answer only."""

    async def test(harness):
        shards = [f"s{number}" for number in range(8)]
        lost = []
        for number, shard in enumerate(shards):
            if number < 5:
                lost.append(Leaf(None))
                await harness.leaf(shard, lost[-1])
            await harness.leaf(
                shard, lambda r: reply(r, b"r" * 16), domain="z2"
            )

        async def end_all(request):
            for leaf in lost:
                leaf.crash()

        for leaf in lost:
            leaf.make_reply = end_all
        harness.configure(search_route(*shards, target_s=1.0))
        answer = await harness.request()
        assert (answer.status, answer.headers["x-missing"]) == (200, "0")
        await trio.sleep(DETECTION_S)
        # It is answered again at once.
        assert (await harness.request()).status == 200

    run_with_harness(test)


def test_suspected_search_that_is_harmless_gets_all_parts(run_with_harness):
    """Guards against a canary that stays with its first shard."""

    async def test(harness):
        leaves = CrashingLeaves(harness)
        shards = [f"s{number}" for number in range(4)]
        for shard in shards:
            await leaves.add(shard)
        harness.configure(search_route(*shards))
        fingerprint = request_fingerprint(b"GET", b"a.example", b"/a/x", b"")
        harness.view.crashes.record_crash(
            fingerprint, CrashedLeaf("s2", "i-0@1"), False, trio.current_time()
        )
        assert (await harness.request()).status == 503
        await trio.sleep(MAX_HOLD_S)
        answer = await harness.request()
        assert (answer.status, answer.headers["x-missing"]) == (200, "0")
        assert (await harness.request()).status == 200

    run_with_harness(test)


def test_leaves_lost_after_the_answer_to_a_canary_do_not_quarantine(
    run_with_harness,
):
    """Guards against calls that are still blamed after the first answer."""

    async def test(harness):
        await harness.leaf("s0", lambda r: reply(r, b"r" * 16))
        lost = [Leaf(None), Leaf(None)]
        for number, leaf in enumerate(lost, start=1):
            leaf.make_reply = lambda _request, leaf=leaf: leaf.crash()
            await harness.leaf(f"s{number}", leaf)
        harness.configure(search_route("s0", "s1", "s2", min_share=1.0))
        fingerprint = request_fingerprint(b"GET", b"a.example", b"/a/x", b"")
        # Its canary starts with this service.
        harness.view.crashes.record_crash(
            fingerprint, CrashedLeaf("s0", "i-0@1"), False, trio.current_time()
        )
        await trio.sleep(MAX_HOLD_S)
        assert (await harness.request()).status == 502
        for number in (1, 2):
            await harness.leaf(f"s{number}", lambda r: reply(r, b"r" * 16))
        await trio.sleep(MAX_HOLD_S + DETECTION_S)
        assert (await harness.request()).status == 200

    run_with_harness(test)


@pytest.mark.parametrize("is_domain_lost", [True, False])
@pytest.mark.parametrize("is_connected", [True, False])
def test_canary_lost_with_idle_leaves_of_its_domain_is_not_quarantined(
    run_with_harness, is_domain_lost, is_connected
):
    """Guards against a lost domain in which nothing else was running."""

    async def test(harness):
        fingerprint = request_fingerprint(b"GET", b"a.example", b"/a/x", b"")
        crashes = harness.view.crashes
        idle = [Leaf(lambda r: reply(r, b"")) for _ in range(3)]

        async def end(request):
            leaf.crash()
            if is_domain_lost:
                for neighbour in idle:
                    neighbour.crash()

        leaf = await harness.leaf("s", end)
        for neighbour in idle:
            await harness.leaf("t", neighbour)
        harness.configure(single_leaf_route(max_attempts=1))
        if is_connected:
            for known in harness.view.registry.leaves:
                harness.pool.connect(known.entry)
        crashes.record_crash(
            fingerprint, CrashedLeaf("s", "i-0@1"), False, trio.current_time()
        )
        await trio.sleep(MAX_HOLD_S)
        assert (await harness.request()).status == 502
        await trio.sleep(SETTLING_S + DETECTION_S)
        verdict = crashes.verdict(fingerprint, trio.current_time())
        is_quarantined = verdict is CrashVerdict.QUARANTINED
        assert is_quarantined is not is_domain_lost

    run_with_harness(test)


def test_lost_connection_to_a_live_leaf_is_no_crash(run_with_harness):
    """Lost connections to a live leaf do not quarantine a request."""

    async def test(harness):
        await harness.leaf("s", lambda r: (b"",))
        harness.configure(single_leaf_route(max_attempts=1))
        for _ in range(3):
            assert (await harness.request("/a/x")).status == 502
            await trio.sleep(DETECTION_S)

    run_with_harness(test)


def test_leaf_that_ends_after_its_caller_left_counts(run_with_harness):
    """Guards against callers that leave before the leaf has ended."""

    async def test(harness):
        left = trio.Event()

        async def end_later(request):
            await left.wait()
            await trio.sleep(0.02)
            leaf.crash()

        leaf = await harness.leaf("s", end_later)
        harness.configure(single_leaf_route(max_attempts=1))
        async with await harness.connect() as stream:
            await stream.send_all(request_bytes(POISON))
            await trio.sleep(0.05)
        left.set()
        await trio.sleep(DETECTION_S)
        await harness.leaf("s", lambda r: reply(r, b""))
        assert (await harness.request(POISON)).status == 503

    run_with_harness(test)


def test_leaf_that_falls_silent_and_is_gone_counts(run_with_harness):
    """Guards against leaves that end without closing their connections."""

    async def test(harness):
        leaves = CrashingLeaves(harness, is_silent=True)
        await leaves.add("s")
        harness.configure(single_leaf_route(max_attempts=1, target_s=0.1))
        assert (await harness.request(POISON, left=200)).status == 504
        # The call ends some time after its request; connecting then fails.
        await trio.sleep(0.3)
        assert (await harness.request("/a/other", left=200)).status != 200
        await leaves.add("s")
        assert (await harness.request(POISON)).status == 503
        assert leaves.crashes == 1

    run_with_harness(test)


def test_search_with_a_silent_leaf_is_not_held_back(run_with_harness):
    """Guards against callers that are refused when a leaf falls silent."""

    async def test(harness):
        leaves = CrashingLeaves(harness, is_silent=True)
        await leaves.add("s")
        await harness.leaf("t", lambda r: reply(r, b"r" * 16))
        harness.configure(search_route("s", "t", target_s=0.1, min_share=1.0))
        assert (await harness.request(POISON, left=300)).status == 504
        await trio.sleep(0.5)
        # The silent leaf is found to be gone.
        await harness.request("/a/other", left=100)
        await leaves.add("s")
        assert (await harness.request(POISON, left=300)).status != 503

    run_with_harness(test)


def test_next_user_of_the_address_does_not_clear_the_request(run_with_harness):
    """Guards against a leaf that ends while another gets its address."""

    async def test(harness):
        leaves = CrashingLeaves(harness)
        await leaves.add("s")
        (entry,) = [leaf.entry for leaf in harness.view.registry.leaves]
        harness.configure(single_leaf_route(max_attempts=1))
        assert (await harness.request(POISON)).status == 502
        await trio.sleep(DETECTION_S)
        host, _, port = entry.address.partition(":")
        listeners = await trio.open_tcp_listeners(int(port), host=host)
        harness.nursery.start_soon(trio.serve_listeners, _idle, listeners)
        await harness.request("/a/other", left=100)
        await leaves.add("s")
        assert (await harness.request(POISON)).status == 503
        assert leaves.crashes == 1

    run_with_harness(test)


async def _idle(stream):
    await trio.sleep_forever()


def test_helper_declines_a_suspected_request(run_with_harness):
    """Guards against calls of a suspected request for another VM."""

    async def test(harness):
        leaves = CrashingLeaves(harness)
        await leaves.add("s")
        harness.configure(search_route("s"))
        now = trio.current_time()
        crashes = harness.view.crashes
        crashes.record_crash("a", CrashedLeaf("s", "i-0@1"), False, now)
        harness.view.freshness.record_current(NO_REVISION, now)
        request = DelegationRequest(
            "search", b"GET /a/x HTTP/1.1\r\n", b"", b"r1", "a", ["s"],
            300.0, 300.0, 100.0, 200.0, 4,
        )  # fmt: skip
        response = await HelperServer(harness.fleet).handle(
            Request(
                b"POST",
                delegation_messages.CALLS_PATH.encode(),
                [],
                msgspec.msgpack.encode(request),
                True,
            )
        )
        decoded = msgspec.msgpack.decode(
            response.body, type=delegation_messages.HelperResponse
        )
        assert decoded.is_suspected
        assert [part.was_sent for part in decoded.failed] == [False]

    run_with_harness(test)


def test_log_names_what_identifies_a_request_that_lost_a_leaf(
    run_with_harness, log_events
):
    """Guards against fingerprints that can't be traced to their requests."""

    async def test(harness):
        leaves = CrashingLeaves(harness)
        await leaves.add("s", 2)
        harness.configure(single_leaf_route(max_attempts=1))
        await harness.request(POISON)
        await harness.request("/a/other")

    run_with_harness(test)
    lines = log_events("request_suspicious")
    assert [(line["target"], line["caller"]) for line in lines] == [
        (POISON, "127.0.0.1")
    ]
