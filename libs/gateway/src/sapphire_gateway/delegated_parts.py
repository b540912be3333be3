"""Delegation of parts of a search to other VMs, called helpers.

A part is the request to one of the search's services (shards). A helper is a
VM in another failure domain that calls the leaves of several parts there, so
that fewer requests cross the domains than one for each part. This module is
used by the VM that received the search, the coordinator; delegated_calls has
the helper's side, and helperpool the exchange of messages, in which a
Delegation sends one DelegationRequest and then fetches the parts that were
still running. A leaf's reply to a part consists of records, which are merged
for the answer.
"""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Collection, Mapping
from typing import Protocol

import trio
from sapphire_core.fanout import Failure
from sapphire_core.leafset import LeafEntry
from sapphire_core.storerevision import NO_REVISION

from sapphire_gateway.calls import CallResult
from sapphire_gateway.delegation_messages import (
    MS_PER_S,
    OK,
    CompletedPart,
    DelegationRequest,
    HelperResponse,
)
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.helperpool import Delegation
from sapphire_gateway.httpclient import NoUsableReplyError
from sapphire_gateway.job import Job
from sapphire_gateway.messages import Reply

# A helper responds several times while parts are running. Its last response is
# due this long before the answer to the caller.
FINAL_RESPONSE_MARGIN_S = 0.003
# A helper chooses the time of its first response, since it knows how long its
# calls take. The coordinator hedges delegated parts without it after this share
# of the target latency, and at the time of other hedges at the earliest.
MAX_HEDGE_DEFERRAL_SHARE = 0.5
# The helper's first response is due this long before that: it takes two trips
# between domains, and the handling of many parts at both ends.
FIRST_RESPONSE_MARGIN_S = 0.008

_delegation_numbers = itertools.count(1)
# Part of each delegation id: those of another process, or of this VM's process
# before a restart, must differ.
_PROCESS_ID = secrets.token_hex(8)


class PartSink(Protocol):
    """The methods of RequestExecution that DelegatedParts calls.

    They take the results of delegated parts and the leaves that helpers have
    called, and tell which parts still need a reply.
    """

    def are_open(self, parts: Collection[str]) -> bool:
        """Returns whether all of the parts still need a successful reply."""

    def record_delegation(self, part: str) -> None:
        """Records that a part was delegated; counts as its first call."""

    def record_suspicion(self) -> None:
        """Records that a helper suspects the request of crashing leaves."""

    def record_leaf(self, part: str, leaf_id: str) -> None:
        """Records the leaf that the helper has called for a part."""

    def handle_reply(self, part: str, reply: Reply) -> None:
        """Handles a leaf's successful reply."""

    def handle_helper_response(self) -> None:
        """Handles a helper's response, after which its parts may be hedged."""

    def handle_failure(
        self, part: str, callee: str, result: CallResult
    ) -> None:
        """Handles a call that ended without a successful reply.

        Args:
            part: The part.
            callee: Id of the leaf, or name of the helper, that was called.
            result: Result of the call.
        """


