"""Execution of one caller's request: calls to leaves, hedges and retries.

A search has one part for each of its services (shards); any other request has
a single part. Each part needs one successful reply of a leaf of its service. A
hedge is a call for a part whose first call has no reply yet; a retry is a call
for a part whose last call failed. A retry after a call that was sent is made
only if the retry budget allows it, and is counted in the Outcome. A retry after
a call that was never sent is limited by MAX_UNSENT_CALLS instead, and is not
counted in the Outcome. Both are spent from the budget.

A lost leaf may mean that the request crashes leaves. Until a leaf has answered,
further calls are then made one at a time (RepeatGate).

Some parts of a search may be delegated: another VM of the fleet (a helper)
makes their first calls. The request itself is passed in as a Job, which adds
the route and the deadlines.
"""

from __future__ import annotations

import functools
import math
from collections.abc import Collection
from dataclasses import dataclass, field

import trio
from sapphire_core.choice import Estimate
from sapphire_core.crashsuspects import CrashVerdict
from sapphire_core.fanout import Failure, FanOut, Verdict
from sapphire_core.leafset import LeafEntry
from sapphire_core.repeatgate import RepeatGate, Repetition

from sapphire_gateway import telemetry
from sapphire_gateway.calls import (
    Call,
    CallResult,
    cancel_calls,
    end_waiting,
)
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

# Share of the retry budget that is not available to hedges, so that it remains
# for retries: without a retry a part is missing, without a hedge it is only
# late.
RETRY_RESERVE = 0.3
# A part is abandoned after more than this many calls that were never sent,
# because the leaf was unreachable or the call was queued too long.
MAX_UNSENT_CALLS = 3
# A search gives its leaves this multiple of its target latency to reply: later
# replies are of no use, and each call occupies a slot of its leaf.
CALL_TIMEOUT_FACTOR = 2.0
MAX_LOGGED_FAILURES = 6


@dataclass(slots=True)
class _Attempts:
    leaf_ids: set[str] = field(default_factory=set)
    unsent_calls: int = 0


