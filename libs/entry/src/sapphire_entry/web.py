"""HTTP interface for callers."""

from __future__ import annotations

import json
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import trio
from eliot import log_message
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from sapphire_core.admission import ClassLimit
from sapphire_core.burn import CANCELLED
from sapphire_core.errors import (
    BadRequestError,
    CallerDisconnectedError,
    DeadlinePassedError,
    KeyConflictError,
    MethodNotAllowedError,
    NotFoundError,
    OutcomeUnknownError,
    OutOfServiceError,
    RunState,
    SapphireError,
    ShuttingDownError,
    SlowBodyError,
    TooLargeError,
    UnknownServiceError,
)
from sapphire_core.quarantine import fingerprint
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from sapphire_entry import metrics
from sapphire_entry.entry import Entry
from sapphire_entry.gather import Gather
from sapphire_entry.lifecycle import Phase
from sapphire_entry.requests import (
    SearchRequest,
    SubmitRequest,
    canonical_json,
    parse_body,
    read_body,
)
from sapphire_entry.search import Query
from sapphire_entry.shardcalls import REASON_DEADLINE
from sapphire_entry.status import status
from sapphire_entry.submit import SubmitTask

# Share of the deadline that is reserved for merging and sending the response.
ANSWER_MARGIN_SHARE = 0.05
MIN_ANSWER_MARGIN_MS = 2.0
MAX_ANSWER_MARGIN_MS = 20.0

UNKNOWN_LABEL = "none"
SUBMIT_CLASS = "submit"
_CLIENT_ERRORS = (
    BadRequestError,
    UnknownServiceError,
    TooLargeError,
    SlowBodyError,
    KeyConflictError,
)
_LATE_ERRORS = (DeadlinePassedError, OutcomeUnknownError)


@dataclass(slots=True)
class RequestRecord:
    """Metric labels and start time of a request."""

    started: float
    service: str = UNKNOWN_LABEL
    request_class: str = UNKNOWN_LABEL
    result: str = "good"

    def publish(self) -> None:
        """Updates the request metrics."""
        elapsed_s = trio.current_time() - self.started
        labels = (self.service, self.request_class)
        metrics.REQUESTS.labels(*labels, self.result).inc()
        metrics.REQUEST_SECONDS.labels(*labels).observe(elapsed_s)


Handler = Callable[[Request, RequestRecord], Awaitable[dict[str, Any]]]


def answer_margin_ms(deadline_ms: float) -> float:
    """Returns how long before the deadline the response is due."""
    share = deadline_ms * ANSWER_MARGIN_SHARE
    return min(
        max(share, MIN_ANSWER_MARGIN_MS), MAX_ANSWER_MARGIN_MS, deadline_ms / 2
    )


