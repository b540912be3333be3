"""Incremental parser for the replies of a connection, based on httptools."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NoReturn

import httptools

from sapphire_gateway.messages import (
    BODILESS_STATUSES,
    BodyBuffer,
    Headers,
    MessageError,
    Reply,
    StatusKind,
    header_memory_bytes,
    status_kind,
)


@dataclass(frozen=True, slots=True)
class ReplyLimits:
    """Largest and expected size of a reply, in bytes.

    Attributes:
        head_bytes: Size of the head, with the heads of interim replies.
        body_bytes: Size of the rest as received, with its chunked framing.
        expected_bytes: Memory up to which the reply is not given up when the
            memory of all messages is used up.
    """

    head_bytes: int
    body_bytes: int
    expected_bytes: int = 0


# For replies of leaves and helpers, of which many are in memory at a time.
SMALL_REPLY_LIMITS = ReplyLimits(65_536, 4_194_304, 65_536)
# For replies of the store and of feeds. A page of keys has up to 1 MB of
# values, which may be preceded by one value of the maximum size.
LARGE_REPLY_LIMITS = ReplyLimits(65_536, 16_777_216, 4_194_304)
# A leaf may send more records than a search needs of it, and in small chunks.
MIN_PART_BODY_BYTES = 65_536
MAX_RECEIVED_PER_NEEDED_BYTE = 64


# Takes the place of a parser that is not used any more.
_NO_PARSER = httptools.HttpResponseParser(object())


def part_limits(needed_bytes: int) -> ReplyLimits:
    """Returns the limits of a leaf's reply to a search.

    Args:
        needed_bytes: Size of the records that the search needs of it at most.
    """
    body_bytes = max(
        MIN_PART_BODY_BYTES, MAX_RECEIVED_PER_NEEDED_BYTE * needed_bytes
    )
    return ReplyLimits(SMALL_REPLY_LIMITS.head_bytes, body_bytes, needed_bytes)


class ReplyReader:
    """Incremental parser for one reply at a time.

    Bytes after the reply are discarded, and has_extra reports them. Trailers of
    a chunked body are ignored.
    """

    def __init__(
        self,
        is_to_head: bool = False,
        limits: ReplyLimits = SMALL_REPLY_LIMITS,
    ) -> None:
        """Creates a parser that expects the first reply of a connection.

        Args:
            is_to_head: Whether the request was HEAD, so that the reply has no
                body.
            limits: Limits of each reply.
        """
        self._limits = limits
        self._parser = httptools.HttpResponseParser(self)
        self._is_parser_idle = True
        self._reset(is_to_head)

    def _reset(self, is_to_head: bool) -> None:
        self._is_to_head = is_to_head
        self._headers: Headers = []
        self._body = BodyBuffer()
        self._headers_bytes = 0
        self._head_bytes = 0
        self._body_bytes = 0
        self._status = 0
        self._has_stated_length = False
        self._has_final_head = False
        self._reply: Reply | None = None
        self._has_extra = False
        self._error: MessageError | None = None

    def restart(
        self, is_to_head: bool, limits: ReplyLimits | None = None
    ) -> None:
        """Prepares for the next reply on the same connection.

        The parser is reused if it has reached the end of the last reply,
        because creating one costs more than parsing a reply.

        Args:
            is_to_head: Whether the request was HEAD.
            limits: Limits of the reply, if they change.
        """
        if limits is not None:
            self._limits = limits
        if not self._is_parser_idle:
            self._parser = httptools.HttpResponseParser(self)
            self._is_parser_idle = True
        self._reset(is_to_head)

    @property
    def reply(self) -> Reply | None:
        """The reply, or None until it is complete."""
        return self._reply

    @property
    def is_complete(self) -> bool:
        """Whether the reply is complete."""
        return self._reply is not None

    def take_reply(self) -> Reply:
        """Returns the complete reply, which the parser does not keep."""
        assert self._reply is not None
        reply = self._reply
        self._reset(self._is_to_head)
        return reply

    def drop(self) -> None:
        """Drops what has arrived of the reply.

        The reader can't be used for further replies. It and its parser refer to
        each other, and would keep the reply until the next garbage collection.
        """
        self._reset(self._is_to_head)
        self._parser = _NO_PARSER

    @property
    def held_bytes(self) -> int:
        """Memory that the reply takes until it is complete, in bytes."""
        return self._head_bytes + self._headers_bytes + len(self._body)

    @property
    def has_extra(self) -> bool:
        """Whether bytes arrived after the end of the reply."""
        return self._has_extra

    def feed(self, data: bytes) -> None:
        """Parses bytes.

        Raises:
            MessageError: The bytes are not a valid reply, or exceed a limit.
        """
        had_final_head = self._has_final_head
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            if self._reply is None:
                raise self._error or MessageError("malformed reply") from error
            self._has_extra = True
        if self._reply is None:
            self._count_bytes(len(data), had_final_head)

    def _count_bytes(self, count: int, had_final_head: bool) -> None:
        """Counts received bytes against the limits.

        The parser keeps an unfinished header to itself, so received bytes are
        counted instead of parsed ones. The bytes in which the head ends are not
        counted.
        """
        if not self._has_final_head:
            self._head_bytes += count
            if self._head_bytes > self._limits.head_bytes:
                raise MessageError(
                    "the head of the reply exceeds"
                    f" {self._limits.head_bytes} bytes"
                )
        elif had_final_head:
            self._body_bytes += count
            if self._body_bytes > self._limits.body_bytes:
                raise MessageError(
                    "the body of the reply exceeds"
                    f" {self._limits.body_bytes} bytes"
                )

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
        self._headers_bytes = 0
        self._has_stated_length = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Called by the parser for each header and trailer."""
        if self._has_final_head:
            return
        name = name.lower()
        self._headers.append((name, value))
        self._headers_bytes += header_memory_bytes(name, value)
        if name in {b"content-length", b"transfer-encoding"}:
            self._has_stated_length = True

    def on_headers_complete(self) -> None:
        """Called by the parser at the end of the head."""
        if self._reply is not None:
            return
        self._status = self._parser.get_status_code()
        kind = status_kind(self._status)
        if kind is StatusKind.INVALID:
            self._fail(f"the status {self._status} is not one of HTTP")
        self._has_final_head = kind is StatusKind.FINAL
        if self._has_final_head and self._is_to_head:
            self._complete(self._parser.should_keep_alive())

    def on_body(self, body: bytes) -> None:
        """Called by the parser with a piece of the body."""
        if self._reply is not None:
            return
        if not self._has_final_head:
            self._fail(f"a reply with status {self._status} has a body")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Called by the parser at the end of a reply."""
        self._is_parser_idle = True
        if self._reply is not None or not self._has_final_head:
            return
        if self._has_stated_length or self._status in BODILESS_STATUSES:
            self._complete(self._parser.should_keep_alive())

    def _fail(self, message: str) -> NoReturn:
        """Ends the parsing: the parser hides the errors of its callbacks."""
        self._error = MessageError(message)
        raise self._error

    def _complete(self, keeps_alive: bool) -> None:
        self._reply = Reply(
            self._status, self._headers, self._body.content(), keeps_alive
        )
        self._body = BodyBuffer()
