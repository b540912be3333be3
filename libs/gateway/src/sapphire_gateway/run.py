"""One request on its way over the leaves."""

from __future__ import annotations

import functools
import math
from collections.abc import Collection
from dataclasses import dataclass, field

import trio
from sapphire_core.choice import Estimate
from sapphire_core.fanout import Failure, FanOut, Verdict
from sapphire_core.leafset import LeafEntry

from sapphire_gateway import telemetry
from sapphire_gateway.calls import Call, CallEnd
from sapphire_gateway.delegated_parts import DelegatedParts, remote_parts
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.job import Job, Outcome
from sapphire_gateway.leafcalls import (
    CallTerms,
    Choice,
    Expectation,
    LeafCaller,
)
from sapphire_gateway.messages import Reply

# Hedges leave this part of the budget to retries: a part without a retry is
# missing, one without a hedge is only late.
HEDGE_RESERVE = 0.3
# Leaves that are tried for one part although they can't be reached.
MAX_UNREACHED = 3
# A caller that has left may be waited for this long, so that a short call
# ends without costing its connection.
CANCEL_AFTER_S = 0.1
# A search gives its leaves this many times its target, since parts that come
# later are of no use and hold a slot.
PART_TIME_FACTOR = 2.0


MAX_LOGGED_FAILURES = 6


@dataclass(slots=True)
class _Tried:
    leaf_ids: set[str] = field(default_factory=set)
    unreached: int = 0


