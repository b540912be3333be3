"""Tests of configuration changes under lost answers and races."""

import itertools
import json

import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from sapphire_core.errors import (
    ChangeRefusedError,
    ChangeUnknownError,
    ConfigConflictError,
    PlatformUnavailableError,
    SapphireError,
    SettingsError,
)
from sapphire_ctl.operator import Operator, domain_edit
from sapphire_ctl.store import ConfigStore
from trio.testing import MockClock

OUT = domain_edit("pk-north-a", out=True)


def _run(platform, call, patience_s=30.0):
    numbers = itertools.count(1)

    async def main():
        store = ConfigStore(platform, patience_s)
        return await call(Operator(store, None, lambda: f"ours{next(numbers)}"))

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def _ours(platform):
    return [c for c in platform.change_ids if c.startswith("ours")]


@settings(deadline=None)
@given(st.data())
def test_no_sequence_of_faults_gives_an_untrue_result(fake, stored, data):
    """Guards against a change reported wrongly, made twice or undone."""
    faults = data.draw(st.lists(st.sampled_from(fake.Fault), max_size=30))
    value = stored.model_dump_json()
    old = stored.model_copy(update={"revision": 6, "change_id": "sixth"})
    platform = fake.FakePlatform([old.model_dump_json(), value], faults)
    apply = data.draw(st.booleans())
    outcome = None
    try:
        if apply:
            text = stored.document.model_dump_json()
            outcome = _run(platform, lambda on: on.apply(text, 7), 5)
        else:
            outcome = _run(platform, lambda on: on.edit(OUT), 5)
    except SapphireError as error:
        outcome = error
    platform.deliver_late_writes()

    ours = _ours(platform)
    assert len(ours) <= 1
    assert platform.revisions == list(range(6, 6 + len(platform.revisions)))
    match outcome:
        case ChangeUnknownError():
            pass
        case ConfigConflictError() | PlatformUnavailableError():
            assert not ours
        case _:
            assert ours == [outcome.change_id]
            index = platform.change_ids.index(outcome.change_id)
            assert platform.revisions[index] == outcome.revision
    others = [c for c in platform.change_ids if c.startswith("other")]
    if not apply:
        assert len(platform.document["out_vms"]) == len(others)


def test_loser_of_a_race_learns_the_revision_and_the_remedy(fake, stored):
    """Guards against an apply that overwrites another operator's change."""
    faults = [fake.Fault.NONE, fake.Fault.NONE, fake.Fault.RACE]
    platform = fake.FakePlatform([stored.model_dump_json()], faults)
    text = stored.document.model_dump_json()
    with pytest.raises(ConfigConflictError) as caught:
        _run(platform, lambda on: on.apply(text, 1))
    assert caught.value.revision == 7
    with pytest.raises(ConfigConflictError) as caught:
        _run(platform, lambda on: on.apply(text, 7))
    assert caught.value.revision == 8
    assert "--expected-revision=8" in caught.value.remedy
    assert platform.change_ids == ["seventh", "other8"]


def _with_leaf(stored, leaf):
    """Returns the document as text with another first leaf, or without."""
    fields = stored.document.model_dump(mode="json")
    leaves = fields["services"][0]["leaves"]
    leaves[:1] = [] if leaf is None else [leaf]
    return json.dumps(fields)


def test_leaf_that_stays_keeps_its_failure_domain(fake, stored):
    """Guards against two holders of a leaf whose ranking changes."""
    leaf = stored.document.services[0].leaves[0].model_dump(mode="json")
    domains = stored.document.regions[0].failure_domains
    other = next(d for d in domains if d != leaf["failure_domain"])
    moved = _with_leaf(stored, {**leaf, "failure_domain": other})
    platform = fake.FakePlatform([stored.model_dump_json()], [])
    with pytest.raises(ChangeRefusedError) as caught:
        _run(platform, lambda on: on.apply(moved, 7))
    assert leaf["address"] in caught.value.message
    assert "at least 10 s later" in caught.value.remedy
    assert platform.change_ids == ["seventh"]
    # The remedy: remove it, then add it.
    removed = _with_leaf(stored, None)
    assert _run(platform, lambda on: on.apply(removed, 7)).revision == 8
    assert _run(platform, lambda on: on.apply(moved, 8)).revision == 9


def test_edit_is_applied_to_the_winners_revision(fake, stored):
    """Guards against a domain that stays in service after a lost race."""
    race = [fake.Fault.NONE, fake.Fault.RACE]
    platform = fake.FakePlatform([stored.model_dump_json()], race * 3)
    accepted = _run(platform, lambda on: on.edit(OUT))
    assert accepted.revision == 11
    assert platform.document["out_failure_domains"] == ["pk-north-a"]
    assert len(platform.document["out_vms"]) == 3


def test_endless_races_end_the_command(fake, stored):
    """Guards against a command that never returns."""
    race = [fake.Fault.NONE, fake.Fault.RACE]
    platform = fake.FakePlatform([stored.model_dump_json()], race * 50)
    with pytest.raises(ConfigConflictError):
        _run(platform, lambda on: on.edit(OUT))
    assert not _ours(platform)


def test_lost_answer_in_an_outage_is_reported_as_unknown(fake, stored):
    """Guards against calling a change refused that may be in force."""
    faults = [fake.Fault.NONE, fake.Fault.ANSWER_LOST]
    platform = fake.FakePlatform(
        [stored.model_dump_json()],
        itertools.chain(faults, itertools.repeat(fake.Fault.DOWN)),
    )
    with pytest.raises(ChangeUnknownError) as caught:
        _run(platform, lambda on: on.edit(OUT))
    assert caught.value.change_id == "ours1"
    assert "find-change ours1" in caught.value.remedy
    platform = fake.FakePlatform(platform.history[1:])
    found = _run(platform, lambda on: on.find_change("ours1"))
    assert found.accepted


def test_only_the_last_50_changes_are_kept(fake, stored):
    """Guards against a value that grows with each change."""
    platform = fake.FakePlatform([stored.model_dump_json()])

    async def many(on):
        for _ in range(60):
            await on.edit(OUT)

    _run(platform, many)
    recent = json.loads(platform.history[-1])["recent_changes"]
    assert recent == platform.change_ids[-50:]


def test_impossible_edits_change_nothing(fake, stored):
    """Guards against taking everything, or nothing that exists, out."""
    platform = fake.FakePlatform([stored.model_dump_json()])

    async def all_out(on):
        for name in stored.document.regions[0].failure_domains:
            await on.edit(domain_edit(name, out=True))

    with pytest.raises(ChangeRefusedError):
        _run(platform, all_out)
    assert len(platform.document["out_failure_domains"]) == 2
    with pytest.raises(SettingsError):
        _run(platform, lambda on: on.edit(domain_edit("west", out=True)))
    with pytest.raises(ChangeRefusedError):
        _run(fake.FakePlatform(), lambda on: on.edit(OUT))
