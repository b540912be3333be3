"""Settings of a load tool run."""

from __future__ import annotations

import enum
from typing import Annotated

from pydantic import Field
from sapphire_config.document import Model, Name

Seconds = Annotated[float, Field(gt=0, le=600)]
Rate = Annotated[float, Field(gt=0, le=2000)]


class Policy(enum.StrEnum):
    """Implementation under test: this project's tier or the baseline."""

    TIER = "tier"
    BASELINE = "baseline"


class CaseName(enum.StrEnum):
    """Fault or condition during the load."""

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
    weight: float = Field(1.0, gt=0, description="Share of the load.")


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
    """The overload case, which slows the leaves down.

    With slow leaves, a rate that the client and daemons of one machine can
    sustain overloads the leaves. The load is a multiple of the rate at which
    the policy reached its highest goodput.
    """

    service_ms: float = Field(160.0, gt=0)
    factor: float = Field(2.0, gt=1, description="Multiple of the peak rate.")
    peak_shares: list[float] = Field(
        [1.0, 2.0, 3.0, 4.0],
        description="Rates to try when searching for the peak, as multiples of"
        " the capacity without batching; batching raises it up to fourfold.",
    )
    peak_seconds: Seconds = 2.0


class BenchSettings(Model):
    """Settings of sapphirecross-bench run."""

    deployments: list[DeploymentPlan] = Field(min_length=1)
    policies: list[Policy] = Field([Policy.TIER, Policy.BASELINE])
    texts: int = Field(300, ge=1, description="Distinct query texts.")
    seed: int = 1
    warm_up_s: Seconds = 1.5
    baseline_timeout_ms: float = Field(500.0, gt=0)
    straggler_factor: float = Field(10.0, gt=1)
    straggler_share: float = Field(
        0.05, gt=0, le=1, description="Share of leaves; at least one leaf."
    )
    crash_rate: float = Field(2.0, gt=0, description="Requests per second.")
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
