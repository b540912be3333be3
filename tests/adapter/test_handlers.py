"""Addresses and readiness, as the platform and callers ask for them."""

from __future__ import annotations

import json

import pytest
from adapter import handlers
from sapphire_gateway.messages import Request


class Daemon:
    """Answers like a gateway of two VMs."""

    def __init__(self, is_ready=True, addresses=("10.0.0.1:80",)) -> None:
        self.is_ready = is_ready
        self.addresses = list(addresses)
        self.addresses_ttl_s = 5.0
        self.asked = None

    def addresses_for(self, domain):
        self.asked = domain
        return self.addresses


def get(target):
    return Request(b"GET", target, [], b"", True)


@pytest.mark.parametrize(("is_ready", "status"), [(True, 200), (False, 503)])
def test_ready(is_ready, status):
    answer = handlers.ready(Daemon(is_ready), get(b"/ready"))
    assert answer.status == status


def test_resolve_names_addresses_and_their_life_time():
    daemon = Daemon()
    target = b"/resolve?Name=a.example&Region=r&Zone=z%2D1"
    answer = handlers.resolve(daemon, get(target))
    assert json.loads(answer.body) == {"addrs": ["10.0.0.1:80"], "ttl_s": 5.0}
    assert daemon.asked == "z-1"


def test_no_address_is_a_failure():
    answer = handlers.resolve(Daemon(addresses=()), get(b"/resolve?Zone=z"))
    assert answer.status == 503


def test_other_paths_are_unknown():
    assert handlers.resolve(Daemon(), get(b"/other")).status == 404
