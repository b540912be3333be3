"""The deployment document: the configuration that operators edit."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Self

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    model_validator,
)
from pydantic_core import PydanticCustomError

from sapphire_config import rules
from sapphire_config.parsing import (
    ADDRESS_PATTERN,
    IP_PATTERN,
    NAME_PATTERN,
    ModelType,
    parse,
    validation_errors,
)

# Includes the parsing functions, so that users of the document need only this
# module.
__all__ = [
    "MAX_DOCUMENT_BYTES",
    "RECENT_CHANGES",
    "Address",
    "Document",
    "IpAddress",
    "Leaf",
    "LeafShape",
    "Limits",
    "Model",
    "ModelType",
    "Name",
    "Region",
    "RequestClass",
    "Service",
    "StoredDocument",
    "parse",
    "validation_errors",
]

MAX_DOCUMENT_BYTES = 1_000_000
# A writer that gets no reply looks for its change id in the recent changes.
# This works until this many further writes have been accepted.
RECENT_CHANGES = 50
_MAX_PORT = 65_535


def _require_ip(text: str) -> str:
    try:
        ipaddress.IPv4Address(text)
    except ValueError as error:
        raise PydanticCustomError(
            "ip_address",
            "not a numeric IPv4 address",
            {"remedy": "Use four numbers up to 255, such as 10.1.2.3."},
        ) from error
    return text


def _require_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    _require_ip(host)
    # With leading zeros, the same address could be written in two ways and
    # would count as two addresses.
    if int(port) > _MAX_PORT or str(int(port)) != port:
        raise PydanticCustomError(
            "port",
            "not a port number",
            {"remedy": f"Use a port up to {_MAX_PORT} without leading zeros."},
        )
    return text


Name = Annotated[
    str,
    Field(
        pattern=NAME_PATTERN,
        description="Up to 63 lower-case letters, digits and hyphens.",
    ),
]
IpAddress = Annotated[
    str,
    Field(pattern=IP_PATTERN, description="IPv4 address."),
    AfterValidator(_require_ip),
]
Address = Annotated[
    str,
    Field(
        pattern=ADDRESS_PATTERN,
        description="IPv4 address and port, as in 10.1.2.3:8080.",
    ),
    AfterValidator(_require_address),
]


class Model(BaseModel):
    """Base of all models: unknown fields are errors, values are frozen."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)


class Region(Model):
    """A region and its failure domains."""

    name: Name
    failure_domains: list[Name] = Field(
        min_length=1, description="Unique over all regions."
    )


class Leaf(Model):
    """One leaf: the address of one shard replica."""

    address: Address = Field(
        description="IPv4 address and port; each leaf has its own."
    )
    failure_domain: Name = Field(description="Failure domain of the leaf's VM.")


class LeafShape(Model):
    """Limits and properties of each leaf of a service."""

    slots: int = Field(
        2,
        ge=1,
        le=64,
        description="Largest number of concurrent requests to a warm leaf.",
    )
    connections: int = Field(
        25,
        ge=1,
        le=10_000,
        description="Connections that a leaf accepts; at least `slots`.",
    )
    connect_ms: float = Field(
        6.0,
        ge=0,
        le=60_000,
        description=(
            "Expected time to open a new connection, in ms; not used by the"
            " daemons."
        ),
    )
    multi_search: bool = Field(
        True, description="Whether one call may contain several queries."
    )
    max_batch: int = Field(
        64,
        ge=1,
        le=1024,
        description="Largest number of queries in one call to a leaf.",
    )
    cold_concurrency: int = Field(
        1,
        ge=1,
        le=64,
        description=(
            "Largest number of concurrent requests to a cold leaf; at most"
            " `slots`."
        ),
    )
    cold_batch: int = Field(
        4,
        ge=1,
        le=64,
        description="Largest number of queries in one call to a cold leaf.",
    )
    expected_ms: float = Field(
        10.0,
        gt=0,
        le=60_000,
        description=(
            "Expected time of one query on a warm leaf, in ms; used until a"
            " reply time has been measured. If it is too low, a warm leaf"
            " counts as cold for up to 120 s after a start of all aggregators."
        ),
    )


