"""Execution of a Scatter, answered with one or more Parts."""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import math
from collections.abc import Callable
from typing import Any

import trio
from sapphire_core.quarantine import Quarantine, Verdict, fingerprint
from sapphire_wire.gen.ttypes import (
    Frame,
    Match,
    Part,
    ShardResult,
    ShardStatus,
)
from sapphire_wire.leaf import Hit

from sapphire_aggregator import log, metrics
from sapphire_aggregator.backlog import Call, CallResult, Query
from sapphire_aggregator.leaves import LeafSet

# Limits of the time that a result is held back to be sent in one part with
# others. The minimum collects the results of batches that end together.
MIN_FLUSH_DELAY_S = 0.001
MAX_FLUSH_DELAY_S = 0.01
# Ratio of that time to the expected wait at the median leaf.
FLUSH_DELAY_RATIO = 0.5
# The last part is sent this long before the deadline, so that it reaches the
# entry in time. If it is shorter, the margin is _END_MARGIN_RATIO of the
# remaining time.
END_MARGIN_S = 0.005
_END_MARGIN_RATIO = 0.1

# Statuses with which a call can end when another run of the same query has
# crashed the leaf.
_LEAF_DOWN = frozenset({ShardStatus.FAILED, ShardStatus.CRASHED})

Send = Callable[[Any], None]
Deliver = Callable[[Call, CallResult], None]


def merge(lists: list[list[Hit]], k: int) -> list[Match]:
    """Returns the best k matches, by score and then by document id."""
    hits = itertools.chain.from_iterable(lists)
    return [
        Match(document=hit.document, score=-hit.negated_score, title=hit.title)
        for hit in heapq.nsmallest(k, hits)
    ]


class Collector:
    """Collects the results of one Scatter and sends them in parts."""

    def __init__(self, k: int, send: Send) -> None:
        self._k = k
        self._send = send
        self._pending: dict[int, Call] = {}
        self._results: list[ShardResult] = []
        self._matches: list[list[Hit]] = []
        self._changed = trio.Event()

    def add_call(self, call: Call) -> None:
        """Registers a call, which must not have been queued yet.

        A call that is refused when it is queued is delivered at once.
        """
        self._pending[id(call)] = call

    def deliver(self, call: Call, result: CallResult) -> None:
        """Adds the result of a registered call."""
        del self._pending[id(call)]
        self.add_result(call.shard, call.leaf, result)
        if result.status is ShardStatus.OK and result.matches:
            self._matches.append(result.matches)

    def add_result(self, shard: int, leaf: str, result: CallResult) -> None:
        """Adds the result of a target, without matches."""
        self._results.append(
            ShardResult(
                shard=shard,
                leaf=leaf,
                status=result.status,
                documents=result.documents,
                leaf_ms=result.batch_s * 1000,
                wait_ms=result.wait_s * 1000,
            )
        )
        self._changed.set()

    async def run(self, end: float, flush_delay_s: float) -> None:
        """Sends parts until every target has a result.

        Args:
            end: Absolute time at which pending targets are reported as late.
            flush_delay_s: Seconds that the first unsent result waits for more.
        """
        with trio.move_on_at(end):
            while self._pending:
                await self._changed.wait()
                await self._wait_for_more(flush_delay_s)
                if self._pending:
                    self._send_part(last=False)
        for call in list(self._pending.values()):
            call.finish(
                CallResult(
                    ShardStatus.LATE,
                    wait_s=trio.current_time() - call.enqueued,
                )
            )
        self.send_last()

    def send_last(self) -> None:
        """Sends the last part."""
        self._send_part(last=True)

    def fail_remaining(self, targets: list[Any]) -> None:
        """Fails pending calls and the targets without a call."""
        for call in list(self._pending.values()):
            call.finish(CallResult(ShardStatus.FAILED))
        # No part has been sent yet, and targets are handled in order, so the
        # results are those of the first targets.
        for target in targets[len(self._results) :]:
            self.add_result(
                target.shard, target.leaf, CallResult(ShardStatus.FAILED)
            )

    def abandon(self) -> None:
        """Abandons all pending calls, because the entry cancelled."""
        for call in list(self._pending.values()):
            call.abandon()
        self._pending.clear()

    async def _wait_for_more(self, flush_delay_s: float) -> None:
        with trio.move_on_after(flush_delay_s):
            while self._pending:
                self._changed = trio.Event()
                await self._changed.wait()
        self._changed = trio.Event()

    def _send_part(self, *, last: bool) -> None:
        part = Part(
            results=self._results,
            matches=merge(self._matches, self._k) if self._matches else [],
            last=last,
        )
        self._results = []
        self._matches = []
        metrics.PARTS.inc()
        self._send(Frame(part=part))


