"""HTTP/1.1 requests and replies, parsed with httptools."""

from __future__ import annotations

import http
from dataclasses import dataclass, field

import httptools

Headers = list[tuple[bytes, bytes]]

RECEIVE_BYTES = 65_536
# Replies with these statuses have no body, whatever their headers state.
_BODILESS_STATUSES = frozenset({204, 304})
# The connection is closed if the body of a reply exceeds this size.
MAX_REPLY_BYTES = 16_777_216


class MessageError(Exception):
    """Received bytes are not a valid message.

    Attributes:
        status: HTTP status to answer with, if the bytes are a request.
    """

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


def header(headers: Headers, name: bytes) -> bytes | None:
    """Returns the value of the first header with a name in lower case."""
    for key, value in headers:
        if key == name:
            return value
    return None


@dataclass(slots=True)
class Request:
    """A complete request of a caller; header names are in lower case.

    Attributes:
        keeps_alive: Whether the caller may send another request afterwards.
        received_at: Time at which it was complete.
        is_first: Whether it is the first request of its connection.
        planned_at: Planned time of its answer, or None if the answer did not
            wait for that time.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    keeps_alive: bool
    received_at: float = 0.0
    is_first: bool = False
    planned_at: float | None = None


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


@dataclass(slots=True)
class _PartialRequest:
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    body: list[bytes] = field(default_factory=list)
    body_bytes: int = 0
    head_bytes: int = 0
    is_head_complete: bool = False
    keeps_alive: bool = True


class RequestReader:
    """Incremental parser for the requests of one connection."""

    def __init__(self, max_head_bytes: int, max_body_bytes: int) -> None:
        """Creates a parser that expects the first request.

        Args:
            max_head_bytes: Largest size of the target and headers.
            max_body_bytes: Largest size of the body.
        """
        self._parser = httptools.HttpRequestParser(self)
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._partial: _PartialRequest | None = None
        self._error: MessageError | None = None
        self.complete: list[Request] = []

    @property
    def is_between_messages(self) -> bool:
        """Whether no part of the next request has arrived yet."""
        return self._partial is None

    @property
    def is_head_complete(self) -> bool:
        """Whether all headers of the current request have arrived."""
        return self._partial is not None and self._partial.is_head_complete

    def feed(self, data: bytes) -> None:
        """Parses bytes; complete requests are appended to complete.

        Raises:
            MessageError: The bytes are not a valid request, or exceed a limit.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MessageError("upgrades are not supported") from error
        except httptools.HttpParserError as error:
            raise self._error or MessageError("malformed request") from error

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a request."""
        self._partial = _PartialRequest()

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a fragment of the target."""
        partial = self._current_request()
        partial.target += url
        self._add_head_bytes(partial, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header.

        The trailers of a chunked body are added to the headers.
        """
        partial = self._current_request()
        partial.headers.append((name.lower(), value))
        self._add_head_bytes(partial, len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of the head."""
        partial = self._current_request()
        partial.is_head_complete = True
        partial.keeps_alive = self._parser.should_keep_alive()

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a piece of the body."""
        partial = self._current_request()
        partial.body.append(body)
        partial.body_bytes += len(body)
        if partial.body_bytes > self._max_body_bytes:
            self._fail("the body exceeds the limit", 413)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a request."""
        partial = self._current_request()
        self._partial = None
        self.complete.append(
            Request(
                self._parser.get_method(),
                partial.target,
                partial.headers,
                b"".join(partial.body),
                partial.keeps_alive,
            )
        )

    def _current_request(self) -> _PartialRequest:
        if self._partial is None:
            self._partial = _PartialRequest()
        return self._partial

    def _add_head_bytes(self, partial: _PartialRequest, size: int) -> None:
        partial.head_bytes += size
        if partial.head_bytes > self._max_head_bytes:
            self._fail("the request head exceeds the limit", 431)

    def _fail(self, message: str, status: int) -> None:
        self._error = MessageError(message, status)
        raise self._error


class ReplyReader:
    """Incremental parser for one reply at a time.

    Bytes after the reply are discarded, and has_extra reports them.
    """

    def __init__(self, is_to_head: bool = False) -> None:
        """Creates a parser that expects the first reply of a connection.

        Args:
            is_to_head: Whether the request was HEAD, so that the reply has no
                body.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._is_parser_idle = True
        self._reset(is_to_head)

    def _reset(self, is_to_head: bool) -> None:
        self._is_to_head = is_to_head
        self._headers: Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._status = 0
        self._has_stated_length = False
        self._has_final_head = False
        self._reply: Reply | None = None
        self._has_extra = False

    def restart(self, is_to_head: bool) -> None:
        """Prepares for the next reply on the same connection.

        The parser is reused if it has reached the end of the last reply,
        because creating one costs more than parsing a reply.
        """
        if not self._is_parser_idle:
            self._parser = httptools.HttpResponseParser(self)
            self._is_parser_idle = True
        self._reset(is_to_head)

    @property
    def reply(self) -> Reply | None:
        """The reply, or None until it is complete."""
        return self._reply

    @property
    def has_extra(self) -> bool:
        """Whether bytes arrived after the end of the reply."""
        return self._has_extra

    def feed(self, data: bytes) -> None:
        """Parses bytes.

        Raises:
            MessageError: The bytes are not a valid reply.
        """
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if self._reply is None:
                raise MessageError("malformed reply") from error
            self._has_extra = True

    def finish(self) -> None:
        """Handles the end of the connection.

        It completes a reply whose length is not stated.
        """
        if (
            self._reply is None
            and self._has_final_head
            and not self._has_stated_length
        ):
            self._complete(keeps_alive=False)

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a reply."""
        self._is_parser_idle = False
        if self._reply is not None:
            self._has_extra = True
        self._headers = []
        self._has_stated_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header."""
        name = name.lower()
        self._headers.append((name, value))
        if name in {b"content-length", b"transfer-encoding"}:
            self._has_stated_length = True

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of the head."""
        if self._reply is not None:
            return
        self._status = self._parser.get_status_code()
        self._has_final_head = self._status >= 200
        if self._has_final_head and self._is_to_head:
            self._complete(self._parser.should_keep_alive())

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a piece of the body."""
        if self._reply is not None:
            return
        self._body_bytes += len(body)
        if self._body_bytes > MAX_REPLY_BYTES:
            raise MessageError("the reply exceeds the limit")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a reply."""
        self._is_parser_idle = True
        if self._reply is not None or self._status < 200:
            return
        if self._has_stated_length or self._status in _BODILESS_STATUSES:
            self._complete(self._parser.should_keep_alive())

    def _complete(self, keeps_alive: bool) -> None:
        self._reply = Reply(
            self._status, self._headers, b"".join(self._body), keeps_alive
        )


@dataclass(frozen=True, slots=True)
class Response:
    """A response to a caller or VM; header names are sent unchanged."""

    status: int
    headers: Headers
    body: bytes = b""


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
    if response.status not in _BODILESS_STATUSES:
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
