"""A request that passed all checks, and how it ended."""

from __future__ import annotations

from dataclasses import dataclass

from sapphire_core.fanout import FanOutPolicy, Verdict
from sapphire_core.routing import Route

from sapphire_gateway.messages import Reply


@dataclass(frozen=True, slots=True)
class Job:
    """A request that passed all checks.

    Attributes:
        request_id: Identity of the caller's attempt.
        head: Request line and headers for leaves, without the last ones.
        body: Body for the leaves.
        is_to_head: The method is HEAD.
        fingerprint: Equal for equal requests of one caller.
        route: Route of the configuration in force when it arrived.
        parts: Services that get the request.
        terms: When it is repeated, answered and given up.
    """

    request_id: bytes
    head: bytes
    body: bytes
    is_to_head: bool
    fingerprint: str
    route: Route
    parts: tuple[str, ...]
    terms: FanOutPolicy


@dataclass(slots=True)
class Outcome:
    """How a request ended.

    Attributes:
        verdict: ANSWER or GIVE_UP.
        replies: Good replies by service.
        failure_reply: A leaf's own failure, if there is one.
        may_have_run: Whether a leaf may have run the request.
        hedges: Calls to a second leaf while the first was running.
        retries: Calls after a failure.
        failures: First reasons of failed calls, for the log.
        helped: Parts that were left to VMs of other failure domains.
        was_planned: The answer waited for missing parts up to its time.
    """

    verdict: Verdict
    replies: dict[str, Reply]
    failure_reply: Reply | None
    may_have_run: bool
    hedges: int
    retries: int
    failures: list[str]
    helped: int
    was_planned: bool
