"""Settings that change while a gateway process runs."""

from __future__ import annotations

import signal

import pytest
import trio
from soak.callers import send_request
from soak.operator import SUBMIT, UNSHARDED_SERVICE
from soak.processes import STOP_GRACE_S
from soak.runner import running_environment, wait_until_ready

SHORT_GRACE_S = 3
# Time for a process to take over changed settings.
RELOAD_S = 0.5
EXECUTION_S = 0.5
REQUEST_INTERVAL_S = 0.05


def _change(gateway, before, after):
    path = gateway.folder / f"{gateway.name}.toml"
    text = path.read_text()
    assert before in text
    path.write_text(text.replace(before, after))
    gateway.send_signal(signal.SIGHUP)


@pytest.mark.parametrize("is_stopping", [False, True])
def test_shorter_time_to_stop_cuts_no_request(tmp_path, is_stopping):
    """Guards against a stop by the settings of the start: requests were cut.

    The platform kills the process at the end of the changed time, also if it
    changes during the stop.
    """
    attempts, executed, ended_s = trio.run(_play, tmp_path, is_stopping)
    assert ended_s <= SHORT_GRACE_S
    cut = [
        attempt.request_id
        for attempt in attempts
        if attempt.reply is None and attempt.request_id in executed
    ]
    assert cut == []
    assert any(a.reply is not None and a.reply.status == 200 for a in attempts)


async def _play(folder, is_stopping):
    async with running_environment(1, folder, 8) as (environment, nursery):
        await wait_until_ready(environment, nursery)
        for leaf in environment.leaves:
            if leaf.service == UNSHARDED_SERVICE:
                leaf.mean_execution_s = EXECUTION_S
        gateway = environment.gateways[0]
        grace = f"GraceS = {STOP_GRACE_S}", f"GraceS = {SHORT_GRACE_S}"
        attempts = []

        async def send():
            attempts.append(
                await send_request(gateway, SUBMIT, f"{SUBMIT.prefix}x")
            )

        if not is_stopping:
            _change(gateway, *grace)
            await trio.sleep(RELOAD_S)
        gateway.send_signal(signal.SIGTERM)
        began = trio.current_time()
        if is_stopping:
            _change(gateway, *grace)
        killed_at = began + SHORT_GRACE_S
        async with trio.open_nursery() as requests:
            while trio.current_time() < killed_at and gateway.is_running:
                requests.start_soon(send)
                await trio.sleep(REQUEST_INTERVAL_S)
            ended_s = trio.current_time() - began
            gateway.kill()
        ledger = environment.observations.ledger
        executed = {e.request_id for e in ledger.executions}
        nursery.cancel_scope.cancel()
        return attempts, executed, ended_s


def test_setting_that_needs_a_restart_is_named(tmp_path):
    """Guards against a change that is accepted and has no effect."""
    trio.run(_change_failure_domain, tmp_path)


async def _change_failure_domain(folder):
    async with running_environment(1, folder, 2) as (environment, nursery):
        await wait_until_ready(environment, nursery)
        gateway = environment.gateways[0]
        _change(gateway, 'Zone = "za"', 'Zone = "zx"')
        await trio.sleep(RELOAD_S)
        (line,) = gateway.log_lines("gateway:needs_restart")
        assert '"setting":"domain"' in line
        assert '"before":"za"' in line
        assert '"after":"zx"' in line
        nursery.cancel_scope.cancel()
