"""Tests of the simulated VM list with the production client."""

import pytest
import trio
from sapphire_standins import server, vms
from sapphire_wire.platform import PlatformClient, VmLists
from sapphire_wire.web import HttpClient


@pytest.mark.parametrize(
    ("lag_ms", "shown"),
    [(0, VmLists({"a", "b"}, {"b"})), (60_000, VmLists({"a"}, set()))],
)
def test_changes_are_visible_after_the_lag(lag_ms, shown):
    """Guards against a list that shows changes earlier than the real one."""

    async def main():
        settings = vms.VmSettings(lag_ms=lag_ms, vms=vms.VmList(live=("a",)))
        async with server.started(vms.serve, settings) as addresses:
            address = addresses.listen
            change = {"live": ["a", "b"], "leaving": ["b"]}
            http = HttpClient(address, 1)
            reply = await http.call("POST", "/vms", change, timeout_s=5)
            assert reply.status == 200
            assert await PlatformClient(address, address).vms() == shown

    trio.run(main)
