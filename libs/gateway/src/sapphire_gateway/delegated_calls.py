"""Leaf calls that a VM in the leaves' failure domain makes for another VM.

The VM that received a search (the coordinator) delegates parts to a VM of
another failure domain (the helper), which calls the leaves there. The helper
responds when all replies have arrived, or when most such calls would have been
answered; the coordinator then hedges the remaining parts, and requests them as
they complete. The helper calls one leaf for each part. Hedges, retries and the
retry budget stay with the coordinator.

The body of a leaf's reply consists of records of fixed size, which are compared
as byte strings. The helper merges the records of the parts that completed by
its first response and returns the greatest ones.
"""

from __future__ import annotations

import functools
import itertools

import msgspec
import trio
from sapphire_core.crashsuspects import CrashVerdict
from sapphire_core.fanout import Failure
from sapphire_core.hedging import HedgeDelay
from sapphire_core.storerevision import NO_REVISION

from sapphire_gateway import telemetry
from sapphire_gateway.calls import Call, CallResult, cancel_calls
from sapphire_gateway.decoding import DECODING_ERRORS
from sapphire_gateway.delegation_messages import (
    CALLS_PATH,
    CONTENT_TYPE,
    END_PATH,
    MS_PER_S,
    OK,
    REMAINDER_PATH,
    CompletedPart,
    DelegationRequest,
    EndRequest,
    FailedPart,
    HelperResponse,
    RemainderRequest,
    RunningPart,
)
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.leafcalls import (
    CallSpec,
    LeafCaller,
    LeafChoice,
    ReplyTimesByRoute,
)
from sapphire_gateway.messages import Reply, Request, Response
from sapphire_gateway.records import greatest

# A VM whose copy of the store was last known to be current longer ago rejects
# delegated calls, since it might call leaves that have left. It accepts them if
# the copy of the coordinator, which would call the leaves itself, is as old: an
# outage of the store makes all copies old together.
MAX_DATA_AGE_S = 2.5
# Renewals confirm the copies of two VMs at different times.
DATA_AGE_TOLERANCE_S = 1.5

# Ids that are remembered after the calls of their requests were ended.
MAX_ENDED_IDS = 1000

_REQUEST_DECODERS: dict[
    bytes,
    msgspec.msgpack.Decoder[DelegationRequest | RemainderRequest | EndRequest],
] = {
    CALLS_PATH.encode(): msgspec.msgpack.Decoder(DelegationRequest),
    REMAINDER_PATH.encode(): msgspec.msgpack.Decoder(RemainderRequest),
    END_PATH.encode(): msgspec.msgpack.Decoder(EndRequest),
}


class _DelegatedCalls:
    """The calls that a helper makes for one delegation request."""

    def __init__(
        self,
        request: DelegationRequest,
        fleet: Fleet,
        hedge_delay: HedgeDelay,
    ) -> None:
        self._top = request.top
        self._hedge_delay = hedge_delay
        self._began_at = trio.current_time()
        self._signature_header = fleet.header_names.signature.lower()
        self._running: dict[str, str] = {}
        self._calls: list[Call] = []
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
            call = caller.send(
                choice, functools.partial(self._handle_result, part), now
            )
            self._calls.append(call)

    @property
    def is_running(self) -> bool:
        """Whether a call is in progress."""
        return bool(self._running)

    def cancel(self) -> None:
        """Ends the calls early, as the caller has left."""
        cancel_calls(self._calls, trio.current_time())

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
            elapsed_s = trio.current_time() - self._began_at
            self._hedge_delay.record_completion(elapsed_s)
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
        # Calls in progress by the id that their delegation request has.
        self._calls_by_id: dict[str, _DelegatedCalls] = {}
        # Ids of the last requests to end calls, the newest last. One may come
        # before the request for the calls does, on another connection.
        self._ended_ids: dict[str, None] = {}

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
        if isinstance(decoded, EndRequest):
            return self._handle_end(decoded)
        return await self._handle_remainder(decoded)

    def _handle_end(self, request: EndRequest) -> Response:
        self._ended_ids[request.delegation_id] = None
        if len(self._ended_ids) > MAX_ENDED_IDS:
            del self._ended_ids[next(iter(self._ended_ids))]
        calls = self._calls_by_id.pop(request.delegation_id, None)
        if calls is not None:
            telemetry.ENDED_DELEGATIONS.inc()
            calls.cancel()
        return Response(OK, [])

    async def _handle_calls(self, request: DelegationRequest) -> Response:
        now = trio.current_time()
        self._freshness.learn_revision(request.store_revision, now)
        coordinator_age_s = request.data_age_ms / MS_PER_S
        limit_s = max(MAX_DATA_AGE_S, coordinator_age_s + DATA_AGE_TOLERANCE_S)
        if self._freshness.age_s(now) > limit_s:
            return Response(503, [])
        if request.delegation_id and request.delegation_id in self._ended_ids:
            return _encoded(_declined(request, "caller has left"))
        if self._is_suspected(request, now):
            declined = _declined(request, "may crash leaves")
            declined.is_suspected = True
            return _encoded(declined)
        self._discard_expired(now)
        target_s = request.target_ms / MS_PER_S
        reply_times = self._reply_times_by_route.get_or_create(
            (request.route,), target_s
        )
        hedge_delay = reply_times.hedge_delay
        calls = _DelegatedCalls(request, self._fleet, hedge_delay)
        spec = CallSpec(
            request_head=request.request_head,
            body=request.body,
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            is_to_head=False,
            is_repeatable=True,
            target_s=target_s,
            ends_at=calls.ends_at,
            call_timeout_s=request.call_timeout_ms / MS_PER_S,
            top=request.top,
        )
        caller = LeafCaller(self._fleet, spec, reply_times, is_helper=True)
        if request.delegation_id:
            self._calls_by_id[request.delegation_id] = calls
        calls.start(request.parts, caller)
        first_response_s = request.first_response_ms / MS_PER_S
        await calls.wait(min(first_response_s, hedge_delay.delay_s))
        continuation_id = next(self._continuation_ids)
        response = calls.take(continuation_id, is_merged=True)
        revision = self._freshness.revision or NO_REVISION
        response.revision = revision.number
        response.era = revision.era
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
        self._calls_by_id = {
            delegation_id: calls
            for delegation_id, calls in self._calls_by_id.items()
            if calls.is_running and calls.ends_at >= now
        }


def _declined(request: DelegationRequest, detail: str) -> HelperResponse:
    kind = Failure.NOT_RUN.value
    failed = [
        FailedPart(part, "", kind, detail, was_sent=False)
        for part in request.parts
    ]
    return HelperResponse(0, [], failed, [])


def _encoded(response: HelperResponse) -> Response:
    headers = [(b"Content-Type", CONTENT_TYPE.encode())]
    return Response(OK, headers, msgspec.msgpack.encode(response))
