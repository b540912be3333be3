"""Tests of rendezvous hashing."""

from sapphire_core import rendezvous


def test_removal_keeps_order_of_others():
    """Guards against reassigning all leaves when one member is removed."""
    members = [f"10.0.0.{i}:7000" for i in range(9)]
    for leaf in range(100):
        before = rendezvous.ranking(f"leaf{leaf}", members)
        after = rendezvous.ranking(f"leaf{leaf}", members[:4] + members[5:])
        assert [m for m in before if m != members[4]] == after
