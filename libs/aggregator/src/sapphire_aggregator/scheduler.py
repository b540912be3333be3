"""Scheduling of the requests to one leaf."""

from __future__ import annotations

import collections
import contextlib
import itertools
import math
from collections.abc import AsyncIterator, Callable
from typing import Any

import trio
from sapphire_core.errors import LeafError, LeafUnreachableError
from sapphire_core.quarantine import Verdict
from sapphire_core.window import (
    CallOutcome,
    LeafLimits,
    ReplyTimeEstimate,
    State,
    Window,
)
from sapphire_wire.gen.ttypes import ShardStatus
from sapphire_wire.leaf import LeafIndex

from sapphire_aggregator import log, metrics
from sapphire_aggregator.backlog import (
    Backlog,
    Batch,
    Call,
    CallResult,
    Placement,
    QueueItem,
    placement_of,
)
from sapphire_aggregator.context import Client, LeafContext
from sapphire_aggregator.dispatcher import Dispatcher
from sapphire_aggregator.errormap import call_outcome_of
from sapphire_aggregator.sendright import SendRight

# Maximum number of full batches queued per slot. At a usual reply time of
# 10 ms, a query queued behind more of them would miss a deadline of 170 ms.
MAX_QUEUED_ROUNDS = 16
INDEX_TIMEOUT_S = 1.0
# After a longer time without the send right, another member may have sent
# requests to the leaf, so its state is unknown.
MAX_RIGHT_GAP_S = 1.0
_UNUSABLE = {
    State.DOWN: ShardStatus.FAILED,
    State.DRAINING: ShardStatus.DRAINING,
}