class DelegatedParts:
    """The parts of one search that were delegated to helpers."""

    def __init__(self, job: Job, fleet: Fleet, sink: PartSink) -> None:
        self._job = job
        self._fleet = fleet
        self._sink = sink
        # Name of the header with the signature by which a leaf proves that it
        # made the reply. It is passed on as received; the gateway does not
        # verify it against the records.
        self._signature_header = fleet.header_names.signature.lower()
        # Parts that are not hedged before the helper's first response or
        # _deferred_until, whichever is first.
        self._deferred_parts: set[str] = set()
        self._deferred_until = max(
            job.policy.hedge_at,
            job.received_at + MAX_HEDGE_DEFERRAL_SHARE * job.route.target_s,
        )
        self.delegated_count = 0
        self._delegations: list[Delegation] = []

    def cancel(self) -> None:
        """Ends the calls that helpers still make."""
        if self._fleet.helpers is None:
            return
        for delegation in self._delegations:
            if delegation.pending:
                self._fleet.helpers.end(delegation)

    def delegate(
        self,
        domains_by_part: Mapping[str, Collection[str]],
        call_timeout_s: float,
        now: float,
    ) -> None:
        """Sends delegation requests for the parts that helpers can call.

        Args:
            domains_by_part: For each part, the failure domains in which it has
                a leaf.
            call_timeout_s: Time limit of a call to a leaf.
            now: Current time in seconds.
        """
        helpers = self._fleet.helpers
        if helpers is None:
            # The gateway process has not created the pool of helpers yet.
            return
        for helper, parts in helpers.assign(domains_by_part, now):
            self._deferred_parts.update(parts)
            self.delegated_count += len(parts)
            for part in parts:
                self._sink.record_delegation(part)
            request = self._delegation_request(parts, call_timeout_s, now)
            delegation = Delegation(
                helper,
                request,
                self._handle_response,
                self._handle_lost_helper,
            )
            self._delegations.append(delegation)
            helpers.start(delegation)

    def is_hedge_deferred(self, part: str, now: float) -> bool:
        """Returns whether a part is not to be hedged yet.

        Its helper's first response may still arrive.
        """
        return now < self._deferred_until and part in self._deferred_parts

    def deferral_ends_at(self, now: float) -> float:
        """Returns when deferred parts may be hedged; infinity if none are."""
        if self._deferred_parts and now < self._deferred_until:
            return self._deferred_until
        return float("inf")

    def _delegation_request(
        self, parts: list[str], call_timeout_s: float, now: float
    ) -> DelegationRequest:
        job = self._job
        # Only searches are delegated; their routes have settings for merging.
        assert job.route.gather is not None
        first_response_at = self._deferred_until - FIRST_RESPONSE_MARGIN_S
        final_response_at = job.policy.answer_at - FINAL_RESPONSE_MARGIN_S
        revision = self._fleet.view.freshness.revision or NO_REVISION
        return DelegationRequest(
            route=job.route.name,
            request_head=job.request_head,
            body=job.body,
            request_id=job.request_id,
            fingerprint=job.fingerprint,
            parts=parts,
            target_ms=job.route.target_s * MS_PER_S,
            call_timeout_ms=max(0.0, call_timeout_s) * MS_PER_S,
            first_response_ms=max(0.0, first_response_at - now) * MS_PER_S,
            final_response_ms=max(0.0, final_response_at - now) * MS_PER_S,
            top=job.route.gather.top,
            revision=revision.number,
            data_age_ms=self._fleet.view.freshness.age_s(now) * MS_PER_S,
            era=revision.era,
            delegation_id=f"{_PROCESS_ID}-{next(_delegation_numbers)}",
        )

    def _handle_response(
        self, delegation: Delegation, response: HelperResponse
    ) -> None:
        self._fleet.view.freshness.learn_revision(
            response.store_revision, trio.current_time()
        )
        self._deferred_parts.difference_update(delegation.request.parts)
        if response.is_suspected:
            self._sink.record_suspicion()
        # If a later response is missing, only the parts that are still running
        # at the helper have failed.
        delegation.pending = {running.part for running in response.running}
        done = [completed.part for completed in response.done]
        # If the helper has merged the records of several parts, they can't be
        # separated by part. All are discarded if one of the parts needs no
        # reply any more, for example because a hedge has succeeded.
        is_usable = not response.merged or self._sink.are_open(done)
        if is_usable:
            self._deliver(response)
        else:
            # The merged response came after the reply to one of its parts.
            superseded = CallResult(None, Failure.LOST, "merged too late")
            for part in done:
                self._sink.handle_failure(
                    part, delegation.helper.name, superseded
                )
        for failed in response.failed:
            self._sink.record_leaf(failed.part, failed.leaf_id)
            result = CallResult(
                None,
                Failure(failed.failure),
                failed.detail,
                failed.was_sent,
                is_closed_by_server=failed.is_leaf_lost,
            )
            self._sink.handle_failure(failed.part, failed.leaf_id, result)
        # The id is 0 if the remaining parts can't be requested any more.
        is_last_response = not response.continuation_id
        for running in response.running:
            self._sink.record_leaf(running.part, running.leaf_id)
            if is_last_response:
                result = CallResult(None, Failure.LOST, "no reply in time")
                self._sink.handle_failure(running.part, running.leaf_id, result)
        self._sink.handle_helper_response()

    def _deliver(self, response: HelperResponse) -> None:
        for index, completed in enumerate(response.done):
            # The merged records of all parts are passed on as the records of
            # the first part, and the other parts get none. The answer merges
            # the records of all parts, so it is the same.
            carries_merged = bool(response.merged) and index == 0
            records = response.merged if carries_merged else completed.records
            self._sink.handle_reply(
                completed.part, self._reply(completed, records)
            )

    def _reply(self, completed: CompletedPart, records: bytes) -> Reply:
        headers = [(self._signature_header, completed.signature)]
        # keeps_alive is not used: the leaf's connection is at the helper.
        return Reply(OK, headers, records, keeps_alive=True)

    def _handle_lost_helper(
        self, delegation: Delegation, error: NoUsableReplyError
    ) -> None:
        self._deferred_parts.difference_update(delegation.request.parts)
        if self._fleet.helpers is not None:
            self._fleet.helpers.exclude(delegation.helper, str(error))
        # The log has the error with the exclusion of the helper, and only a
        # short text with each of its parts.
        failure = Failure.LOST if error.was_sent else Failure.NOT_RUN
        for part in delegation.pending:
            result = CallResult(None, failure, "helper lost", error.was_sent)
            self._sink.handle_failure(part, delegation.helper.name, result)


def remote_parts(
    planned_entries: Mapping[str, LeafEntry], fleet: Fleet
) -> dict[str, set[str]]:
    """Returns the parts without a leaf in this VM's failure domain.

    A part that has a local leaf is not returned, even if the planned leaf is
    remote because the local one is slow. This VM calls such a part directly: it
    has measured the reply times of the part's leaves and knows which one to
    choose instead.

    Args:
        planned_entries: The leaf to which this VM would send each part.
        fleet: Provides the candidate leaves.

    Returns:
        For each remote part, the failure domains in which it has a leaf.
    """
    now = trio.current_time()
    registry = fleet.view.registry
    domains_by_part: dict[str, set[str]] = {}
    for part, entry in planned_entries.items():
        if entry.domain == fleet.domain:
            continue
        domains = {leaf.entry.domain for leaf in registry.candidates(part, now)}
        if fleet.domain not in domains:
            domains_by_part[part] = domains
    return domains_by_part
