"""Tests of the planning of a query's shard calls."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sapphire_core.budget import Budget
from sapphire_core.errors import QuarantinedError
from sapphire_core.latency import RunningQuantile
from sapphire_core.shardmap import (
    HANDOVER_S,
    LoadedVersion,
    Replica,
    ReplicaState,
    select_map,
)
from sapphire_entry.gather import Gather
from sapphire_entry.shardcalls import MisroutedError
from sapphire_wire.gen.ttypes import Match, Part, ShardResult, ShardStatus

HOLDERS = ("h0", "h1", "h2")


def _replica(shard, number, shards):
    leaf = f"10.0.{shard}.{number}:80"
    holder = HOLDERS[(shard + number) % 3]
    replica = Replica(leaf, holder, "d", ReplicaState.WARM, 1.0, 0)
    replica.versions = (LoadedVersion("v1", shard, shards, 10 + shard),)
    return replica


def _gather(shards, replicas=2, *, canary=False, crashes=0, share=0.5):
    known = [
        _replica(shard, number, shards)
        for shard in range(shards)
        for number in range(replicas)
    ]
    gather = Gather(
        select_map(known),
        1000,
        "00000001" * 4,
        Random(1),
        Budget(share),
        RunningQuantile(),
        canary=canary,
        crashes=crashes,
    )
    return gather, known


def _result(call, shard, status=ShardStatus.OK):
    leaf = call.targets[shard].address
    return ShardResult(shard, leaf, status, 10 + shard, 1.0, 0.5)


def _part(call, statuses, *, last=True):
    results = [_result(call, s, status) for s, status in statuses.items()]
    good = [s for s, status in statuses.items() if status == ShardStatus.OK]
    matches = [Match(f"doc-{s}", 1.0, "") for s in good]
    return Part(results, matches, last)


def _all(call, status=ShardStatus.OK):
    return _part(call, dict.fromkeys(call.targets, status))


_FAULTS = st.sampled_from(
    [s for s in ShardStatus if s != ShardStatus.QUARANTINED] + ["lost"]
)
# Each step has the choice of a call or holder, whether a part arrives twice or
# a lost call was sent, the status, and a number. The number 0 asks for hedges
# and 1 moves the leaves to another holder; it also sets how many shards the
# part answers, and above 5 the part is the last one.
_STEPS = st.lists(
    st.tuples(st.integers(0, 50), st.booleans(), _FAULTS, st.integers(0, 9)),
    max_size=60,
)


@settings(max_examples=300, deadline=None)
@given(st.integers(1, 8), st.integers(1, 3), st.booleans(), _STEPS)
def test_coverage_equals_what_was_merged(shards, replicas, canary, steps):
    """Guards against coverage that differs from the merged matches.

    Calls end in any order and with any status. Parts may be duplicated or
    contain only some of the shards, and channels may be lost.
    """
    gather, known = _gather(shards, replicas, canary=canary)
    running = list(gather.start(0.0))
    now = 0.0
    try:
        for choice, twice, fault, cut in steps:
            now += 0.01
            if cut == 0:
                running += gather.hedge(now)
            if cut == 1:
                for replica in known:
                    replica.holder = HOLDERS[choice % 3]
                running += gather.resume(now)
            if not running:
                break
            call = running[choice % len(running)]
            if fault == "lost":
                running.remove(call)
                running += gather.handle_failed_call(call, now, sent=twice)
                continue
            waiting = sorted(call.waiting)
            some = waiting[: cut + 1]
            part = _part(call, dict.fromkeys(some, fault), last=cut > 5)
            for _ in range(1 + twice):
                running += gather.handle_part(call, part, now)
            if part.last:
                running.remove(call)
    except QuarantinedError:
        pass
    gather.stop(now)
    coverage = gather.coverage
    merged = {int(m.document[4:]) for m in gather.matches}
    missing = {item.shard for item in coverage.missing("deadline")}
    assert merged | missing == set(range(shards))
    assert merged & missing == set()
    assert coverage.shards_answered == len(merged)
    assert coverage.documents_answered == sum(10 + s for s in merged)
    assert coverage.is_complete == (len(merged) == shards)
    assert all(replica.in_flight == 0 for replica in known)


@settings(max_examples=200, deadline=None)
@given(st.integers(1, 8), st.data())
def test_query_ends_when_every_call_has_ended(shards, data):
    """Guards against a query that waits although no call is running.

    A shard may wait for the next holder of its leaves, but not longer than
    the duration of a handover.
    """
    gather, _ = _gather(shards, 2, canary=data.draw(st.booleans()))
    running = list(gather.start(0.0))
    try:
        while running:
            call = running.pop()
            statuses = {s: data.draw(_FAULTS) for s in call.targets}
            if "lost" in statuses.values():
                running += gather.handle_failed_call(call, 0.1, sent=False)
            else:
                running += gather.handle_part(call, _part(call, statuses), 0.1)
    except QuarantinedError:
        return
    assert gather.is_done or gather.is_awaiting_holder
    assert gather.resume(0.1 + HANDOVER_S) == []
    assert gather.is_done


def test_one_call_goes_to_each_holder():
    """Guards against separate frames for shards with the same holder."""
    gather, _ = _gather(30)
    calls = gather.start(0.0)
    assert sorted(call.holder for call in calls) == sorted(HOLDERS)


def test_misrouted_part_changes_nothing():
    """Guards against merging the results of another query."""
    gather, _ = _gather(2, 1)
    call = gather.start(0.0)[0]
    part = _all(call)
    part.results[0].leaf = "10.9.9.9:80"
    with pytest.raises(MisroutedError):
        gather.handle_part(call, part, 0.1)
    assert gather.coverage.shards_answered == 0
    assert gather.matches == []


def test_retry_goes_to_another_replica():
    """Guards against a retry on the leaf that has just failed."""
    gather, _ = _gather(1, 2)
    (first,) = gather.start(0.0)
    (second,) = gather.handle_part(first, _all(first, ShardStatus.FAILED), 0.1)
    assert second.targets[0] is not first.targets[0]
    gather.handle_part(second, _all(second), 0.2)
    assert gather.coverage.is_complete


@pytest.mark.parametrize(
    ("status", "calls"),
    [(ShardStatus.FAILED, 0), (ShardStatus.NOT_HOLDER, 1)],
)
def test_retries_without_budget(status, calls):
    """Guards against retries that multiply the load of failing leaves."""
    gather, _ = _gather(1, 2, share=0.0)
    (first,) = gather.start(0.0)
    assert len(gather.handle_part(first, _all(first, status), 0.1)) == calls


@pytest.mark.parametrize("canary", [False, True])
def test_shard_waits_for_the_next_holder(canary):
    """Guards against missing shards during a handover of send rights."""
    gather, known = _gather(2, 1, canary=canary)
    waiting = gather.start(0.0)
    while waiting:
        call = waiting.pop()
        part = _all(call, ShardStatus.NOT_HOLDER)
        waiting += gather.handle_part(call, part, 0.1)
    assert gather.is_awaiting_holder
    assert gather.resume(0.2) == []
    for replica in known:
        replica.holder = "h9"
    waiting = gather.resume(0.3)
    while waiting:
        call = waiting.pop()
        assert call.holder == "h9"
        waiting += gather.handle_part(call, _all(call), 0.4)
    assert gather.coverage.is_complete


def test_hedge_repeats_only_waiting_shards():
    """Guards against hedging shards that have already answered."""
    gather, _ = _gather(3, 2)
    calls = gather.start(0.0)
    slow = calls[0]
    for call in calls[1:]:
        gather.handle_part(call, _all(call), 0.01)
    hedges = gather.hedge(gather.hedge_at)
    assert {s for call in hedges for s in call.targets} == set(slow.targets)
    assert all(call.hedge for call in hedges)
    assert gather.hedge(1.0) == []


def test_second_canary_runs_on_another_shard():
    """Guards against a query that crashes both replicas of a shard."""
    gather, _ = _gather(4, 2, canary=True)
    (first,) = gather.start(0.0)
    (second,) = gather.handle_part(
        first, _all(first, ShardStatus.CRASHED), 0.01
    )
    assert set(first.targets).isdisjoint(second.targets)
    assert second.alone


def test_canary_runs_before_the_other_shards():
    """Guards against sending an unknown query to all leaves at once."""
    gather, _ = _gather(4, 2, canary=True)
    other, _ = _gather(4, 2, canary=True)
    (canary,) = gather.start(0.0)
    (same,) = other.start(0.0)
    assert canary.alone
    assert [r.address for r in canary.targets.values()] == [
        r.address for r in same.targets.values()
    ]
    calls = gather.handle_part(canary, _all(canary), 0.1)
    assert gather.is_known_safe
    assert sum(len(call.targets) for call in calls) == 3


def test_second_crash_of_a_canary_quarantines():
    """Guards against a query that crashes more than two leaves."""
    gather, _ = _gather(4, 3, canary=True)
    (first,) = gather.start(0.0)
    (second,) = gather.handle_part(first, _all(first, ShardStatus.CRASHED), 0.1)
    assert second.alone
    leaves = {r for c in (first, second) for r in c.targets.values()}
    assert len(leaves) == 2
    with pytest.raises(QuarantinedError):
        gather.handle_part(second, _all(second, ShardStatus.CRASHED), 0.2)


def test_canary_names_the_leaf_that_it_crashed():
    """Guards against a crash that two aggregators count separately."""
    gather, _ = _gather(4, 3, canary=True)
    (first,) = gather.start(0.0)
    gather.handle_part(first, _all(first, ShardStatus.CRASHED), 0.1)
    assert gather.crashed_leaves == {r.address for r in first.targets.values()}


def test_known_crash_allows_one_attempt():
    """Guards against allowing two crashes on each entry, not two in total."""
    gather, _ = _gather(4, 3, canary=True, crashes=1)
    (first,) = gather.start(0.0)
    with pytest.raises(QuarantinedError):
        gather.handle_part(first, _all(first, ShardStatus.CRASHED), 0.1)


def test_crash_after_the_canary_defers_other_retries():
    """Guards against parallel retries that crash further leaves."""
    gather, _ = _gather(6, 2)
    calls = gather.start(0.0)
    retries = []
    for call in calls:
        retries += gather.handle_part(
            call, _all(call, ShardStatus.CRASHED), 0.1
        )
    (probe,) = retries
    assert probe.alone
    assert len(probe.targets) == 1
    for call in gather.handle_part(probe, _all(probe), 0.2):
        gather.handle_part(call, _all(call), 0.3)
    assert gather.coverage.is_complete
