"""Shard maps: from reported leaves to versions and replicas."""

from __future__ import annotations

import enum
import math
import re
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

# A cold leaf becomes warm only by good replies, so that one choice in 16
# goes to an idle cold leaf although warm ones exist.
COLD_CHOICES = 16
# A send right moves to its next holder within this time; see section 6.2
# of the design. A shard whose leaves have none is worth waiting for until
# then.
HANDOVER_S = 3.5


class ReplicaState(enum.IntEnum):
    """State of a leaf as its holder reports it."""

    DOWN = 0
    COLD = 1
    WARMING = 2
    WARM = 3
    SHEDDING = 4
    DRAINING = 5


_READY = frozenset({ReplicaState.WARM, ReplicaState.WARMING})


@dataclass(frozen=True, slots=True)
class HeldVersion:
    """One index version that a leaf holds."""

    version: str
    shard: int
    shards: int
    documents: int


@dataclass(slots=True, eq=False)
class Replica:
    """A leaf as this process knows it; shared by all maps.

    Attributes:
        address: Address of the leaf.
        holder: Frame address of the aggregator that holds its send right;
            None while no aggregator reports it.
        failure_domain: Where the leaf runs.
        state: Reported state.
        latency_ms: Reported time of one call.
        queued: Queries that wait at the holder, as last reported.
        pending: Queries that this process has sent and that have no reply.
        in_service: False if the configuration does not use the leaf.
        versions: Index versions that the leaf holds.
        released_at: When the leaf lost its holder, in seconds.
    """

    address: str
    holder: str | None
    failure_domain: str
    state: ReplicaState
    latency_ms: float
    queued: int
    pending: int = 0
    in_service: bool = True
    versions: tuple[HeldVersion, ...] = ()
    released_at: float = -math.inf

    @property
    def is_usable(self) -> bool:
        """Whether queries can be sent to the leaf at all."""
        return (
            self.holder is not None
            and self.in_service
            and self.state is not ReplicaState.DOWN
        )

    @property
    def is_ready(self) -> bool:
        """Whether the leaf takes its share of the load."""
        return self.is_usable and self.state in _READY

    def release(self, now: float) -> None:
        """Notes that no aggregator holds the leaf."""
        if self.holder is not None:
            self.holder = None
            self.released_at = now

    def is_in_handover(self, now: float) -> bool:
        """Whether the leaf's send right is on its way to the next holder.

        A leaf that was down will not answer its next holder either, and
        waiting for it would delay the answer to the deadline.
        """
        return (
            self.holder is None
            and self.in_service
            and self.state is not ReplicaState.DOWN
            and now - self.released_at < HANDOVER_S
        )

    def expected_wait_ms(self) -> float:
        """Returns the estimate by which replicas are compared."""
        return self.latency_ms * (1 + self.queued + self.pending)


@dataclass(frozen=True, slots=True, eq=False)
class Shard:
    """The replicas of one shard of one version.

    Attributes:
        documents: Documents of the fullest replica that was seen.
        replicas: All replicas.
        ready: Replicas that took their share when the map was made.
        cold: Usable replicas in a cold start when the map was made.
    """

    documents: int
    replicas: tuple[Replica, ...]
    ready: tuple[Replica, ...]
    cold: tuple[Replica, ...]

    @property
    def is_served(self) -> bool:
        """Whether a leaf can answer for the shard."""
        return any(replica.is_usable for replica in self.replicas)

    def is_in_handover(self, now: float) -> bool:
        """Whether a leaf can be expected to answer for the shard soon."""
        return any(replica.is_in_handover(now) for replica in self.replicas)

    def choose(
        self, rng: Random, exclude: Collection[Replica] = ()
    ) -> Replica | None:
        """Returns a replica by two random choices on expected wait.

        Shedding and draining leaves are chosen only if no other is left.

        Args:
            rng: Source of the choices.
            exclude: Replicas that were tried before.

        Returns:
            None if no usable replica is left.
        """
        if not exclude:
            cold = self._choose_cold(rng)
            if cold is not None:
                return cold
            if self.ready:
                first = _better_of_two(self.ready, rng)
                if first.is_ready:
                    return first
        ready = [r for r in self.ready if r.is_ready and r not in exclude]
        if ready:
            return _better_of_two(ready, rng)
        usable = [r for r in self.replicas if r.is_usable and r not in exclude]
        if not usable:
            return None
        cold_ones = [r for r in usable if r.state is ReplicaState.COLD]
        return _better_of_two(
            [r for r in usable if r.is_ready] or cold_ones or usable, rng
        )

    def _choose_cold(self, rng: Random) -> Replica | None:
        if not self.cold or int(rng.random() * COLD_CHOICES):
            return None
        replica = self.cold[int(rng.random() * len(self.cold))]
        idle = replica.is_usable and replica.queued + replica.pending == 0
        return replica if idle else None


