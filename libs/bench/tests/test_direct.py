"""Tests of the baseline, the stub leaves and the slopes."""

import json

import pytest
from sapphire_bench import direct
from sapphire_bench.direct import (
    QueryPlan,
    Replica,
    ShardAnswer,
    choose_version,
)
from sapphire_bench.slope import Point, fit_line, fit_lines, markdown
from sapphire_bench.stub_fleet import leaf_ip, leaf_number
from sapphire_bench.stub_leaves import (
    ShardAssignment,
    build_search_body,
    split_request,
)
from sapphire_bench.usage import parse_resident_mb
from sapphire_entry.requests import SearchRequest
from sapphire_wire.leaf import Hit, IndexVersion, SearchReply


def _replica(version, shard, *, shards=2, in_service=True):
    held = (IndexVersion(version, shard, shards, 10),)
    return Replica(None, held, in_service)


def test_newest_complete_version_is_chosen():
    """Guards against answering from an incomplete index version."""
    replicas = [_replica("v1", 0), _replica("v1", 1), _replica("v2", 0)]
    plan = choose_version(replicas)
    assert plan.version == "v1"
    assert {s: len(r) for s, r in plan.shards.items()} == {0: 1, 1: 1}
    assert choose_version([]) is None


def test_replica_out_of_service_is_not_called():
    """Guards against a baseline that calls leaves taken out of service."""
    replicas = [
        _replica("v1", 0),
        _replica("v1", 1, in_service=False),
        _replica("v1", 1),
    ]
    assert choose_version(replicas).shards[1] == [replicas[2]]


def test_answer_merges_hits_and_names_missing_shards():
    """Guards against merging the leaf client's hits in the wrong order."""
    request = SearchRequest.model_validate(
        {"service": "s", "text": "t", "k": 2, "class": "c", "deadline_ms": 9}
    )
    answers = [
        ShardAnswer(
            0, SearchReply(5, [[Hit(-3.0, "a", ""), Hit(-1.0, "b", "")]])
        ),
        ShardAnswer(1, SearchReply(5, [[Hit(-2.0, "c", "")]])),
        ShardAnswer(2),
    ]
    body = direct._search_body(request, QueryPlan("v1"), answers, 1.0)
    found = [(m["id"], m["score"]) for m in body["matches"]]
    assert found == [("a", 3.0), ("c", 2.0)]
    assert body["coverage"]["missing"] == [{"shard": 2, "reason": "failed"}]
    assert not body["coverage"]["complete"]


def test_request_is_split_at_its_content_length():
    """Guards against lost requests when they are pipelined or fragmented."""
    first = b"POST /search HTTP/1.1\r\nContent-Length: 4\r\n\r\nabcd"
    second = b"GET /index HTTP/1.1\r\nHost: x\r\n\r\n"
    call, rest = split_request(first + second)
    assert (call.path, call.body) == ("/search", b"abcd")
    call, rest = split_request(rest)
    assert (call.path, call.body, rest) == ("/index", b"", b"")
    assert split_request(first[:-1]) is None


def test_stub_leaf_answers_every_query():
    """Guards against batch replies that the leaf client would reject."""
    call = {
        "batch_id": "b",
        "version": "v1",
        "shard": 3,
        "queries": [{"id": "1"}, {"id": "2"}],
    }
    answer = json.loads(build_search_body(call, ShardAssignment(3, 4)))
    assert [r["id"] for r in answer["results"]] == ["1", "2"]
    assert answer["shard"] == 3


@pytest.mark.parametrize("number", [0, 199, 200, 4899])
def test_leaf_number_is_the_inverse_of_its_address(number):
    """Guards against two leaf addresses with the same shard."""
    assert leaf_number(leaf_ip("127.9", number)) == number


def test_fit_finds_slope_and_residual():
    """Guards against a residual that hides outliers."""
    points = [
        Point("g", {"x": x}, {"y": y}) for x, y in ((0, 1), (1, 3), (2, 5))
    ]
    line = fit_line(points, "g", "y", "x")
    assert (line.slope, line.intercept) == pytest.approx((2.0, 1.0))
    assert line.residual == pytest.approx(0.0, abs=1e-9)
    with_outlier = [*points, Point("g", {"x": 3}, {"y": 17})]
    assert fit_line(with_outlier, "g", "y", "x").residual > 1


def test_slopes_report(snapshot):
    """Guards against missing points or lines in the slopes report."""
    points = [
        Point("load", {"shards": s, "concurrent_queries": c},
              {"entry_cpu_ms_per_query": 1.0 + 0.1 * s})
        for c in (1, 8) for s in (4, 16, 48)
    ]  # fmt: skip
    points += [
        Point("document", {"leaves": n}, {
            "bytes": 58.0 * n, "parse_ms": 0.007 * n, "adopt_ms": 0.004 * n,
            "refresh_rights_ms": 0.0002 * n, "parsed_mb": 0.0006 * n,
            "adopted_mb": 0.001 * n,
        })
        for n in (100, 1000, 4900)
    ]  # fmt: skip
    assert len(fit_lines(points)) == 8
    assert markdown(points, "sapphirecross-bench slopes", "01") == snapshot


def test_resident_memory_is_in_mb():
    """Guards against kilobytes that are reported as megabytes."""
    assert parse_resident_mb("Name:\tx\nVmRSS:\t   51200 kB\n") == 50.0
