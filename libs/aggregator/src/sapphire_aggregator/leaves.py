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
from sapphire_aggregator.link import LeafLink

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
    """The leaves of this region in the configuration in force."""

    def __init__(
        self, context: LeafContext, region: str, open_client: OpenClient
    ) -> None:
        self._context = context
        self._region = region
        self._open_client = open_client
        self._links: dict[str, dict[str, LeafLink]] = {}
        self._removed: list[LeafLink] = []
        self._to_close: list[LeafLink] = []
        self._reply_times: dict[str, ReplyTimeEstimate] = {}
        self._document: Document | None = None
        self._leaving_vms: frozenset[str] = frozenset()

    def __iter__(self) -> Iterator[LeafLink]:
        for links in self._links.values():
            yield from links.values()

    def find(self, service: str, address: str) -> LeafLink | None:
        """Returns a leaf of the document in force, or None."""
        return self._links.get(service, {}).get(address)

    def find_service(self, name: str) -> dict[str, LeafLink] | None:
        """Returns the leaves of a service by address, or None."""
        return self._links.get(name)

    def apply(self, document: Document) -> None:
        """Updates the set from a document.

        Requests that run on a removed leaf are completed.
        """
        self._document = document
        links: dict[str, dict[str, LeafLink]] = {}
        for service in document.services:
            links[service.name] = self._build_service(document, service)
        kept = {id(link) for group in links.values() for link in group.values()}
        for link in self:
            if id(link) not in kept:
                link.set_out(True)
                self._removed.append(link)
        self._links = links
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
        for link in self:
            if not link.refresh_right(now):
                continue
            if link.is_held:
                gained += 1
            else:
                lost += 1
                self._to_close.append(link)
        if gained or lost:
            log.event("send_rights", gained=gained, lost=lost)

    def refuse_queued(self) -> None:
        """Refuses all queued queries, for a planned stop."""
        for link in self:
            link.refuse_queued()

    @property
    def is_idle(self) -> bool:
        """Whether no request is running on any leaf."""
        return not any(link.window.running for link in [*self, *self._removed])

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
    ) -> dict[str, LeafLink]:
        limits = to_limits(service.leaf)
        reply_times = self._reply_times.setdefault(
            service.name, ReplyTimeEstimate()
        )
        links = {}
        for leaf in service.leaves:
            if document.region_of(leaf.failure_domain) != self._region:
                continue
            link = self.find(service.name, leaf.address)
            if link is None:
                client = self._open_client(
                    leaf.address, limits, service.leaf.connections
                )
                link = LeafLink(
                    self._context,
                    service.name,
                    leaf.address,
                    leaf.failure_domain,
                    limits,
                    client,
                    reply_times,
                )
            link.failure_domain = leaf.failure_domain
            link.set_limits(limits)
            links[leaf.address] = link
        return links

    def _apply_out_of_service(self) -> None:
        if self._document is None:
            return
        out_domains = set(self._document.out_failure_domains)
        out_vms = self._leaving_vms | set(self._document.out_vms)
        for link in self:
            vm = link.address.rpartition(":")[0]
            link.set_out(link.failure_domain in out_domains or vm in out_vms)

    def _start_polls(self) -> None:
        now = trio.current_time()
        for link in self:
            if not link.is_held or link.is_out or now < link.next_poll_at:
                continue
            interval_s = POLL_INTERVAL_S
            if link.window.state is State.DOWN:
                interval_s = max(
                    REFRESH_INTERVAL_S, link.window.paused_until - now
                )
            link.next_poll_at = now + interval_s
            self._context.nursery.start_soon(_poll, link)

    async def _close_unused(self) -> None:
        """Closes the connections to idle leaves that are no longer used."""
        waiting = [*self._removed, *self._to_close]
        self._removed = [link for link in self._removed if not link.is_idle]
        self._to_close = [
            link
            for link in self._to_close
            if not link.is_idle and not link.is_held
        ]
        current = {id(link) for link in self}
        for link in waiting:
            unused = not link.is_held or id(link) not in current
            if link.is_idle and unused:
                await link.aclose()

    def _update_state_gauge(self) -> None:
        counts = collections.Counter(
            link.window.state for link in self if link.is_held
        )
        for state in State:
            metrics.LEAF_STATES.labels(state.name.lower()).set(counts[state])


async def _poll(link: LeafLink) -> None:
    try:
        await link.poll()
    except Exception as error:
        # A bug here must not end the daemon or the polling.
        metrics.UNEXPECTED_ERRORS.labels("poll").inc()
        log.unexpected_error("poll", error)
