"""What a leaf has asked of its callers; does no I/O."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class LeafTerms:
    """What one incarnation of a leaf asks for in its answers.

    Attributes:
        limit_per_s: Requests a second that the leaf takes from all VMs
            together; infinity if it names no limit.
    """

    limit_per_s: float = math.inf

    def record_limit(self, limit_per_s: float) -> bool:
        """Records the limit in an answer, infinity if it names none.

        Returns:
            Whether the limit has changed.
        """
        has_changed = limit_per_s != self.limit_per_s
        self.limit_per_s = limit_per_s
        return has_changed

    @property
    def has_limit(self) -> bool:
        """Whether the leaf limits the requests to it."""
        return math.isfinite(self.limit_per_s)
