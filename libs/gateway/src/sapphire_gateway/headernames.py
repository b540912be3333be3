"""Names of the HTTP headers exchanged with callers and leaves."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, as defined by the platform adapter.

    Attributes:
        request_id: Identifier of one attempt of a caller.
        deadline_ms: Milliseconds until the sender stops waiting.
        signature: Signature by which a leaf proves that it made the reply.
        target_leaf: Id of the only leaf that may run the request.
        leaf_id: Id of the leaf that sent the reply.
        load: Running and queued requests of a leaf, and its capacity.
        limit: Requests a second that the leaf takes from all VMs together.
        leaving: Present with the value 1 if the leaf is leaving.
        pause: Seconds for which a leaf that rejects a request wants no other
            from the sender.
        not_executed: Present only if the leaf did not run the request.
        signatures: Signatures of the parts of a merged answer.
        missing_parts: Number of parts missing from a merged answer.
    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    target_leaf: bytes
    leaf_id: bytes
    load: bytes
    limit: bytes
    leaving: bytes
    pause: bytes
    not_executed: bytes
    signatures: bytes
    missing_parts: bytes


# Headers that apply to a single connection and are not forwarded. The content
# length is set anew for each forwarded message.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
