"""Handling of callers' requests: checks, execution and answer."""

from __future__ import annotations

import math
import random
import zlib

import trio
from sapphire_core.crashsuspects import CrashVerdict
from sapphire_core.fanout import FanOutPolicy, Verdict, min_parts_for_share
from sapphire_core.margin import AnswerMargin
from sapphire_core.overload import Forecast, forecast
from sapphire_core.routing import Configuration, Kind, Route

from sapphire_gateway import telemetry
from sapphire_gateway.callers import HEAD, Caller
from sapphire_gateway.calls import REFUSAL_STATUSES
from sapphire_gateway.crashes import request_fingerprint
from sapphire_gateway.decoding import parse_count
from sapphire_gateway.execution import RequestExecution
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.headernames import HOP_BY_HOP_HEADERS
from sapphire_gateway.job import Job, Outcome
from sapphire_gateway.leafcalls import ReplyTimes, ReplyTimesByRoute
from sapphire_gateway.messages import (
    Headers,
    Reply,
    Request,
    Response,
    error_response,
    header,
)
from sapphire_gateway.records import greatest

# Retry-After of refused requests.
RETRY_UNCONFIGURED_S = 0.3
RETRY_NO_LEAF_S = 0.5
RETRY_FULL_S = 0.1
MAX_RETRY_LIMITED_S = 2.0
# While the VM is being stopped, requests are refused unless so many times the
# 95th percentile of reply times is left: for requests that may be repeated, and
# for those that must not.
STOP_FACTOR = 2.0
STOP_FACTOR_ONCE = 4.0
# Reasons for which suspected requests are refused.
CRASH_REFUSALS = {
    CrashVerdict.HELD: "may crash leaves",
    CrashVerdict.QUARANTINED: "crashes leaves",
}
# A request is ended this long before the last time at which its answer would
# still reach the caller by the deadline.
GIVE_UP_MARGIN_S = 0.01
# Host and target are logged up to this size.
MAX_LOGGED_BYTES = 200


