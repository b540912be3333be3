"""Checks of the gateways' guarantees against the observations of a run."""

from __future__ import annotations

import collections
import math
from dataclasses import dataclass, field

from soak.callers import Attempt
from soak.leaves import Execution, Ledger, StatementArrival
from soak.operator import MIN_SHARD_SHARE, SUBMIT, TOP_K, Operator

# A gateway is disturbed when its process starts, ends or is paused, while a
# fault affects its access to the store, and while the test machine is
# overloaded (see Gateway). Faults of leaves, reloads, new configurations and
# evacuations are not disturbances. The checks of withdrawn leaves, of
# configurations and of unanswered requests skip a request if its gateway was
# disturbed within this time before the request or during it; the check of
# withdrawn leaves looks only up to the start of the execution by a leaf.
UNDISTURBED_S = 4.0
# Time within which gateways have to stop using a draining leaf.
DRAIN_LIMIT_S = 3.0
# Time within which gateways have to adopt a published configuration.
CONFIG_LIMIT_S = 3.0
# Time within which gateways have to stop using an evacuated failure domain.
EVACUATION_LIMIT_S = 5.0
# HTTP statuses of a reply that state that no leaf has executed the request.
NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})
# Requests that crash leaves: from this time after the third crash on, no more
# than MAX_LATE_CRASH_REQUESTS of the repetitions may reach leaves.
CRASH_LIMIT_S = 4.0
CRASHES_BEFORE_LIMIT = 3
MAX_LATE_CRASH_REQUESTS = 3
# Body of the refusal of a request that crashes leaves.
QUARANTINE_BODY = b"crashes leaves"
# A leaf that names a limit: from LIMIT_CONTACT_S after it first did, it may get
# in any LIMIT_WINDOW_S no more than LIMIT_FACTOR times what the limit allows,
# and LIMIT_SLACK, from gateways that it had told LIMIT_TOLD_S before.
LIMIT_CONTACT_S = 4.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
LIMIT_TOLD_S = 0.5
# A leaf that asks a gateway for a pause: from this time after its reply to the
# end of the pause it may get no more than MAX_PAUSE_REQUESTS from the gateway.
PAUSE_NOTICE_S = 0.5
MAX_PAUSE_REQUESTS = 2
# Smallest share of requests that has to be served after the recovery time.
MIN_SERVED_SHARE = 0.9


@dataclass
class Observations:
    """The observations of a run.

    Attributes:
        ledger: Requests that leaves started to execute, and the leaves' replies
            by signature, which is a unique id and not cryptographic.
        operator: Published configurations, with the time from which gateways
            have to adopt each of them.
        attempts: The callers' requests that have ended. Callers send each
            request once and with an id of its own.
        crash_attempts: By path, the ended repetitions of a request that crashes
            leaves, which are not in `attempts`.
        withdrawn_at: By leaf id, the time at which the leaf first announced in
            the store that it is draining, or removed its entry. Evacuations
            of its failure domain are not included.
        evacuations: Failure domain, start and end time of each evacuation.
        leaf_failure_domains: Failure domain of each leaf, by leaf id.
        recovery_due_at: Time from which at least MIN_SERVED_SHARE of the
            requests have to be served.
    """

    ledger: Ledger
    operator: Operator
    attempts: list[Attempt] = field(default_factory=list)
    crash_attempts: dict[str, list[Attempt]] = field(default_factory=dict)
    withdrawn_at: dict[str, float] = field(default_factory=dict)
    evacuations: list[tuple[str, float, float]] = field(default_factory=list)
    leaf_failure_domains: dict[str, str] = field(default_factory=dict)
    recovery_due_at: float = math.inf


def find_violations(observations: Observations) -> list[str]:
    """Returns a description of each violation of a guarantee."""
    checks = (
        _check_successful_replies,
        _check_submissions,
        _check_withdrawn_leaves,
        _check_configurations,
        _check_requests_answered,
        _check_recovery,
        _check_crash_requests,
        _check_no_harmless_request_is_quarantined,
        _check_leaf_limits,
        _check_leaving_leaves,
        _check_pauses,
    )
    return [line for check in checks for line in check(observations)]


def _check_successful_replies(observations: Observations) -> list[str]:
    """Checks that replies with status 2xx are made of leaves' own replies."""
    violations = []
    for attempt in observations.attempts:
        reply = attempt.reply
        if reply is None or not 200 <= reply.status < 300:
            continue
        is_search = len(attempt.route.services) > 1
        find_defect = _search_reply_defect if is_search else _leaf_reply_defect
        defect = find_defect(attempt, observations.ledger)
        if defect:
            violations.append(
                f"reply to request {attempt.request_id}: {defect}"
            )
    return violations


