"""What must hold in a run, checked from what callers and leaves saw."""

from __future__ import annotations

import collections
import math
from dataclasses import dataclass, field

from soak.callers import Attempt
from soak.leaves import Arrival, Ledger
from soak.operator import LEAST_SHARE, SUBMIT, TOP, Operator

# Bounds hold for gateways that were undisturbed for this long.
CONTACT_S = 4.0
DRAIN_S = 3.0
CONFIG_S = 3.0
EVACUATE_S = 5.0
NOT_RUN = frozenset({408, 421, 429, 503})
RECOVERED_SHARE = 0.9


@dataclass
class Evidence:
    """All that a run has seen.

    Attributes:
        attempts: Requests of the callers.
        ledger: What leaves ran and signed.
        operator: Configurations and when they were acknowledged.
        leaving: When each leaf's notice or removal was acknowledged.
        out: Spans in which failure domains were out of service.
        domains: Failure domain by leaf.
        calm_from: Time from which nothing was disturbed any more.
    """

    ledger: Ledger
    operator: Operator
    attempts: list[Attempt] = field(default_factory=list)
    leaving: dict[str, float] = field(default_factory=dict)
    out: list[tuple[str, float, float]] = field(default_factory=list)
    domains: dict[str, str] = field(default_factory=dict)
    calm_from: float = math.inf


def broken(evidence: Evidence) -> list[str]:
    """Returns a line for each promise that was broken."""
    checks = (_answers, _at_most_once, _leaves_left, _routes, _cuts, _recovery)
    return [line for check in checks for line in check(evidence)]


def _answers(evidence: Evidence) -> list[str]:
    found = []
    for attempt in evidence.attempts:
        reply = attempt.reply
        if reply is None or not 200 <= reply.status < 300:
            continue
        is_search = len(attempt.route.shards) > 1
        check = _search_fault if is_search else _single_fault
        fault = check(attempt, evidence.ledger)
        if fault:
            found.append(f"answer {attempt.request_id}: {fault}")
    return found


def _single_fault(attempt: Attempt, ledger: Ledger) -> str:
    assert attempt.reply is not None
    stamp = (attempt.reply.get(b"response-stamp") or b"").decode()
    if stamp not in ledger.signed:
        return f"signature {stamp!r} is no leaf's"
    request_id, _, records = ledger.signed[stamp]
    if request_id != attempt.request_id:
        return f"belongs to request {request_id}"
    if attempt.reply.body != b"".join(records):
        return "body is not the leaf's"
    return ""


def _search_fault(attempt: Attempt, ledger: Ledger) -> str:
    assert attempt.reply is not None
    stamps = (attempt.reply.get(b"part-stamps") or b"").decode().split(", ")
    services = set()
    records: list[bytes] = []
    for stamp in stamps:
        if stamp not in ledger.signed:
            return f"signature {stamp!r} is no leaf's"
        request_id, service, part = ledger.signed[stamp]
        if request_id != attempt.request_id or service in services:
            return f"part {stamp} is foreign or named twice"
        services.add(service)
        records += part
    missing = int(attempt.reply.get(b"missing-parts") or b"0")
    total = len(attempt.route.shards)
    if len(services) + missing != total:
        return f"{len(services)} parts and {missing} missing of {total}"
    if len(services) < LEAST_SHARE * total:
        return "too few parts"
    if attempt.reply.body != b"".join(sorted(records, reverse=True)[:TOP]):
        return "not the greatest records"
    return ""


def _at_most_once(evidence: Evidence) -> list[str]:
    runs = collections.Counter(a.request_id for a in evidence.ledger.arrivals)
    found = []
    for attempt in evidence.attempts:
        count = runs[attempt.request_id]
        if attempt.route is SUBMIT and count > 1:
            found.append(f"submission {attempt.request_id} ran {count} times")
        status = attempt.reply.status if attempt.reply else 0
        if attempt.route is SUBMIT and status in NOT_RUN and count:
            found.append(f"submission {attempt.request_id}: {status}, but ran")
    return found


def _leaves_left(evidence: Evidence) -> list[str]:
    by_id = {a.request_id: a for a in evidence.attempts}
    found = []
    for arrival in evidence.ledger.arrivals:
        attempt = by_id.get(arrival.request_id)
        if attempt is None:
            # Its caller was still waiting at the end of the run.
            continue
        bounds = [(evidence.leaving.get(arrival.leaf_id, math.inf), DRAIN_S)]
        domain = evidence.domains[arrival.leaf_id]
        bounds += [
            (begin, EVACUATE_S)
            for place, begin, end in evidence.out
            if place == domain and arrival.at < end
        ]
        late = [
            arrival.at - begin
            for begin, bound_s in bounds
            if arrival.at > begin + bound_s
        ]
        if late and _was_in_touch(attempt, arrival):
            found.append(
                f"{attempt.gateway.name} used leaf {arrival.leaf_id}"
                f" {max(late):.1f} s after it was to be left"
            )
    return found


def _was_in_touch(attempt: Attempt, arrival: Arrival) -> bool:
    return attempt.gateway.was_calm(attempt.sent_at - CONTACT_S, arrival.at)


def _routes(evidence: Evidence) -> list[str]:
    """Checks which configuration each gateway has in force."""
    found = []
    operator = evidence.operator
    for version, route in operator.passing.items():
        begin = operator.acknowledged[version]
        end = operator.acknowledged.get(version + 1, math.inf)
        for attempt in evidence.attempts:
            if attempt.route is not route or attempt.reply is None:
                continue
            is_calm = attempt.gateway.was_calm(
                attempt.sent_at - CONTACT_S, attempt.ended_at
            )
            is_known = attempt.reply.status != 404
            if is_calm and is_known and attempt.sent_at > end + CONFIG_S:
                found.append(
                    f"{attempt.gateway.name} serves {route.prefix}"
                    f" {attempt.sent_at - end:.1f} s after it was dropped"
                )
            if (
                is_calm
                and not is_known
                and begin + CONFIG_S < attempt.sent_at < end
            ):
                found.append(f"{attempt.gateway.name} lacks {route.prefix}")
    return found


def _cuts(evidence: Evidence) -> list[str]:
    """Checks that no request is cut by a gateway that was not disturbed."""
    return [
        f"request {a.request_id} was cut by {a.gateway.name}"
        f" after {a.ended_at - a.sent_at:.2f} s"
        for a in evidence.attempts
        if a.reply is None
        and not a.was_refused_connection
        and a.gateway.was_calm(a.sent_at - CONTACT_S, a.ended_at)
    ]


def _recovery(evidence: Evidence) -> list[str]:
    late = [
        a for a in evidence.attempts
        if a.sent_at > evidence.calm_from
        and a.route not in evidence.operator.passing.values()
    ]  # fmt: skip
    served = sum(a.reply is not None and a.reply.status == 200 for a in late)
    if not late:
        return ["no request was sent after the last fault"]
    if served < RECOVERED_SHARE * len(late):
        return [f"{served} of {len(late)} requests served after the faults"]
    return []
