"""Tests of status queries to daemons over HTTP."""

import functools

import trio
from sapphire_ctl.daemons import DaemonClient

_STATUS = b'{"role": "entry", "revision": 3, "unknown": 1}'


async def _respond(status, body, stream):
    await stream.receive_some()
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n\r\n"
    await stream.send_all(head.encode() + body)


def test_one_bad_daemon_does_not_hide_the_others():
    """Guards against a status command that fails if one daemon does."""
    served = [(200, _STATUS), (503, b"{}"), (200, b"<html>"), (200, b"[]")]

    async def main():
        async with trio.open_nursery() as nursery:
            addresses = []
            for status, body in served:
                handler = functools.partial(_respond, status, body)
                serve = functools.partial(
                    trio.serve_tcp, handler, 0, host="127.0.0.1"
                )
                (listener,) = await nursery.start(serve)
                port = listener.socket.getsockname()[1]
                addresses.append(f"127.0.0.1:{port}")
            closed = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = closed[0].socket.getsockname()[1]
            await closed[0].aclose()
            addresses.append(f"127.0.0.1:{port}")
            responses = await DaemonClient().statuses(addresses)
            nursery.cancel_scope.cancel()
        return responses

    responses = trio.run(main)
    assert responses[0].status.revision == 3
    assert [a.problem for a in responses[1:]] == [
        "answered /v1/status with HTTP 503",
        "malformed answer to /v1/status",
        "malformed answer to /v1/status",
        "no connection",
    ]
