"""Fixtures for the tests of the gateway."""

from __future__ import annotations

import eliot
import pytest
import trio
from gateway_harness import GatewayHarness
from sapphire_gateway import telemetry


@pytest.fixture
def log_events(monkeypatch):
    """Returns a function that returns the logged lines of one kind."""
    # The clock of each run starts anew, also that of the limiter's tokens.
    monkeypatch.setattr(telemetry, "_LEAF_LOG", telemetry.RequestLogLimiter())
    lines = []
    add = lines.append
    eliot.add_destinations(add)
    # Lines that were logged before the first destination existed.
    lines.clear()

    def select(kind):
        return [
            line for line in lines if line["message_type"] == f"gateway:{kind}"
        ]

    yield select
    eliot.remove_destination(add)


@pytest.fixture
def run_with_harness():
    """Returns a function that runs an async test with a listening gateway."""

    def run(test):
        async def main():
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    harness = GatewayHarness(nursery)
                    nursery.start_soon(harness.pool.run_sweeps)
                    await harness.serve()
                    await test(harness)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    return run
