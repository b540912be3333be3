"""Leaf calls that a VM in the leaves' failure domain makes for another VM.

The VM that received a search (the entry) delegates parts to a VM of another
failure domain (the helper), which calls the leaves there. The helper responds
when all replies have arrived, or shortly before the entry would hedge; the
entry then requests the remaining parts separately. The helper calls each part
once. Hedges, retries and the retry budget stay with the entry.
"""

from __future__ import annotations

import functools
import itertools
from collections.abc import Callable, Collection, Mapping

import msgspec
import trio
from sapphire_core.delegation import assign
from sapphire_core.fanout import Failure
from sapphire_core.members import Member

from sapphire_gateway import telemetry
from sapphire_gateway.calls import CallResult
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.httpclient import HttpClient, NoReplyError
from sapphire_gateway.leafcalls import (
    CallSpec,
    LeafCaller,
    LeafChoice,
    ReplyTimesByRoute,
)
from sapphire_gateway.messages import Reply, Request, Response
from sapphire_gateway.records import greatest

CALLS_PATH = "/calls"
REMAINDER_PATH = "/rest"
CONTENT_TYPE = "application/msgpack"
OK = 200
# The helper responds this long before the entry would hedge.
REPLY_MARGIN_S = 0.002
# The entry delays hedges of delegated parts by this time while it waits for
# the helper's first response.
HELPER_GRACE_S = 0.004
# Extra time for a response before the helper counts as failed.
REPLY_GRACE_S = 0.05
# A helper that failed is not used again for this long.
HELPER_RETRY_DELAY_S = 5.0
# A VM whose last contact with the store is older than this rejects delegated
# calls, since it might call leaves that have left.
MAX_CONTACT_AGE_S = 2.5
MS_PER_S = 1000.0


class DelegationRequest(msgspec.Struct, array_like=True):
    """Parts that an entry delegates to a helper. Times are durations.

    Attributes:
        route: Name of the route; calls of one route take similar times.
        head: Request line and headers for the leaves.
        body: Body for the leaves.
        request_id: Request id that replies must repeat.
        fingerprint: Equal for repeated requests of one caller.
        parts: Services to call, one leaf of each.
        target_ms: Latency target of the whole request.
        call_timeout_ms: Time limit of the calls to leaves.
        first_reply_ms: Time until the helper's first response.
        final_reply_ms: Time until the helper's last response.
        top: Number of records that the merge keeps.
    """

    route: str
    head: bytes
    body: bytes
    request_id: bytes
    fingerprint: str
    parts: list[str]
    target_ms: float
    call_timeout_ms: float
    first_reply_ms: float
    final_reply_ms: float
    top: int


class RemainderRequest(msgspec.Struct, array_like=True):
    """Requests the parts that were still running at the last response."""

    number: int
    wait_ms: float


class CompletedPart(msgspec.Struct, array_like=True):
    """A part whose leaf sent a valid reply."""

    part: str
    signature: bytes
    records: bytes


class FailedPart(msgspec.Struct, array_like=True):
    """A part whose call ended without a valid reply."""

    part: str
    leaf_id: str
    failure: str
    detail: str
    was_sent: bool


class RunningPart(msgspec.Struct, array_like=True):
    """A part whose leaf has not replied yet."""

    part: str
    leaf_id: str


class HelperAnswer(msgspec.Struct, array_like=True):
    """Response of a helper.

    Attributes:
        number: Id for requesting the remaining parts; 0 if none will follow.
        done: Parts that completed since the last response.
        failed: Parts that failed since the last response.
        running: Parts that are still running.
        merged: Greatest records of all completed parts if they were merged;
            the parts then have no records of their own.
    """

    number: int
    done: list[CompletedPart]
    failed: list[FailedPart]
    running: list[RunningPart]
    merged: bytes = b""


_DELEGATION_REQUEST = msgspec.msgpack.Decoder(DelegationRequest)
_REMAINDER_REQUEST = msgspec.msgpack.Decoder(RemainderRequest)
_ANSWER = msgspec.msgpack.Decoder(HelperAnswer)


