"""One request on its way over the leaves."""

from __future__ import annotations

import functools
import math
from dataclasses import dataclass, field

import trio
from sapphire_core.choice import Estimate
from sapphire_core.fanout import Failure, FanOut, Terms, Verdict
from sapphire_core.leafset import LeafEntry
from sapphire_core.routing import Route

from sapphire_gateway import telemetry
from sapphire_gateway.calls import Call, CallEnd
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.helping import (
    EARLIER_S,
    MS_PER_S,
    PATIENCE_S,
    Exchange,
    HelperAnswer,
    Question,
)
from sapphire_gateway.httpclient import NoReplyError
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
# Helpers send their last parts this long before the answer leaves.
REST_EARLIER_S = 0.003


@dataclass(frozen=True, slots=True)
class Job:
    """A request that passed all checks.

    Attributes:
        request_id: Identity of the caller's attempt.
        head: Request line and headers for leaves, without the last ones.
        body: Body for the leaves.
        is_to_head: The method is HEAD.
        fingerprint: Equal for equal requests of one caller.
        route: Route of the configuration in force when it arrived.
        parts: Services that get the request.
        terms: When it is repeated, answered and given up.
    """

    request_id: bytes
    head: bytes
    body: bytes
    is_to_head: bool
    fingerprint: str
    route: Route
    parts: tuple[str, ...]
    terms: Terms


@dataclass(slots=True)
class Outcome:
    """How a request ended.

    Attributes:
        verdict: ANSWER or GIVE_UP.
        replies: Good replies by service.
        failure_reply: A leaf's own failure, if there is one.
        may_have_run: Whether a leaf may have run the request.
        hedges: Calls to a second leaf while the first was running.
        retries: Calls after a failure.
        failures: First reasons of failed calls, for the log.
        helped: Parts that were left to VMs of other failure domains.
        was_planned: The answer waited for missing parts up to its time.
    """

    verdict: Verdict
    replies: dict[str, Reply]
    failure_reply: Reply | None
    may_have_run: bool
    hedges: int
    retries: int
    failures: list[str]
    helped: int
    was_planned: bool


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
        # Parts at helpers, which get no second call before this time.
        self._held: set[str] = set()
        self._held_until = 0.0
        self._helped = 0
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
        for name in self._job.parts:
            self._fleet.budget.request(name, now)
            choice = self._planned.get(name)
            if name in self._held:
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
            self._helped,
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
            if now >= self._held_until:
                self._held.clear()
            for name in self._fanout.to_hedge(now):
                if name not in self._held:
                    self._hedge(name, now)
            next_time = self._fanout.next_time(now)
            if self._held:
                next_time = min(next_time, self._held_until)
            self._wake = trio.Event()
            with trio.move_on_at(next_time):
                await self._wake.wait()

    def _ask_helpers(self, now: float) -> None:
        """Leaves parts in other failure domains to VMs beside the leaves."""
        helpers = self._fleet.helpers
        gather = self._job.route.gather
        if helpers is None or gather is None or self._job.is_to_head:
            return
        far = {
            name: self._domains(name, now)
            for name, choice in self._planned.items()
            if choice.entry.domain != self._fleet.domain
        }
        terms = self._job.terms
        self._held_until = terms.hedge_at + PATIENCE_S
        call_s = min(
            terms.give_up_at - now,
            PART_TIME_FACTOR * self._job.route.target_s,
        )
        for helper, parts in helpers.assign(far, now):
            question = Question(
                self._job.route.name,
                self._job.head,
                self._job.body,
                self._job.request_id,
                self._job.fingerprint,
                parts,
                self._job.route.target_s * MS_PER_S,
                max(0.0, call_s) * MS_PER_S,
                max(0.0, terms.hedge_at - EARLIER_S - now) * MS_PER_S,
                max(0.0, terms.answer_at - REST_EARLIER_S - now) * MS_PER_S,
                gather.top,
            )
            self._held.update(parts)
            self._helped += len(parts)
            for name in parts:
                self._fanout.sent(name)
                telemetry.CALLS_BY_PURPOSE["first"].inc()
            helpers.ask(
                Exchange(
                    helper, question, self._helper_answered, self._helper_lost
                )
            )

    def _domains(self, name: str, now: float) -> set[str]:
        leaves = self._fleet.belief.registry.candidates(name, now)
        return {leaf.entry.domain for leaf in leaves}

    def _helper_answered(
        self, exchange: Exchange, answer: HelperAnswer
    ) -> None:
        now = trio.current_time()
        done = [part.part for part in answer.done]
        # Merged records can't be taken apart, so none of them is of use if
        # a second call was faster for one of their parts.
        is_usable = not answer.merged or self._fanout.are_open(done)
        for number, part in enumerate(answer.done):
            if not is_usable:
                end = CallEnd(None, Failure.LOST, "merged too late")
                self._part_ended(part.part, exchange.helper.name, end)
                continue
            # The first part stands for the records of all merged ones.
            is_bearer = bool(answer.merged) and number == 0
            records = answer.merged if is_bearer else part.records
            self._arrived(part.part, self._signed(part.signature, records), now)
        for failed in answer.failed:
            self._tried[failed.part].leaf_ids.add(failed.leaf_id)
            end = CallEnd(
                None, Failure(failed.failure), failed.detail, failed.was_sent
            )
            self._part_ended(failed.part, failed.leaf_id, end)
        for running in answer.running:
            self._tried[running.part].leaf_ids.add(running.leaf_id)
            if not answer.number:
                end = CallEnd(None, Failure.LOST, "no reply in time")
                self._part_ended(running.part, running.leaf_id, end)
        self._held.difference_update(exchange.question.parts)
        exchange.left = {running.part for running in answer.running}
        self._wake.set()

    def _helper_lost(self, exchange: Exchange, error: NoReplyError) -> None:
        failure = Failure.LOST if error.was_sent else Failure.NOT_RUN
        self._held.difference_update(exchange.question.parts)
        if self._fleet.helpers is not None:
            self._fleet.helpers.failed(exchange.helper, str(error))
        for name in exchange.left:
            end = CallEnd(None, failure, "helper lost", error.was_sent)
            self._part_ended(name, exchange.helper.name, end)
        self._wake.set()

    def _signed(self, signature: bytes, records: bytes) -> Reply:
        name = self._fleet.dialect.signature.lower()
        return Reply(200, [(name, signature)], records, keeps_alive=True)

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
        self._tried[name].leaf_ids.add(entry.leaf_id)
        self._fanout.sent(name)
        telemetry.CALLS_BY_PURPOSE[purpose].inc()
        on_end = functools.partial(self._ended, name, entry)
        self._calls.append(self._caller.send(choice, on_end, now))

    def _choose(self, name: str, now: float) -> Choice | None:
        """Returns the best leaf that the part has not been sent to."""
        return self._caller.choose(name, self._tried[name].leaf_ids, now)

    def _ended(self, name: str, entry: LeafEntry, end: CallEnd) -> None:
        if end.failure is None and end.reply is not None:
            self._arrived(name, end.reply, trio.current_time())
        else:
            self._part_ended(name, entry.leaf_id, end)
        self._wake.set()

    def _arrived(self, name: str, reply: Reply, now: float) -> None:
        if self._is_over or not self._fanout.arrived(name):
            return
        self._replies[name] = reply
        if self._fanout.parts_in == self._job.terms.least:
            self._enough_at = now

    def _part_ended(self, name: str, where: str, end: CallEnd) -> None:
        if self._is_over:
            self._fanout.failed(name, end.failure or Failure.LOST)
        else:
            self._failed(name, where, end, trio.current_time())

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
