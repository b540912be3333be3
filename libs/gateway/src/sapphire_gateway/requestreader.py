"""Incremental parser for the requests of a connection, based on httptools."""

from __future__ import annotations

from dataclasses import dataclass, field

import httptools

from sapphire_gateway.messages import (
    BodyBuffer,
    Headers,
    MessageError,
    Request,
    header_memory_bytes,
)

# Largest size of a chunked body as received, in bytes for each byte of the
# limit of the body: the framing of a chunk of one byte takes five more.
CHUNK_BYTES_PER_BODY_BYTE = 6


# Takes the place of a parser that is not used any more.
_NO_PARSER = httptools.HttpRequestParser(object())


@dataclass(slots=True)
class _PartialRequest:
    target: bytes = b""
    headers: Headers = field(default_factory=list)
    body: BodyBuffer = field(default_factory=BodyBuffer)
    head_bytes: int = 0
    # Memory of the headers.
    headers_bytes: int = 0
    # Received bytes of the head, as long as it is not complete.
    unparsed_head_bytes: int = 0
    # Received bytes of the unfinished head, and of the rest with its framing,
    # that count against the limits.
    received_head_bytes: int = 0
    received_body_bytes: int = 0
    is_head_complete: bool = False
    # Whether the message, and its part after the head, began before.
    has_begun_before: bool = False
    had_head_before: bool = False
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
        self.set_limits(max_head_bytes, max_body_bytes)
        self._partial: _PartialRequest | None = None
        self._error: MessageError | None = None
        self.complete: list[Request] = []

    def set_limits(self, max_head_bytes: int, max_body_bytes: int) -> None:
        """Sets the limits of the requests that begin from now on.

        Args:
            max_head_bytes: Largest size of the target and headers.
            max_body_bytes: Largest size of the body.
        """
        self._max_head_bytes = max_head_bytes
        self._max_body_bytes = max_body_bytes
        self._max_received_body_bytes = (
            max_head_bytes + CHUNK_BYTES_PER_BODY_BYTE * max_body_bytes
        )

    @property
    def is_between_messages(self) -> bool:
        """Whether no part of the next request has arrived yet."""
        return self._partial is None

    @property
    def is_head_complete(self) -> bool:
        """Whether all headers of the current request have arrived."""
        return self._partial is not None and self._partial.is_head_complete

    @property
    def held_bytes(self) -> int:
        """Memory that the current request takes, in bytes."""
        partial = self._partial
        if partial is None:
            return 0
        # The parser keeps an unfinished header.
        return (
            partial.unparsed_head_bytes
            + len(partial.target)
            + partial.headers_bytes
            + len(partial.body)
        )

    def feed(self, data: bytes) -> None:
        """Parses bytes; complete requests are appended to complete.

        Raises:
            MessageError: The bytes are not a valid request, or exceed a limit.
                What has arrived of the request is dropped.
        """
        try:
            self._parse(data)
        except MessageError:
            self.drop()
            raise

    def drop(self) -> None:
        """Drops what has arrived of the current request.

        The reader can't be used for further requests. It and its parser refer
        to each other, and would keep the request until the next garbage
        collection.
        """
        if self._partial is not None:
            self._partial = _PartialRequest()
        # The parser keeps an unfinished header.
        self._parser = _NO_PARSER

    def _parse(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MessageError("upgrades are not supported") from error
        except httptools.HttpParserError as error:
            raise self._error or MessageError("malformed request") from error
        if self._partial is not None:
            self._count_bytes(self._partial, len(data))

    def _count_bytes(self, partial: _PartialRequest, count: int) -> None:
        """Counts the received bytes of a message that is not complete.

        The parser keeps an unfinished header to itself, and skips the framing
        of a chunked body. Counts start with the read after the one in which the
        head began or ended.
        """
        if not partial.is_head_complete:
            partial.unparsed_head_bytes += count
            if partial.has_begun_before:
                partial.received_head_bytes += count
            if partial.received_head_bytes > self._max_head_bytes:
                self._fail("the request head exceeds the limit", 431)
        else:
            partial.unparsed_head_bytes = 0
            if partial.had_head_before:
                partial.received_body_bytes += count
            if partial.received_body_bytes > self._max_received_body_bytes:
                self._fail("the body exceeds the limit", 413)
        partial.has_begun_before = True
        partial.had_head_before = partial.is_head_complete

    def on_message_begin(self) -> None:
        """Called by the parser at the first byte of a request."""
        self._partial = _PartialRequest()

    def on_url(self, url: bytes) -> None:
        """Called by the parser with a fragment of the target."""
        partial = self._current_request()
        partial.target += url
        self._add_head_bytes(partial, len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header and trailer.

        Trailers are ignored: they could replace headers that were checked.
        """
        partial = self._current_request()
        if partial.is_head_complete:
            return
        partial.headers.append((name.lower(), value))
        partial.headers_bytes += header_memory_bytes(name, value)
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
        if len(partial.body) > self._max_body_bytes:
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
                partial.body.content(),
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
