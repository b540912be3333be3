"""Entry side of delegation: the parts of one request that helpers call."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Protocol

import trio
from sapphire_core.fanout import Failure
from sapphire_core.leafset import LeafEntry

from sapphire_gateway.calls import CallResult
from sapphire_gateway.delegated_calls import (
    HELPER_GRACE_S,
    MS_PER_S,
    REPLY_MARGIN_S,
    CompletedPart,
    DelegationRequest,
    Exchange,
    HelperAnswer,
)
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.httpclient import NoReplyError
from sapphire_gateway.job import Job
from sapphire_gateway.messages import Reply

# A helper's last response is due this long before the entry answers.
FINAL_REPLY_MARGIN_S = 0.003
OK = 200


class PartSink(Protocol):
    """Receives the results of delegated parts."""

    def are_open(self, parts: Collection[str]) -> bool:
        """Returns whether all parts still await a valid reply."""

    def sent(self, part: str) -> None:
        """Called when a part is delegated; counts as its first call."""

    def tried(self, part: str, leaf_id: str) -> None:
        """Called with the leaf that a part was sent to."""

    def arrived(self, part: str, reply: Reply) -> None:
        """Called with a valid reply."""

    def ended(self, part: str, where: str, end: CallResult) -> None:
        """Called when a call ended without a valid reply."""


class DelegatedParts:
    """Delegates parts to VMs in the failure domains of their leaves."""

    def __init__(self, job: Job, fleet: Fleet, sink: PartSink) -> None:
        self._job = job
        self._fleet = fleet
        self._sink = sink
        self._signature = fleet.header_names.signature.lower()
        # Parts that are not hedged before the helper's first response.
        self._held: set[str] = set()
        self._held_until = job.terms.hedge_at + HELPER_GRACE_S
        self.count = 0

    def ask(
        self,
        remote: Mapping[str, Collection[str]],
        call_s: float,
        now: float,
    ) -> None:
        """Sends delegation requests for the parts that helpers can call.

        Args:
            remote: Failure domains that have a leaf of each part.
            call_s: Time limit of a call to a leaf.
            now: Current time in seconds.
        """
        helpers = self._fleet.helpers
        if helpers is None:
            return
        for helper, parts in helpers.assign(remote, now):
            self._held.update(parts)
            self.count += len(parts)
            for part in parts:
                self._sink.sent(part)
            request = self._delegation_request(parts, call_s, now)
            helpers.ask(Exchange(helper, request, self._answered, self._lost))

    def is_held(self, part: str, now: float) -> bool:
        """Returns whether hedging of a part is deferred.

        It is deferred while the helper's first response is due.
        """
        return now < self._held_until and part in self._held

    def next_time(self, now: float) -> float:
        """Returns when held parts may be hedged; infinity if there are none."""
        if self._held and now < self._held_until:
            return self._held_until
        return float("inf")

    def _delegation_request(
        self, parts: list[str], call_s: float, now: float
    ) -> DelegationRequest:
        job = self._job
        assert job.route.gather is not None
        terms = job.terms
        return DelegationRequest(
            job.route.name,
            job.head,
            job.body,
            job.request_id,
            job.fingerprint,
            parts,
            job.route.target_s * MS_PER_S,
            max(0.0, call_s) * MS_PER_S,
            max(0.0, terms.hedge_at - REPLY_MARGIN_S - now) * MS_PER_S,
            max(0.0, terms.answer_at - FINAL_REPLY_MARGIN_S - now) * MS_PER_S,
            job.route.gather.top,
        )

    def _answered(self, exchange: Exchange, answer: HelperAnswer) -> None:
        self._held.difference_update(exchange.request.parts)
        exchange.pending = {running.part for running in answer.running}
        done = [part.part for part in answer.done]
        # Merged records can't be separated by part, so all are discarded if
        # a hedge has already answered one of the parts.
        is_usable = not answer.merged or self._sink.are_open(done)
        if is_usable:
            self._deliver(answer)
        else:
            superseded = CallResult(None, Failure.LOST, "merged too late")
            for part in done:
                self._sink.ended(part, exchange.helper.name, superseded)
        for failed in answer.failed:
            self._sink.tried(failed.part, failed.leaf_id)
            end = CallResult(
                None, Failure(failed.failure), failed.detail, failed.was_sent
            )
            self._sink.ended(failed.part, failed.leaf_id, end)
        for running in answer.running:
            self._sink.tried(running.part, running.leaf_id)
            if not answer.number:
                end = CallResult(None, Failure.LOST, "no reply in time")
                self._sink.ended(running.part, running.leaf_id, end)

    def _deliver(self, answer: HelperAnswer) -> None:
        for number, part in enumerate(answer.done):
            # Merged records are attached to the first part.
            carries_merged = bool(answer.merged) and number == 0
            records = answer.merged if carries_merged else part.records
            self._sink.arrived(part.part, self._reply(part, records))

    def _reply(self, part: CompletedPart, records: bytes) -> Reply:
        headers = [(self._signature, part.signature)]
        return Reply(OK, headers, records, keeps_alive=True)

    def _lost(self, exchange: Exchange, error: NoReplyError) -> None:
        self._held.difference_update(exchange.request.parts)
        if self._fleet.helpers is not None:
            self._fleet.helpers.failed(exchange.helper, str(error))
        failure = Failure.LOST if error.was_sent else Failure.NOT_RUN
        for part in exchange.pending:
            end = CallResult(None, failure, "helper lost", error.was_sent)
            self._sink.ended(part, exchange.helper.name, end)


def remote_parts(
    planned: Mapping[str, LeafEntry], fleet: Fleet
) -> dict[str, set[str]]:
    """Returns the parts without a leaf in this VM's failure domain.

    A part that has a local leaf is not returned, even if the planned leaf is
    remote because the local one is slow: the entry knows the alternatives and
    calls the part directly.

    Args:
        planned: The leaf that each part would be sent to.
        fleet: Provides the candidate leaves.

    Returns:
        The failure domains with a leaf of each remote part.
    """
    now = trio.current_time()
    registry = fleet.view.registry
    remote: dict[str, set[str]] = {}
    for part, entry in planned.items():
        if entry.domain == fleet.domain:
            continue
        domains = {leaf.entry.domain for leaf in registry.candidates(part, now)}
        if fleet.domain not in domains:
            remote[part] = domains
    return remote
