"""The list of entry addresses that is offered to callers."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Address:
    """Address of an entry that accepts callers."""

    address: str
    failure_domain: str


class AddressRotation:
    """Rotates address lists to distribute callers over the entries."""

    def __init__(self, start: int) -> None:
        """Sets the first offset, which should differ between entries."""
        self._offsets = itertools.count(start)

    def order(
        self, addresses: Iterable[Address], preferred_domain: str | None
    ) -> list[Address]:
        """Returns the preferred domain first; each part is rotated."""
        offset = next(self._offsets)
        listed = sorted(addresses, key=lambda a: a.address)
        near = [a for a in listed if a.failure_domain == preferred_domain]
        far = [a for a in listed if a.failure_domain != preferred_domain]
        return _rotate(near, offset) + _rotate(far, offset)


def usable_addresses(
    records: Iterable[Any], is_out_of_service: Callable[[str, str], bool]
) -> list[Address]:
    """Returns the addresses of the entries that are ready and in service.

    Args:
        records: Latest EntryRecord of each entry.
        is_out_of_service: Called with VM and failure domain; whether the VM is
            out of service or about to be removed.
    """
    return [
        Address(record.address, record.failure_domain)
        for record in records
        if record.ready
        and not is_out_of_service(record.vm, record.failure_domain)
    ]


def _rotate(items: Sequence[Address], offset: int) -> list[Address]:
    if not items:
        return []
    start = offset % len(items)
    return [*items[start:], *items[:start]]
