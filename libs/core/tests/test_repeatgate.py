"""Tests of the decision on further calls after a leaf was lost."""

from __future__ import annotations

from sapphire_core.repeatgate import RepeatGate, Repetition


def test_request_without_lost_leaves_is_not_held_back():
    gate = RepeatGate()
    gate.record_failure("a", is_lost=False)
    assert gate.request_call("a") is Repetition.ALLOWED
    assert gate.request_call("b") is Repetition.ALLOWED


def test_one_call_at_a_time_until_a_leaf_answers():
    """Guards against a search that ends two leaves of each shard."""
    gate = RepeatGate()
    for part in "abc":
        gate.record_failure(part, is_lost=True)
    decisions = [gate.request_call(part) for part in "abc"]
    assert decisions == [
        Repetition.ALLOWED,
        Repetition.DEFERRED,
        Repetition.DEFERRED,
    ]
    gate.record_answer()
    assert gate.request_call("b") is Repetition.ALLOWED
    assert gate.request_call("c") is Repetition.ALLOWED


def test_no_call_after_the_probe_has_lost_its_leaf():
    gate = RepeatGate()
    gate.record_failure("a", is_lost=True)
    assert gate.request_call("a") is Repetition.ALLOWED
    gate.record_failure("a", is_lost=True)
    assert gate.request_call("a") is Repetition.DENIED
    assert gate.request_call("b") is Repetition.DENIED


def test_answer_of_another_part_opens_the_gate_after_a_lost_probe():
    """Guards against coverage that is lost with two leaves of a domain."""
    gate = RepeatGate()
    gate.record_failure("a", is_lost=True)
    gate.request_call("a")
    gate.record_failure("a", is_lost=True)
    gate.record_answer()
    assert gate.request_call("b") is Repetition.ALLOWED


def test_next_probe_follows_one_that_failed_otherwise():
    gate = RepeatGate()
    gate.record_failure("a", is_lost=True)
    assert gate.request_call("a") is Repetition.ALLOWED
    gate.record_failure("a", is_lost=False)
    assert gate.request_call("b") is Repetition.ALLOWED


def test_first_call_of_a_suspected_request_is_a_probe():
    gate = RepeatGate(is_suspected=True)
    assert gate.request_call("a") is Repetition.ALLOWED
    assert gate.request_call("b") is Repetition.DEFERRED
