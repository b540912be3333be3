"""Rendezvous hashing, which assigns keys such as leaf addresses to members."""

from __future__ import annotations

import functools
import hashlib
from collections.abc import Iterable

# All weights are below this.
MAX_WEIGHT = 1 << 64


@functools.lru_cache(maxsize=1 << 16)
def weight(key: str, member: str) -> int:
    """Returns the 64-bit weight of a member for a key."""
    digest = hashlib.blake2b(
        f"{key}\0{member}".encode(), digest_size=8
    ).digest()
    return int.from_bytes(digest, "big")


def ranking(key: str, members: Iterable[str]) -> list[str]:
    """Returns the members in descending order of their weight for the key.

    Adding or removing a member does not change the order of the others.
    """
    return sorted(members, key=lambda m: (weight(key, m), m), reverse=True)
