"""Tests of the members and of the choice of VMs advertised to callers."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.members import (
    MAX_WATCHERS,
    MISSING_GRACE_S,
    PEAK_WINDOW_S,
    Member,
    Members,
    RecentPeak,
    select_change_source,
    select_exchange_partner,
    select_for_caller,
    select_revision_peers,
    select_serving,
    select_watchers,
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


def test_leaving_member_is_no_longer_advertised():
    """Guards against callers that are sent to a VM that is shutting down."""
    known = fleet(A1, A2)
    known.put(Member("a2", A2.address, "a", leaving=True))
    assert known.live(0.0) == [A1]


def test_missing_member_is_advertised_for_a_grace_period():
    """Guards against an empty address list after an outage of the store.

    After an outage all entries disappear and are written again.
    """
    known = fleet(A1, A2)
    known.record_missing("a2", 1.0)
    assert A2 in known.live(1.0 + MISSING_GRACE_S - 0.1)
    assert A2 not in known.live(1.0 + MISSING_GRACE_S)


def test_member_whose_entry_is_rewritten_stays():
    """Guards against a grace period that continues after a new entry."""
    known = fleet(A1, A2)
    known.record_missing("a2", 1.0)
    known.put(A2)
    assert A2 in known.live(100.0)


def test_peak_does_not_fall_when_entries_disappear_briefly():
    """Guards against shares of limits that grow while entries are missing."""
    peak = RecentPeak()
    assert peak.update(3, 0.0) == 3
    assert peak.update(1, 10.0) == 3
    assert peak.update(4, 12.0) == 4
    # Four members were live until now.
    assert peak.update(1, 12.5 + PEAK_WINDOW_S) == 4
    assert peak.update(1, 12.5 + 2 * PEAK_WINDOW_S) == 4
    assert peak.update(1, 12.6 + 2 * PEAK_WINDOW_S) == 1


def test_peak_falls_to_the_greatest_count_of_the_window():
    """Guards against a share that grows more than the fleet has shrunk."""
    peak = RecentPeak()
    peak.update(10, 0.0)
    peak.update(9, 5.0)
    peak.update(2, 10.0)
    assert peak.update(1, 6.0 + PEAK_WINDOW_S) == 9
    assert peak.update(1, 11.0 + PEAK_WINDOW_S) == 2


@given(st.lists(st.tuples(st.integers(0, 9), st.floats(0, 20)), min_size=1))
def test_peak_is_the_greatest_current_count_of_the_window(updates):
    """Compares with all counts that were current within the window."""
    peak = RecentPeak()
    now = 0.0
    history = []
    for count, pause in updates:
        now += pause
        history.append((count, now))
        ends = [*(at for _, at in history[1:]), now]
        expected = max(
            known
            for (known, _), end in zip(history, ends, strict=True)
            if now - end <= PEAK_WINDOW_S
        )
        assert peak.update(count, now) == expected


def test_own_vm_is_included_before_its_entry_is_read():
    assert fleet(B1).names(0.0) == ["a1", "b1"]


def advertised(domain, live, leaf_counts, max_members=99):
    return select_for_caller(
        domain, select_serving(live, leaf_counts, max_members)
    )


def test_callers_use_their_own_domain_if_it_has_two_members():
    live = [A1, A2, B1, B2]
    assert advertised("a", live, {"a": 5, "b": 5}) == [A1, A2]


def test_callers_of_a_domain_without_leaves_use_domains_with_leaves():
    live = [A1, A2, B1, B2, C1, Member("c2", "10.0.2.2:80", "c")]
    assert advertised("c", live, {"a": 5, "b": 5}) == [A1, A2, B1, B2]


def test_serving_domain_with_one_member_is_not_enough():
    """Guards against callers that know a single VM and lose it."""
    assert advertised("c", [A1, B1, C1], {"c": 5}) == [A1, B1, C1]


def test_all_members_are_advertised_if_no_leaves_are_known():
    assert advertised("z", [A1, B1], {}) == [A1, B1]


def test_large_fleet_advertises_the_strongest_of_each_domain():
    """Guards against more connections than a leaf accepts.

    This happened when all VMs of a large fleet connected to every leaf.
    """
    live = [
        Member(f"{d}{i}", f"10.0.0.{i}:80", d, cores=0.5 + (i % 3))
        for d in "ab"
        for i in range(20)
    ]
    serving = select_serving(live, {"a": 5, "b": 5}, max_members=8)
    assert len(serving) == 8
    assert {m.cores for m in serving} == {2.5}
    reversed_order = select_serving(live[::-1], {"a": 5, "b": 5}, max_members=8)
    assert set(serving) == set(reversed_order)


def _unequal(strong, weak):
    """Returns strong and weak members in two failure domains."""
    return [
        Member(f"{d}{kind}{i}", f"10.0.{i}.1:80", d, cores=cores)
        for d in "ab"
        for kind, cores, count in (("s", 2.0, strong), ("w", 0.5, weak))
        for i in range(count)
    ]


def test_weak_members_do_not_serve_beside_strong_ones():
    """Guards against slow searches at weak VMs.

    A search over many shards took four times as long at every third VM.
    """
    serving = select_serving(_unequal(2, 18), {"a": 5, "b": 5}, max_members=6)
    assert {m.cores for m in serving} == {2.0}
    assert len(serving) == 4


def test_strong_members_of_another_domain_are_preferred_to_weak_ones():
    live = [m for m in _unequal(2, 18) if not m.name.startswith("as")]
    assert {
        m.name for m in advertised("a", live, {"a": 5, "b": 5}, max_members=6)
    } == {"bs0", "bs1"}


def test_too_few_strong_members_do_not_serve_alone():
    live = [m for m in _unequal(1, 40) if m.domain == "a"]
    assert len(select_serving(live, {"a": 5}, max_members=6)) == 6


def _change_sources(domain, count):
    return [
        Member(f"{domain}{i}", "10.0.0.1:80", domain, peer_address=f"{i}")
        for i in range(count)
    ]


def test_change_source_is_in_the_same_domain_if_possible():
    serving = [*_change_sources("a", 2), *_change_sources("b", 2)]
    vm = Member("x", "10.0.0.9:80", "b")
    first = select_change_source(vm, serving, ())
    assert first is not None
    assert first.domain == "b"
    second = select_change_source(vm, serving, {first.name})
    assert second is not None
    assert (second.domain, second != first) == ("b", True)
    far = select_change_source(vm, serving, {"b0", "b1"})
    assert far is not None
    assert far.domain == "a"


def test_serving_vms_ask_the_store():
    """Guards against two VMs that get their changes from each other."""
    serving = _change_sources("a", 2)
    assert select_change_source(serving[0], serving, ()) is None
    assert select_change_source(Member("x", "", "a"), [], ()) is None


def test_watcher_that_the_store_turns_away_reads_from_another():
    """Guards against a VM that learns nothing although others know."""
    serving = _change_sources("a", 2)
    source = select_change_source(serving[0], serving, (), can_watch=False)
    assert source == serving[1]
    assert select_change_source(serving[0], serving[:1], (), False) is None


def test_change_sources_are_spread():
    serving = _change_sources("a", 4)
    chosen = {
        source.name
        for i in range(40)
        if (
            source := select_change_source(
                Member(f"x{i}", "", "a"), serving, ()
            )
        )
    }
    assert len(chosen) == 4


def test_lost_member_is_replaced_by_the_next():
    live = [Member(f"a{i}", f"10.0.0.{i}:80", "a") for i in range(6)]
    before = {m.name for m in select_serving(live, {"a": 5}, max_members=2)}
    after = {m.name for m in select_serving(live[1:], {"a": 5}, max_members=2)}
    assert before == {"a0", "a1"}
    assert after == {"a1", "a2"}


def _peers(domain, count):
    return [
        Member(f"{domain}{n}", f"10.0.0.{n}:80", domain, peer_address=f"{n}")
        for n in range(count)
    ]


def test_revisions_are_compared_within_and_across_domains():
    """The VMs of a domain may be out of date together."""
    serving = _peers("a", 4) + _peers("b", 4)
    for vm in serving:
        peers = select_revision_peers(vm, serving)
        assert vm not in peers
        domains = sorted(peer.domain == vm.domain for peer in peers)
        assert domains == [False, True, True]


def test_every_vm_is_a_peer_of_another():
    """News spreads from any VM to all, whoever has it first."""
    serving = _peers("a", 3) + _peers("b", 3) + _peers("c", 3)
    neighbours = {vm: select_revision_peers(vm, serving) for vm in serving}
    for start in serving:
        reached = {start}
        while True:
            # An exchange informs both sides.
            more = {
                vm
                for vm, peers in neighbours.items()
                if vm in reached or reached.intersection(peers)
            }
            more |= {peer for vm in reached for peer in neighbours[vm]}
            if more == reached:
                break
            reached = more
        assert reached == set(serving)


def test_spare_vm_compares_no_revisions():
    """It hears the revision from its feed."""
    assert select_revision_peers(C1, _peers("a", 3)) == []


def serving_fleet(domains, per_domain):
    """Returns serving members, equally many in each failure domain."""
    return [
        Member(f"{d}{n}", f"10.0.0.{n}:80", d, peer_address=f"10.0.0.{n}:81")
        for d in domains
        for n in range(per_domain)
    ]


@given(st.integers(1, 6), st.integers(1, 5))
def test_crash_records_reach_every_serving_vm(domain_count, per_domain):
    """Guards against VMs whose records no other VM ever asks for."""
    serving = serving_fleet("abcdef"[:domain_count], per_domain)
    turns = 3 * len(serving) + 3
    asked = {
        vm.name: {
            partner.name
            for turn in range(turns)
            if (partner := select_exchange_partner(vm, serving, turn))
        }
        for vm in serving
    }
    for vm in serving:
        assert asked[vm.name] == {m.name for m in serving} - {vm.name}


def test_crash_records_are_mostly_compared_within_the_domain():
    """Guards against bytes between domains that nothing asks for."""
    serving = serving_fleet("abc", 3)
    chosen = [
        select_exchange_partner(serving[0], serving, t) for t in range(30)
    ]
    assert sum(partner.domain != "a" for partner in chosen) == 10
    spare = Member("a9", "10.0.0.9:80", "a", peer_address="10.0.0.9:81")
    chosen = [select_exchange_partner(spare, serving, t) for t in range(9)]
    assert {partner.name for partner in chosen} == {"a0", "a1", "a2"}
    elsewhere = Member("z9", "10.0.0.8:80", "z", peer_address="10.0.0.8:81")
    chosen = [select_exchange_partner(elsewhere, serving, t) for t in range(99)]
    assert {partner.name for partner in chosen} == {m.name for m in serving}


def test_last_serving_vm_has_no_partner():
    (alone,) = serving_fleet("a", 1)
    assert select_exchange_partner(alone, [alone], 0) is None


@given(st.integers(1, 9), st.integers(1, 30))
def test_watchers_are_few_and_in_each_domain(domain_count, per_domain):
    """Guards against calls to the store that grow with the serving VMs."""
    serving = serving_fleet("abcdefghi"[:domain_count], per_domain)
    watchers = select_watchers(serving)
    assert {m.domain for m in watchers} == {m.domain for m in serving}
    assert len(watchers) <= max(MAX_WATCHERS, domain_count)
    assert set(watchers) <= set(serving)


def test_serving_vm_that_is_no_watcher_reads_from_one_of_its_domain():
    """Guards against each serving VM calling the store for each change."""
    serving = serving_fleet("abcde", 3)
    watchers = select_watchers(serving)
    sources = [select_change_source(m, watchers, ()) for m in serving]
    assert sources.count(None) == len(watchers) == 5
    for member, source in zip(serving, sources, strict=True):
        assert source is None or source.domain == member.domain
