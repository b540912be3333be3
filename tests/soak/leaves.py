"""Fake leaves that run in the test process.

Each leaf serves the requests of one service: a shard of the searches, or the
service without shards. It answers with records derived from the request id and
the service. Replies to different requests or of different services thus differ,
so that the checks can recognize answers made of the wrong replies.
"""

from __future__ import annotations

import hashlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import trio
from sapphire_gateway.callers import Caller
from sapphire_gateway.messages import Headers, Request, Response, header

from soak.store import Store

# Size of a record (a match of a search), as the gateway expects it.
RECORD_BYTES = 16
RECORDS_PER_REPLY = 6
# Concurrent requests that a leaf announces (`Slots`). It executes more, up to
# MAX_RUNNING, and rejects the others.
SLOTS = 4
MAX_RUNNING = 2 * SLOTS
# A request whose path ends with this crashes each leaf that starts to execute
# it.
CRASH_PATH = b"crash"
CRASH_REPLY_DELAY_S = 0.05
# A request whose path ends with this gets a reply of this size.
LARGE_PATH = b"large"
LARGE_BODY = bytes(1_000_000)
# Start times in Unix milliseconds. They are counted instead of read from the
# clock, so that each start of a leaf has a later one and thus an id of its own.
_START_TIMES_MS = itertools.count(1_700_000_000_000)


@dataclass(frozen=True)
class Execution:
    """A request that a leaf started to execute; rejected ones have none."""

    request_id: str
    service: str
    leaf_id: str
    started_at: float


class LimitedArrival(NamedTuple):
    """A request that reached a leaf while the leaf named a limit.

    Attributes:
        request_id: Id of the request.
        leaf_id: Id of the leaf.
        limit_per_s: The limit, in requests a second.
        named_since: Time from which the leaf has named a limit.
        arrived_at: Time at which the request arrived.
    """

    request_id: str
    leaf_id: str
    limit_per_s: float
    named_since: float
    arrived_at: float


class StatementArrival(NamedTuple):
    """A request that reached a leaf which leaves or asks for a pause.

    Attributes:
        request_id: Id of the request.
        leaf_id: Id of the leaf.
        arrived_at: Time at which the request arrived.
        pause_s: Pause that the leaf asks for in its reply; 0 if it leaves.
    """

    request_id: str
    leaf_id: str
    arrived_at: float
    pause_s: float


class SignedReply(NamedTuple):
    """Content of a leaf's reply, for comparison with the gateway's answer."""

    request_id: str
    service: str
    records: list[bytes]


@dataclass
class Ledger:
    """Log of the executions that all leaves started and of their replies."""

    executions: list[Execution] = field(default_factory=list)
    limited_arrivals: list[LimitedArrival] = field(default_factory=list)
    statement_arrivals: list[StatementArrival] = field(default_factory=list)
    # Replies by their signature, an id that no other reply has. Gateways pass
    # it on in their answers; it is not cryptographic.
    signed_replies: dict[str, SignedReply] = field(default_factory=dict)


