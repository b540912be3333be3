"""Configuration under failure: in force everywhere, never reverted."""

from __future__ import annotations

import contextlib
import signal
import subprocess

import trio
from sapphire_bench.fleet import SCRIPTS, Fleet
from sapphire_bench.process import FleetError
from support import CONFIG_BOUND_S, aggregator_status, run_scenario, with_load


async def revisions(fleet: Fleet) -> list[int]:
    """Returns the revision in force on each daemon; -1 without an answer."""
    found = []
    for vm in fleet.vms:
        status = await aggregator_status(fleet, vm)
        found.append(status.get("revision", -1))
        status = await fleet.call(vm.entry, "GET", "/v1/status")
        found.append(status["revision"])
    return found


async def wait_in_force(fleet: Fleet, revision: int) -> None:
    """Waits at most the stated bound until a revision is in force."""
    with trio.fail_after(CONFIG_BOUND_S):
        while set(await revisions(fleet)) != {revision}:
            await trio.sleep(0.1)


async def run_ctl(fleet: Fleet, *words: str) -> subprocess.CompletedProcess:
    """Runs one command of the operators' client."""
    command = [
        str(SCRIPTS / "sapphirecross-ctl"),
        *words,
        f"--platform={fleet.platform}",
    ]
    return await trio.run_process(
        command, capture_stdout=True, capture_stderr=True, check=False
    )


def test_race_of_operators_has_one_winner():
    """Guards against two accepted changes on the same revision."""

    async def scenario(fleet: Fleet) -> None:
        results = []
        path = fleet.directory / "document.json"
        path.write_text(fleet.document.model_dump_json())

        async def apply() -> None:
            results.append(
                await run_ctl(
                    fleet, "apply", str(path), "--expected-revision=1"
                )
            )

        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(apply)
        codes = sorted(r.returncode for r in results)
        assert codes == [0, 1, 1, 1], [r.stderr for r in results]
        for result in results:
            if result.returncode:
                assert b"2" in result.stderr
        await wait_in_force(fleet, 2)

    run_scenario(scenario)


def test_lost_answer_and_outage_right_after_acceptance():
    """Guards against an accepted change that some daemons never learn."""

    async def scenario(fleet: Fleet) -> None:
        path = fleet.directory / "document.json"
        path.write_text(fleet.document.model_dump_json())
        await fleet.fault(fleet.platform, lose_next=1)
        result = await run_ctl(
            fleet, "apply", str(path), "--expected-revision=1"
        )
        assert result.returncode == 0, result.stderr
        await fleet.fault(fleet.platform, down=True)
        await wait_in_force(fleet, 2)

        # A daemon replaced during the outage learns it from its peers.
        vm = fleet.vms[0]
        for role in ("entry", "aggregator"):
            fleet.kill(f"{role}-{vm.name}")
        await fleet.start_aggregator(vm)
        await fleet.start_entry(vm)
        await _wait_answers(fleet, vm.entry)
        await wait_in_force(fleet, 2)

        # The platform returns with an old value.
        await fleet.fault(fleet.platform, down=False, old_share=1)
        for _ in range(30):
            assert set(await revisions(fleet)) == {2}
            await trio.sleep(0.1)

    run_scenario(scenario)


def test_paused_daemon_catches_up_and_never_reverts():
    """Guards against an old revision on a daemon that was away."""

    async def scenario(fleet: Fleet) -> None:
        member = fleet.processes[f"aggregator-{fleet.vms[1].name}"]
        member.signal(signal.SIGSTOP)
        for revision in (1, 2):
            await fleet.apply(fleet.document, revision)
        await trio.sleep(3)
        member.signal(signal.SIGCONT)
        await wait_in_force(fleet, 3)

    run_scenario(scenario)


def test_searches_go_on_while_the_platform_is_down():
    """Guards against searches that need the platform."""

    async def scenario(fleet: Fleet) -> None:
        async def act() -> None:
            await fleet.fault(fleet.platform, down=True)
            await trio.sleep(6)
            await fleet.fault(fleet.platform, down=False, slow_ms=900)
            await trio.sleep(3)

        load = await with_load(fleet, act)
        assert not load.failures
        assert not load.incomplete

    run_scenario(scenario)


async def _wait_answers(fleet: Fleet, address: str) -> None:
    with trio.fail_after(30):
        while True:
            with contextlib.suppress(FleetError):
                await fleet.call(address, "GET", "/v1/status")
                return
            await trio.sleep(0.1)
