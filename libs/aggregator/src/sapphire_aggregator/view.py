"""Answers the requests by which entry daemons poll for this daemon's view.

Entry daemons accept the callers' requests. A view consists of the leaves that
this daemon holds, the aggregators and entry daemons that it knows, quarantined
queries and revisions.
"""

from __future__ import annotations

import math
import secrets
from typing import Any

import trio
from sapphire_core.quarantine import Quarantine
from sapphire_core.window import State
from sapphire_wire.gen.ttypes import (
    LeafState,
    LeafVersion,
    LeafView,
    View,
    ViewReply,
)

from sapphire_aggregator.announcements import Announcements
from sapphire_aggregator.cellcodec import records_to_wire
from sapphire_aggregator.cellmember import CellMember
from sapphire_aggregator.leaves import LeafSet
from sapphire_aggregator.scheduler import LeafScheduler

# Minimum age of the digest before it is computed again. All entry daemons ask
# several times a second; requests within this time share the digest and its
# sequence number, but each full reply is built from the current state.
DIGEST_INTERVAL_S = 0.05
# Latencies are compared in logarithmic steps of this factor, and queue lengths
# in powers of two, so that small changes do not cause a new sequence number.
CHANGE_FACTOR = 1.25
_MIN_LATENCY_S = 0.0005
_SEQUENCE_BITS = 40
# Batch size on a leaf with little load.
_TYPICAL_BATCH = 1


class ViewHandler:
    """Answers View requests.

    The sequence number of the reply changes only with the digest of the view.
    """

    def __init__(
        self, leaves: LeafSet, cell_member: CellMember, quarantine: Quarantine
    ) -> None:
        self._leaves = leaves
        self._cell_member = cell_member
        self._quarantine = quarantine
        self._announcements = Announcements()
        # Starts at a random number, so that a restarted daemon does not repeat
        # the numbers that it sent before.
        self._sequence = secrets.randbits(_SEQUENCE_BITS) + 1
        self._digest: Any = None
        self._digest_at = -math.inf
        self.is_leaving = False

    def run(self, view: View) -> ViewReply:
        """Answers one View request."""
        self._refresh()
        now = trio.current_time()
        self._announcements.add(view.entry, now)
        self._announcements.expire(now)
        changed = view.known != self._sequence
        return ViewReply(
            member=self._cell_member.member,
            sequence=self._sequence,
            changed=changed,
            leaves=self._leaf_views() if changed else [],
            config_revision=self._cell_member.config_revision,
            quarantine=(
                records_to_wire(self._quarantine.records(now))
                if changed
                else []
            ),
            leaving=self._reports_leaving(),
            peers=self._cell_member.member_addresses if changed else [],
            entries=self._announcements.changed_records(view.known_entries),
            entries_sequence=self._announcements.sequence,
        )

    def _refresh(self) -> None:
        now = trio.current_time()
        if now - self._digest_at < DIGEST_INTERVAL_S:
            return
        self._digest_at = now
        digest = self._make_digest(now)
        if digest != self._digest:
            self._digest = digest
            self._sequence += 1

    def _make_digest(self, now: float) -> Any:
        return (
            tuple(_leaf_digest(scheduler) for scheduler in self._held_leaves()),
            self._cell_member.config_revision,
            tuple(self._cell_member.member_addresses),
            tuple(
                (record.fingerprint, record.crashes)
                for record in self._quarantine.records(now)
            ),
            self._reports_leaving(),
        )

    def _reports_leaving(self) -> bool:
        return self.is_leaving or not self._cell_member.is_in_service

    def _held_leaves(self) -> list[LeafScheduler]:
        return [scheduler for scheduler in self._leaves if scheduler.is_held]

    def _leaf_views(self) -> list[LeafView]:
        return [_leaf_view(scheduler) for scheduler in self._held_leaves()]


def leaf_state(scheduler: LeafScheduler) -> LeafState:
    """Returns the state reported to entry daemons.

    A leaf that was taken out of service is reported as draining.
    """
    if scheduler.is_out:
        return LeafState.DRAINING
    return LeafState(int(scheduler.window.state))


def _leaf_digest(scheduler: LeafScheduler) -> Any:
    versions = scheduler.index.versions if scheduler.index else ()
    latency_s = max(_MIN_LATENCY_S, scheduler.window.expected_s(_TYPICAL_BATCH))
    return (
        scheduler.address,
        scheduler.service,
        scheduler.failure_domain,
        leaf_state(scheduler),
        round(math.log(latency_s, CHANGE_FACTOR)),
        scheduler.queued.bit_length(),
        versions,
    )


def _leaf_view(scheduler: LeafScheduler) -> LeafView:
    index = scheduler.index
    usable = index is not None and scheduler.window.state is not State.DOWN
    return LeafView(
        leaf=scheduler.address,
        service_name=scheduler.service,
        failure_domain=scheduler.failure_domain,
        state=leaf_state(scheduler),
        latency_ms=scheduler.window.expected_s(_TYPICAL_BATCH) * 1000,
        queued=scheduler.queued,
        versions=[
            LeafVersion(
                version=item.version,
                shard=item.shard,
                shards=item.shards,
                documents=item.documents,
            )
            for item in (index.versions if index and usable else ())
        ],
    )
