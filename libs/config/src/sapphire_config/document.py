"""The deployment document that operators edit."""

from __future__ import annotations

import json
from typing import Annotated, Self, TypeVar

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    ValidationError,
    model_validator,
)
from sapphire_core.errors import SettingsError

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
MAX_DOCUMENT_BYTES = 1_000_000


class Model(BaseModel):
    """Base of all models: unknown fields are errors, values are frozen."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Region(Model):
    """A region and its failure domains."""

    name: Name
    failure_domains: list[Name] = Field(min_length=1)


class Leaf(Model):
    """One leaf: the address of one shard replica."""

    address: Address
    failure_domain: Name


class LeafShape(Model):
    """Limits that all leaves of a service share."""

    slots: int = Field(2, ge=1, le=64, description="Concurrent requests.")
    connections: int = Field(25, ge=1, le=10_000)
    connect_ms: float = Field(6.0, ge=0, description="Cost of a connection.")
    multi_search: bool = True
    max_batch: int = Field(64, ge=1, le=1024, description="Queries a call.")
    cold_concurrency: int = Field(1, ge=1, le=64)
    cold_batch: int = Field(4, ge=1, le=64, description="Queries a call.")


class RequestClass(Model):
    """A class of requests with its limits and its objective."""

    name: Name
    priority: int = Field(ge=0, le=9, description="0 is the highest.")
    deadline_ms: int = Field(170, ge=1, le=60_000)
    max_k: int = Field(100, ge=1, le=10_000)
    max_concurrent: int = Field(100, ge=1, description="On each entry.")
    canary: bool = True
    objective: float = Field(
        0.99, gt=0, lt=1, description="Share complete and on time."
    )


class Service(Model):
    """A service, its leaves and its request classes."""

    name: Name
    accepts_submissions: bool = False
    leaf: LeafShape = LeafShape()
    leaves: list[Leaf] = Field(min_length=1)
    classes: list[RequestClass] = Field(min_length=1)


class Limits(Model):
    """Limits of each daemon."""

    max_body_bytes: int = Field(65_536, ge=1_024, le=1_000_000)
    body_timeout_ms: int = Field(2_000, ge=10, le=60_000)
    max_concurrent: int = Field(200, ge=1, description="On each entry.")
    hedge_share: float = Field(0.05, ge=0, le=0.5)
    quarantine_s: float = Field(600.0, ge=1)
    address_keep_ms: int = Field(2_000, ge=100, le=3_000)


class Document(Model):
    """The whole deployment: places, services and limits."""

    name: Name
    regions: list[Region] = Field(min_length=1)
    services: list[Service] = Field(min_length=1)
    limits: Limits = Limits()
    out_failure_domains: list[Name] = []
    out_vms: list[str] = Field([], description="IP addresses of VMs.")

    @model_validator(mode="after")
    def _check_references(self) -> Self:
        domains = [d for r in self.regions for d in r.failure_domains]
        _require_unique("failure domain", domains)
        _require_unique("service", [s.name for s in self.services])
        known = set(domains)
        for domain in self.out_failure_domains:
            if domain not in known:
                raise ValueError(f"unknown failure domain {domain!r}")
        if known and known <= set(self.out_failure_domains):
            raise ValueError("at least one failure domain must stay in")
        for service in self.services:
            _require_unique(
                f"class of {service.name}", [c.name for c in service.classes]
            )
            _require_unique(
                f"leaf of {service.name}", [x.address for x in service.leaves]
            )
            for leaf in service.leaves:
                if leaf.failure_domain not in known:
                    raise ValueError(
                        f"leaf {leaf.address} of {service.name} is in the"
                        f" unknown failure domain {leaf.failure_domain!r}"
                    )
        return self

    def service(self, name: str) -> Service | None:
        """Returns the named service, or None."""
        return next((s for s in self.services if s.name == name), None)

    def region_of(self, failure_domain: str) -> str | None:
        """Returns the region of a failure domain, or None."""
        for region in self.regions:
            if failure_domain in region.failure_domains:
                return region.name
        return None


class StoredDocument(Model):
    """The value of the platform key that holds the configuration."""

    revision: int = Field(ge=1)
    change_id: str
    recent_changes: list[str] = []
    document: Document


def _require_unique(what: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise ValueError(f"duplicate {what} {name!r}")
        seen.add(name)


ModelType = TypeVar("ModelType", bound=BaseModel)


def parse(model: type[ModelType], text: str) -> ModelType:
    """Returns the validated model of a JSON text.

    Raises:
        SettingsError: The text is not valid; names the first bad field.
    """
    try:
        fields = json.loads(text)
    except ValueError as error:
        raise SettingsError("document", text[:40], str(error)) from error
    try:
        return model.model_validate(fields)
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"]) or "document"
        value = first["input"] if first["loc"] else "the whole document"
        raise SettingsError(field, value, first["msg"]) from error
