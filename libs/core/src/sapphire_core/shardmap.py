"""Shard maps: the versions, shards and replicas that the known leaves form.

Aggregators report to this process the leaves that they may send to. The holder
of a leaf is the aggregator that has its send right. A shard is served by one or
more leaves, its replicas.
"""

from __future__ import annotations

import enum
import math
import re
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

# One choice in this many goes to an idle cold leaf although warm ones exist,
# because a cold leaf becomes warm only by successful replies.
COLD_CHOICE_INTERVAL = 16
# Maximum time for a send right to move to its next holder, in seconds; see
# section 6.2 of docs/design.md. Searches wait up to this long for a shard whose
# leaves have lost their holder.
HANDOVER_S = 3.5


class ReplicaState(enum.IntEnum):
    """State of a leaf as its holder reports it; see `window.State`."""

    DOWN = 0
    COLD = 1
    WARMING = 2
    WARM = 3
    SHEDDING = 4
    DRAINING = 5


_READY = frozenset({ReplicaState.WARM, ReplicaState.WARMING})


@dataclass(frozen=True, slots=True)
class LoadedVersion:
    """One index version that a leaf has loaded.

    Attributes:
        version: Name of the version.
        shard: Index of the shard that the leaf serves.
        shards: Number of shards of the version.
        documents: Number of documents in the shard.
    """

    version: str
    shard: int
    shards: int
    documents: int


@dataclass(slots=True, eq=False)
class Replica:
    """What this process knows of a leaf; shared by all shard maps.

    Attributes:
        address: Address of the leaf.
        holder: Address at which the system's own processes reach the
            aggregator that has its send right; None while no aggregator
            reports the leaf.
        failure_domain: Failure domain in which the leaf runs.
        state: State reported by the holder.
        latency_ms: Duration of one call to the leaf, as the holder reports it.
        queued: Number of queries waiting at the holder, as last reported.
        in_flight: Number of queries sent by this process without a reply yet.
        in_service: False if the configuration does not use the leaf.
        versions: Index versions that the leaf has loaded.
        released_at: Time at which the leaf last lost its holder, as seen by
            this process, in seconds; -inf if it has not lost one.
    """

    address: str
    holder: str | None
    failure_domain: str
    state: ReplicaState
    latency_ms: float
    queued: int
    in_flight: int = 0
    in_service: bool = True
    versions: tuple[LoadedVersion, ...] = ()
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
        """Whether the leaf can be given its share of the load."""
        return self.is_usable and self.state in _READY

    def release(self, now: float) -> None:
        """Records that the leaf has no holder: no aggregator reports it."""
        if self.holder is not None:
            self.holder = None
            self.released_at = now

    def is_in_handover(self, now: float) -> bool:
        """Whether the leaf's send right may still be moving to the next holder.

        This is False for a leaf that was down: it would not answer its next
        holder either, and waiting for it would delay the answer until the
        deadline.
        """
        return (
            self.holder is None
            and self.in_service
            and self.state is not ReplicaState.DOWN
            and now - self.released_at < HANDOVER_S
        )

    def expected_wait_ms(self) -> float:
        """Returns the expected waiting time, used to compare replicas."""
        return self.latency_ms * (1 + self.queued + self.in_flight)


