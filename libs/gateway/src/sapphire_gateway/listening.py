"""Opens listening sockets, and waits while their address is taken.

An address may be taken for a moment: by the process that ran before, or by a
connection of another process whose local port it is. A process that ended then
would be started again, and end again, while it could serve a moment later.
"""

from __future__ import annotations

import trio

from sapphire_gateway import telemetry

BACKLOG = 512
RETRY_INTERVAL_S = 0.1


async def open_listeners(address: str) -> list[trio.SocketListener]:
    """Listens on an address, and waits until that is possible.

    The first failure and the success after it are logged.

    Args:
        address: IP address and port.
    """
    host, _, port = address.rpartition(":")
    began = trio.current_time()
    has_failed = False
    while True:
        try:
            listeners = await trio.open_tcp_listeners(
                int(port), host=host, backlog=BACKLOG
            )
        except OSError as error:
            if not has_failed:
                telemetry.event(
                    "listen_failed",
                    address=address,
                    error=str(error),
                    remedy="end the process that has the address",
                )
            has_failed = True
        else:
            if has_failed:
                waited_s = round(trio.current_time() - began, 1)
                telemetry.event("listening", address=address, waited_s=waited_s)
            return listeners
        await trio.sleep(RETRY_INTERVAL_S)
