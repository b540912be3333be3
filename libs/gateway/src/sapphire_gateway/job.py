"""A routed request and its outcome."""

from __future__ import annotations

from dataclasses import dataclass

from sapphire_core.fanout import FanOutPolicy, Verdict
from sapphire_core.routing import Route

from sapphire_gateway.messages import Reply


@dataclass(frozen=True, slots=True)
class Job:
    """A request with its route, ready to be sent to leaves.

    Attributes:
        request_id: Identifier of the caller's attempt.
        request_head: Request line and headers for the leaves, without the
            headers that differ from call to call.
        body: Body for the leaves.
        is_to_head: Whether the method is HEAD, so that replies have no body.
        fingerprint: Equal for repeated requests, whoever sends them.
        route: Route from the configuration in force on arrival.
        parts: Services that get the request; several if it is a search.
        is_canary: Whether the request is suspected of crashing leaves, so that
            it is first sent to a single leaf.
        policy: Deadlines and rules for retries, hedges and the answer.
        received_at: Time at which the request was read.
    """

    request_id: bytes
    request_head: bytes
    body: bytes
    is_to_head: bool
    fingerprint: str
    route: Route
    parts: tuple[str, ...]
    policy: FanOutPolicy
    received_at: float
    is_canary: bool = False

    @property
    def is_search(self) -> bool:
        """Whether the replies of several services are merged."""
        return self.route.gather is not None


@dataclass(slots=True)
class Outcome:
    """Outcome of a request.

    Attributes:
        verdict: ANSWER or GIVE_UP.
        replies: Successful replies by service.
        failure_reply: Reply in which a leaf itself reports a failure, if any.
        may_have_run: Whether any leaf may have run the request.
        hedges: Number of calls to a second leaf while the first was running.
        retries: Number of retries after calls that were sent and failed.
        failures: Descriptions of the first failed calls, for the log.
        delegated_count: Number of parts delegated to VMs of other failure
            domains.
        waited_for_missing_parts: Whether there were enough parts before
            answer_at of the policy, and the answer waited until then for the
            missing ones.
        was_ended: Whether it was ended because the VM is being stopped.
        passed_over: Ids of the first leaves that were not chosen for what they
            have asked for.
        is_suspicious: Whether it was suspected of crashing leaves, or one of
            its calls has lost a leaf.
    """

    verdict: Verdict
    replies: dict[str, Reply]
    failure_reply: Reply | None
    may_have_run: bool
    hedges: int
    retries: int
    failures: list[str]
    delegated_count: int
    waited_for_missing_parts: bool
    was_ended: bool
    passed_over: list[str]
    is_suspicious: bool
