"""How current a VM's copy of the platform's store is, and how long to watch.

A VM copies the store's keys and then watches the store for changes. A watch
that stays silent does not prove that nothing has changed: the store may have
accepted it and lost it. Other calls that the store answers prove that the store
works, not that the watch does. Therefore

- a watch waits no longer than the time that has passed without a disruption, so
  that a watch that was lost in a disruption is soon asked again;
- after a disruption, the copy counts as current only once a watch or a read has
  been answered;
- each revision that the VM hears of from elsewhere is compared with its own.

A store that comes back from an older copy begins a new era: its revisions are
newer than all those of the era before, whatever their numbers.
"""

from __future__ import annotations

import math

from sapphire_core.storerevision import NO_REVISION, StoreRevision

# Shortest wait of a watch. With the delay before a failed watch is asked again
# it is short enough for feeds to go on after a single failure.
MIN_WATCH_S = 0.25
# Longest wait of a watch; a waiting watch counts as a call to the store.
MAX_WATCH_S = 25.0
# Time within which the changes up to a revision that is known from elsewhere
# have to arrive. It covers the pause between two watches and a slow store.
CATCH_UP_S = 1.0


class Freshness:
    """State of the copy; times are seconds of one monotonic clock."""

    def __init__(self) -> None:
        self._revision: StoreRevision | None = None
        self._newest_revision = NO_REVISION
        self._behind_since: float | None = None
        self._disrupted_at = math.inf
        self._is_confirmed = False
        self._current_at = -math.inf

    @property
    def revision(self) -> StoreRevision | None:
        """Revision up to which all changes were applied; None before any."""
        return self._revision

    @property
    def newest_revision(self) -> StoreRevision:
        """Newest revision that the store is known to have."""
        return self._newest_revision

    def age_s(self, now: float) -> float:
        """Returns the time since the copy was last known to be current.

        Infinity before the first full read.
        """
        return now - self._current_at

    def watch_limit_s(self, now: float) -> float:
        """Returns how long a watch that is asked now may wait, in seconds."""
        return min(max(now - self._disrupted_at, MIN_WATCH_S), MAX_WATCH_S)

    def is_overdue(self, now: float) -> bool:
        """Returns whether known changes have not arrived for CATCH_UP_S."""
        if self._revision is None or self._behind_since is None:
            return False
        since = max(self._behind_since, self._disrupted_at)
        return now - since >= CATCH_UP_S

    def record_disruption(self, now: float) -> None:
        """Records the start, a failed call, or another reason for doubt.

        The copy does not count as current until `record_current`.
        """
        self._disrupted_at = now
        self._is_confirmed = False

    def record_contact(self, now: float) -> None:
        """Records that the store answered a call that carries no changes.

        If no disruption has been seen since the last answer with changes, the
        watch is taken to work, and the copy to be current.
        """
        if self._is_confirmed and self._behind_since is None:
            self._current_at = now

    def record_applied(self, revision: StoreRevision) -> None:
        """Records that changes were applied and that more may be waiting."""
        self._revision = revision
        if revision >= self._newest_revision:
            self._newest_revision = revision
            self._behind_since = None

    def record_current(self, revision: StoreRevision, as_of: float) -> None:
        """Records that all changes were applied that existed at a time.

        Args:
            revision: The store's revision at that time.
            as_of: The time.
        """
        self.record_applied(revision)
        self._is_confirmed = True
        self._current_at = max(self._current_at, as_of)

    def record_store_revision(self, revision: StoreRevision) -> None:
        """Records a revision that the store itself has just returned.

        It replaces a greater one that was heard of from elsewhere, but not that
        of changes that were applied.
        """
        self._newest_revision = max(revision, self._revision or NO_REVISION)

    def learn_revision(self, revision: StoreRevision, now: float) -> None:
        """Records that the store has reached a revision.

        Sources are writes of this VM and other VMs.
        """
        if revision <= self._newest_revision:
            return
        self._newest_revision = revision
        if self._behind_since is None:
            self._behind_since = now