class Gateway:
    """Answers the requests of callers."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._header_names = fleet.header_names
        self._reply_times_by_route = ReplyTimesByRoute()
        self._request_log = telemetry.RequestLogLimiter()
        self._ranked_configuration: Configuration | None = None
        self._priorities: list[int] = []
        self._running: set[RequestExecution] = set()
        # Time at which all requests end; infinity unless the VM is stopping.
        self._ends_at = math.inf
        self.margin = AnswerMargin()

    def begin_stop(self, ends_at: float) -> None:
        """Refuses from now on what would not be answered in time.

        Args:
            ends_at: Time at which `end_requests` is called.
        """
        self._ends_at = ends_at

    def end_requests(self) -> None:
        """Answers all requests with what has arrived."""
        for execution in self._running:
            execution.end()

    async def handle(self, request: Request, caller: Caller) -> Response:
        """Answers one request."""
        if request.is_first:
            self.margin.record_round_trip(caller.round_trip_s)
        configuration = self._fleet.view.configuration
        if configuration is None:
            return self._refuse(
                request, 503, "no configuration yet", RETRY_UNCONFIGURED_S
            )
        request_id = header(
            request.headers, self._header_names.request_id.lower()
        )
        host = header(request.headers, b"host")
        if request_id is None or host is None:
            return self._refuse(request, 400, "no request id or no host")
        target = request.target.decode("latin-1")
        route = self._fleet.view.table.match(host.decode("latin-1"), target)
        if route is None:
            return self._refuse(request, 404, "no route")
        fingerprint = request_fingerprint(
            request.method, host, request.target, request.body
        )
        suspects = self._fleet.view.crashes.suspects
        verdict = suspects.verdict(fingerprint, trio.current_time())
        if verdict in CRASH_REFUSALS:
            return self._refuse(
                request,
                503,
                CRASH_REFUSALS[verdict],
                suspects.record_refusal(fingerprint, trio.current_time()),
                route,
                fingerprint=fingerprint,
            )
        is_canary = verdict is CrashVerdict.CANARY
        job = self._create_job(
            request, request_id, route, fingerprint, is_canary
        )
        reply_times = self._reply_times_of(route)
        if self._is_too_late(route, reply_times):
            return self._refuse(request, 503, "the VM is stopping", 0.0, route)
        execution = RequestExecution(job, self._fleet, reply_times)
        now = trio.current_time()
        estimates = execution.plan(now)
        if len(estimates) < job.policy.min_parts:
            return self._refuse_without_leaves(request, route, execution, now)
        load_forecast = forecast(
            estimates,
            job.policy.min_parts,
            max(job.policy.answer_at - now, 0.0),
            self._priority_rank(route, configuration),
        )
        if load_forecast.is_refused and reply_times.is_learned:
            return self._refuse(
                request,
                503,
                "overloaded",
                load_forecast.retry_after_s(random.random()),
                route,
                load_forecast,
            )
        if not is_canary:
            return await self._execute(request, job, execution, caller)
        suspects.begin_canary(fingerprint, job.policy.give_up_at)
        try:
            return await self._execute(request, job, execution, caller)
        finally:
            suspects.end_canary(fingerprint, trio.current_time())

    def _refuse_without_leaves(
        self,
        request: Request,
        route: Route,
        execution: RequestExecution,
        now: float,
    ) -> Response:
        wait_s = execution.room_wait_s(now)
        if not 0.0 < wait_s < math.inf:
            return self._refuse(
                request, 503, "too few leaves", RETRY_NO_LEAF_S, route
            )
        # Callers who come back at the same moment would be refused again.
        retry_after_s = min(
            MAX_RETRY_LIMITED_S, wait_s * (1.0 + random.random())
        )
        return self._refuse(
            request,
            503,
            "leaves have asked for a pause or a limit",
            retry_after_s,
            route,
            passed_over=execution.passed_over,
        )

    def answer_sent(self, request: Request, now: float) -> None:
        """Records the delay of an answer that was due at a planned time."""
        if request.planned_at is not None:
            self.margin.record_send_delay(now - request.planned_at)

    async def _execute(
        self,
        request: Request,
        job: Job,
        execution: RequestExecution,
        caller: Caller,
    ) -> Response:
        with (
            telemetry.RUNNING.track_inprogress(),
            caller.notify_on_disconnect(execution.cancel),
        ):
            self._running.add(execution)
            try:
                outcome = await execution.execute()
            finally:
                self._running.discard(execution)
        now = trio.current_time()
        if (
            outcome.waited_for_missing_parts
            and outcome.verdict is Verdict.ANSWER
        ):
            request.planned_at = job.policy.answer_at
        answer = self._build_answer(job, outcome, now)
        self._record_outcome(request, job, outcome, answer, now, caller)
        return answer

    def _is_too_late(self, route: Route, reply_times: ReplyTimes) -> bool:
        """Returns whether a request may not be answered before the VM stops.

        A request that must not be repeated is refused earlier: if its answer is
        lost, its caller does not know whether it took effect.
        """
        if self._ends_at == math.inf:
            return False
        is_repeatable = route.kind is Kind.IDEMPOTENT
        if reply_times.is_learned:
            factor = STOP_FACTOR if is_repeatable else STOP_FACTOR_ONCE
            needed_s = factor * reply_times.p95_s
        else:
            needed_s = route.target_s if is_repeatable else route.timeout_s
        return trio.current_time() + needed_s > self._ends_at

    def _create_job(
        self,
        request: Request,
        request_id: bytes,
        route: Route,
        fingerprint: str,
        is_canary: bool,
    ) -> Job:
        if route.gather is not None:
            parts = route.gather.shards
            min_parts = min_parts_for_share(len(parts), route.gather.min_share)
        else:
            parts = (self._fleet.view.splits.choose(route),)
            min_parts = 1
        policy = self._create_policy(request, route, min_parts)
        return Job(
            request_id,
            self._leaf_request_head(request),
            request.body,
            request.method == HEAD,
            fingerprint,
            route,
            parts,
            policy,
            request.received_at,
            is_canary,
        )

    def _create_policy(
        self, request: Request, route: Route, min_parts: int
    ) -> FanOutPolicy:
        started_at = request.received_at - self.margin.request_delay_s(
            request.is_first
        )
        delivery_delay_s = self.margin.delivery_delay_s()
        timeout_s = route.timeout_s
        stated_ms = header(
            request.headers, self._header_names.deadline_ms.lower()
        )
        timeout_ms = None if stated_ms is None else parse_count(stated_ms)
        if timeout_ms is not None:
            timeout_s = min(timeout_s, timeout_ms / 1000)
        give_up_at = (
            started_at + timeout_s - delivery_delay_s - GIVE_UP_MARGIN_S
        )
        hedge_s = self._reply_times_of(route).hedge_delay.delay_s
        return FanOutPolicy(
            min_parts,
            max(1, route.max_attempts),
            route.kind is Kind.IDEMPOTENT,
            min(started_at + route.target_s - delivery_delay_s, give_up_at),
            request.received_at + hedge_s,
            give_up_at,
        )

    def _priority_rank(self, route: Route, configuration: Configuration) -> int:
        """Returns the number of priorities that are more urgent."""
        if configuration is not self._ranked_configuration:
            self._ranked_configuration = configuration
            self._priorities = sorted(
                {known.priority for known in configuration.routes}
            )
        return self._priorities.index(route.priority)

    def _reply_times_of(self, route: Route) -> ReplyTimes:
        key = (route.name, *(share.service for share in route.shares))
        return self._reply_times_by_route.get_or_create(key, route.target_s)

    def _leaf_request_head(self, request: Request) -> bytes:
        dropped = _connection_options(request.headers) | HOP_BY_HOP_HEADERS
        set_per_call = {
            self._header_names.deadline_ms.lower(),
            self._header_names.target_leaf.lower(),
        }
        lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
        lines.extend(
            b"%s: %s" % pair
            for pair in request.headers
            if pair[0] not in dropped and pair[0] not in set_per_call
        )
        if request.body or request.method not in (b"GET", HEAD):
            lines.append(b"content-length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n"

    def _build_answer(self, job: Job, outcome: Outcome, now: float) -> Response:
        if outcome.verdict is Verdict.ANSWER:
            if job.is_search:
                return self._merge_replies(job, outcome)
            return self._forward_reply(next(iter(outcome.replies.values())))
        if not outcome.may_have_run:
            return error_response(503, "the leaves are full", RETRY_FULL_S)
        failure_reply = outcome.failure_reply
        if failure_reply is not None and not job.is_search:
            if failure_reply.status in REFUSAL_STATUSES:
                # The leaf does not say that it has not run the request, and a
                # caller would conclude that from the status.
                return error_response(502, "the leaf failed")
            return self._forward_reply(failure_reply)
        if outcome.was_ended:
            return error_response(504, "the VM is stopping")
        if now >= job.policy.give_up_at:
            return error_response(504, "no reply in time")
        return error_response(502, "the leaves failed")

    def _merge_replies(self, job: Job, outcome: Outcome) -> Response:
        assert job.route.gather is not None
        name = self._header_names.signature.lower()
        signatures = [r.get(name) or b"" for r in outcome.replies.values()]
        body = greatest(
            (reply.body for reply in outcome.replies.values()),
            job.route.gather.top,
        )
        missing = len(job.parts) - len(outcome.replies)
        return Response(
            200,
            [
                (self._header_names.request_id, job.request_id),
                (self._header_names.signatures, b", ".join(signatures)),
                (self._header_names.missing_parts, b"%d" % missing),
                (b"Content-Type", b"application/octet-stream"),
            ],
            body,
        )

    def _forward_reply(self, reply: Reply) -> Response:
        dropped = _connection_options(reply.headers) | HOP_BY_HOP_HEADERS
        kept = [pair for pair in reply.headers if pair[0] not in dropped]
        return Response(reply.status, kept, reply.body)

    def _refuse(
        self,
        request: Request,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        route: Route | None = None,
        load_forecast: Forecast | None = None,
        fingerprint: str | None = None,
        passed_over: list[str] | None = None,
    ) -> Response:
        request_id = header(
            request.headers, self._header_names.request_id.lower()
        )
        name = route.name if route else "none"
        priority = route.priority if route else None
        telemetry.count_request(name, priority, "refused")
        telemetry.REFUSALS.labels(reason).inc()
        self._request_log.write(
            trio.current_time(),
            "request_refused",
            {
                "request": (request_id or b"").decode("latin-1"),
                "route": name,
                "status": status,
                "reason": reason,
                "fingerprint": fingerprint,
                "passed_over": passed_over or [],
                "retry_after_s": retry_after_s,
                "needed_ms": load_forecast
                and round(load_forecast.needed_s * 1000, 1),
                "allowed_ms": load_forecast
                and round(load_forecast.allowed_s * 1000, 1),
                **self._configuration_fields(),
            },
        )
        return error_response(status, reason, retry_after_s)

    def _record_outcome(
        self,
        request: Request,
        job: Job,
        outcome: Outcome,
        answer: Response,
        now: float,
        caller: Caller,
    ) -> None:
        route = job.route
        elapsed_s = now - request.received_at
        missing = len(job.parts) - len(outcome.replies)
        result = _result_label(answer, missing, elapsed_s > route.target_s)
        telemetry.count_request(route.name, route.priority, result)
        telemetry.LATENCY.labels(route.name).observe(elapsed_s)
        if outcome.verdict is Verdict.ANSWER:
            telemetry.PARTS_MISSING.inc(missing)
        if outcome.is_suspicious:
            self._log_suspicious_request(request, job, caller, now)
        self._request_log.write(
            now,
            "request",
            {
                "request": job.request_id.decode("latin-1"),
                "route": route.name,
                "result": "caller left" if caller.is_disconnected else result,
                "status": answer.status,
                "parts": len(job.parts),
                "missing": missing,
                "hedges": outcome.hedges,
                "retries": outcome.retries,
                "helped": outcome.delegated_count,
                "failures": outcome.failures,
                "passed_over": outcome.passed_over,
                "elapsed_ms": round(elapsed_s * 1000, 1),
                "answer_in_ms": round(
                    (job.policy.answer_at - request.received_at) * 1000, 1
                ),
                **self._configuration_fields(),
            },
        )

    def _log_suspicious_request(
        self, request: Request, job: Job, caller: Caller, now: float
    ) -> None:
        """Logs what identifies a request that has lost leaves."""
        host = header(request.headers, b"host") or b""
        telemetry.leaf_event(
            now,
            "request_suspicious",
            request=job.request_id.decode("latin-1"),
            fingerprint=job.fingerprint,
            caller=caller.host,
            method=request.method.decode("latin-1"),
            host=host[:MAX_LOGGED_BYTES].decode("latin-1"),
            target=request.target[:MAX_LOGGED_BYTES].decode("latin-1"),
            body_bytes=len(request.body),
            body_crc32=zlib.crc32(request.body),
            canary=job.is_canary,
        )

    def _configuration_fields(self) -> dict[str, object]:
        view = self._fleet.view
        configuration = view.configuration
        age_s = view.freshness.age_s(trio.current_time())
        return {
            "version": configuration.version if configuration else None,
            "revision": view.revision,
            "learned_s_ago": round(age_s, 1),
        }


def _result_label(answer: Response, missing: int, is_late: bool) -> str:
    if not 200 <= answer.status < 300:
        return "refused" if answer.status == 503 else "failed"
    if missing:
        return "incomplete"
    return "late" if is_late else "good"


def _connection_options(headers: Headers) -> frozenset[bytes]:
    """Returns the header names that a Connection header lists."""
    value = header(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(b","))
