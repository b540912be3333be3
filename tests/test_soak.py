"""Short seeded soak runs, and tests of the soak test itself.

Only the soak runs start processes. Most other tests give the checks of
guarantees.py a wrong observation, which they have to report as a violation.
"""

from __future__ import annotations

import json
import pathlib
from random import Random

import pytest
import trio
from sapphire_bench.loopback import reserve_network
from sapphire_gateway.messages import Reply, Request
from soak.callers import Attempt
from soak.guarantees import (
    CONFIG_LIMIT_S,
    DRAIN_LIMIT_S,
    UNDISTURBED_S,
    Observations,
    find_violations,
)
from soak.leaves import Execution, Leaf, Ledger, SignedReply
from soak.operator import FETCH, SEARCH, SUBMIT, Operator, SoakRoute
from soak.processes import Gateway
from soak.runner import run_seed
from soak.store import Store

# Seeds that CI runs; `make soak` runs others.
SEEDS = (1, 2)
# Time during which a run starts faults.
FAULT_PHASE_S = 6.0
# Records of each leaf's reply, in ascending order.
RECORDS = [bytes([n]) * 16 for n in range(6)]


@pytest.mark.parametrize("seed", SEEDS)
def test_guarantees_hold_under_faults(seed):
    """Guards against failures that occur only with real gateway processes."""
    result = run_seed(seed, FAULT_PHASE_S)
    assert result.violations == [], result.faults
    # A run without successful answers would test little.
    assert result.served > 0


def test_silent_store_connections_are_noticed():
    """Guards against a watch that is lost without a sign.

    With watches that wait without a check, this run served an old configuration
    for over ten seconds.
    """
    faults = ("store_connections_silent", "configuration")
    result = run_seed(1, fault_phase_s=8.0, fault_names=faults)
    assert result.violations == [], result.faults


def test_process_that_ends_by_itself_is_noticed(tmp_path):
    """Guards against ends that a later fault hides by a new start."""
    gateway = Gateway("vm1", "127.0.0.1", "za", tmp_path)
    (tmp_path / "vm1.toml").write_text("")

    async def main():
        gateway.start()
        with trio.fail_after(30):
            while gateway.is_running:
                await trio.sleep(0.05)
        gateway.kill()
        gateway.start()
        gateway.kill()

    trio.run(main)
    assert gateway.unexpected_ends == ["vm1 ended by itself with status 2"]


def _gateway():
    return Gateway(
        name="g", host="127.0.0.1", failure_domain="za", folder=pathlib.Path()
    )


def _attempt(route, reply, started_at=100.0, gateway=None, **overrides: object):
    fields = {
        "request_id": "r1",
        "route": route,
        "gateway": gateway or _gateway(),
        "started_at": started_at,
        "ended_at": started_at + 0.1,
        "reply": reply,
        "was_unsent": False,
    }
    return Attempt(**{**fields, **overrides})


def _reply(body, status=200, **headers: str):
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return Reply(status, pairs, body, keeps_alive=True)


def _observations(*attempts: Attempt):
    ledger = Ledger()
    for number in range(6):
        # Each shard's reply has the name of its service as its signature.
        service = signature = f"s{number}"
        ledger.signed_replies[signature] = SignedReply("r1", service, RECORDS)
    ledger.signed_replies["other"] = SignedReply("r2", "s0", RECORDS)
    observations = Observations(ledger, Operator(Store()), list(attempts))
    # Before the attempts, which therefore have to be served.
    observations.recovery_due_at = 99.0
    # Failure domain of the leaf with the id "leaf".
    observations.leaf_failure_domains["leaf"] = "za"
    return observations


