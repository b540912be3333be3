"""Merging of the matches of several shards into the best k."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol, TypeVar


class Scored(Protocol):
    """A match reported by a leaf."""

    document: str
    score: float


MatchType = TypeVar("MatchType", bound=Scored)


def order(match: Scored) -> tuple[float, str]:
    """Returns the sort key of a match: best score first, then document."""
    return (-match.score, match.document)


def merge(
    merged: Iterable[MatchType], added: Iterable[MatchType], k: int
) -> list[MatchType]:
    """Returns the best k distinct documents of two lists.

    A document in both lists is returned once, with its higher score. Hedged
    replies of a shard may repeat its documents. As all replies come from the
    same index version, the repeated scores are equal.
    """
    best: dict[str, MatchType] = {}
    for matches in (merged, added):
        for match in matches:
            known = best.get(match.document)
            if known is None or match.score > known.score:
                best[match.document] = match
    return heapq.nsmallest(k, best.values(), key=order)
