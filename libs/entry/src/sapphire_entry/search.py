"""Execution of searches: performs the calls planned by Gather."""

from __future__ import annotations

import collections
from collections.abc import Iterable
from dataclasses import dataclass
from random import Random
from typing import Any

import trio
from sapphire_core.admission import Admission
from sapphire_core.budget import Budget
from sapphire_core.errors import (
    ChannelError,
    DeadlinePassedError,
    NotReadyError,
    QuarantinedError,
    RunState,
)
from sapphire_core.latency import RunningQuantile
from sapphire_core.shardmap import ShardMap, version_sort_key
from sapphire_wire.channel import Channel
from sapphire_wire.gen.ttypes import Frame, Scatter, Target

from sapphire_entry import metrics
from sapphire_entry.crash_tracker import CrashTracker
from sapphire_entry.gather import MAX_CRASHES, Gather
from sapphire_entry.shardcalls import Call, MisroutedError
from sapphire_entry.views import AggregatorPool

# Subtracted from the remaining time to allow for one network hop.
HOP_ALLOWANCE_MS = 1.0
# Remaining time in a crash notice, which executes no query.
CRASH_NOTICE_TIMEOUT_MS = 1000.0
# The first VERSION_GONE result of a query that may be run again starts a
# refresh of the views. If the run ends with incomplete results, the query waits
# at most this long for a newer shard map. The timeout covers a round trip and
# MIN_REFRESH_INTERVAL_S, which can delay the next poll.
VIEW_REFRESH_TIMEOUT_S = 0.15


@dataclass(frozen=True, slots=True)
class Query:
    """A validated search request.

    Attributes:
        service: Name of the service to search.
        text: Query text.
        k: Number of matches to return.
        priority: Priority of the request class; 0 is the highest.
        canary: Whether the query must succeed on one shard first unless this
            entry knows it to be safe.
        fingerprint: Hash of service, normalized text and k.
        started: Arrival time of the request in seconds.
        answer_at: Time in seconds at which the response is due.
    """

    service: str
    text: str
    k: int
    priority: int
    canary: bool
    fingerprint: str
    started: float
    answer_at: float


class _ReplyQueue:
    """Queue of the replies to a query's calls, with one consumer."""

    def __init__(self) -> None:
        self._items: list[tuple[Call, Any]] = []
        self._event = trio.Event()

    def put(self, call: Call, frame: Any) -> None:
        """Adds a reply frame, or None for a lost channel."""
        self._items.append((call, frame))
        self._event.set()

    def wake(self) -> None:
        """Makes receive return without a reply."""
        self._event.set()

    async def receive(self, until: float) -> list[tuple[Call, Any]]:
        """Waits for replies; returns none on time-out or after wake."""
        if not self._items:
            with trio.move_on_at(until):
                await self._event.wait()
        items, self._items = self._items, []
        self._event = trio.Event()
        return items


class _SentCall:
    """A sent call; forwards its reply frames to the queue.

    Implements ReplySink, whose methods are called by the channel.
    """

    __slots__ = ("_call", "_replies", "channel", "request_id")

    def __init__(
        self, call: Call, replies: _ReplyQueue, channel: Channel
    ) -> None:
        self._call = call
        self._replies = replies
        self.channel = channel
        self.request_id = 0

    def send_nowait(self, value: Any, /) -> None:
        """Adds a reply frame that the channel has received."""
        self._replies.put(self._call, value)

    def close(self) -> None:
        """Adds the loss of the channel."""
        self._replies.put(self._call, None)


