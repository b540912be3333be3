"""Tests of submissions with a fake cell and platform."""

import pytest
import trio
from sapphire_core.claim import Claim, ClaimState
from sapphire_wire.gen.ttypes import SubmitReply

_CLAIM = "claims/tox/k1"
_UNSENT = SubmitReply(sent=False, known=False, outcome="", reason="not_holder")
_LOST = SubmitReply(sent=True, known=False, outcome="", reason="leaf_late")


async def _claim(stage):
    await stage.entry.submitter.wait_idle()
    return Claim.from_json(stage.platform.items[_CLAIM].value)


def test_repeated_submission_runs_once(on_stage):
    """Guards against a proposal that is registered twice."""

    async def check(stage):
        replies = []

        async def ask():
            replies.append(await stage.submit())

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(ask)
        await ask()
        assert len(stage.cell.submits) == 1
        assert [r.json()["first"] for r in replies].count(True) == 1
        assert all(r.json()["outcome"] == {"score": 1} for r in replies)
        assert (await _claim(stage)).state is ClaimState.DONE

    on_stage(check)


def test_other_body_under_a_key_is_a_conflict(on_stage):
    """Guards against an outcome that belongs to another proposal."""

    async def check(stage):
        await stage.submit()
        same = await stage.submit(body={"a": [None, "é"], "b": 1})
        assert same.json()["first"] is False
        reply = await stage.submit(body={"b": 2})
        assert reply.status == 409
        assert reply.json()["error"]["run"] == "not run"

    on_stage(check)


def test_lost_outcome_is_unknown_and_not_repeated(on_stage):
    """Guards against a retry of something that may have run."""

    async def check(stage):
        stage.cell.submit_replies = [_LOST]
        for _ in range(2):
            error = (await stage.submit(deadline_ms=300)).json()["error"]
            assert (error["kind"], error["run"]) == (
                "outcome_unknown",
                "unknown",
            )
        assert len(stage.cell.submits) == 1

    on_stage(check)


def test_lost_channel_is_unknown(on_stage):
    """Guards against a false 'not run' when the aggregator is lost."""

    async def check(stage):
        stage.cell.submit_replies = [None]
        channel = stage.entry.views.peer(stage.cell.address).current
        async with trio.open_nursery() as nursery:

            async def cut():
                while not stage.cell.submits:
                    await trio.sleep(0.01)
                channel.abort()

            nursery.start_soon(cut)
            error = (await stage.submit()).json()["error"]
        assert error["run"] == "unknown"
        assert (await _claim(stage)).state is ClaimState.DISPATCHING

    on_stage(check)


def test_outcome_after_the_deadline_is_stored(on_stage):
    """Guards against an outcome that is lost although the leaf answered."""

    async def check(stage):
        stage.cell.submit_replies = ["late"]
        reply = await stage.submit(deadline_ms=200)
        assert reply.json()["error"]["run"] == "unknown"
        assert (await _claim(stage)).state is ClaimState.DONE
        assert (await stage.submit()).json() == {
            "run": "run",
            "outcome": {"score": 1},
            "first": False,
        }

    on_stage(check)


def test_refusal_before_the_send_goes_to_another_leaf(on_stage):
    """Guards against a refusal while another leaf could take it."""

    async def check(stage):
        stage.cell.submit_replies = [_UNSENT]
        reply = await stage.submit()
        assert reply.json()["first"] is True
        first, second = stage.cell.submits
        assert first.leaf != second.leaf
        assert (await _claim(stage)).state is ClaimState.DONE

    on_stage(check)


def test_refusals_everywhere_release_the_claim(on_stage):
    """Guards against a key that stays blocked though nothing ran."""

    async def check(stage):
        stage.cell.submit_replies = [_UNSENT] * 9
        error = (await stage.submit()).json()["error"]
        assert error["run"] == "not run"
        assert (await _claim(stage)).state is ClaimState.RELEASED
        stage.cell.submit_replies = []
        assert (await stage.submit()).json()["first"] is True

    on_stage(check)


def test_platform_outage_is_not_run(on_stage):
    """Guards against a dispatch without a claim."""

    async def check(stage):
        stage.platform.down = True
        error = (await stage.submit()).json()["error"]
        assert (error["kind"], error["run"]) == (
            "platform_unavailable",
            "not run",
        )
        assert stage.cell.submits == []

    on_stage(check)


@pytest.mark.parametrize("lost", [1, 2])
def test_lost_claim_write_is_resolved(on_stage, lost):
    """Guards against two dispatches or none after a lost answer."""

    async def check(stage):
        stage.platform.lost_writes = lost
        assert (await stage.submit()).json()["first"] is True
        assert len(stage.cell.submits) == 1

    on_stage(check)


@pytest.mark.parametrize("key", [None, ""])
def test_missing_key_is_refused(on_stage, key):
    """Guards against a submission that can't be made at most once."""

    async def check(stage):
        fields = {"service": "tox", "body": {}, "deadline_ms": 100}
        if key is not None:
            fields["key"] = key
        reply = await stage.post("/v1/submit", **fields)
        assert reply.status == 400
        assert reply.json()["error"]["kind"] == "missing_key"

    on_stage(check)
