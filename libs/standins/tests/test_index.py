"""Tests of the document corpus and search."""

import heapq

import pytest
from sapphire_standins import corpus
from sapphire_standins.index import shard_index, single_index_answer


@pytest.mark.parametrize("shards", [1, 2, 3, 7])
@pytest.mark.parametrize("text", ["dermal margin", "appeal", "lot Lot salt"])
def test_merged_shard_results_equal_an_unsharded_index(shards, text):
    """Guards against scores that depend on the shard."""
    parts = [
        match
        for shard in range(shards)
        for match in shard_index("v1", shards, shard).search(text, 10)
    ]
    merged = heapq.nsmallest(10, parts, key=lambda x: (-x.score, x.id))
    assert merged == single_index_answer("v1", text, 10)


def test_ties_are_ordered_by_id():
    """Guards against an undefined order of equal scores.

    Merged results would then depend on the number of shards.
    """
    answer = single_index_answer("v1", "dermal", 3_000)
    scores = [match.score for match in answer]
    assert len(set(scores)) < len(scores)
    assert answer == sorted(answer, key=lambda x: (-x.score, x.id))


def test_versions_differ_in_documents():
    """Guards against versions whose results can't be told apart."""
    old = {x.id for x in corpus.documents("v1")}
    new = {x.id for x in corpus.documents("v2")}
    assert old - new
    assert new - old


def test_documents_are_the_same_in_each_release(snapshot):
    """Guards against a corpus or score change that alters known results.

    Compares the last document, which depends on all random draws before it, and
    one search result.
    """
    last = corpus.documents("v1")[-1]
    answer = single_index_answer("v1", "tender deadline appeal", 3)
    assert (last, answer) == snapshot