@dataclass(frozen=True, slots=True, eq=False)
class Shard:
    """The replicas of one shard of one version.

    Attributes:
        documents: Largest number of documents that a replica has reported.
        replicas: All replicas.
        ready: Replicas that were ready when the map was created.
        cold: Usable replicas that were cold when the map was created.
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
        """Whether a leaf is expected to answer for the shard soon."""
        return any(replica.is_in_handover(now) for replica in self.replicas)

    def choose(
        self, rng: Random, exclude: Collection[Replica] = ()
    ) -> Replica | None:
        """Returns the better of two random replicas by expected wait.

        If `exclude` is empty, as in the first attempt of a search, the choice
        is sometimes an idle cold replica instead; see COLD_CHOICE_INTERVAL.

        Shedding and draining leaves are chosen only if no other is left.

        Args:
            rng: Random number generator.
            exclude: Replicas that were already tried.

        Returns:
            A replica, or None if no usable replica is left.
        """
        if not exclude:
            cold = self._choose_cold(rng)
            if cold is not None:
                return cold
            if self.ready:
                chosen = _better_of_two(self.ready, rng)
                if chosen.is_ready:
                    return chosen
        ready = [r for r in self.ready if r.is_ready and r not in exclude]
        if ready:
            return _better_of_two(ready, rng)
        usable = [r for r in self.replicas if r.is_usable and r not in exclude]
        if not usable:
            return None
        cold_replicas = [r for r in usable if r.state is ReplicaState.COLD]
        return _better_of_two(
            [r for r in usable if r.is_ready] or cold_replicas or usable, rng
        )

    def _choose_cold(self, rng: Random) -> Replica | None:
        # The second condition is false for one draw in COLD_CHOICE_INTERVAL.
        if not self.cold or int(rng.random() * COLD_CHOICE_INTERVAL):
            return None
        replica = self.cold[int(rng.random() * len(self.cold))]
        is_idle = replica.is_usable and replica.queued + replica.in_flight == 0
        return replica if is_idle else None


@dataclass(frozen=True, slots=True, eq=False)
class ShardMap:
    """The shards of one version of one service."""

    version: str
    shards: tuple[Shard, ...]

    @property
    def is_complete(self) -> bool:
        """Whether every shard has a leaf that can answer."""
        return self.served_count == len(self.shards)

    @property
    def served_count(self) -> int:
        """Number of shards that have a leaf that can answer."""
        return sum(shard.is_served for shard in self.shards)

    @property
    def documents(self) -> list[int]:
        """Number of documents of each shard; 0 if no replica was reported."""
        return [shard.documents for shard in self.shards]


@dataclass(slots=True)
class _VersionShards:
    """Replicas and document counts of one version, by shard."""

    replicas: dict[int, list[Replica]] = field(default_factory=dict)
    documents: dict[int, int] = field(default_factory=dict)


def version_sort_key(version: str) -> list[tuple[int, str]]:
    """Returns a sort key that compares numbers in version names as numbers."""
    return [
        (int(part), "") if part.isdecimal() else (-1, part)
        for part in re.findall(r"[0-9]+|[^0-9]+", version)
    ]


def select_map(replicas: Iterable[Replica]) -> ShardMap | None:
    """Returns the map to use for searches: that of the newest complete version.

    If no version is complete, returns the newest of those with the most
    served shards. Returns None if no leaf has loaded any version.
    """
    best: ShardMap | None = None
    best_key: tuple[int, list[tuple[int, str]], int] | None = None
    for (version, shard_count), version_shards in _group_by_version(
        replicas
    ).items():
        shard_map = ShardMap(
            version, _build_shards(version_shards, shard_count)
        )
        served = shard_map.served_count
        # Complete versions rank above all others, whatever their shard count.
        rank = _COMPLETE_RANK if served == shard_count else served
        key = (rank, version_sort_key(version), shard_count)
        if best_key is None or key > best_key:
            best, best_key = shard_map, key
    return best


# Larger than any realistic number of served shards, which is the rank of an
# incomplete version.
_COMPLETE_RANK = 1 << 31


def _group_by_version(
    replicas: Iterable[Replica],
) -> dict[tuple[str, int], _VersionShards]:
    versions: dict[tuple[str, int], _VersionShards] = {}
    for replica in replicas:
        for loaded in replica.versions:
            if not 0 <= loaded.shard < loaded.shards:
                continue
            version_shards = versions.setdefault(
                (loaded.version, loaded.shards), _VersionShards()
            )
            version_shards.replicas.setdefault(loaded.shard, []).append(replica)
            known = version_shards.documents.get(loaded.shard, 0)
            version_shards.documents[loaded.shard] = max(
                known, loaded.documents
            )
    return versions


def _build_shards(
    version_shards: _VersionShards, shard_count: int
) -> tuple[Shard, ...]:
    return tuple(
        _build_shard(
            version_shards.documents.get(i, 0),
            version_shards.replicas.get(i, ()),
        )
        for i in range(shard_count)
    )


def _build_shard(documents: int, replicas: Sequence[Replica]) -> Shard:
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