def _leaf_reply_defect(attempt: Attempt, ledger: Ledger) -> str:
    """Returns a defect of a single leaf's forwarded reply, or "".

    The signature, a unique id in the header Response-Stamp, and the body must
    be those of the reply to this request of a leaf of the route's service.
    """
    assert attempt.reply is not None
    signature = (attempt.reply.get(b"response-stamp") or b"").decode()
    if signature not in ledger.signed_replies:
        return f"signature missing or not of a leaf: {signature!r}"
    request_id, service, records = ledger.signed_replies[signature]
    if request_id != attempt.request_id:
        return f"the leaf's reply was to request {request_id}"
    if service not in attempt.route.services:
        return f"a leaf of service {service} replied"
    if attempt.reply.body != b"".join(records):
        return "body differs from the leaf's reply"
    return ""


def _search_reply_defect(attempt: Attempt, ledger: Ledger) -> str:
    """Returns a defect of a merged search reply, or "".

    Each shard is a service of its own, and a part is the reply of one of its
    leaves; the header Part-Stamps lists the signatures (unique ids) of these
    replies. The parts must be replies to this request, each of another service,
    and the body must be their greatest records in descending order. Parts and
    missing parts together are the route's shards.
    """
    assert attempt.reply is not None
    signatures = (attempt.reply.get(b"part-stamps") or b"").decode().split(", ")
    services = set()
    records: list[bytes] = []
    for signature in signatures:
        if signature not in ledger.signed_replies:
            return f"signature missing or not of a leaf: {signature!r}"
        request_id, service, part_records = ledger.signed_replies[signature]
        if service not in attempt.route.services:
            return f"part {signature} is of service {service}, no shard"
        if request_id != attempt.request_id or service in services:
            return (
                f"part {signature} is of another request or repeats shard"
                f" {service}"
            )
        services.add(service)
        records += part_records
    missing = int(attempt.reply.get(b"missing-parts") or b"0")
    total = len(attempt.route.services)
    if len(services) + missing != total:
        return (
            f"{len(services)} parts and {missing} missing ones do not add up"
            f" to {total} shards"
        )
    if len(services) < MIN_SHARD_SHARE * total:
        return "fewer parts than the configured minimum share of the shards"
    if attempt.reply.body != b"".join(sorted(records, reverse=True)[:TOP_K]):
        return "body is not the merged top records"
    return ""


def _check_submissions(observations: Observations) -> list[str]:
    """Checks that submissions are executed at most once.

    Submissions with a reply of NOT_EXECUTED_STATUSES must not be executed at
    all. Submissions whose caller still waits for a reply are not checked.
    """
    executions = collections.Counter(
        a.request_id for a in observations.ledger.executions
    )
    violations = []
    for attempt in observations.attempts:
        count = executions[attempt.request_id]
        if attempt.route is SUBMIT and count > 1:
            violations.append(
                f"submission {attempt.request_id} was executed {count} times"
            )
        status = attempt.reply.status if attempt.reply else 0
        if (
            attempt.route is SUBMIT
            and status in NOT_EXECUTED_STATUSES
            and count
        ):
            violations.append(
                f"submission {attempt.request_id} was executed despite status"
                f" {status}"
            )
    return violations


def _check_withdrawn_leaves(observations: Observations) -> list[str]:
    """Checks that undisturbed gateways stop using withdrawn leaves in time.

    A leaf is withdrawn when it drains, when its entry is removed from the
    store, or when its failure domain is evacuated. After a drain or a removal,
    it executes requests for longer than the limit.
    """
    attempts_by_id = {a.request_id: a for a in observations.attempts}
    violations = []
    for execution in observations.ledger.executions:
        attempt = attempts_by_id.get(execution.request_id)
        if attempt is None:
            # The request has not ended yet.
            continue
        # Start time and time limit of each withdrawal that concerns the leaf.
        # The evacuations that ended before the execution do not.
        withdrawals = [
            (
                observations.withdrawn_at.get(execution.leaf_id, math.inf),
                DRAIN_LIMIT_S,
            )
        ]
        leaf_failure_domain = observations.leaf_failure_domains[
            execution.leaf_id
        ]
        withdrawals += [
            (begin, EVACUATION_LIMIT_S)
            for failure_domain, begin, end in observations.evacuations
            if failure_domain == leaf_failure_domain
            and execution.started_at < end
        ]
        late_uses_s = [
            execution.started_at - begin
            for begin, limit_s in withdrawals
            if execution.started_at > begin + limit_s
        ]
        if late_uses_s and _was_undisturbed_until(attempt, execution):
            violations.append(
                f"{attempt.gateway.name} used leaf {execution.leaf_id}"
                f" {max(late_uses_s):.1f} s after it was withdrawn"
            )
    return violations