class _DelegatedCalls:
    """The calls that a helper makes for one delegation request."""

    def __init__(self, request: DelegationRequest, fleet: Fleet) -> None:
        self._top = request.top
        self._signature = fleet.header_names.signature.lower()
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
            caller.send(choice, functools.partial(self._ended, part), now)

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

    def take(self, number: int, is_merged: bool) -> HelperAnswer:
        """Returns the results since the last call of this method."""
        done, self._done = self._done, []
        failed, self._failed = self._failed, []
        answer = HelperAnswer(
            number if self._running else 0,
            [
                CompletedPart(
                    part,
                    reply.get(self._signature) or b"",
                    b"" if is_merged else greatest([reply.body], self._top),
                )
                for part, reply in done
            ],
            failed,
            [RunningPart(*item) for item in self._running.items()],
        )
        if is_merged:
            answer.merged = greatest((r.body for _, r in done), self._top)
        return answer

    def _ended(self, part: str, end: CallResult) -> None:
        leaf_id = self._running.pop(part)
        if end.failure is None and end.reply is not None:
            self._done.append((part, end.reply))
        else:
            failure = end.failure or Failure.LOST
            self._failed.append(
                FailedPart(
                    part, leaf_id, failure.value, end.detail, end.was_sent
                )
            )
        self._call_ended.set()
        if not self._running:
            self._idle.set()


class HelperServer:
    """Serves delegation requests of entries in other failure domains."""

    def __init__(
        self, fleet: Fleet, contact_age_s: Callable[[], float]
    ) -> None:
        """Creates a server.

        Args:
            fleet: Leaves and their connections.
            contact_age_s: Returns the seconds since the store last responded.
        """
        self._fleet = fleet
        self._contact_age_s = contact_age_s
        self._reply_times_by_route = ReplyTimesByRoute()
        self._unfinished: dict[int, _DelegatedCalls] = {}
        self._numbers = itertools.count(1)

    async def answer(self, request: Request) -> Response:
        """Handles a delegation request or a request for remaining parts."""
        try:
            if request.target == CALLS_PATH.encode():
                return await self._answer_calls(
                    _DELEGATION_REQUEST.decode(request.body)
                )
            if request.target == REMAINDER_PATH.encode():
                return await self._answer_remainder(
                    _REMAINDER_REQUEST.decode(request.body)
                )
        except msgspec.DecodeError as error:
            telemetry.event("question_unreadable", error=str(error))
            return Response(400, [])
        return Response(404, [])

    async def _answer_calls(self, request: DelegationRequest) -> Response:
        if self._contact_age_s() > MAX_CONTACT_AGE_S:
            return Response(503, [])
        now = trio.current_time()
        self._discard_expired(now)
        calls = _DelegatedCalls(request, self._fleet)
        spec = CallSpec(
            request.head,
            request.body,
            request.request_id,
            request.fingerprint,
            is_to_head=False,
            is_repeatable=True,
            target_s=request.target_ms / MS_PER_S,
            ends_at=calls.ends_at,
            max_leaf_time_s=request.call_timeout_ms / MS_PER_S,
        )
        reply_times = self._reply_times_by_route.of(
            (request.route,), spec.target_s
        )
        calls.start(request.parts, LeafCaller(self._fleet, spec, reply_times))
        await calls.wait(request.first_reply_ms / MS_PER_S)
        number = next(self._numbers)
        answer = calls.take(number, is_merged=True)
        if answer.running:
            self._unfinished[number] = calls
        return _encoded(answer)

    async def _answer_remainder(self, request: RemainderRequest) -> Response:
        calls = self._unfinished.pop(request.number, None)
        if calls is None:
            return Response(404, [])
        began = trio.current_time()
        wait_s = request.wait_ms / MS_PER_S
        await calls.wait_for_result(wait_s)
        is_over = trio.current_time() - began >= wait_s
        answer = calls.take(0 if is_over else request.number, is_merged=False)
        if answer.number:
            self._unfinished[request.number] = calls
        return _encoded(answer)

    def _discard_expired(self, now: float) -> None:
        expired = [
            n for n, calls in self._unfinished.items() if calls.ends_at < now
        ]
        for number in expired:
            del self._unfinished[number]


def _encoded(answer: HelperAnswer) -> Response:
    headers = [(b"Content-Type", CONTENT_TYPE.encode())]
    return Response(OK, headers, msgspec.msgpack.encode(answer))


