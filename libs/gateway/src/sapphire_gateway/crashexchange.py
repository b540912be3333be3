"""Exchange of suspected requests between the VMs, without the store.

A crash is told at once to all VMs that may run requests, since callers repeat a
request at any of them and at any time. A message has only what the VM has seen
itself since the last one. In addition, each VM asks a serving one from time to
time for the records that it does not have, so that a VM which missed a message,
started later or was spare learns them too, also while the store is away and
after the VM that saw the crash is gone.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import msgspec
import trio
from sapphire_core.crashsuspects import CrashedLeaf, CrashRecord
from sapphire_core.members import Member, select_exchange_partner

from sapphire_gateway import peercalls, supervision, telemetry
from sapphire_gateway.crashes import CrashTracker
from sapphire_gateway.decoding import DECODING_ERRORS
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.messages import Reply, Request, Response
from sapphire_gateway.store import StoreUnavailableError

NEWS_PATH = "/crashes"
QUESTION_PATH = "/crashes/unknown"
# Intervals between the questions of a VM that serves callers and of a spare
# one, which may begin to serve at any time.
EXCHANGE_INTERVAL_S = 1.0
SPARE_EXCHANGE_INTERVAL_S = 2.0
# Interval while no VM answers.
RETRY_INTERVAL_S = 0.5
# Crashes within this time are told in one message.
COALESCE_S = 0.005
# Shortest interval between two rounds of messages to all VMs.
TELL_INTERVAL_S = 0.05
OK = 200


class LeafMessage(msgspec.Struct, array_like=True):
    """A crashed leaf; see CrashedLeaf."""

    service: str
    incarnation: str


class RecordMessage(msgspec.Struct, array_like=True):
    """A suspected request; see CrashRecord."""

    fingerprint: str
    leaves: list[LeafMessage]
    is_quarantined: bool
    expires_in_s: float
    cleared: list[LeafMessage]
    # VMs of an earlier version leave it out.
    canaries: list[LeafMessage] = []


class RecordsMessage(msgspec.Struct, array_like=True):
    """Records of a VM: news, or the answer to a question."""

    member: str
    records: list[RecordMessage]


class QuestionMessage(msgspec.Struct, array_like=True):
    """Asks a VM for the records that the one that asks does not have.

    Attributes:
        member: Name of the VM that asks.
        digests: Digests of the records that it has.
    """

    member: str
    digests: list[bytes]


_RECORDS = msgspec.msgpack.Decoder(RecordsMessage)
_QUESTION = msgspec.msgpack.Decoder(QuestionMessage)


def _encode(member: str, records: Iterable[CrashRecord]) -> bytes:
    messages = [
        RecordMessage(
            record.fingerprint,
            _leaf_messages(record.leaves),
            record.is_quarantined,
            record.expires_in_s,
            _leaf_messages(record.cleared),
            _leaf_messages(record.canaries),
        )
        for record in records
    ]
    return msgspec.msgpack.encode(RecordsMessage(member, messages))


def _leaf_messages(leaves: tuple[CrashedLeaf, ...]) -> list[LeafMessage]:
    return [LeafMessage(leaf.service, leaf.incarnation) for leaf in leaves]


def _leaves(messages: list[LeafMessage]) -> tuple[CrashedLeaf, ...]:
    return tuple(CrashedLeaf(m.service, m.incarnation) for m in messages)


def _merge(content: bytes, tracker: CrashTracker) -> None:
    """Merges an encoded message.

    Raises:
        msgspec.DecodeError: The bytes are not a valid message.
    """
    message = _RECORDS.decode(content)
    records = [
        CrashRecord(
            record.fingerprint,
            _leaves(record.leaves),
            record.is_quarantined,
            record.expires_in_s,
            _leaves(record.cleared),
            _leaves(record.canaries),
        )
        for record in message.records
    ]
    tracker.merge(records, message.member, trio.current_time())


class CrashServer:
    """Learns what other VMs have seen, and answers their questions."""

    def __init__(self, view: FleetView) -> None:
        self._view = view

    def handle(self, request: Request) -> Response:
        """Handles the message of another VM."""
        try:
            if request.target == QUESTION_PATH.encode():
                return self._answer(request.body)
            _merge(request.body, self._view.crashes)
        except DECODING_ERRORS as error:
            telemetry.event("question_unreadable", error=str(error))
            return Response(400, [])
        return Response(OK, [])

    def _answer(self, content: bytes) -> Response:
        digests = set(_QUESTION.decode(content).digests)
        now = trio.current_time()
        records = self._view.crashes.records_unlike(digests, now)
        headers = [(b"Content-Type", peercalls.CONTENT_TYPE.encode())]
        return Response(OK, headers, _encode(self._view.self_name, records))


class CrashExchange:
    """Sends what this VM knows to the others, and asks for what it lacks."""

    def __init__(
        self, fleet: Fleet, own_entry: Member, nursery: trio.Nursery
    ) -> None:
        """Creates an exchange that does not run yet.

        Args:
            fleet: Has the members and the suspected requests.
            own_entry: This VM's entry.
            nursery: Runs the connections.
        """
        self._fleet = fleet
        self._own_entry = own_entry
        self._nursery = nursery
        self._tracker = fleet.view.crashes
        # Set when this VM begins to serve callers.
        self._must_ask = trio.Event()

    def ask_soon(self) -> None:
        """Asks without waiting for the next turn."""
        self._must_ask.set()

    async def run(self) -> None:
        """Runs until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._tell_news)
            nursery.start_soon(self._ask_others)

    async def _tell_news(self) -> None:
        """Tells the VMs that may run a request what this one has seen."""
        while True:
            await self._tracker.wait_for_news()
            await trio.sleep(COALESCE_S)
            records = self._tracker.take_own_news(trio.current_time())
            if records:
                self._tell(peercalls.calling_vms(self._fleet), records)
            await trio.sleep(TELL_INTERVAL_S)

    async def _ask_others(self) -> None:
        has_answer = False
        for turn in itertools.count():
            pause_s = SPARE_EXCHANGE_INTERVAL_S
            if not has_answer:
                pause_s = RETRY_INTERVAL_S
            elif self._fleet.is_serving:
                pause_s = EXCHANGE_INTERVAL_S
            with trio.move_on_after(pause_s):
                await self._must_ask.wait()
            self._must_ask = trio.Event()
            serving = self._fleet.serving_members(trio.current_time())
            partner = select_exchange_partner(self._own_entry, serving, turn)
            has_answer = partner is not None and await self._ask(partner)

    def _tell(
        self, peers: list[Member], records: tuple[CrashRecord, ...]
    ) -> None:
        """Sends records to VMs, in the background."""
        content = _encode(self._fleet.view.self_name, records)

        async def tell_one(peer: Member) -> None:
            await self._post(peer, NEWS_PATH, content)

        self._nursery.start_soon(
            supervision.run_once,
            "telling crashes",
            peercalls.tell_all,
            peers,
            tell_one,
        )

    async def _ask(self, peer: Member) -> bool:
        """Asks a VM for the records that this one lacks.

        Returns:
            Whether it has answered.
        """
        known = self._tracker.shared_records(trio.current_time())
        question = QuestionMessage(
            self._fleet.view.self_name, [record.digest for record in known]
        )
        content = msgspec.msgpack.encode(question)
        reply = await self._post(peer, QUESTION_PATH, content)
        if reply is None:
            return False
        try:
            _merge(reply.body, self._tracker)
        except DECODING_ERRORS as error:
            telemetry.CRASH_EXCHANGES.labels("unreadable").inc()
            telemetry.event("question_unreadable", error=str(error))
            return False
        return True

    async def _post(
        self, peer: Member, path: str, content: bytes
    ) -> Reply | None:
        """Sends a message; returns None and counts it if it was not taken."""
        try:
            reply = await peercalls.post(
                self._fleet, peer, path, content, self._nursery
            )
        except StoreUnavailableError:
            telemetry.CRASH_EXCHANGES.labels("failed").inc()
            return None
        if reply.status != OK:
            telemetry.CRASH_EXCHANGES.labels("rejected").inc()
            return None
        telemetry.CRASH_EXCHANGES.labels("ok").inc()
        return reply