def _was_undisturbed_until(attempt: Attempt, execution: Execution) -> bool:
    return attempt.gateway.was_undisturbed(
        attempt.started_at - UNDISTURBED_S, execution.started_at
    )


def _check_configurations(observations: Observations) -> list[str]:
    """Checks that undisturbed gateways adopt configurations within the limit.

    Each configuration version has a route of its own, which the next version
    removes. Callers request the routes of the current and the previous version.
    A gateway has the route if it answers with any status but 404. The limit
    counts from the operator's write of the version to the store
    (`acknowledged_at`).
    """
    violations = []
    operator = observations.operator
    for version, route in operator.version_routes.items():
        added_at = operator.acknowledged_at[version]
        removed_at = operator.acknowledged_at.get(version + 1, math.inf)
        for attempt in observations.attempts:
            if attempt.route is not route or attempt.reply is None:
                continue
            is_undisturbed = attempt.gateway.was_undisturbed(
                attempt.started_at - UNDISTURBED_S, attempt.ended_at
            )
            has_route = attempt.reply.status != 404
            if (
                is_undisturbed
                and has_route
                and attempt.started_at > removed_at + CONFIG_LIMIT_S
            ):
                violations.append(
                    f"{attempt.gateway.name} has the route {route.prefix}"
                    f" {attempt.started_at - removed_at:.1f} s after a new"
                    " configuration removed it"
                )
            if (
                is_undisturbed
                and not has_route
                and added_at + CONFIG_LIMIT_S < attempt.started_at < removed_at
            ):
                violations.append(
                    f"{attempt.gateway.name} does not have the route"
                    f" {route.prefix} of the current configuration"
                )
    return violations


def _check_requests_answered(observations: Observations) -> list[str]:
    """Checks that undisturbed gateways answer each request sent to them.

    Requests that were not sent because connecting failed do not count.
    """
    return [
        f"request {a.request_id} got no answer from {a.gateway.name}"
        f" after {a.ended_at - a.started_at:.2f} s"
        for a in observations.attempts
        if a.reply is None
        and not a.was_unsent
        and a.gateway.was_undisturbed(a.started_at - UNDISTURBED_S, a.ended_at)
    ]


def _check_recovery(observations: Observations) -> list[str]:
    """Checks that most requests are served again after the recovery time.

    Disturbed gateways count, and so do requests that were not sent because
    connecting failed. The routes of single configuration versions are left out:
    callers also request that of the previous version, for which 404 is correct.
    """
    after_recovery = [
        a for a in observations.attempts
        if a.started_at > observations.recovery_due_at
        and a.route not in observations.operator.version_routes.values()
    ]  # fmt: skip
    served = sum(
        a.reply is not None and a.reply.status == 200 for a in after_recovery
    )
    if not after_recovery:
        return ["no request was sent after the recovery time"]
    if served < MIN_SERVED_SHARE * len(after_recovery):
        return [
            f"only {served} of {len(after_recovery)} requests served after the"
            f" recovery time, expected at least {MIN_SERVED_SHARE:.0%}"
        ]
    return []


def _check_crash_requests(observations: Observations) -> list[str]:
    """Checks that a request which crashes leaves is kept from them in time.

    A repetition that crashes several leaves at once, as a search can, counts
    once when the crashes are counted.
    """
    started_at: dict[str, float] = {}
    for execution in observations.ledger.executions:
        started_at.setdefault(execution.request_id, execution.started_at)
    violations = []
    for path, attempts in observations.crash_attempts.items():
        reached = sorted(
            (
                (started_at[attempt.request_id], attempt)
                for attempt in attempts
                if attempt.request_id in started_at
            ),
            key=lambda pair: pair[0],
        )
        if len(reached) < CRASHES_BEFORE_LIMIT:
            continue
        limit_at = reached[CRASHES_BEFORE_LIMIT - 1][0] + CRASH_LIMIT_S
        late = [
            at
            for at, attempt in reached
            if at > limit_at
            and attempt.gateway.was_undisturbed(at - UNDISTURBED_S, at)
        ]
        if len(late) > MAX_LATE_CRASH_REQUESTS:
            violations.append(
                f"{len(reached)} repetitions of {path} reached leaves,"
                f" {len(late)} of them too late"
            )
    return violations


