"""Leaf calls that a VM in the leaves' failure domain makes for another VM.

The VM that received a search (the coordinator) delegates parts to a VM of
another failure domain (the helper), which calls the leaves there. The helper
responds when all replies have arrived, or shortly before the coordinator would
hedge; the coordinator then requests the remaining parts as they complete. The
helper calls one leaf for each part. Hedges, retries and the retry budget stay
with the coordinator.

The body of a leaf's reply consists of records of fixed size, which are compared
as byte strings. The helper merges the records of the parts that completed by
its first response and returns the greatest ones.
"""

from __future__ import annotations

import functools
import itertools
from collections.abc import Callable, Collection, Mapping

import msgspec
import trio
from sapphire_core.crashsuspects import CrashVerdict
from sapphire_core.delegation import assign
from sapphire_core.fanout import Failure
from sapphire_core.members import Member

from sapphire_gateway import supervision, telemetry
from sapphire_gateway.calls import CallResult
from sapphire_gateway.decoding import DECODING_ERRORS
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.httpclient import HttpClient, NoUsableReplyError
from sapphire_gateway.leafcalls import (
    CallSpec,
    LeafCaller,
    LeafChoice,
    ReplyTimesByRoute,
)
from sapphire_gateway.messages import Reply, Request, Response
from sapphire_gateway.records import greatest
from sapphire_gateway.replyreader import SMALL_REPLY_LIMITS

CALLS_PATH = "/calls"
REMAINDER_PATH = "/rest"
CONTENT_TYPE = "application/msgpack"
OK = 200
# The helper's first response is due this long before the coordinator hedges.
FIRST_RESPONSE_MARGIN_S = 0.002
# The coordinator delays hedges of delegated parts by this time while it waits
# for the helper's first response.
HEDGE_DEFERRAL_S = 0.004
# Extra time for a response before the helper counts as failed.
RESPONSE_GRACE_S = 0.05
# A helper that failed is not used again for this long.
HELPER_RETRY_DELAY_S = 5.0
# A VM whose copy of the store was last known to be current longer ago rejects
# delegated calls, since it might call leaves that have left.
MAX_DATA_AGE_S = 2.5
MS_PER_S = 1000.0


class DelegationRequest(msgspec.Struct, array_like=True):
    """Parts that a coordinator delegates to a helper. Times are durations.

    Attributes:
        route: Name of the route; calls of one route take similar times.
        request_head: Request line and headers for the leaves.
        body: Body for the leaves.
        request_id: Request id that replies must repeat.
        fingerprint: Equal for repeated requests of one caller.
        parts: Services to call, one leaf of each.
        target_ms: Latency target of the whole request.
        call_timeout_ms: Time limit of the calls to leaves.
        first_response_ms: Time until the helper's first response.
        final_response_ms: Time until the helper's last response.
        top: Number of greatest records to return, of each part or of all
            merged ones.
        revision: Revision of the coordinator's copy of the store; 0 if it has
            none.
    """

    route: str
    request_head: bytes
    body: bytes
    request_id: bytes
    fingerprint: str
    parts: list[str]
    target_ms: float
    call_timeout_ms: float
    first_response_ms: float
    final_response_ms: float
    top: int
    revision: int = 0


class RemainderRequest(msgspec.Struct, array_like=True):
    """Requests the parts that were still running at the last response."""

    continuation_id: int
    wait_ms: float


class CompletedPart(msgspec.Struct, array_like=True):
    """A part whose leaf sent a successful reply.

    Attributes:
        part: Service of the leaf.
        signature: Header value by which the leaf proves that it made the reply.
            It is passed on as received, and not verified against the records.
        records: Greatest records of the reply, or empty if they were merged.
    """

    part: str
    signature: bytes
    records: bytes


class FailedPart(msgspec.Struct, array_like=True):
    """A part whose call ended without a successful reply.

    Attributes:
        part: Service that was called.
        leaf_id: Id of the leaf; empty if there was none.
        failure: Value of a Failure.
        detail: Description for the log.
        was_sent: Whether any byte of the request may have reached the leaf.
        is_leaf_lost: Whether the leaf closed the connection during the call.
    """

    part: str
    leaf_id: str
    failure: str
    detail: str
    was_sent: bool
    is_leaf_lost: bool = False


class RunningPart(msgspec.Struct, array_like=True):
    """A part whose leaf has not replied yet."""

    part: str
    leaf_id: str


