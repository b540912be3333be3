"""Exchange of suspected requests between the VMs, without the store.

A crash is told to all VMs at once, since callers repeat a request at any of
them and at any time. In addition, each VM exchanges what it knows with one
other a second, so that a VM which missed a message or started later learns it
too, also while the store is away and after the VM that saw the crash is gone.
"""

from __future__ import annotations

import itertools

import msgspec
import trio
from sapphire_core.crashsuspects import CrashedLeaf, CrashRecord
from sapphire_core.members import Member

from sapphire_gateway import peercalls, supervision, telemetry
from sapphire_gateway.crashes import CrashTracker
from sapphire_gateway.decoding import DECODING_ERRORS
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.messages import Request, Response
from sapphire_gateway.store import StoreUnavailableError

PATH = "/crashes"
EXCHANGE_INTERVAL_S = 1.0
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
    """What a VM knows, as a request and as a response."""

    member: str
    records: list[RecordMessage]


_RECORDS = msgspec.msgpack.Decoder(RecordsMessage)


def _encode(member: str, records: tuple[CrashRecord, ...]) -> bytes:
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
    """Learns what other VMs have seen, and answers with what this VM knows."""

    def __init__(self, view: FleetView) -> None:
        self._view = view

    def handle(self, request: Request) -> Response:
        """Handles the message of another VM."""
        tracker = self._view.crashes
        try:
            _merge(request.body, tracker)
        except DECODING_ERRORS as error:
            telemetry.event("question_unreadable", error=str(error))
            return Response(400, [])
        records = tracker.shared_records(trio.current_time())
        headers = [(b"Content-Type", peercalls.CONTENT_TYPE.encode())]
        return Response(OK, headers, _encode(self._view.self_name, records))


class CrashExchange:
    """Sends what this VM knows to the others."""

    def __init__(self, view: FleetView, nursery: trio.Nursery) -> None:
        """Creates an exchange that does not run yet.

        Args:
            view: Has the members and the suspected requests.
            nursery: Runs the connections.
        """
        self._view = view
        self._nursery = nursery
        # Whether another VM has answered since the start of this one.
        self._has_asked = False

    async def run(self) -> None:
        """Runs until cancelled."""
        tracker = self._view.crashes
        for turn in itertools.count():
            with trio.move_on_after(EXCHANGE_INTERVAL_S) as scope:
                await tracker.wait_for_news()
            if scope.cancelled_caught:
                await self._exchange_with_one(turn)
            else:
                await trio.sleep(COALESCE_S)
                self._nursery.start_soon(
                    supervision.run_once,
                    "telling crashes",
                    peercalls.tell_all,
                    peercalls.other_vms(self._view),
                    self._exchange,
                )
                await trio.sleep(TELL_INTERVAL_S)

    async def _exchange_with_one(self, turn: int) -> None:
        now = trio.current_time()
        peers = peercalls.other_vms(self._view)
        if peers and (
            not self._has_asked or self._view.crashes.shared_records(now)
        ):
            await self._exchange(peers[turn % len(peers)])

    async def _exchange(self, peer: Member) -> None:
        tracker = self._view.crashes
        records = tracker.shared_records(trio.current_time())
        content = _encode(self._view.self_name, records)
        try:
            reply = await peercalls.post(peer, PATH, content, self._nursery)
            if reply.status != OK:
                telemetry.CRASH_EXCHANGES.labels("rejected").inc()
                return
            _merge(reply.body, tracker)
        except StoreUnavailableError:
            telemetry.CRASH_EXCHANGES.labels("failed").inc()
            return
        except DECODING_ERRORS as error:
            telemetry.CRASH_EXCHANGES.labels("unreadable").inc()
            telemetry.event("question_unreadable", error=str(error))
            return
        telemetry.CRASH_EXCHANGES.labels("ok").inc()
        self._has_asked = True
