"""Frame encoding: a four-byte length prefix and a compact thrift struct."""

from __future__ import annotations

import struct
from typing import Any

from sapphire_core.errors import ChannelError
from thrift.protocol.TCompactProtocol import (
    TCompactProtocolAcceleratedFactory,
)
from thrift.TSerialization import deserialize, serialize

from sapphire_wire.gen.ttypes import Frame

MAX_FRAME_BYTES = 8 << 20
_LENGTH = struct.Struct("!I")
_PROTOCOL = TCompactProtocolAcceleratedFactory()


def encode(frame: Any) -> bytes:
    """Returns the encoded frame with its length prefix."""
    body: bytes = serialize(frame, _PROTOCOL)
    return _LENGTH.pack(len(body)) + body


class Decoder:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Any]:
        """Buffers received bytes and returns the frames that are complete.

        Raises:
            ChannelError: A frame exceeds MAX_FRAME_BYTES or can't be decoded.
                sent is True, because requests that this side sent on the
                connection may have reached the peer.
        """
        self._buffer += data
        frames = []
        offset = 0
        while len(self._buffer) - offset >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, offset)
            if length > MAX_FRAME_BYTES:
                raise ChannelError(
                    f"frame of {length} bytes exceeds the limit of"
                    f" {MAX_FRAME_BYTES} bytes.",
                    sent=True,
                )
            end = offset + _LENGTH.size + length
            if len(self._buffer) < end:
                break
            body = bytes(self._buffer[offset + _LENGTH.size : end])
            frames.append(_decode_body(body))
            offset = end
        del self._buffer[:offset]
        return frames


def _decode_body(body: bytes) -> Any:
    try:
        return deserialize(Frame(), body, _PROTOCOL)
    except Exception as error:
        # The thrift runtime raises exceptions of many unrelated types on
        # malformed input.
        raise ChannelError(
            f"malformed frame: {type(error).__name__}.", sent=True
        ) from error
