"""Tests of the simulated leaf over HTTP."""

import contextlib
import heapq
import json
from typing import Any

import pytest
import trio
from sapphire_standins import leaf, server
from sapphire_standins.faults import LeafFaults
from sapphire_standins.index import Match, single_index_answer
from sapphire_standins.replies import ReplySender
from sapphire_wire.web import (
    HttpClient,
    HttpConnectError,
    HttpConnectionLostError,
)

VERSIONS = [{"version": "v1", "shards": 2, "shard": 0}]


class _Client:
    """Calls a leaf at its service address and its control address."""

    def __init__(self, addresses: server.Addresses) -> None:
        self.address = addresses.listen
        self._leaf = HttpClient(addresses.listen, 4)
        self._control = HttpClient(addresses.control, 1)

    async def call(self, method, path, body=None):
        return await self._leaf.call(method, path, body, timeout_s=5)

    async def search(self, *texts: str, batch_id="b", version="v1", shard=0):
        queries = [{"id": x, "text": x, "k": 5} for x in texts]
        batch = {
            "batch_id": batch_id,
            "version": version,
            "shard": shard,
            "deadline_ms": 2_000,
            "queries": queries,
        }
        return await self.call("POST", "/search", batch)

    async def set_faults(self, **faults: Any):
        reply = await self._control.call("POST", "/faults", faults, timeout_s=5)
        return reply.status

    async def record(self):
        reply = await self._control.call("GET", "/record", timeout_s=5)
        return reply.json()


@contextlib.asynccontextmanager
async def _leaf(**settings: Any):
    values = leaf.LeafSettings.model_validate(
        {"versions": VERSIONS, "connect_ms": 0, **settings}
    )
    async with server.started(leaf.serve, values) as addresses:
        yield _Client(addresses)


def test_repartitioned_index_gives_the_same_results():
    """Guards against documents that are in no shard after a repartition."""

    async def main():
        async with _leaf() as client:
            matches = []
            for shard in range(3):
                part = {"version": "v1", "shards": 3, "shard": shard}
                assert await client.set_faults(versions=[part]) == 200
                reply = (await client.search("appeal", shard=shard)).json()
                matches += [Match(**x) for x in reply["results"][0]["matches"]]
            best = heapq.nsmallest(5, matches, key=lambda x: (-x.score, x.id))
            assert best == single_index_answer("v1", "appeal", 5)
            assert (await client.search("appeal", version="v0")).status == 410
            assert (await client.search("appeal", shard=0)).status == 410

    trio.run(main)


def test_record_counts_executed_work():
    """Guards against executions and refusals that the record does not show."""

    async def main():
        async with _leaf(multi_search=False) as client:
            assert (await client.search("a", "b")).status == 400
            assert await client.set_faults(multi_search=True) == 200
            assert (await client.search("a", "b")).status == 200
            for body in ("x", "y"):
                call = {"key": "k", "body": body}
                assert (await client.call("POST", "/submit", call)).status
            assert await client.set_faults(draining=True) == 200
            assert (await client.search("a")).status == 503
            index = (await client.call("GET", "/index")).json()
            assert index["draining"]
            record = await client.record()
            bodies = [x["body"] for x in record["submissions"]["k"]]
            assert bodies == ["x", "y"]
            assert (record["searches"], record["queries"]) == (1, 2)
            assert record["connections_opened"] == 1
            assert record["stops"]["draining"] == 1
            arrived_ms = record["last_new_work_ms"]["127.0.0.1"]
            assert 0 <= record["now_ms"] - arrived_ms < 60_000

    trio.run(main)


def test_crash_word_crashes_the_leaf_and_it_restarts_cold():
    """Guards against a simulated crash that keeps connections open."""

    async def main():
        async with _leaf(crash_word="boom", restart_ms=300) as client:
            with pytest.raises(HttpConnectionLostError):
                await client.search("boom")
            with pytest.raises(HttpConnectError):
                await client.search("fine")
            await trio.sleep(0.5)
            assert (await client.search("fine")).status == 200
            record = await client.record()
            assert (record["crashes"], record["cold"]) == (1, True)
            assert await client.set_faults(act="turn_warm") == 200
            assert not (await client.record())["cold"]

    trio.run(main)


def test_faulty_replies():
    """Guards against an injected reply fault that has no effect.

    Of the late reply, only the count is checked, not the delay.
    """

    async def main():
        async with _leaf() as client:
            await client.search("appeal", batch_id="first")
            await client.set_faults(crossed_share=1)
            crossed = await client.search("appeal", batch_id="second")
            assert crossed.json()["batch_id"] == "first"
            await client.set_faults(crossed_share=0, garbage_share=1)
            with pytest.raises(ValueError, match="decode"):
                (await client.search("appeal")).json()
            await client.set_faults(garbage_share=0, truncated_share=1)
            with pytest.raises(HttpConnectionLostError):
                await client.search("appeal")
            await client.set_faults(truncated_share=0, duplicated_share=1)
            assert await _count_replies(client.address) == 2
            await client.set_faults(duplicated_share=0, late_share=1, late_ms=1)
            assert (await client.search("appeal")).status == 200
            counts = (await client.record())["reply_faults"]
            assert counts == {
                "crossed": 1,
                "late": 1,
                "duplicated": 1,
                "truncated": 1,
                "garbage": 1,
            }
            assert await client.set_faults(garbage_share=2) == 400
            assert await client.set_faults(no_such_fault=1) == 400
            assert await client.set_faults(act="no_such_action") == 400

    trio.run(main)


async def _count_replies(address):
    """Returns the number of replies to one request on one connection."""
    stream = await trio.open_tcp_stream(*server.split_address(address))
    body = json.dumps({"key": "k", "body": "x"})
    head = f"POST /submit HTTP/1.1\r\nhost: {address}\r\n"
    length = f"connection: close\r\ncontent-length: {len(body)}\r\n\r\n"
    await stream.send_all((head + length + body).encode())
    received = b""
    async for data in stream:
        received += data
    return received.count(b"HTTP/1.1 200")


def test_reply_faults_are_reproducible_from_the_seed():
    """Guards against test runs that can't be reproduced."""
    faults = LeafFaults(late_share=0.3, garbage_share=0.3)
    first, second = ReplySender(7), ReplySender(7)
    drawn = [first.draw_fault(faults) for _ in range(200)]
    assert drawn == [second.draw_fault(faults) for _ in range(200)]
    assert 20 < drawn.count(None) < 140
