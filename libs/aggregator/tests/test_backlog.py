"""Tests of the priority queue of one leaf."""

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st
from sapphire_aggregator.backlog import (
    Backlog,
    Call,
    CallResult,
    Placement,
    Query,
)
from sapphire_wire.gen.ttypes import ShardStatus

FAR = 1e6


def _call(ended, text="t", priority=0, version="v1", deadline=FAR):
    query = Query(version, text, 3, text, priority, deadline)
    return Call(query, 0, "leaf", 0.0, lambda c, o: ended.append((c, o)))


def _shared(item):
    return Placement.SHARED


calls = st.tuples(
    st.sampled_from("abcdef"),
    st.integers(0, 2),
    st.sampled_from(["v1", "v2"]),
    st.sampled_from([1.0, FAR]),
)


@given(
    st.lists(st.one_of(calls, st.integers(1, 4))),
    st.dictionaries(
        st.sampled_from("abcdef"),
        st.sampled_from([Placement.SHARED, Placement.ALONE, Placement.REFUSED]),
    ),
)
def test_every_call_ends_exactly_once(events, how):
    """Guards against targets with no result or with two results."""
    backlog, added, ended = Backlog(), [], []
    now = 0.0

    def rule(item):
        return how.get(item.query.text, Placement.SHARED)

    for event in [*events, *[64] * (len(events) + 1)]:
        now += 0.3
        if isinstance(event, tuple):
            call = _call(ended, *event)
            added.append(call)
            backlog.add(call)
            continue
        batch = backlog.take(event, now, rule)
        if batch is None:
            continue
        texts = [item.query.text for item in batch.items]
        assert len(texts) <= event
        assert len(set(texts)) == len(texts)
        assert not batch.alone or len(texts) == 1
        for item in batch.items:
            item.finish(CallResult(ShardStatus.OK))
    assert not len(backlog)
    assert Counter(map(id, added)) == Counter(id(c) for c, _ in ended)


@given(st.lists(st.integers(0, 9), min_size=1))
def test_order_is_priority_then_arrival(priorities):
    """Guards against urgent queries queued behind bulk queries."""
    backlog, ended = Backlog(), []
    for number, priority in enumerate(priorities):
        backlog.add(_call(ended, str(number), priority))
    batch = backlog.take(len(priorities), 0.0, _shared)
    taken = [int(item.query.text) for item in batch.items]
    assert taken == sorted(
        range(len(priorities)), key=lambda n: (priorities[n], n)
    )


def test_deferred_item_stays_queued():
    """Guards against losing a call while its fingerprint runs elsewhere."""
    backlog, ended = Backlog(), []
    backlog.add(_call(ended, "suspect"))
    backlog.add(_call(ended, "other"))

    def rule(item):
        is_suspect = item.query.text == "suspect"
        return Placement.LATER if is_suspect else Placement.SHARED

    batch = backlog.take(8, 0.0, rule)
    assert [item.query.text for item in batch.items] == ["other"]
    assert backlog.take(8, 0.0, rule) is None
    batch = backlog.take(8, 0.0, lambda item: Placement.ALONE)
    assert [item.query.text for item in batch.items] == ["suspect"]
    assert batch.alone


def test_higher_priority_replaces_the_last_item():
    """Guards against shedding urgent queries while bulk queries are queued."""
    backlog, ended = Backlog(), []
    backlog.add(_call(ended, "a", 1))
    backlog.add(_call(ended, "b", 5))
    assert backlog.evict_last(5) is None
    assert backlog.evict_last(1).query.text == "b"
    assert len(backlog) == 1


def test_batch_is_abandoned_when_no_caller_is_left():
    """Guards against running batches whose callers have all cancelled."""
    backlog, ended, reports = Backlog(), [], []
    first, second = _call(ended), _call(ended)
    backlog.add(first)
    backlog.add(second)
    batch = backlog.take(8, 0.0, _shared)
    batch.on_abandoned = lambda: reports.append(True)
    first.abandon()
    assert not reports
    second.abandon()
    assert reports
    assert not ended
