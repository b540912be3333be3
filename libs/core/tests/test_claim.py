"""Tests of at-most-once submissions on a simulated platform with faults."""

import random
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sapphire_core import claim as c
from sapphire_core.errors import (
    KeyConflictError,
    LeafUnreachableError,
    RunState,
)

UNSENT = LeafUnreachableError("no connection.")


@dataclass
class Store:
    """One key with its history, compare-and-swap and delayed writes."""

    history: list = field(default_factory=lambda: [c.Found(None, 0)])
    delayed: list = field(default_factory=list)

    def apply(self, write):
        current = self.history[-1].version
        if write.expect != current:
            return c.Conflict(current)
        value = c.Claim.from_json(write.claim.to_json())
        self.history.append(c.Found(value, current + 1))
        return c.Written(current + 1)


class Request:
    """One request at one entry, which runs its state machine."""

    def __init__(self, number, body) -> None:
        self.body = body
        self.number = number
        self.machine = c.Submission(f"id{number}", c.body_hash(body))
        self.action = None
        self.answer = None

    def run(self, rng, store, executed, faults, now):
        """Performs the pending action and gets the next one."""
        if self.action is None:
            self.action = self.machine.start(now)
            return
        event = self.perform(rng, store, executed, faults, now)
        self.action = self.machine.handle(event, now)
        if isinstance(self.action, c.Answer):
            assert self.answer is None
            self.answer = self.action
            self.action = self.answer.follow_up

    def perform(self, rng, store, executed, faults, now):
        if isinstance(self.action, c.Dispatch):
            return self.dispatch(rng, executed, faults, now)
        fault = rng.random() < faults
        if fault and self.answer is None and rng.random() < 0.2:
            if isinstance(self.action, c.Write):
                store.delayed.append(self.action)
            return c.DeadlinePassed()
        if isinstance(self.action, c.Write):
            return self.write(rng, store, fault)
        if fault and rng.random() < 0.5:
            return c.Unavailable()
        return rng.choice(store.history) if fault else store.history[-1]

    def write(self, rng, store, fault):
        if not fault:
            return store.apply(self.action)
        kind = rng.choice(["unsent", "lost", "delayed", "reply lost"])
        if kind == "unsent":
            return c.Unavailable()
        if kind == "delayed":
            store.delayed.append(self.action)
        if kind == "reply lost":
            store.apply(self.action)
        return c.WriteLost()

    def dispatch(self, rng, executed, faults, now):
        if not self.machine.begin_dispatch(now):
            return c.NotSent(UNSENT)
        if rng.random() < faults:
            return c.NotSent(UNSENT)
        executed.append(self.number)
        if rng.random() < faults:
            return c.OutcomeLost()
        return c.Outcome(f'"outcome of {self.number}"')


def simulate(seed, faults, requests, steps, store=None):
    rng = random.Random(seed)
    store = store or Store()
    executed, now = [], 0.0
    for _ in range(steps):
        now += rng.choice([0.001, 0.1, 1.5]) if rng.random() < faults else 0.001
        if store.delayed and rng.random() < 0.3:
            store.apply(store.delayed.pop(rng.randrange(len(store.delayed))))
        unfinished = [r for r in requests if r.answer is None or r.action]
        if not unfinished:
            break
        rng.choice(unfinished).run(rng, store, executed, faults, now)
    return store, executed


@settings(max_examples=300, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    faults=st.sampled_from([0.05, 0.3, 0.6]),
    bodies=st.lists(st.sampled_from(["a", "a", "b"]), min_size=1, max_size=4),
)
def test_at_most_once(seed, faults, bodies):
    """Guards against submissions that run twice, and incorrect answers."""
    requests = [Request(i, b) for i, b in enumerate(bodies)]
    _, executed = simulate(seed, faults, requests, 400)
    assert len(executed) <= 1
    answers = [r for r in requests if r.answer]
    for request in answers:
        if request.answer.run is RunState.NOT_RUN:
            assert request.number not in executed
        if request.answer.run is RunState.RUN:
            expected = f'"outcome of {executed[0]}"'
            assert request.answer.outcome == expected
            assert request.answer.first == (request.number == executed[0])
            assert request.body == requests[executed[0]].body


@settings(max_examples=100, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_key_is_usable_after_not_run(seed):
    """Guards against a claim left behind by a request that did not run."""
    first = Request(0, "a")
    store, executed = simulate(seed, 0.7, [first], 60)
    if first.answer is None or first.answer.run is not RunState.NOT_RUN:
        return
    rng = random.Random(seed)
    while first.action:
        first.run(rng, store, executed, 0.0, 99.0)
    while store.delayed:
        store.apply(store.delayed.pop())
    second = Request(1, "a")
    simulate(seed, 0.0, [second], 20, store)
    assert second.answer.first


def test_dispatch_after_the_time_limit_releases_the_claim():
    """Guards against an entry that dispatches after it was paused."""
    machine = c.Submission("id", "hash")
    machine.start(0.0)
    assert isinstance(machine.handle(c.Written(1), 0.1), c.Dispatch)
    assert not machine.begin_dispatch(c.DISPATCH_WITHIN_S)
    answer = machine.handle(c.NotSent(UNSENT), 1.0)
    assert answer.run is RunState.NOT_RUN
    assert answer.follow_up.claim.state is c.ClaimState.RELEASED


def test_second_dispatch_is_refused():
    """Guards against a retry when the submission may have been sent."""
    machine = c.Submission("id", "hash")
    machine.start(0.0)
    machine.handle(c.Written(1), 0.1)
    assert machine.begin_dispatch(0.2)
    assert not machine.begin_dispatch(0.2)
    answer = machine.handle(c.OutcomeLost(), 0.3)
    assert answer.run is RunState.UNKNOWN
    with pytest.raises(ValueError, match="not valid in phase"):
        machine.handle(c.Written(2), 0.4)


def test_other_body_is_a_conflict():
    """Guards against returning the outcome of a different body."""
    machine = c.Submission("id", "hash")
    machine.start(0.0)
    machine.handle(c.Conflict(1), 0.1)
    other = c.Claim(c.ClaimState.DISPATCHING, "other", "other hash")
    answer = machine.handle(c.Found(other, 1), 0.1)
    assert isinstance(answer.error, KeyConflictError)


@pytest.mark.parametrize("text", ["[]", "{}", '{"state": "x"}', "x"])
def test_malformed_claim(text):
    """Guards against an unrelated value that is parsed as a claim."""
    with pytest.raises(ValueError, match="is not a claim"):
        c.Claim.from_json(text)
