"""Tests of the choice of loopback networks for fleets."""

from __future__ import annotations

import os
import socket

from sapphire_bench.loopback import (
    LOOPBACK_NETWORKS,
    networks_in_use,
    reserve_network,
)

# A network that no fleet uses, so that concurrent runs do not disturb the test.
UNUSED_NETWORK = f"127.{LOOPBACK_NETWORKS + 2}"


def listen_in(network):
    """Returns a listening socket with an address of a network."""
    left_over = socket.socket()
    left_over.bind((f"{network}.3.1", 0))
    left_over.listen()
    return left_over


def test_network_of_a_process_that_was_left_over_is_avoided():
    """Guards against a fleet that cannot bind its addresses.

    The reservation of a network ends with the process that made it, while
    daemons of its fleet may live on.
    """
    first_choice = f"127.{1 + os.getpid() % LOOPBACK_NETWORKS}"
    with listen_in(first_choice), reserve_network() as network:
        assert network != first_choice


def test_network_is_in_use_while_a_process_listens():
    with listen_in(UNUSED_NETWORK):
        assert UNUSED_NETWORK in networks_in_use()
    assert UNUSED_NETWORK not in networks_in_use()
