"""Choice of the VM whose feed this VM reads, instead of the store."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import Protocol

import trio
from sapphire_core.errors import SapphireError
from sapphire_core.members import Member
from sapphire_core.storerevision import StoreRevision

from sapphire_gateway import telemetry
from sapphire_gateway.store import Batch

# A VM whose feed failed is not used again for this long.
FEED_RETRY_DELAY_S = 5.0


# Returns the VM to read changes from, or None for the store. Arguments are this
# VM's entry, the names of VMs to avoid, and whether the store answers this VM.
SelectChangeSource = Callable[[Member, Container[str], bool], Member | None]


class Feed(Protocol):
    """Client of another VM that relays the changes of the store."""

    async def changes(self, after: StoreRevision | None) -> Batch:
        """Waits up to LONG_POLL_S for changes after a revision.

        Returns the full state if the revision is None, or if the other VM no
        longer has all changes after it.

        Raises:
            StoreUnavailableError: The VM did not respond, or its data are too
                old.
        """

    async def held(self) -> Batch:
        """Returns the writes that the VM holds.

        Raises:
            StoreUnavailableError: The VM did not respond, or its data are too
                old.
        """

    def close(self) -> None:
        """Closes the connections."""


class FeedSelector:
    """The current feed, if any, and the feeds to avoid."""

    def __init__(
        self, select: SelectChangeSource, connect: Callable[[Member], Feed]
    ) -> None:
        """Creates a selector without a feed.

        Args:
            select: Chooses the VM to read changes from.
            connect: Returns a client of a VM's feed.
        """
        self._select = select
        self._connect = connect
        self._source: Member | None = None
        self._feed: Feed | None = None
        # VMs whose feed has failed, with the time until which each is avoided.
        self._avoided_until: dict[str, float] = {}

    @property
    def source(self) -> Member | None:
        """The VM whose feed is used; None if the store is read."""
        return self._source

    def choose(self, own_entry: Member, can_watch: bool) -> Feed | None:
        """Chooses again, and returns the feed to use or None for the store.

        Args:
            own_entry: This VM's entry.
            can_watch: Whether the store answers this VM.
        """
        now = trio.current_time()
        self._avoided_until = {
            name: until
            for name, until in self._avoided_until.items()
            if now < until
        }
        chosen = self._select(own_entry, self._avoided_until, can_watch)
        if not _is_same(self._source, chosen):
            self._close()
            if chosen is not None:
                self._feed = self._connect(chosen)
                telemetry.event("feed", member=chosen.name)
        self._source = chosen
        return self._feed

    def forgive(self, own_entry: Member) -> bool:
        """Forgets which feeds have failed; returns whether one may be used."""
        self._avoided_until.clear()
        return self._select(own_entry, (), True) is not None

    def drop(self, error: SapphireError) -> None:
        """Gives up the current feed, which is avoided for some time."""
        assert self._source is not None
        name = self._source.name
        self._avoided_until[name] = trio.current_time() + FEED_RETRY_DELAY_S
        self._close()
        telemetry.event("feed_lost", member=name, error=str(error))

    def _close(self) -> None:
        if self._feed is not None:
            self._feed.close()
        self._feed = None
        self._source = None


def _is_same(current: Member | None, chosen: Member | None) -> bool:
    """Returns whether two members have the same name and feed address."""
    if current is None or chosen is None:
        return current is chosen
    return (current.name, current.peer_address) == (
        chosen.name,
        chosen.peer_address,
    )
