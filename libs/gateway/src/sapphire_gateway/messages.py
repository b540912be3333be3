"""HTTP/1.1 requests, replies and responses."""

from __future__ import annotations

import enum
import http
from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]

RECEIVE_BYTES = 65_536
# Size up to which a body is kept in one piece of memory. Larger ones would be
# moved as they grow, which leaves holes of many sizes in the process's memory.
SEGMENT_BYTES = 65_536
# Memory of a header in addition to its name and value: three objects and the
# place in the list.
HEADER_OVERHEAD_BYTES = 200
# Replies with these statuses have no body, whatever their headers state.
BODILESS_STATUSES = frozenset({204, 304})


class StatusKind(enum.Enum):
    """What the status of a received reply says of the reply."""

    # Another reply follows.
    INTERIM = "interim"
    FINAL = "final"
    # HTTP knows no such status, or none that this VM asks for.
    INVALID = "invalid"


# Upgrades are never asked for.
_SWITCHING_PROTOCOLS = 101
_STATUS_KINDS = (
    (range(100, 200), StatusKind.INTERIM),
    (range(200, 600), StatusKind.FINAL),
)


def status_kind(status: int) -> StatusKind:
    """Returns what a status says of its reply."""
    if status == _SWITCHING_PROTOCOLS:
        return StatusKind.INVALID
    for statuses, kind in _STATUS_KINDS:
        if status in statuses:
            return kind
    return StatusKind.INVALID


class BodyBuffer:
    """A body that arrives in pieces of any size.

    Small pieces are put together: kept one by one, they take many times their
    size.
    """

    __slots__ = ("_segments", "_size")

    def __init__(self) -> None:
        self._segments: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, piece: bytes) -> None:
        """Adds a piece."""
        segments = self._segments
        if segments and len(segments[-1]) + len(piece) <= SEGMENT_BYTES:
            segments[-1] += piece
        else:
            segments.append(bytearray(piece))
        self._size += len(piece)

    def content(self) -> bytes:
        """Returns all pieces together."""
        return b"".join(self._segments)


class MessageError(Exception):
    """Received bytes are not a valid message.

    Attributes:
        status: HTTP status to answer with, if the bytes are a request.
        retry_after_s: Time after which the sender may repeat it, if any.
    """

    def __init__(
        self,
        message: str,
        status: int = 400,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.status = status
        self.retry_after_s = retry_after_s


def header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the value of the first header with a name in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


def header_memory_bytes(name: bytes, value: bytes) -> int:
    """Returns the memory of a received header, in bytes."""
    return HEADER_OVERHEAD_BYTES + len(name) + len(value)


@dataclass(slots=True)
class Request:
    """A complete request of a caller; header names are in lower case.

    Attributes:
        keeps_alive: Whether the caller may send another request afterwards.
        received_at: Time at which it was complete.
        is_first: Whether it is the first request of its connection.
        planned_at: Planned time of its answer, or None if the answer did not
            wait for that time.
        has_room: Whether there was memory for it; if not, the body is dropped.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keeps_alive: bool
    received_at: float = 0.0
    is_first: bool = False
    planned_at: float | None = None
    has_room: bool = True

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes, in bytes."""
        headers = sum(header_memory_bytes(*pair) for pair in self.headers)
        return len(self.target) + headers + len(self.body)


@dataclass(slots=True)
class Reply:
    """A complete reply that was received; header names are in lower case.

    A Response, in contrast, is sent by this VM.
    """

    status: int
    headers: Headers
    body: bytes
    keeps_alive: bool
    _by_name: dict[bytes, bytes] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        # If a name occurs more than once, the first header is used.
        self._by_name = dict(reversed(self.headers))

    def get(self, name: bytes) -> bytes | None:
        """Returns the value of the header with a name in lower case."""
        return self._by_name.get(name)

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class Response:
    """A response to a caller or VM; header names are sent unchanged."""

    status: int
    headers: Headers
    body: bytes = b""


def error_response(
    status: int, reason: str, retry_after_s: float | None = None
) -> Response:
    """Returns a response of this VM's own that states a reason.

    Args:
        status: HTTP status.
        reason: Body of the response.
        retry_after_s: Value of Retry-After in seconds, if any.
    """
    headers: Headers = [(b"Content-Type", b"text/plain")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    return Response(status, headers, reason.encode())


def encode_response(
    response: Response, close_after: bool, is_to_head: bool
) -> bytes:
    """Returns a response in its wire format.

    Args:
        response: The response.
        close_after: Whether the connection closes after the response.
        is_to_head: Whether the request was HEAD, so that the body is omitted.
    """
    lines = [
        f"HTTP/1.1 {response.status} {_reason_phrase(response.status)}".encode()
    ]
    lines.extend(b"%s: %s" % pair for pair in response.headers)
    if response.status not in BODILESS_STATUSES:
        lines.append(b"Content-Length: %d" % len(response.body))
    if close_after:
        lines.append(b"Connection: close")
    body = b"" if is_to_head else response.body
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def _reason_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
