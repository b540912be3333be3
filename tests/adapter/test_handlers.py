"""Tests of the address look-up and the readiness check."""

from __future__ import annotations

import json

import pytest
from adapter import handlers
from sapphire_gateway.messages import Request


class Daemon:
    """Stub of the gateway daemon."""

    def __init__(self, is_ready=True, addresses=("10.0.0.1:80",)) -> None:
        self.is_ready = is_ready
        self.addresses = list(addresses)
        self.addresses_ttl_s = 5.0
        self.requested_domain = None

    def addresses_for(self, domain):
        self.requested_domain = domain
        return self.addresses


def get(target):
    return Request(b"GET", target, headers=[], body=b"", keeps_alive=True)


@pytest.mark.parametrize(("is_ready", "status"), [(True, 200), (False, 503)])
def test_ready(is_ready, status):
    answer = handlers.ready(Daemon(is_ready), get(b"/ready"))
    assert answer.status == status


def test_resolve_returns_addresses_and_ttl():
    daemon = Daemon()
    # Only Zone, the caller's failure domain, is used.
    target = b"/resolve?Name=a.example&Region=r&Zone=z%2D1"
    answer = handlers.resolve(daemon, get(target))
    assert json.loads(answer.body) == {"addrs": ["10.0.0.1:80"], "ttl_s": 5.0}
    assert daemon.requested_domain == "z-1"


def test_resolve_without_addresses_is_unavailable():
    answer = handlers.resolve(Daemon(addresses=()), get(b"/resolve?Zone=z"))
    assert answer.status == 503


def test_resolve_of_other_path_is_not_found():
    assert handlers.resolve(Daemon(), get(b"/other")).status == 404
