"""Callers that look up addresses, reuse connections and record answers."""

from __future__ import annotations

import itertools
import json
from dataclasses import dataclass
from random import Random

import trio
from sapphire_gateway.calls import Call, CallResult
from sapphire_gateway.connection import Connection
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.messages import Reply
from sapphire_gateway.store import StoreUnavailableError

from soak.operator import HOST, Operator, SoakRoute
from soak.processes import DIRECTORY_PORT, Gateway

DEADLINE_S = 2.0
LOOK_UP_TIMEOUT_S = 1.0
ADDRESS_LIFETIME_S = 2.0
PAUSE_S = 0.05
_REQUEST_IDS = itertools.count(1)


@dataclass
class Attempt:
    """One request as seen by its caller.

    Attributes:
        request_id: The id that was sent with the request.
        route: The requested route.
        gateway: The gateway that it was sent to.
        sent_at: Time at which the request was started.
        ended_at: Time of the answer or of the failure.
        reply: The complete answer, or None.
        was_refused_connection: Whether no byte of the request was sent.
    """

    request_id: str
    route: SoakRoute
    gateway: Gateway
    sent_at: float
    ended_at: float
    reply: Reply | None
    was_refused_connection: bool


class Caller:
    """Sends one request at a time to the gateways."""

    def __init__(
        self,
        gateways: list[Gateway],
        operator: Operator,
        attempts: list[Attempt],
        nursery: trio.Nursery,
        rng: Random,
    ) -> None:
        self._gateways = {g.callers_address: g for g in gateways}
        self._operator = operator
        self._attempts = attempts
        self._nursery = nursery
        self._rng = rng
        self._addresses: list[str] = []
        self._looked_up_at = -ADDRESS_LIFETIME_S
        self._connection: Connection | None = None
        self._address = ""

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await trio.sleep(PAUSE_S * self._rng.uniform(0.5, 1.5))
            if trio.current_time() - self._looked_up_at >= ADDRESS_LIFETIME_S:
                await self._look_up()
            if self._addresses:
                await self._send_one()

    async def _look_up(self) -> None:
        gateway = self._rng.choice(list(self._gateways.values()))
        client = HttpClient(f"{gateway.host}:{DIRECTORY_PORT}")
        client.start(self._nursery)
        try:
            target = f"/resolve?Name={HOST}&Zone={gateway.failure_domain}"
            reply = await client.request("GET", target, LOOK_UP_TIMEOUT_S)
        except StoreUnavailableError:
            return
        finally:
            client.reconnect("one look-up per connection")
        if reply.status == 200:
            self._addresses = json.loads(reply.body)["addrs"]
            self._looked_up_at = trio.current_time()

    def _connected(self) -> Connection:
        """Returns the open connection, or a new one to a listed address."""
        connection = self._connection
        if (
            connection is not None
            and connection.is_free
            and self._address in self._addresses
        ):
            return connection
        if connection is not None:
            connection.close("the address is no longer listed")
        self._address = self._rng.choice(self._addresses)
        self._connection = Connection(
            self._address, _accept, lambda _: None, lambda _: None
        )
        return self._connection

    async def _send_one(self) -> None:
        route = self._rng.choice(self._operator.requested_routes())
        request_id = f"{next(_REQUEST_IDS):08x}"
        body = b"proposal" if route.method == "POST" else b""
        lines = [
            f"{route.method} {route.prefix}x HTTP/1.1",
            f"Host: {HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {int(DEADLINE_S * 1000)}",
            f"Content-Length: {len(body)}",
        ]
        payload = "\r\n".join([*lines, "", ""]).encode() + body
        ended = trio.Event()
        results: list[CallResult] = []

        def on_end(result: CallResult) -> None:
            results.append(result)
            ended.set()

        now = trio.current_time()
        call = Call(payload, b"", False, False, now + DEADLINE_S, on_end, now)
        connection = self._connected()
        gateway = self._gateways[self._address]
        connection.start(call)
        if not connection.was_established:
            self._nursery.start_soon(connection.run)
        with trio.move_on_after(DEADLINE_S + 1.0):
            await ended.wait()
        was_sent = bool(call.sent_at)
        if not ended.is_set():
            connection.close("no answer")
        if connection.is_closed:
            self._connection = None
        self._attempts.append(
            Attempt(
                request_id,
                route,
                gateway,
                now,
                trio.current_time(),
                results[0].reply,
                not was_sent,
            )
        )


def _accept(reply: Reply, call: Call) -> CallResult:
    return CallResult(reply, None)
