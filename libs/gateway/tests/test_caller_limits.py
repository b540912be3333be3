"""Tests of the limits of callers' connections."""

from __future__ import annotations

import dataclasses

import trio
from gateway_harness import (
    read_response,
    reply,
    request_bytes,
    single_leaf_route,
)
from sapphire_core.routing import ClientLimits


def set_limits(harness, **limits: float):
    """Adopts a new version of the configuration with these limits."""
    configuration = harness.view.configuration
    harness.view.adopt(
        dataclasses.replace(
            configuration,
            version=configuration.version + 1,
            limits=ClientLimits(**limits),
        )
    )


def test_changed_limits_hold_on_kept_connections(run_with_harness):
    """Guards against a connection that keeps the limits of its first request.

    A caller that reuses its connections would never meet a new configuration.
    """

    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, b"r"))
        harness.configure(single_leaf_route())
        body = b"b" * 20_000
        async with await harness.connect() as stream:
            await stream.send_all(request_bytes(method="POST", body=body))
            assert (await read_response(stream)).status == 200
            set_limits(harness, body_bytes=10_000)
            await stream.send_all(request_bytes(method="POST", body=body))
            assert (await read_response(stream)).status == 413
        async with await harness.connect() as stream:
            await stream.send_all(request_bytes())
            assert (await read_response(stream)).status == 200
            set_limits(harness, header_bytes=100)
            await stream.send_all(request_bytes("/a/" + "x" * 200))
            assert (await read_response(stream)).status == 431

    run_with_harness(test)


def test_changed_times_hold_on_kept_connections(run_with_harness):
    """Guards against idle and header times of an earlier configuration."""

    async def test(harness):
        await harness.leaf("s", lambda r: reply(r, b"r"))
        harness.configure(single_leaf_route())
        async with await harness.connect() as stream:
            await stream.send_all(request_bytes())
            assert (await read_response(stream)).status == 200
            set_limits(harness, header_timeout_s=0.2, idle_timeout_s=0.2)
            await stream.send_all(request_bytes())
            assert (await read_response(stream)).status == 200
            with trio.fail_after(2.0):
                assert await stream.receive_some(1) == b""
        set_limits(harness)
        async with await harness.connect() as stream:
            await stream.send_all(request_bytes())
            assert (await read_response(stream)).status == 200
            set_limits(harness, header_timeout_s=0.2)
            await stream.send_all(request_bytes()[:-4])
            with trio.fail_after(2.0):
                assert (await read_response(stream)).status == 408

    run_with_harness(test)
