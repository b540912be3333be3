"""Stub leaves: one listener with canned answers for many leaf addresses.

One stand-in process per leaf is too much for one machine with several hundred
leaves. Stub leaves do not search; each connection is served by one task.
"""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import trio

VERSION = "v1"
DOCUMENTS_PER_SHARD = 1000
MATCHES_PER_QUERY = 10
_HEAD_END = b"\r\n\r\n"
_CONTENT_LENGTH = re.compile(rb"content-length: *(\d+)", re.IGNORECASE)
_READ_BYTES = 1 << 16
_LOOPBACK_PREFIX = "127."


@dataclass(frozen=True)
class ShardAssignment:
    """The shard that a leaf holds, and the number of shards."""

    shard: int
    shards: int


@dataclass(frozen=True)
class Request:
    """Path and body of one HTTP request."""

    path: str
    body: bytes


def split_request(buffer: bytes) -> tuple[Request, bytes] | None:
    """Splits the first complete request from the buffer.

    Returns None if the buffer holds no complete request yet.
    """
    head, end, rest = buffer.partition(_HEAD_END)
    if not end:
        return None
    match = _CONTENT_LENGTH.search(head)
    length = int(match.group(1)) if match else 0
    if len(rest) < length:
        return None
    path = head.split(b" ", 2)[1].decode()
    return Request(path, rest[:length]), rest[length:]


class StubLeafServer:
    """Answers /index and /search on every loopback address.

    Other paths get an empty JSON object.

    Args:
        assignment_of: Returns the shard of the leaf at an IP address.
        service_s: Duration of each search call, regardless of batch size.
    """

    def __init__(
        self,
        assignment_of: Callable[[str], ShardAssignment],
        service_s: float = 0.005,
    ) -> None:
        self._assignment_of = assignment_of
        self._service_s = service_s

    async def serve(
        self, *, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves until cancelled; reports its port through task_status."""
        listeners = await trio.open_tcp_listeners(0, host="0.0.0.0")
        task_status.started(listeners[0].socket.getsockname()[1])
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        leaf = str(stream.socket.getsockname()[0])
        buffer = b""
        async with stream:
            # The listener is open on all interfaces; other connections are
            # closed without an answer.
            while leaf.startswith(_LOOPBACK_PREFIX):
                split = split_request(buffer)
                if split is not None:
                    request, buffer = split
                    await self._answer(stream, leaf, request)
                    continue
                try:
                    data = await stream.receive_some(_READ_BYTES)
                except trio.BrokenResourceError:
                    return
                if not data:
                    return
                buffer += data

    async def _answer(
        self, stream: trio.SocketStream, leaf: str, request: Request
    ) -> None:
        assignment = self._assignment_of(leaf)
        if request.path == "/search":
            await trio.sleep(self._service_s)
            body = build_search_body(json.loads(request.body), assignment)
        elif request.path == "/index":
            body = _build_index_body(assignment)
        else:
            body = b"{}"
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        try:
            await stream.send_all(head.encode() + body)
        except trio.BrokenResourceError:
            return


def build_search_body(
    call: dict[str, Any], assignment: ShardAssignment
) -> bytes:
    """Returns the reply body for a search call.

    Each query gets the same matches, which are encoded once per call.
    """
    matches = [
        {
            "id": f"study-{assignment.shard:03d}-{number:03d}",
            "score": 10.0 - number / 10 - assignment.shard / 1000,
            "title": "retinol dermal irritation study",
        }
        for number in range(MATCHES_PER_QUERY)
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
            "documents": DOCUMENTS_PER_SHARD,
        }
    )
    return f'{head[:-1]}, "results": [{results}]}}'.encode()


def _build_index_body(assignment: ShardAssignment) -> bytes:
    version = {
        "version": VERSION,
        "shard": assignment.shard,
        "shards": assignment.shards,
        "documents": DOCUMENTS_PER_SHARD,
    }
    return json.dumps({"versions": [version], "draining": False}).encode()