# Value of the header Part-Stamps: the signatures of the merged replies.
ALL_SIGNATURES = "s0, s1, s2, s3, s4, s5"
# Body of a correct answer, the 5 greatest records of all shards. The shards
# have equal records, so these are copies of one.
TOP_RECORDS = b"".join([RECORDS[5]] * 5)
# All but the last reply are wrong in more ways than their names say: each is
# still reported if the check that it is named after is missing.
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
    "parts neither included nor missing": _reply(
        TOP_RECORDS, part_stamps="s0, s1, s2, s3", missing_parts="0"
    ),
    "too few parts": _reply(
        TOP_RECORDS, part_stamps="s0, s1", missing_parts="4"
    ),
    "one record too few": _reply(
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
    """Guards against wrong search answers that no check reports."""
    assert len(find_violations(_observations(_attempt(SEARCH, reply)))) == 1


def test_a_part_of_a_service_that_is_no_shard_is_found():
    """Guards against a search that calls leaves outside the route."""
    reply = _reply(
        TOP_RECORDS,
        part_stamps=ALL_SIGNATURES.replace("s5", "foreign"),
        missing_parts="0",
    )
    observations = _observations(_attempt(SEARCH, reply))
    observations.ledger.signed_replies["foreign"] = SignedReply(
        "r1", "single", RECORDS
    )
    assert len(find_violations(observations)) == 1


def test_an_answer_of_another_service_is_found():
    """Guards against a request that is routed to a wrong service."""
    reply = _reply(b"".join(RECORDS), response_stamp="s0")
    assert len(find_violations(_observations(_attempt(FETCH, reply)))) == 1


def test_an_answer_to_another_request_is_found():
    reply = _reply(b"".join(RECORDS), response_stamp="other")
    assert len(find_violations(_observations(_attempt(FETCH, reply)))) == 1


def _execution(started_at, request_id="r1"):
    return Execution(
        request_id, service="single", leaf_id="leaf", started_at=started_at
    )


def test_a_submission_that_ran_twice_is_found():
    failed = _attempt(SUBMIT, _reply(b"", 502))
    observations = _observations(failed)
    # After the attempt, so that the check of the recovery does not count it.
    observations.recovery_due_at = 101.0
    observations.ledger.executions += [_execution(100.0), _execution(100.1)]
    assert any(
        "executed 2 times" in line for line in find_violations(observations)
    )


def test_a_refused_submission_that_ran_is_found():
    # Status 503 states that the submission did not run.
    observations = _observations(_attempt(SUBMIT, _reply(b"", 503)))
    observations.ledger.executions.append(_execution(100.0))
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
    # Begin and end of a disturbance.
    gateway.disturbances.append((disturbed_at, disturbed_at))
    # The content of a failed reply is not checked.
    observations = _observations(
        _attempt(FETCH, _reply(b"", 500), gateway=gateway)
    )
    observations.ledger.executions.append(_execution(100.0))
    observations.withdrawn_at["leaf"] = 100.0 - DRAIN_LIMIT_S - 0.1
    lines = [
        line for line in find_violations(observations) if "used leaf" in line
    ]
    assert bool(lines) is found


def test_use_of_an_old_configuration_is_found():
    removed_route = SoakRoute("/v1/", "GET", ("single",), "idempotent")
    observations = _observations(_attempt(removed_route, _reply(b"", 200)))
    # Version 2 does not have the route of version 1.
    observations.operator.version_routes = {1: removed_route}
    observations.operator.acknowledged_at = {
        1: 50.0,
        2: 100.0 - CONFIG_LIMIT_S - 0.1,
    }
    assert any(
        "configuration removed it" in line
        for line in find_violations(observations)
    )


def test_too_few_served_requests_after_recovery_are_found():
    """Guards against gateways that survive the faults but serve nobody."""
    served = _reply(TOP_RECORDS, part_stamps=ALL_SIGNATURES, missing_parts="0")
    attempts = [_attempt(SEARCH, served)] * 8
    attempts += [_attempt(SEARCH, _reply(b"", 504))] * 2
    (line,) = find_violations(_observations(*attempts))
    assert "only 8 of 10 requests served" in line


def test_a_recovery_without_requests_is_found():
    """Guards against a run that checks nothing after the faults."""
    (line,) = find_violations(_observations())
    assert "no request was sent" in line


def test_a_leaf_has_one_entry_however_its_restarts_overlap():
    """Guards against entries of leaves that no longer exist."""

    async def main():
        store = Store()
        leaf = Leaf("s0", 0, "za", "127.0.0.1:1", store, Ledger(), Random(1))
        leaf.drain()
        leaf.restart()
        leaf.restart()
        query = Request(b"GET", b"/kv-range?Prefix=servers/", [], b"", True)
        response = await store.answer(query, caller=None)
        (item,) = json.loads(response.body)["items"]
        assert item["Key"] == f"servers/{leaf.leaf_id}"

    trio.run(main)


def test_concurrent_runs_of_a_seed_have_addresses_of_their_own():
    """Guards against two runs on one machine that disturb each other."""
    with reserve_network() as first, reserve_network() as second:
        assert first != second


def test_an_evacuated_domain_is_not_evacuated_again():
    """Guards against false reports that gateways use an evacuated domain.

    If two faults evacuate a domain at the same time, the end of the first one
    puts it back into service, while the second one still expects that the
    gateways do not use it. Seed 47 failed in this way, with 12 s of faults.
    """
    operator = Operator(Store())
    assert operator.evacuate("za")
    assert not operator.evacuate("za")
    operator.end_evacuation("za")
    assert operator.evacuate("za")


def test_a_running_gateway_is_not_started_again(monkeypatch):
    """Guards against gateway processes that outlive the run.

    If two faults start the same gateway, the handle of the second process
    replaces that of the first one, which nothing stops then. It occupies the
    addresses that a later run of the same seed needs. Seeds 42 and 43 failed
    in this way, with 12 s of faults.
    """

    class RunningProcess:
        def poll(self):
            return None

    gateway = _gateway()
    gateway.process = RunningProcess()
    # Starting a process would raise an AttributeError.
    monkeypatch.delattr("subprocess.Popen")
    gateway.start()


def test_a_request_without_an_answer_is_found():
    observations = _observations(_attempt(FETCH, None))
    assert any(
        "got no answer" in line for line in find_violations(observations)
    )


def test_unexpected_errors_are_found_in_the_logs_of_gateways(tmp_path):
    """Guards against errors that only the log tells of."""
    gateway = Gateway("za0", "127.0.0.1", "za", tmp_path)
    (tmp_path / "za0.log").write_text(
        '{"message_type":"gateway:start"}\n'
        '{"task":"request","message_type":"gateway:task_failed"}\n'
    )
    assert len(gateway.log_lines("gateway:task_failed")) == 1
