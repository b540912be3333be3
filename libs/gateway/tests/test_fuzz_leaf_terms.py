"""Property test of what a VM sends to leaves that ask for something.

Random answers, times, restarts of leaves and outages of the store are replayed
through the choice of the leaf, without input or output. `make fuzz` runs more
examples.
"""

from __future__ import annotations

import dataclasses
import math

import trio
import trio.testing
from fuzzing import fuzz
from gateway_harness import DOMAIN, HEADER_NAMES
from hypothesis import example, given
from hypothesis import strategies as st
from sapphire_core.fanout import Failure
from sapphire_core.leafset import LAST_RESORT_S, LeafEntry, LeafState
from sapphire_core.leafterms import MAX_PAUSE_S
from sapphire_core.retrybudget import RetryBudgetPolicy
from sapphire_gateway.calls import CallResult
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.leafcalls import CallSpec, LeafCaller, ReplyTimes
from sapphire_gateway.messages import Reply
from sapphire_gateway.pool import LeafPool

# The only leaf of its service each, so that the choice has no way out, and a
# service of two.
SERVICES = {"i-1": "s", "i-2": "t", "i-3": "u", "i-4": "u"}
# Bound of the requests to a leaf that names a limit (docs/guarantees.md).
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
TIMES = st.floats(0.0, 8.0, allow_nan=False)
LEAVES = st.sampled_from(sorted(SERVICES))
STATEMENTS = st.one_of(
    st.just([]),
    st.just([(b"x-leaving", b"1")]),
    st.sampled_from([b"0", b"0.5", b"3", b"40", b"-1", b"1e400"]).map(
        lambda value: [(b"x-limit", value)]
    ),
    st.sampled_from([b"0.2", b"1", b"5", b"9999999", b"x", b"nan"]).map(
        lambda value: [(b"x-pause", value), (b"x-not-run", b"1")]
    ),
)
STEPS = st.one_of(
    st.tuples(st.just("wait"), TIMES),
    st.tuples(
        st.just("request"),
        st.tuples(st.sampled_from("stu"), st.integers(1, 8)),
    ),
    st.tuples(st.just("answer"), STATEMENTS),
    st.tuples(st.just("lose"), st.none()),
    st.tuples(st.just("restart"), LEAVES),
    st.tuples(st.just("vanish"), LEAVES),
    st.tuples(st.just("return"), LEAVES),
)


@dataclasses.dataclass
class Told:
    """What one incarnation of a leaf has told this VM, as the rules see it.

    Attributes:
        leaving_at: Time at which it first said that it is leaving.
        paused_until: Time up to which it wants no request.
        is_returning: Whether it has answered nothing since its last pause.
        limits: Limits that it has named since it last named none.
        limit_named_at: Time from which it has named limits.
        sent_at: Times of the requests to it.
        running: Requests at it that have not ended.
    """

    leaving_at: float = math.inf
    paused_until: float = -math.inf
    is_returning: bool = False
    limits: list[float] = dataclasses.field(default_factory=list)
    limit_named_at: float = math.inf
    sent_at: list[float] = dataclasses.field(default_factory=list)
    running: int = 0

    def check_request(self, now):
        """Checks a request against the rules."""
        assert now <= self.leaving_at + LAST_RESORT_S
        assert now >= min(self.paused_until, now + MAX_PAUSE_S)
        if self.is_returning:
            assert self.running == 0
        self.sent_at.append(now)
        self.running += 1
        if self.limits:
            since = max(self.limit_named_at, now - LIMIT_WINDOW_S)
            count = sum(since < at <= now for at in self.sent_at)
            allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * max(self.limits)
            assert count <= allowed + LIMIT_SLACK

    def note_answer(self, headers, now):
        """Notes what an answer has told."""
        self.running -= 1
        told = dict(headers)
        if told.get(b"x-leaving") == b"1":
            self.leaving_at = min(self.leaving_at, now)
        limit = told.get(b"x-limit")
        if limit is None:
            self.limits.clear()
        elif limit not in {b"-1", b"1e400"}:
            if not self.limits:
                self.limit_named_at = now
            self.limits.append(float(limit))
        pause = told.get(b"x-pause")
        if pause is None:
            if now >= self.paused_until:
                self.is_returning = False
        elif pause not in {b"x", b"nan"}:
            until = now + min(float(pause), MAX_PAUSE_S)
            self.paused_until = max(self.paused_until, until)
            self.is_returning = True


