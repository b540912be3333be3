"""Sends the replies of a leaf, with faults chosen by a seeded generator."""

from __future__ import annotations

import enum
import random
from collections import Counter

import trio
from starlette.responses import Response

from sapphire_standins.faults import LeafFaults
from sapphire_standins.proxy import Connection

_GARBAGE_BYTES = 200
_JSON = "application/json"


class ReplyFault(enum.StrEnum):
    """Kinds of faulty replies; LeafFaults describes them."""

    CROSSED = "crossed"
    LATE = "late"
    DUPLICATED = "duplicated"
    TRUNCATED = "truncated"
    GARBAGE = "garbage"


class ReplySender:
    """Sends replies and injects faults into some of them."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)
        self._last_body: bytes | None = None
        self._fault_counts: Counter[str] = Counter()

    @property
    def fault_counts(self) -> dict[str, int]:
        """Number of chosen faults by kind.

        Includes those without effect because the client bypasses the proxy.
        """
        return {fault: self._fault_counts[fault] for fault in ReplyFault}

    def draw_fault(self, faults: LeafFaults) -> ReplyFault | None:
        """Chooses the fault of the next reply; None means a correct reply.

        Each kind is chosen with the probability of its share. If the shares
        add up to more than 1, the last kinds get only what is left.
        """
        draw = self._random.random()
        for fault, share in _shares(faults).items():
            draw -= share
            if draw < 0:
                return fault
        return None

    async def send(
        self, body: bytes, faults: LeafFaults, connection: Connection | None
    ) -> Response:
        """Chooses a fault, injects it and returns the response to send.

        The first reply can't be crossed, as there is no previous body; it is
        correct if that fault is chosen.

        Args:
            body: The correct body.
            faults: Shares of the faults.
            connection: The client's connection; None if it bypasses the
                proxy. Duplicated and truncated replies need a connection;
                without one the reply is correct.
        """
        fault = self.draw_fault(faults)
        previous_body, self._last_body = self._last_body, body
        if fault is ReplyFault.CROSSED and previous_body is None:
            fault = None
        if fault is None:
            return Response(body, media_type=_JSON)
        self._fault_counts[fault] += 1
        if fault is ReplyFault.LATE:
            await trio.sleep(faults.late_ms / 1000)
        elif fault is ReplyFault.CROSSED:
            body = previous_body or b""
        elif fault is ReplyFault.GARBAGE:
            body = self._random.randbytes(_GARBAGE_BYTES)
        elif connection is not None:
            # After a truncated reply, the connection is closed, so that the
            # response below doesn't reach the client.
            await _send_raw_reply(body, fault, connection)
        return Response(body, media_type=_JSON)


def _shares(faults: LeafFaults) -> dict[ReplyFault, float]:
    return {
        ReplyFault.CROSSED: faults.crossed_share,
        ReplyFault.LATE: faults.late_share,
        ReplyFault.DUPLICATED: faults.duplicated_share,
        ReplyFault.TRUNCATED: faults.truncated_share,
        ReplyFault.GARBAGE: faults.garbage_share,
    }


async def _send_raw_reply(
    body: bytes, fault: ReplyFault, connection: Connection
) -> None:
    """Sends an extra reply before the regular one, or a truncated reply."""
    head = (
        "HTTP/1.1 200 OK\r\n"
        f"content-type: {_JSON}\r\n"
        f"content-length: {len(body)}\r\n\r\n"
    )
    if fault is ReplyFault.DUPLICATED:
        await connection.send(head.encode() + body)
        return
    await connection.send(head.encode() + body[: len(body) // 2])
    connection.abort()
