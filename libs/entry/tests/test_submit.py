"""Tests of submissions with a fake aggregator and platform."""

import pytest
import trio
from sapphire_core.claim import Claim, ClaimState
from sapphire_wire.gen.ttypes import SubmitReply

_CLAIM = "claims/tox/k1"
_UNSENT = SubmitReply(False, False, "", "not_holder")
_LOST = SubmitReply(True, False, "", "leaf_late")


async def _claim(harness):
    await harness.entry.submitter.wait_idle()
    return Claim.from_json(harness.platform.items[_CLAIM].value)


async def test_repeated_submission_runs_once(harness):
    """Guards against executing a submission twice."""
    replies = []

    async def send_submission():
        replies.append(await harness.submit())

    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(send_submission)
    await send_submission()
    assert len(harness.aggregator.submits) == 1
    assert [r.json()["first"] for r in replies].count(True) == 1
    assert all(r.json()["outcome"] == {"score": 1} for r in replies)
    assert (await _claim(harness)).state is ClaimState.DONE


async def test_other_body_under_a_key_is_a_conflict(harness):
    """Guards against returning the outcome of a different submission."""
    await harness.submit()
    same = await harness.submit(body={"a": [None, "é"], "b": 1})
    assert same.json()["first"] is False
    reply = await harness.submit(body={"b": 2})
    assert reply.status == 409
    assert reply.json()["error"]["run"] == "not run"


async def test_lost_outcome_is_unknown_and_not_repeated(harness):
    """Guards against retrying a submission that may have been executed."""
    harness.aggregator.submit_replies = [_LOST]
    for _ in range(2):
        error = (await harness.submit(deadline_ms=300)).json()["error"]
        assert error["kind"] == "outcome_unknown"
        assert error["run"] == "unknown"
    assert len(harness.aggregator.submits) == 1


async def test_lost_channel_is_unknown(harness):
    """Guards against a false 'not run' when the aggregator fails."""
    harness.aggregator.submit_replies = [None]
    channel = harness.entry.aggregator_pool.peer(
        harness.aggregator.address
    ).current_channel
    async with trio.open_nursery() as nursery:

        async def abort_channel():
            while not harness.aggregator.submits:
                await trio.sleep(0.01)
            channel.abort()

        nursery.start_soon(abort_channel)
        error = (await harness.submit()).json()["error"]
    assert error["run"] == "unknown"
    assert (await _claim(harness)).state is ClaimState.DISPATCHING


async def test_outcome_after_the_deadline_is_stored(harness):
    """Guards against losing an outcome that arrives after the deadline."""
    harness.aggregator.submit_replies = ["late"]
    reply = await harness.submit(deadline_ms=200)
    assert reply.json()["error"]["run"] == "unknown"
    assert (await _claim(harness)).state is ClaimState.DONE
    assert (await harness.submit()).json() == {
        "run": "run",
        "outcome": {"score": 1},
        "first": False,
    }


async def test_refusal_before_the_send_goes_to_another_leaf(harness):
    """Guards against an error while another leaf could accept it."""
    harness.aggregator.submit_replies = [_UNSENT]
    reply = await harness.submit()
    assert reply.json()["first"] is True
    first, second = harness.aggregator.submits
    assert first.leaf != second.leaf
    assert (await _claim(harness)).state is ClaimState.DONE


async def test_claim_is_released_if_all_leaves_refuse(harness):
    """Guards against a claim that stays open although nothing ran."""
    harness.aggregator.submit_replies = [_UNSENT] * 9
    error = (await harness.submit()).json()["error"]
    assert error["run"] == "not run"
    assert (await _claim(harness)).state is ClaimState.RELEASED
    harness.aggregator.submit_replies = []
    assert (await harness.submit()).json()["first"] is True


async def test_platform_outage_is_not_run(harness):
    """Guards against dispatching a submission without a claim."""
    harness.platform.down = True
    error = (await harness.submit()).json()["error"]
    assert error["kind"] == "platform_unavailable"
    assert error["run"] == "not run"
    assert harness.aggregator.submits == []


@pytest.mark.parametrize("lost", [1, 2])
async def test_lost_claim_write_is_resolved(harness, lost):
    """Guards against zero or two dispatches after a lost write response."""
    harness.platform.lost_writes = lost
    assert (await harness.submit()).json()["first"] is True
    assert len(harness.aggregator.submits) == 1


@pytest.mark.parametrize("key", [None, ""])
async def test_missing_key_is_refused(harness, key):
    """Guards against submissions that can't be deduplicated."""
    fields = {"service": "tox", "body": {}, "deadline_ms": 100}
    if key is not None:
        fields["key"] = key
    reply = await harness.post("/v1/submit", **fields)
    assert reply.status == 400
    assert reply.json()["error"]["kind"] == "missing_key"
