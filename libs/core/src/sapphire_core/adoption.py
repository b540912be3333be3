"""Adoption of configuration revisions (section 6.6 of docs/design.md)."""

from __future__ import annotations

import enum
import math
from collections.abc import Collection
from dataclasses import dataclass


class Source(enum.StrEnum):
    """Where a daemon learnt of a revision."""

    PLATFORM = "platform"
    WATCH = "watch"
    PEER = "peer"


@dataclass(frozen=True)
class Offer:
    """A document with its revision, as a source has it.

    Attributes:
        revision: Revision of the document; 0 if the source has none.
        document: The JSON text.
        source: Where it was read.
    """

    revision: int
    document: str
    source: Source


class Adoption:
    """The configuration in force in one daemon, which never reverts.

    The platform may answer with an old value, and a peer may be behind, so
    that an offer is judged by its revision alone, whatever its source.
    """

    def __init__(self) -> None:
        self._current: Offer | None = None
        self._highest = 0

    @property
    def current(self) -> Offer | None:
        """The offer in force; None before the first one."""
        return self._current

    @property
    def revision(self) -> int:
        """The revision in force, for pings and views; 0 for none."""
        return self._current.revision if self._current else 0

    @property
    def is_ready(self) -> bool:
        """Whether the daemon has a configuration to serve with."""
        return self._current is not None

    @property
    def is_behind(self) -> bool:
        """Whether a revision above the one in force is known to exist."""
        return self._highest > self.revision

    def offer(self, offer: Offer) -> bool:
        """Adopts a document of a higher revision; returns whether it did.

        The caller validates the document before it offers it.
        """
        if offer.revision <= self.revision:
            return False
        self._current = offer
        self._highest = max(self._highest, offer.revision)
        return True

    def observe_revision(self, revision: int) -> bool:
        """Notes a revision number from a ping, pong or view.

        Returns:
            Whether to fetch the document from the peer that mentioned it.
        """
        self._highest = max(self._highest, revision)
        return revision > self.revision


class Resolution(enum.StrEnum):
    """What a read shows about a change whose write was not confirmed."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    REPEAT = "repeat"
    READ_AGAIN = "read again"
    # So many changes followed that the list no longer holds the id.
    FORGOTTEN = "forgotten"


def resolve_write(
    change_id: str,
    base: int,
    *,
    found_revision: int,
    found_changes: Collection[str],
    at_least: int = 0,
    kept_changes: float = math.inf,
) -> Resolution:
    """Decides about a change whose write was lost or met a conflict.

    A read of the base revision proves nothing: the platform may answer with
    an old value, and the write may take effect later. Repeating the same
    compare-and-swap settles it.

    Args:
        change_id: Unique id of the change.
        base: The revision that the write replaces.
        found_revision: The revision that was read.
        found_changes: The recent change ids of the document that was read.
        at_least: The revision that a conflict named; 0 if the write was lost.
        kept_changes: Number of change ids that a document lists at most.
    """
    if change_id in found_changes:
        return Resolution.ACCEPTED
    if found_revision > base + kept_changes:
        return Resolution.FORGOTTEN
    if found_revision > base:
        return Resolution.REFUSED
    return Resolution.READ_AGAIN if at_least > base else Resolution.REPEAT
