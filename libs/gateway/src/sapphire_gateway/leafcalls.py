"""Calls to leaves: which leaf gets one, and what is learned from its end."""

from __future__ import annotations

import functools
from collections.abc import Callable, Container
from dataclasses import dataclass

import trio
from sapphire_core.choice import Estimate, Needs, Prospect, best
from sapphire_core.fanout import Failure
from sapphire_core.latency import RunningQuantile
from sapphire_core.leafset import LeafEntry

from sapphire_gateway.calls import Call, CallEnd, load_report
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.pool import LeafLink

# Routes come and go with configurations.
MAX_EXPECTATIONS = 4096


@dataclass(slots=True)
class Expectation:
    """Reply times of a route's calls to leaves."""

    median: RunningQuantile
    late: RunningQuantile

    @classmethod
    def for_target(cls, target_s: float) -> Expectation:
        """Starts with guesses from the route's target."""
        target_ms = target_s * 1000
        return cls(
            RunningQuantile(0.5, target_ms * 0.2),
            RunningQuantile(0.95, target_ms * 0.4),
        )

    def add(self, elapsed_s: float) -> None:
        """Counts a reply time."""
        self.median.add(elapsed_s * 1000)
        self.late.add(elapsed_s * 1000)

    @property
    def is_learned(self) -> bool:
        """Whether the times rest on replies and not on guesses."""
        return self.median.is_learned

    @property
    def median_s(self) -> float:
        """Median reply time in seconds."""
        return self.median.value_ms / 1000

    @property
    def late_s(self) -> float:
        """Reply time that 1 in 20 calls exceeds, in seconds."""
        return self.late.value_ms / 1000


class Expectations:
    """Reply times by route and services."""

    def __init__(self) -> None:
        self._known: dict[tuple[str, ...], Expectation] = {}

    def of(self, key: tuple[str, ...], target_s: float) -> Expectation:
        """Returns what is known, or guesses from the route's target."""
        known = self._known.get(key)
        if known is None:
            if len(self._known) >= MAX_EXPECTATIONS:
                self._known.clear()
            known = Expectation.for_target(target_s)
            self._known[key] = known
        return known


@dataclass(slots=True)
class Choice:
    """The leaf that gets a call."""

    entry: LeafEntry
    link: LeafLink
    estimate: Estimate
    is_cold: bool


@dataclass(frozen=True, slots=True)
class CallTerms:
    """What all calls of one request have in common.

    Attributes:
        head: Request line and headers for leaves, without the last ones.
        body: Body for the leaves.
        request_id: Identity that replies must repeat.
        fingerprint: Equal for equal requests of one caller.
        is_to_head: The method is HEAD.
        is_repeatable: Leaves may run the request more than once.
        target_s: Time that the whole request has.
        ends_at: Time after which no reply is of use.
        longest_s: Longest time that a leaf is given.
    """

    head: bytes
    body: bytes
    request_id: bytes
    fingerprint: str
    is_to_head: bool
    is_repeatable: bool
    target_s: float
    ends_at: float
    longest_s: float


class LeafCaller:
    """Sends the calls of one request and learns from their ends."""

    def __init__(
        self, fleet: Fleet, terms: CallTerms, expects: Expectation
    ) -> None:
        self._fleet = fleet
        self._terms = terms
        self._expects = expects

    def choose(
        self, service: str, tried: Container[str], now: float
    ) -> Choice | None:
        """Returns the best leaf of a service that was not tried."""
        fleet = self._fleet
        leaves = [
            leaf
            for leaf in fleet.view.registry.candidates(service, now)
            if leaf.entry.leaf_id not in tried and fleet.may_send(leaf, now)
        ]
        if not leaves:
            return None
        links = [fleet.pool.link(leaf.entry) for leaf in leaves]
        prospects = [
            Prospect(
                link.load,
                leaf.entry.domain == fleet.domain,
                leaf.is_cold(now),
                link.expected_connect_s,
            )
            for leaf, link in zip(leaves, links, strict=True)
        ]
        needs = Needs(self._expects.median_s, self._terms.target_s)
        index, estimate = best(prospects, needs, now)
        load = links[index].load
        if load.is_down(now) and load.waiting:
            return None
        return Choice(
            leaves[index].entry,
            links[index],
            estimate,
            prospects[index].is_cold,
        )

    def send(
        self, choice: Choice, on_end: Callable[[CallEnd], None], now: float
    ) -> Call:
        """Sends a call; on_end is told once how it ended."""
        if choice.is_cold:
            self._fleet.record_cold_request(choice.entry, now)
        call = self._call(choice.entry, now)
        call.on_end = functools.partial(
            self._ended, call, choice.entry, choice.link, on_end
        )
        self._fleet.pool.call(choice.link, call)
        return call

    def _call(self, entry: LeafEntry, now: float) -> Call:
        terms = self._terms
        time_left = min(terms.ends_at - now, terms.longest_s)
        time_left = max(0.001, time_left)
        dialect = self._fleet.dialect
        payload = b"%s%s: %s\r\n%s: %d\r\n\r\n%s" % (
            terms.head,
            dialect.target_leaf,
            entry.leaf_id.encode(),
            dialect.time_left,
            max(1, int(time_left * 1000)),
            terms.body,
        )
        return Call(
            payload,
            terms.request_id,
            terms.is_to_head,
            not terms.is_repeatable,
            now + time_left,
            _ignore,
            now,
            terms.fingerprint,
        )

    def _ended(
        self,
        call: Call,
        entry: LeafEntry,
        link: LeafLink,
        on_end: Callable[[CallEnd], None],
        end: CallEnd,
    ) -> None:
        self._learn(call, entry, link, end, trio.current_time())
        on_end(end)

    def _learn(
        self,
        call: Call,
        entry: LeafEntry,
        link: LeafLink,
        end: CallEnd,
        now: float,
    ) -> None:
        load = link.load
        if end.reply is not None:
            report = load_report(end.reply, self._fleet.dialect)
            if report is not None:
                load.reported(report.running, report.queued, now)
        if end.failure is None:
            elapsed = now - (call.sent_at or call.created_at)
            load.replied(call.number, elapsed, self._expects.median_s, now)
            self._expects.add(elapsed)
            return
        if call.is_cancelled or not end.was_sent:
            load.waiting.pop(call.number, None)
            return
        load.failed(call.number, now)
        if end.failure is Failure.LOST and end.is_abrupt:
            link.suspects.add(call.fingerprint)
        if end.is_silent:
            load.unreachable(now)
        if end.reply is not None and end.failure is Failure.NOT_RUN:
            self._fleet.handle_rejection(entry, end.reply)


def _ignore(end: CallEnd) -> None:
    """Stands in until the call is sent."""