class ScatterHandler:
    """Runs Scatter requests on the leaves of this daemon."""

    def __init__(self, leaves: LeafSet, quarantine: Quarantine) -> None:
        self._leaves = leaves
        self._quarantine = quarantine
        self.is_leaving = False

    async def run(self, scatter: Any, send: Send) -> None:
        """Answers one Scatter; if cancelled, abandons all its calls."""
        metrics.SCATTERS.inc()
        if not _is_valid(scatter):
            # The leaf would refuse a whole batch because of one invalid query.
            collector = Collector(0, self._with_result_counts(scatter, send))
            collector.fail_remaining(scatter.targets or [])
            collector.send_last()
            return
        now = trio.current_time()
        remaining_s = scatter.remaining_ms / 1000
        deadline = now + remaining_s
        query = Query(
            version=scatter.version,
            text=scatter.text,
            k=scatter.k,
            fingerprint=scatter.fingerprint
            or fingerprint(scatter.service_name, scatter.text, scatter.k),
            priority=scatter.priority,
            deadline=deadline,
            canary=bool(scatter.canary),
        )
        if scatter.crashes:
            self._quarantine.merge_count(
                query.fingerprint, scatter.crashes, now
            )
            self._quarantine.merge_crashed_leaves(
                query.fingerprint, scatter.crashed_leaves or (), now
            )
        collector = Collector(
            scatter.k, self._with_result_counts(scatter, send)
        )
        try:
            try:
                flush_delay_s = self._start(scatter, query, collector, now)
            except Exception as error:
                # Every target has to get a result.
                metrics.UNEXPECTED_ERRORS.labels("scatter_start").inc()
                log.unexpected_error("scatter_start", error)
                collector.fail_remaining(scatter.targets)
                flush_delay_s = 0.0
            margin_s = min(END_MARGIN_S, remaining_s * _END_MARGIN_RATIO)
            await collector.run(deadline - margin_s, flush_delay_s)
        finally:
            collector.abandon()

    def _start(
        self, scatter: Any, query: Query, collector: Collector, now: float
    ) -> float:
        """Queues a call for each target and returns the flush delay."""
        refusal = self._refusal(query, now)
        waits = []
        deliver: Deliver = collector.deliver
        if query.canary:
            deliver = self._with_crash_status(scatter, deliver)
        for target in scatter.targets or ():
            scheduler = self._leaves.find(scatter.service_name, target.leaf)
            status = refusal
            if scheduler is None or not scheduler.is_held:
                status = status or ShardStatus.NOT_HOLDER
            if scheduler is None or status is not None:
                result = CallResult(status or ShardStatus.NOT_HOLDER)
                collector.add_result(target.shard, target.leaf, result)
                continue
            waits.append(scheduler.expected_wait_s())
            call = Call(query, target.shard, target.leaf, now, deliver)
            collector.add_call(call)
            scheduler.add(call)
        if not waits:
            return 0.0
        median = sorted(waits)[len(waits) // 2]
        return min(
            MAX_FLUSH_DELAY_S,
            max(MIN_FLUSH_DELAY_S, median * FLUSH_DELAY_RATIO),
        )

    def _refusal(self, query: Query, now: float) -> ShardStatus | None:
        """Returns the status with which all targets are refused, or None."""
        if self.is_leaving:
            return ShardStatus.NOT_HOLDER
        if query.deadline <= now:
            return ShardStatus.LATE
        verdict = self._quarantine.verdict(query.fingerprint, now)
        if verdict is Verdict.QUARANTINED:
            return ShardStatus.QUARANTINED
        return None

    def _with_crash_status(self, scatter: Any, deliver: Deliver) -> Deliver:
        """Returns a callback that tells a canary's entry of earlier crashes.

        While a canary was queued, the same query of another entry may have
        crashed the leaf. If the canary's entry received the status of a failed
        leaf, it would try the next replica, and the limit of two crashes would
        apply to each entry instead of to all of them together.
        """

        def deliver_with_crash_status(call: Call, result: CallResult) -> None:
            verdict = self._quarantine.verdict(
                call.query.fingerprint, trio.current_time()
            )
            status = result.status
            if status in _LEAF_DOWN and verdict is Verdict.QUARANTINED:
                status = ShardStatus.QUARANTINED
            elif status is ShardStatus.FAILED and verdict is Verdict.SUSPECT:
                # An entry that knows of the crash must not count it again.
                known = scatter.crashes or 0
                status = status if known else ShardStatus.CRASHED
            deliver(call, dataclasses.replace(result, status=status))

        return deliver_with_crash_status

    def _with_result_counts(self, scatter: Any, send: Send) -> Send:
        """Returns a callback that counts shard results before it sends them."""
        service = scatter.service_name
        if self._leaves.find_service(service) is None:
            # Arbitrary names from requests must not become metric labels.
            service = "unknown"

        def send_and_count(frame: Any) -> None:
            statuses = [result.status for result in frame.part.results]
            for status in set(statuses):
                counter = _result_counter(service, status)
                counter.inc(statuses.count(status))
            send(frame)

        return send_and_count


def _is_valid(scatter: Any) -> bool:
    """Returns whether all fields that a query needs are valid."""
    texts = (scatter.service_name, scatter.version, scatter.text)
    return (
        all(isinstance(text, str) for text in texts)
        and isinstance(scatter.priority, int)
        and isinstance(scatter.k, int)
        and scatter.k >= 0
        and isinstance(scatter.remaining_ms, float)
        and math.isfinite(scatter.remaining_ms)
    )


@functools.lru_cache(maxsize=4096)
def _result_counter(service: str, status: ShardStatus) -> Any:
    # Looking up a labelled counter takes longer than incrementing it.
    return metrics.SHARD_RESULTS.labels(service, status.name.lower())
