"""Tests of the simulated platform with the production client."""

import contextlib

import pytest
import trio
from sapphire_core.errors import (
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnconfirmedError,
)
from sapphire_standins import platform, server
from sapphire_wire.platform import PlatformClient, VersionedValue
from sapphire_wire.web import HttpClient


@contextlib.asynccontextmanager
async def _platform():
    """Yields clients for the service and the control address."""
    settings = platform.PlatformSettings()
    async with server.started(platform.serve, settings) as addresses:
        client = PlatformClient(addresses.listen, None)
        yield client, HttpClient(addresses.control, 1)


async def _post(control, path, body):
    reply = await control.call("POST", path, body, timeout_s=5)
    assert reply.status == 200
    return reply.json()


def test_calls_of_the_client():
    """Guards against a simulation that the production client can't use."""

    async def main():
        async with _platform() as (client, control):
            key = "claims/desk/a%2Fb"
            assert await client.get(key) == VersionedValue("", 0)
            assert await client.put(key, "x" * 1_000_000, 0) == 1
            with pytest.raises(WriteConflictError):
                await client.put(key, "y", 0)
            async with trio.open_nursery() as nursery:

                async def watch():
                    assert await client.watch(key, 1) == VersionedValue("y", 2)

                nursery.start_soon(watch)
                await trio.sleep(0.1)
                assert await client.put(key, "y", 1) == 2
            record = await control.call("GET", "/record", timeout_s=5)
            assert record.json()["calls"] == {"get": 1, "put": 3, "watch": 1}

    trio.run(main)


def test_write_with_a_lost_reply_is_applied():
    """Guards against a lost reply that undoes the write."""

    async def main():
        async with _platform() as (client, control):
            faults = {"lose_next": 1, "drop_next": 1}
            await _post(control, "/faults", faults)
            with pytest.raises(WriteUnconfirmedError):
                await client.put("k", "dropped", 0)
            with pytest.raises(WriteUnconfirmedError):
                await client.put("k", "lost", 0)
            assert await client.get("k") == VersionedValue("lost", 1)
            await _post(control, "/faults", {"old_share": 1})
            assert await client.get("k") == VersionedValue("", 0)

    trio.run(main)


@pytest.mark.parametrize(
    "fault", [{"down": True}, {"refuse": True}, {"cut_off": ["127.0.0.1"]}]
)
def test_outage_ends_waiting_watches(fault):
    """Guards against an outage that leaves open connections working."""

    async def main():
        async with _platform() as (client, control):
            async with trio.open_nursery() as nursery:

                async def watch():
                    with pytest.raises(PlatformUnavailableError):
                        await client.watch("k", 0)

                nursery.start_soon(watch)
                await trio.sleep(0.1)
                await _post(control, "/faults", fault)
            with pytest.raises(PlatformUnavailableError):
                await client.get("k")
            undone = {"down": False, "refuse": False, "cut_off": []}
            await _post(control, "/faults", undone)
            assert await client.put("k", "x", 0) == 1

    trio.run(main)


def test_rate_limit_and_lease_expiry():
    """Guards against a missing rate limit and leases that never expire."""

    async def main():
        async with _platform() as (client, control):
            opened = await _post(control, "/lease", {"ttl_ms": 200})
            body = {"value": "x", "expect": 0, "lease": opened["lease"]}
            await control.call("PUT", "/kv/k", body, timeout_s=5)
            assert await client.get("k") == VersionedValue("x", 1)
            with trio.fail_after(10):
                assert await client.watch("k", 1) == VersionedValue("", 0)
            await _post(control, "/faults", {"read_rate": 1})
            for _ in range(2):
                with contextlib.suppress(PlatformUnavailableError):
                    await client.get("k")
            with pytest.raises(PlatformUnavailableError):
                await client.get("k")

    trio.run(main)
