"""Tests of configuration changes with lost responses and conflicts."""

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
from sapphire_ctl.operations import Operations, domain_edit
from sapphire_ctl.store import ConfigStore
from trio.testing import MockClock

OUT = domain_edit("pk-north-a", out=True)


def _run(platform, call, resolve_timeout_s=30.0):
    numbers = itertools.count(1)

    async def main():
        store = ConfigStore(platform, resolve_timeout_s)
        return await call(
            Operations(store, None, lambda: f"own{next(numbers)}")
        )

    return trio.run(main, clock=MockClock(autojump_threshold=0))


def _own_change_ids(platform):
    return [c for c in platform.change_ids if c.startswith("own")]


@settings(deadline=None)
@given(st.data())
def test_result_is_correct_for_any_fault_sequence(fake, stored, data):
    """Guards against a change that is misreported, made twice or undone."""
    faults = data.draw(st.lists(st.sampled_from(fake.Fault), max_size=30))
    value = stored.model_dump_json()
    old = stored.model_copy(update={"revision": 6, "change_id": "sixth"})
    platform = fake.FakePlatform([old.model_dump_json(), value], faults)
    apply = data.draw(st.booleans())
    outcome = None
    try:
        if apply:
            text = stored.document.model_dump_json()
            outcome = _run(platform, lambda op: op.apply(text, 7), 5)
        else:
            outcome = _run(platform, lambda op: op.edit(OUT), 5)
    except SapphireError as error:
        outcome = error
    platform.apply_delayed_writes()

    own_ids = _own_change_ids(platform)
    assert len(own_ids) <= 1
    assert platform.revisions == list(range(6, 6 + len(platform.revisions)))
    match outcome:
        case ChangeUnknownError():
            pass
        case ConfigConflictError() | PlatformUnavailableError():
            assert not own_ids
        case _:
            assert own_ids == [outcome.change_id]
            index = platform.change_ids.index(outcome.change_id)
            assert platform.revisions[index] == outcome.revision
    others = [c for c in platform.change_ids if c.startswith("other")]
    if not apply:
        assert len(platform.document["out_vms"]) == len(others)


def test_write_conflict_reports_revision_and_remedy(fake, stored):
    """Guards against an apply that overwrites another operator's change."""
    faults = [fake.Fault.NONE, fake.Fault.NONE, fake.Fault.CONFLICT]
    platform = fake.FakePlatform([stored.model_dump_json()], faults)
    text = stored.document.model_dump_json()
    with pytest.raises(ConfigConflictError) as caught:
        _run(platform, lambda op: op.apply(text, 1))
    assert caught.value.revision == 7
    with pytest.raises(ConfigConflictError) as caught:
        _run(platform, lambda op: op.apply(text, 7))
    assert caught.value.revision == 8
    assert "--expected-revision=8" in caught.value.remedy
    assert platform.change_ids == ["seventh", "other8"]


def _with_leaf(stored, leaf):
    """Returns the document as JSON with its first leaf replaced or removed."""
    fields = stored.document.model_dump(mode="json")
    leaves = fields["services"][0]["leaves"]
    leaves[:1] = [] if leaf is None else [leaf]
    return json.dumps(fields)


def test_failure_domain_of_existing_leaf_cannot_change(fake, stored):
    """Guards against two holders of a leaf's send right.

    A new failure domain can change which aggregator is to hold the right, and
    daemons adopt the change at different times.
    """
    leaf = stored.document.services[0].leaves[0].model_dump(mode="json")
    domains = stored.document.regions[0].failure_domains
    other = next(d for d in domains if d != leaf["failure_domain"])
    moved = _with_leaf(stored, {**leaf, "failure_domain": other})
    platform = fake.FakePlatform([stored.model_dump_json()], [])
    with pytest.raises(ChangeRefusedError) as caught:
        _run(platform, lambda op: op.apply(moved, 7))
    assert leaf["address"] in caught.value.message
    assert "at least 10 s later" in caught.value.remedy
    assert platform.change_ids == ["seventh"]
    # As the remedy says, the leaf can be removed and then added again.
    removed = _with_leaf(stored, None)
    assert _run(platform, lambda op: op.apply(removed, 7)).revision == 8
    assert _run(platform, lambda op: op.apply(moved, 8)).revision == 9


def test_edit_is_reapplied_after_write_conflict(fake, stored):
    """Guards against a domain left in service after a write conflict."""
    conflict = [fake.Fault.NONE, fake.Fault.CONFLICT]
    platform = fake.FakePlatform([stored.model_dump_json()], conflict * 3)
    accepted = _run(platform, lambda op: op.edit(OUT))
    assert accepted.revision == 11
    assert platform.document["out_failure_domains"] == ["pk-north-a"]
    assert len(platform.document["out_vms"]) == 3


def test_edit_fails_after_repeated_conflicts(fake, stored):
    """Guards against a command that never returns."""
    conflict = [fake.Fault.NONE, fake.Fault.CONFLICT]
    platform = fake.FakePlatform([stored.model_dump_json()], conflict * 50)
    with pytest.raises(ConfigConflictError):
        _run(platform, lambda op: op.edit(OUT))
    assert not _own_change_ids(platform)


def test_lost_response_during_outage_is_reported_as_unknown(fake, stored):
    """Guards against reporting a change as refused that may be in force."""
    faults = [fake.Fault.NONE, fake.Fault.RESPONSE_LOST]
    platform = fake.FakePlatform(
        [stored.model_dump_json()],
        itertools.chain(faults, itertools.repeat(fake.Fault.DOWN)),
    )
    with pytest.raises(ChangeUnknownError) as caught:
        _run(platform, lambda op: op.edit(OUT))
    assert caught.value.change_id == "own1"
    assert "find-change own1" in caught.value.remedy
    platform = fake.FakePlatform(platform.history[1:])
    found = _run(platform, lambda op: op.find_change("own1"))
    assert found.accepted


def test_only_the_last_50_changes_are_kept(fake, stored):
    """Guards against a stored value that grows with each change."""
    platform = fake.FakePlatform([stored.model_dump_json()])

    async def many(op):
        for _ in range(60):
            await op.edit(OUT)

    _run(platform, many)
    recent = json.loads(platform.history[-1])["recent_changes"]
    assert recent == platform.change_ids[-50:]


def test_invalid_edits_change_nothing(fake, stored):
    """Guards against taking all domains or an unknown one out of service."""
    platform = fake.FakePlatform([stored.model_dump_json()])

    async def all_out(op):
        for name in stored.document.regions[0].failure_domains:
            await op.edit(domain_edit(name, out=True))

    with pytest.raises(ChangeRefusedError):
        _run(platform, all_out)
    assert len(platform.document["out_failure_domains"]) == 2
    with pytest.raises(SettingsError):
        _run(platform, lambda op: op.edit(domain_edit("west", out=True)))
    with pytest.raises(ChangeRefusedError):
        _run(fake.FakePlatform(), lambda op: op.edit(OUT))
