"""Tells the VMs that call leaves that one no longer names a limit.

A VM without a share of the limit sends the leaf a request each half minute only
and would notice its end that late. Another VM has a share, and notices it
with its next request.
"""

from __future__ import annotations

import msgspec
import trio
from sapphire_core.leafset import LeafEntry
from sapphire_core.members import Member

from sapphire_gateway import peercalls, supervision, telemetry
from sapphire_gateway.decoding import DECODING_ERRORS
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.messages import Request, Response
from sapphire_gateway.pool import LeafPool
from sapphire_gateway.store import StoreUnavailableError

PATH = "/limit-ends"
OK = 200
# Ends within this time are told in one message.
COALESCE_S = 0.02
# Messages take less: an end that is said to be older is not believed.
MAX_AGE_S = 10.0
# Ends in one message; those of further leaves are noticed without it.
MAX_ENDS = 1_000


class EndMessage(msgspec.Struct, array_like=True, frozen=True):
    """A leaf whose last answer named no limit, unlike those before.

    Attributes:
        leaf_id: The leaf.
        born_ms: Time of its start, in Unix milliseconds.
        address: Its address.
        age_s: Time in seconds since that answer.
    """

    leaf_id: str
    born_ms: int
    address: str
    age_s: float


_ENDS = msgspec.msgpack.Decoder(list[EndMessage])


class LimitEndServer:
    """Learns from other VMs that limits have ended."""

    def __init__(self, pool: LeafPool) -> None:
        self._pool = pool

    def handle(self, request: Request) -> Response:
        """Handles the message of another VM."""
        try:
            ends = _ENDS.decode(request.body)
        except DECODING_ERRORS as error:
            telemetry.event("question_unreadable", error=str(error))
            return Response(400, [])
        now = trio.current_time()
        for end in ends[:MAX_ENDS]:
            # False for NaN as well.
            if not 0.0 <= end.age_s <= MAX_AGE_S:
                continue
            incarnation = (end.leaf_id, end.born_ms, end.address)
            if self._pool.record_limit_end(incarnation, now - end.age_s):
                telemetry.leaf_event(now, "limit_end_told", leaf=end.leaf_id)
        return Response(OK, [])


class LimitEndTeller:
    """Tells other VMs of the ends of limits that this VM notices."""

    def __init__(self, fleet: Fleet, nursery: trio.Nursery) -> None:
        """Creates a teller that does not run yet.

        Args:
            fleet: Has the members.
            nursery: Runs the connections.
        """
        self._fleet = fleet
        self._nursery = nursery
        # Time of the first answer without a limit, by incarnation.
        self._ends: dict[tuple[str, int, str], float] = {}
        self._news = trio.Event()

    def record(self, entry: LeafEntry) -> None:
        """Records that an answer of a leaf named no limit any more."""
        if len(self._ends) < MAX_ENDS:
            self._ends[entry.incarnation] = trio.current_time()
            self._news.set()

    async def run(self) -> None:
        """Runs until cancelled."""
        while True:
            await self._news.wait()
            await trio.sleep(COALESCE_S)
            content = self._take()
            self._nursery.start_soon(
                supervision.run_once,
                "telling ends of limits",
                peercalls.tell_all,
                peercalls.calling_vms(self._fleet),
                lambda peer, content=content: self._tell(peer, content),
            )

    def _take(self) -> bytes:
        now = trio.current_time()
        ends, self._ends = self._ends, {}
        self._news = trio.Event()
        return msgspec.msgpack.encode(
            [EndMessage(*leaf, now - ended) for leaf, ended in ends.items()]
        )

    async def _tell(self, peer: Member, content: bytes) -> None:
        try:
            reply = await peercalls.post(
                self._fleet, peer, PATH, content, self._nursery
            )
        except StoreUnavailableError:
            telemetry.LIMIT_ENDS_TOLD.labels("failed").inc()
            return
        result = "ok" if reply.status == OK else "rejected"
        telemetry.LIMIT_ENDS_TOLD.labels(result).inc()
