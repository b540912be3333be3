"""Requests that arrive while a gateway process is being stopped."""

from __future__ import annotations

import signal

import pytest
import trio
from soak.callers import send_request
from soak.operator import FETCH, SUBMIT, UNSHARDED_SERVICE
from soak.processes import STOP_GRACE_S
from soak.runner import running_environment, wait_until_ready

REQUEST_INTERVAL_S = 0.04
# Statuses that promise that no leaf has run the request.
NOT_RUN_STATUSES = {408, 421, 429, 503}


@pytest.mark.parametrize("execution_s", [0.02, 0.3, 1.0])
@pytest.mark.parametrize("route", [FETCH, SUBMIT], ids=["fetch", "submit"])
def test_no_request_is_cut_by_a_planned_stop(tmp_path, route, execution_s):
    """Guards against requests that are accepted too late to be answered.

    They were passed on to leaves and cut at the end of the grace period.
    """
    attempts, executed = trio.run(_stop_gateway, tmp_path, route, execution_s)
    cut = [
        attempt.request_id
        for attempt in attempts
        if attempt.reply is None and attempt.request_id in executed
    ]
    assert cut == []
    untrue = [
        attempt.request_id
        for attempt in attempts
        if attempt.reply is not None
        and attempt.reply.status in NOT_RUN_STATUSES
        and attempt.request_id in executed
    ]
    assert untrue == []
    # A run without late requests would show nothing.
    assert max(a.started_at for a in attempts if a.reply is not None) > (
        attempts[0].started_at + STOP_GRACE_S / 2
    )


async def _stop_gateway(folder, route, execution_s):
    async with running_environment(1, folder, 8) as (environment, nursery):
        await wait_until_ready(environment, nursery)
        for leaf in environment.leaves:
            if leaf.service == UNSHARDED_SERVICE:
                leaf.mean_execution_s = execution_s
        gateway = environment.gateways[0]
        attempts = []

        async def send():
            attempts.append(
                await send_request(gateway, route, f"{route.prefix}x")
            )

        gateway.send_signal(signal.SIGTERM)
        ends_at = trio.current_time() + STOP_GRACE_S
        async with trio.open_nursery() as requests:
            while trio.current_time() < ends_at and gateway.is_running:
                requests.start_soon(send)
                await trio.sleep(REQUEST_INTERVAL_S)
        attempts.sort(key=lambda attempt: attempt.started_at)
        ledger = environment.observations.ledger
        executed = {e.request_id for e in ledger.executions}
        nursery.cancel_scope.cancel()
        return attempts, executed