class Leaf:
    """A leaf that answers requests and registers itself in the store."""

    def __init__(
        self,
        service: str,
        replica: int,
        domain: str,
        address: str,
        store: Store,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        """Creates a leaf and registers it.

        Args:
            service: The service that the leaf runs.
            replica: Index of the leaf among those of its service.
            domain: Failure domain.
            address: Address at which gateways connect.
            store: Store that the leaf registers in.
            ledger: Log of executions and replies.
            rng: Random source for execution times and faulty replies.
        """
        self.service = service
        self.domain = domain
        self.address = address
        self._replica = replica
        self._store = store
        self._ledger = ledger
        self._rng = rng
        self._running = 0
        # Faults change the next two values.
        self.mean_execution_s = 0.01
        # Share of the replies with status 500 and, drawn independently, of the
        # replies that repeat a wrong request id.
        self.faulty_share = 0.0
        # Limit that the leaf names, in requests a second, and since when.
        self.limit_per_s: float | None = None
        self.limit_named_since = 0.0
        # Whether the leaf says in its replies only that it is leaving.
        self.says_leaving = False
        # Pause in seconds that it asks for while it rejects all requests.
        self.pause_s = 0.0
        # Called when a request crashes the leaf.
        self.on_crash: Callable[[], None] = lambda: None
        self.leaf_id = ""
        # Whether the leaf has an entry in the store.
        self.is_registered = False
        self.restart()

    def restart(self) -> None:
        """Takes a new leaf id and registers under it, as a new process would.

        Requests for the previous id, whose entry is removed, are rejected from
        now on; those in progress are finished.
        """
        if self.leaf_id:
            self.deregister()
        start_ms = next(_START_TIMES_MS)
        self.leaf_id = f"i-{self.service}-{self._replica}-{start_ms % 100_000}"
        self._start_ms = start_ms
        self._sequence = 0
        self.says_leaving = False
        self.state = "ready"
        self.is_registered = True
        self.register()

    def register(self) -> None:
        """Writes the leaf's entry to the store."""
        self._sequence += 1
        self._store.write(
            f"servers/{self.leaf_id}",
            {
                "Service": self.service,
                "Address": self.address,
                "Zone": self.domain,
                "Version": "1",
                "Slots": SLOTS,
                "State": self.state,
                "WarmupLeftMs": 0,
                "Sequence": self._sequence,
                "born": self._start_ms,
            },
        )

    def write_again(self) -> None:
        """Registers again after a loss, unless the entry was removed."""
        if self.is_registered:
            self.register()

    def drain(self) -> None:
        """Announces that the leaf is draining; it still executes requests."""
        self.state = "draining"
        self.register()

    def deregister(self) -> None:
        """Removes the entry from the store; requests are still executed."""
        self.is_registered = False
        self._store.remove(f"servers/{self.leaf_id}")

    async def answer(self, request: Request, caller: Caller) -> Response:
        """Executes or rejects a request, as the handler of a CallerServer.

        The response to a rejected request has the header Not-Executed, upon
        which the gateway may send the request to another leaf.
        """
        target_id = header(request.headers, b"target-instance")
        if target_id is None or target_id.decode() != self.leaf_id:
            # Most likely for the leaf's id before its restart.
            return Response(421, [(b"Not-Executed", b"1")])
        request_id = (header(request.headers, b"request-id") or b"").decode()
        if self.limit_per_s is not None:
            self._ledger.limited_arrivals.append(
                LimitedArrival(
                    request_id,
                    self.leaf_id,
                    self.limit_per_s,
                    self.limit_named_since,
                    trio.current_time(),
                )
            )
        if self.says_leaving or self.pause_s:
            self._ledger.statement_arrivals.append(
                StatementArrival(
                    request_id, self.leaf_id, trio.current_time(), self.pause_s
                )
            )
        if self.pause_s:
            pause = (b"Retry-After", b"%.2f" % self.pause_s)
            return Response(503, [(b"Not-Executed", b"1"), pause])
        if self._running >= MAX_RUNNING:
            return Response(
                503, [(b"Not-Executed", b"1"), *self._statement_headers()]
            )
        self._ledger.executions.append(
            Execution(
                request_id, self.service, self.leaf_id, trio.current_time()
            )
        )
        if request.target.endswith(CRASH_PATH):
            self.on_crash()
            # Its connections are being closed, so nobody gets this reply.
            await trio.sleep(CRASH_REPLY_DELAY_S)
            return Response(500, [])
        self._running += 1
        try:
            await trio.sleep(
                self.mean_execution_s * self._rng.uniform(0.5, 1.5)
            )
        finally:
            self._running -= 1
        reply = self._reply(request_id)
        if request.target.endswith(LARGE_PATH):
            return Response(reply.status, reply.headers, LARGE_BODY)
        return reply

    def _statement_headers(self) -> Headers:
        headers = []
        if self.limit_per_s is not None:
            headers.append((b"Server-Limit", b"%.1f" % self.limit_per_s))
        if self.says_leaving:
            headers.append((b"Server-Leaving", b"1"))
        return headers

    def _reply(self, request_id: str) -> Response:
        reply_number = len(self._ledger.signed_replies)
        records = [
            hashlib.blake2b(
                f"{request_id} {self.service} {n}".encode(),
                digest_size=RECORD_BYTES,
            ).digest()
            for n in range(RECORDS_PER_REPLY)
        ]
        signature = f"{reply_number:x}.{self.leaf_id}"
        self._ledger.signed_replies[signature] = SignedReply(
            request_id, self.service, records
        )
        status = 200
        if self._rng.random() < self.faulty_share:
            status = 500
        echoed_id = request_id
        if self._rng.random() < self.faulty_share:
            # As if it were the late reply to another request.
            echoed_id = "late-" + request_id
        headers = [
            (b"Response-Stamp", signature.encode()),
            (b"Request-Id", echoed_id.encode()),
            # Running and queued requests, and slots; there is no queue.
            (b"Server-Load", b"%d,0,%d" % (self._running, SLOTS)),
            *self._statement_headers(),
        ]
        return Response(status, headers, b"".join(records))