class Searcher:
    """Runs searches on the leaves that the aggregators report."""

    def __init__(
        self,
        pool: AggregatorPool,
        crash_tracker: CrashTracker,
        budget: Budget,
        admission: Admission,
        rng: Random,
    ) -> None:
        """Creates a searcher from the shared components of the entry."""
        self._pool = pool
        self._crash_tracker = crash_tracker
        self._budget = budget
        self._admission = admission
        self._rng = rng
        self._quantiles: dict[str, RunningQuantile] = {}

    def quantile(self, service: str) -> RunningQuantile:
        """Returns the latency estimate for shard calls of a service."""
        return self._quantiles.setdefault(service, RunningQuantile())

    async def run(self, query: Query) -> Gather:
        """Runs a query until it is complete or its response is due.

        Raises:
            QuarantinedError: The query is quarantined for crashing leaves.
            NotReadyError: No leaf of the service is known.
            DeadlinePassedError: The canary of an identical query did not end
                in time.
        """
        canary = await self._must_run_canary(query)
        try:
            return await self._run_pinned(query, canary)
        finally:
            if canary:
                self._crash_tracker.end_canary(query.fingerprint)

    async def _must_run_canary(self, query: Query) -> bool:
        """Returns whether the query must run as a canary.

        Waits for a running canary of an identical query first.
        """
        fingerprint = query.fingerprint
        has_waited = False
        while True:
            now = trio.current_time()
            self._crash_tracker.raise_if_quarantined(fingerprint, now)
            if self._crash_tracker.is_known_safe(fingerprint, now):
                return False
            if not query.canary and not self._crash_tracker.crash_count(
                fingerprint, now
            ):
                return False
            running = self._crash_tracker.running_canary(fingerprint)
            if running is None and not has_waited:
                has_waited = True
                if await self._pool.discovery.wait(
                    query.service, query.answer_at, self._pool.wait_reply
                ):
                    # Other queries or reports of crashes may have come.
                    continue
            if running is None:
                self._crash_tracker.begin_canary(fingerprint)
                return True
            with trio.move_on_at(query.answer_at):
                await running.wait()
                continue
            raise DeadlinePassedError(
                "an equal query is being tried on one shard.",
                run=RunState.NOT_RUN,
            )

    async def _run_pinned(self, query: Query, canary: bool) -> Gather:
        shard_map = self._pool.table.shard_map(query.service)
        if shard_map is None:
            raise NotReadyError(f"no leaf of {query.service!r} is known.")
        first = _QueryRun(self, query, shard_map, canary)
        newer = await first.run()
        if newer is None:
            return first.gather
        metrics.RERUNS.labels(query.service).inc()
        now = trio.current_time()
        canary = canary and not self._crash_tracker.is_known_safe(
            query.fingerprint, now
        )
        second = _QueryRun(self, query, newer, canary, may_rerun=False)
        await second.run()
        return second.gather

    def newer_map(self, query: Query, pinned: ShardMap) -> ShardMap | None:
        """Returns a newer complete map if at least half of the time is left."""
        now = trio.current_time()
        if query.answer_at - now < (query.answer_at - query.started) / 2:
            return None
        latest = self._pool.table.shard_map(query.service)
        if latest is None or not latest.is_complete:
            return None
        if version_sort_key(latest.version) <= version_sort_key(pinned.version):
            return None
        return latest


