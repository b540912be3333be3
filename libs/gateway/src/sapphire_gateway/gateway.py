"""Requests of callers: checks, run and answer."""

from __future__ import annotations

import random

import trio
from sapphire_core.fanout import Terms, Verdict, least_parts
from sapphire_core.margin import AnswerMargin
from sapphire_core.overload import Forecast, forecast
from sapphire_core.routing import Configuration, Kind, Route

from sapphire_gateway import telemetry
from sapphire_gateway.callers import HEAD, Caller
from sapphire_gateway.crashes import QUARANTINE_S, fingerprint
from sapphire_gateway.dialect import CONNECTION_HEADERS
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.job import Job, Outcome
from sapphire_gateway.leafcalls import Expectation, Expectations
from sapphire_gateway.messages import Answer, Headers, Reply, Request, header
from sapphire_gateway.records import greatest
from sapphire_gateway.run import Run

# When a refused caller should come back.
RETRY_UNCONFIGURED_S = 0.3
RETRY_NO_LEAF_S = 0.5
RETRY_FULL_S = 0.1
RETRY_QUARANTINED_S = QUARANTINE_S
# A hedge is sent when a call takes longer than 19 of 20 do, but within these
# parts of the route's target.
EARLIEST_HEDGE_PART = 0.15
LATEST_HEDGE_PART = 0.5
# The final answer leaves this long before the caller gives up.
FINAL_MARGIN_S = 0.01