class Run:
    """Sends a request's calls and collects their replies."""

    def __init__(self, job: Job, fleet: Fleet, expects: Expectation) -> None:
        self._job = job
        self._fleet = fleet
        self._caller = LeafCaller(fleet, _call_terms(job), expects)
        self._fanout = FanOut(job.parts, job.terms)
        self._tried = {name: _Tried() for name in job.parts}
        self._planned: dict[str, Choice] = {}
        self._calls: list[Call] = []
        self._replies: dict[str, Reply] = {}
        self._failure_reply: Reply | None = None
        self._failures: list[str] = []
        self._hedges = 0
        self._retries = 0
        self._is_over = False
        self._caller_left = False
        self._enough_at = float("inf")
        self._helped = DelegatedParts(job, fleet, self)
        self._wake = trio.Event()

    def caller_left(self) -> None:
        """Ends the request without an answer."""
        self._caller_left = True
        self._wake.set()

    def plan(self, now: float) -> list[Estimate]:
        """Chooses the first leaf of each part.

        Returns:
            What to expect of each part that has a leaf.
        """
        for name in self._job.parts:
            choice = self._choose(name, now)
            if choice is not None:
                self._planned[name] = choice
        return [choice.estimate for choice in self._planned.values()]

    async def finish(self) -> Outcome:
        """Sends what was planned and runs the request to its verdict."""
        now = trio.current_time()
        self._ask_helpers(now)
        telemetry.CALLS_BY_PURPOSE["first"].inc(len(self._planned))
        for name in self._job.parts:
            self._fleet.budget.request(name, now)
            choice = self._planned.get(name)
            if self._fanout.is_sent(name):
                continue
            if choice is not None:
                self._start(name, choice, now, "first")
            else:
                self._note(f"{name}: no leaf")
                self._fanout.abandon(name)
        verdict = await self._decide()
        self._is_over = True
        if self._caller_left:
            self._cancel_calls()
        outcome = Outcome(
            verdict,
            self._replies,
            self._failure_reply,
            self._fanout.may_have_run,
            self._hedges,
            self._retries,
            self._failures,
            self._helped.count,
            self._enough_at < self._job.terms.answer_at <= trio.current_time(),
        )
        if verdict is Verdict.GIVE_UP:
            self._drop_unsent()
        return outcome

    async def _decide(self) -> Verdict:
        while True:
            now = trio.current_time()
            if self._caller_left:
                return Verdict.GIVE_UP
            verdict = self._fanout.verdict(now)
            if verdict is not Verdict.WAIT:
                return verdict
            for name in self._fanout.to_hedge(now):
                if not self._helped.is_held(name, now):
                    self._hedge(name, now)
            next_time = min(
                self._fanout.next_time(now), self._helped.next_time(now)
            )
            self._wake = trio.Event()
            with trio.move_on_at(next_time):
                await self._wake.wait()

    def _ask_helpers(self, now: float) -> None:
        if self._job.route.gather is None or self._job.is_to_head:
            return
        call_s = min(
            self._job.terms.give_up_at - now,
            PART_TIME_FACTOR * self._job.route.target_s,
        )
        planned = {name: c.entry for name, c in self._planned.items()}
        self._helped.ask(remote_parts(planned, self._fleet), call_s, now)

    def _hedge(self, name: str, now: float) -> None:
        """Sends a part to a second leaf if that can still help."""
        if not self._fleet.budget.has_room(name, now, HEDGE_RESERVE):
            return
        choice = self._choose(name, now)
        if choice is None or choice.estimate.is_queued:
            return
        terms = self._job.terms
        limit = terms.answer_at if now < terms.answer_at else terms.give_up_at
        if now + choice.estimate.time_s < limit:
            self._start(name, choice, now, "hedge")
            self._hedges += 1

    def _retry(self, name: str, now: float) -> bool:
        choice = self._choose(name, now)
        if choice is None:
            return False
        self._start(name, choice, now, "retry")
        return True

    def _start(
        self, name: str, choice: Choice, now: float, purpose: str
    ) -> None:
        entry = choice.entry
        if purpose != "first":
            self._fleet.budget.spend(name, now)
            telemetry.CALLS_BY_PURPOSE[purpose].inc()
        self._tried[name].leaf_ids.add(entry.leaf_id)
        self._fanout.sent(name)
        on_end = functools.partial(self._ended, name, entry)
        self._calls.append(self._caller.send(choice, on_end, now))

    def _choose(self, name: str, now: float) -> Choice | None:
        """Returns the best leaf that the part has not been sent to."""
        return self._caller.choose(name, self._tried[name].leaf_ids, now)

    def _ended(self, name: str, entry: LeafEntry, end: CallEnd) -> None:
        if end.failure is None and end.reply is not None:
            self.arrived(name, end.reply)
        else:
            self.ended(name, entry.leaf_id, end)

    def are_open(self, parts: Collection[str]) -> bool:
        """Returns whether all of the parts wait for a good reply."""
        return self._fanout.are_open(parts)

    def sent(self, part: str) -> None:
        """Counts a part's first call."""
        self._fanout.sent(part)

    def tried(self, part: str, leaf_id: str) -> None:
        """Notes the leaf that a part was sent to."""
        self._tried[part].leaf_ids.add(leaf_id)

    def arrived(self, part: str, reply: Reply) -> None:
        """Takes a good reply."""
        if self._is_over or not self._fanout.arrived(part):
            return
        self._replies[part] = reply
        now = trio.current_time()
        if self._fanout.parts_in == self._job.terms.least:
            self._enough_at = now
        self._wake_to_decide(now)

    def ended(self, part: str, where: str, end: CallEnd) -> None:
        """Takes a call without a good reply."""
        if self._is_over:
            self._fanout.failed(part, end.failure or Failure.LOST)
            return
        now = trio.current_time()
        self._failed(part, where, end, now)
        self._wake_to_decide(now)

    def _wake_to_decide(self, now: float) -> None:
        """Wakes the request's task if its verdict or second calls may change.

        Until second calls are due, most replies change neither, and a search
        has one reply a part.
        """
        is_hedging = now >= self._job.terms.hedge_at
        if is_hedging or self._fanout.verdict(now) is not Verdict.WAIT:
            self._wake.set()

    def _failed(self, name: str, where: str, end: CallEnd, now: float) -> None:
        failure = end.failure or Failure.LOST
        telemetry.FAILED_CALLS.labels(failure.value).inc()
        self._note(f"{name}/{where}: {end.detail}")
        if failure is Failure.ANSWERED:
            self._failure_reply = end.reply
        if not end.was_sent:
            self._unreached(name, now)
            return
        may_repeat = self._fanout.failed(name, failure)
        if (
            may_repeat
            and self._fleet.budget.has_room(name, now)
            and self._retry(name, now)
        ):
            self._retries += 1
            return
        self._fanout.abandon(name)

    def _unreached(self, name: str, now: float) -> None:
        self._fanout.unsent(name)
        tried = self._tried[name]
        tried.unreached += 1
        is_allowed = tried.unreached <= MAX_UNREACHED
        if not (is_allowed and self._retry(name, now)):
            self._fanout.abandon(name)

    def _note(self, text: str) -> None:
        if len(self._failures) < MAX_LOGGED_FAILURES:
            self._failures.append(text)

    def _cancel_calls(self) -> None:
        """Lets running calls end shortly; a submission runs on."""
        if not self._job.terms.repeatable:
            return
        limit = trio.current_time() + CANCEL_AFTER_S
        for call in self._calls:
            call.is_cancelled = True
            call.expires_at = min(call.expires_at, limit)
        self._drop_unsent()

    def _drop_unsent(self) -> None:
        for call in self._calls:
            if not call.sent_at and not call.is_over:
                call.end(
                    CallEnd(None, Failure.NOT_RUN, "given up", was_sent=False)
                )


def _call_terms(job: Job) -> CallTerms:
    is_search = job.route.gather is not None
    return CallTerms(
        job.head,
        job.body,
        job.request_id,
        job.fingerprint,
        job.is_to_head,
        job.terms.repeatable,
        job.route.target_s,
        job.terms.give_up_at,
        PART_TIME_FACTOR * job.route.target_s if is_search else math.inf,
    )
