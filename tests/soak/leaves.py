"""Stand-ins for leaves, run in the test process."""

from __future__ import annotations

import hashlib
import itertools
from dataclasses import dataclass, field
from random import Random

import trio
from sapphire_gateway.callers import Caller
from sapphire_gateway.messages import Request, Response, header

from soak.store import Store

RECORD_BYTES = 16
RECORDS_PER_REPLY = 6
SLOTS = 4
_INCARNATIONS = itertools.count(1_700_000_000_000)


@dataclass(frozen=True)
class Execution:
    """A request that a leaf has started to execute."""

    request_id: str
    service: str
    leaf_id: str
    started_at: float


@dataclass
class Ledger:
    """The requests that leaves have executed and the replies they signed."""

    executions: list[Execution] = field(default_factory=list)
    # The records behind each signature, with its request and service.
    signed_replies: dict[str, tuple[str, str, list[bytes]]] = field(
        default_factory=dict
    )


class Leaf:
    """A leaf that answers requests and registers itself in the store."""

    def __init__(
        self,
        service: str,
        number: int,
        domain: str,
        address: str,
        store: Store,
        ledger: Ledger,
        rng: Random,
    ) -> None:
        """Creates a leaf and registers it.

        Args:
            service: The service that the leaf runs.
            number: Index of the leaf within its service.
            domain: Failure domain.
            address: Address at which gateways connect.
            store: Store that the leaf registers in.
            ledger: Records executed requests and signed replies.
            rng: Random source for work times and faulty replies.
        """
        self.service = service
        self.domain = domain
        self.address = address
        self._number = number
        self._store = store
        self._ledger = ledger
        self._rng = rng
        self._running = 0
        self.mean_execution_s = 0.01
        self.faulty_share = 0.0
        self.restart()

    def restart(self) -> None:
        """Starts a new incarnation and registers it."""
        born = next(_INCARNATIONS)
        self.leaf_id = f"i-{self.service}-{self._number}-{born % 100_000}"
        self._born = born
        self._sequence = 0
        self.state = "ready"
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
                "born": self._born,
            },
        )

    def drain(self) -> None:
        """Announces that the leaf accepts no new work."""
        self.state = "draining"
        self.register()

    def deregister(self) -> None:
        """Removes the leaf's entry from the store."""
        self._store.remove(f"servers/{self.leaf_id}")

    async def answer(self, request: Request, caller: Caller) -> Response:
        """Executes one request."""
        target = header(request.headers, b"target-instance")
        if target is None or target.decode() != self.leaf_id:
            return Response(421, [(b"Not-Executed", b"1")])
        if self._running >= 2 * SLOTS:
            return Response(503, [(b"Not-Executed", b"1")])
        request_id = (header(request.headers, b"request-id") or b"").decode()
        self._ledger.executions.append(
            Execution(
                request_id, self.service, self.leaf_id, trio.current_time()
            )
        )
        self._running += 1
        try:
            await trio.sleep(
                self.mean_execution_s * self._rng.uniform(0.5, 1.5)
            )
        finally:
            self._running -= 1
        return self._reply(request_id)

    def _reply(self, request_id: str) -> Response:
        run = len(self._ledger.signed_replies)
        records = [
            hashlib.blake2b(
                f"{request_id} {self.service} {n}".encode(),
                digest_size=RECORD_BYTES,
            ).digest()
            for n in range(RECORDS_PER_REPLY)
        ]
        signature = f"{run:x}.{self.leaf_id}"
        self._ledger.signed_replies[signature] = (
            request_id,
            self.service,
            records,
        )
        status = 200
        if self._rng.random() < self.faulty_share:
            status = 500
        echoed = request_id
        if self._rng.random() < self.faulty_share:
            echoed = "late-" + request_id
        headers = [
            (b"Response-Stamp", signature.encode()),
            (b"Request-Id", echoed.encode()),
            (b"Server-Load", b"%d,0,%d" % (self._running, SLOTS)),
        ]
        return Response(status, headers, b"".join(records))
