"""Tests of the quarantine of requests that crash leaves."""

from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.quarantine import (
    CrashCount,
    Quarantine,
    Verdict,
    fingerprint,
)

LIFETIME_S = 600.0


def test_second_crash_alone_quarantines_until_expiry():
    """Guards against a third leaf that crashes from the same request."""
    table = Quarantine(LIFETIME_S)
    assert table.record_crash("f", 0.0, alone=False) is Verdict.SUSPECT
    assert table.record_crash("f", 1.0, alone=True) is Verdict.QUARANTINED
    assert table.verdict("f", LIFETIME_S) is Verdict.QUARANTINED
    assert table.verdict("f", LIFETIME_S + 1.0) is Verdict.CLEAR


def test_loss_of_many_leaves_quarantines_nothing():
    """Guards against quarantine of harmless queries when a domain is lost."""
    table = Quarantine(LIFETIME_S)
    for _ in range(50):
        table.record_crash("f", 0.0, alone=False)
    assert table.verdict("f", 0.0) is Verdict.SUSPECT


def test_cleared_suspect_stays_clear_when_its_old_record_returns():
    """Guards against members that make a cleared request a suspect again."""
    ours, theirs = Quarantine(LIFETIME_S), Quarantine(LIFETIME_S)
    ours.record_crash("f", 0.0, alone=False)
    theirs.merge(ours.records(0.0), 0.0)
    ours.record_survival("f", 1.0)
    ours.merge(theirs.records(2.0), 2.0)
    assert ours.verdict("f", 2.0) is Verdict.CLEAR
    theirs.record_crash("f", 3.0, alone=True)
    ours.merge(theirs.records(3.0), 3.0)
    assert ours.verdict("f", 3.0) is Verdict.QUARANTINED


@given(st.lists(st.floats(0.0, 1.0), min_size=1, max_size=300))
def test_exchange_does_not_extend_an_entry(delays):
    """Guards against entries that two members renew for each other forever."""
    pair = Quarantine(LIFETIME_S), Quarantine(LIFETIME_S)
    pair[0].record_crash("f", 0.0, alone=True)
    pair[0].record_crash("f", 0.0, alone=True)
    now = 0.0
    for turn, delay in enumerate(delays):
        records = pair[turn % 2].records(now)
        now += delay
        pair[1 - turn % 2].merge(records, now)
    for table in pair:
        assert table.verdict("f", LIFETIME_S + 10.0) is Verdict.CLEAR


def test_two_leaves_crashed_alone_are_two_crashes():
    """Guards against two members that each know of one crash only."""
    table = Quarantine(LIFETIME_S)
    table.record_crash("f", 0.0, alone=True, leaf="a")
    table.merge_crashed_leaves("f", ["a"], 1.0)
    assert table.verdict("f", 1.0) is Verdict.SUSPECT
    table.merge_crashed_leaves("f", ["b"], 1.0)
    assert table.verdict("f", 1.0) is Verdict.QUARANTINED


def test_leaf_lost_with_other_queries_is_not_a_second_crash():
    """Guards against quarantine of a harmless query when a domain is lost."""
    table = Quarantine(LIFETIME_S)
    table.record_crash("f", 0.0, alone=False, leaf="a")
    table.merge_crashed_leaves("f", ["b"], 1.0)
    assert table.verdict("f", 1.0) is Verdict.SUSPECT


@given(
    st.lists(
        st.builds(
            CrashCount,
            st.sampled_from("ab"),
            st.integers(-1, 5),
            st.floats(-1e9, 1e9),
        )
    )
)
def test_merge_does_not_lift_a_quarantine(records):
    """Guards against ending a quarantine through a record of another member."""
    table = Quarantine(LIFETIME_S)
    table.record_crash("a", 0.0, alone=True)
    table.record_crash("a", 0.0, alone=True)
    table.merge(records, 0.0)
    assert table.verdict("a", LIFETIME_S - 1.0) is Verdict.QUARANTINED
    assert all(r.expires_in_s <= LIFETIME_S for r in table.records(0.0))


def test_fingerprint_ignores_case_and_white_space():
    """Guards against bypassing a quarantine by a change of white space."""
    assert fingerprint("s", " Skin  Irritant", 3) == fingerprint(
        "s", "skin irritant", 3
    )
    others = {fingerprint(*args) for args in (("s", "a", 1), ("t", "a", 1))}
    assert len(others | {fingerprint("s", "a", 2)}) == 3
