"""Checks of the guarantees, from what callers and leaves have recorded."""

from __future__ import annotations

import collections
import math
from dataclasses import dataclass, field

from soak.callers import Attempt
from soak.leaves import Execution, Ledger
from soak.operator import MIN_SHARD_SHARE, SUBMIT, TOP_K, Operator

# The time limits apply to gateways that were undisturbed for this long.
UNDISTURBED_S = 4.0
DRAIN_S = 3.0
CONFIG_S = 3.0
EVACUATE_S = 5.0
NOT_RUN = frozenset({408, 421, 429, 503})
RECOVERED_SHARE = 0.9


@dataclass
class Evidence:
    """The observations of a run.

    Attributes:
        attempts: The requests of the callers.
        ledger: Requests that leaves executed and replies they signed.
        operator: Configurations and the times of their acknowledgement.
        leaving: Time at which each leaf's draining or removal was acknowledged.
        out: Failure domains that were out of service, with start and end time.
        domains: Failure domain of each leaf.
        recovery_due_at: Time from which requests have to succeed again.
    """

    ledger: Ledger
    operator: Operator
    attempts: list[Attempt] = field(default_factory=list)
    leaving: dict[str, float] = field(default_factory=dict)
    out: list[tuple[str, float, float]] = field(default_factory=list)
    domains: dict[str, str] = field(default_factory=dict)
    recovery_due_at: float = math.inf


def violations(evidence: Evidence) -> list[str]:
    """Returns a description of each violated guarantee."""
    checks = (
        _wrong_answers,
        _at_most_once,
        _leaving_leaves,
        _adopted_configurations,
        _lost_requests,
        _recovery,
    )
    return [line for check in checks for line in check(evidence)]


def _wrong_answers(evidence: Evidence) -> list[str]:
    found = []
    for attempt in evidence.attempts:
        reply = attempt.reply
        if reply is None or not 200 <= reply.status < 300:
            continue
        is_search = len(attempt.route.services) > 1
        check = _search_fault if is_search else _single_fault
        fault = check(attempt, evidence.ledger)
        if fault:
            found.append(f"answer {attempt.request_id}: {fault}")
    return found


def _single_fault(attempt: Attempt, ledger: Ledger) -> str:
    assert attempt.reply is not None
    stamp = (attempt.reply.get(b"response-stamp") or b"").decode()
    if stamp not in ledger.signed_replies:
        return f"signature {stamp!r} was made by no leaf"
    request_id, _, records = ledger.signed_replies[stamp]
    if request_id != attempt.request_id:
        return f"belongs to request {request_id}"
    if attempt.reply.body != b"".join(records):
        return "body differs from the leaf's reply"
    return ""


def _search_fault(attempt: Attempt, ledger: Ledger) -> str:
    assert attempt.reply is not None
    stamps = (attempt.reply.get(b"part-stamps") or b"").decode().split(", ")
    services = set()
    records: list[bytes] = []
    for stamp in stamps:
        if stamp not in ledger.signed_replies:
            return f"signature {stamp!r} was made by no leaf"
        request_id, service, part = ledger.signed_replies[stamp]
        if request_id != attempt.request_id or service in services:
            return f"part {stamp} is of another request or listed twice"
        services.add(service)
        records += part
    missing = int(attempt.reply.get(b"missing-parts") or b"0")
    total = len(attempt.route.services)
    if len(services) + missing != total:
        return f"{len(services)} parts and {missing} missing, expected {total}"
    if len(services) < MIN_SHARD_SHARE * total:
        return "fewer parts than the route's minimum share"
    if attempt.reply.body != b"".join(sorted(records, reverse=True)[:TOP_K]):
        return "body is not the merged top records"
    return ""


def _at_most_once(evidence: Evidence) -> list[str]:
    runs = collections.Counter(a.request_id for a in evidence.ledger.executions)
    found = []
    for attempt in evidence.attempts:
        count = runs[attempt.request_id]
        if attempt.route is SUBMIT and count > 1:
            found.append(f"submission {attempt.request_id} ran {count} times")
        status = attempt.reply.status if attempt.reply else 0
        if attempt.route is SUBMIT and status in NOT_RUN and count:
            found.append(f"submission {attempt.request_id}: {status}, but ran")
    return found


def _leaving_leaves(evidence: Evidence) -> list[str]:
    by_id = {a.request_id: a for a in evidence.attempts}
    found = []
    for arrival in evidence.ledger.executions:
        attempt = by_id.get(arrival.request_id)
        if attempt is None:
            # The caller was still waiting when the run ended.
            continue
        bounds = [(evidence.leaving.get(arrival.leaf_id, math.inf), DRAIN_S)]
        domain = evidence.domains[arrival.leaf_id]
        bounds += [
            (begin, EVACUATE_S)
            for out_domain, begin, end in evidence.out
            if out_domain == domain and arrival.started_at < end
        ]
        late = [
            arrival.started_at - begin
            for begin, bound_s in bounds
            if arrival.started_at > begin + bound_s
        ]
        if late and _was_in_contact(attempt, arrival):
            found.append(
                f"{attempt.gateway.name} used leaf {arrival.leaf_id}"
                f" {max(late):.1f} s after it was withdrawn from service"
            )
    return found


def _was_in_contact(attempt: Attempt, arrival: Execution) -> bool:
    return attempt.gateway.was_undisturbed(
        attempt.started_at - UNDISTURBED_S, arrival.started_at
    )


def _adopted_configurations(evidence: Evidence) -> list[str]:
    """Checks that each gateway adopts configurations within CONFIG_S."""
    found = []
    operator = evidence.operator
    for version, route in operator.version_routes.items():
        begin = operator.acknowledged_at[version]
        end = operator.acknowledged_at.get(version + 1, math.inf)
        for attempt in evidence.attempts:
            if attempt.route is not route or attempt.reply is None:
                continue
            is_undisturbed = attempt.gateway.was_undisturbed(
                attempt.started_at - UNDISTURBED_S, attempt.ended_at
            )
            is_known = attempt.reply.status != 404
            if (
                is_undisturbed
                and is_known
                and attempt.started_at > end + CONFIG_S
            ):
                found.append(
                    f"{attempt.gateway.name} serves {route.prefix}"
                    f" {attempt.started_at - end:.1f} s after it was dropped"
                )
            if (
                is_undisturbed
                and not is_known
                and begin + CONFIG_S < attempt.started_at < end
            ):
                found.append(
                    f"{attempt.gateway.name} does not serve {route.prefix}"
                )
    return found


def _lost_requests(evidence: Evidence) -> list[str]:
    """Checks that undisturbed gateways answer every request."""
    return [
        f"request {a.request_id} got no answer from {a.gateway.name}"
        f" after {a.ended_at - a.started_at:.2f} s"
        for a in evidence.attempts
        if a.reply is None
        and not a.was_unsent
        and a.gateway.was_undisturbed(a.started_at - UNDISTURBED_S, a.ended_at)
    ]


def _recovery(evidence: Evidence) -> list[str]:
    late = [
        a for a in evidence.attempts
        if a.started_at > evidence.recovery_due_at
        and a.route not in evidence.operator.version_routes.values()
    ]  # fmt: skip
    served = sum(a.reply is not None and a.reply.status == 200 for a in late)
    if not late:
        return ["no request was sent after the last fault"]
    if served < RECOVERED_SHARE * len(late):
        return [f"{served} of {len(late)} requests served after the faults"]
    return []
