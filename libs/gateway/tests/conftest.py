"""Fixtures for the tests of the gateway."""

from __future__ import annotations

import pytest
import trio
from gateway_harness import World


@pytest.fixture
def in_world():
    """Returns a function that runs an async test with a listening gateway."""

    def run(test):
        async def main():
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    world = World(nursery)
                    nursery.start_soon(world.pool.sweep)
                    await world.serve()
                    await test(world)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    return run