class HelperPool:
    """Helpers that an entry may use, and the connections to them."""

    def __init__(self, fleet: Fleet, nursery: trio.Nursery) -> None:
        self._fleet = fleet
        self._nursery = nursery
        self._clients: dict[str, HttpClient] = {}
        self._avoided: dict[str, float] = {}
        self._rotation = 0

    def assign(
        self, remote: Mapping[str, Collection[str]], now: float
    ) -> list[tuple[Member, list[str]]]:
        """Assigns parts to helpers.

        Args:
            remote: Failure domains that have a leaf of each part.
            now: Current time in seconds.

        Returns:
            Helpers with their parts; other parts are to be called directly.
        """
        by_domain: dict[str, list[Member]] = {}
        for member in self._fleet.serving(now):
            is_usable = (
                member.peer_address
                and member.domain != self._fleet.domain
                and self._avoided.get(member.name, 0.0) <= now
            )
            if is_usable:
                by_domain.setdefault(member.domain, []).append(member)
        self._rotation += 1
        return [
            (by_domain[domain][self._rotation % len(by_domain[domain])], parts)
            for domain, parts in assign(
                remote, by_domain, self._rotation
            ).items()
        ]

    def ask(self, exchange: Exchange) -> None:
        """Starts an exchange in the background."""
        self._nursery.start_soon(exchange.run, self._client(exchange.helper))

    def failed(self, helper: Member, detail: str) -> None:
        """Excludes a helper that did not respond for HELPER_RETRY_DELAY_S."""
        self._avoided[helper.name] = trio.current_time() + HELPER_RETRY_DELAY_S
        telemetry.event("helper_lost", member=helper.name, error=detail)

    def _client(self, helper: Member) -> HttpClient:
        client = self._clients.get(helper.peer_address)
        if client is None:
            client = HttpClient(helper.peer_address)
            client.start(self._nursery)
            self._clients[helper.peer_address] = client
        return client


class Exchange:
    """A delegation request with the follow-up requests for its remainder."""

    def __init__(
        self,
        helper: Member,
        request: DelegationRequest,
        on_answer: Callable[[Exchange, HelperAnswer], None],
        on_lost: Callable[[Exchange, NoReplyError], None],
    ) -> None:
        """Creates an exchange; `run` sends the requests.

        Args:
            helper: VM that receives the requests.
            request: Delegation request.
            on_answer: Called with each response.
            on_lost: Called if a response is missing; the exchange then ends.
        """
        self.helper = helper
        self.request = request
        # Parts without a result so far.
        self.pending = set(request.parts)
        self._on_answer = on_answer
        self._on_lost = on_lost

    async def run(self, client: HttpClient) -> None:
        """Sends the request, then fetches remaining parts as they complete."""
        began = trio.current_time()
        request = self.request
        wait_s = request.first_reply_ms / MS_PER_S + REPLY_GRACE_S
        try:
            answer = await self._ask(client, CALLS_PATH, request, wait_s)
            self._on_answer(self, answer)
            ends_at = began + request.final_reply_ms / MS_PER_S
            while answer.number:
                left_s = max(0.0, ends_at - trio.current_time())
                remainder = RemainderRequest(answer.number, left_s * MS_PER_S)
                wait_s = left_s + REPLY_GRACE_S
                answer = await self._ask(
                    client, REMAINDER_PATH, remainder, wait_s
                )
                self._on_answer(self, answer)
        except NoReplyError as error:
            self._on_lost(self, error)

    async def _ask(
        self, client: HttpClient, path: str, request: object, wait_s: float
    ) -> HelperAnswer:
        content = msgspec.msgpack.encode(request)
        reply = await client.request(
            "POST", path, wait_s, content, CONTENT_TYPE
        )
        if reply.status != OK:
            raise NoReplyError(
                f"helper {self.helper.name} answered {reply.status},"
                f" expected {OK}.",
                was_sent=path != CALLS_PATH,
            )
        try:
            return _ANSWER.decode(reply.body)
        except msgspec.DecodeError as error:
            raise NoReplyError(
                f"helper {self.helper.name} sent a response that cannot be"
                f" decoded: {error}."
            ) from error
