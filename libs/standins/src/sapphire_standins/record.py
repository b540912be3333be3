"""Record of the calls that a leaf has received since its process started."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any


def now_ms() -> float:
    """Returns the machine's monotonic clock, the same in all processes."""
    return time.monotonic() * 1000


@dataclass(frozen=True)
class Execution:
    """One execution of a submission."""

    body: Any
    at_ms: float


@dataclass
class Record:
    """Counters and times of a leaf's calls; a simulated crash keeps them.

    Times are in milliseconds of the machine's monotonic clock.

    Attributes:
        searches: Search calls that got a slot.
        batches: Search calls with more than one query that got a slot.
        queries: Queries in search calls that got a slot.
        greatest_batch: Largest number of queries in a search call that got a
            slot.
        cancellations: Cancel calls.
        submissions: Executions of submissions by key.
        versions: Search calls that got a slot, by index version.
        version_gone: Search calls for a version or shard that the leaf does not
            serve.
        last_new_work_ms: Arrival time of the last search or submit call, by
            the caller's IP address.
    """

    searches: int = 0
    batches: int = 0
    queries: int = 0
    greatest_batch: int = 0
    cancellations: int = 0
    submissions: dict[str, list[Execution]] = field(default_factory=dict)
    versions: dict[str, int] = field(default_factory=dict)
    version_gone: int = 0
    last_new_work_ms: dict[str, float] = field(default_factory=dict)

    def set_arrival_time(self, caller: str) -> None:
        """Sets the arrival time of the caller's last search or submit call."""
        self.last_new_work_ms[caller] = now_ms()

    def add_search(self, version: str, queries: int) -> None:
        """Records a search call that got a slot."""
        self.searches += 1
        self.batches += queries > 1
        self.queries += queries
        self.greatest_batch = max(self.greatest_batch, queries)
        self.versions[version] = self.versions.get(version, 0) + 1

    def add_submission(self, key: str, body: Any) -> int:
        """Records an execution; returns the number of executions of the key."""
        executions = self.submissions.setdefault(key, [])
        executions.append(Execution(body, now_ms()))
        return len(executions)
