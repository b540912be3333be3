"""What the daemons report, put side by side; without I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict

AGGREGATOR = "aggregator"


class Reported(BaseModel):
    """Base of the daemons' answers; fields unknown here are ignored.

    Daemons of another release may report more.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)


class LeafStatus(Reported):
    """State of one leaf as a daemon sees it."""

    address: str
    state: str
    service: str = ""


class DaemonStatus(Reported):
    """Answer of `GET /v1/status`."""

    role: str = "unknown"
    failure_domain: str = ""
    revision: int | None = None
    out_failure_domains: list[str] = []
    out_vms: list[str] = []
    leaves: list[LeafStatus] = []


class ListedAddress(Reported):
    """One address of `GET /v1/addresses`."""

    address: str


class AddressList(Reported):
    """Answer of `GET /v1/addresses`."""

    addresses: list[ListedAddress]


@dataclass(frozen=True)
class Answer:
    """Outcome of asking one daemon; one of status and problem is set."""

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
    """The fleet at one moment.

    Attributes:
        revision: Highest revision seen at the platform or a daemon.
        platform_problem: Why the platform's revision is not known.
        answers: One per daemon asked.
        leaf_counts: Leaves by service and state.
        problems: What keeps the fleet from being in the wanted state.
    """

    revision: int
    platform_problem: str | None
    answers: list[Answer]
    leaf_counts: list[LeafCount]
    problems: list[str]


def summarise(
    platform_revision: int | None,
    platform_problem: str | None,
    answers: list[Answer],
) -> StatusReport:
    """Returns the report on the answers."""
    reported = [a.status for a in answers if a.status is not None]
    # The platform may answer with an old value, so a daemon can be ahead.
    revision = max(
        [platform_revision or 0, *(s.revision or 0 for s in reported)]
    )
    problems = [p for a in answers for p in _problems(a, revision)]
    if platform_problem is not None:
        problems.insert(0, platform_problem)
    return StatusReport(
        revision=revision,
        platform_problem=platform_problem,
        answers=answers,
        leaf_counts=_leaf_counts(reported),
        problems=problems,
    )


def _problems(answer: Answer, revision: int) -> Iterator[str]:
    if answer.status is None:
        yield f"{answer.address}: {answer.problem}"
    elif answer.status.revision is None:
        yield f"{answer.address} has no configuration"
    elif answer.status.revision < revision:
        yield (
            f"{answer.address} holds revision {answer.status.revision},"
            f" not {revision}"
        )


def _leaf_counts(reported: Iterable[DaemonStatus]) -> list[LeafCount]:
    # The aggregator that holds a leaf knows its state; entries repeat it
    # with a delay. Sorting puts the aggregators last, so that they win.
    ordered = sorted(reported, key=lambda s: s.role == AGGREGATOR)
    leaves = {leaf.address: leaf for s in ordered for leaf in s.leaves}
    counts = Counter((x.service, x.state) for x in leaves.values())
    return [
        LeafCount(service, state, number)
        for (service, state), number in sorted(counts.items())
    ]
