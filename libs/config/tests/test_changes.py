"""Tests of the differences between documents."""

from hypothesis import given, settings
from hypothesis import strategies as st
from sapphire_config.changes import Change, Kind, differences
from sapphire_config.document import Document

DOMAINS = ["a", "b", "c"]
_OPPOSITE = {Kind.ADDED: Kind.REMOVED, Kind.REMOVED: Kind.ADDED}


def _names(names):
    return st.lists(st.sampled_from(names), min_size=1, max_size=2, unique=True)


@st.composite
def _documents(draw):
    services = [
        {
            "name": name,
            "leaf": {"slots": draw(st.integers(1, 3))},
            "leaves": [
                {
                    "address": f"10.{number}.0.1:{port}",
                    "failure_domain": draw(st.sampled_from(DOMAINS)),
                }
                for port in draw(_names(["80", "81", "82"]))
            ],
            "classes": [
                {"name": c, "priority": draw(st.integers(0, 9))}
                for c in draw(_names(["typing", "sweep"]))
            ],
        }
        for number, name in enumerate(draw(_names(["x", "y"])))
    ]
    return Document.model_validate(
        {
            "name": "d",
            "regions": [{"name": "r", "failure_domains": DOMAINS}],
            "services": services,
            "out_failure_domains": draw(_names(DOMAINS)),
        }
    )


def _reversed(change):
    kind = _OPPOSITE.get(change.kind, change.kind)
    return Change(kind, change.path, change.new, change.old)


@settings(deadline=None)
@given(_documents(), _documents())
def test_differences_are_complete_and_symmetric(old, new):
    """Guards against a change that is not shown to the operator."""
    forward, backward = differences(old, new), differences(new, old)
    assert (forward == []) == (old == new)
    assert sorted(map(str, forward)) == sorted(
        str(_reversed(c)) for c in backward
    )
