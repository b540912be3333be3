"""Execution of searches: sends the calls that a Gather decides on."""

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
from sapphire_entry.gather import MAX_CRASHES, Gather
from sapphire_entry.shardcalls import Call, MisroutedError
from sapphire_entry.suspects import Suspects
from sapphire_entry.views import Views

# Time taken off the remaining time for one hop.
HOP_MS = 1.0
# Time for the answer to a notice that runs nothing.
NOTICE_MS = 1000.0
# When all leaves of a shard have lost the pinned version, the views are
# asked again; their replies take a poll pause and a round trip.
VIEW_WAIT_S = 0.15


@dataclass(frozen=True, slots=True)
class Query:
    """A search that was admitted.

    Attributes:
        service: Service to search.
        text: What to search for.
        k: Matches wanted.
        priority: 0 is the highest.
        canary: Whether an unknown query runs on one shard first.
        fingerprint: Hash of service, normalised text and k.
        started: When the request arrived, in seconds.
        answer_at: When the answer has to be made, in seconds.
    """

    service: str
    text: str
    k: int
    priority: int
    canary: bool
    fingerprint: str
    started: float
    answer_at: float


class _Inbox:
    """Replies to one query's calls, with one task waiting for them."""

    def __init__(self) -> None:
        self._items: list[tuple[Call, Any]] = []
        self._event = trio.Event()

    def put(self, call: Call, frame: Any) -> None:
        """Adds a reply; None stands for a lost connection."""
        self._items.append((call, frame))
        self._event.set()

    def wake(self) -> None:
        """Makes take return although there is no reply."""
        self._event.set()

    async def take(self, until: float) -> list[tuple[Call, Any]]:
        """Returns the replies; none if the time comes or wake is called."""
        if not self._items:
            with trio.move_on_at(until):
                await self._event.wait()
        items, self._items = self._items, []
        self._event = trio.Event()
        return items


class _Posted:
    """A call that was sent; takes its replies."""

    __slots__ = ("_call", "_inbox", "channel", "request_id")

    def __init__(self, call: Call, inbox: _Inbox, channel: Channel) -> None:
        self._call = call
        self._inbox = inbox
        self.channel = channel
        self.request_id = 0

    def send_nowait(self, value: Any, /) -> None:
        """Takes a reply frame."""
        self._inbox.put(self._call, value)

    def close(self) -> None:
        """Learns that the connection was lost."""
        self._inbox.put(self._call, None)


class Searcher:
    """Runs searches over the leaves that the views report."""

    def __init__(
        self,
        views: Views,
        suspects: Suspects,
        budget: Budget,
        admission: Admission,
        rng: Random,
    ) -> None:
        """Takes what all queries of the entry share."""
        self._views = views
        self._suspects = suspects
        self._budget = budget
        self._admission = admission
        self._rng = rng
        self._quantiles: dict[str, RunningQuantile] = {}

    def quantile(self, service: str) -> RunningQuantile:
        """Returns the latency estimate of a service's shards."""
        return self._quantiles.setdefault(service, RunningQuantile())

    async def run(self, query: Query) -> Gather:
        """Runs a query until it is complete or out of time.

        Raises:
            QuarantinedError: The query crashes leaves.
            NotReadyError: No leaf of the service is known.
            DeadlinePassedError: An equal query's canary took all the time.
        """
        canary = await self._await_verdict(query)
        try:
            return await self._run_pinned(query, canary)
        finally:
            if canary:
                self._suspects.end_canary(query.fingerprint)

    async def _await_verdict(self, query: Query) -> bool:
        """Returns whether the query must run as a canary."""
        key = query.fingerprint
        while True:
            now = trio.current_time()
            self._suspects.check(key, now)
            if self._suspects.is_harmless(key, now):
                return False
            if not query.canary and not self._suspects.crashes(key, now):
                return False
            running = self._suspects.canary(key)
            if running is None:
                self._suspects.begin_canary(key)
                return True
            with trio.move_on_at(query.answer_at):
                await running.wait()
                continue
            raise DeadlinePassedError(
                "an equal query is being tried on one shard.",
                run=RunState.NOT_RUN,
            )

    async def _run_pinned(self, query: Query, canary: bool) -> Gather:
        shard_map = self._views.table.shard_map(query.service)
        if shard_map is None:
            raise NotReadyError(f"no leaf of {query.service!r} is known.")
        first = _Run(self, query, shard_map, canary)
        newer = await first.run()
        if newer is None:
            return first.gather
        metrics.RERUNS.labels(query.service).inc()
        now = trio.current_time()
        canary = canary and not self._suspects.is_harmless(
            query.fingerprint, now
        )
        second = _Run(self, query, newer, canary, may_rerun=False)
        await second.run()
        return second.gather

    def newer_map(self, query: Query, pinned: ShardMap) -> ShardMap | None:
        """Returns a newer whole map if more than half of the time is left."""
        now = trio.current_time()
        if query.answer_at - now < (query.answer_at - query.started) / 2:
            return None
        latest = self._views.table.shard_map(query.service)
        if latest is None or not latest.is_complete:
            return None
        if version_sort_key(latest.version) <= version_sort_key(pinned.version):
            return None
        return latest


