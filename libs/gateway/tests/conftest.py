"""Fixtures for the tests of the gateway."""

from __future__ import annotations

import pytest
import trio
from gateway_harness import GatewayHarness


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