class Api:
    """HTTP handlers of an entry."""

    def __init__(self, entry: Entry) -> None:
        """Creates the handlers of an entry."""
        self._entry = entry

    async def search(self, request: Request) -> Response:
        """Handles POST /v1/search."""
        return await self._run(request, self._search)

    async def submit(self, request: Request) -> Response:
        """Handles POST /v1/submit."""
        return await self._run(request, self._submit)

    async def addresses(self, request: Request) -> Response:
        """Handles GET /v1/addresses."""
        entry = self._entry
        preferred_domain = request.query_params.get("failure_domain")
        listed = entry.addresses(preferred_domain)
        return self._reply(
            {
                "addresses": [_address_fields(item) for item in listed],
                "keep_ms": round(entry.lifecycle.address_ttl_s * 1000),
                "revision": entry.config.revision,
            }
        )

    async def status(self, request: Request) -> Response:
        """Handles GET /v1/status."""
        return self._reply(status(self._entry))

    async def metrics(self, request: Request) -> Response:
        """Handles GET /metrics."""
        metrics.RUNNING_REQUESTS.set(self._entry.admission.running)
        return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)

    async def readyz(self, request: Request) -> Response:
        """Handles GET /readyz."""
        phase = self._entry.lifecycle.phase
        status = 200 if phase is Phase.READY else 503
        return self._reply({"phase": phase.value}, status)

    async def not_found(self, request: Request, error: Exception) -> Response:
        """Handles a request for an unknown path."""
        del error
        return self._refuse(NotFoundError(f"no path {request.url.path!r}."))

    async def not_allowed(self, request: Request, error: Exception) -> Response:
        """Handles a request with a method that the path does not support."""
        refusal = MethodNotAllowedError(
            f"{request.url.path!r} does not take {request.method}."
        )
        response = self._refuse(refusal)
        # HTTP requires an Allow header in a 405 response.
        headers = getattr(error, "headers", None) or {}
        response.headers.update(headers)
        return response

    async def _run(self, request: Request, handler: Handler) -> Response:
        record = RequestRecord(trio.current_time())
        try:
            return self._reply(await handler(request, record))
        except CallerDisconnectedError as error:
            return self._refuse(error)
        except SapphireError as error:
            _record_error(record, error)
            return self._refuse(error)
        except Exception as error:
            # An unexpected error in one request must not affect the others.
            record.result = "wrong"
            metrics.UNEXPECTED_ERRORS.inc()
            log_message("unexpected_error", error=repr(error))
            return self._refuse(SapphireError("unexpected error."))
        finally:
            record.publish()

    async def _search(
        self, request: Request, record: RequestRecord
    ) -> dict[str, Any]:
        config = self._admit()
        data = await read_body(request, config.document.limits)
        payload = parse_body(SearchRequest, data)
        if config.service(payload.service) is None:
            raise UnknownServiceError(f"no service {payload.service!r}.")
        request_class = config.request_class(
            payload.service, payload.request_class
        )
        if request_class is None:
            raise BadRequestError(f"no class {payload.request_class!r}.")
        record.service, record.request_class = (
            payload.service,
            request_class.name,
        )
        if payload.k > request_class.max_k:
            raise BadRequestError(f"field 'k': at most {request_class.max_k}.")
        answer_at = _answer_deadline(record.started, payload.deadline_ms)
        query = Query(
            service=payload.service,
            text=payload.text,
            k=payload.k,
            priority=request_class.priority,
            canary=request_class.canary,
            fingerprint=fingerprint(payload.service, payload.text, payload.k),
            started=record.started,
            answer_at=answer_at,
        )
        limit = ClassLimit(
            payload.service,
            request_class.name,
            request_class.priority,
            request_class.max_concurrent,
            request_class.deadline_ms,
        )
        admission = self._entry.admission
        admission.admit(limit, trio.current_time())
        try:
            gather = await self._run_while_connected(request, query)
        finally:
            admission.release(limit)
        elapsed_ms = (trio.current_time() - record.started) * 1000
        if gather is None:
            # A disconnect after the deadline of the class counts as late.
            in_time = elapsed_ms <= request_class.deadline_ms
            record.result = CANCELLED if in_time else "late"
            raise CallerDisconnectedError("the caller closed the connection.")
        if not gather.coverage.is_complete:
            record.result = "incomplete"
        elif elapsed_ms > payload.deadline_ms:
            record.result = "late"
        request_id = payload.request_id or uuid.uuid4().hex
        return _search_response(gather, request_id, elapsed_ms)

    async def _run_while_connected(
        self, request: Request, query: Query
    ) -> Gather | None:
        """Runs a query; returns None if the caller disconnects first."""
        gather: Gather | None = None
        refusal: Exception | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on_disconnect, request, nursery.cancel_scope
            )
            try:
                gather = await self._entry.searcher.run(query)
            except Exception as error:
                # Raised outside the nursery, which would wrap it in a group.
                refusal = error
            nursery.cancel_scope.cancel()
        if refusal is not None:
            raise refusal
        return gather

    async def _submit(
        self, request: Request, record: RequestRecord
    ) -> dict[str, Any]:
        config = self._admit()
        limits = config.document.limits
        data = await read_body(request, limits)
        payload = parse_body(SubmitRequest, data)
        service = config.service(payload.service)
        if service is None:
            raise UnknownServiceError(f"no service {payload.service!r}.")
        record.service, record.request_class = payload.service, SUBMIT_CLASS
        if not service.accepts_submissions:
            raise BadRequestError(f"{payload.service!r} takes no submissions.")
        task = SubmitTask(
            service=payload.service,
            idempotency_key=payload.key,
            body=canonical_json(payload.body),
            leaves=config.leaves_in_service(payload.service),
            answer_at=_answer_deadline(record.started, payload.deadline_ms),
        )
        limit = ClassLimit(
            payload.service,
            SUBMIT_CLASS,
            0,
            limits.max_concurrent,
            payload.deadline_ms,
        )
        admission = self._entry.admission
        admission.admit(limit, trio.current_time())
        try:
            result = await self._entry.submitter.run(task)
        finally:
            admission.release(limit)
        return {
            "run": RunState.RUN.value,
            "outcome": result.outcome,
            "first": result.first,
        }

    def _admit(self) -> Any:
        refusal = self._entry.lifecycle.refusal()
        if refusal is not None:
            raise refusal
        return self._entry.current_config()

    def _reply(self, body: dict[str, Any], status: int = 200) -> Response:
        response = Response(
            json.dumps(body, allow_nan=False),
            status,
            media_type="application/json",
        )
        if self._entry.lifecycle.phase in (Phase.OUT, Phase.LEAVING):
            # Makes callers with keep-alive connections reconnect elsewhere
            # before the listener closes.
            response.headers["Connection"] = "close"
        return response

    def _refuse(self, error: SapphireError) -> Response:
        body: dict[str, Any] = {
            "kind": error.kind,
            "message": error.message,
            "remedy": error.remedy,
            "run": error.run.value,
        }
        if isinstance(error, OutOfServiceError | ShuttingDownError):
            listed = self._entry.addresses(None)
            body["addresses"] = [_address_fields(item) for item in listed]
        return self._reply({"error": body}, error.status)


