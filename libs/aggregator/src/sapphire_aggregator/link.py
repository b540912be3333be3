"""One leaf: its window, its queue, and the tasks that call it."""

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
    Admit,
    Backlog,
    Batch,
    Call,
    Item,
    Outcome,
    admit,
)
from sapphire_aggregator.context import Client, Context
from sapphire_aggregator.dispatcher import Dispatcher
from sapphire_aggregator.sendright import SendRight
from sapphire_aggregator.verdict import evidence_of

# Full batches per slot that may wait. A request that waits for more rounds
# than this at a usual reply time of 10 ms would miss a deadline of 170 ms.
QUEUE_ROUNDS = 16
INDEX_TIMEOUT_S = 1.0
# After a longer time without the send right, another member may have used
# the leaf, so nothing is known about it.
FORGET_AFTER_S = 1.0
_UNUSABLE = {
    State.DOWN: ShardStatus.FAILED,
    State.DRAINING: ShardStatus.DRAINING,
}


class LeafLink:
    """One leaf of one service."""

    def __init__(
        self,
        context: Context,
        service: str,
        address: str,
        failure_domain: str,
        shape: LeafLimits,
        client: Client,
        prior: ReplyTimeEstimate | None = None,
    ) -> None:
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.index: LeafIndex | None = None
        self.next_poll = -math.inf
        self._context = context
        self._client = client
        self._window = Window(shape, prior)
        self._right = SendRight(context.rights, address, failure_domain)
        self._dispatcher = Dispatcher(
            context, service, address, client, self._window, self._right
        )
        self._backlog = Backlog()
        self._submitters: collections.deque[trio.Event] = collections.deque()
        # Slots promised to runners and submissions whose tasks have not yet
        # used them.
        self._starting = 0
        self._granted = 0
        # A suspect runs alone on the leaf, so that a lost connection can't
        # put the blame on the queries next to it.
        self._suspect_runs = False
        self._suspect_waits = False
        self._sole: Batch | None = None
        self._is_held = False
        self._lost_at = -math.inf
        self._is_polling = False
        self._wake_at = math.inf
        self._logged_state = self._window.state

    @property
    def window(self) -> Window:
        """State and limits of the leaf."""
        return self._window

    @property
    def dispatcher(self) -> Dispatcher:
        """Sends the batches and counts them."""
        return self._dispatcher

    @property
    def queued(self) -> int:
        """Queries that wait."""
        return len(self._backlog)

    @property
    def is_held(self) -> bool:
        """Whether this member held the send right when last checked."""
        return self._is_held

    @property
    def is_out(self) -> bool:
        """Whether the leaf was taken out of service."""
        return self._right.is_out

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs or waits."""
        return not (
            self._window.running
            or self._backlog
            or self._starting
            or self._granted
            or self._is_polling
        )

    def expected_wait_s(self) -> float:
        """Returns the expected seconds until a new query is answered."""
        most = self._window.max_queries()
        rounds = 1 + len(self._backlog) // max(1, most)
        return rounds * self._window.expected_s(min(most, self.queued + 1))

    def set_out(self, is_out: bool) -> None:
        """Takes the leaf out of service or puts it back, cold."""
        if is_out and not self._right.is_out:
            self._end_waiting(ShardStatus.DRAINING)
        if self._right.is_out and not is_out:
            self._window.reset()
        self._right.is_out = is_out

    def reshape(self, shape: LeafLimits) -> None:
        """Adopts new limits without touching running work."""
        self._window.set_limits(shape)

    def refresh_right(self, now: float) -> bool:
        """Checks the send right again; returns whether it changed."""
        held = self._right.until(now) is not None
        if held == self._is_held:
            return False
        self._is_held = held
        if held:
            if now - self._lost_at > FORGET_AFTER_S:
                self._window.reset()
                self.index = None
            self.next_poll = -math.inf
        else:
            self._lost_at = now
            self._end_waiting(ShardStatus.NOT_HOLDER)
        return True

    def refuse_waiting(self) -> None:
        """Ends all queries that wait, for a planned stop."""
        self._end_waiting(ShardStatus.NOT_HOLDER)

    def add(self, call: Call) -> None:
        """Queues a call, or ends it at once if it can't run here."""
        refusal = self._refusal(call)
        if refusal is not None:
            call.finish(Outcome(refusal))
            return
        self._backlog.add(call)
        self.pump()

    def pump(self) -> None:
        """Starts a request if a slot is free and something waits."""
        now = trio.current_time()
        self._window.slack_s = self._context.lag.recent_s
        free = self._free_slots(now) - self._starting - self._granted
        while free > 0 and self._submitters:
            self._submitters.popleft().set()
            self._granted += 1
            free -= 1
        if not self._backlog:
            return
        if free > 0:
            # The runner takes its batch when it first runs, so queries that
            # arrive in the same pass of the event loop share it.
            self._starting += 1
            self._context.nursery.start_soon(self._run)
        elif now < self._window.paused_until < self._wake_at:
            self._wake_at = self._window.paused_until
            self._context.nursery.start_soon(self._pump_after_pause)

    async def submit(
        self, key: str, body: str, deadline: float, on_send: Callable[[], None]
    ) -> Any:
        """Runs a submission through the window and the send right.

        Args:
            key: Idempotency key.
            body: Body of the submission.
            deadline: Absolute time.
            on_send: Called immediately before the first byte can leave.

        Raises:
            RightLostError: The right ended before the send.
            LeafError: The call failed.
        """
        calls = itertools.count()

        def remaining() -> float:
            left = self._right.remaining(deadline)
            if next(calls) == 0:
                on_send()
            return left

        evidence = CallOutcome.NEUTRAL
        async with self._slot(deadline) as end:
            try:
                answer = await self._client.submit(
                    key, body, remaining=remaining
                )
                evidence = CallOutcome.GOOD
            except LeafError as error:
                evidence = evidence_of(error)
                raise
            finally:
                end(evidence)
        return answer

    async def poll(self) -> None:
        """Reads the leaf's index once."""
        if self._is_polling:
            return
        self._is_polling = True
        try:
            index = await self._client.index(INDEX_TIMEOUT_S)
        except LeafError as error:
            self._window.observe(evidence_of(error), trio.current_time())
            if isinstance(error, LeafUnreachableError):
                self.index = None
        else:
            self._adopt_index(index)
        finally:
            self._is_polling = False
        self._log_state()
        self._end_if_unusable()
        self.pump()

    async def aclose(self) -> None:
        """Closes all connections to the leaf."""
        await self._client.aclose()

    def _adopt_index(self, index: LeafIndex) -> None:
        self.index = index
        now = trio.current_time()
        if index.draining:
            self._window.observe(CallOutcome.DRAINING, now)
        else:
            self._window.reachable(now)

    def _refusal(self, call: Call) -> ShardStatus | None:
        """Returns the status of a call that can't run here, or None."""
        if not self._is_held:
            return ShardStatus.NOT_HOLDER
        now = trio.current_time()
        state = self._window.state
        paused = now < self._window.paused_until
        if self._right.is_out or (state is State.DRAINING and paused):
            return ShardStatus.DRAINING
        if state is State.DOWN:
            return ShardStatus.FAILED
        if not self._backlog.holds(call) and not self._make_room(call):
            return ShardStatus.SHED
        return None

    def _make_room(self, call: Call) -> bool:
        most = self._window.max_queries()
        limit = QUEUE_ROUNDS * self._window.limits.slots * most
        if len(self._backlog) < limit:
            return True
        self._backlog.drop_ended()
        if len(self._backlog) < limit:
            return True
        dropped = self._backlog.drop_last(call.query.priority)
        if dropped is None:
            return False
        dropped.finish(Outcome(ShardStatus.SHED))
        return True

    def _end_waiting(self, status: ShardStatus) -> None:
        for item in self._backlog.drain():
            item.finish(Outcome(status))

    def _end_if_unusable(self) -> None:
        status = _UNUSABLE.get(self._window.state)
        if status is not None:
            self._end_waiting(status)

    async def _run(self) -> None:
        """Sends batches until nothing waits or no slot is free."""
        self._starting -= 1
        try:
            while (batch := self._take()) is not None:
                await self._run_batch(batch)
        except Exception as error:
            # A fault in this code must end neither the daemon nor the queue.
            metrics.UNEXPECTED.labels("runner").inc()
            log.unexpected("runner", error)
            self._end_waiting(ShardStatus.FAILED)

    def _take(self) -> Batch | None:
        now = trio.current_time()
        if self._is_idle():
            self._suspect_waits = False
        wanted = self._granted + len(self._submitters)
        if self._free_slots(now) <= wanted:
            self.pump()
            return None
        return self._backlog.take(
            self._window.max_queries(), now, self._how_to_run
        )

    def _is_idle(self) -> bool:
        return not self._window.running and not self._granted

    def _free_slots(self, now: float) -> int:
        if self._suspect_runs:
            return 0
        if self._suspect_waits and not self._is_idle():
            return 0
        return self._window.free_slots(now)

    def _how_to_run(self, item: Item) -> Admit:
        if self._suspect_waits:
            return Admit.LATER
        flights = self._context.flights
        fingerprint = item.query.fingerprint
        verdict = self._context.quarantine.verdict(
            fingerprint, trio.current_time()
        )
        how = admit(item, verdict, flights)
        if how is Admit.LATER:
            flights.call_when_free(fingerprint, self.pump)
        is_suspect = how is Admit.ALONE and verdict is Verdict.SUSPECT
        if is_suspect and not self._is_idle():
            self._suspect_waits = True
            return Admit.LATER
        return how

    async def _run_batch(self, batch: Batch) -> None:
        started = trio.current_time()
        token = self._window.start(started, len(batch.items))
        fingerprint = batch.items[0].query.fingerprint
        if batch.alone:
            self._context.flights.enter(fingerprint)
            verdict = self._context.quarantine.verdict(fingerprint, started)
            self._suspect_runs = verdict is Verdict.SUSPECT
        self._note_start(batch)
        # Others may start while this one runs.
        self.pump()
        evidence = CallOutcome.NEUTRAL
        try:
            evidence = await self._dispatcher.send(batch, started, token)
        finally:
            # Callers that are still waiting learn of an unexpected error.
            _finish_all(batch, Outcome(ShardStatus.FAILED))
            self._window.slack_s = self._context.lag.recent_s
            self._window.finish(token, trio.current_time(), evidence)
            if batch.alone:
                # A suspect keeps the leaf to itself, so no other batch that
                # runs alone can end meanwhile.
                self._suspect_runs = False
                self._context.flights.leave(fingerprint)
        if self._dispatcher.is_index_stale:
            self._dispatcher.is_index_stale = False
            self.next_poll = -math.inf
        self._log_state()
        self._end_if_unusable()

    def _note_start(self, batch: Batch | None) -> None:
        """Notes which batch, if any, has the leaf to itself."""
        if self._sole is not None:
            self._sole.exclusive = False
        self._sole = None
        if batch is not None and batch.alone and self._window.running == 1:
            batch.exclusive = True
            self._sole = batch

    @contextlib.asynccontextmanager
    async def _slot(
        self, deadline: float
    ) -> AsyncIterator[Callable[[CallOutcome], None]]:
        """Waits for a free slot ahead of the queue and holds it."""
        turn = trio.Event()
        self._submitters.append(turn)
        self.pump()
        try:
            with trio.move_on_at(deadline):
                await turn.wait()
        finally:
            if turn.is_set():
                self._granted -= 1
            else:
                self._submitters.remove(turn)
        if not turn.is_set():
            raise LeafUnreachableError("no slot was free in time.")
        token = self._window.start(trio.current_time(), 0)
        self._note_start(None)

        def end(evidence: CallOutcome) -> None:
            self._window.finish(token, trio.current_time(), evidence)

        try:
            yield end
        finally:
            self._log_state()
            self._end_if_unusable()
            self.pump()

    async def _pump_after_pause(self) -> None:
        await trio.sleep_until(self._wake_at)
        self._wake_at = math.inf
        self.pump()

    def _log_state(self) -> None:
        before, state = self._logged_state, self._window.state
        if state is not before:
            self._logged_state = state
            log.leaf_state(self.service, self.address, before, state)


def _finish_all(batch: Batch, outcome: Outcome) -> None:
    for item in batch.items:
        item.finish(outcome)
