"""Selection of the leaves on which unknown queries run as canaries."""

from __future__ import annotations

from collections.abc import Iterator

from sapphire_core.rendezvous import ranking
from sapphire_core.shardmap import Replica, ShardMap


def canary_leaves(
    shard_map: ShardMap, fingerprint: str
) -> Iterator[tuple[int, Replica]]:
    """Yields one leaf of each shard, then the next leaf of each.

    All entries use the same order. A query is quarantined after crashing two
    leaves. The first canaries of a run go to different shards if at least two
    have usable replicas, so a shard with two replicas keeps one for other
    queries.
    """
    count = len(shard_map.shards)
    first = int(fingerprint[:8], 16) % max(1, count)
    orders = [
        (shard % count, _usable(shard_map, shard % count, fingerprint))
        for shard in range(first, first + count)
    ]
    longest = max((len(order) for _, order in orders), default=0)
    for rank in range(longest):
        for shard, order in orders:
            if rank < len(order):
                yield shard, order[rank]


def _usable(shard_map: ShardMap, shard: int, fingerprint: str) -> list[Replica]:
    """Returns the usable replicas of a shard in the common order.

    Whether a replica is ready is ignored, because entries may see different
    states of a leaf. As long as they agree on which replicas are usable, they
    choose the same one, and its holder receives all canaries of the query.
    """
    usable = {
        replica.address: replica
        for replica in shard_map.shards[shard].replicas
        if replica.is_usable
    }
    return [usable[address] for address in ranking(fingerprint, usable)]
