"""Calls of a query to the aggregators, and the reasons for missing shards.

A call has one or more shards as targets; each target is one shard call.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from sapphire_core.errors import SapphireError
from sapphire_core.shardmap import Replica
from sapphire_wire.gen.ttypes import ShardStatus

REASON_NO_LEAF = "no_leaf"
REASON_LOST = "lost"
REASON_DEADLINE = "deadline"
REASON_CRASHED = "crashed"

MISSING_REASONS = {
    ShardStatus.FAILED: "failed",
    ShardStatus.SHED: "shed",
    ShardStatus.NOT_HOLDER: "not_holder",
    ShardStatus.VERSION_GONE: "version_gone",
    ShardStatus.LATE: "late",
    ShardStatus.QUARANTINED: "quarantined",
    ShardStatus.DRAINING: "draining",
    ShardStatus.CRASHED: REASON_CRASHED,
}
# Statuses of calls that the leaf did not execute. Retrying them adds no load on
# the leaves, so they need no token of the retry budget.
NOT_EXECUTED = frozenset(
    {ShardStatus.NOT_HOLDER, ShardStatus.DRAINING, ShardStatus.VERSION_GONE}
)


class MisroutedError(SapphireError):
    """A reply is not a valid answer to the call.

    It names a shard or leaf that the call did not target, contains a score that
    is not finite, or is a frame of another type.
    """

    kind = "misrouted"


@dataclass(slots=True, eq=False)
class Call:
    """A Scatter request to one aggregator.

    Attributes:
        holder: Address at which the aggregator accepts frames, the messages
            between daemons.
        targets: Target replica of each shard.
        hedge: Whether the call duplicates one that is still running.
        alone: Whether this is a canary or a probe: one shard is called, and
            the aggregator does not batch the query with others.
        started: Start time in seconds.
        waiting: Shards for which this call has no result yet.
    """

    holder: str
    targets: dict[int, Replica]
    hedge: bool
    alone: bool
    started: float
    waiting: set[int] = field(default_factory=set)


@dataclass(slots=True)
class CallCounts:
    """Shard call counts and queueing times of a query, for the metrics.

    Attributes:
        sent: Number of shard calls sent, including hedges and retries.
        hedges: Number of hedges.
        retries: Number of retries.
        total_wait_ms: Total time that answered shard calls spent in the
            queues of the aggregators.
        wait_count: Number of shard calls in that total.
    """

    sent: int = 0
    hedges: int = 0
    retries: int = 0
    total_wait_ms: float = 0.0
    wait_count: int = 0


def validate_part(
    call: Call, results: Iterable[Any], matches: Iterable[Any]
) -> None:
    """Validates a part against the call that it answers.

    Raises:
        MisroutedError: The part names a leaf that the call did not target,
            or contains a score that is not finite.
    """
    for result in results:
        replica = call.targets.get(result.shard)
        if replica is None or replica.address != result.leaf:
            raise MisroutedError(
                f"{call.holder} answered for shard {result.shard} of"
                f" leaf {result.leaf!r}, which was not asked."
            )
    for match in matches:
        if not math.isfinite(match.score):
            raise MisroutedError(f"{call.holder} sent a bad score.")