class HelperResponse(msgspec.Struct, array_like=True):
    """Response of a helper.

    Attributes:
        continuation_id: Id for requesting the remaining parts; 0 in the last
            response, after which no more parts can be requested.
        done: Parts that completed since the last response.
        failed: Parts that failed since the last response.
        running: Parts that are still running.
        merged: Greatest records of all parts in `done`, if they were merged;
            the parts then have no records of their own.
        revision: Revision of the helper's copy of the store; 0 if it has none.
        is_suspected: Whether the helper made no calls because the request may
            crash leaves.
    """

    continuation_id: int
    done: list[CompletedPart]
    failed: list[FailedPart]
    running: list[RunningPart]
    merged: bytes = b""
    revision: int = 0
    is_suspected: bool = False


_REQUEST_DECODERS: dict[
    bytes, msgspec.msgpack.Decoder[DelegationRequest | RemainderRequest]
] = {
    CALLS_PATH.encode(): msgspec.msgpack.Decoder(DelegationRequest),
    REMAINDER_PATH.encode(): msgspec.msgpack.Decoder(RemainderRequest),
}
_RESPONSE = msgspec.msgpack.Decoder(HelperResponse)


class _DelegatedCalls:
    """The calls that a helper makes for one delegation request."""

    def __init__(self, request: DelegationRequest, fleet: Fleet) -> None:
        self._top = request.top
        self._signature_header = fleet.header_names.signature.lower()
        self._running: dict[str, str] = {}
        self._done: list[tuple[str, Reply]] = []
        self._failed: list[FailedPart] = []
        self._idle = trio.Event()
        self._call_ended = trio.Event()
        self.ends_at = trio.current_time() + request.call_timeout_ms / MS_PER_S

    def start(self, parts: list[str], caller: LeafCaller) -> None:
        """Chooses a leaf for each part and sends the calls."""
        now = trio.current_time()
        telemetry.HELPED_CALLS.inc(len(parts))
        chosen: list[tuple[str, LeafChoice]] = []
        for part in parts:
            choice = caller.choose(part, (), now)
            if choice is None:
                kind = Failure.NOT_RUN.value
                self._failed.append(
                    FailedPart(part, "", kind, "no leaf", was_sent=False)
                )
            else:
                chosen.append((part, choice))
                self._running[part] = choice.entry.leaf_id
        if not chosen:
            self._idle.set()
        for part, choice in chosen:
            caller.send(
                choice, functools.partial(self._handle_result, part), now
            )

    async def wait(self, seconds: float) -> None:
        """Waits until all calls have ended or the time has passed."""
        with trio.move_on_after(max(0.0, seconds)):
            await self._idle.wait()

    async def wait_for_result(self, seconds: float) -> None:
        """Waits until an unreported call has ended or the time has passed."""
        if self._done or self._failed:
            return
        self._call_ended = trio.Event()
        with trio.move_on_after(max(0.0, seconds)):
            await self._call_ended.wait()

    def take(self, continuation_id: int, is_merged: bool) -> HelperResponse:
        """Returns the results since the last call of this method.

        Args:
            continuation_id: Id for requesting the parts that are still running.
            is_merged: Whether to merge the records of all completed parts.
        """
        done, self._done = self._done, []
        failed, self._failed = self._failed, []
        response = HelperResponse(
            continuation_id if self._running else 0,
            [
                CompletedPart(
                    part,
                    reply.get(self._signature_header) or b"",
                    b"" if is_merged else greatest([reply.body], self._top),
                )
                for part, reply in done
            ],
            failed,
            [RunningPart(*item) for item in self._running.items()],
        )
        if is_merged:
            response.merged = greatest((r.body for _, r in done), self._top)
        return response

    def _handle_result(self, part: str, result: CallResult) -> None:
        leaf_id = self._running.pop(part)
        if result.failure is None and result.reply is not None:
            self._done.append((part, result.reply))
        else:
            failure = result.failure or Failure.LOST
            self._failed.append(
                FailedPart(
                    part,
                    leaf_id,
                    failure.value,
                    result.detail,
                    result.was_sent,
                    result.is_closed_by_server,
                )
            )
        self._call_ended.set()
        if not self._running:
            self._idle.set()


