"""This VM's entry in the store, which expires unless its lease is renewed."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import replace

import trio
from sapphire_core.crashsuspects import CrashRecord
from sapphire_core.members import Member
from sapphire_core.storerevision import NO_REVISION, StoreRevision

from sapphire_gateway import telemetry
from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.store import (
    Lease,
    LeaseGoneError,
    LeaseLostError,
    Store,
    StoreUnavailableError,
)
from sapphire_gateway.storecontact import StoreContact

# A VM's entry expires this long after the last renewal.
LEASE_TTL_S = 4.5
# A renewal costs a tenth of any other call to the store, so renewals can be
# frequent.
RENEW_INTERVAL_S = 1.2
# The same for a VM that reads from a feed: its renewals do not confirm its copy
# of the store. A renewal that fails by its time-out can be repeated once
# before the lease ends.
FEED_RENEW_INTERVAL_S = 1.8
# Interval between renewals while the store does not respond.
RETRY_INTERVAL_S = 0.7


class OwnEntry:
    """Writes this VM's entry and renews its lease."""

    def __init__(
        self,
        store: Store,
        view: FleetView,
        member: Member,
        contact: StoreContact,
    ) -> None:
        """Creates an entry that is not written yet.

        Args:
            store: Client of the platform's key-value store.
            view: Fleet view, which shows whether the entry is missing.
            member: Content of the entry.
            contact: Contact with the store.
        """
        self._store = store
        self._view = view
        self._member = member
        self._contact = contact
        self._lease: Lease | None = None
        self._is_written = False
        # Whether the store may have an older entry of this VM.
        self._may_be_outdated = False
        # Revision of the last write.
        self._revision = NO_REVISION
        self._renew_now = trio.Event()

    @property
    def member(self) -> Member:
        """Content of the entry, written or not."""
        return self._member

    def renew_soon(self) -> None:
        """Renews the lease without waiting for the next interval."""
        self._renew_now.set()

    def publish_leaving(self) -> None:
        """Publishes that this VM is leaving the fleet."""
        self._replace(replace(self._member, leaving=True))

    def publish_suspects(self, suspects: tuple[CrashRecord, ...]) -> None:
        """Publishes which requests may crash leaves.

        VMs that start later use this to refuse such requests.
        """
        self._replace(replace(self._member, suspects=suspects))

    def restore_if_missing(self) -> None:
        """Writes the entry again if the view shows that it was removed."""
        if self._view.is_own_entry_missing and not self._member.leaving:
            self._write_soon()

    def is_lost(self, members: Container[str], revision: StoreRevision) -> bool:
        """Returns whether a full state lacks the entry, though it was written.

        Args:
            members: Names of the members in the full state.
            revision: Revision of the full state.
        """
        return (
            self._is_written
            and self._member.name not in members
            and self._revision <= revision
        )

    async def run(self) -> None:
        """Keeps the entry written and its lease renewed, until cancelled."""
        while True:
            self._renew_now = trio.Event()
            pause = FEED_RENEW_INTERVAL_S
            if self._contact.is_watching_store:
                pause = RENEW_INTERVAL_S
            try:
                await self._renew()
                self._contact.record_response()
            except LeaseGoneError as error:
                telemetry.event("lease_gone", error=str(error))
                self._lease = None
                self._is_written = False
                self._may_be_outdated = isinstance(error, LeaseLostError)
                continue
            except StoreUnavailableError as error:
                self._contact.record_failure("renewal", error)
                pause = RETRY_INTERVAL_S
            with trio.move_on_after(pause):
                await self._renew_now.wait()

    async def _renew(self) -> None:
        if self._lease is None:
            # Without an entry, nothing has to be taken back.
            if self._member.leaving and not self._may_be_outdated:
                return
            self._lease = await self._store.open_lease(LEASE_TTL_S)
        elif self._is_written:
            await self._store.renew_lease(self._lease)
        if not self._is_written:
            # The lease is not renewed in an iteration that writes the entry.
            # It is safe to skip one renewal, as LEASE_TTL_S is longer than
            # several renewal intervals.
            await self._write(self._lease)

    async def _write(self, lease: Lease) -> None:
        member = self._member
        self._revision = await self._store.put_member(member, lease)
        self._view.freshness.learn_revision(self._revision, trio.current_time())
        # If the entry was replaced during the write, the next iteration writes
        # it again.
        self._is_written = member is self._member
        self._may_be_outdated = False
        self._view.is_own_entry_missing = False

    def _replace(self, member: Member) -> None:
        self._member = member
        self._write_soon()

    def _write_soon(self) -> None:
        self._is_written = False
        self._renew_now.set()
