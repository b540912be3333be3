"""Submissions under failure: at most one execution, correct "not run"."""

from __future__ import annotations

import signal
from typing import Any

import trio
from sapphire_bench.fleet import Fleet
from sapphire_bench.process import FleetError
from support import run_scenario

SERVICE = "registre-depots"
PARALLEL_KEYS = 3


async def submit(
    fleet: Fleet,
    entry: str,
    key: str,
    body: dict[str, Any] | None = None,
    deadline_ms: int = 1500,
) -> dict[str, Any]:
    """Submits through one entry; returns an empty dict if the reply is lost."""
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
    """Returns the execution state that a reply reports."""
    source = reply.get("error") or reply
    return str(source.get("run", "lost"))


async def executions(fleet: Fleet) -> dict[str, int]:
    """Returns the number of executions of each key over all leaves."""
    counts: dict[str, int] = {}
    for leaf in fleet.leaves:
        record = await fleet.record(leaf.address)
        for key, runs in record["submissions"].items():
            counts[key] = counts.get(key, 0) + len(runs)
    return counts


async def submit_everywhere(
    fleet: Fleet, keys: list[str], replies: dict[str, list[dict[str, Any]]]
) -> None:
    """Submits each key through all entries at once."""

    async def submit_key(entry: str, key: str) -> None:
        replies.setdefault(key, []).append(await submit(fleet, entry, key))

    for key in keys:
        async with trio.open_nursery() as nursery:
            for entry in fleet.entries:
                nursery.start_soon(submit_key, entry, key)


def check_replies(
    replies: dict[str, list[dict[str, Any]]], counts: dict[str, int]
) -> None:
    """Checks that no key ran twice and that each reported state is correct."""
    for key, answers in replies.items():
        states = [run_state(reply) for reply in answers]
        assert counts.get(key, 0) <= 1, (key, answers)
        if "run" in states:
            assert counts[key] == 1
        if set(states) == {"not run"}:
            assert counts.get(key, 0) == 0, (key, answers)
        outcomes = {str(r["outcome"]) for r in answers if "outcome" in r}
        assert len(outcomes) <= 1


def test_same_key_through_all_entries_runs_once():
    """Guards against a second execution of a submission.

    Each key goes through all entries at once and is then repeated, also while
    the store loses answers and while it returns old values.
    """

    async def scenario(fleet: Fleet) -> None:
        replies: dict[str, list[dict[str, Any]]] = {}
        keys = [f"offer-{n}" for n in range(10)]
        await submit_everywhere(fleet, keys, replies)
        # Repeated submissions get the first outcome.
        await submit_everywhere(fleet, keys, replies)
        counts = await executions(fleet)
        check_replies(replies, counts)
        assert all(counts[key] == 1 for key in keys)
        for key in keys:
            firsts = [r.get("first") for r in replies[key]]
            assert firsts.count(True) == 1
        entry = fleet.entries[0]
        other = await submit(fleet, entry, keys[0], {"lot": 5})
        assert other["error"]["kind"] == "key_conflict"

        # The store applies writes and loses the answers.
        await fleet.fault(fleet.platform, lose_share=0.4)
        lossy = [f"lossy-{n}" for n in range(10)]
        await submit_everywhere(fleet, lossy, replies)
        await fleet.fault(fleet.platform, lose_share=0)
        await submit_everywhere(fleet, lossy, replies)
        # The store returns values from before the last write.
        await fleet.fault(fleet.platform, old_share=0.4)
        stale = [f"stale-{n}" for n in range(6)]
        await submit_everywhere(fleet, stale, replies)
        await fleet.fault(fleet.platform, old_share=0)
        await submit_everywhere(fleet, stale, replies)
        check_replies(replies, await executions(fleet))

    run_scenario(scenario)


def test_platform_outage_refuses_submissions_truly():
    """Guards against a refused submission that runs nevertheless."""

    async def scenario(fleet: Fleet) -> None:
        replies: dict[str, list[dict[str, Any]]] = {}
        await fleet.fault(fleet.platform, down=True)
        keys = [f"outage-{n}" for n in range(4)]
        await submit_everywhere(fleet, keys, replies)
        for key in keys:
            assert {run_state(r) for r in replies[key]} == {"not run"}
        assert not await executions(fleet)
        await fleet.fault(fleet.platform, down=False)
        # No claim was written during the outage, so each key can run now.
        await submit_everywhere(fleet, keys, replies)
        counts = await executions(fleet)
        check_replies(replies, counts)
        assert all(counts[key] == 1 for key in keys)

    run_scenario(scenario)


def test_killed_and_paused_daemons_run_nothing_twice():
    """Guards against a second execution after a daemon was killed or paused."""

    async def scenario(fleet: Fleet) -> None:
        replies: dict[str, list[dict[str, Any]]] = {}
        keys = [f"fault-{n}" for n in range(24)]
        vm = fleet.vms[0]
        names = [f"entry-{vm.name}", f"aggregator-{vm.name}"]

        async def pause_and_kill() -> None:
            for name in names:
                for pause_s in (0.05, 0.7):
                    fleet.processes[name].signal(signal.SIGSTOP)
                    await trio.sleep(pause_s)
                    fleet.processes[name].signal(signal.SIGCONT)
                    await trio.sleep(0.2)
            fleet.kill(names[0])
            await trio.sleep(0.5)
            await fleet.start_entry(vm)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(pause_and_kill)
            for start in range(0, len(keys), PARALLEL_KEYS):
                chunk = keys[start : start + PARALLEL_KEYS]
                await submit_everywhere(fleet, chunk, replies)
        await trio.sleep(3)
        await submit_everywhere(fleet, keys, replies)
        check_replies(replies, await executions(fleet))

    run_scenario(scenario)
