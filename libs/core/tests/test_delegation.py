"""Tests of the delegation of search parts to other VMs."""

from __future__ import annotations

from sapphire_core.delegation import MIN_PARTS, assign


def remote(**part_domains: str):
    """Returns the set of domains of each part, each domain a letter."""
    return {part: set(domains) for part, domains in part_domains.items()}


def test_one_domain_takes_all_parts_that_it_can():
    """Guards against two exchanges where one is enough for all parts."""
    parts = remote(p1="bc", p2="bc", p3="cd", p4="cd")
    assert assign(parts, "bcd", 0) == {"c": ["p1", "p2", "p3", "p4"]}


def test_other_parts_go_to_the_next_domain_or_are_called_directly():
    parts = remote(**{f"b{n}": "b" for n in range(5)}, c1="c", c2="c", c3="c")
    parts |= remote(d1="d")
    assert assign(parts, "bcd", 0) == {
        "b": [f"b{n}" for n in range(5)],
        "c": ["c1", "c2", "c3"],
    }


def test_few_parts_are_called_directly():
    """Guards against an additional hop that costs more than it saves."""
    parts = remote(**{f"b{n}": "b" for n in range(MIN_PARTS - 1)})
    assert assign(parts, "b", 0) == {}


def test_equal_domains_alternate():
    """Guards against delegating all remote parts to one domain."""
    parts = remote(p1="bc", p2="bc", p3="bc")
    assert {
        next(iter(assign(parts, "bc", rotation))) for rotation in (0, 1)
    } == {
        "b",
        "c",
    }


def test_without_a_helper_all_parts_are_called_directly():
    assert assign(remote(p1="b", p2="b", p3="b"), "", 3) == {}
