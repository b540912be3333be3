"""Messages to other VMs, each on a connection of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import trio
from sapphire_core.members import Member

from sapphire_gateway.fleet_view import FleetView
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.messages import Reply
from sapphire_gateway.replyreader import SMALL_REPLY_LIMITS

CONTENT_TYPE = "application/msgpack"
TIMEOUT_S = 0.5
MAX_CONCURRENT = 16


def other_vms(view: FleetView) -> list[Member]:
    """Returns the VMs that can be told, also those that are being stopped."""
    return [
        member
        for member in view.members.all(trio.current_time())
        if member.peer_address and member.name != view.self_name
    ]


async def post(
    peer: Member, path: str, content: bytes, nursery: trio.Nursery
) -> Reply:
    """Sends a message to a VM and returns its reply.

    Args:
        peer: The VM.
        path: Path that says what the message is.
        content: The message.
        nursery: Runs the connection.

    Raises:
        StoreUnavailableError: There was no reply within TIMEOUT_S.
    """
    client = HttpClient(peer.peer_address, SMALL_REPLY_LIMITS)
    client.start(nursery)
    try:
        return await client.request(
            "POST", path, TIMEOUT_S, content, CONTENT_TYPE
        )
    finally:
        client.reconnect("one message per connection")


async def tell_all(
    peers: Iterable[Member], tell: Callable[[Member], Awaitable[None]]
) -> None:
    """Tells each VM, MAX_CONCURRENT of them at the same time."""
    limiter = trio.CapacityLimiter(MAX_CONCURRENT)

    async def tell_one(peer: Member) -> None:
        async with limiter:
            await tell(peer)

    async with trio.open_nursery() as nursery:
        for peer in peers:
            nursery.start_soon(tell_one, peer)