class HelperServer:
    """Serves delegation requests of VMs in other failure domains."""

    def __init__(self, fleet: Fleet) -> None:
        """Creates a server.

        Args:
            fleet: Leaves and their connections.
        """
        self._fleet = fleet
        self._freshness = fleet.view.freshness
        self._reply_times_by_route = ReplyTimesByRoute()
        self._unfinished: dict[int, _DelegatedCalls] = {}
        self._continuation_ids = itertools.count(1)

    async def handle(self, request: Request) -> Response:
        """Handles a delegation request or a request for remaining parts."""
        decoder = _REQUEST_DECODERS.get(request.target)
        if decoder is None:
            return Response(404, [])
        try:
            decoded = decoder.decode(request.body)
        except DECODING_ERRORS as error:
            telemetry.event("question_unreadable", error=str(error))
            return Response(400, [])
        if isinstance(decoded, DelegationRequest):
            return await self._handle_calls(decoded)
        return await self._handle_remainder(decoded)

    async def _handle_calls(self, request: DelegationRequest) -> Response:
        now = trio.current_time()
        self._freshness.learn_revision(request.revision, now)
        if self._freshness.age_s(now) > MAX_DATA_AGE_S:
            return Response(503, [])
        if self._is_suspected(request, now):
            return _encoded(_declined(request))
        self._discard_expired(now)
        calls = _DelegatedCalls(request, self._fleet)
        spec = CallSpec(
            request_head=request.request_head,
            body=request.body,
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            is_to_head=False,
            is_repeatable=True,
            target_s=request.target_ms / MS_PER_S,
            ends_at=calls.ends_at,
            call_timeout_s=request.call_timeout_ms / MS_PER_S,
        )
        reply_times = self._reply_times_by_route.get_or_create(
            (request.route,), spec.target_s
        )
        caller = LeafCaller(self._fleet, spec, reply_times, is_helper=True)
        calls.start(request.parts, caller)
        await calls.wait(request.first_response_ms / MS_PER_S)
        continuation_id = next(self._continuation_ids)
        response = calls.take(continuation_id, is_merged=True)
        response.revision = self._freshness.revision or 0
        if response.running:
            self._unfinished[continuation_id] = calls
        return _encoded(response)

    async def _handle_remainder(self, request: RemainderRequest) -> Response:
        calls = self._unfinished.pop(request.continuation_id, None)
        if calls is None:
            return Response(404, [])
        began = trio.current_time()
        wait_s = request.wait_ms / MS_PER_S
        await calls.wait_for_result(wait_s)
        is_over = trio.current_time() - began >= wait_s
        response = calls.take(
            0 if is_over else request.continuation_id, is_merged=False
        )
        if response.continuation_id:
            self._unfinished[request.continuation_id] = calls
        return _encoded(response)

    def _is_suspected(self, request: DelegationRequest, now: float) -> bool:
        """Returns whether a request may crash leaves.

        The VM that received it decides whether to run it once more.
        """
        crashes = self._fleet.view.crashes
        verdict = crashes.verdict(request.fingerprint, now)
        if verdict is CrashVerdict.CLEAR:
            return False
        telemetry.event(
            "delegation_declined",
            request=request.request_id.decode("latin-1"),
            fingerprint=request.fingerprint,
            verdict=verdict.value,
        )
        return True

    def _discard_expired(self, now: float) -> None:
        expired = [
            n for n, calls in self._unfinished.items() if calls.ends_at < now
        ]
        for continuation_id in expired:
            del self._unfinished[continuation_id]


def _declined(request: DelegationRequest) -> HelperResponse:
    kind = Failure.NOT_RUN.value
    failed = [
        FailedPart(part, "", kind, "may crash leaves", was_sent=False)
        for part in request.parts
    ]
    return HelperResponse(0, [], failed, [], is_suspected=True)


def _encoded(response: HelperResponse) -> Response:
    headers = [(b"Content-Type", CONTENT_TYPE.encode())]
    return Response(OK, headers, msgspec.msgpack.encode(response))


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

    def exclude(self, helper: Member, detail: str) -> None:
        """Excludes a failed helper from use, for HELPER_RETRY_DELAY_S."""
        self._avoided_until[helper.name] = (
            trio.current_time() + HELPER_RETRY_DELAY_S
        )
        telemetry.event("helper_lost", member=helper.name, error=detail)

    def _client(self, helper: Member) -> HttpClient:
        client = self._clients.get(helper.peer_address)
        if client is None:
            client = HttpClient(helper.peer_address, SMALL_REPLY_LIMITS)
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

    async def run(self, client: HttpClient) -> None:
        """Sends the request, then fetches remaining parts as they complete."""
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
