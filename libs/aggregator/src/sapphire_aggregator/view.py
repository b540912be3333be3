"""Views: state of this daemon's leaves, as reported to entries."""

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
from sapphire_aggregator.cell import Cell
from sapphire_aggregator.cellcodec import records_to_wire
from sapphire_aggregator.leaves import LeafSet
from sapphire_aggregator.link import LeafLink

# Minimum age of a snapshot before it is renewed. All entries ask several times
# a second and share a snapshot.
SNAPSHOT_INTERVAL_S = 0.05
# Latencies are compared in logarithmic steps of this factor, and queue lengths
# in powers of two, so that small changes do not cause a new view.
CHANGE_FACTOR = 1.25
_MIN_LATENCY_S = 0.0005
_SEQUENCE_BITS = 40
# Batch size on a leaf with little load.
_TYPICAL_BATCH = 1


class ViewHandler:
    """Answers View requests.

    The sequence number of the reply changes only with its content.
    """

    def __init__(
        self, leaves: LeafSet, cell: Cell, quarantine: Quarantine
    ) -> None:
        self._leaves = leaves
        self._cell = cell
        self._quarantine = quarantine
        self._announcements = Announcements()
        # Starts at a random number, so that a restarted daemon does not repeat
        # the numbers that it sent before.
        self._sequence = secrets.randbits(_SEQUENCE_BITS) + 1
        self._digest: Any = None
        self._snapshot_at = -math.inf
        self.is_leaving = False

    def run(self, view: View) -> ViewReply:
        """Answers one View."""
        self._refresh()
        now = trio.current_time()
        self._announcements.add(view.entry, now)
        self._announcements.expire(now)
        changed = view.known != self._sequence
        return ViewReply(
            member=self._cell.member,
            sequence=self._sequence,
            changed=changed,
            leaves=self._views() if changed else [],
            config_revision=self._cell.config_revision,
            quarantine=(
                records_to_wire(self._quarantine.records(now))
                if changed
                else []
            ),
            leaving=self._reports_leaving(),
            peers=self._cell.peers if changed else [],
            entries=self._announcements.changed_records(view.known_entries),
            entries_sequence=self._announcements.sequence,
        )

    def _refresh(self) -> None:
        now = trio.current_time()
        if now - self._snapshot_at < SNAPSHOT_INTERVAL_S:
            return
        self._snapshot_at = now
        digest = self._make_digest(now)
        if digest != self._digest:
            self._digest = digest
            self._sequence += 1

    def _make_digest(self, now: float) -> Any:
        return (
            tuple(_leaf_digest(link) for link in self._held_leaves()),
            self._cell.config_revision,
            tuple(self._cell.peers),
            tuple(
                (record.fingerprint, record.crashes)
                for record in self._quarantine.records(now)
            ),
            self._reports_leaving(),
        )

    def _reports_leaving(self) -> bool:
        return self.is_leaving or not self._cell.is_in_service

    def _held_leaves(self) -> list[LeafLink]:
        return [link for link in self._leaves if link.is_held]

    def _views(self) -> list[LeafView]:
        return [_leaf_view(link) for link in self._held_leaves()]


def leaf_state(link: LeafLink) -> LeafState:
    """Returns the state reported to entries.

    A leaf that was taken out of service is reported as draining.
    """
    if link.is_out:
        return LeafState.DRAINING
    return LeafState(int(link.window.state))


def _leaf_digest(link: LeafLink) -> Any:
    versions = link.index.versions if link.index else ()
    latency_s = max(_MIN_LATENCY_S, link.window.expected_s(_TYPICAL_BATCH))
    return (
        link.address,
        link.service,
        link.failure_domain,
        leaf_state(link),
        round(math.log(latency_s, CHANGE_FACTOR)),
        link.queued.bit_length(),
        versions,
    )


def _leaf_view(link: LeafLink) -> LeafView:
    index = link.index
    usable = index is not None and link.window.state is not State.DOWN
    return LeafView(
        leaf=link.address,
        service_name=link.service,
        failure_domain=link.failure_domain,
        state=leaf_state(link),
        latency_ms=link.window.expected_s(_TYPICAL_BATCH) * 1000,
        queued=link.queued,
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
