"""Entries of other writers that gateways cannot use, on the whole path.

The store stand-in returns them to real gateway processes.
"""

from __future__ import annotations

import json
import pathlib

import pytest
import trio
from sapphire_gateway.httpclient import HttpClient
from soak.runner import running_environment, wait_until_ready

# Time for gateways to read an entry and to act on it.
READING_S = 1.5
# Further time for the stand-in, one process, to hand out many entries to all
# gateways beside other load. Applying them takes a gateway under half a second.
MANY_S = 20.0
DEPTH = 5_000
NESTED = b"[" * DEPTH + b"]" * DEPTH


def leaf_value(**fields: object):
    """Returns the bytes of a leaf's entry with some fields changed."""
    usual = {
        "Service": "single",
        "Address": "127.0.0.1:9",
        "Zone": "za",
        "Slots": 2,
        "State": "ready",
        "WarmupLeftMs": 0,
        "Sequence": 1,
        "born": 1,
    }
    return json.dumps({**usual, **fields}).encode()


def member_value(**fields: object):
    """Returns the bytes of a VM's entry with some fields changed."""
    usual = {
        "address": "127.0.0.1:9",
        "failure_domain": "za",
        "leaving": False,
        "peer_address": "127.0.0.1:9",
    }
    return json.dumps({**usual, **fields}).encode()


NESTED_FIELD = b'{"Other": ' + NESTED + b"}"
ODD_ENTRIES = {
    "nested": ("servers/i-odd", NESTED),
    "nested field": ("servers/i-odd", NESTED_FIELD),
    "nested field of a member": ("members/odd", NESTED_FIELD),
    "nested field of a configuration": ("op/config", NESTED_FIELD),
    "nested member": ("members/odd", NESTED),
    "nested configuration": ("op/config", NESTED),
    "nested evacuation": ("op/evacuate/odd", NESTED),
    "number": ("servers/i-odd", leaf_value(Slots=10**400)),
    "exponent": (
        "servers/i-odd",
        leaf_value(WarmupLeftMs=0).replace(b"0,", b"1e400,"),
    ),
    "port": ("servers/i-odd", leaf_value(Address="127.0.0.1:99999")),
    "member's peer port": ("members/odd", member_value(peer_address="x:y")),
    "member's peer address": ("members/odd", member_value(peer_address="x")),
    "member's address": ("members/odd", member_value(address="x")),
    "member's cores": ("members/odd", member_value(cores=1e308)),
    "member's negative cores": ("members/odd", member_value(cores=-1e308)),
    "no text": ("servers/i-odd", b"\xff\xfe\x00"),
}


@pytest.mark.parametrize(
    ("key", "value"), ODD_ENTRIES.values(), ids=ODD_ENTRIES
)
def test_gateways_survive_and_follow_after_an_odd_entry(tmp_path, key, value):
    """Guards against processes that end, or stop following the store."""
    trio.run(_check_gateways, tmp_path, {key: value}, 0.0)


def test_gateways_survive_and_follow_after_many_odd_entries(tmp_path):
    """Guards against processes that are busy with entries of no use."""
    odd = {f"servers/odd-{n}": NESTED[:100] for n in range(10_000)}
    trio.run(_check_gateways, tmp_path, odd, MANY_S)


async def _check_gateways(folder: pathlib.Path, odd_entries, more_s):
    async with running_environment(1, folder, 2) as (environment, nursery):
        await wait_until_ready(environment, nursery)
        for key, value in odd_entries.items():
            environment.store.write_bytes(key, value)
        await trio.sleep(READING_S)
        environment.operator.change_configuration()
        await trio.sleep(READING_S)
        version = environment.operator.version
        line = f"sapphirecross_config_version {version}.0".encode()
        for gateway in environment.gateways:
            client = HttpClient(f"{gateway.host}:9464")
            client.start(nursery)
            with trio.move_on_after(more_s):
                while line not in await _metrics(client, gateway):
                    await trio.sleep(0.1)
            assert line in await _metrics(client, gateway), gateway.name
            assert gateway.log_lines("gateway:task_failed") == []
        nursery.cancel_scope.cancel()


async def _metrics(client: HttpClient, gateway) -> bytes:
    assert gateway.is_running, gateway.name
    return (await client.request("GET", "/metrics", 2.0)).body
