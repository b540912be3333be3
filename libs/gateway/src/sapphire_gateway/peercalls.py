"""Messages to other VMs, each on a connection of its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

import trio
from sapphire_core.members import Member

from sapphire_gateway import telemetry
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.messages import Reply
from sapphire_gateway.replyreader import SMALL_REPLY_LIMITS

CONTENT_TYPE = "application/msgpack"
TIMEOUT_S = 0.5
MAX_CONCURRENT = 16


def calling_vms(fleet: Fleet) -> list[Member]:
    """Returns the other VMs that may send requests to leaves.

    These are the serving ones and those that are being stopped: callers send
    requests to them, and other VMs delegate calls to them.
    """
    now = trio.current_time()
    serving = {member.name for member in fleet.serving_members(now)}
    return [
        member
        for member in fleet.view.members.all(now)
        if (member.leaving or member.name in serving)
        and member.peer_address
        and member.name != fleet.view.self_name
    ]


async def post(
    fleet: Fleet, peer: Member, path: str, content: bytes, nursery: trio.Nursery
) -> Reply:
    """Sends a message to a VM and returns its reply.

    Args:
        fleet: Knows the failure domain of this VM.
        peer: The VM.
        path: Path that says what the message is.
        content: The message.
        nursery: Runs the connection.

    Raises:
        StoreUnavailableError: There was no reply within TIMEOUT_S.
    """
    traffic = telemetry.domain_traffic(path, peer.domain != fleet.domain)
    client = HttpClient(peer.peer_address, SMALL_REPLY_LIMITS, traffic)
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
