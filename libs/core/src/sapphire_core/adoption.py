"""Adoption of configuration revisions (section 6.6 of docs/design.md)."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection
from dataclasses import dataclass


class Source(enum.StrEnum):
    """Where a daemon received a revision from."""

    PLATFORM = "platform"
    WATCH = "watch"
    PEER = "peer"


@dataclass(frozen=True)
class ConfigDocument:
    """A document and its revision as read from a source.

    Attributes:
        revision: Revision of the document; 0 if the source has none.
        document: The JSON text.
        source: Where the document was read.
    """

    revision: int
    document: str
    source: Source


class Adoption:
    """The current configuration of one daemon, whose revision never falls.

    The platform may return a stale value, and a peer may be behind, so a
    document is adopted or ignored by its revision alone, whatever its source.
    """

    def __init__(self) -> None:
        self._current: ConfigDocument | None = None
        self._highest = 0

    @property
    def current(self) -> ConfigDocument | None:
        """The adopted document; None before the first one."""
        return self._current

    @property
    def revision(self) -> int:
        """The adopted revision, which daemons tell each other; 0 if none."""
        return self._current.revision if self._current else 0

    @property
    def is_ready(self) -> bool:
        """Whether the daemon has adopted a configuration."""
        return self._current is not None

    @property
    def is_behind(self) -> bool:
        """Whether a revision above the adopted one is known to exist."""
        return self._highest > self.revision

    def adopt(self, document: ConfigDocument) -> bool:
        """Adopts a document of a higher revision; returns whether it did.

        The caller must have validated the document.
        """
        if document.revision <= self.revision:
            return False
        self._current = document
        self._highest = max(self._highest, document.revision)
        return True

    def observe_revision(self, revision: int) -> bool:
        """Records a revision number that another daemon has sent.

        Returns:
            Whether to fetch the document from the peer that sent the number.
        """
        self._highest = max(self._highest, revision)
        return revision > self.revision


class Resolution(enum.StrEnum):
    """What a read reveals about a change whose write was not confirmed."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    REPEAT = "repeat"
    READ_AGAIN = "read again"
    # So many changes followed that the list would no longer contain the id of
    # an accepted change, so that its absence proves nothing.
    HISTORY_TRUNCATED = "forgotten"


def resolve_write(
    change_id: str,
    base: int,
    *,
    found_revision: int,
    found_changes: Collection[str],
    at_least: int = 0,
    max_change_ids: float = math.inf,
) -> Resolution:
    """Determines the result of a write that was unconfirmed or conflicted.

    A read of the base revision proves nothing: the platform may return a
    stale value, and the write may take effect later. Repeating the same
    compare-and-swap gives a definite result.

    Args:
        change_id: Unique id of the change.
        base: The revision that the write replaces.
        found_revision: The revision that was read.
        found_changes: The recent change ids in the document that was read.
        at_least: The revision reported by a conflict; 0 if the write was
            unconfirmed.
        max_change_ids: Maximum number of change ids that a document lists.
    """
    if change_id in found_changes:
        return Resolution.ACCEPTED
    if found_revision > base + max_change_ids:
        return Resolution.HISTORY_TRUNCATED
    if found_revision > base:
        return Resolution.REFUSED
    return Resolution.READ_AGAIN if at_least > base else Resolution.REPEAT
