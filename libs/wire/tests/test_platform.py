"""Tests of the platform client: replies of a shape that is not expected."""

from __future__ import annotations

import json

import pytest
import trio
from sapphire_core.errors import (
    PlatformUnavailableError,
    WriteConflictError,
    WriteUnconfirmedError,
)
from sapphire_wire.platform import PlatformClient, VersionedValue
from sapphire_wire.web import HttpReply

WRONG_BODIES = [
    b"",
    b"no json",
    b"[]",
    b"null",
    b"{}",
    b'{"value": 1, "version": 2, "live": 3, "leaving": []}',
    b'{"value": "v", "version": "x", "live": [1], "leaving": []}',
    b'{"value": "v", "version": -1, "live": ["a"]}',
    b'{"value": "v", "version": true, "live": "abc", "leaving": []}',
    b"[" * 100_000,
]


class _Http:
    """HTTP client stub that returns a fixed reply."""

    def __init__(self, status, body) -> None:
        self.reply = HttpReply(status, body)

    async def call(self, method, path, body=None, *, timeout_s):
        return self.reply


def _call(body, call, status=200):
    client = PlatformClient("127.0.0.1:1", "127.0.0.1:2")
    client._kv = client._vms = _Http(status, body)
    return trio.run(call, client)


@pytest.mark.parametrize("body", WRONG_BODIES)
@pytest.mark.parametrize(
    "call",
    [lambda c: c.get("k"), lambda c: c.watch("k", 3), lambda c: c.vms()],
    ids=["get", "watch", "vms"],
)
def test_malformed_reply_counts_as_no_reply(body, call):
    """Guards against errors that end a daemon's loop."""

    async def run(client):
        await call(client)

    with pytest.raises(PlatformUnavailableError):
        _call(body, run)


@pytest.mark.parametrize("status", [200, 409])
@pytest.mark.parametrize("body", WRONG_BODIES)
def test_malformed_reply_to_a_write_leaves_its_outcome_open(status, body):
    """Guards against a write that is repeated although it took effect."""
    if json_version(body) is not None:
        return

    async def run(client):
        await client.put("k", "v", 3)

    with pytest.raises(WriteUnconfirmedError):
        _call(body, run, status)


def json_version(body):
    """Returns the version of a body that is valid as the reply to a write."""
    try:
        version = json.loads(body)["version"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    return version if type(version) is int and version >= 0 else None


def test_well_formed_replies_are_accepted():
    async def get(client):
        return await client.get("k")

    async def put(client):
        return await client.put("k", "v", 3)

    body = b'{"value": "v", "version": 4}'
    assert _call(body, get) == VersionedValue("v", 4)
    assert _call(body, put) == 4
    with pytest.raises(WriteConflictError):
        _call(body, put, status=409)
