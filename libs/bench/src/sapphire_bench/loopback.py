"""Loopback networks that let several fleets run on one machine."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Iterator

from sapphire_bench.process import FleetError
from sapphire_bench.spec import CONTROL_PORT

# Number of networks 127.x; x is from 1 to this number.
LOOPBACK_NETWORKS = 250
RESERVATION_PORT = 9999


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
    A bound socket marks a network as taken until the block ends.

    Raises:
        FleetError: All networks are in use.
    """
    first = os.getpid() % LOOPBACK_NETWORKS
    for offset in range(LOOPBACK_NETWORKS):
        network = f"127.{1 + (first + offset) % LOOPBACK_NETWORKS}"
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as reservation:
            try:
                reservation.bind((f"{network}.255.1", RESERVATION_PORT))
            except OSError:
                continue
            yield network
            return
    raise FleetError(f"all {LOOPBACK_NETWORKS} loopback networks are in use")
