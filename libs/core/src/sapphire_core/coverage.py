"""Coverage of an answer: the shards of the pinned map that it contains.

The pinned map is the shard map that one execution of a search uses throughout,
even if a newer map becomes available.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MissingShard:
    """A shard that is missing from an answer, and the reason."""

    shard: int
    reason: str


class Coverage:
    """Counts the shards and documents that were merged into an answer."""

    def __init__(self, documents: Sequence[int]) -> None:
        """Starts without any merged shard.

        Args:
            documents: Number of documents of each shard of the pinned map; 0 if
                unknown.
        """
        self._documents = list(documents)
        self._answered: dict[int, int] = {}
        self._reasons: dict[int, str] = {}

    @property
    def shards_total(self) -> int:
        """Number of shards in the pinned map."""
        return len(self._documents)

    @property
    def shards_answered(self) -> int:
        """Number of shards that were merged."""
        return len(self._answered)

    @property
    def documents_total(self) -> int:
        """Number of documents in the pinned map.

        It grows if a reply reports more documents than the map has for its
        shard.
        """
        return sum(self._documents)

    @property
    def documents_answered(self) -> int:
        """Number of documents in the shards that were merged."""
        return sum(self._answered.values())

    @property
    def is_complete(self) -> bool:
        """Whether all shards and all of their documents were merged.

        A replica that holds fewer documents than another replica of its
        shard makes the answer incomplete.
        """
        return (
            self.shards_answered == self.shards_total
            and self.documents_answered == self.documents_total
        )

    def record_answer(self, shard: int, documents: int) -> None:
        """Records a merged shard. Repeated replies for a shard are ignored.

        Args:
            shard: Index of the shard in the pinned map.
            documents: Number of documents that the replica searched.

        Raises:
            IndexError: The shard is not in the pinned map.
        """
        if not 0 <= shard < len(self._documents):
            raise IndexError(f"shard {shard} is not in the pinned map")
        if shard in self._answered:
            return
        self._answered[shard] = documents
        if documents > self._documents[shard]:
            self._documents[shard] = documents
        self._reasons.pop(shard, None)

    def record_missing(self, shard: int, reason: str) -> None:
        """Records why a shard is missing, unless it was merged."""
        if shard not in self._answered:
            self._reasons[shard] = reason

    def reason(self, shard: int) -> str | None:
        """Returns the recorded reason for a missing shard, if any."""
        return self._reasons.get(shard)

    def missing(self, default: str) -> list[MissingShard]:
        """Returns the shards that were not merged.

        Args:
            default: Reason for shards without a recorded one.
        """
        return [
            MissingShard(shard, self._reasons.get(shard, default))
            for shard in range(len(self._documents))
            if shard not in self._answered
        ]
