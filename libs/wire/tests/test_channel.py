"""Tests of request and reply channels."""

import pytest
import trio
from sapphire_core.errors import ChannelError
from sapphire_wire import channel
from sapphire_wire.gen.ttypes import ConfigReply, FetchConfig, Frame
from trio.testing import memory_stream_pair


async def _echo(frame, reply):
    reply(Frame(config_reply=ConfigReply(revision=frame.id, document="")))


def test_concurrent_requests_get_their_own_replies():
    """Guards against a reply that is delivered to another request."""
    replied_ids = []

    async def main():
        client_stream, server_stream = memory_stream_pair()
        client = channel.Channel(client_stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(channel.serve_stream, server_stream, _echo)
            nursery.start_soon(client.run)

            async def send_request():
                frame = Frame(fetch_config=FetchConfig())
                reply = await client.request(frame)
                replied_ids.append((frame.id, reply.config_reply.revision))

            async with trio.open_nursery() as requests:
                for _ in range(100):
                    requests.start_soon(send_request)
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert len(replied_ids) == 100
    assert all(sent == replied for sent, replied in replied_ids)


def test_lost_connection_fails_the_waiting_request():
    """Guards against a request that hangs on a closed connection."""

    async def main():
        client_stream, server_stream = memory_stream_pair()
        client = channel.Channel(client_stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.run)

            async def close_after_request():
                await server_stream.receive_some()
                await server_stream.aclose()

            nursery.start_soon(close_after_request)
            with pytest.raises(ChannelError) as caught:
                await client.request(Frame(fetch_config=FetchConfig()))
            assert caught.value.sent

    trio.run(main)


def test_failures_of_both_kinds_end_only_the_connection():
    """Guards against a peer that ends the daemon.

    The connection may fail while a frame of the peer cannot be decoded.
    """

    async def raise_error(error):
        raise error

    async def main():
        async with (
            channel._as_channel_error(),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(raise_error, trio.BrokenResourceError())
            error = ChannelError("wrong bytes.", sent=True)
            nursery.start_soon(raise_error, error)

    with pytest.raises(ChannelError):
        trio.run(main)
