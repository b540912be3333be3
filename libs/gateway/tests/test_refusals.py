"""Tests of what a caller may conclude from a leaf's failure.

408, 421, 429 and 503 tell a caller that its request has not run. A leaf says so
with the header X-Not-Run or with 421; any other failure may have run.
"""

from __future__ import annotations

import pytest
from gateway_harness import HEADER_NAMES, reply, single_leaf_route
from sapphire_core.routing import Kind
from sapphire_gateway.calls import REFUSAL_STATUSES, parse_statement
from sapphire_gateway.messages import Reply

STATUSES = [400, 403, 404, 408, 409, 413, 429, 431, 500, 501, 502, 503, 504]


@pytest.mark.parametrize("kind", [Kind.IDEMPOTENT, Kind.AT_MOST_ONCE])
@pytest.mark.parametrize("status", STATUSES)
def test_failure_that_may_have_run_is_no_refusal(
    run_with_harness, kind, status
):
    """Guards against callers that repeat what must not be repeated."""

    async def test(harness):
        await harness.leaf(
            "s", lambda r: reply(r, b"failed", f"{status} Failed")
        )
        harness.configure(single_leaf_route(kind=kind))
        answer = await harness.request(method="POST")
        if status in REFUSAL_STATUSES:
            assert answer.status == 502
            assert "x-signature" not in answer.headers
        else:
            assert (answer.status, answer.body) == (status, b"failed")
            assert answer.headers["x-signature"] == "s"

    run_with_harness(test)


@pytest.mark.parametrize("kind", [Kind.IDEMPOTENT, Kind.AT_MOST_ONCE])
@pytest.mark.parametrize("status", [*STATUSES, 421])
def test_failure_that_has_not_run_is_a_refusal(run_with_harness, kind, status):
    async def test(harness):
        leaf = await harness.leaf(
            "s",
            lambda r: reply(
                r, b"", f"{status} No", signature="", extra=["X-Not-Run: 1"]
            ),
        )
        harness.configure(single_leaf_route(kind=kind))
        answer = await harness.request(method="POST")
        assert answer.status == 503
        assert "retry-after" in answer.headers
        assert len(leaf.requests) == 1

    run_with_harness(test)


@pytest.mark.parametrize("text", [b"3.3333333333333335", b"0.1000000000000001"])
def test_numbers_with_many_digits_after_the_point_are_read(text):
    """Guards against a limit or a pause that is ignored as malformed."""
    statement = parse_statement(
        Reply(503, [(b"x-limit", text), (b"x-pause", text)], b"", True),
        HEADER_NAMES,
    )
    assert statement.limit_per_s == statement.pause_s == float(text)
    assert statement.defects == ()
