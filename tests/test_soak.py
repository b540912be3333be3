"""Short seeded soak runs of gateway processes, and tests of the checks."""

from __future__ import annotations

import pathlib

import pytest
from sapphire_gateway.messages import Reply
from soak.callers import Attempt
from soak.guarantees import (
    CONFIG_LIMIT_S,
    DRAIN_LIMIT_S,
    UNDISTURBED_S,
    Observations,
    find_violations,
)
from soak.leaves import Arrival, Ledger
from soak.operator import FETCH, SEARCH, SUBMIT, Operator, SoakRoute
from soak.processes import Gateway
from soak.runner import run_seed
from soak.store import Store

# Seeds that CI runs. Other seeds have failed with 12 s of faults because of
# errors in the soak test itself:
# 47: a failure domain was taken out twice, and gateways were reported for
#     using it after the first return; see test_a_domain_is_taken_out_once.
# 42, 43: two faults started the same gateway; the process without a handle
#     outlived its run and occupied the addresses of the seed's next run; see
#     test_a_running_gateway_is_not_started_again.
SEEDS = (1, 2)
FAULT_PHASE_S = 6.0
RECORDS = [bytes([n]) * 16 for n in range(6)]


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_faults(seed):
    """Guards against failures that only show with whole processes."""
    result = run_seed(seed, FAULT_PHASE_S)
    assert result.violations == [], result.faults
    assert result.served > 0


def _gateway():
    return Gateway("g", "127.0.0.1", "za", pathlib.Path())


def _attempt(route, reply, sent_at=100.0, gateway=None, **more: object):
    fields = {
        "request_id": "r1",
        "route": route,
        "gateway": gateway or _gateway(),
        "sent_at": sent_at,
        "ended_at": sent_at + 0.1,
        "reply": reply,
        "was_refused_connection": False,
    }
    return Attempt(**{**fields, **more})


def _reply(body, status=200, **headers: str):
    named = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return Reply(status, named, body, keeps_alive=True)


def _observations(*attempts: Attempt):
    ledger = Ledger()
    for number in range(6):
        ledger.signed[f"s{number}"] = ("r1", f"s{number}", RECORDS)
    ledger.signed["other"] = ("r2", "s0", RECORDS)
    observations = Observations(ledger, Operator(Store()), list(attempts))
    observations.recovery_due_at = 99.0
    observations.leaf_failure_domains["leaf"] = "za"
    return observations


ALL_SIGNATURES = "s0, s1, s2, s3, s4, s5"
TOP_RECORDS = b"".join([RECORDS[5]] * 5)
WRONG_REPLIES = {
    "part of another request": _reply(
        TOP_RECORDS,
        part_stamps=ALL_SIGNATURES.replace("s3", "other"),
        missing_parts="0",
    ),
    "repeated part": _reply(
        TOP_RECORDS,
        part_stamps=ALL_SIGNATURES.replace("s3", "s2"),
        missing_parts="0",
    ),
    "wrong coverage": _reply(
        TOP_RECORDS, part_stamps="s0, s1, s2, s3", missing_parts="0"
    ),
    "too few parts": _reply(
        TOP_RECORDS, part_stamps="s0, s1", missing_parts="4"
    ),
    "wrong records": _reply(
        TOP_RECORDS[:-16], part_stamps=ALL_SIGNATURES, missing_parts="0"
    ),
}


def test_a_complete_answer_is_accepted():
    complete = _reply(
        TOP_RECORDS, part_stamps=ALL_SIGNATURES, missing_parts="0"
    )
    assert find_violations(_observations(_attempt(SEARCH, complete))) == []


@pytest.mark.parametrize("reply", WRONG_REPLIES.values(), ids=WRONG_REPLIES)
def test_a_wrong_search_answer_is_found(reply):
    """Guards against a check that cannot fail."""
    assert len(find_violations(_observations(_attempt(SEARCH, reply)))) == 1


def test_an_answer_of_another_request_is_found():
    reply = _reply(b"".join(RECORDS), response_stamp="other")
    assert len(find_violations(_observations(_attempt(FETCH, reply)))) == 1


def _arrival(at, request_id="r1"):
    return Arrival(request_id, "single", "leaf", at)


def test_a_submission_that_ran_twice_is_found():
    failed = _attempt(SUBMIT, _reply(b"", 502))
    observations = _observations(failed)
    observations.recovery_due_at = 101.0
    observations.ledger.arrivals += [_arrival(100.0), _arrival(100.1)]
    assert any(
        "executed 2 times" in line for line in find_violations(observations)
    )


def test_a_refused_submission_that_ran_is_found():
    observations = _observations(_attempt(SUBMIT, _reply(b"", 503)))
    observations.ledger.arrivals.append(_arrival(100.0))
    assert any(
        "executed despite status 503" in line
        for line in find_violations(observations)
    )


@pytest.mark.parametrize(
    ("disturbed_at", "found"),
    [(90.0, True), (100.0 - UNDISTURBED_S / 2, False)],
)
def test_use_of_a_drained_leaf_is_found_unless_disturbed(disturbed_at, found):
    gateway = _gateway()
    gateway.disturbances.append((disturbed_at, disturbed_at))
    observations = _observations(
        _attempt(FETCH, _reply(b"", 500), gateway=gateway)
    )
    observations.ledger.arrivals.append(_arrival(100.0))
    observations.withdrawn_at["leaf"] = 100.0 - DRAIN_LIMIT_S - 0.1
    lines = [
        line for line in find_violations(observations) if "used leaf" in line
    ]
    assert bool(lines) is found


def test_an_old_configuration_is_found():
    removed_route = SoakRoute("/v1/", "GET", ("single",), "idempotent")
    observations = _observations(_attempt(removed_route, _reply(b"", 200)))
    observations.operator.version_routes = {1: removed_route}
    observations.operator.acknowledged = {
        1: 50.0,
        2: 100.0 - CONFIG_LIMIT_S - 0.1,
    }
    assert any(
        "configuration removed it" in line
        for line in find_violations(observations)
    )


def test_a_domain_is_taken_out_once():
    """Guards against violations that the soak test's own operator causes.

    Two overlapping evacuations of one domain made the first return to service
    look like a violation by the gateways.
    """
    operator = Operator(Store())
    assert operator.take_out("za")
    assert not operator.take_out("za")
    operator.put_back("za")
    assert operator.take_out("za")


def test_a_running_gateway_is_not_started_again(monkeypatch):
    """Guards against processes that outlive the run.

    Two faults that restart the same gateway left one process without a
    handle, so that nothing stopped it.
    """

    class Running:
        def poll(self):
            return None

    gateway = _gateway()
    gateway.process = Running()
    monkeypatch.delattr("subprocess.Popen")
    gateway.start()


def test_a_request_without_an_answer_is_found():
    observations = _observations(_attempt(FETCH, None))
    assert any(
        "got no answer" in line for line in find_violations(observations)
    )
