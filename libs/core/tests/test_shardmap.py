"""Tests of shard maps."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.shardmap import (
    LoadedVersion,
    Replica,
    ReplicaState,
    select_map,
    version_sort_key,
)


def _leaf(name, *loaded: tuple, state=ReplicaState.WARM, latency_ms=1.0):
    replica = Replica(name, "holder", "d", state, latency_ms, 0)
    replica.versions = tuple(LoadedVersion(*fields) for fields in loaded)
    return replica


def test_newest_complete_version_is_served():
    """Guards against answers from a version that is still being loaded."""
    leaves = [
        _leaf("a", ("v9", 0, 2, 5), ("v10", 0, 2, 5)),
        _leaf("b", ("v9", 1, 2, 5)),
    ]
    assert select_map(leaves).version == "v9"
    leaves.append(_leaf("c", ("v10", 1, 2, 6)))
    shard_map = select_map(leaves)
    assert shard_map.version == "v10"
    assert shard_map.documents == [5, 6]


def test_version_with_most_shards_is_served_if_none_is_complete():
    """Guards against an empty answer when every version lacks a shard."""
    leaves = [
        _leaf("a", ("v1", 0, 3, 5)),
        _leaf("b", ("v1", 1, 3, 5)),
        _leaf("c", ("v2", 2, 3, 5)),
    ]
    assert select_map(leaves).version == "v1"


def test_down_leaf_is_not_waited_for():
    """Guards against an answer delayed until the deadline by a lost shard."""
    leaf = _leaf("a", ("v1", 0, 1, 5))
    leaf.release(10.0)
    assert leaf.is_in_handover(10.1)
    leaf.state = ReplicaState.DOWN
    assert not leaf.is_in_handover(10.1)


def test_down_leaf_keeps_its_documents_in_the_total():
    """Guards against a lost shard that is not reported as missing."""
    leaves = [
        _leaf("a", ("v1", 0, 2, 5)),
        _leaf("b", ("v1", 1, 2, 7), state=ReplicaState.DOWN),
    ]
    shard_map = select_map(leaves)
    assert shard_map.documents == [5, 7]
    assert shard_map.shards[1].choose(Random(1)) is None


@given(
    st.lists(st.sampled_from(ReplicaState), min_size=1, max_size=5),
    st.integers(0, 99),
    st.booleans(),
)
def test_choice_prefers_leaves_that_are_ready(states, seed, retry):
    """Guards against load on a leaf that is cold, shedding or draining."""
    leaves = [
        _leaf(f"l{i}", ("v1", 0, 1, 5), state=state)
        for i, state in enumerate(states)
    ]
    tried = _leaf("tried", ("v1", 0, 1, 5))
    tried.holder = None
    shard = select_map([*leaves, tried]).shards[0]
    chosen = shard.choose(Random(seed), {tried} if retry else ())
    usable = [leaf for leaf in leaves if leaf.is_usable]
    ready = [leaf for leaf in leaves if leaf.is_ready]
    assert (chosen is None) == (not usable)
    if ready and chosen not in ready:
        # An idle cold leaf gets a small share of the first choices.
        assert chosen.state is ReplicaState.COLD
        assert not retry


def test_shorter_wait_wins_more_often():
    """Guards against a choice that ignores the expected wait."""
    slow = _leaf("slow", ("v1", 0, 1, 5), latency_ms=9.0)
    fast = _leaf("fast", ("v1", 0, 1, 5))
    middle = _leaf("middle", ("v1", 0, 1, 5), latency_ms=3.0)
    shard, rng = select_map([slow, fast, middle]).shards[0], Random(1)
    chosen = [shard.choose(rng) for _ in range(300)]
    assert slow not in chosen
    assert chosen.count(fast) > chosen.count(middle)


def test_numbers_in_versions_are_compared_as_numbers():
    """Guards against sorting version 9 after version 10."""
    assert version_sort_key("v9") < version_sort_key("v10")
    assert version_sort_key("2026-12-9") < version_sort_key("2026-12-10")
