"""Settings of a load tool run."""

from __future__ import annotations

import enum
from typing import Annotated

from pydantic import Field
from sapphire_config.document import Model, Name

Seconds = Annotated[float, Field(gt=0, le=600)]
Rate = Annotated[float, Field(gt=0, le=2000)]


class Policy(enum.StrEnum):
    """Implementation under test: the query tier or the baseline."""

    TIER = "tier"
    BASELINE = "baseline"


class CaseName(enum.StrEnum):
    """Fault or condition during the load.

    Attributes:
        STEADY: No fault.
        STRAGGLER: Some leaves of the first service are slow.
        LEAF_LOST: A leaf is killed, and later restarted cold.
        LEAF_COLD: A leaf turns cold without an outage.
        DOMAIN: A failure domain is taken out of service and put back; its
            leaves crash in between.
        PLATFORM_DOWN: The platform's key-value service does not answer.
        CRASH: Queries are sent that crash the leaves that run them.
        OVERLOAD: More load than the leaves can handle.
        RESTART: Entries and aggregators are restarted, one VM at a time.
    """

    STEADY = "steady"
    STRAGGLER = "straggler"
    LEAF_LOST = "leaf-lost"
    LEAF_COLD = "leaf-cold"
    DOMAIN = "domain"
    PLATFORM_DOWN = "platform-down"
    CRASH = "crash"
    OVERLOAD = "overload"
    RESTART = "restart"


class CasePlan(Model):
    """One case and its duration."""

    case: CaseName
    seconds: Seconds


class ClassPlan(Model):
    """A request class and its share of the load."""

    name: Name
    priority: int = Field(ge=0, le=9)
    deadline_ms: int = Field(ge=10, le=60_000)
    weight: float = Field(gt=0)


class ServicePlan(Model):
    """A service, scaled down to one machine."""

    name: Name
    shards: int = Field(ge=1, le=64)
    replicas: int = Field(ge=1, le=8)
    slots: int = Field(2, ge=1)
    connections: int = Field(25, ge=1)
    connect_ms: float = Field(6.0, ge=0)
    service_ms: float = Field(
        10.0, gt=0, description="Service time of one query."
    )
    weight: float = Field(
        1.0, gt=0, description="Share of the load, relative to other services."
    )


class DeploymentPlan(Model):
    """A fleet and the cases to run on it."""

    name: Name
    region: Name
    failure_domains: list[Name] = Field(min_length=2, max_length=8)
    services: list[ServicePlan] = Field(min_length=1)
    classes: list[ClassPlan] = Field(min_length=1)
    rate: Rate = Field(description="Queries per second.")
    cases: list[CasePlan] = Field(min_length=1)


class OverloadPlan(Model):
    """The overload case, which lengthens the service time of the leaves.

    With the longer service time, leaves are overloaded at a rate that the load
    generator and the daemons can sustain on one machine. The load is a multiple
    of the peak rate, at which the policy reached its highest goodput.
    """

    service_ms: float = Field(
        160.0, gt=0, description="Service time of one query in this case."
    )
    factor: float = Field(
        2.0, gt=1, description="Load as a multiple of the peak rate."
    )
    peak_shares: list[float] = Field(
        [1.0, 2.0, 3.0, 4.0],
        description="Rates to try to find the peak rate, as multiples of the"
        " capacity without batching. Batching raises the capacity of the leaf"
        " stand-ins up to fourfold.",
    )
    peak_seconds: Seconds = Field(
        2.0, description="Duration of the load at each of these rates."
    )


class BenchSettings(Model):
    """Settings of sapphirecross-bench run."""

    deployments: list[DeploymentPlan] = Field(min_length=1)
    policies: list[Policy] = Field([Policy.TIER, Policy.BASELINE])
    texts: int = Field(300, ge=1, description="Distinct query texts.")
    seed: int = 1
    warm_up_s: Seconds = Field(
        1.5, description="Duration of the unmeasured load before each phase."
    )
    baseline_timeout_ms: float = Field(
        500.0, gt=0, description="Timeout of each leaf call of the baseline."
    )
    straggler_factor: float = Field(
        10.0, gt=1, description="Service time multiplier of the stragglers."
    )
    straggler_share: float = Field(
        0.05,
        gt=0,
        le=1,
        description="Stragglers as a share of all leaves; at least one leaf.",
    )
    crash_rate: float = Field(
        2.0, gt=0, description="Queries per second that crash a leaf."
    )
    overload: OverloadPlan = OverloadPlan()
    quick_seconds: Seconds = Field(
        2.0, description="Duration of a case under --quick."
    )


def shorten(settings: BenchSettings) -> BenchSettings:
    """Returns settings for a smoke test: one deployment, short cases."""
    first = settings.deployments[0]
    cases = [
        CasePlan(case=c.case, seconds=settings.quick_seconds)
        for c in first.cases
    ]
    overload = settings.overload.model_copy(
        update={"peak_seconds": settings.quick_seconds}
    )
    return settings.model_copy(
        update={
            "deployments": [first.model_copy(update={"cases": cases})],
            "overload": overload,
        }
    )


def select_cases(
    settings: BenchSettings, names: list[CaseName]
) -> BenchSettings:
    """Returns settings with only the named cases.

    Deployments without any of them are omitted.
    """
    kept = []
    for deployment in settings.deployments:
        cases = [c for c in deployment.cases if c.case in names]
        if cases:
            kept.append(deployment.model_copy(update={"cases": cases}))
    return settings.model_copy(update={"deployments": kept})
