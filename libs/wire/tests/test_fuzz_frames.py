"""Property tests of the frames between daemons and of the leaves' replies.

`make fuzz` runs more examples.
"""

from __future__ import annotations

import contextlib
import json

import pytest
import trio
from fuzzing import fuzz
from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.errors import ChannelError, LeafError
from sapphire_wire import channel
from sapphire_wire.gen.ttypes import FetchConfig, Frame
from sapphire_wire.leaf import LeafClient, LeafQuery
from sapphire_wire.web import HttpReply
from trio.testing import memory_stream_pair

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["batch_id", "documents", "results", "id", "matches", "score"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=20,
)


async def _sent_frame():
    """Returns the bytes of a valid frame."""
    writer_side, reader_side = memory_stream_pair()
    writer = channel.FrameWriter(writer_side)
    writer.send(Frame(id=7, fetch_config=FetchConfig()))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(writer.run)
        data = await reader_side.receive_some()
        nursery.cancel_scope.cancel()
    return bytes(data)


VALID = trio.run(_sent_frame)


@fuzz
@given(
    st.one_of(
        st.binary(max_size=100),
        st.tuples(
            st.integers(0, len(VALID)), st.binary(max_size=6), st.integers(0, 6)
        ).map(lambda cut: VALID[: cut[0]] + cut[1] + VALID[cut[0] + cut[2] :]),
    ),
    st.integers(1, 30),
)
def test_wild_frames_raise_only_a_channel_error(data, size):
    async def main():
        sender, receiver = memory_stream_pair()
        for start in range(0, len(data), size):
            await sender.send_all(data[start : start + size])
        await sender.aclose()
        with contextlib.suppress(ChannelError):
            async for _ in channel.read_frames(receiver):
                pass

    trio.run(main)


class _Http:
    def __init__(self, reply) -> None:
        self._reply = reply

    async def call(self, method, path, body=None, *, timeout_s):
        return self._reply


@pytest.mark.parametrize("call", ["search", "submit", "index"])
@fuzz
@given(
    st.sampled_from([200, 200, 200, 410, 500, 503, 504]),
    st.binary(max_size=50) | JSON.map(lambda v: json.dumps(v).encode()),
)
def test_any_reply_of_a_leaf_is_decoded_or_a_leaf_error(call, status, body):
    client = LeafClient("127.0.0.1:1", 1)
    client._http = _Http(HttpReply(status, body))
    query = LeafQuery("0", "a", 2)

    async def main():
        if call == "search":
            await client.search("b", "v", 1, [query], remaining=lambda: 1.0)
        elif call == "submit":
            await client.submit("key", "body", remaining=lambda: 1.0)
        else:
            await client.index(1.0)

    with contextlib.suppress(LeafError):
        trio.run(main)