class _Run:
    """One run of a query on one pinned map."""

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
        self._views = searcher._views
        self._suspects = searcher._suspects
        self._query = query
        self._map = shard_map
        self._may_rerun = may_rerun
        self._inbox = _Inbox()
        self._posted: dict[Call, _Posted] = {}
        self._noted = not canary
        self._is_suspect = False
        self._has_refreshed = False
        self._is_listening = False
        now = trio.current_time()
        self.gather = Gather(
            shard_map,
            query.k,
            query.fingerprint,
            searcher._rng,
            searcher._budget,
            searcher.quantile(query.service),
            canary=canary,
            crashes=self._suspects.crashes(query.fingerprint, now),
        )
        if canary:
            metrics.CANARIES.labels(query.service).inc()

    async def run(self) -> ShardMap | None:
        """Runs to the end; returns a newer map if one has to be used."""
        gather, answer_at = self.gather, self._query.answer_at
        try:
            self._send(gather.begin(trio.current_time()))
            self._listen()
            while not gather.is_done:
                items = await self._inbox.take(min(gather.hedge_at, answer_at))
                now = trio.current_time()
                for call, frame in items:
                    calls = self._take(call, frame, now)
                    # The retry of a crash must carry the crash.
                    self._note(now)
                    self._send(calls)
                self._report_stale()
                self._send(self._resume(now))
                newer = self._newer()
                if newer is not None or now >= answer_at:
                    return newer
                if now >= gather.hedge_at:
                    self._send(gather.hedge(now))
            return await self._await_newer()
        except QuarantinedError:
            self._suspects.quarantine(
                self._query.fingerprint, trio.current_time()
            )
            if self.gather.has_crashed:
                self._views.tell(self._crash_notice())
            raise
        finally:
            self._end()

    def _listen(self) -> None:
        """Lets new views wake the query while it waits for a holder."""
        if self.gather.is_parked and not self._is_listening:
            self._is_listening = True
            self._views.add_listener(self._inbox.wake)
            self._views.refresh()

    def _resume(self, now: float) -> list[Call]:
        self._listen()
        if not self.gather.is_parked:
            return []
        # Views are asked for again until a holder is known.
        self._views.refresh()
        return self.gather.resume(now)

    def _report_stale(self) -> None:
        """Asks for whole views of aggregators that gave up leaves."""
        for holder in self.gather.stale_holders:
            self._views.recheck(holder)
        self.gather.stale_holders.clear()

    def _newer(self) -> ShardMap | None:
        if not self.gather.version_gone or not self._may_rerun:
            return None
        if not self._has_refreshed:
            self._has_refreshed = True
            self._views.refresh()
        return self._searcher.newer_map(self._query, self._map)

    async def _await_newer(self) -> ShardMap | None:
        """Returns a newer map if the views show one soon."""
        if self.gather.coverage.is_complete:
            return None
        newer = self._newer()
        if newer is not None or not self.gather.version_gone:
            return newer
        until = min(
            trio.current_time() + VIEW_WAIT_S,
            (self._query.started + self._query.answer_at) / 2,
        )
        while newer is None and trio.current_time() < until:
            with trio.move_on_at(until):
                await self._views.wait_reply()
            newer = self._newer()
        return newer

    def _take(self, call: Call, frame: Any, now: float) -> list[Call]:
        posted = self._posted.get(call)
        if posted is None:
            return []
        if frame is None:
            del self._posted[call]
            return self.gather.lose(call, now, sent=True)
        part = frame.part
        try:
            if part is None:
                raise MisroutedError(f"{call.holder} answered no part.")
            calls = self.gather.take(call, part, now)
        except MisroutedError:
            metrics.REJECTED.inc()
            del self._posted[call]
            posted.channel.end_request(posted.request_id, cancel=False)
            posted.channel.abort()
            return self.gather.lose(call, now, sent=True)
        if part.last:
            del self._posted[call]
            posted.channel.end_request(posted.request_id, cancel=False)
        return calls

    def _note(self, now: float) -> None:
        """Passes on what the query has shown about itself."""
        gather, key = self.gather, self._query.fingerprint
        if gather.has_crashed and not self._is_suspect:
            self._is_suspect = True
            self._noted = False
            self._suspects.note_suspect(key, now)
        if gather.is_harmless and not self._noted:
            self._noted = True
            self._suspects.note_harmless(key, now)

    def _send(self, calls: Iterable[Call]) -> None:
        unsent = collections.deque(calls)
        while unsent:
            call = unsent.popleft()
            peer = self._views.peer(call.holder)
            channel = peer.open_channel if peer is not None else None
            if channel is not None and self._post(call, channel):
                continue
            now = trio.current_time()
            unsent.extend(self.gather.lose(call, now, sent=False))

    def _post(self, call: Call, channel: Channel) -> bool:
        posted = _Posted(call, self._inbox, channel)
        try:
            posted.request_id = channel.start_request(self._frame(call), posted)
        except ChannelError:
            return False
        self._posted[call] = posted
        return True

    def _frame(self, call: Call) -> Any:
        query = self._query
        left_ms = (query.answer_at - trio.current_time()) * 1000 - HOP_MS
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
            canary=call.alone,
            hedge=call.hedge,
            fingerprint=query.fingerprint,
            crashes=self._suspects.crashes(
                query.fingerprint, trio.current_time()
            ),
            crashed_leaves=sorted(self.gather.crashed_leaves),
        )
        return Frame(scatter=scatter)

    def _crash_notice(self) -> Any:
        """Returns a Scatter without targets that tells of the crashes.

        A hedged canary can crash two leaves of two aggregators, each of
        which knows of one crash only and would let other entries go on.
        """
        query = self._query
        scatter = Scatter(
            service_name=query.service,
            version=self._map.version,
            text=query.text,
            k=query.k,
            remaining_ms=NOTICE_MS,
            priority=query.priority,
            targets=[],
            canary=True,
            hedge=False,
            fingerprint=query.fingerprint,
            crashes=MAX_CRASHES,
        )
        return Frame(scatter=scatter)

    def _end(self) -> None:
        self._views.remove_listener(self._inbox.wake)
        now = trio.current_time()
        for call in self.gather.close(now):
            posted = self._posted.pop(call, None)
            if posted is not None:
                posted.channel.end_request(posted.request_id, cancel=True)
        tally, service = self.gather.tally, self._query.service
        metrics.CALLS_NEEDED.labels(service).inc(len(self._map.shards))
        metrics.CALLS_SENT.labels(service).inc(tally.sent)
        if tally.hedges:
            metrics.HEDGES.labels(service).inc(tally.hedges)
        if tally.retries:
            metrics.RETRIES.labels(service).inc(tally.retries)
        if tally.waits:
            mean_ms = tally.wait_ms / tally.waits
            self._searcher._admission.record_wait(service, mean_ms, now)
