"""Tests of the proxy."""

import functools

import pytest
import trio
from sapphire_standins.proxy import Proxy


def test_connection_limit_and_outage():
    """Guards against excess connections and a port lost in an outage.

    Another process could take the port while the proxy is offline.
    """

    async def main():
        proxy = Proxy(max_connections=1)
        async with trio.open_nursery() as nursery:
            listener = await nursery.start(
                functools.partial(trio.serve_tcp, _greet, 0, host="127.0.0.1")
            )
            upstream = listener[0].socket.getsockname()
            address = await nursery.start(proxy.run, ("127.0.0.1", 0), upstream)
            first = await trio.open_tcp_stream(*address)
            assert await first.receive_some() == b"hello"
            second = await trio.open_tcp_stream(*address)
            assert await second.receive_some() == b""
            assert (proxy.opened_count, proxy.refused_count) == (1, 1)
            proxy.take_offline(0.3)
            assert await first.receive_some() == b""
            with pytest.raises(OSError, match="connect"):
                await trio.open_tcp_stream(*address)
            await trio.sleep(0.5)
            again = await trio.open_tcp_stream(*address)
            assert await again.receive_some() == b"hello"
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _greet(stream):
    await stream.send_all(b"hello")
    await trio.sleep_forever()
