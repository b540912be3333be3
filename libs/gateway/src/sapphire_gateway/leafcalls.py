"""Choice of a leaf for each call, and the evaluation of its result."""

from __future__ import annotations

import functools
import math
from collections.abc import Callable, Container
from dataclasses import dataclass

import trio
from sapphire_core.choice import CallProfile, Candidate, Estimate, choose_leaf
from sapphire_core.fanout import Failure
from sapphire_core.hedging import HedgeDelay
from sapphire_core.latency import RunningQuantile
from sapphire_core.leafset import LeafEntry

from sapphire_gateway import telemetry
from sapphire_gateway.calls import (
    MISDIRECTED,
    Call,
    CallResult,
    parse_load_report,
    parse_statement,
)
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.leafendpoint import LeafEndpoint, LostCall
from sapphire_gateway.messages import Reply
from sapphire_gateway.records import RECORD_BYTES, greatest
from sapphire_gateway.replyreader import (
    SMALL_REPLY_LIMITS,
    ReplyLimits,
    part_limits,
)

# All reply times are dropped above this number of routes: routes of earlier
# configurations are not removed one by one.
MAX_ROUTES = 4096
# Leaves in the log line of a request that were passed over.
MAX_LOGGED_LEAVES = 6


@dataclass(slots=True)
class ReplyTimes:
    """Distribution of the reply times of a route's calls to leaves."""

    median: RunningQuantile
    p95: RunningQuantile
    hedge_delay: HedgeDelay

    @classmethod
    def for_target(cls, target_s: float) -> ReplyTimes:
        """Starts with estimates derived from the route's target latency."""
        target_ms = target_s * 1000
        return cls(
            RunningQuantile(0.5, target_ms * 0.2),
            RunningQuantile(0.95, target_ms * 0.4),
            HedgeDelay(target_s),
        )

    def add(self, elapsed_s: float) -> None:
        """Adds a reply time."""
        self.median.add(elapsed_s * 1000)
        self.p95.add(elapsed_s * 1000)

    @property
    def is_learned(self) -> bool:
        """Whether the values are based on enough replies."""
        return self.median.is_learned

    @property
    def median_s(self) -> float:
        """Median reply time in seconds."""
        return self.median.value_ms / 1000

    @property
    def p95_s(self) -> float:
        """95th percentile of the reply times in seconds."""
        return self.p95.value_ms / 1000


