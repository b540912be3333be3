"""Rules that concern several fields of a document at once."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphire_config.document import Document, Service


@dataclass(frozen=True)
class Problem:
    """One bad setting.

    Attributes:
        field: Path of the field, with dots.
        value: The value found.
        what: What is wrong with it.
        remedy: What to change.
    """

    field: str
    value: object
    what: str
    remedy: str


def problems(document: Document) -> list[Problem]:
    """Returns every violation of a rule, in the order of the document."""
    return [
        *_places(document),
        *_services(document),
        *_leaf_addresses(document),
        *_out_of_service(document),
    ]


def _places(document: Document) -> Iterator[Problem]:
    yield from _duplicates(
        "region",
        ((f"regions.{i}.name", r.name) for i, r in enumerate(document.regions)),
    )
    yield from _duplicates(
        "failure domain",
        (
            (f"regions.{i}.failure_domains.{j}", domain)
            for i, region in enumerate(document.regions)
            for j, domain in enumerate(region.failure_domains)
        ),
    )


def _services(document: Document) -> Iterator[Problem]:
    services = list(enumerate(document.services))
    yield from _duplicates(
        "service", ((f"services.{i}.name", s.name) for i, s in services)
    )
    for index, service in services:
        path = f"services.{index}"
        yield from _duplicates(
            f"class of {service.name}",
            (
                (f"{path}.classes.{j}.name", c.name)
                for j, c in enumerate(service.classes)
            ),
        )
        yield from _shape(path, service)


def _shape(path: str, service: Service) -> Iterator[Problem]:
    shape = service.leaf
    if shape.connections < shape.slots:
        yield Problem(
            f"{path}.leaf.connections",
            shape.connections,
            f"fewer connections than the {shape.slots} slots, which each need"
            " one",
            f"Allow at least {shape.slots} connections or fewer slots.",
        )
    if shape.cold_concurrency > shape.slots:
        yield Problem(
            f"{path}.leaf.cold_concurrency",
            shape.cold_concurrency,
            f"a cold leaf would get more than the {shape.slots} slots of a"
            " warm one",
            f"Use at most {shape.slots}.",
        )


def _leaf_addresses(document: Document) -> Iterator[Problem]:
    known = _domains(document)
    # One holder limits the work on one address. Two services at the same
    # address would each be granted the whole limit.
    seen: dict[str, str] = {}
    for i, service in enumerate(document.services):
        for j, leaf in enumerate(service.leaves):
            path = f"services.{i}.leaves.{j}"
            if leaf.address in seen:
                yield Problem(
                    f"{path}.address",
                    leaf.address,
                    f"the address is already at {seen[leaf.address]}",
                    "Give each leaf its own address or remove one entry.",
                )
            seen.setdefault(leaf.address, path)
            if leaf.address.endswith(":0"):
                yield Problem(
                    f"{path}.address",
                    leaf.address,
                    "port 0 can't be connected to",
                    "Use the port on which the leaf listens.",
                )
            if leaf.failure_domain not in known:
                yield Problem(
                    f"{path}.failure_domain",
                    leaf.failure_domain,
                    "unknown failure domain",
                    f"Use one of {_listing(known)} or add it to a region.",
                )


def _out_of_service(document: Document) -> Iterator[Problem]:
    known = _domains(document)
    out = document.out_failure_domains
    for i, domain in enumerate(out):
        if domain not in known:
            yield Problem(
                f"out_failure_domains.{i}",
                domain,
                "unknown failure domain",
                f"Use one of {_listing(known)}.",
            )
    if set(known) <= set(out):
        yield Problem(
            "out_failure_domains",
            out,
            "no failure domain would stay in service",
            "Leave at least one failure domain in service.",
        )
    yield from _duplicates(
        "failure domain",
        ((f"out_failure_domains.{i}", d) for i, d in enumerate(out)),
    )
    yield from _duplicates(
        "VM", ((f"out_vms.{i}", vm) for i, vm in enumerate(document.out_vms))
    )


def _duplicates(
    what: str, named: Iterable[tuple[str, str]]
) -> Iterator[Problem]:
    seen: dict[str, str] = {}
    for path, name in named:
        if name in seen:
            yield Problem(
                path,
                name,
                f"duplicate {what}, first at {seen[name]}",
                "Rename or remove one of the two.",
            )
        seen.setdefault(name, path)


def _domains(document: Document) -> list[str]:
    return [d for r in document.regions for d in r.failure_domains]


def _listing(names: list[str]) -> str:
    return ", ".join(names)
