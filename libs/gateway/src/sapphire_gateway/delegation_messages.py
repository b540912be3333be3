"""Messages between a VM that delegates calls and its helper.

See delegated_calls for what they are for.
"""

from __future__ import annotations

import msgspec
from sapphire_core.storerevision import StoreRevision

CALLS_PATH = "/calls"
REMAINDER_PATH = "/rest"
END_PATH = "/end"
CONTENT_TYPE = "application/msgpack"
OK = 200
MS_PER_S = 1000.0


class DelegationRequest(msgspec.Struct, array_like=True):
    """Parts that a coordinator delegates to a helper. Times are durations.

    Attributes:
        route: Name of the route; calls of one route take similar times.
        request_head: Request line and headers for the leaves.
        body: Body for the leaves.
        request_id: Request id that replies must repeat.
        fingerprint: Equal for repeated requests, whoever sends them.
        parts: Services to call, one leaf of each.
        target_ms: Latency target of the whole request.
        call_timeout_ms: Time limit of the calls to leaves.
        first_response_ms: Time until the helper's first response at the latest.
        final_response_ms: Time until the helper's last response.
        top: Number of greatest records to return, of each part or of all
            merged ones.
        revision: Number of the revision of the coordinator's copy of the store;
            0 if it has none.
        data_age_ms: Time since that copy was known to be current.
        era: Era of that revision.
        delegation_id: Names the request in an EndRequest; empty if there will
            be none.
    """

    route: str
    request_head: bytes
    body: bytes
    request_id: bytes
    fingerprint: str
    parts: list[str]
    target_ms: float
    call_timeout_ms: float
    first_response_ms: float
    final_response_ms: float
    top: int
    revision: int = 0
    # VMs of an earlier version leave it out.
    data_age_ms: float = 0.0
    era: int = 0
    delegation_id: str = ""

    @property
    def store_revision(self) -> StoreRevision:
        """Revision of the coordinator's copy of the store."""
        return StoreRevision(self.era, self.revision)


class RemainderRequest(msgspec.Struct, array_like=True):
    """Requests the parts that were still running at the last response."""

    continuation_id: int
    wait_ms: float


class EndRequest(msgspec.Struct, array_like=True):
    """Ends the calls of a delegation request, as its caller has left."""

    delegation_id: str


class CompletedPart(msgspec.Struct, array_like=True):
    """A part whose leaf sent a successful reply.

    Attributes:
        part: Service of the leaf.
        signature: Header value by which the leaf proves that it made the reply.
            It is passed on as received, and not verified against the records.
        records: Greatest records of the reply, or empty if they were merged.
    """

    part: str
    signature: bytes
    records: bytes


class FailedPart(msgspec.Struct, array_like=True):
    """A part whose call ended without a successful reply.

    Attributes:
        part: Service that was called.
        leaf_id: Id of the leaf; empty if there was none.
        failure: Value of a Failure.
        detail: Description for the log.
        was_sent: Whether any byte of the request may have reached the leaf.
        is_leaf_lost: Whether the leaf closed the connection during the call.
    """

    part: str
    leaf_id: str
    failure: str
    detail: str
    was_sent: bool
    is_leaf_lost: bool = False


class RunningPart(msgspec.Struct, array_like=True):
    """A part whose leaf has not replied yet."""

    part: str
    leaf_id: str


class HelperResponse(msgspec.Struct, array_like=True):
    """Response of a helper.

    Attributes:
        continuation_id: Id for requesting the remaining parts; 0 in the last
            response, after which no more parts can be requested.
        done: Parts that completed since the last response.
        failed: Parts that failed since the last response.
        running: Parts that are still running.
        merged: Greatest records of all parts in `done`, if they were merged;
            the parts then have no records of their own.
        revision: Number of the revision of the helper's copy of the store; 0 if
            it has none.
        is_suspected: Whether the helper made no calls because the request may
            crash leaves.
        era: Era of that revision.
    """

    continuation_id: int
    done: list[CompletedPart]
    failed: list[FailedPart]
    running: list[RunningPart]
    merged: bytes = b""
    revision: int = 0
    is_suspected: bool = False
    # VMs of an earlier version leave it out.
    era: int = 0

    @property
    def store_revision(self) -> StoreRevision:
        """Revision of the helper's copy of the store."""
        return StoreRevision(self.era, self.revision)
