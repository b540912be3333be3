"""Light leaves: many leaf addresses behind one listener, canned answers.

A stand-in process for each of some hundred leaves would be too many for one
machine. These leaves do no searching and share one task per connection.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

VERSION = "v1"
DOCUMENTS = 1000
MATCHES = 10
_HEAD_END = b"\r\n\r\n"
_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
_READ_BYTES = 1 << 16
_LOOPBACK = "127."


@dataclass(frozen=True)
class Held:
    """The shard that a leaf holds."""

    shard: int
    shards: int


@dataclass(frozen=True)
class Call:
    """One HTTP request."""

    path: str
    body: bytes


def split(buffer: bytes) -> tuple[Call, bytes] | None:
    """Returns the first whole request of a buffer and the rest, or None."""
    head, end, rest = buffer.partition(_HEAD_END)
    if not end:
        return None
    found = _LENGTH.search(head)
    length = int(found.group(1)) if found else 0
    if len(rest) < length:
        return None
    path = head.split(b" ", 2)[1].decode()
    return Call(path, rest[:length]), rest[length:]


class LightLeaves:
    """Answers /index and /search for every address of the loopback net.

    Args:
        held: Returns what the leaf at an IP address holds.
        service_s: Time of each search call, whatever its number of queries.
    """

    def __init__(
        self, held: Callable[[str], Held], service_s: float = 0.005
    ) -> None:
        self._held = held
        self._service_s = service_s

    async def serve(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; the status value is the port."""
        listeners = await trio.open_tcp_listeners(0, host="0.0.0.0")
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self._serve_one, listeners)

    async def _serve_one(self, stream: trio.SocketStream) -> None:
        leaf = str(stream.socket.getsockname()[0])
        buffer = b""
        async with stream:
            while leaf.startswith(_LOOPBACK):
                found = split(buffer)
                if found is not None:
                    call, buffer = found
                    await self._answer(stream, leaf, call)
                    continue
                try:
                    data = await stream.receive_some(_READ_BYTES)
                except trio.BrokenResourceError:
                    return
                if not data:
                    return
                buffer += data

    async def _answer(
        self, stream: trio.SocketStream, leaf: str, call: Call
    ) -> None:
        held = self._held(leaf)
        if call.path == "/search":
            await trio.sleep(self._service_s)
            body = search_body(json.loads(call.body), held)
        elif call.path == "/index":
            body = _index_body(held)
        else:
            body = b"{}"
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            await stream.send_all(head.encode() + body)
        except trio.BrokenResourceError:
            return


def search_body(call: dict[str, Any], held: Held) -> bytes:
    """Returns the reply to a search call."""
    matches = [
        {
            "id": f"study-{held.shard:03d}-{number:03d}",
            "score": 10.0 - number / 10 - held.shard / 1000,
            "title": "retinol dermal irritation study",
        }
        for number in range(MATCHES)
    ]
    canned = json.dumps(matches)
    results = ", ".join(
        f'{{"id": {json.dumps(query["id"])}, "matches": {canned}}}'
        for query in call["queries"]
    )
    head = json.dumps(
        {
            "batch_id": call["batch_id"],
            "version": call["version"],
            "shard": call["shard"],
            "documents": DOCUMENTS,
        }
    )
    return f'{head[:-1]}, "results": [{results}]}}'.encode()


def _index_body(held: Held) -> bytes:
    version = {
        "version": VERSION,
        "shard": held.shard,
        "shards": held.shards,
        "documents": DOCUMENTS,
    }
    return json.dumps({"versions": [version], "draining": False}).encode()