class ReplyTimesByRoute:
    """Reply times, by route name and services."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, ...], ReplyTimes] = {}

    def get_or_create(
        self, key: tuple[str, ...], target_s: float
    ) -> ReplyTimes:
        """Returns the reply times of a key, which are created if needed."""
        known = self._known.get(key)
        if known is None:
            if len(self._known) >= MAX_ROUTES:
                self._known.clear()
            known = ReplyTimes.for_target(target_s)
            self._known[key] = known
        return known


@dataclass(slots=True)
class LeafChoice:
    """The leaf chosen for a call."""

    entry: LeafEntry
    endpoint: LeafEndpoint
    estimate: Estimate


@dataclass(frozen=True, slots=True)
class CallSpec:
    """Properties that all calls of one request share.

    Attributes:
        request_head: Request line and headers for the leaves, without the
            headers that differ from call to call.
        body: Body for the leaves.
        request_id: Identifier that replies must repeat if they have one.
        fingerprint: Equal for repeated requests, whoever sends them.
        is_canary: Whether the request is suspected of crashing leaves.
        is_to_head: Whether the method is HEAD, so that replies have no body.
        is_repeatable: Whether leaves may run the request more than once.
        target_s: Target latency of the whole request.
        ends_at: Time after which replies are of no use.
        call_timeout_s: Time limit of each call, in addition to ends_at.
        top: Number of records that the request needs of each reply at most;
            None unless it is a search.
    """

    request_head: bytes
    body: bytes
    request_id: bytes
    fingerprint: str
    is_to_head: bool
    is_repeatable: bool
    target_s: float
    ends_at: float
    call_timeout_s: float
    is_canary: bool = False
    top: int | None = None

    @property
    def reply_limits(self) -> ReplyLimits:
        """Limits of each reply."""
        if self.top is None:
            return SMALL_REPLY_LIMITS
        return part_limits(self.top * RECORD_BYTES)


class LeafCaller:
    """Sends the calls of one request and evaluates their results.

    Attributes:
        passed_over: Ids of the first leaves that were not chosen for what they
            have asked for (a limit or a pause), for the log.
    """

    def __init__(
        self,
        fleet: Fleet,
        spec: CallSpec,
        reply_times: ReplyTimes,
        is_helper: bool = False,
    ) -> None:
        """Creates a caller that has sent nothing.

        Args:
            fleet: Leaves and their connections.
            spec: Properties of all calls.
            reply_times: Reply times of such calls.
            is_helper: Whether the calls are made for another VM, which may
                know of more replies to the request.
        """
        self._fleet = fleet
        self._spec = spec
        self._reply_times = reply_times
        # Services of which a leaf has answered.
        self._answered: set[str] = set()
        self.passed_over: set[str] = set()
        self._blames_silence = not is_helper

    def record_answer(self) -> None:
        """Records that some leaf has answered the request.

        A leaf that falls silent then has another reason: unlike a crash, which
        may be due to the data of its service, silence is mostly the fault of a
        VM or of the network.
        """
        self._blames_silence = False

    def choose(
        self, service: str, tried: Container[str], now: float
    ) -> LeafChoice | None:
        """Returns the best leaf of a service that has not been tried.

        Returns None if no leaf may get a request, or if the best one is down
        and already has a call without a reply.
        """
        fleet = self._fleet
        leaves = []
        endpoints = []
        for leaf in fleet.view.registry.candidates(service, now):
            if leaf.entry.leaf_id in tried or not fleet.may_send(leaf, now):
                continue
            endpoint = fleet.pool.get_or_create(leaf.entry)
            if fleet.has_room(endpoint, now):
                leaves.append(leaf)
                endpoints.append(endpoint)
            else:
                telemetry.PASSED_OVER.inc()
                if len(self.passed_over) < MAX_LOGGED_LEAVES:
                    self.passed_over.add(leaf.entry.leaf_id)
        if not leaves:
            return None
        leaf_candidates = [
            Candidate(
                endpoint.load,
                leaf.entry.domain == fleet.domain,
                leaf.is_cold(now),
                endpoint.expected_connect_s,
            )
            for leaf, endpoint in zip(leaves, endpoints, strict=True)
        ]
        profile = CallProfile(self._reply_times.median_s, self._spec.target_s)
        index, estimate = choose_leaf(leaf_candidates, profile, now)
        load = endpoints[index].load
        if load.is_down(now) and load.waiting:
            return None
        return LeafChoice(
            leaves[index].entry,
            endpoints[index],
            estimate,
        )

    def room_at(self, service: str, now: float) -> float:
        """Returns when a leaf of a service may get a request.

        Returns infinity if none is expected to.
        """
        fleet = self._fleet
        return min(
            (
                fleet.room_at(fleet.pool.get_or_create(leaf.entry), now)
                for leaf in fleet.view.registry.candidates(service, now)
                if fleet.may_send(leaf, now)
            ),
            default=math.inf,
        )

    def send(
        self,
        choice: LeafChoice,
        on_end: Callable[[CallResult], None],
        now: float,
    ) -> Call:
        """Sends a call; on_end is called once with its result."""
        call = self._create_call(choice.entry, now)
        self._fleet.reserve(choice.endpoint, call)
        call.on_end = functools.partial(
            self._handle_result, call, choice.entry, choice.endpoint, on_end
        )
        self._fleet.pool.call(choice.endpoint, call)
        return call

    def _create_call(self, entry: LeafEntry, now: float) -> Call:
        spec = self._spec
        time_left = min(spec.ends_at - now, spec.call_timeout_s)
        time_left = max(0.001, time_left)
        header_names = self._fleet.header_names
        payload = b"%s%s: %s\r\n%s: %d\r\n\r\n%s" % (
            spec.request_head,
            header_names.target_leaf,
            entry.leaf_id.encode(),
            header_names.deadline_ms,
            max(1, int(time_left * 1000)),
            spec.body,
        )
        return Call(
            payload,
            spec.request_id,
            spec.is_to_head,
            not spec.is_repeatable,
            now + time_left,
            _ignore_result,
            now,
            spec.fingerprint,
            # Once a leaf has answered, the request is no longer suspected.
            spec.is_canary and not self._answered,
            reply_limits=spec.reply_limits,
        )

    def _handle_result(
        self,
        call: Call,
        entry: LeafEntry,
        endpoint: LeafEndpoint,
        on_end: Callable[[CallResult], None],
        result: CallResult,
    ) -> None:
        self._record_result(call, entry, endpoint, result, trio.current_time())
        if result.reply is not None:
            self._drop_surplus_records(result.reply)
        on_end(result)

    def _drop_surplus_records(self, reply: Reply) -> None:
        """Drops records that can't be among the greatest of all parts.

        The replies to a search are kept until its answer, and a leaf may send
        more than the search needs.
        """
        top = self._spec.top
        if top is not None and len(reply.body) > 2 * top * RECORD_BYTES:
            reply.body = greatest((reply.body,), top)

    def _record_result(
        self,
        call: Call,
        entry: LeafEntry,
        endpoint: LeafEndpoint,
        result: CallResult,
        now: float,
    ) -> None:
        load = endpoint.load
        if result.reply is not None:
            report = parse_load_report(result.reply, self._fleet.header_names)
            if report is not None:
                load.record_load(report.running, report.queued, now)
            if result.reply.status != MISDIRECTED:
                self._record_terms(entry, endpoint, result.reply, now)
        if result.failure is None:
            self._answered.add(entry.service)
            self._fleet.view.crashes.record_survival(
                call.fingerprint, entry.service, call.is_canary, now
            )
            elapsed = now - (call.sent_at or call.created_at)
            load.record_reply(
                call.number, elapsed, self._reply_times.median_s, now
            )
            self._reply_times.add(elapsed)
            return
        if (
            result.failure is Failure.ANSWERED
            and entry.service not in self._answered
        ):
            endpoint.record_failed_reply(call, now)
        if result.failure is Failure.LOST and result.was_sent:
            self._record_lost_call(call, entry, endpoint, result, now)
        if call.is_cancelled or not result.was_sent:
            load.waiting.pop(call.number, None)
            return
        load.record_failure(call.number, now)
        # A leaf that has reset one connection and keeps others is reachable.
        is_reset = result.is_closed_by_server and endpoint.is_connected
        if result.is_silent and not is_reset:
            load.record_unreachable(now)
        if result.reply is not None and result.failure is Failure.NOT_RUN:
            self._fleet.handle_rejection(entry, result.reply)

    def _record_terms(
        self,
        entry: LeafEntry,
        endpoint: LeafEndpoint,
        reply: Reply,
        now: float,
    ) -> None:
        """Records what the leaf asks for in a reply."""
        statement = parse_statement(reply, self._fleet.header_names)
        for defect in statement.defects:
            telemetry.reject_message("statement", defect, entry.address)
        terms = endpoint.terms
        before_per_s = terms.limit_per_s
        has_changed = statement.limit_per_s is not None and terms.record_limit(
            statement.limit_per_s, now
        )
        if has_changed and not terms.has_limit:
            self._fleet.on_limit_end(entry)
        if statement.pause_s:
            terms.record_pause(statement.pause_s, now)
            self._fleet.pool.reject_queued(
                endpoint, "the leaf asked for a pause"
            )
        elif reply.is_success:
            terms.record_answer(now)
        if statement.is_leaving:
            registry = self._fleet.view.registry
            if registry.record_leaving(entry.incarnation, now):
                has_changed = True
                self._fleet.pool.place_waiting_anew()
        if has_changed or statement.pause_s:
            telemetry.leaf_event(
                now,
                "leaf_terms",
                leaf=entry.leaf_id,
                service=entry.service,
                limit_per_s=_for_log(terms.limit_per_s),
                limit_before=_for_log(before_per_s),
                pause_s=statement.pause_s,
                leaving=statement.is_leaving,
            )

    def _record_lost_call(
        self,
        call: Call,
        entry: LeafEntry,
        endpoint: LeafEndpoint,
        result: CallResult,
        now: float,
    ) -> None:
        """Records that a leaf may have crashed while it ran the request.

        Whether the caller has left makes no difference to that.
        """
        is_lost = result.is_closed_by_server or (
            result.is_silent and self._blames_silence
        )
        if is_lost and entry.service not in self._answered:
            endpoint.lost_calls[call.fingerprint] = LostCall(
                call.fingerprint,
                call.is_canary,
                not result.is_closed_by_server,
                now,
            )
        telemetry.leaf_event(
            now,
            "call_lost",
            request=call.request_id.decode("latin-1"),
            fingerprint=call.fingerprint,
            leaf=entry.leaf_id,
            service=entry.service,
            reason=result.detail,
            ran_ms=round((now - call.sent_at) * 1000, 1),
            closed_by_leaf=result.is_closed_by_server,
            silent=result.is_silent,
            caller_left=call.is_cancelled,
        )


def _for_log(limit_per_s: float) -> float | None:
    return limit_per_s if math.isfinite(limit_per_s) else None


def _ignore_result(result: CallResult) -> None:
    """Placeholder that is replaced before the call is sent."""