def build_app(api: Api) -> Starlette:
    """Builds the ASGI application of an entry."""
    return Starlette(
        routes=[
            Route("/v1/search", api.search, methods=["POST"]),
            Route("/v1/submit", api.submit, methods=["POST"]),
            Route("/v1/addresses", api.addresses, methods=["GET"]),
            Route("/v1/status", api.status, methods=["GET"]),
            Route("/metrics", api.metrics, methods=["GET"]),
            Route("/readyz", api.readyz, methods=["GET"]),
        ],
        exception_handlers={404: api.not_found, 405: api.not_allowed},
    )


async def _cancel_on_disconnect(
    request: Request, scope: trio.CancelScope
) -> None:
    """Cancels the scope when the caller disconnects."""
    while True:
        message = await request.receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


def _answer_deadline(started: float, deadline_ms: float) -> float:
    """Returns the time at which the response is due.

    Raises:
        DeadlinePassedError: This time has passed already.
    """
    answer_at = started + (deadline_ms - answer_margin_ms(deadline_ms)) / 1000
    if deadline_ms <= 0 or trio.current_time() >= answer_at:
        raise DeadlinePassedError(
            "the deadline passed before the request was started.",
            run=RunState.NOT_RUN,
        )
    return answer_at


def _record_error(record: RequestRecord, error: SapphireError) -> None:
    record.result = "late" if isinstance(error, _LATE_ERRORS) else "refused"
    if isinstance(error, _CLIENT_ERRORS):
        # Client errors are not attributed to a service in the metrics.
        record.service = record.request_class = UNKNOWN_LABEL


def _address_fields(item: Any) -> dict[str, str]:
    return {"address": item.address, "failure_domain": item.failure_domain}


def _search_response(
    gather: Gather, request_id: str, elapsed_ms: float
) -> dict[str, Any]:
    coverage = gather.coverage
    return {
        "request_id": request_id,
        "run": RunState.RUN.value,
        "matches": [
            {"id": m.document, "score": m.score, "title": m.title}
            for m in gather.matches
        ],
        "coverage": {
            "shards_total": coverage.shards_total,
            "shards_answered": coverage.shards_answered,
            "missing": [
                {"shard": item.shard, "reason": item.reason}
                for item in coverage.missing(REASON_DEADLINE)
            ],
            "documents_total": coverage.documents_total,
            "documents_answered": coverage.documents_answered,
            "complete": coverage.is_complete,
        },
        "index_version": gather.version,
        "elapsed_ms": round(elapsed_ms, 3),
    }
