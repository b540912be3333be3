"""What a leaf has been asked to do since its start."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any


def now_ms() -> float:
    """Returns the system's monotonic time, comparable between processes."""
    return time.monotonic() * 1000


@dataclass(frozen=True)
class Execution:
    """One execution of a submission."""

    body: Any
    at_ms: float


@dataclass
class Record:
    """Counters of calls; times are monotonic milliseconds.

    Attributes:
        searches: Search calls that got a slot.
        batches: Those with more than one query.
        queries: Queries in search calls that got a slot.
        greatest_batch: Greatest number of queries in one call.
        cancellations: Calls to cancel.
        submissions: Executions by key.
        versions: Searches by index version.
        version_gone: Calls for a version or shard that is not here.
        last_new_work_ms: Arrival of the last call for work by caller's IP.
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

    def add_arrival(self, caller: str) -> None:
        """Notes that a caller asked for work."""
        self.last_new_work_ms[caller] = now_ms()

    def add_search(self, version: str, queries: int) -> None:
        """Notes a search call that got a slot."""
        self.searches += 1
        self.batches += queries > 1
        self.queries += queries
        self.greatest_batch = max(self.greatest_batch, queries)
        self.versions[version] = self.versions.get(version, 0) + 1

    def add_submission(self, key: str, body: Any) -> int:
        """Notes an execution and returns its number for the key."""
        executions = self.submissions.setdefault(key, [])
        executions.append(Execution(body, now_ms()))
        return len(executions)
