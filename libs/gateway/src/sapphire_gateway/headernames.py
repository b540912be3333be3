"""Names of the headers that callers and leaves use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, as an adapter chooses them.

    Attributes:
        request_id: Identity of one attempt of a caller.
        time_left: Milliseconds that the sender will wait.
        signature: Proof of a leaf that it made the reply.
        target_leaf: Leaf that alone may run the request.
        leaf_id: Leaf that answered.
        load: Running, queued and possible requests of a leaf.
        not_run: Present if the leaf did not run the request.
        signatures: Proofs of the parts of a merged answer.
        missing_parts: Number of parts that a merged answer lacks.
    """

    request_id: bytes
    time_left: bytes
    signature: bytes
    target_leaf: bytes
    leaf_id: bytes
    load: bytes
    not_run: bytes
    signatures: bytes
    missing_parts: bytes


# Headers that concern one connection only, and are therefore not forwarded.
CONNECTION_HEADERS = frozenset(
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
