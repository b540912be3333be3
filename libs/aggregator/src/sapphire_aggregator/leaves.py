"""The leaves of the daemon, kept up to date with the configuration."""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterator

import trio
from sapphire_config.document import Document, LeafShape, Service
from sapphire_core.window import LeafLimits, ReplyTimeEstimate, State

from sapphire_aggregator import log, metrics
from sapphire_aggregator.backoff import run_forever
from sapphire_aggregator.context import Client, LeafContext
from sapphire_aggregator.scheduler import LeafScheduler

POLL_INTERVAL_S = 1.0
REFRESH_INTERVAL_S = 0.2

OpenClient = Callable[[str, LeafLimits, int], Client]


def to_limits(shape: LeafShape) -> LeafLimits:
    """Converts the limits of a leaf from the document for the window."""
    return LeafLimits(
        slots=shape.slots,
        max_batch=shape.max_batch,
        cold_concurrency=shape.cold_concurrency,
        cold_batch=shape.cold_batch,
        multi_search=shape.multi_search,
        expected_s=shape.expected_ms / 1000,
    )


class LeafSet:
    """Schedulers of the leaves of this region in the document in force."""

    def __init__(
        self, context: LeafContext, region: str, open_client: OpenClient
    ) -> None:
        self._context = context
        self._region = region
        self._open_client = open_client
        self._schedulers: dict[str, dict[str, LeafScheduler]] = {}
        self._removed: list[LeafScheduler] = []
        self._to_close: list[LeafScheduler] = []
        self._reply_times: dict[str, ReplyTimeEstimate] = {}
        self._document: Document | None = None
        self._leaving_vms: frozenset[str] = frozenset()

    def __iter__(self) -> Iterator[LeafScheduler]:
        for schedulers in self._schedulers.values():
            yield from schedulers.values()

    def find(self, service: str, address: str) -> LeafScheduler | None:
        """Returns the scheduler of a leaf in the document, or None."""
        return self._schedulers.get(service, {}).get(address)

    def find_service(self, name: str) -> dict[str, LeafScheduler] | None:
        """Returns the schedulers of a service by address, or None."""
        return self._schedulers.get(name)

    def apply(self, document: Document) -> None:
        """Updates the set from a document.

        Requests that run on a removed leaf are completed.
        """
        self._document = document
        schedulers: dict[str, dict[str, LeafScheduler]] = {}
        for service in document.services:
            schedulers[service.name] = self._build_service(document, service)
        kept = {
            id(scheduler)
            for group in schedulers.values()
            for scheduler in group.values()
        }
        for scheduler in self:
            if id(scheduler) not in kept:
                scheduler.set_out(True)
                self._removed.append(scheduler)
        self._schedulers = schedulers
        self._apply_out_of_service()
        self.refresh_rights()

    def set_leaving_vms(self, leaving_vms: frozenset[str]) -> None:
        """Sets the IP addresses of the VMs that are about to be removed."""
        if leaving_vms != self._leaving_vms:
            self._leaving_vms = leaving_vms
            self._apply_out_of_service()

    def refresh_rights(self) -> None:
        """Checks the send rights of all leaves again."""
        now = trio.current_time()
        gained = lost = 0
        for scheduler in self:
            if not scheduler.refresh_right(now):
                continue
            if scheduler.is_held:
                gained += 1
            else:
                lost += 1
                self._to_close.append(scheduler)
        if gained or lost:
            log.event("send_rights", gained=gained, lost=lost)

    def refuse_queued(self) -> None:
        """Refuses all queued queries, for a planned stop."""
        for scheduler in self:
            scheduler.refuse_queued()

    @property
    def is_idle(self) -> bool:
        """Whether no request is running on any leaf."""
        return not any(
            scheduler.window.running for scheduler in [*self, *self._removed]
        )

    async def run(self) -> None:
        """Refreshes the send rights and polls indexes until cancelled."""
        await run_forever("leaves", self._refresh, REFRESH_INTERVAL_S)

    async def _refresh(self) -> None:
        self.refresh_rights()
        self._start_polls()
        await self._close_unused()
        self._update_state_gauge()

    def _build_service(
        self, document: Document, service: Service
    ) -> dict[str, LeafScheduler]:
        limits = to_limits(service.leaf)
        reply_times = self._reply_times.setdefault(
            service.name, ReplyTimeEstimate()
        )
        schedulers = {}
        for leaf in service.leaves:
            if document.region_of(leaf.failure_domain) != self._region:
                continue
            scheduler = self.find(service.name, leaf.address)
            if scheduler is None:
                client = self._open_client(
                    leaf.address, limits, service.leaf.connections
                )
                scheduler = LeafScheduler(
                    self._context,
                    service.name,
                    leaf.address,
                    leaf.failure_domain,
                    limits,
                    client,
                    reply_times,
                )
            scheduler.failure_domain = leaf.failure_domain
            scheduler.set_limits(limits)
            schedulers[leaf.address] = scheduler
        return schedulers

    def _apply_out_of_service(self) -> None:
        if self._document is None:
            return
        out_domains = set(self._document.out_failure_domains)
        out_vms = self._leaving_vms | set(self._document.out_vms)
        for scheduler in self:
            vm = scheduler.address.rpartition(":")[0]
            scheduler.set_out(
                scheduler.failure_domain in out_domains or vm in out_vms
            )

    def _start_polls(self) -> None:
        now = trio.current_time()
        for scheduler in self:
            if (
                not scheduler.is_held
                or scheduler.is_out
                or now < scheduler.next_poll_at
            ):
                continue
            interval_s = POLL_INTERVAL_S
            if scheduler.window.state is State.DOWN:
                interval_s = max(
                    REFRESH_INTERVAL_S, scheduler.window.paused_until - now
                )
            scheduler.next_poll_at = now + interval_s
            self._context.nursery.start_soon(_poll, scheduler)

    async def _close_unused(self) -> None:
        """Closes the connections to idle leaves that are no longer used."""
        waiting = [*self._removed, *self._to_close]
        self._removed = [
            scheduler for scheduler in self._removed if not scheduler.is_idle
        ]
        self._to_close = [
            scheduler
            for scheduler in self._to_close
            if not scheduler.is_idle and not scheduler.is_held
        ]
        current = {id(scheduler) for scheduler in self}
        for scheduler in waiting:
            unused = not scheduler.is_held or id(scheduler) not in current
            if scheduler.is_idle and unused:
                await scheduler.aclose()

    def _update_state_gauge(self) -> None:
        counts = collections.Counter(
            scheduler.window.state for scheduler in self if scheduler.is_held
        )
        for state in State:
            metrics.LEAF_STATES.labels(state.name.lower()).set(counts[state])


async def _poll(scheduler: LeafScheduler) -> None:
    try:
        await scheduler.poll()
    except Exception as error:
        # A bug here must not end the daemon or the polling.
        metrics.UNEXPECTED_ERRORS.labels("poll").inc()
        log.unexpected_error("poll", error)