def _check_no_harmless_request_is_quarantined(
    observations: Observations,
) -> list[str]:
    """Checks that lost leaves do not quarantine what was running there."""
    refused = [
        attempt
        for attempt in observations.attempts
        if attempt.reply is not None
        and attempt.reply.status == 503
        and attempt.reply.body == QUARANTINE_BODY
    ]
    if not refused:
        return []
    return [f"{len(refused)} harmless requests were refused as quarantined"]


def _check_leaf_limits(observations: Observations) -> list[str]:
    """Checks that gateways together keep the limit that a leaf names.

    A gateway was told of the limit when an earlier request through it has
    ended. Disturbed gateways are left out.
    """
    attempts_by_id = {a.request_id: a for a in observations.attempts}
    arrivals_by_leaf = collections.defaultdict(list)
    for arrival in observations.ledger.limited_arrivals:
        key = (arrival.leaf_id, arrival.named_since)
        arrivals_by_leaf[key].append(arrival)
    violations = []
    for (leaf_id, named_since), arrivals in arrivals_by_leaf.items():
        told_at: dict[str, float] = {}
        counted: collections.deque[float] = collections.deque()
        worst = 0
        for arrival in arrivals:
            attempt = attempts_by_id.get(arrival.request_id)
            if attempt is None:
                continue
            at = arrival.arrived_at
            name = attempt.gateway.name
            told_at[name] = min(told_at.get(name, math.inf), attempt.ended_at)
            if (
                at < named_since + LIMIT_CONTACT_S
                or at < told_at[name] + LIMIT_TOLD_S
                or not attempt.gateway.was_undisturbed(at - UNDISTURBED_S, at)
            ):
                continue
            counted.append(at)
            while counted[0] <= at - LIMIT_WINDOW_S:
                counted.popleft()
            worst = max(worst, len(counted))
        limit_per_s = arrivals[0].limit_per_s
        allowed = LIMIT_FACTOR * limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        if worst > allowed:
            violations.append(
                f"leaf {leaf_id} named a limit of {limit_per_s}/s and got"
                f" {worst} requests in {LIMIT_WINDOW_S} s"
            )
    return violations


def _check_leaving_leaves(observations: Observations) -> list[str]:
    """Checks that gateways stop using leaves that said they are leaving.

    The limit counts from the first reply with that sign which the gateway has
    passed on to the request.
    """
    told_at: dict[tuple[str, str], float] = {}
    violations = []
    for arrival, attempt in _statement_arrivals(observations):
        if arrival.pause_s:
            continue
        key = (arrival.leaf_id, attempt.gateway.name)
        told_at[key] = min(told_at.get(key, math.inf), attempt.ended_at)
        late_s = attempt.started_at - told_at[key]
        if late_s > DRAIN_LIMIT_S and attempt.gateway.was_undisturbed(
            told_at[key], arrival.arrived_at
        ):
            violations.append(
                f"{attempt.gateway.name} used leaf {arrival.leaf_id}"
                f" {late_s:.1f} s after it said that it is leaving"
            )
    return violations


def _check_pauses(observations: Observations) -> list[str]:
    """Checks that gateways keep the pauses that leaves ask for."""
    arrivals_at = collections.defaultdict(list)
    for arrival, attempt in _statement_arrivals(observations):
        if arrival.pause_s:
            key = (arrival.leaf_id, attempt.gateway.name)
            arrivals_at[key].append((arrival, attempt.gateway))
    violations = []
    for (leaf_id, name), arrivals in arrivals_at.items():
        for arrival, gateway in arrivals:
            begins_at = arrival.arrived_at + PAUSE_NOTICE_S
            ends_at = arrival.arrived_at + arrival.pause_s
            count = sum(
                begins_at < later.arrived_at < ends_at for later, _ in arrivals
            )
            if count > MAX_PAUSE_REQUESTS and gateway.was_undisturbed(
                arrival.arrived_at, ends_at
            ):
                violations.append(
                    f"{name} sent {count} requests to leaf {leaf_id} in a pause"
                )
    return violations


def _statement_arrivals(
    observations: Observations,
) -> list[tuple[StatementArrival, Attempt]]:
    """Returns the arrivals of requests that have ended, in order."""
    attempts_by_id = {a.request_id: a for a in observations.attempts}
    return [
        (arrival, attempts_by_id[arrival.request_id])
        for arrival in observations.ledger.statement_arrivals
        if arrival.request_id in attempts_by_id
    ]
