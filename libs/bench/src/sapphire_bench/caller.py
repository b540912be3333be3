"""Client of the query tier with address discovery and failover."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import trio
from sapphire_core.errors import SapphireError
from sapphire_wire.web import (
    HttpClient,
    HttpConnectError,
    HttpConnectionLostError,
    HttpReply,
    HttpTimeoutError,
)

ADDRESS_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05
MAX_CONNECTIONS = 200
# Allowance for network and entry overhead on top of the request deadline.
REPLY_MARGIN_S = 1.0
_FAILOVER_ERROR_KINDS = {"domain_out", "leaving", "not_ready"}


class NoAddressError(SapphireError):
    """No entry returned any addresses."""

    kind = "no_address"
    default_remedy = "Check that an entry daemon runs and is reachable."


@dataclass(frozen=True)
class Answer:
    """The reply to one request of a caller.

    Attributes:
        status: HTTP status; 0 if no entry answered.
        body: The decoded JSON body.
        attempts: Number of attempts to send the request, including those for
            which no connection could be opened.
        elapsed_s: Seconds from the request to the reply.
    """

    status: int
    body: dict[str, Any]
    attempts: int
    elapsed_s: float

    @property
    def is_complete(self) -> bool:
        """Whether the answer is a search result that covers all shards."""
        coverage = self.body.get("coverage", {})
        return self.status == 200 and bool(coverage.get("complete"))

    @property
    def error_kind(self) -> str | None:
        """Kind of the typed error, or None."""
        error = self.body.get("error")
        return error["kind"] if isinstance(error, dict) else None

    @property
    def run(self) -> str | None:
        """What is known about the execution of the request.

        "run", "not run" or "unknown"; None if the answer does not say.
        """
        error = self.body.get("error")
        source = error if isinstance(error, dict) else self.body
        return source.get("run")


class Caller:
    """Sends requests to the entries that GET /v1/addresses lists."""

    def __init__(
        self,
        bootstrap: Sequence[str],
        failure_domain: str | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Creates a caller without connections.

        Args:
            bootstrap: HTTP addresses to ask for the list of entries.
            failure_domain: The caller's failure domain, sent with requests for
                the list; None sends none.
            rng: Chooses the entry that gets the first request after each fetch
                of the list; later requests go to the entries in turn.
        """
        self._bootstrap = list(bootstrap)
        self._failure_domain = failure_domain
        self._rng = rng or random.Random(0)
        self._clients: dict[str, HttpClient] = {}
        self._addresses: list[str] = []
        self._addresses_expire_at = float("-inf")
        self._next_index = 0

    async def addresses(self) -> list[str]:
        """Returns the current addresses, fetching them again after expiry.

        Raises:
            NoAddressError: No entry returned any addresses.
        """
        if trio.current_time() < self._addresses_expire_at:
            return self._addresses
        known = self._addresses + self._bootstrap
        for address in dict.fromkeys(known):
            reply = await self._fetch_addresses(address)
            if reply is not None:
                return self._store_addresses(reply)
        raise NoAddressError("no entry returned its addresses.")

    async def search(
        self,
        service: str,
        text: str,
        *,
        request_class: str,
        k: int = 10,
        deadline_ms: int = 1000,
    ) -> Answer:
        """Sends a search.

        If an entry does not answer, or refuses because it is not ready or out
        of service, the search is sent to the next one, until REPLY_MARGIN_S
        after the deadline.

        Raises:
            NoAddressError: No entry returned any addresses.
        """
        body = {
            "service": service,
            "text": text,
            "k": k,
            "class": request_class,
            "deadline_ms": deadline_ms,
        }
        return await self._send("/v1/search", body, deadline_ms, repeat=True)

    async def submit(
        self,
        service: str,
        key: str,
        body: dict[str, Any],
        *,
        deadline_ms: int = 2000,
        repeat: bool = False,
    ) -> Answer:
        """Sends a submission.

        If an entry refuses it because the entry is not ready or out of service,
        the submission is sent to the next one, until REPLY_MARGIN_S after the
        deadline.

        Args:
            service: Name of the service.
            key: Key of the submission.
            body: The submission.
            deadline_ms: Deadline of the reply, in ms.
            repeat: Whether to send the submission again, with the same key, if
                an entry does not answer.

        Raises:
            NoAddressError: No entry returned any addresses.
        """
        fields = {
            "service": service,
            "key": key,
            "body": body,
            "deadline_ms": deadline_ms,
        }
        return await self._send(
            "/v1/submit", fields, deadline_ms, repeat=repeat
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        for client in self._clients.values():
            await client.aclose()

    async def _send(
        self,
        path: str,
        body: dict[str, Any],
        deadline_ms: int,
        *,
        repeat: bool,
    ) -> Answer:
        start = trio.current_time()
        end = start + deadline_ms / 1000 + REPLY_MARGIN_S
        attempts = 0
        while True:
            address = await self._next_address()
            attempts += 1
            left_s = end - trio.current_time()
            reply = await self._call(address, path, body, left_s)
            elapsed = trio.current_time() - start
            if reply is None:
                self._drop_address(address)
                if repeat and trio.current_time() < end:
                    await trio.sleep(RETRY_DELAY_S)
                    continue
                return Answer(0, {}, attempts, elapsed)
            answer = Answer(reply.status, reply.json(), attempts, elapsed)
            if answer.error_kind in _FAILOVER_ERROR_KINDS and left_s > 0:
                # These errors state that the request was not executed, so
                # resending is safe for submissions as well.
                self._drop_address(address)
                await trio.sleep(RETRY_DELAY_S)
                continue
            return answer

    async def _next_address(self) -> str:
        addresses = await self.addresses()
        self._next_index += 1
        return addresses[self._next_index % len(addresses)]

    def _drop_address(self, address: str) -> None:
        if address in self._addresses:
            self._addresses.remove(address)
        if not self._addresses:
            self._addresses_expire_at = float("-inf")

    def _store_addresses(self, reply: dict[str, Any]) -> list[str]:
        self._addresses = [item["address"] for item in reply["addresses"]]
        self._addresses_expire_at = (
            trio.current_time() + reply["keep_ms"] / 1000
        )
        self._next_index = self._rng.randrange(max(len(self._addresses), 1))
        if not self._addresses:
            raise NoAddressError("the list of addresses is empty.")
        return self._addresses

    async def _fetch_addresses(self, address: str) -> dict[str, Any] | None:
        path = "/v1/addresses"
        if self._failure_domain is not None:
            path += f"?failure_domain={self._failure_domain}"
        try:
            reply = await self._client(address).call(
                "GET", path, timeout_s=ADDRESS_TIMEOUT_S
            )
        except (HttpConnectError, HttpConnectionLostError, HttpTimeoutError):
            return None
        if reply.status != 200:
            return None
        fields: dict[str, Any] = reply.json()
        return fields if fields["addresses"] else None

    async def _call(
        self, address: str, path: str, body: dict[str, Any], timeout_s: float
    ) -> HttpReply | None:
        try:
            return await self._client(address).call(
                "POST", path, body, timeout_s=timeout_s
            )
        except (HttpConnectError, HttpConnectionLostError, HttpTimeoutError):
            return None

    def _client(self, address: str) -> HttpClient:
        if address not in self._clients:
            self._clients[address] = HttpClient(address, MAX_CONNECTIONS)
        return self._clients[address]
