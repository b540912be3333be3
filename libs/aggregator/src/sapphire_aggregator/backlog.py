"""Priority queue of the calls to one leaf, and their grouping into batches.

Calls are ordered by priority, then by arrival. Calls with the same version,
shard, text and k share one item, whose query runs once.
"""

from __future__ import annotations

import enum
import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from sapphire_core.quarantine import Verdict
from sapphire_wire.gen.ttypes import ShardStatus
from sapphire_wire.leaf import Hit


@dataclass(frozen=True, slots=True)
class Query:
    """One search, as received in a Scatter.

    Attributes:
        deadline: Absolute time, in seconds of trio's clock.
        canary: Whether it must be the only query of its batch.
    """

    version: str
    text: str
    k: int
    fingerprint: str
    priority: int
    deadline: float
    canary: bool = False


@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call.

    Attributes:
        batch_s: Seconds from the time the batch was taken from the queue to
            its end.
        wait_s: Seconds in the queue.
    """

    status: ShardStatus
    documents: int = 0
    batch_s: float = 0.0
    wait_s: float = 0.0
    matches: list[Hit] = field(default_factory=list)


class Call:
    """One query for one target; it ends exactly once."""

    __slots__ = ("_deliver", "batch", "enqueued", "leaf", "query", "shard")

    def __init__(
        self,
        query: Query,
        shard: int,
        leaf: str,
        enqueued: float,
        deliver: Callable[[Call, CallResult], None],
    ) -> None:
        self.query = query
        self.shard = shard
        self.leaf = leaf
        self.enqueued = enqueued
        self.batch: Batch | None = None
        self._deliver: Callable[[Call, CallResult], None] | None = deliver

    @property
    def is_done(self) -> bool:
        """Whether the call has delivered its result or was abandoned."""
        return self._deliver is None

    def finish(self, result: CallResult) -> None:
        """Delivers the result unless the call is done."""
        deliver, self._deliver = self._deliver, None
        if deliver is not None:
            deliver(self, result)

    def abandon(self) -> None:
        """Ends the call without a result, because its caller cancelled it."""
        if self._deliver is None:
            return
        self._deliver = None
        if self.batch is not None:
            self.batch.check_abandoned()


class QueueItem:
    """Calls with an identical query, which runs once for all of them."""

    __slots__ = ("calls", "order", "taken")

    def __init__(self, call: Call, order: tuple[int, int]) -> None:
        self.calls = [call]
        self.order = order
        self.taken = False

    @property
    def query(self) -> Query:
        """The query to run; all calls have the same text, version and k."""
        return self.calls[0].query

    @property
    def canary(self) -> bool:
        """Whether any of the calls is a canary."""
        return any(call.query.canary for call in self.calls)

    @property
    def deadline(self) -> float:
        """The latest deadline of the callers."""
        return max(call.query.deadline for call in self.calls)

    def finish(self, result: CallResult) -> None:
        """Ends all calls with the same result."""
        for call in self.calls:
            call.finish(result)


class Batch:
    """Items that are sent to the leaf in one request.

    Attributes:
        alone: Whether the batch must consist of a single query. Other batches
            may run on the leaf at the same time.
        exclusive: Whether such a single query has had the leaf to itself:
            nothing else has run on the leaf at the same time.
        on_abandoned: Called when a caller has cancelled and no other caller
            waits for a result of the batch.
    """

    __slots__ = (
        "alone",
        "exclusive",
        "items",
        "on_abandoned",
        "shard",
        "version",
    )

    def __init__(
        self, version: str, shard: int, items: list[QueueItem], alone: bool
    ) -> None:
        self.version = version
        self.shard = shard
        self.items = items
        self.alone = alone
        self.exclusive = False
        self.on_abandoned: Callable[[], None] | None = None
        for item in items:
            for call in item.calls:
                call.batch = self

    @property
    def deadline(self) -> float:
        """The latest deadline of the callers."""
        return max(item.deadline for item in self.items)

    def check_abandoned(self) -> None:
        """Calls `on_abandoned` if no call still waits for a result."""
        if self.on_abandoned is None:
            return
        if all(call.is_done for item in self.items for call in item.calls):
            self.on_abandoned()


class SingleQueryRuns:
    """Running batches that must consist of a single query, by fingerprint.

    Each fingerprint has at most one such batch at a time on all leaves of
    this daemon.
    """

    def __init__(self) -> None:
        self._callbacks: dict[str, list[Callable[[], None]]] = {}

    def is_running(self, fingerprint: str) -> bool:
        """Returns whether the fingerprint is running in a batch of its own."""
        return fingerprint in self._callbacks

    def start(self, fingerprint: str) -> None:
        """Records the start of a run."""
        self._callbacks.setdefault(fingerprint, [])

    def call_when_finished(
        self, fingerprint: str, callback: Callable[[], None]
    ) -> None:
        """Calls the callback once, at the end of the current run."""
        callbacks = self._callbacks[fingerprint]
        if callback not in callbacks:
            callbacks.append(callback)

    def finish(self, fingerprint: str) -> None:
        """Records the end of a run."""
        for callback in self._callbacks.pop(fingerprint, ()):
            callback()


class Placement(enum.Enum):
    """How an item may be put in a batch.

    An item that is to run later stays queued; a refused one is removed.
    """

    SHARED = "shared"
    ALONE = "alone"
    LATER = "later"
    REFUSED = "refused"


_PLACEMENT_BY_VERDICT = {
    Verdict.CLEAR: Placement.SHARED,
    Verdict.SUSPECT: Placement.ALONE,
    Verdict.QUARANTINED: Placement.REFUSED,
}


def placement_of(
    item: QueueItem, verdict: Verdict, single_query_runs: SingleQueryRuns
) -> Placement:
    """Returns how an item may be put in a batch.

    Args:
        item: The item.
        verdict: Verdict on the fingerprint of its query.
        single_query_runs: Single-query batches that are running.
    """
    placement = _PLACEMENT_BY_VERDICT[verdict]
    if placement is Placement.SHARED and item.canary:
        placement = Placement.ALONE
    if placement is Placement.ALONE and single_query_runs.is_running(
        item.query.fingerprint
    ):
        return Placement.LATER
    return placement


# Version and shard, which are the same for all items of a heap.
_HeapKey = tuple[str, int]
# Priority and arrival number, by which the heap is ordered, and the item.
_HeapEntry = tuple[tuple[int, int], QueueItem]


class Backlog:
    """Calls that are queued for one leaf."""

    def __init__(self) -> None:
        self._heaps: dict[_HeapKey, list[_HeapEntry]] = {}
        self._items: dict[tuple[_HeapKey, str, int], QueueItem] = {}
        self._arrivals = itertools.count()

    def __len__(self) -> int:
        """Number of queued queries; identical ones count once."""
        return len(self._items)

    def add(self, call: Call) -> None:
        """Queues a call, in the same item as identical queries."""
        query = call.query
        key = (query.version, call.shard)
        order = (query.priority, next(self._arrivals))
        identity = (key, query.text, query.k)
        item = self._items.get(identity)
        if item is None:
            item = self._items[identity] = QueueItem(call, order)
        else:
            item.calls.append(call)
            if order >= item.order:
                return
            # The old heap entry is skipped when it is popped, since its order
            # is no longer that of the item.
            item.order = order
        heapq.heappush(self._heaps.setdefault(key, []), (order, item))

    def has_identical(self, call: Call) -> bool:
        """Returns whether an identical query is queued."""
        key = (call.query.version, call.shard)
        return (key, call.query.text, call.query.k) in self._items

    def remove_finished(self) -> None:
        """Removes items all of whose calls are done."""
        for item in list(self._items.values()):
            if all(call.is_done for call in item.calls):
                self._remove(item)

    def evict_last(self, priority: int) -> QueueItem | None:
        """Removes the last item in order if it has a lower priority.

        Returns:
            The removed item, or None if its priority is not lower. Larger
            numbers are lower priorities.
        """
        last = max(self._items.values(), key=lambda i: i.order, default=None)
        if last is None or last.order[0] <= priority:
            return None
        self._remove(last)
        return last

    def drain(self) -> list[QueueItem]:
        """Removes and returns all items."""
        items = list(self._items.values())
        self._heaps.clear()
        self._items.clear()
        return items

    def take(
        self,
        max_queries: int,
        now: float,
        decide: Callable[[QueueItem], Placement],
    ) -> Batch | None:
        """Removes and returns the next batch, or None.

        Ends expired calls as late and refused items as quarantined. A batch
        contains items of a single version and shard: those of the first item
        in order that may run now. An item that must run alone gets a batch of
        its own.

        Args:
            max_queries: Maximum number of queries in the batch.
            now: Current time.
            decide: Returns how an item may be put in a batch.
        """
        deferred: list[tuple[_HeapKey, _HeapEntry]] = []
        batch: Batch | None = None
        while batch is None and (key := self._first_key()) is not None:
            batch = self._take_from(key, max_queries, now, decide, deferred)
        for key, entry in deferred:
            heapq.heappush(self._heaps.setdefault(key, []), entry)
        return batch

    def _take_from(
        self,
        key: _HeapKey,
        max_queries: int,
        now: float,
        decide: Callable[[QueueItem], Placement],
        deferred: list[tuple[_HeapKey, _HeapEntry]],
    ) -> Batch | None:
        heap = self._heaps[key]
        chosen: list[QueueItem] = []
        while heap and len(chosen) < max_queries:
            entry = heapq.heappop(heap)
            order, item = entry
            if item.taken or item.order != order:
                continue
            if not _retain_unfinished_calls(item, now):
                self._remove(item)
                continue
            placement = decide(item)
            if placement is Placement.REFUSED:
                self._remove(item)
                item.finish(CallResult(ShardStatus.QUARANTINED))
            elif placement is Placement.ALONE and not chosen:
                self._remove(item)
                return Batch(*key, [item], alone=True)
            elif placement is Placement.SHARED:
                self._remove(item)
                chosen.append(item)
            else:
                deferred.append((key, entry))
        return Batch(*key, chosen, alone=False) if chosen else None

    def _first_key(self) -> _HeapKey | None:
        for key in [key for key, heap in self._heaps.items() if not heap]:
            del self._heaps[key]
        return min(
            self._heaps, key=lambda key: self._heaps[key][0][0], default=None
        )

    def _remove(self, item: QueueItem) -> None:
        item.taken = True
        query, shard = item.query, item.calls[0].shard
        del self._items[((query.version, shard), query.text, query.k)]


def _retain_unfinished_calls(item: QueueItem, now: float) -> bool:
    """Ends expired calls as late and removes finished calls from the item.

    Returns:
        Whether any call is left. If none is, item.calls stays unchanged, as the
        shard of its first call is needed to remove the item.
    """
    for call in item.calls:
        if call.query.deadline <= now:
            call.finish(
                CallResult(ShardStatus.LATE, wait_s=now - call.enqueued)
            )
    left = [call for call in item.calls if not call.is_done]
    if left:
        item.calls = left
    return bool(left)
