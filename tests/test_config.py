"""Configuration under failure.

Every daemon adopts an accepted revision within the guaranteed time. Searches do
not depend on the platform, which stores the configuration.
"""

from __future__ import annotations

import contextlib
import signal
import subprocess

import trio
from sapphire_bench.fleet import SCRIPTS, Fleet
from sapphire_bench.process import FleetError
from support import (
    CONFIG_ADOPTION_LIMIT_S,
    aggregator_status,
    run_scenario,
    run_under_load,
)


async def read_revisions(fleet: Fleet) -> list[int]:
    """Returns the revision that each daemon uses.

    The revision of an aggregator that does not answer is -1.

    Raises:
        FleetError: An entry did not answer.
    """
    revisions = []
    for vm in fleet.vms:
        status = await aggregator_status(fleet, vm)
        revisions.append(status.get("revision", -1))
        status = await fleet.call(vm.entry, "GET", "/v1/status")
        revisions.append(status["revision"])
    return revisions


async def wait_until_adopted(fleet: Fleet, revision: int) -> None:
    """Waits until every daemon uses a revision.

    Raises:
        trio.TooSlowError: It was not adopted everywhere within the guaranteed
            time, CONFIG_ADOPTION_LIMIT_S.
    """
    with trio.fail_after(CONFIG_ADOPTION_LIMIT_S):
        while set(await read_revisions(fleet)) != {revision}:
            await trio.sleep(0.1)


async def run_ctl(fleet: Fleet, *arguments: str) -> subprocess.CompletedProcess:
    """Runs one command of sapphirecross-ctl."""
    command = [
        str(SCRIPTS / "sapphirecross-ctl"),
        *arguments,
        f"--platform={fleet.platform}",
    ]
    return await trio.run_process(
        command, capture_stdout=True, capture_stderr=True, check=False
    )


def test_one_of_four_concurrent_changes_is_accepted():
    """Guards against two accepted changes to the same revision.

    Four operators apply a document at once and all expect revision 1. One of
    the changes must be accepted and the others must be refused.
    """

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
                # The error names the revision in force, 2. Any other "2" in it
                # satisfies this check as well.
                assert b"2" in result.stderr
        await wait_until_adopted(fleet, 2)

    run_scenario(scenario)


def test_change_reaches_all_daemons_after_lost_reply_and_outage():
    """Guards against an accepted change that does not reach every daemon.

    The platform applies the change but its reply is lost. Then it goes down,
    and two daemons are restarted during the outage. When it is back, it returns
    the revision before the change, which no daemon may adopt. The test watches
    the daemons for 3 s.
    """

    async def scenario(fleet: Fleet) -> None:
        path = fleet.directory / "document.json"
        path.write_text(fleet.document.model_dump_json())
        await fleet.fault(fleet.platform, lose_next=1)
        result = await run_ctl(
            fleet, "apply", str(path), "--expected-revision=1"
        )
        # The command finds out by its change id that the change was accepted.
        assert result.returncode == 0, result.stderr
        await fleet.fault(fleet.platform, down=True)
        await wait_until_adopted(fleet, 2)

        # Daemons restarted in the outage get the revision from their peers.
        vm = fleet.vms[0]
        for role in ("entry", "aggregator"):
            fleet.kill(f"{role}-{vm.name}")
        await fleet.start_aggregator(vm)
        await fleet.start_entry(vm)
        await wait_until_started(fleet, vm.entry)
        await wait_until_adopted(fleet, 2)

        # The platform comes back, and each read returns the previous value.
        await fleet.fault(fleet.platform, down=False, old_share=1)
        for _ in range(30):
            assert set(await read_revisions(fleet)) == {2}
            await trio.sleep(0.1)

    run_scenario(scenario)


def test_paused_daemon_adopts_the_last_revision():
    """Guards against an old revision on a daemon that was paused.

    Two changes are accepted while an aggregator is paused. The test ends when
    all daemons use the last revision; it does not check what they use later.
    """

    async def scenario(fleet: Fleet) -> None:
        aggregator = fleet.processes[f"aggregator-{fleet.vms[1].name}"]
        aggregator.signal(signal.SIGSTOP)
        for expected_revision in (1, 2):
            await fleet.apply(fleet.document, expected_revision)
        await trio.sleep(3)
        aggregator.signal(signal.SIGCONT)
        await wait_until_adopted(fleet, 3)

    run_scenario(scenario)


def test_searches_succeed_while_platform_is_down_or_slow():
    """Guards against searches that depend on the platform.

    The platform is down for 6 s and then answers slowly for 3 s.
    """

    async def scenario(fleet: Fleet) -> None:
        async def interrupt_platform() -> None:
            await fleet.fault(fleet.platform, down=True)
            await trio.sleep(6)
            await fleet.fault(fleet.platform, down=False, slow_ms=900)
            await trio.sleep(3)

        load = await run_under_load(fleet, interrupt_platform)
        assert not load.failures
        assert not load.incomplete

    run_scenario(scenario)


async def wait_until_started(fleet: Fleet, address: str) -> None:
    """Waits until a daemon answers status requests.

    Raises:
        trio.TooSlowError: It did not answer within 30 s.
    """
    with trio.fail_after(30):
        while True:
            with contextlib.suppress(FleetError):
                await fleet.call(address, "GET", "/v1/status")
                return
            await trio.sleep(0.1)
