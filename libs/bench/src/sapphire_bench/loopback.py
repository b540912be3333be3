"""Loopback networks that let several fleets run on one machine."""

from __future__ import annotations

import contextlib
import os
import pathlib
import socket
import sys
from collections.abc import Iterator

from sapphire_bench.process import FleetError
from sapphire_bench.spec import CONTROL_PORT

# Number of networks 127.x; x is from 1 to this number.
LOOPBACK_NETWORKS = 250
RESERVATION_PORT = 9999
LOOPBACK_BYTE = 127
# State of listening sockets in /proc/net/tcp.
LISTEN = "0A"


def control_address(address: str) -> str:
    """Returns a stand-in's control address.

    It still answers when an injected fault makes the main address fail.

    Args:
        address: The main address of the stand-in.
    """
    ip, _, _ = address.rpartition(":")
    return f"{ip}:{CONTROL_PORT}"


@contextlib.contextmanager
def reserve_network() -> Iterator[str]:
    """Yields the first two octets of a loopback network that no fleet uses.

    The daemons have fixed ports, so concurrent fleets need separate networks.
    A bound socket marks a network as taken until the block ends. Networks in
    which any process listens are left out, as processes of an earlier fleet may
    have outlived their reservation.

    Raises:
        FleetError: All networks are in use.
    """
    first = os.getpid() % LOOPBACK_NETWORKS
    in_use = networks_in_use()
    for offset in range(LOOPBACK_NETWORKS):
        network = f"127.{1 + (first + offset) % LOOPBACK_NETWORKS}"
        if network in in_use:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as reservation:
            try:
                reservation.bind((f"{network}.255.1", RESERVATION_PORT))
            except OSError:
                continue
            yield network
            return
    raise FleetError(f"all {LOOPBACK_NETWORKS} loopback networks are in use")


def networks_in_use() -> set[str]:
    """Returns the networks 127.x in which a TCP socket is listening."""
    networks = set()
    lines = pathlib.Path("/proc/net/tcp").read_text(encoding="ascii")
    for line in lines.splitlines()[1:]:
        _, local, _, state, *_ = line.split()
        # The address is a hexadecimal number in the machine's byte order.
        address = int(local.partition(":")[0], 16).to_bytes(4, sys.byteorder)
        if state == LISTEN and address[0] == LOOPBACK_BYTE:
            networks.add(f"{address[0]}.{address[1]}")
    return networks
