"""Tests of the choice of loopback networks for fleets."""

from __future__ import annotations

import os
import socket

from sapphire_bench.loopback import (
    LOOPBACK_NETWORKS,
    networks_in_use,
    reserve_network,
)


def test_network_of_a_process_that_was_left_over_is_avoided():
    """Guards against a fleet that cannot bind its addresses.

    The reservation of a network ends with the process that made it, while
    daemons of its fleet may live on.
    """
    first_choice = f"127.{1 + os.getpid() % LOOPBACK_NETWORKS}"
    with socket.socket() as left_over:
        left_over.bind((f"{first_choice}.3.1", 0))
        left_over.listen()
        assert first_choice in networks_in_use()
        with reserve_network() as network:
            assert network != first_choice
    assert first_choice not in networks_in_use()