class LeafScheduler:
    """Schedules the requests to one leaf of one service.

    It queues queries, groups them into batches, and starts batches and
    submissions as the concurrency limits and the send right permit.

    Attributes:
        index: The index versions that the leaf reported last, with its
            draining flag; None while unknown.
        next_poll_at: When this report is to be read again.
    """

    def __init__(
        self,
        context: LeafContext,
        service: str,
        address: str,
        failure_domain: str,
        limits: LeafLimits,
        client: Client,
        reply_times: ReplyTimeEstimate | None = None,
    ) -> None:
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.index: LeafIndex | None = None
        self.next_poll_at = -math.inf
        self._context = context
        self._client = client
        self._window = Window(limits, reply_times)
        self._right = SendRight(context.rights, address, failure_domain)
        self._dispatcher = Dispatcher(
            context, service, address, client, self._window, self._right
        )
        self._backlog = Backlog()
        # One event per submission that waits for a slot, in order of arrival.
        # It is set when a slot is reserved for the submission.
        self._waiting_submissions: collections.deque[trio.Event] = (
            collections.deque()
        )
        # Slots reserved for batch runners and submissions whose tasks have not
        # started a request yet.
        self._starting_runners = 0
        self._granted_submissions = 0
        # A suspect is a query that was running when a leaf crashed. It has the
        # leaf to itself, so that a lost connection is not attributed to other
        # queries. It waits until no request is running, and nothing else starts
        # in the meantime.
        self._suspect_running = False
        self._suspect_waiting = False
        self._exclusive_batch: Batch | None = None
        self._is_held = False
        self._right_lost_at = -math.inf
        self._is_polling = False
        self._resume_at = math.inf
        self._logged_state = self._window.state

    @property
    def window(self) -> Window:
        """Tracks the leaf's state, and derives its concurrency limits."""
        return self._window

    @property
    def dispatcher(self) -> Dispatcher:
        """Sends the batches, and counts them and their failures."""
        return self._dispatcher

    @property
    def queued(self) -> int:
        """Number of queued queries."""
        return len(self._backlog)

    @property
    def is_held(self) -> bool:
        """Whether this member held the send right at the last check."""
        return self._is_held

    @property
    def is_out(self) -> bool:
        """Whether the leaf was taken out of service."""
        return self._right.is_out

    @property
    def is_idle(self) -> bool:
        """Whether no request is running, queued or about to start."""
        return not (
            self._window.running
            or self._backlog
            or self._starting_runners
            or self._granted_submissions
            or self._is_polling
        )

    def expected_wait_s(self) -> float:
        """Returns the expected seconds until a new query has its reply."""
        max_queries = self._window.max_queries()
        rounds = 1 + len(self._backlog) // max(1, max_queries)
        return rounds * self._window.expected_s(
            min(max_queries, self.queued + 1)
        )

    def set_out(self, is_out: bool) -> None:
        """Takes the leaf out of service, or returns it to service.

        A leaf that returns to service starts in the cold state.
        """
        if is_out and not self._right.is_out:
            self._finish_queued(ShardStatus.DRAINING)
        if self._right.is_out and not is_out:
            self._window.reset()
        self._right.is_out = is_out

    def set_limits(self, limits: LeafLimits) -> None:
        """Sets new limits, without effect on running requests."""
        self._window.set_limits(limits)

    def refresh_right(self, now: float) -> bool:
        """Checks the send right again and returns whether it changed."""
        held = self._right.until(now) is not None
        if held == self._is_held:
            return False
        self._is_held = held
        if held:
            if now - self._right_lost_at > MAX_RIGHT_GAP_S:
                self._window.reset()
                self.index = None
            self.next_poll_at = -math.inf
        else:
            self._right_lost_at = now
            self._finish_queued(ShardStatus.NOT_HOLDER)
        return True

    def refuse_queued(self) -> None:
        """Refuses all queued queries, for a planned stop."""
        self._finish_queued(ShardStatus.NOT_HOLDER)

    def add(self, call: Call) -> None:
        """Queues a call, or ends it at once if it is refused."""
        refusal = self._refusal(call)
        if refusal is not None:
            call.finish(CallResult(refusal))
            return
        self._backlog.add(call)
        self.start_queued()

    def start_queued(self) -> None:
        """Gives free slots to submissions first, then to queued queries."""
        now = trio.current_time()
        # Allows for the event loop's delay in the measured reply times.
        self._window.local_delay_s = self._context.lag.recent_s
        free = (
            self._free_slots(now)
            - self._starting_runners
            - self._granted_submissions
        )
        while free > 0 and self._waiting_submissions:
            self._waiting_submissions.popleft().set()
            self._granted_submissions += 1
            free -= 1
        if not self._backlog:
            return
        if free > 0:
            # The runner takes its batch when its task is first scheduled, so
            # queries of the same pass of the event loop share a batch.
            self._starting_runners += 1
            self._context.nursery.start_soon(self._run_batches)
        elif now < self._window.paused_until < self._resume_at:
            self._resume_at = self._window.paused_until
            self._context.nursery.start_soon(self._start_after_pause)

    async def submit(
        self, key: str, body: str, deadline: float, on_send: Callable[[], None]
    ) -> Any:
        """Runs a submission, subject to the window and the send right.

        Args:
            key: Idempotency key.
            body: Body of the submission.
            deadline: Absolute time.
            on_send: Called before the connection is opened, once the send
                right has been checked. If it was not called, the leaf has not
                received the submission.

        Raises:
            RightLostError: The right ended before the send.
            LeafError: The call failed.
        """
        calls = itertools.count()

        def remaining() -> float:
            # The client calls this before it opens a connection, and again
            # immediately before it sends. From the first call on, the
            # submission may be sent.
            left = self._right.remaining(deadline)
            if next(calls) == 0:
                on_send()
            return left

        call_outcome = CallOutcome.NEUTRAL
        async with self._slot(deadline) as end:
            try:
                answer = await self._client.submit(
                    key, body, remaining=remaining
                )
                call_outcome = CallOutcome.GOOD
            except LeafError as error:
                call_outcome = call_outcome_of(error)
                raise
            finally:
                end(call_outcome)
        return answer

    async def poll(self) -> None:
        """Reads the leaf's index versions, unless a read is in progress."""
        if self._is_polling:
            return
        self._is_polling = True
        try:
            index = await self._client.index(INDEX_TIMEOUT_S)
        except LeafError as error:
            self._window.observe(call_outcome_of(error), trio.current_time())
            if isinstance(error, LeafUnreachableError):
                self.index = None
        else:
            self._adopt_index(index)
        finally:
            self._is_polling = False
        self._log_state()
        self._finish_queued_if_unusable()
        self.start_queued()

    async def aclose(self) -> None:
        """Closes all connections to the leaf."""
        await self._client.aclose()

    def _adopt_index(self, index: LeafIndex) -> None:
        self.index = index
        now = trio.current_time()
        if index.draining:
            self._window.observe(CallOutcome.DRAINING, now)
        else:
            # This can end the DOWN or DRAINING state, but does not make the
            # leaf warm.
            self._window.record_reachable(now)

    def _refusal(self, call: Call) -> ShardStatus | None:
        """Returns the status with which a call is refused, or None."""
        if not self._is_held:
            return ShardStatus.NOT_HOLDER
        now = trio.current_time()
        state = self._window.state
        paused = now < self._window.paused_until
        # After the pause a draining leaf accepts calls again: the window lets
        # one request through to find out whether it has returned to service.
        if self._right.is_out or (state is State.DRAINING and paused):
            return ShardStatus.DRAINING
        if state is State.DOWN:
            return ShardStatus.FAILED
        if not self._backlog.has_identical(call) and not self._make_room(call):
            return ShardStatus.SHED
        return None

    def _make_room(self, call: Call) -> bool:
        max_queries = self._window.max_queries()
        limit = MAX_QUEUED_ROUNDS * self._window.limits.slots * max_queries
        if len(self._backlog) < limit:
            return True
        self._backlog.remove_finished()
        if len(self._backlog) < limit:
            return True
        dropped = self._backlog.evict_last(call.query.priority)
        if dropped is None:
            return False
        dropped.finish(CallResult(ShardStatus.SHED))
        return True

    def _finish_queued(self, status: ShardStatus) -> None:
        for item in self._backlog.drain():
            item.finish(CallResult(status))

    def _finish_queued_if_unusable(self) -> None:
        status = _UNUSABLE.get(self._window.state)
        if status is not None:
            self._finish_queued(status)

    async def _run_batches(self) -> None:
        """Sends batches until the queue is empty or no slot is free."""
        self._starting_runners -= 1
        try:
            while (batch := self._next_batch()) is not None:
                await self._run_batch(batch)
        except Exception as error:
            # A bug here must not end the daemon or leave calls in the queue.
            metrics.UNEXPECTED_ERRORS.labels("runner").inc()
            log.unexpected_error("runner", error)
            self._finish_queued(ShardStatus.FAILED)

    def _next_batch(self) -> Batch | None:
        now = trio.current_time()
        if self._has_no_requests():
            self._suspect_waiting = False
        # Submissions take precedence. If the granted and waiting ones are at
        # least as many as the free slots, no slot is left for a batch.
        # start_queued reserves the slots or, during a pause, schedules the next
        # start.
        submissions = self._granted_submissions + len(self._waiting_submissions)
        if self._free_slots(now) <= submissions:
            self.start_queued()
            return None
        return self._backlog.take(
            self._window.max_queries(), now, self._placement
        )

    def _has_no_requests(self) -> bool:
        return not self._window.running and not self._granted_submissions

    def _free_slots(self, now: float) -> int:
        if self._suspect_running:
            return 0
        if self._suspect_waiting and not self._has_no_requests():
            return 0
        return self._window.free_slots(now)

    def _placement(self, item: QueueItem) -> Placement:
        if self._suspect_waiting:
            return Placement.LATER
        single_query_runs = self._context.single_query_runs
        fingerprint = item.query.fingerprint
        verdict = self._context.quarantine.verdict(
            fingerprint, trio.current_time()
        )
        placement = placement_of(item, verdict, single_query_runs)
        if placement is Placement.LATER:
            single_query_runs.call_when_finished(fingerprint, self.start_queued)
        is_suspect = placement is Placement.ALONE and verdict is Verdict.SUSPECT
        if is_suspect and not self._has_no_requests():
            self._suspect_waiting = True
            return Placement.LATER
        return placement

    async def _run_batch(self, batch: Batch) -> None:
        started = trio.current_time()
        token = self._window.start(started, len(batch.items))
        fingerprint = batch.items[0].query.fingerprint
        if batch.alone:
            self._context.single_query_runs.start(fingerprint)
            verdict = self._context.quarantine.verdict(fingerprint, started)
            self._suspect_running = verdict is Verdict.SUSPECT
        self._update_exclusive(batch)
        # Another batch may run at the same time if a slot is left.
        self.start_queued()
        call_outcome = CallOutcome.NEUTRAL
        try:
            call_outcome = await self._dispatcher.send(batch, started, token)
        finally:
            # After an unexpected error, some calls have no result yet.
            _finish_all(batch, CallResult(ShardStatus.FAILED))
            self._window.local_delay_s = self._context.lag.recent_s
            self._window.finish(token, trio.current_time(), call_outcome)
            if batch.alone:
                # This resets the flag only at the end of the suspect itself:
                # no other batch can end while a suspect runs, since a suspect
                # has the leaf to itself.
                self._suspect_running = False
                self._context.single_query_runs.finish(fingerprint)
        if self._dispatcher.is_index_stale:
            self._dispatcher.is_index_stale = False
            self.next_poll_at = -math.inf
        self._log_state()
        self._finish_queued_if_unusable()

    def _update_exclusive(self, batch: Batch | None) -> None:
        """Updates which batch, if any, has had the leaf to itself.

        A request that starts while a batch is running ends the exclusive use
        of the leaf by that batch.

        Args:
            batch: The batch that starts; None for a submission.
        """
        if self._exclusive_batch is not None:
            self._exclusive_batch.exclusive = False
        self._exclusive_batch = None
        if batch is not None and batch.alone and self._window.running == 1:
            batch.exclusive = True
            self._exclusive_batch = batch

    @contextlib.asynccontextmanager
    async def _slot(
        self, deadline: float
    ) -> AsyncIterator[Callable[[CallOutcome], None]]:
        """Acquires a slot, with precedence over queued queries.

        Yields a function to call with the outcome of the request.
        """
        granted = trio.Event()
        self._waiting_submissions.append(granted)
        self.start_queued()
        try:
            with trio.move_on_at(deadline):
                await granted.wait()
        finally:
            if granted.is_set():
                self._granted_submissions -= 1
            else:
                self._waiting_submissions.remove(granted)
        if not granted.is_set():
            # Reported like a failed connection: nothing was sent.
            raise LeafUnreachableError(
                "no slot became free before the deadline."
            )
        # A submission is recorded as a request without queries.
        token = self._window.start(trio.current_time(), queries=0)
        self._update_exclusive(None)

        def end(call_outcome: CallOutcome) -> None:
            self._window.finish(token, trio.current_time(), call_outcome)

        try:
            yield end
        finally:
            self._log_state()
            self._finish_queued_if_unusable()
            self.start_queued()

    async def _start_after_pause(self) -> None:
        await trio.sleep_until(self._resume_at)
        self._resume_at = math.inf
        self.start_queued()

    def _log_state(self) -> None:
        before, state = self._logged_state, self._window.state
        if state is not before:
            self._logged_state = state
            log.leaf_state(self.service, self.address, before, state)


def _finish_all(batch: Batch, result: CallResult) -> None:
    for item in batch.items:
        item.finish(result)
