"""Execution of one request: calls, hedges, retries and their replies."""

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
from sapphire_gateway.calls import Call, CallResult
from sapphire_gateway.delegated_parts import DelegatedParts, remote_parts
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.job import Job, Outcome
from sapphire_gateway.leafcalls import (
    CallSpec,
    LeafCaller,
    LeafChoice,
    ReplyTimes,
)
from sapphire_gateway.messages import Reply

# Share of the retry budget that hedges leave to retries: without a retry a part
# is missing, without a hedge it is only late.
HEDGE_RESERVE = 0.3
# A part is abandoned if more than this many leaves were unreachable for it.
MAX_UNREACHABLE = 3
# Calls may run on for this long after the caller has disconnected, so that
# short ones end without closing their connections.
CANCEL_DELAY_S = 0.1
# A search allows its leaves this multiple of its target latency: later parts
# are of no use, and each occupies a slot of its leaf.
PART_TIME_FACTOR = 2.0
MAX_LOGGED_FAILURES = 6


@dataclass(slots=True)
class _Attempts:
    leaf_ids: set[str] = field(default_factory=set)
    unreachable: int = 0


class Run:
    """Sends the calls of a request and collects their replies."""

    def __init__(self, job: Job, fleet: Fleet, reply_times: ReplyTimes) -> None:
        self._job = job
        self._fleet = fleet
        self._leaf_caller = LeafCaller(fleet, _call_spec(job), reply_times)
        self._fanout = FanOut(job.parts, job.terms)
        self._attempts = {name: _Attempts() for name in job.parts}
        self._planned: dict[str, LeafChoice] = {}
        self._calls: list[Call] = []
        self._replies: dict[str, Reply] = {}
        self._failure_reply: Reply | None = None
        self._failures: list[str] = []
        self._hedges = 0
        self._retries = 0
        self._is_finished = False
        self._is_cancelled = False
        self._sufficient_at = float("inf")
        self._helped = DelegatedParts(job, fleet, self)
        self._wake = trio.Event()

    def cancel(self) -> None:
        """Ends the request without an answer: the caller has disconnected."""
        self._is_cancelled = True
        self._wake.set()

    def plan(self, now: float) -> list[Estimate]:
        """Chooses the first leaf of each part.

        Returns:
            Time estimates of the parts that have a leaf.
        """
        for name in self._job.parts:
            choice = self._choose(name, now)
            if choice is not None:
                self._planned[name] = choice
        return [choice.estimate for choice in self._planned.values()]

    async def execute(self) -> Outcome:
        """Sends the planned calls and waits for the outcome."""
        now = trio.current_time()
        self._delegate_parts(now)
        telemetry.CALLS_BY_PURPOSE["first"].inc(len(self._planned))
        for name in self._job.parts:
            self._fleet.budget.record_request(name, now)
            choice = self._planned.get(name)
            if self._fanout.is_sent(name):
                continue
            if choice is not None:
                self._send(name, choice, now, "first")
            else:
                self._add_failure(f"{name}: no leaf")
                self._fanout.abandon(name)
        verdict = await self._await_verdict()
        self._is_finished = True
        if self._is_cancelled:
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
            self._sufficient_at
            < self._job.terms.answer_at
            <= trio.current_time(),
        )
        if verdict is Verdict.GIVE_UP:
            self._end_unsent_calls()
        return outcome

    async def _await_verdict(self) -> Verdict:
        while True:
            now = trio.current_time()
            if self._is_cancelled:
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

    def _delegate_parts(self, now: float) -> None:
        if self._job.route.gather is None or self._job.is_to_head:
            return
        leaf_time_s = min(
            self._job.terms.give_up_at - now,
            PART_TIME_FACTOR * self._job.route.target_s,
        )
        planned = {name: c.entry for name, c in self._planned.items()}
        self._helped.ask(remote_parts(planned, self._fleet), leaf_time_s, now)

    def _hedge(self, name: str, now: float) -> None:
        """Sends a part to a second leaf if its reply could still be used."""
        if not self._fleet.budget.allows_extra_call(name, now, HEDGE_RESERVE):
            return
        choice = self._choose(name, now)
        if choice is None or choice.estimate.is_queued:
            return
        terms = self._job.terms
        limit = terms.answer_at if now < terms.answer_at else terms.give_up_at
        if now + choice.estimate.time_s < limit:
            self._send(name, choice, now, "hedge")
            self._hedges += 1

    def _retry(self, name: str, now: float) -> bool:
        choice = self._choose(name, now)
        if choice is None:
            return False
        self._send(name, choice, now, "retry")
        return True

    def _send(
        self, name: str, choice: LeafChoice, now: float, purpose: str
    ) -> None:
        entry = choice.entry
        if purpose != "first":
            self._fleet.budget.spend(name, now)
            telemetry.CALLS_BY_PURPOSE[purpose].inc()
        self._attempts[name].leaf_ids.add(entry.leaf_id)
        self._fanout.record_sent(name)
        on_end = functools.partial(self._handle_result, name, entry)
        self._calls.append(self._leaf_caller.send(choice, on_end, now))

    def _choose(self, name: str, now: float) -> LeafChoice | None:
        """Returns the best leaf that has not been tried for the part."""
        return self._leaf_caller.choose(
            name, self._attempts[name].leaf_ids, now
        )

    def _handle_result(
        self, name: str, entry: LeafEntry, result: CallResult
    ) -> None:
        if result.failure is None and result.reply is not None:
            self.arrived(name, result.reply)
        else:
            self.ended(name, entry.leaf_id, result)

    def are_open(self, parts: Collection[str]) -> bool:
        """Returns whether all of the parts wait for a successful reply."""
        return self._fanout.are_open(parts)

    def sent(self, part: str) -> None:
        """Records that the first call for a part was sent."""
        self._fanout.record_sent(part)

    def tried(self, part: str, leaf_id: str) -> None:
        """Records a leaf that a part was sent to."""
        self._attempts[part].leaf_ids.add(leaf_id)

    def arrived(self, part: str, reply: Reply) -> None:
        """Records a successful reply."""
        if self._is_finished or not self._fanout.record_reply(part):
            return
        self._replies[part] = reply
        now = trio.current_time()
        if self._fanout.answered_parts == self._job.terms.min_parts:
            self._sufficient_at = now
        self._wake_if_needed(now)

    def ended(self, part: str, where: str, result: CallResult) -> None:
        """Handles the end of a call without a successful reply."""
        if self._is_finished:
            self._fanout.record_failure(part, result.failure or Failure.LOST)
            return
        now = trio.current_time()
        self._handle_failure(part, where, result, now)
        self._wake_if_needed(now)

    def _wake_if_needed(self, now: float) -> None:
        """Wakes the request's task if the verdict or the due hedges may change.

        Before hedges are due, most replies change neither. Not waking the task
        for them saves processor time, as a search has one reply per part.
        """
        is_hedging = now >= self._job.terms.hedge_at
        if is_hedging or self._fanout.verdict(now) is not Verdict.WAIT:
            self._wake.set()

    def _handle_failure(
        self, name: str, where: str, result: CallResult, now: float
    ) -> None:
        failure = result.failure or Failure.LOST
        telemetry.FAILED_CALLS.labels(failure.value).inc()
        self._add_failure(f"{name}/{where}: {result.detail}")
        if failure is Failure.ANSWERED:
            self._failure_reply = result.reply
        if not result.was_sent:
            self._handle_unreachable(name, now)
            return
        may_repeat = self._fanout.record_failure(name, failure)
        if (
            may_repeat
            and self._fleet.budget.allows_extra_call(name, now)
            and self._retry(name, now)
        ):
            self._retries += 1
            return
        self._fanout.abandon(name)

    def _handle_unreachable(self, name: str, now: float) -> None:
        self._fanout.record_unsent(name)
        attempts = self._attempts[name]
        attempts.unreachable += 1
        is_allowed = attempts.unreachable <= MAX_UNREACHABLE
        if not (is_allowed and self._retry(name, now)):
            self._fanout.abandon(name)

    def _add_failure(self, text: str) -> None:
        if len(self._failures) < MAX_LOGGED_FAILURES:
            self._failures.append(text)

    def _cancel_calls(self) -> None:
        """Makes running calls expire soon; calls of a submission run on."""
        if not self._job.terms.is_repeatable:
            return
        limit = trio.current_time() + CANCEL_DELAY_S
        for call in self._calls:
            call.is_cancelled = True
            call.expires_at = min(call.expires_at, limit)
        self._end_unsent_calls()

    def _end_unsent_calls(self) -> None:
        for call in self._calls:
            if not call.sent_at and not call.is_over:
                call.complete(
                    CallResult(
                        None,
                        Failure.NOT_RUN,
                        "given up",
                        was_sent=False,
                    )
                )


def _call_spec(job: Job) -> CallSpec:
    is_search = job.route.gather is not None
    return CallSpec(
        job.head,
        job.body,
        job.request_id,
        job.fingerprint,
        job.is_to_head,
        job.terms.is_repeatable,
        job.route.target_s,
        job.terms.give_up_at,
        PART_TIME_FACTOR * job.route.target_s if is_search else math.inf,
    )
