"""Members: callers must not be sent to VMs that are gone, nor to none."""

from __future__ import annotations

from sapphire_core.members import (
    COUNT_MEMORY_S,
    VANISHED_GRACE_S,
    Member,
    Members,
    named_to,
)

A1 = Member("a1", "10.0.0.1:80", "a")
A2 = Member("a2", "10.0.0.2:80", "a")
B1 = Member("b1", "10.0.1.1:80", "b")
B2 = Member("b2", "10.0.1.2:80", "b")
C1 = Member("c1", "10.0.2.1:80", "c")


def fleet(*members: Member):
    known = Members("a1")
    for member in members:
        known.put(member)
    return known


def test_a_leaving_member_is_not_named_at_once():
    known = fleet(A1, A2)
    known.put(Member("a2", A2.address, "a", leaving=True))
    assert known.live(0.0) == [A1]


def test_a_vanished_member_is_named_until_an_outage_would_be_over():
    known = fleet(A1, A2)
    known.remove("a2", 1.0)
    assert A2 in known.live(1.0 + VANISHED_GRACE_S - 0.1)
    assert A2 not in known.live(1.0 + VANISHED_GRACE_S)


def test_a_member_that_writes_again_stays():
    known = fleet(A1, A2)
    known.remove("a2", 1.0)
    known.put(A2)
    assert A2 in known.live(100.0)


def test_the_count_does_not_shrink_when_entries_vanish_for_a_moment():
    known = fleet(A1, A2, B1)
    assert known.count(0.0) == 3
    known.retain({"a1"}, 1.0)
    assert known.count(10.0) == 3
    assert known.count(COUNT_MEMORY_S + 1.0) == 1


def test_this_vm_counts_before_its_entry_is_read():
    assert fleet(B1).names(0.0) == ["a1", "b1"]


def test_callers_are_sent_to_their_own_domain_if_it_has_two_members():
    live = [A1, A2, B1, B2]
    assert named_to("a", live, {"a": 5, "b": 5}) == [A1, A2]


def test_callers_of_a_domain_without_leaves_are_sent_to_the_leaves():
    live = [A1, A2, B1, B2, C1, Member("c2", "10.0.2.2:80", "c")]
    assert named_to("c", live, {"a": 5, "b": 5}) == [A1, A2, B1, B2]


def test_one_member_alone_is_not_enough():
    assert named_to("c", [A1, B1, C1], {"c": 5}) == [A1, B1, C1]


def test_without_known_leaves_all_members_are_named():
    assert named_to("z", [A1, B1], {}) == [A1, B1]
