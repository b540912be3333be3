"""Merges the records that the parts of a search return."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def greatest(bodies: Iterable[bytes], top: int) -> bytes:
    """Returns the greatest records of all bodies in descending byte order.

    Args:
        bodies: Fixed-size records in any order; trailing bytes that do not
            fill a record are ignored.
        top: Maximum number of records to return.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top, records))
