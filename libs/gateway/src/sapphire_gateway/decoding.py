"""Decoding of what other processes have written."""

from __future__ import annotations

import msgspec

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