class Gateway:
    """Answers the requests of callers."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._dialect = fleet.dialect
        self._expectations = Expectations()
        self._lines = telemetry.RequestLogLimiter()
        self._ranked: Configuration | None = None
        self._priorities: list[int] = []
        self.margin = AnswerMargin()

    async def handle(self, request: Request, caller: Caller) -> Answer:
        """Answers one request."""
        if request.is_first:
            self.margin.connected(caller.round_trip_s)
        configuration = self._fleet.view.configuration
        if configuration is None:
            return self._refuse(
                request, 503, "no configuration yet", RETRY_UNCONFIGURED_S
            )
        request_id = header(request.headers, self._dialect.request_id.lower())
        host = header(request.headers, b"host")
        if request_id is None or host is None:
            return self._refuse(request, 400, "no request id or no host")
        target = request.target.decode("latin-1")
        route = self._fleet.view.table.match(host.decode("latin-1"), target)
        if route is None:
            return self._refuse(request, 404, "no route")
        job = self._job(request, request_id, route, caller.host)
        if self._fleet.view.crashes.is_refused(
            job.fingerprint, trio.current_time()
        ):
            return self._refuse(
                request, 503, "crashes leaves", RETRY_QUARANTINED_S, route
            )
        expects = self._expectation_of(route)
        run = Run(job, self._fleet, expects)
        now = trio.current_time()
        estimates = run.plan(now)
        if len(estimates) < job.terms.least:
            return self._refuse(
                request, 503, "too few leaves", RETRY_NO_LEAF_S, route
            )
        outlook = forecast(
            estimates,
            job.terms.least,
            max(job.terms.answer_at - now, 0.0),
            self._steps_below(route, configuration),
        )
        if outlook.is_refused and expects.is_learned:
            return self._refuse(
                request,
                503,
                "overloaded",
                outlook.return_after_s(random.random()),
                route,
                outlook,
            )
        return await self._run(request, job, run, caller)

    def sent(self, request: Request, now: float) -> None:
        """Learns how late an answer with parts missing left."""
        if request.planned_at is not None:
            self.margin.left(now - request.planned_at)

    async def _run(
        self, request: Request, job: Job, run: Run, caller: Caller
    ) -> Answer:
        with (
            telemetry.RUNNING.track_inprogress(),
            caller.watched(run.caller_left),
        ):
            outcome = await run.finish()
        now = trio.current_time()
        if outcome.was_planned and outcome.verdict is Verdict.ANSWER:
            request.planned_at = job.terms.answer_at
        answer = self._answer(job, outcome, now)
        self._report(request, job, outcome, answer, now, caller)
        return answer

    def _job(
        self,
        request: Request,
        request_id: bytes,
        route: Route,
        caller_host: str,
    ) -> Job:
        if route.gather is not None:
            parts = route.gather.shards
            least = least_parts(len(parts), route.gather.least_share)
        else:
            parts = (self._fleet.view.splits.choose(route),)
            least = 1
        terms = self._terms(request, route, least)
        return Job(
            request_id,
            self._leaf_head(request),
            request.body,
            request.method == HEAD,
            fingerprint(
                request.method, request.target, request.body, caller_host
            ),
            route,
            parts,
            terms,
        )

    def _terms(self, request: Request, route: Route, least: int) -> Terms:
        began = request.received_at - self.margin.before_s(request.is_first)
        after_s = self.margin.after_s()
        patience_s = route.timeout_s
        stated = header(request.headers, self._dialect.time_left.lower())
        if stated is not None and stated.strip().isdigit():
            patience_s = min(patience_s, int(stated) / 1000)
        give_up_at = began + patience_s - after_s - FINAL_MARGIN_S
        expects = self._expectation_of(route)
        hedge_s = min(
            max(expects.late_s, EARLIEST_HEDGE_PART * route.target_s),
            LATEST_HEDGE_PART * route.target_s,
        )
        return Terms(
            least,
            max(1, route.max_attempts),
            route.kind is Kind.IDEMPOTENT,
            min(began + route.target_s - after_s, give_up_at),
            request.received_at + hedge_s,
            give_up_at,
        )

    def _steps_below(self, route: Route, configuration: Configuration) -> int:
        """Counts the priorities that are more urgent than the route's."""
        if configuration is not self._ranked:
            self._ranked = configuration
            self._priorities = sorted(
                {known.priority for known in configuration.routes}
            )
        return self._priorities.index(route.priority)

    def _expectation_of(self, route: Route) -> Expectation:
        key = (route.name, *(share.service for share in route.shares))
        return self._expectations.of(key, route.target_s)

    def _leaf_head(self, request: Request) -> bytes:
        dropped = _named_in_connection(request.headers) | CONNECTION_HEADERS
        own = {
            self._dialect.time_left.lower(),
            self._dialect.target_leaf.lower(),
        }
        lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
        lines.extend(
            b"%s: %s" % pair
            for pair in request.headers
            if pair[0] not in dropped and pair[0] not in own
        )
        if request.body or request.method not in (b"GET", HEAD):
            lines.append(b"content-length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n"

    def _answer(self, job: Job, outcome: Outcome, now: float) -> Answer:
        if outcome.verdict is Verdict.ANSWER:
            if job.route.gather is not None:
                return self._merged(job, outcome)
            return self._forwarded(next(iter(outcome.replies.values())))
        if not outcome.may_have_run:
            return _refusal(503, "the leaves are full", RETRY_FULL_S)
        if outcome.failure_reply is not None and job.route.gather is None:
            return self._forwarded(outcome.failure_reply)
        if now >= job.terms.give_up_at:
            return _refusal(504, "no reply in time")
        return _refusal(502, "the leaves failed")

    def _merged(self, job: Job, outcome: Outcome) -> Answer:
        assert job.route.gather is not None
        name = self._dialect.signature.lower()
        signatures = [r.get(name) or b"" for r in outcome.replies.values()]
        body = greatest(
            (reply.body for reply in outcome.replies.values()),
            job.route.gather.top,
        )
        missing = len(job.parts) - len(outcome.replies)
        return Answer(
            200,
            [
                (self._dialect.request_id, job.request_id),
                (self._dialect.signatures, b", ".join(signatures)),
                (self._dialect.missing_parts, b"%d" % missing),
                (b"Content-Type", b"application/octet-stream"),
            ],
            body,
        )

    def _forwarded(self, reply: Reply) -> Answer:
        dropped = _named_in_connection(reply.headers) | CONNECTION_HEADERS
        kept = [pair for pair in reply.headers if pair[0] not in dropped]
        return Answer(reply.status, kept, reply.body)

    def _refuse(
        self,
        request: Request,
        status: int,
        reason: str,
        retry_s: float | None = None,
        route: Route | None = None,
        outlook: Forecast | None = None,
    ) -> Answer:
        request_id = header(request.headers, self._dialect.request_id.lower())
        name = route.name if route else "none"
        priority = route.priority if route else None
        telemetry.count_request(name, priority, "refused")
        self._lines.write(
            trio.current_time(),
            "request_refused",
            {
                "request": (request_id or b"").decode("latin-1"),
                "route": name,
                "status": status,
                "reason": reason,
                "retry_after_s": retry_s,
                "needed_ms": outlook and round(outlook.needed_s * 1000, 1),
                "allowed_ms": outlook and round(outlook.allowed_s * 1000, 1),
                **self._evidence(),
            },
        )
        return _refusal(status, reason, retry_s)

    def _report(
        self,
        request: Request,
        job: Job,
        outcome: Outcome,
        answer: Answer,
        now: float,
        caller: Caller,
    ) -> None:
        route = job.route
        elapsed_s = now - request.received_at
        missing = len(job.parts) - len(outcome.replies)
        result = _result(answer, missing, elapsed_s > route.target_s)
        telemetry.count_request(route.name, route.priority, result)
        telemetry.LATENCY.labels(route.name).observe(elapsed_s)
        if outcome.verdict is Verdict.ANSWER:
            telemetry.PARTS_MISSING.inc(missing)
        self._lines.write(
            now,
            "request",
            {
                "request": job.request_id.decode("latin-1"),
                "route": route.name,
                "result": "caller left" if caller.is_gone else result,
                "status": answer.status,
                "parts": len(job.parts),
                "missing": missing,
                "hedges": outcome.hedges,
                "retries": outcome.retries,
                "helped": outcome.helped,
                "failures": outcome.failures,
                "elapsed_ms": round(elapsed_s * 1000, 1),
                "answer_in_ms": round(
                    (job.terms.answer_at - request.received_at) * 1000, 1
                ),
                **self._evidence(),
            },
        )

    def _evidence(self) -> dict[str, object]:
        view = self._fleet.view
        configuration = view.configuration
        age_s = trio.current_time() - view.updated_at
        return {
            "version": configuration.version if configuration else None,
            "revision": view.revision,
            "learned_s_ago": round(age_s, 1),
        }


def _result(answer: Answer, missing: int, is_late: bool) -> str:
    if not 200 <= answer.status < 300:
        return "refused" if answer.status == 503 else "failed"
    if missing:
        return "incomplete"
    return "late" if is_late else "good"


def _named_in_connection(headers: Headers) -> frozenset[bytes]:
    """Returns the headers that a Connection header declares private."""
    value = header(headers, b"connection")
    if value is None:
        return frozenset()
    return frozenset(name.strip().lower() for name in value.split(b","))


def _refusal(status: int, reason: str, retry_s: float | None = None) -> Answer:
    headers: Headers = [(b"Content-Type", b"text/plain")]
    if retry_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_s))
    return Answer(status, headers, reason.encode())