@dataclass(frozen=True, slots=True, eq=False)
class ShardMap:
    """The shards of one version of one service."""

    version: str
    shards: tuple[Shard, ...]

    @property
    def is_complete(self) -> bool:
        """Whether a leaf can answer for each shard."""
        return self.served_count == len(self.shards)

    @property
    def served_count(self) -> int:
        """Shards for which a leaf can answer."""
        return sum(shard.is_served for shard in self.shards)

    @property
    def documents(self) -> list[int]:
        """Documents of each shard; 0 if no replica was ever seen."""
        return [shard.documents for shard in self.shards]


@dataclass(slots=True)
class _Draft:
    """Replicas and documents of a version, by shard."""

    replicas: dict[int, list[Replica]] = field(default_factory=dict)
    documents: dict[int, int] = field(default_factory=dict)


def version_sort_key(version: str) -> list[tuple[int, str]]:
    """Returns the sort key of a version name; numbers count as numbers."""
    return [
        (int(part), "") if part.isdecimal() else (-1, part)
        for part in re.findall(r"[0-9]+|[^0-9]+", version)
    ]


def select_map(replicas: Iterable[Replica]) -> ShardMap | None:
    """Returns the map to serve: the newest whole one, or the fullest.

    If no version is whole, the newest of those with the most shards is
    returned; None if no leaf holds any version.
    """
    best: ShardMap | None = None
    best_key: tuple[int, list[tuple[int, str]], int] | None = None
    for (version, count), draft in _drafts(replicas).items():
        shard_map = ShardMap(version, _shards(draft, count))
        served = shard_map.served_count
        # Whole versions come before all others whatever their shard count.
        rank = _WHOLE if served == count else served
        key = (rank, version_sort_key(version), count)
        if best_key is None or key > best_key:
            best, best_key = shard_map, key
    return best


_WHOLE = 1 << 31


def _drafts(
    replicas: Iterable[Replica],
) -> dict[tuple[str, int], _Draft]:
    drafts: dict[tuple[str, int], _Draft] = {}
    for replica in replicas:
        for held in replica.versions:
            if not 0 <= held.shard < held.shards:
                continue
            draft = drafts.setdefault((held.version, held.shards), _Draft())
            draft.replicas.setdefault(held.shard, []).append(replica)
            known = draft.documents.get(held.shard, 0)
            draft.documents[held.shard] = max(known, held.documents)
    return drafts


def _shards(draft: _Draft, count: int) -> tuple[Shard, ...]:
    return tuple(
        _shard(draft.documents.get(i, 0), draft.replicas.get(i, ()))
        for i in range(count)
    )


def _shard(documents: int, replicas: Sequence[Replica]) -> Shard:
    ordered = tuple(sorted(replicas, key=lambda r: r.address))
    return Shard(
        documents,
        ordered,
        tuple(r for r in ordered if r.is_ready),
        tuple(
            r for r in ordered if r.is_usable and r.state is ReplicaState.COLD
        ),
    )


def _better_of_two(replicas: Sequence[Replica], rng: Random) -> Replica:
    count = len(replicas)
    if count == 1:
        return replicas[0]
    first = int(rng.random() * count)
    second = int(rng.random() * (count - 1))
    if second >= first:
        second += 1
    one, two = replicas[first], replicas[second]
    if two.expected_wait_ms() < one.expected_wait_ms():
        return two
    return one
