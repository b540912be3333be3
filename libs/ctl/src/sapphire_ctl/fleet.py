"""Summarises the status that daemons report, without I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict

AGGREGATOR_ROLE = "aggregator"


class ResponseModel(BaseModel):
    """Base of daemon responses.

    Unknown fields are ignored, since daemons of another release may report
    additional ones.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)


class LeafStatus(ResponseModel):
    """State of one leaf as a daemon sees it."""

    address: str
    state: str
    service: str = ""


class DaemonStatus(ResponseModel):
    """Response body of `GET /v1/status`."""

    role: str = "unknown"
    failure_domain: str = ""
    revision: int | None = None
    out_failure_domains: list[str] = []
    out_vms: list[str] = []
    leaves: list[LeafStatus] = []


class ListedAddress(ResponseModel):
    """One address in the response of `GET /v1/addresses`."""

    address: str


class AddressList(ResponseModel):
    """Response body of `GET /v1/addresses`."""

    addresses: list[ListedAddress]


@dataclass(frozen=True)
class DaemonResult:
    """Result of querying one daemon.

    Attributes:
        address: HTTP address of the daemon.
        status: The response; None if there was no valid one.
        problem: Why there was no valid response; None if there was one.
    """

    address: str
    status: DaemonStatus | None = None
    problem: str | None = None


@dataclass(frozen=True)
class LeafCount:
    """Number of leaves of a service in one state."""

    service: str
    state: str
    leaves: int


@dataclass(frozen=True)
class StatusReport:
    """Status of the fleet.

    Attributes:
        revision: Highest revision reported by the platform or a daemon.
        platform_problem: Why the platform's revision is unknown; None if it
            is known.
        answers: One result per queried daemon.
        leaf_counts: Leaves by service and state.
        problems: Daemons that do not respond or lack the newest revision, and
            the platform problem.
    """

    revision: int
    platform_problem: str | None
    answers: list[DaemonResult]
    leaf_counts: list[LeafCount]
    problems: list[str]


def summarise(
    platform_revision: int | None,
    platform_problem: str | None,
    results: list[DaemonResult],
) -> StatusReport:
    """Summarises the responses of the daemons and the platform."""
    statuses = [r.status for r in results if r.status is not None]
    # The platform may return a stale value, so a daemon can be ahead of it.
    revision = max(
        [platform_revision or 0, *(s.revision or 0 for s in statuses)]
    )
    problems = [p for r in results for p in _problems(r, revision)]
    if platform_problem is not None:
        problems.insert(0, platform_problem)
    return StatusReport(
        revision=revision,
        platform_problem=platform_problem,
        answers=results,
        leaf_counts=_leaf_counts(statuses),
        problems=problems,
    )


def _problems(result: DaemonResult, revision: int) -> Iterator[str]:
    if result.status is None:
        yield f"{result.address}: {result.problem}"
    elif result.status.revision is None:
        yield f"{result.address} has no configuration"
    elif result.status.revision < revision:
        yield (
            f"{result.address} holds revision {result.status.revision},"
            f" not {revision}"
        )


def _leaf_counts(statuses: Iterable[DaemonStatus]) -> list[LeafCount]:
    # The aggregator that holds a leaf's send right knows its state; entries
    # report it with a delay. Aggregators are sorted last, so that their state
    # overrides that of entries. If several aggregators list the same leaf, the
    # last of them in the order of the results counts.
    ordered = sorted(statuses, key=lambda s: s.role == AGGREGATOR_ROLE)
    leaves = {leaf.address: leaf for s in ordered for leaf in s.leaves}
    counts = Counter((leaf.service, leaf.state) for leaf in leaves.values())
    return [
        LeafCount(service, state, number)
        for (service, state), number in sorted(counts.items())
    ]
