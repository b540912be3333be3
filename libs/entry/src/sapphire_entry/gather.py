"""Planning of a query's shard calls: canary, retries and hedges."""

from __future__ import annotations

import math
from collections.abc import Iterable
from random import Random
from typing import Any

from sapphire_core.budget import Budget
from sapphire_core.coverage import Coverage
from sapphire_core.errors import QuarantinedError
from sapphire_core.latency import RunningQuantile
from sapphire_core.merge import merge
from sapphire_core.shardmap import Replica, ShardMap
from sapphire_wire.gen.ttypes import ShardStatus

from sapphire_entry.canary import canary_leaves
from sapphire_entry.shardcalls import (
    MISSING_REASONS,
    NOT_EXECUTED,
    REASON_DEADLINE,
    REASON_LOST,
    REASON_NO_LEAF,
    Call,
    CallCounts,
    validate_part,
)

MAX_ATTEMPTS = 3
MAX_CANARY_CALLS = 4
# The second crash quarantines a fingerprint.
MAX_CRASHES = 2


class Gather:
    """Plans the calls of a query and merges the results; does no I/O.

    Each event handler returns the calls to send next.

    A call that runs alone targets one shard, and the aggregator does not batch
    it with other queries. Two kinds of calls run alone. The canary is the
    first call of a query that is not known to be safe; the other shards are
    called when it has succeeded. Its hedge and its retries, on other leaves,
    are canaries too. A probe is the first retry after the query has crashed a
    leaf outside the canary phase; the other retries follow when it has
    succeeded. If it fails, the next retry, of any of the shards, is a probe.
    """

    def __init__(
        self,
        shard_map: ShardMap,
        k: int,
        fingerprint: str,
        rng: Random,
        budget: Budget,
        quantile: RunningQuantile,
        *,
        canary: bool,
        crashes: int = 0,
    ) -> None:
        """Pins the shard map.

        Args:
            shard_map: Index version and replicas to use.
            k: Number of matches to return.
            fingerprint: Determines the shard and leaf of the canary.
            rng: Random number generator for the choice of replicas.
            budget: Limits hedges and retries.
            quantile: Latency estimate after which calls are hedged.
            canary: Whether one shard must succeed before others are called.
            crashes: Number of known crashes caused by the query.
        """
        self._map = shard_map
        self._k = k
        self._fingerprint = fingerprint
        self._rng = rng
        self._budget = budget
        self._quantile = quantile
        self._coverage = Coverage(shard_map.documents)
        self._matches: list[Any] = []
        self._open_count = len(shard_map.shards)
        # Shards that were answered or are not tried any more.
        self._closed: set[int] = set()
        self._attempts = [0] * len(shard_map.shards)
        self._running_calls = [0] * len(shard_map.shards)
        self._tried_replicas: dict[int, set[Replica]] = {}
        self._hedged: set[int] = set()
        self._calls: set[Call] = set()
        self._in_canary_phase = canary
        self._canary_candidates = canary_leaves(shard_map, fingerprint)
        self._canary_calls = 0
        self._crashes = crashes
        self._probe_shard: int | None = None
        # Shards to retry when the probe has succeeded.
        self._deferred_by_probe: set[int] = set()
        # Shards to retry when a view reports a holder for one of their leaves.
        self._awaiting_holder: set[int] = set()
        self._started = -math.inf
        self._hedge_at = math.inf
        self.counts = CallCounts()
        self.is_known_safe = False
        self.version_gone = False
        # Whether any call has crashed a leaf.
        self.has_crashed_leaf = False
        # Leaves that crashed in calls that ran alone. Other crashes are not
        # included, so this may be empty even if has_crashed_leaf is true.
        self.crashed_leaves: set[str] = set()
        # Holders whose views here may be outdated: they refused a call as not
        # being the holder, or a call could not be sent to them.
        self.outdated_holders: set[str] = set()
        self._is_suspected = False

    @property
    def coverage(self) -> Coverage:
        """Coverage of the merged results."""
        return self._coverage

    @property
    def matches(self) -> list[Any]:
        """The best matches of the merged results."""
        return self._matches

    @property
    def version(self) -> str:
        """The pinned index version."""
        return self._map.version

    @property
    def is_done(self) -> bool:
        """Whether all shards have answered or failed."""
        return self._open_count == 0

    @property
    def is_awaiting_holder(self) -> bool:
        """Whether shards wait for a holder.

        If so, resume must be called after each view reply.
        """
        return bool(self._awaiting_holder)

    @property
    def hedge_at(self) -> float:
        """Time in seconds at which hedge must be called."""
        return self._hedge_at

    def start(self, now: float) -> list[Call]:
        """Returns the first calls."""
        self._started = now
        if self._in_canary_phase:
            return self._next_canary(now, REASON_NO_LEAF)
        return self._start_all(now)

    def handle_part(self, call: Call, part: Any, now: float) -> list[Call]:
        """Handles a Part received for a call.

        Raises:
            MisroutedError: The part does not match the call.
            QuarantinedError: The query has crashed a second leaf.
        """
        results = part.results or ()
        validate_part(call, results, part.matches or ())
        calls: list[Call] = []
        retryable: list[int] = []
        answered = 0
        for result in results:
            if result.shard not in call.waiting:
                continue
            self._end_shard_call(call, result.shard)
            if result.status == ShardStatus.OK:
                answered += 1
                self._record_answer(call, result)
                # An answer from the probe's shard, or to a call that ran alone,
                # shows that the query is safe. This includes a canary call
                # that answers after its hedge, or after the call it hedges.
                if result.shard == self._probe_shard or call.alone:
                    calls += self._confirm_safe(result.shard, now)
            else:
                self._record_failure(call, result, retryable, now)
        if answered:
            self._matches = merge(self._matches, part.matches, self._k)
            if not call.hedge:
                self._quantile.add((now - call.started) * 1000, answered)
        if part.last:
            retryable += self._end_call(call, now)
        return calls + self._retry(retryable, now)

    def handle_failed_call(
        self, call: Call, now: float, *, sent: bool
    ) -> list[Call]:
        """Handles a call that could not be sent or whose channel was lost.

        Args:
            call: Call that failed.
            now: Time in seconds.
            sent: Whether a leaf may have received the query.
        """
        retryable = self._end_call(call, now, unsent=not sent)
        return self._retry(retryable, now)

    def hedge(self, now: float) -> list[Call]:
        """Returns hedges for calls that exceed the latency estimate."""
        self._hedge_at = math.inf
        if self._probe_shard is not None:
            return []
        if self._in_canary_phase:
            return self._hedge_canary(now)
        chosen: list[tuple[int, Replica]] = []
        for shard, running in enumerate(self._running_calls):
            if running != 1 or shard in self._closed or shard in self._hedged:
                continue
            replica = self._choose_replica(shard)
            # Unlike a usable replica, a ready one is warm or warming up.
            if replica is None or not replica.is_ready:
                continue
            if not self._budget.take_hedge():
                break
            self._hedged.add(shard)
            chosen.append((shard, replica))
        self.counts.hedges += len(chosen)
        return self._create_calls(chosen, now, hedge=True)

    def resume(self, now: float) -> list[Call]:
        """Retries the shards that wait for a holder and now have one."""
        shards, self._awaiting_holder = self._awaiting_holder, set()
        if not shards:
            return []
        for shard in shards:
            tried = self._tried_replicas.get(shard)
            if tried:
                # A replica that lost its holder during the query may be tried
                # again under its next holder.
                tried -= {r for r in tried if r.released_at > self._started}
        if self._in_canary_phase:
            self._canary_candidates = canary_leaves(
                self._map, self._fingerprint
            )
            return self._next_canary(now, REASON_NO_LEAF)
        return self._retry(sorted(shards), now)

    def stop(self, now: float) -> list[Call]:
        """Ends all running calls of the query and returns them."""
        running = list(self._calls)
        for call in running:
            if not call.hedge and call.waiting:
                # The elapsed time is a lower bound of the latency. Without
                # these samples, each hedge that wins would bias the quantile
                # downwards.
                elapsed_ms = (now - call.started) * 1000
                self._quantile.add(elapsed_ms, len(call.waiting))
            for shard in list(call.waiting):
                self._end_shard_call(call, shard)
        self._calls.clear()
        return running

    def _start_all(self, now: float) -> list[Call]:
        self._in_canary_phase = False
        chosen: list[tuple[int, Replica]] = []
        for shard, map_shard in enumerate(self._map.shards):
            if shard in self._closed or self._running_calls[shard]:
                continue
            tried = self._tried_replicas.get(shard, ())
            replica = map_shard.choose(self._rng, tried)
            if replica is None:
                if not tried:
                    self._coverage.record_missing(shard, REASON_NO_LEAF)
                self._await_holder_or_close(shard, now)
            else:
                chosen.append((shard, replica))
        self._budget.refill(len(chosen))
        self._hedge_at = now + self._quantile.value_ms / 1000
        return self._create_calls(chosen, now)

    def _await_holder_or_close(self, shard: int, now: float) -> None:
        """Keeps a shard open during a handover of a leaf's send right."""
        if self._map.shards[shard].is_in_handover(now):
            self._awaiting_holder.add(shard)
        else:
            self._close_shard(shard)

    def _choose_replica(self, shard: int) -> Replica | None:
        tried = self._tried_replicas.get(shard, ())
        return self._map.shards[shard].choose(self._rng, tried)

    def _create_calls(
        self,
        chosen: Iterable[tuple[int, Replica]],
        now: float,
        *,
        hedge: bool = False,
        alone: bool = False,
    ) -> list[Call]:
        """Creates a call to each holder and counts the attempts.

        The replicas are marked as tried, so that retries use other ones.
        """
        by_holder: dict[str, Call] = {}
        for shard, replica in chosen:
            # Callers pass replicas that have a holder.
            holder = replica.holder or ""
            call = by_holder.get(holder)
            if call is None:
                call = Call(holder, {}, hedge, alone, now)
                by_holder[holder] = call
            call.targets[shard] = replica
            call.waiting.add(shard)
            replica.in_flight += 1
            self._attempts[shard] += 1
            self._running_calls[shard] += 1
            self._tried_replicas.setdefault(shard, set()).add(replica)
        calls = list(by_holder.values())
        self._calls.update(calls)
        self.counts.sent += sum(len(call.targets) for call in calls)
        return calls

    def _end_shard_call(self, call: Call, shard: int) -> None:
        call.waiting.discard(shard)
        call.targets[shard].in_flight -= 1
        self._running_calls[shard] -= 1

    def _close_shard(self, shard: int) -> None:
        if shard not in self._closed:
            self._closed.add(shard)
            self._open_count -= 1

    def _record_answer(self, call: Call, result: Any) -> None:
        self._coverage.record_answer(result.shard, result.documents or 0)
        self._close_shard(result.shard)
        self.counts.total_wait_ms += result.wait_ms or 0.0
        self.counts.wait_count += 1

    def _record_failure(
        self, call: Call, result: Any, retryable: list[int], now: float
    ) -> None:
        shard, status = result.shard, ShardStatus(result.status)
        if status == ShardStatus.QUARANTINED:
            raise QuarantinedError("the query has crashed leaves.")
        if status == ShardStatus.VERSION_GONE:
            self.version_gone = True
        if status == ShardStatus.CRASHED:
            if call.alone:
                self.crashed_leaves.add(result.leaf)
            self._record_crash(alone=call.alone)
        if shard in self._closed:
            return
        self._coverage.record_missing(shard, MISSING_REASONS[status])
        replica = call.targets[shard]
        if status == ShardStatus.NOT_HOLDER:
            self._allow_next_holder(call, replica, shard, now)
        if status in NOT_EXECUTED or self._take_retry_or_close(shard):
            retryable.append(shard)

    def _allow_next_holder(
        self, call: Call, replica: Replica, shard: int, now: float
    ) -> None:
        """Makes the replica eligible again under a new holder.

        The leaf has not executed the call, so it doesn't count as an attempt.
        Such attempts are still bounded: each one requires that a view reports
        a holder after the previous attempt, and views arrive at intervals.
        """
        self._attempts[shard] -= 1
        if replica.holder == call.holder:
            replica.release(now)
            self.outdated_holders.add(call.holder)
        elif replica.holder is not None:
            self._tried_replicas[shard].discard(replica)

    def _take_retry_or_close(self, shard: int) -> bool:
        """Takes a retry from the budget, or closes the shard if none is left.

        Canaries have their own limit. While another call for the shard is
        running, no retry is taken because _retry_shards skips the shard.

        Returns:
            Whether the shard remains open.
        """
        if self._in_canary_phase or self._running_calls[shard]:
            return True
        if self._budget.take_retry():
            return True
        self._close_shard(shard)
        return False

    def _record_crash(self, *, alone: bool) -> None:
        """Counts a crash; the first one makes the query suspect.

        Further crashes count only if the query ran alone. Leaves that crash in
        parallel may share a machine, or run other queries in the same batch.
        """
        self._is_suspected = True
        self.is_known_safe = False
        self.has_crashed_leaf = True
        if self._in_canary_phase or alone or self._crashes == 0:
            self._crashes += 1
        if self._crashes >= MAX_CRASHES and (self._in_canary_phase or alone):
            raise QuarantinedError("the query has crashed two leaves.")

    def _end_call(
        self, call: Call, now: float, *, unsent: bool = False
    ) -> list[int]:
        """Ends a call; returns the shards that may be retried."""
        self._calls.discard(call)
        retryable = []
        for shard in list(call.waiting):
            self._end_shard_call(call, shard)
            if shard in self._closed:
                continue
            self._coverage.record_missing(shard, REASON_LOST)
            if unsent:
                replica = call.targets[shard]
                self._allow_next_holder(call, replica, shard, now)
            if unsent or self._take_retry_or_close(shard):
                retryable.append(shard)
        return retryable

    def _retry(self, shards: list[int], now: float) -> list[Call]:
        # If the retry budget is exhausted, a failed probe closes its shard
        # instead of making it retryable. The deferred shards then need a new
        # probe, even if there is nothing else to retry.
        if not shards and self._probe_shard not in self._closed:
            return []
        if self._in_canary_phase:
            return self._retry_canary(shards, now)
        if self._probe_shard is not None:
            return self._defer_or_probe_next(shards, now)
        if self._is_suspected:
            return self._start_probe(shards, now)
        return self._retry_shards(shards, now)

    def _retry_shards(
        self, shards: Iterable[int], now: float, *, alone: bool = False
    ) -> list[Call]:
        """Retries the shards that have attempts and usable replicas left."""
        chosen = []
        for shard in shards:
            if shard in self._closed or self._running_calls[shard]:
                continue
            replica = self._choose_replica(shard)
            if self._attempts[shard] >= MAX_ATTEMPTS:
                self._close_shard(shard)
            elif replica is None:
                self._await_holder_or_close(shard, now)
            else:
                chosen.append((shard, replica))
        self.counts.retries += len(chosen)
        return self._create_calls(chosen, now, alone=alone)

    # After a crash outside the canary phase, the query is probed on another
    # replica of one shard, where it runs alone. Retries of the other failed
    # shards are deferred until the probe succeeds, because parallel retries
    # could crash many leaves.

    def _start_probe(self, shards: list[int], now: float) -> list[Call]:
        self._deferred_by_probe.update(shards)
        while self._deferred_by_probe:
            shard = min(self._deferred_by_probe)
            self._deferred_by_probe.discard(shard)
            calls = self._retry_shards([shard], now, alone=True)
            if calls:
                self._probe_shard = shard
                return calls
        return []

    def _defer_or_probe_next(self, shards: list[int], now: float) -> list[Call]:
        """Defers retries while a probe runs; starts the next if it failed."""
        self._deferred_by_probe.update(shards)
        if (
            self._probe_shard not in shards
            and self._probe_shard not in self._closed
        ):
            return []
        self._probe_shard = None
        return self._start_probe(shards, now)

    def _confirm_safe(self, shard: int, now: float) -> list[Call]:
        """Handles the success of a canary or a probe.

        Returns the calls for all other shards after a canary, and for the
        deferred shards after a probe.
        """
        self.is_known_safe = True
        self._crashes = 0
        self._is_suspected = False
        if self._in_canary_phase:
            return self._start_all(now)
        if shard != self._probe_shard:
            return []
        self._probe_shard = None
        deferred, self._deferred_by_probe = self._deferred_by_probe, set()
        return self._retry_shards(sorted(deferred), now)

    # Canaries try the leaves in an order that is the same on all entries.

    def _next_canary(
        self, now: float, reason: str, *, hedge: bool = False
    ) -> list[Call]:
        if self._canary_calls < MAX_CANARY_CALLS:
            for shard, replica in self._canary_candidates:
                tried = self._tried_replicas.get(shard, ())
                if not replica.is_usable or replica in tried:
                    continue
                self._canary_calls += 1
                self._budget.refill(1)
                if not hedge and self._canary_calls == 1:
                    self._hedge_at = now + self._quantile.value_ms / 1000
                chosen = [(shard, replica)]
                return self._create_calls(chosen, now, hedge=hedge, alone=True)
        if any(self._running_calls):
            return []
        all_shards = range(len(self._map.shards))
        if any(
            self._map.shards[shard].is_in_handover(now) for shard in all_shards
        ):
            self._awaiting_holder.update(all_shards)
            return []
        for shard in all_shards:
            self._coverage.record_missing(shard, reason)
            self._close_shard(shard)
        return []

    def _retry_canary(self, shards: list[int], now: float) -> list[Call]:
        if any(self._running_calls):
            return []
        self.counts.retries += 1
        reason = self._coverage.reason(shards[0]) or REASON_LOST
        return self._next_canary(now, reason)

    def _hedge_canary(self, now: float) -> list[Call]:
        if self._crashes or not self._budget.take_hedge():
            return []
        # The reason is recorded only if there is no running canary to hedge,
        # no leaf left to try and no handover to wait for.
        calls = self._next_canary(now, REASON_DEADLINE, hedge=True)
        self.counts.hedges += len(calls)
        return calls
