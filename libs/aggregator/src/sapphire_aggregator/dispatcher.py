"""Sends batches to one leaf and delivers their results.

A batch is sent in one request. Each of its queries may be the answer to several
callers' calls, see `backlog`.
"""

from __future__ import annotations

import contextlib

import trio
from sapphire_core.errors import (
    LeafCrashedError,
    LeafError,
    LeafNoReplyError,
    LeafReplyError,
)
from sapphire_core.quarantine import Verdict
from sapphire_core.window import CallOutcome, Window
from sapphire_wire.gen.ttypes import ShardStatus
from sapphire_wire.leaf import LeafQuery, SearchReply

from sapphire_aggregator import log, metrics
from sapphire_aggregator.backlog import Batch, CallResult
from sapphire_aggregator.context import Client, LeafContext
from sapphire_aggregator.errormap import (
    RightLostError,
    call_outcome_of,
    status_of,
)
from sapphire_aggregator.sendright import SendRight

# Time to wait for the leaf to confirm a cancellation. Until then it may still
# be running the batch, so the slot stays taken; no caller waits any more.
CANCEL_TIMEOUT_S = 1.0
# A request that ran out of time counts as late if it ended this close to the
# deadline of the callers, or after it.
LATE_MARGIN_S = 0.01


class Dispatcher:
    """Sends batches to one leaf, as scheduled by its LeafScheduler.

    Attributes:
        batches: Number of batches that have ended with a reply or an error.
        queries: Number of queries in the answered batches.
        failures: Number of batches that have ended with an error.
        is_index_stale: Whether a reply contradicted the last index read.
    """

    def __init__(
        self,
        context: LeafContext,
        service: str,
        address: str,
        client: Client,
        window: Window,
        right: SendRight,
    ) -> None:
        self._context = context
        self._service = service
        self._address = address
        self._client = client
        self._window = window
        self._right = right
        self.batches = 0
        self.queries = 0
        self.failures = 0
        self.is_index_stale = False

    async def send(
        self, batch: Batch, started: float, token: int
    ) -> CallOutcome:
        """Sends a batch and delivers its results.

        Args:
            batch: The batch.
            started: Time at which it was taken from the queue.
            token: Identifies its request in the window.

        Returns:
            The outcome to report to the window.
        """
        batch_id = self._context.next_batch_id()
        queries = [
            LeafQuery(str(number), item.query.text, item.query.k)
            for number, item in enumerate(batch.items)
        ]
        scope = trio.CancelScope()
        batch.on_abandoned = scope.cancel
        deadline = batch.deadline

        def remaining() -> float:
            # The client calls this before it opens a connection, and again
            # immediately before it sends. The second call replaces the recorded
            # time, so that opening the connection is not part of the leaf's
            # reply time.
            self._window.record_sent(token, trio.current_time())
            return self._right.remaining(deadline)

        try:
            with scope:
                reply = await self._client.search(
                    batch_id,
                    batch.version,
                    batch.shard,
                    queries,
                    remaining=remaining,
                )
        except (LeafError, RightLostError) as error:
            call_outcome = self._fail(batch, error, started)
            if isinstance(error, LeafNoReplyError):
                await self._cancel_at_leaf(batch_id, token)
            return call_outcome
        if scope.cancelled_caught:
            await self._cancel_at_leaf(batch_id, token)
            return CallOutcome.NEUTRAL
        self._succeed(batch, reply, started)
        return CallOutcome.GOOD

    async def _cancel_at_leaf(self, batch_id: str, token: int) -> None:
        """Cancels a batch whose results are not needed any more.

        Its slot stays taken until the leaf has confirmed or
        CANCEL_TIMEOUT_S has passed.
        """
        # The reply time ends here; the slot stays taken until window.finish.
        self._window.record_abandoned(token, trio.current_time())
        metrics.CANCELLED_BATCHES.labels(self._service).inc()
        with contextlib.suppress(LeafError):
            await self._client.cancel(batch_id, CANCEL_TIMEOUT_S)

    def _succeed(
        self, batch: Batch, reply: SearchReply, started: float
    ) -> None:
        now = trio.current_time()
        batch_s = now - started
        calls = sum(len(item.calls) for item in batch.items)
        self.batches += 1
        self.queries += len(batch.items)
        metrics.LEAF_CALLS.labels(self._service, "ok").inc()
        metrics.LEAF_QUERIES.labels(self._service).inc(len(batch.items))
        metrics.SHARED_QUERIES.labels(self._service).inc(
            calls - len(batch.items)
        )
        metrics.LEAF_SECONDS.labels(self._service).observe(batch_s)
        if batch.alone:
            # A suspect is a query that was running when a leaf crashed. If this
            # query is one, it is cleared, since the leaf has now answered it.
            self._context.quarantine.record_survival(
                batch.items[0].query.fingerprint, now
            )
        for item, matches in zip(batch.items, reply.matches, strict=True):
            for call in item.calls:
                call.finish(
                    CallResult(
                        ShardStatus.OK,
                        reply.documents,
                        batch_s,
                        started - call.enqueued,
                        matches,
                    )
                )

    def _fail(
        self, batch: Batch, error: Exception, started: float
    ) -> CallOutcome:
        now = trio.current_time()
        self.batches += 1
        self.failures += 1
        status = status_of(error)
        if status is ShardStatus.LATE:
            status = self._late_status(batch, now)
        kind = getattr(error, "kind", "right_lost")
        metrics.LEAF_CALLS.labels(self._service, kind).inc()
        if isinstance(error, LeafReplyError):
            metrics.REPLY_ERRORS.labels(self._service).inc()
        if status in (ShardStatus.VERSION_GONE, ShardStatus.DRAINING):
            self.is_index_stale = True
        if isinstance(error, LeafCrashedError):
            self._count_crash(batch, now)
        for item in batch.items:
            for call in item.calls:
                call.finish(
                    CallResult(
                        status,
                        batch_s=now - started,
                        wait_s=started - call.enqueued,
                    )
                )
        return call_outcome_of(error)

    def _late_status(self, batch: Batch, now: float) -> ShardStatus:
        """Returns the status of a batch whose request ran out of time.

        The request's deadline at the leaf is the end of the send right if that
        is earlier than the callers' deadline. The callers then have time left
        to use another replica, so the status must not be LATE.
        """
        if batch.deadline - now <= LATE_MARGIN_S:
            return ShardStatus.LATE
        if self._right.until(now) is None:
            return ShardStatus.NOT_HOLDER
        # The request was sent with the end of the right as its deadline, and
        # the right was extended afterwards.
        return ShardStatus.FAILED

    def _count_crash(self, batch: Batch, now: float) -> None:
        quarantine = self._context.quarantine
        # If the batch was exclusive, no other request can have caused the
        # crash. If not, only the first crash of each query is counted. A
        # quarantined query is refused until its quarantine expires.
        for item in batch.items:
            fingerprint = item.query.fingerprint
            verdict = quarantine.record_crash(
                fingerprint, now, batch.exclusive, self._address
            )
            if verdict is Verdict.QUARANTINED:
                metrics.QUARANTINED_FINGERPRINTS.inc()
                log.quarantined(fingerprint, self._service, self._address)
        self._context.on_crash()
