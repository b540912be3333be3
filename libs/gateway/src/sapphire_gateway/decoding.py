"""Errors of decoding what other processes have written."""

from __future__ import annotations

import msgspec

# Decoding deeply nested data raises RecursionError, which is no DecodeError.
DECODING_ERRORS = (msgspec.DecodeError, ValueError, RecursionError)
