"""Simulated callers: clients that send requests and record the outcome.

They ask a gateway for addresses, as callers on the platform do, and send their
requests over connections that they reuse.
"""

from __future__ import annotations

import contextlib
import itertools
import json
from dataclasses import dataclass
from random import Random

import trio
from sapphire_gateway.calls import Call, CallResult
from sapphire_gateway.connection import Connection
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.messages import Reply
from sapphire_gateway.replyreader import ReplyReader
from sapphire_gateway.store import StoreUnavailableError

from soak.operator import HOST, Operator, SoakRoute
from soak.processes import DIRECTORY_PORT, Gateway

# Time limit that callers state in their requests.
DEADLINE_S = 2.0
# A caller still accepts a reply for this long after the deadline.
LATE_REPLY_S = 1.0
LOOK_UP_TIMEOUT_S = 1.0
ADDRESS_LIFETIME_S = 2.0
# Mean time for which a caller waits before each request.
MEAN_PAUSE_S = 0.05
# Leaves ignore the body.
SUBMISSION_BODY = b"proposal"
_REQUEST_IDS = itertools.count(1)


@dataclass
class Attempt:
    """A request of a caller and its outcome; callers do not retry.

    Attributes:
        request_id: Id of the request, which no other request has.
        route: The requested route.
        gateway: The gateway chosen for the request.
        started_at: Time at which the caller created the request, before any
            connecting.
        ended_at: Time of the reply or of the failure.
        reply: The complete reply, or None if there was none.
        was_unsent: Whether sending never began, because no connection was
            established.
    """

    request_id: str
    route: SoakRoute
    gateway: Gateway
    started_at: float
    ended_at: float
    reply: Reply | None
    was_unsent: bool


class SimulatedCaller:
    """Sends one request at a time to a gateway whose address it looked up."""

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
        # Address of the connection.
        self._address = ""

    async def run(self) -> None:
        """Sends requests until cancelled."""
        while True:
            await trio.sleep(MEAN_PAUSE_S * self._rng.uniform(0.5, 1.5))
            if trio.current_time() - self._looked_up_at >= ADDRESS_LIFETIME_S:
                await self._look_up_addresses()
            if self._addresses:
                await self._send_one()

    async def _look_up_addresses(self) -> None:
        gateway = self._rng.choice(list(self._gateways.values()))
        client = HttpClient(f"{gateway.host}:{DIRECTORY_PORT}")
        client.start(self._nursery)
        try:
            # Zone is the failure domain of the caller, which here is always
            # that of the gateway asked.
            target = f"/resolve?Name={HOST}&Zone={gateway.failure_domain}"
            reply = await client.request("GET", target, LOOK_UP_TIMEOUT_S)
        except StoreUnavailableError:
            return
        finally:
            # Closes the connection.
            client.reconnect("one look-up per connection")
        if reply.status == 200:
            self._addresses = json.loads(reply.body)["addrs"]
            self._looked_up_at = trio.current_time()

    def _idle_or_new_connection(self) -> Connection:
        """Returns the open connection, or a new one that is not connected yet.

        The open connection is used only while the look-ups return its address.
        """
        connection = self._connection
        if (
            connection is not None
            and connection.is_free
            and self._address in self._addresses
        ):
            return connection
        if connection is not None:
            # No effect if the connection was already closed.
            connection.close("the address is no longer listed")
        self._address = self._rng.choice(self._addresses)
        self._connection = Connection(
            self._address,
            _accept_any_reply,
            on_free=lambda _: None,
            on_closed=lambda _: None,
        )
        return self._connection

    async def _send_one(self) -> None:
        route = self._rng.choice(self._operator.routes_to_request())
        request_id = f"{next(_REQUEST_IDS):08x}"
        body = SUBMISSION_BODY if route.method == "POST" else b""
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

        started_at = trio.current_time()
        call = Call(
            payload,
            # Not compared with the reply: _accept_any_reply ignores it.
            request_id=b"",
            is_to_head=False,
            needs_fresh=False,
            expires_at=started_at + DEADLINE_S,
            on_end=on_end,
            created_at=started_at,
        )
        connection = self._idle_or_new_connection()
        gateway = self._gateways[self._address]
        connection.start(call)
        if not connection.was_established:
            # The connection is new, so nothing runs it yet.
            self._nursery.start_soon(connection.run)
        with trio.move_on_after(DEADLINE_S + LATE_REPLY_S):
            await ended.wait()
        was_sent = bool(call.sent_at)
        if not ended.is_set():
            # Calls on_end at once.
            connection.close("no answer")
        if connection.is_closed:
            self._connection = None
        self._attempts.append(
            Attempt(
                request_id,
                route,
                gateway,
                started_at,
                ended_at=trio.current_time(),
                reply=results[0].reply,
                was_unsent=not was_sent,
            )
        )


async def send_request(
    gateway: Gateway,
    route: SoakRoute,
    path: str,
    source: str | None = None,
    body: bytes = b"",
) -> Attempt:
    """Sends a request to a gateway, on a connection of its own.

    Args:
        gateway: The gateway, whether callers are directed to it or not.
        route: The route of the path.
        path: Path of the request, with the route's prefix.
        source: IP address of the caller; the default is chosen by the system.
        body: Body of the request.
    """
    request_id = f"{next(_REQUEST_IDS):08x}"
    head = (
        f"{route.method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n"
        f"Deadline-Ms: {int(DEADLINE_S * 1000)}\r\n\r\n"
    )
    started_at = trio.current_time()
    reader = ReplyReader()
    was_sent = False
    with (
        trio.move_on_after(DEADLINE_S + LATE_REPLY_S),
        contextlib.suppress(OSError, trio.BrokenResourceError),
    ):
        host, _, port = gateway.callers_address.rpartition(":")
        async with await trio.open_tcp_stream(
            host, int(port), local_address=source
        ) as stream:
            was_sent = True
            await stream.send_all(head.encode() + body)
            while reader.reply is None:
                data = await stream.receive_some()
                if not data:
                    break
                reader.feed(data)
    return Attempt(
        request_id,
        route,
        gateway,
        started_at,
        trio.current_time(),
        reader.reply,
        was_unsent=not was_sent,
    )


def _accept_any_reply(reply: Reply, call: Call) -> CallResult:
    return CallResult(reply, None)
