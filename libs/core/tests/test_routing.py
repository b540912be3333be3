"""Tests of route matching and traffic splits.

A wrong match sends a request to a service that must not receive it.
"""

from __future__ import annotations

import collections

import pytest
from sapphire_core.routing import (
    Gather,
    Kind,
    Route,
    RouteTable,
    SplitChooser,
    WeightedService,
)

ONE = (WeightedService("s", 1.0),)


def route(name, prefix, host="a.example", shares=ONE, gather=None):
    return Route(
        name, host, prefix, Kind.IDEMPOTENT, 1.0, 0.1, 2, 1, shares, gather
    )


def test_the_longest_prefix_wins():
    table = RouteTable([route("short", "/a/"), route("long", "/a/b/")])
    assert table.match("a.example", "/a/b/c").name == "long"
    assert table.match("a.example", "/a/x").name == "short"


@pytest.mark.parametrize("host", ["A.Example", "a.example:8080", " a.example "])
def test_host_ignores_case_port_and_space(host):
    assert RouteTable([route("r", "/a/")]).match(host, "/a/x") is not None


@pytest.mark.parametrize("path", ["/a", "/b/?x=/a/", "/", ""])
def test_a_prefix_must_begin_the_path(path):
    assert RouteTable([route("r", "/a/")]).match("a.example", path) is None


def test_the_query_string_is_ignored_by_the_match():
    table = RouteTable([route("r", "/a/"), route("q", "/a/b/")])
    assert table.match("a.example", "/a/?p=/a/b/").name == "r"


def test_every_ten_requests_follow_the_weights_exactly():
    chooser = SplitChooser()
    split = route(
        "r",
        "/a/",
        shares=(WeightedService("x", 7.0), WeightedService("y", 3.0)),
    )
    for _ in range(5):
        counts = collections.Counter(chooser.choose(split) for _ in range(10))
        assert counts == {"x": 7, "y": 3}


def test_a_service_of_weight_zero_gets_no_requests():
    chooser = SplitChooser()
    split = route(
        "r",
        "/a/",
        shares=(WeightedService("x", 0.0), WeightedService("y", 1.0)),
    )
    assert {chooser.choose(split) for _ in range(20)} == {"y"}


def test_state_of_removed_splits_is_discarded():
    chooser = SplitChooser()
    split = route(
        "r",
        "/a/",
        shares=(WeightedService("x", 1.0), WeightedService("y", 1.0)),
    )
    chooser.choose(split)
    chooser.forget_unused([])
    assert chooser.choose(split) == "x"


def test_services_of_a_gather_are_its_shards():
    gather = Gather(("p", "q"), 5, 0.5)
    assert route("r", "/a/", shares=(), gather=gather).services == ("p", "q")
