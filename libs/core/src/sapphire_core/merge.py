"""Merging of the matches of many shards into the best k."""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol, TypeVar


class Scored(Protocol):
    """A match as a leaf reports it."""

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

    A document that both lists contain counts once with its better score.
    Hedged replies of one shard may repeat its documents, and all replies
    come from one index version, so that the repeated score is the same.
    """
    best: dict[str, MatchType] = {}
    for matches in (merged, added):
        for match in matches:
            known = best.get(match.document)
            if known is None or match.score > known.score:
                best[match.document] = match
    return heapq.nsmallest(k, best.values(), key=order)