class RequestExecution:
    """Sends the calls of one request and collects their replies."""

    def __init__(self, job: Job, fleet: Fleet, reply_times: ReplyTimes) -> None:
        self._job = job
        self._fleet = fleet
        self._leaf_caller = LeafCaller(fleet, _call_spec(job), reply_times)
        self._hedge_delay = reply_times.hedge_delay
        self._fanout = FanOut(job.parts, job.policy)
        self._attempts = {part: _Attempts() for part in job.parts}
        self._gate = RepeatGate(job.is_canary)
        # Parts that wait for the gate, with the purpose of their calls.
        self._deferred: list[tuple[str, str]] = []
        self._planned: dict[str, LeafChoice] = {}
        self._calls: list[Call] = []
        self._replies: dict[str, Reply] = {}
        self._failure_reply: Reply | None = None
        self._failures: list[str] = []
        self._hedges = 0
        self._retries = 0
        self._is_finished = False
        self._is_cancelled = False
        self._must_end = False
        # Time at which the minimum number of parts for an answer was reached;
        # infinity before.
        self._min_parts_at = float("inf")
        self._delegated = DelegatedParts(job, fleet, self)
        self._wake = trio.Event()

    @property
    def passed_over(self) -> list[str]:
        """Ids of leaves that were not chosen for what they have asked for."""
        return sorted(self._leaf_caller.passed_over)

    def cancel(self) -> None:
        """Ends the request without an answer: the caller has disconnected."""
        self._is_cancelled = True
        self._wake.set()

    def end(self) -> None:
        """Ends the request with what has arrived: the VM is being stopped."""
        self._must_end = True
        self._wake.set()

    def plan(self, now: float) -> list[Estimate]:
        """Chooses the first leaf of each part.

        Returns:
            Time estimates of the parts that have a leaf.
        """
        for part in self._job.parts:
            choice = self._choose(part, now)
            if choice is not None:
                self._planned[part] = choice
        return [choice.estimate for choice in self._planned.values()]

    def room_wait_s(self, now: float) -> float:
        """Returns when enough parts are expected to have room at a leaf.

        Returns:
            Time in seconds from now, or infinity, if the missing leaves are
            not only busy with the limits that they name.
        """
        missing = self._job.policy.min_parts - len(self._planned)
        times = sorted(
            self._leaf_caller.room_at(part, now)
            for part in self._job.parts
            if part not in self._planned
        )
        return times[missing - 1] - now

    async def execute(self) -> Outcome:
        """Sends the planned calls and waits for the outcome."""
        now = trio.current_time()
        self._delegate_parts(now)
        # Includes the parts that helpers call for this VM.
        telemetry.CALLS_BY_PURPOSE["first"].inc(len(self._planned))
        for part in self._job.parts:
            # The retry budget is kept by service, and a part has the name of
            # its service. Each request enlarges the budget.
            self._fleet.budget.record_request(part, now)
        for part in self._first_calls():
            if not self._fanout.is_sent(part):
                self._call(part, "first", now)
        self._planned.clear()
        verdict = await self._await_verdict()
        self._is_finished = True
        if self._is_cancelled:
            self._cancel_calls()
        outcome = Outcome(
            verdict=verdict,
            replies=self._replies,
            failure_reply=self._failure_reply,
            # True also if a leaf got a part but did not reply.
            may_have_run=self._fanout.may_have_run,
            hedges=self._hedges,
            retries=self._retries,
            failures=self._failures,
            delegated_count=self._delegated.delegated_count,
            # There were enough parts before answer_at, the time from which an
            # answer no longer waits for the others.
            waited_for_missing_parts=self._min_parts_at
            < self._job.policy.answer_at
            <= trio.current_time(),
            was_ended=self._must_end,
            passed_over=self.passed_over,
            is_suspicious=self._gate.is_suspicious,
        )
        # This object is part of reference cycles, and may outlive the answer.
        self._replies = {}
        self._failure_reply = None
        if verdict is Verdict.GIVE_UP:
            # No leaf should start a request that has already failed, or whose
            # caller has disconnected.
            end_waiting(self._calls)
        return outcome

    def _first_calls(self) -> list[str]:
        """Returns the parts in the order of their first calls."""
        if not self._job.is_canary:
            return list(self._job.parts)
        return self._fleet.view.crashes.suspects.canary_order(
            self._job.fingerprint, self._job.parts
        )

    async def _await_verdict(self) -> Verdict:
        while True:
            now = trio.current_time()
            if self._is_cancelled:
                return Verdict.GIVE_UP
            # Its verdict at the end of time is that of a request that must end.
            verdict = self._fanout.verdict(math.inf if self._must_end else now)
            if verdict is not Verdict.WAIT:
                return verdict
            for part in self._fanout.to_hedge(now):
                if not self._delegated.is_hedge_deferred(part, now):
                    self._hedge(part, now)
            next_time = min(
                self._fanout.next_time(now),
                self._delegated.deferral_ends_at(now),
            )
            self._wake = trio.Event()
            with trio.move_on_at(next_time):
                await self._wake.wait()

    def _delegate_parts(self, now: float) -> None:
        # Helpers expect replies with a body, and replies to HEAD have none.
        if not self._job.is_search or self._job.is_to_head:
            return
        if self._job.is_canary:
            return
        call_timeout_s = min(
            self._job.policy.give_up_at - now,
            CALL_TIMEOUT_FACTOR * self._job.route.target_s,
        )
        planned_entries = {part: c.entry for part, c in self._planned.items()}
        self._delegated.delegate(
            remote_parts(planned_entries, self._fleet), call_timeout_s, now
        )

    def _hedge(self, part: str, now: float) -> None:
        """Sends a part to a second leaf if its reply could still be used."""
        if not self._gate.is_open or self._is_quarantined(now):
            return
        if not self._fleet.budget.allows_extra_call(part, now, RETRY_RESERVE):
            return
        choice = self._choose(part, now)
        if choice is None or choice.estimate.is_queued:
            # No other leaf, or the call would wait for a slot of the leaf.
            return
        # The answer waits for missing parts until answer_at. After that, it
        # waits until give_up_at for the minimum number of parts.
        policy = self._job.policy
        limit = (
            policy.answer_at if now < policy.answer_at else policy.give_up_at
        )
        if now + choice.estimate.time_s < limit:
            self._send(part, choice, now, "hedge")
            self._hedges += 1

    def _call(self, part: str, purpose: str, now: float) -> None:
        """Makes a first call or a retry, defers it, or abandons the part."""
        repetition = (
            Repetition.DENIED
            if self._is_quarantined(now)
            else self._gate.request_call(part)
        )
        if repetition is Repetition.DEFERRED:
            self._deferred.append((part, purpose))
            return
        if repetition is Repetition.ALLOWED:
            if self._try_call(part, purpose, now):
                return
            self._gate.record_failure(part, is_lost=False)
        self._fanout.abandon(part)

    def _try_call(self, part: str, purpose: str, now: float) -> bool:
        planned = self._planned.pop(part, None)
        choice = planned or self._choose(part, now)
        if choice is None:
            # No leaf of the service may get a request now.
            self._add_failure(f"{part}: no leaf")
            return False
        self._send(part, choice, now, purpose)
        self._retries += purpose == "retry"
        return True

    def _release_deferred(self, now: float) -> None:
        """Makes the deferred calls that the gate lets pass."""
        deferred, self._deferred = self._deferred, []
        for part, purpose in deferred:
            if self._fanout.are_open([part]):
                self._call(part, purpose, now)

    def _is_quarantined(self, now: float) -> bool:
        verdict = self._fleet.view.crashes.verdict(self._job.fingerprint, now)
        return verdict is CrashVerdict.QUARANTINED

    def _send(
        self, part: str, choice: LeafChoice, now: float, purpose: str
    ) -> None:
        entry = choice.entry
        if purpose != "first":
            self._fleet.budget.spend(part, now)
            telemetry.CALLS_BY_PURPOSE[purpose].inc()
        self._attempts[part].leaf_ids.add(entry.leaf_id)
        self._fanout.record_sent(part)
        on_end = functools.partial(
            self._handle_result, part, entry, purpose == "first"
        )
        self._calls.append(self._leaf_caller.send(choice, on_end, now))

    def _choose(self, part: str, now: float) -> LeafChoice | None:
        """Returns the best leaf that has not been tried for the part."""
        return self._leaf_caller.choose(
            part, self._attempts[part].leaf_ids, now
        )

    def _handle_result(
        self, part: str, entry: LeafEntry, is_first: bool, result: CallResult
    ) -> None:
        if result.failure is None and result.reply is not None:
            if is_first:
                # Also of a part that a hedge has completed: else only the
                # quick first calls would count.
                elapsed_s = trio.current_time() - self._job.received_at
                self._hedge_delay.record_completion(elapsed_s)
            self.handle_reply(part, result.reply)
        else:
            self.handle_failure(part, entry.leaf_id, result)

    def are_open(self, parts: Collection[str]) -> bool:
        """Returns whether all of the parts still need a successful reply."""
        return self._fanout.are_open(parts)

    def record_delegation(self, part: str) -> None:
        """Records that a part was delegated; counts as its first call."""
        self._fanout.record_sent(part)

    def record_suspicion(self) -> None:
        """Records that a helper suspects the request of crashing leaves."""
        self._gate.suspect()

    def record_leaf(self, part: str, leaf_id: str) -> None:
        """Records the leaf that a helper has called for a part."""
        self._attempts[part].leaf_ids.add(leaf_id)

    def handle_helper_response(self) -> None:
        """Handles a helper's response, after which its parts may be hedged."""
        if not self._is_finished:
            self._wake_if_needed(trio.current_time())

    def handle_reply(self, part: str, reply: Reply) -> None:
        """Handles a successful reply, unless its part needs none any more."""
        if self._is_finished or not self._fanout.record_reply(part):
            return
        self._replies[part] = reply
        now = trio.current_time()
        self._gate.record_answer()
        self._leaf_caller.record_answer()
        self._release_deferred(now)
        if self._fanout.successful_parts == self._job.policy.min_parts:
            self._min_parts_at = now
        self._wake_if_needed(now)

    def handle_failure(
        self, part: str, callee: str, result: CallResult
    ) -> None:
        """Handles a call that ended without a successful reply.

        Args:
            part: The part.
            callee: Id of the leaf, or name of the helper, that was called.
            result: Result of the call.
        """
        if self._is_finished:
            # The verdict is known, but the Outcome may not be built yet, and
            # its may_have_run is true if any call counts as running. Calls
            # that _cancel_calls ends in between must not count. A call that
            # ends later does not change the Outcome.
            self._fanout.record_failure(part, result.failure or Failure.LOST)
            return
        now = trio.current_time()
        self._gate.record_failure(part, _is_leaf_lost(result))
        self._retry_or_abandon(part, callee, result, now)
        self._release_deferred(now)
        self._wake_if_needed(now)

    def _wake_if_needed(self, now: float) -> None:
        """Wakes the request's task if it may have to act on a result.

        Before hedge_at no hedge is sent, so the task acts only if the verdict
        has changed. Most replies do not change it, and not waking the task for
        them saves processor time, as a search has one reply per part. From
        hedge_at on, each result may also change which hedges are due.
        """
        is_hedging = now >= self._job.policy.hedge_at
        if is_hedging or self._fanout.verdict(now) is not Verdict.WAIT:
            self._wake.set()

    def _retry_or_abandon(
        self, part: str, callee: str, result: CallResult, now: float
    ) -> None:
        failure = result.failure or Failure.LOST
        telemetry.FAILED_CALLS.labels(failure.value).inc()
        self._add_failure(f"{part}/{callee}: {result.detail}")
        if failure is Failure.ANSWERED:
            # The leaf ran the request and replied with an error.
            self._failure_reply = result.reply
        if not result.was_sent:
            self._handle_unsent_result(part, now)
            return
        may_retry = self._fanout.record_failure(part, failure)
        if may_retry and self._fleet.budget.allows_extra_call(part, now):
            self._call(part, "retry", now)
        else:
            self._fanout.abandon(part)

    def _handle_unsent_result(self, part: str, now: float) -> None:
        """Retries or abandons a part whose call ended before it was sent."""
        self._fanout.record_unsent(part)
        attempts = self._attempts[part]
        attempts.unsent_calls += 1
        if attempts.unsent_calls <= MAX_UNSENT_CALLS:
            self._call(part, "resend", now)
        else:
            self._fanout.abandon(part)

    def _add_failure(self, text: str) -> None:
        if len(self._failures) < MAX_LOGGED_FAILURES:
            self._failures.append(text)

    def _cancel_calls(self) -> None:
        """Ends the calls early after the caller has disconnected.

        Those that helpers make end, too. If the request must not be repeated,
        this method does nothing, so that a submission that was sent takes
        effect even if its caller has disconnected.
        """
        if not self._job.policy.is_repeatable:
            return
        cancel_calls(self._calls, trio.current_time())
        self._delegated.cancel()


def _is_leaf_lost(result: CallResult) -> bool:
    """Returns whether the leaf of a failed call may have crashed."""
    return result.failure is Failure.LOST and result.is_closed_by_server


def _call_spec(job: Job) -> CallSpec:
    call_timeout_s = (
        CALL_TIMEOUT_FACTOR * job.route.target_s if job.is_search else math.inf
    )
    return CallSpec(
        request_head=job.request_head,
        body=job.body,
        request_id=job.request_id,
        fingerprint=job.fingerprint,
        is_to_head=job.is_to_head,
        is_repeatable=job.policy.is_repeatable,
        target_s=job.route.target_s,
        ends_at=job.policy.give_up_at,
        call_timeout_s=call_timeout_s,
        is_canary=job.is_canary,
        top=job.route.gather.top if job.route.gather is not None else None,
    )