class RequestClass(Model):
    """A class of requests with its limits and its objective."""

    name: Name
    priority: int = Field(
        ge=0,
        le=9,
        description="0 is the highest; low priorities are refused first.",
    )
    deadline_ms: int = Field(
        170,
        ge=1,
        le=60_000,
        description="Deadline of the complete reply, in ms.",
    )
    max_k: int = Field(
        100,
        ge=1,
        le=10_000,
        description="Largest number of matches in a reply.",
    )
    max_concurrent: int = Field(
        100,
        ge=1,
        description=(
            "Largest number of concurrent requests of this class on each entry"
            " daemon."
        ),
    )
    canary: bool = Field(
        True,
        description=(
            "Whether a query text that was not seen before runs on one shard"
            " first."
        ),
    )
    objective: float = Field(
        0.99,
        gt=0,
        lt=1,
        description=(
            "Target share of the requests that get a complete reply in time."
        ),
    )


class Service(Model):
    """A service, its leaves and its request classes."""

    name: Name
    accepts_submissions: bool = Field(
        False, description="Whether `POST /v1/submit` is allowed."
    )
    leaf: LeafShape = Field(
        LeafShape(), description="Limits and properties of each of its leaves."
    )
    leaves: list[Leaf] = Field(min_length=1)
    classes: list[RequestClass] = Field(min_length=1)


class Limits(Model):
    """Limits of each daemon."""

    max_body_bytes: int = Field(
        65_536,
        ge=1_024,
        le=1_000_000,
        description="Largest request body, in bytes.",
    )
    body_timeout_ms: int = Field(
        2_000,
        ge=10,
        le=60_000,
        description="Time in which a caller has to send the body, in ms.",
    )
    max_concurrent: int = Field(
        200,
        ge=1,
        description="Largest number of concurrent requests per entry daemon.",
    )
    hedge_share: float = Field(
        0.05,
        ge=0,
        le=0.5,
        description=(
            "Largest ratio of hedges and retries to regular calls of an entry"
            " daemon; unused ones are saved up for bursts."
        ),
    )
    quarantine_s: float = Field(
        600.0,
        ge=1,
        le=86_400,
        description="Quarantine time of a request that crashes leaves, in s.",
    )
    address_keep_ms: int = Field(
        2_000,
        ge=100,
        le=3_000,
        description=(
            "How long callers may cache the addresses of the entry daemons, in"
            " ms."
        ),
    )


class Document(Model):
    """The configuration of a deployment: regions, services and limits."""

    name: Name = Field(description="Name of the deployment.")
    regions: list[Region] = Field(min_length=1)
    services: list[Service] = Field(min_length=1)
    limits: Limits = Field(Limits(), description="Limits of each daemon.")
    out_failure_domains: list[Name] = Field(
        [], description="Failure domains that are out of service."
    )
    out_vms: list[IpAddress] = Field(
        [], description="IPv4 addresses of VMs that are out of service."
    )

    @model_validator(mode="after")
    def _check_rules(self) -> Self:
        violations = rules.rule_violations(self)
        if violations:
            raise PydanticCustomError(
                "rules",
                "{summary}",
                {
                    "summary": "; ".join(
                        f"{v.field}: {v.problem}" for v in violations
                    ),
                    # Converted to errors by parsing._rule_errors.
                    "problems": violations,
                },
            )
        return self

    def service(self, name: str) -> Service | None:
        """Returns the service of this name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def region_of(self, failure_domain: str) -> str | None:
        """Returns the region of a failure domain, or None."""
        for region in self.regions:
            if failure_domain in region.failure_domains:
                return region.name
        return None


class StoredDocument(Model):
    """The value of the platform key that holds the deployment document."""

    revision: int = Field(
        ge=1,
        description="Increases by one with each accepted write.",
    )
    change_id: str = Field(description="Unique id of the last accepted write.")
    recent_changes: list[str] = Field(
        [],
        description=(
            f"Ids of the last {RECENT_CHANGES} accepted writes, newest last;"
            " includes `change_id`."
        ),
    )
    document: Document