class _QueryRun:
    """Execution of a query on a pinned shard map."""

    def __init__(
        self,
        searcher: Searcher,
        query: Query,
        shard_map: ShardMap,
        canary: bool,
        *,
        may_rerun: bool = True,
    ) -> None:
        self._searcher = searcher
        self._pool = searcher._pool
        self._crash_tracker = searcher._crash_tracker
        self._query = query
        self._map = shard_map
        self._may_rerun = may_rerun
        self._replies = _ReplyQueue()
        self._sent_calls: dict[Call, _SentCall] = {}
        self._must_record_success = canary
        self._is_crash_recorded = False
        self._has_refreshed_views = False
        self._is_watching_views = False
        now = trio.current_time()
        self.gather = Gather(
            shard_map,
            query.k,
            query.fingerprint,
            searcher._rng,
            searcher._budget,
            searcher.quantile(query.service),
            canary=canary,
            crashes=self._crash_tracker.crash_count(query.fingerprint, now),
        )
        if canary:
            metrics.CANARIES.labels(query.service).inc()

    async def run(self) -> ShardMap | None:
        """Runs the query; returns a newer map if it must run again on that."""
        gather, answer_at = self.gather, self._query.answer_at
        try:
            self._send(gather.start(trio.current_time()))
            self._watch_views()
            while not gather.is_done:
                items = await self._replies.receive(
                    min(gather.hedge_at, answer_at)
                )
                now = trio.current_time()
                for call, frame in items:
                    calls = self._handle_reply(call, frame, now)
                    # Retries after a crash must include the new crash count.
                    self._record_outcome(now)
                    self._send(calls)
                self._request_full_views()
                self._send(self._resume_awaiting_holder(now))
                newer = self._newer_map()
                if newer is not None or now >= answer_at:
                    return newer
                if now >= gather.hedge_at:
                    self._send(gather.hedge(now))
            return await self._wait_newer_map()
        except QuarantinedError:
            self._crash_tracker.quarantine(
                self._query.fingerprint, trio.current_time()
            )
            if self.gather.has_crashed_leaf:
                self._pool.broadcast(self._crash_notice())
            raise
        finally:
            self._finish()

    def _watch_views(self) -> None:
        """Makes view replies wake the query while it waits for a holder."""
        if self.gather.is_awaiting_holder and not self._is_watching_views:
            self._is_watching_views = True
            self._pool.add_listener(self._replies.wake)
            self._pool.refresh()

    def _resume_awaiting_holder(self, now: float) -> list[Call]:
        self._watch_views()
        if not self.gather.is_awaiting_holder:
            return []
        # Refreshes are requested until a holder is known.
        self._pool.refresh()
        return self.gather.resume(now)

    def _request_full_views(self) -> None:
        """Requests full views from holders whose views may be outdated."""
        for holder in self.gather.outdated_holders:
            self._pool.request_full_view(holder)
        self.gather.outdated_holders.clear()

    def _newer_map(self) -> ShardMap | None:
        if not self.gather.version_gone or not self._may_rerun:
            return None
        if not self._has_refreshed_views:
            self._has_refreshed_views = True
            self._pool.refresh()
        return self._searcher.newer_map(self._query, self._map)

    async def _wait_newer_map(self) -> ShardMap | None:
        """Waits briefly for a newer map; returns None if there is none."""
        if self.gather.coverage.is_complete:
            return None
        newer = self._newer_map()
        if newer is not None or not self.gather.version_gone:
            return newer
        until = min(
            trio.current_time() + VIEW_REFRESH_TIMEOUT_S,
            (self._query.started + self._query.answer_at) / 2,
        )
        while newer is None and trio.current_time() < until:
            with trio.move_on_at(until):
                await self._pool.wait_reply()
            newer = self._newer_map()
        return newer

    def _handle_reply(self, call: Call, frame: Any, now: float) -> list[Call]:
        sent_call = self._sent_calls.get(call)
        if sent_call is None:
            return []
        if frame is None:
            del self._sent_calls[call]
            return self.gather.handle_failed_call(call, now, sent=True)
        part = frame.part
        try:
            if part is None:
                # The aggregator sent a frame of another type.
                raise MisroutedError(f"{call.holder} answered no part.")
            calls = self.gather.handle_part(call, part, now)
        except MisroutedError:
            metrics.REJECTED_REPLIES.inc()
            del self._sent_calls[call]
            sent_call.channel.end_request(sent_call.request_id, cancel=False)
            sent_call.channel.abort()
            return self.gather.handle_failed_call(call, now, sent=True)
        if part.last:
            del self._sent_calls[call]
            sent_call.channel.end_request(sent_call.request_id, cancel=False)
        return calls

    def _record_outcome(self, now: float) -> None:
        """Records crashes and successes with the crash tracker."""
        gather, fingerprint = self.gather, self._query.fingerprint
        if gather.has_crashed_leaf and not self._is_crash_recorded:
            self._is_crash_recorded = True
            self._must_record_success = True
            self._crash_tracker.record_crash(fingerprint, now)
        if gather.is_known_safe and self._must_record_success:
            self._must_record_success = False
            self._crash_tracker.record_success(fingerprint, now)

    def _send(self, calls: Iterable[Call]) -> None:
        unsent = collections.deque(calls)
        while unsent:
            call = unsent.popleft()
            peer = self._pool.peer(call.holder)
            channel = peer.current_channel if peer is not None else None
            if channel is not None and self._try_send(call, channel):
                continue
            now = trio.current_time()
            unsent.extend(self.gather.handle_failed_call(call, now, sent=False))

    def _try_send(self, call: Call, channel: Channel) -> bool:
        sent_call = _SentCall(call, self._replies, channel)
        try:
            sent_call.request_id = channel.start_request(
                self._scatter_frame(call), sent_call
            )
        except ChannelError:
            return False
        self._sent_calls[call] = sent_call
        return True

    def _scatter_frame(self, call: Call) -> Any:
        query = self._query
        left_ms = (
            query.answer_at - trio.current_time()
        ) * 1000 - HOP_ALLOWANCE_MS
        scatter = Scatter(
            service_name=query.service,
            version=self._map.version,
            text=query.text,
            k=query.k,
            remaining_ms=max(left_ms, 0.0),
            priority=query.priority,
            targets=[
                Target(shard=shard, leaf=replica.address)
                for shard, replica in call.targets.items()
            ],
            # Set for probes too, which the aggregator must not batch either.
            canary=call.alone,
            hedge=call.hedge,
            fingerprint=query.fingerprint,
            crashes=self._crash_tracker.crash_count(
                query.fingerprint, trio.current_time()
            ),
            crashed_leaves=sorted(self.gather.crashed_leaves),
        )
        return Frame(scatter=scatter)

    def _crash_notice(self) -> Any:
        """Returns a Scatter without targets that reports the crashes.

        A hedged canary can crash leaves of two aggregators. Each of them has
        seen one crash only and would still accept the query from other
        entries. The canary flag has no effect without targets.
        """
        query = self._query
        scatter = Scatter(
            service_name=query.service,
            version=self._map.version,
            text=query.text,
            k=query.k,
            remaining_ms=CRASH_NOTICE_TIMEOUT_MS,
            priority=query.priority,
            targets=[],
            canary=True,
            hedge=False,
            fingerprint=query.fingerprint,
            crashes=MAX_CRASHES,
        )
        return Frame(scatter=scatter)

    def _finish(self) -> None:
        self._pool.remove_listener(self._replies.wake)
        now = trio.current_time()
        for call in self.gather.stop(now):
            sent_call = self._sent_calls.pop(call, None)
            if sent_call is not None:
                sent_call.channel.end_request(sent_call.request_id, cancel=True)
        counts, service = self.gather.counts, self._query.service
        metrics.CALLS_NEEDED.labels(service).inc(len(self._map.shards))
        metrics.CALLS_SENT.labels(service).inc(counts.sent)
        if counts.hedges:
            metrics.HEDGES.labels(service).inc(counts.hedges)
        if counts.retries:
            metrics.RETRIES.labels(service).inc(counts.retries)
        if counts.wait_count:
            mean_ms = counts.total_wait_ms / counts.wait_count
            self._searcher._admission.record_wait(service, mean_ms, now)