class Replay:
    """A VM without connections, and what its leaves have told it."""

    def __init__(self, nursery, clock) -> None:
        self._clock = clock
        self.view = FleetView("vm1")
        pool = LeafPool(nursery, HEADER_NAMES)
        budget = RetryBudgetPolicy(0.2, 50.0, 10.0)
        self.fleet = Fleet(self.view, pool, HEADER_NAMES, DOMAIN, budget)
        spec = CallSpec(
            b"", b"", b"r", "f", False, True, 0.1, math.inf, 1e9
        )  # fmt: skip
        self.caller = LeafCaller(self.fleet, spec, ReplyTimes.for_target(0.1))
        self.entries = {}
        self.told = {}
        # Calls that have not ended, oldest first.
        self.running = []
        for leaf_id, service in SERVICES.items():
            self.entries[leaf_id] = LeafEntry(
                leaf_id, service, "127.0.0.1:9", DOMAIN, 100, LeafState.READY,
                0.0, 1, 1,
            )  # fmt: skip
            self._put(leaf_id)

    def run(self, step, value):
        """Runs one step."""
        getattr(self, f"_{step}")(value)

    def _put(self, leaf_id):
        entry = self.entries[leaf_id]
        self.view.registry.put(entry, trio.current_time())
        self.told.setdefault(entry.incarnation, Told())

    def _wait(self, seconds):
        self._clock.jump(seconds)
        self.fleet.remove_expired_leaves(trio.current_time())

    def _request(self, value):
        service, count = value
        now = trio.current_time()
        for _ in range(count):
            choice = self.caller.choose(service, (), now)
            if choice is None:
                return
            self.told[choice.entry.incarnation].check_request(now)
            call = self.caller._create_call(choice.entry, now)
            self.fleet.reserve(choice.endpoint, call)
            call.sent_at = now
            choice.endpoint.load.record_call(call.number, now)
            self.running.append((call, choice))

    def _answer(self, headers):
        if not self.running:
            return
        call, choice = self.running.pop(0)
        now = trio.current_time()
        is_rejected = any(name == b"x-not-run" for name, _ in headers)
        reply = Reply(503 if is_rejected else 200, headers, b"", True)
        failure = Failure.NOT_RUN if is_rejected else None
        self._record(call, choice, CallResult(reply, failure))
        self.told[choice.entry.incarnation].note_answer(headers, now)

    def _lose(self, _value):
        if self.running:
            call, choice = self.running.pop(0)
            self._record(call, choice, CallResult(None, Failure.LOST))
            self.told[choice.entry.incarnation].running -= 1

    def _record(self, call, choice, result):
        self.caller._record_result(
            call, choice.entry, choice.endpoint, result, trio.current_time()
        )

    def _restart(self, leaf_id):
        entry = self.entries[leaf_id]
        self.entries[leaf_id] = dataclasses.replace(
            entry, born_ms=entry.born_ms + 1, sequence=1
        )
        self._put(leaf_id)

    def _vanish(self, leaf_id):
        self.view.registry.record_missing(leaf_id, trio.current_time())

    def _return(self, leaf_id):
        entry = self.entries[leaf_id]
        self.entries[leaf_id] = dataclasses.replace(
            entry, sequence=entry.sequence + 1
        )
        self._put(leaf_id)


@fuzz
@given(st.lists(STEPS, max_size=60))
@example(
    [
        ("request", ("s", 2)),
        ("answer", [(b"x-pause", b"1"), (b"x-not-run", b"1")]),
        ("answer", []),
        ("request", ("s", 8)),
        ("wait", 1.1),
        ("request", ("s", 8)),
    ]
)
@example(
    [
        ("request", ("s", 1)),
        ("answer", [(b"x-leaving", b"1")]),
        ("wait", 2.1),
        ("request", ("s", 1)),
        ("vanish", "i-1"),
        ("wait", 3.0),
        ("return", "i-1"),
        ("request", ("s", 1)),
    ]
)
@example(
    [
        ("request", ("s", 1)),
        ("answer", [(b"x-limit", b"3")]),
        *([("request", ("s", 8)), ("wait", 0.3)] * 25),
    ]
)
def test_vm_keeps_to_what_leaves_have_told_it(steps):
    """Guards against requests that a leaf has asked not to get."""

    async def main(clock):
        async with trio.open_nursery() as nursery:
            replay = Replay(nursery, clock)
            for step, value in steps:
                replay.run(step, value)

    clock = trio.testing.MockClock()
    trio.run(main, clock, clock=clock)
