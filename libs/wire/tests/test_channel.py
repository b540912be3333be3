"""Tests of framed channels."""

import pytest
import trio
from sapphire_core.errors import ChannelError
from sapphire_wire import channel
from sapphire_wire.gen.ttypes import ConfigReply, FetchConfig, Frame
from trio.testing import memory_stream_pair


async def _echo(frame, reply):
    reply(Frame(config_reply=ConfigReply(revision=frame.id, document="")))


def test_concurrent_requests_get_their_own_replies():
    """Guards against a reply that reaches another request's caller."""
    got = []

    async def main():
        ours, theirs = memory_stream_pair()
        client = channel.Channel(ours)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.serve_stream, theirs, _echo)
            nursery.start_soon(client.run)

            async def ask():
                frame = Frame(fetch_config=FetchConfig())
                answer = await client.request(frame)
                got.append((frame.id, answer.config_reply.revision))

            async with trio.open_nursery() as asking:
                for _ in range(100):
                    asking.start_soon(ask)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(got) == 100
    assert all(asked == answered for asked, answered in got)


def test_lost_connection_fails_the_waiting_request():
    """Guards against a request that waits forever on a dead connection."""

    async def main():
        ours, theirs = memory_stream_pair()
        client = channel.Channel(ours)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.run)

            async def cut():
                await theirs.receive_some()
                await theirs.aclose()

            nursery.start_soon(cut)
            with pytest.raises(ChannelError) as caught:
                await client.request(Frame(fetch_config=FetchConfig()))
            assert caught.value.sent

    trio.run(main)
