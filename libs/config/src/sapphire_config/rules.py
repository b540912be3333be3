"""Validation rules between several fields of a deployment document."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphire_config.document import Document, Service


@dataclass(frozen=True)
class RuleViolation:
    """One field that violates a rule.

    Attributes:
        field: Dotted path of the field.
        value: The value found.
        problem: What is wrong with the value.
        remedy: What to change.
    """

    field: str
    value: object
    problem: str
    remedy: str


def rule_violations(document: Document) -> list[RuleViolation]:
    """Returns all violations, grouped by the part of the document."""
    return [
        *_check_regions(document),
        *_check_services(document),
        *_check_leaves(document),
        *_check_out_of_service(document),
    ]


def _check_regions(document: Document) -> Iterator[RuleViolation]:
    yield from _check_unique(
        "region",
        ((f"regions.{i}.name", r.name) for i, r in enumerate(document.regions)),
    )
    yield from _check_unique(
        "failure domain",
        (
            (f"regions.{i}.failure_domains.{j}", domain)
            for i, region in enumerate(document.regions)
            for j, domain in enumerate(region.failure_domains)
        ),
    )


def _check_services(document: Document) -> Iterator[RuleViolation]:
    services = list(enumerate(document.services))
    yield from _check_unique(
        "service", ((f"services.{i}.name", s.name) for i, s in services)
    )
    for index, service in services:
        path = f"services.{index}"
        yield from _check_unique(
            f"request class of service {service.name}",
            (
                (f"{path}.classes.{j}.name", c.name)
                for j, c in enumerate(service.classes)
            ),
        )
        yield from _check_leaf_shape(path, service)


def _check_leaf_shape(path: str, service: Service) -> Iterator[RuleViolation]:
    shape = service.leaf
    if shape.connections < shape.slots:
        yield RuleViolation(
            f"{path}.leaf.connections",
            shape.connections,
            f"fewer connections than the {shape.slots} slots, each of which"
            " needs one",
            f"Allow at least {shape.slots} connections or fewer slots.",
        )
    if shape.cold_concurrency > shape.slots:
        yield RuleViolation(
            f"{path}.leaf.cold_concurrency",
            shape.cold_concurrency,
            f"more concurrent requests than the {shape.slots} slots of a warm"
            " leaf",
            f"Use at most {shape.slots}.",
        )


def _check_leaves(document: Document) -> Iterator[RuleViolation]:
    known = _failure_domains(document)
    # The aggregator that holds the right to send to a leaf enforces the limits
    # of the leaf, but for each service separately. If two services had a leaf
    # with the same address, each of them could use it up to the full limits.
    seen: dict[str, str] = {}
    for i, service in enumerate(document.services):
        for j, leaf in enumerate(service.leaves):
            path = f"services.{i}.leaves.{j}"
            if leaf.address in seen:
                yield RuleViolation(
                    f"{path}.address",
                    leaf.address,
                    f"the address is already used by {seen[leaf.address]}",
                    "Give each leaf its own address or remove one of the two.",
                )
            seen.setdefault(leaf.address, path)
            if leaf.address.endswith(":0"):
                yield RuleViolation(
                    f"{path}.address",
                    leaf.address,
                    "port 0 can't be connected to",
                    "Use the port on which the leaf listens.",
                )
            if leaf.failure_domain not in known:
                yield RuleViolation(
                    f"{path}.failure_domain",
                    leaf.failure_domain,
                    "unknown failure domain",
                    f"Use one of {_comma_separated(known)} or add it to a"
                    " region.",
                )


def _check_out_of_service(document: Document) -> Iterator[RuleViolation]:
    known = _failure_domains(document)
    out = document.out_failure_domains
    for i, domain in enumerate(out):
        if domain not in known:
            yield RuleViolation(
                f"out_failure_domains.{i}",
                domain,
                "unknown failure domain",
                f"Use one of {_comma_separated(known)}.",
            )
    if set(known) <= set(out):
        yield RuleViolation(
            "out_failure_domains",
            out,
            "no failure domain would stay in service",
            "Leave at least one failure domain in service.",
        )
    yield from _check_unique(
        "failure domain",
        ((f"out_failure_domains.{i}", d) for i, d in enumerate(out)),
    )
    yield from _check_unique(
        "VM", ((f"out_vms.{i}", vm) for i, vm in enumerate(document.out_vms))
    )


def _check_unique(
    kind: str, paths_and_names: Iterable[tuple[str, str]]
) -> Iterator[RuleViolation]:
    seen: dict[str, str] = {}
    for path, name in paths_and_names:
        if name in seen:
            yield RuleViolation(
                path,
                name,
                f"duplicate {kind}, first at {seen[name]}",
                "Rename or remove one of the two.",
            )
        seen.setdefault(name, path)


def _failure_domains(document: Document) -> list[str]:
    return [d for r in document.regions for d in r.failure_domains]


def _comma_separated(names: list[str]) -> str:
    return ", ".join(names)
