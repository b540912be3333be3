"""Decoding of what other processes have written."""

from __future__ import annotations

import msgspec
from sapphire_core.storerevision import StoreRevision

# Decoding deeply nested data raises RecursionError, which is no DecodeError.
DECODING_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
# Digits of the largest number that is taken; any real one has fewer.
MAX_DIGITS = 18


def parse_count(text: bytes | str) -> int | None:
    """Returns a number of at most MAX_DIGITS digits, or None.

    Signs, underscores and digits of other scripts, which int() takes, mean
    nothing. Spaces around the number are left out.
    """
    text = text.strip()
    is_count = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    return int(text) if is_count else None


def parse_revision(
    number: bytes | str, era: bytes | str
) -> StoreRevision | None:
    """Returns a revision of the store, or None if a part is no count."""
    parsed_number = parse_count(number)
    parsed_era = parse_count(era)
    if parsed_number is None or parsed_era is None:
        return None
    return StoreRevision(parsed_era, parsed_number)
