"""Merging the records of a search's parts."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def greatest(bodies: Iterable[bytes], top: int) -> bytes:
    """Returns the greatest records of all bodies, greatest first.

    Args:
        bodies: Records in any order; a shorter remainder is no record.
        top: Number of records to return.
    """
    records = [
        body[start : start + RECORD_BYTES]
        for body in bodies
        for start in range(0, len(body) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(top, records))
