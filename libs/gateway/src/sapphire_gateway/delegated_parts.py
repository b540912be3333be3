"""The parts of one request that helpers call."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol

import trio
from sapphire_core.fanout import Failure
from sapphire_core.leafset import LeafEntry

from sapphire_gateway.calls import CallEnd
from sapphire_gateway.delegated_calls import (
    EARLIER_S,
    MS_PER_S,
    PATIENCE_S,
    DonePart,
    Exchange,
    HelperAnswer,
    Question,
)
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.httpclient import NoReplyError
from sapphire_gateway.job import Job
from sapphire_gateway.messages import Reply

# Helpers send their last parts this long before the answer leaves.
REST_EARLIER_S = 0.003
OK = 200


class PartSink(Protocol):
    """Takes what becomes of parts."""

    def are_open(self, parts: Collection[str]) -> bool:
        """Returns whether all of the parts wait for a good reply."""

    def sent(self, part: str) -> None:
        """Counts a part's first call."""

    def tried(self, part: str, leaf_id: str) -> None:
        """Notes the leaf that a part was sent to."""

    def arrived(self, part: str, reply: Reply) -> None:
        """Takes a good reply."""

    def ended(self, part: str, where: str, end: CallEnd) -> None:
        """Takes a call without a good reply."""


class DelegatedParts:
    """Leaves parts in other failure domains to VMs beside the leaves."""

    def __init__(self, job: Job, fleet: Fleet, sink: PartSink) -> None:
        self._job = job
        self._fleet = fleet
        self._sink = sink
        self._signature = fleet.dialect.signature.lower()
        # Parts that get no second call before the helper's first answer.
        self._held: set[str] = set()
        self._held_until = job.terms.hedge_at + PATIENCE_S
        self.count = 0

    def ask(
        self,
        far: Mapping[str, Collection[str]],
        call_s: float,
        now: float,
    ) -> None:
        """Asks helpers for parts.

        Args:
            far: Failure domains that have a leaf of each part.
            call_s: Longest time that a leaf is given.
            now: Present time in seconds.
        """
        helpers = self._fleet.helpers
        if helpers is None:
            return
        for helper, parts in helpers.assign(far, now):
            self._held.update(parts)
            self.count += len(parts)
            for part in parts:
                self._sink.sent(part)
            question = self._question(parts, call_s, now)
            helpers.ask(Exchange(helper, question, self._answered, self._lost))

    def is_held(self, part: str, now: float) -> bool:
        """Returns whether a part's helper may still answer at once."""
        return now < self._held_until and part in self._held

    def next_time(self, now: float) -> float:
        """Returns when held parts may get second calls."""
        if self._held and now < self._held_until:
            return self._held_until
        return float("inf")

    def _question(
        self, parts: list[str], call_s: float, now: float
    ) -> Question:
        job = self._job
        assert job.route.gather is not None
        terms = job.terms
        return Question(
            job.route.name,
            job.head,
            job.body,
            job.request_id,
            job.fingerprint,
            parts,
            job.route.target_s * MS_PER_S,
            max(0.0, call_s) * MS_PER_S,
            max(0.0, terms.hedge_at - EARLIER_S - now) * MS_PER_S,
            max(0.0, terms.answer_at - REST_EARLIER_S - now) * MS_PER_S,
            job.route.gather.top,
        )

    def _answered(self, exchange: Exchange, answer: HelperAnswer) -> None:
        self._held.difference_update(exchange.question.parts)
        exchange.left = {running.part for running in answer.running}
        done = [part.part for part in answer.done]
        # Merged records can't be taken apart, so none of them is of use if
        # a second call was faster for one of their parts.
        is_usable = not answer.merged or self._sink.are_open(done)
        if is_usable:
            self._take(answer)
        else:
            late = CallEnd(None, Failure.LOST, "merged too late")
            for part in done:
                self._sink.ended(part, exchange.helper.name, late)
        for failed in answer.failed:
            self._sink.tried(failed.part, failed.leaf_id)
            end = CallEnd(
                None, Failure(failed.failure), failed.detail, failed.was_sent
            )
            self._sink.ended(failed.part, failed.leaf_id, end)
        for running in answer.running:
            self._sink.tried(running.part, running.leaf_id)
            if not answer.number:
                end = CallEnd(None, Failure.LOST, "no reply in time")
                self._sink.ended(running.part, running.leaf_id, end)

    def _take(self, answer: HelperAnswer) -> None:
        for number, part in enumerate(answer.done):
            # The first part stands for the records of all merged ones.
            is_bearer = bool(answer.merged) and number == 0
            records = answer.merged if is_bearer else part.records
            self._sink.arrived(part.part, self._reply(part, records))

    def _reply(self, part: DonePart, records: bytes) -> Reply:
        headers = [(self._signature, part.signature)]
        return Reply(OK, headers, records, keeps_alive=True)

    def _lost(self, exchange: Exchange, error: NoReplyError) -> None:
        self._held.difference_update(exchange.question.parts)
        if self._fleet.helpers is not None:
            self._fleet.helpers.failed(exchange.helper, str(error))
        failure = Failure.LOST if error.was_sent else Failure.NOT_RUN
        for part in exchange.left:
            end = CallEnd(None, failure, "helper lost", error.was_sent)
            self._sink.ended(part, exchange.helper.name, end)


def remote_parts(
    planned: Mapping[str, LeafEntry], fleet: Fleet
) -> dict[str, set[str]]:
    """Returns the domains with leaves of each part that has none near.

    A part whose near leaf is only slow now is called directly, since the
    entry knows the leaves that it may take instead.

    Args:
        planned: The leaf that each part would be sent to.
        fleet: Knows the other leaves.
    """
    now = trio.current_time()
    registry = fleet.view.registry
    far: dict[str, set[str]] = {}
    for part, entry in planned.items():
        if entry.domain == fleet.domain:
            continue
        places = {leaf.entry.domain for leaf in registry.candidates(part, now)}
        if fleet.domain not in places:
            far[part] = places
    return far
