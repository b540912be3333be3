"""Submissions under failure.

A submission runs at most once, and it has not run if all replies to it say "not
run". That state is about one request: an earlier or later request with the same
key may have run.
"""

from __future__ import annotations

import signal
from typing import Any

import trio
from sapphire_bench.fleet import Fleet
from sapphire_bench.process import FleetError
from support import run_scenario

SERVICE = "registre-depots"
KEYS_PER_CHUNK = 3


async def submit(
    fleet: Fleet,
    entry: str,
    key: str,
    body: dict[str, Any] | None = None,
    deadline_ms: int = 1500,
) -> dict[str, Any]:
    """Submits through one entry; returns an empty dict if the reply is lost.

    The idempotency key identifies the submission; repetitions of it have the
    same key and body. Any body will do.
    """
    fields = {
        "service": SERVICE,
        "key": key,
        "body": body or {"lot": 4},
        "deadline_ms": deadline_ms,
    }
    try:
        reply: dict[str, Any] = await fleet.call(
            entry, "POST", "/v1/submit", fields
        )
    except FleetError:
        return {}
    return reply


def run_state(reply: dict[str, Any]) -> str:
    """Returns the execution state that a reply reports.

    The state is "run", "not run" or "unknown"; "lost" stands for a reply that
    was lost.
    """
    source = reply.get("error") or reply
    return str(source.get("run", "lost"))


async def count_executions(fleet: Fleet) -> dict[str, int]:
    """Returns the number of executions of each key over all leaves."""
    counts: dict[str, int] = {}
    for leaf in fleet.leaves:
        record = await fleet.record(leaf.address)
        for key, executions in record["submissions"].items():
            counts[key] = counts.get(key, 0) + len(executions)
    return counts


async def submit_through_all_entries(
    fleet: Fleet, keys: list[str], replies: dict[str, list[dict[str, Any]]]
) -> None:
    """Submits the keys one after the other, each through all entries at once.

    Appends the replies of each key to its list in `replies`.
    """

    async def submit_key(entry: str, key: str) -> None:
        replies.setdefault(key, []).append(await submit(fleet, entry, key))

    for key in keys:
        async with trio.open_nursery() as nursery:
            for entry in fleet.entries:
                nursery.start_soon(submit_key, entry, key)


def check_replies(
    replies: dict[str, list[dict[str, Any]]], counts: dict[str, int]
) -> None:
    """Checks that no key ran twice and that the replies match the executions.

    A key must have run if any reply says "run", and must not have run if all
    replies say "not run". A "not run" beside other states is not checked, since
    it is about its own request only and the key may have run for another one.
    Replies with an outcome must all report the same one.

    Args:
        replies: Replies by key.
        counts: Number of executions by key.
    """
    for key, key_replies in replies.items():
        states = [run_state(reply) for reply in key_replies]
        assert counts.get(key, 0) <= 1, (key, key_replies)
        if "run" in states:
            assert counts[key] == 1
        if set(states) == {"not run"}:
            assert counts.get(key, 0) == 0, (key, key_replies)
        # As strings, because dicts cannot be members of a set.
        outcomes = {str(r["outcome"]) for r in key_replies if "outcome" in r}
        assert len(outcomes) <= 1


def test_same_key_through_all_entries_runs_once():
    """Guards against a second execution of a submission.

    Each key is submitted through all entries at once and is then repeated.
    Some keys are submitted first while the platform's key-value store loses
    replies or returns old values, and repeated after that.
    """

    async def scenario(fleet: Fleet) -> None:
        replies: dict[str, list[dict[str, Any]]] = {}
        keys = [f"offer-{n}" for n in range(10)]
        await submit_through_all_entries(fleet, keys, replies)
        # Repeated submissions get the outcome of the first execution.
        await submit_through_all_entries(fleet, keys, replies)
        counts = await count_executions(fleet)
        check_replies(replies, counts)
        assert all(counts[key] == 1 for key in keys)
        for key in keys:
            # Set only in the reply to the request that ran the key.
            first_flags = [r.get("first") for r in replies[key]]
            assert first_flags.count(True) == 1
        entry = fleet.entries[0]
        other = await submit(fleet, entry, keys[0], {"lot": 5})
        assert other["error"]["kind"] == "key_conflict"

        # The store applies all writes but loses 40 % of the replies to them.
        await fleet.fault(fleet.platform, lose_share=0.4)
        lossy = [f"lossy-{n}" for n in range(10)]
        await submit_through_all_entries(fleet, lossy, replies)
        await fleet.fault(fleet.platform, lose_share=0)
        await submit_through_all_entries(fleet, lossy, replies)
        # The store answers 40 % of the reads with the value before the last
        # write.
        await fleet.fault(fleet.platform, old_share=0.4)
        stale = [f"stale-{n}" for n in range(6)]
        await submit_through_all_entries(fleet, stale, replies)
        await fleet.fault(fleet.platform, old_share=0)
        await submit_through_all_entries(fleet, stale, replies)
        check_replies(replies, await count_executions(fleet))

    run_scenario(scenario)


def test_submissions_refused_in_platform_outage_are_not_run():
    """Guards against a refused submission that runs nevertheless.

    While the platform is down, each submission must be refused as "not run"
    and none may run. After the outage each of them runs once.
    """

    async def scenario(fleet: Fleet) -> None:
        replies: dict[str, list[dict[str, Any]]] = {}
        await fleet.fault(fleet.platform, down=True)
        keys = [f"outage-{n}" for n in range(4)]
        await submit_through_all_entries(fleet, keys, replies)
        for key in keys:
            assert {run_state(r) for r in replies[key]} == {"not run"}
        assert not await count_executions(fleet)
        await fleet.fault(fleet.platform, down=False)
        # An entry claims a key in the store before it runs it. No claim was
        # written during the outage, so each key can run now.
        await submit_through_all_entries(fleet, keys, replies)
        counts = await count_executions(fleet)
        check_replies(replies, counts)
        assert all(counts[key] == 1 for key in keys)

    run_scenario(scenario)


def test_paused_daemons_and_killed_entry_run_no_key_twice():
    """Guards against a second execution after a daemon was killed or paused.

    While keys are submitted, the entry and the aggregator of one VM are paused
    twice each. Then the entry is killed and started again.
    """

    async def scenario(fleet: Fleet) -> None:
        replies: dict[str, list[dict[str, Any]]] = {}
        keys = [f"fault-{n}" for n in range(24)]
        vm = fleet.vms[0]
        entry_name = f"entry-{vm.name}"
        names = [entry_name, f"aggregator-{vm.name}"]

        async def pause_and_kill() -> None:
            for name in names:
                for pause_s in (0.05, 0.7):
                    fleet.processes[name].signal(signal.SIGSTOP)
                    await trio.sleep(pause_s)
                    fleet.processes[name].signal(signal.SIGCONT)
                    await trio.sleep(0.2)
            fleet.kill(entry_name)
            await trio.sleep(0.5)
            await fleet.start_entry(vm)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(pause_and_kill)
            # The same as a single call with all keys, which submits them one
            # after the other; the chunks have no effect.
            for start in range(0, len(keys), KEYS_PER_CHUNK):
                chunk = keys[start : start + KEYS_PER_CHUNK]
                await submit_through_all_entries(fleet, chunk, replies)
        await trio.sleep(3)
        await submit_through_all_entries(fleet, keys, replies)
        check_replies(replies, await count_executions(fleet))

    run_scenario(scenario)
