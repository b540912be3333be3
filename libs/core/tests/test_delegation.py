"""Which parts of a search another VM calls."""

from __future__ import annotations

from sapphire_core.delegation import LEAST_PARTS, assign


def far(**places: str):
    """Returns the domains of each part, one letter a domain."""
    return {part: set(domains) for part, domains in places.items()}


def test_one_domain_takes_all_that_it_can():
    """Guards against two exchanges where one carries all parts."""
    parts = far(p1="bc", p2="bc", p3="cd", p4="cd")
    assert assign(parts, "bcd", 0) == {"c": ["p1", "p2", "p3", "p4"]}


def test_the_rest_goes_to_the_next_domain_or_directly():
    parts = far(**{f"b{n}": "b" for n in range(5)}, c1="c", c2="c", c3="c")
    parts |= far(d1="d")
    assert assign(parts, "bcd", 0) == {
        "b": [f"b{n}" for n in range(5)],
        "c": ["c1", "c2", "c3"],
    }


def test_few_parts_are_called_directly():
    """Guards against a hop that costs more than it saves."""
    parts = far(**{f"b{n}": "b" for n in range(LEAST_PARTS - 1)})
    assert assign(parts, "b", 0) == {}


def test_equal_domains_take_turns():
    """Guards against all far work at the leaves of one domain."""
    parts = far(p1="bc", p2="bc", p3="bc")
    assert {next(iter(assign(parts, "bc", turn))) for turn in (0, 1)} == {
        "b",
        "c",
    }


def test_without_a_helper_all_is_direct():
    assert assign(far(p1="b", p2="b", p3="b"), "", 3) == {}
