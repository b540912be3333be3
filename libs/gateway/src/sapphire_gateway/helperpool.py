"""The helpers that a VM may use, and its exchanges of messages with them."""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Collection, Mapping

import msgspec
import trio
from sapphire_core.delegation import assign
from sapphire_core.members import Member

from sapphire_gateway import supervision, telemetry
from sapphire_gateway.decoding import DECODING_ERRORS
from sapphire_gateway.delegation_messages import (
    CALLS_PATH,
    CONTENT_TYPE,
    END_PATH,
    MS_PER_S,
    OK,
    REMAINDER_PATH,
    DelegationRequest,
    EndRequest,
    HelperResponse,
    RemainderRequest,
)
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.httpclient import HttpClient, NoUsableReplyError
from sapphire_gateway.replyreader import SMALL_REPLY_LIMITS

# Extra time for a response before the helper counts as failed.
RESPONSE_GRACE_S = 0.05
# A helper that failed is not used again for this long.
HELPER_RETRY_DELAY_S = 5.0
# Time limit of the request that ends the calls of a helper.
END_TIMEOUT_S = 0.5

_RESPONSE = msgspec.msgpack.Decoder(HelperResponse)


class HelperPool:
    """Helpers that this VM may use, and the connections to them."""

    def __init__(self, fleet: Fleet, nursery: trio.Nursery) -> None:
        self._fleet = fleet
        self._nursery = nursery
        self._clients: dict[str, HttpClient] = {}
        self._avoided_until: dict[str, float] = {}
        self._rotation = 0

    def assign(
        self, domains_by_part: Mapping[str, Collection[str]], now: float
    ) -> list[tuple[Member, list[str]]]:
        """Assigns parts to helpers.

        Args:
            domains_by_part: For each part, the failure domains in which it has
                a leaf.
            now: Current time in seconds.

        Returns:
            Helpers with their parts; other parts are to be called directly.
        """
        by_domain: dict[str, list[Member]] = {}
        for member in self._fleet.serving_members(now):
            is_usable = (
                member.peer_address
                and member.domain != self._fleet.domain
                and self._avoided_until.get(member.name, 0.0) <= now
            )
            if is_usable:
                by_domain.setdefault(member.domain, []).append(member)
        self._rotation += 1
        return [
            (by_domain[domain][self._rotation % len(by_domain[domain])], parts)
            for domain, parts in assign(
                domains_by_part, by_domain, self._rotation
            ).items()
        ]

    def start(self, delegation: Delegation) -> None:
        """Starts a delegation in the background."""
        self._nursery.start_soon(
            supervision.run_once,
            "delegation",
            delegation.run,
            self._client(delegation.helper),
        )

    def end(self, delegation: Delegation) -> None:
        """Ends a delegation in the background, whose caller has left."""
        self._nursery.start_soon(
            supervision.run_once,
            "end of a delegation",
            delegation.end,
            self._client(delegation.helper),
        )

    def exclude(self, helper: Member, detail: str) -> None:
        """Excludes a failed helper from use, for HELPER_RETRY_DELAY_S."""
        self._avoided_until[helper.name] = (
            trio.current_time() + HELPER_RETRY_DELAY_S
        )
        telemetry.event("helper_lost", member=helper.name, error=detail)

    def _client(self, helper: Member) -> HttpClient:
        client = self._clients.get(helper.peer_address)
        if client is None:
            traffic = telemetry.domain_traffic(
                "delegation", helper.domain != self._fleet.domain
            )
            client = HttpClient(
                helper.peer_address, SMALL_REPLY_LIMITS, traffic
            )
            client.start(self._nursery)
            self._clients[helper.peer_address] = client
        return client


class Delegation:
    """A delegation request with the follow-up requests for its remainder."""

    def __init__(
        self,
        helper: Member,
        request: DelegationRequest,
        on_response: Callable[[Delegation, HelperResponse], None],
        on_lost: Callable[[Delegation, NoUsableReplyError], None],
    ) -> None:
        """Creates a delegation; `run` sends the requests.

        Args:
            helper: VM that receives the requests.
            request: Delegation request.
            on_response: Called with each response.
            on_lost: Called if a request gets no usable response: none in time,
                one with a status other than 200, or one that cannot be decoded.
                The delegation then ends.
        """
        self.helper = helper
        self.request = request
        # Parts without a result so far.
        self.pending = set(request.parts)
        self._on_response = on_response
        self._on_lost = on_lost
        self._running = trio.CancelScope()

    async def run(self, client: HttpClient) -> None:
        """Sends the request, then fetches remaining parts as they complete."""
        with self._running:
            await self._run(client)

    async def end(self, client: HttpClient) -> None:
        """Stops waiting, and tells the helper to end its calls."""
        self._running.cancel()
        content = msgspec.msgpack.encode(EndRequest(self.request.delegation_id))
        # Without an answer, the calls end by their own time limit.
        with contextlib.suppress(NoUsableReplyError):
            await client.request(
                "POST", END_PATH, END_TIMEOUT_S, content, CONTENT_TYPE
            )

    async def _run(self, client: HttpClient) -> None:
        began = trio.current_time()
        request = self.request
        wait_s = request.first_response_ms / MS_PER_S + RESPONSE_GRACE_S
        try:
            response = await self._request(client, CALLS_PATH, request, wait_s)
            self._on_response(self, response)
            ends_at = began + request.final_response_ms / MS_PER_S
            while response.continuation_id:
                left_s = max(0.0, ends_at - trio.current_time())
                remainder = RemainderRequest(
                    response.continuation_id, left_s * MS_PER_S
                )
                wait_s = left_s + RESPONSE_GRACE_S
                response = await self._request(
                    client, REMAINDER_PATH, remainder, wait_s
                )
                self._on_response(self, response)
        except NoUsableReplyError as error:
            self._on_lost(self, error)

    async def _request(
        self, client: HttpClient, path: str, request: object, wait_s: float
    ) -> HelperResponse:
        content = msgspec.msgpack.encode(request)
        reply = await client.request(
            "POST", path, wait_s, content, CONTENT_TYPE
        )
        if reply.status != OK:
            # A helper rejects a delegation request before it calls any leaf, so
            # the parts count as unsent. Before a rejected follow-up request,
            # the leaves were called.
            raise NoUsableReplyError(
                f"helper {self.helper.name} answered {reply.status},"
                f" expected {OK}.",
                was_sent=path != CALLS_PATH,
            )
        try:
            return _RESPONSE.decode(reply.body)
        except DECODING_ERRORS as error:
            raise NoUsableReplyError(
                f"helper {self.helper.name} sent a response that cannot be"
                f" decoded: {error}."
            ) from error
