"""Tests of the entry lifecycle and the address list."""

from types import SimpleNamespace

import trio
from hypothesis import given
from hypothesis import strategies as st
from sapphire_core.errors import (
    NotReadyError,
    OutOfServiceError,
    ShuttingDownError,
)
from sapphire_entry.addresses import Address, AddressRotation, usable_addresses
from sapphire_entry.lifecycle import Lifecycle, Phase
from trio.testing import MockClock


def _with_clock(test):
    clock = MockClock()

    async def main():
        await test(clock)

    trio.run(main, clock=clock)


def test_entry_out_of_service_serves_callers_with_cached_addresses():
    """Guards against refusing callers with unexpired address lists."""

    async def check(clock):
        lifecycle = Lifecycle()
        assert isinstance(lifecycle.refusal(), NotReadyError)
        lifecycle.set_out_of_service(True)
        assert lifecycle.phase is Phase.STARTING
        lifecycle.finish_startup(out=False)
        assert lifecycle.refusal() is None
        lifecycle.set_out_of_service(True)
        assert not lifecycle.is_listed
        clock.jump(2.9)
        assert lifecycle.refusal() is None
        clock.jump(0.2)
        assert isinstance(lifecycle.refusal(), OutOfServiceError)
        lifecycle.set_out_of_service(False)
        assert lifecycle.refusal() is None

    _with_clock(check)


def test_shutdown_out_of_service_does_not_serve_again():
    """Guards against an entry that accepts requests again in a shutdown."""

    async def check(clock):
        lifecycle = Lifecycle()
        lifecycle.finish_startup(out=True)
        assert isinstance(lifecycle.refusal(), OutOfServiceError)
        lifecycle.begin_shutdown()
        assert isinstance(lifecycle.refusal(), ShuttingDownError)
        lifecycle.set_out_of_service(False)
        assert lifecycle.phase is Phase.LEAVING

    _with_clock(check)


def test_each_change_is_announced_with_a_higher_stamp():
    """Guards against an old announcement that overrides a newer one."""

    async def check(clock):
        lifecycle, stamps = Lifecycle(), []
        lifecycle.on_change = lambda: stamps.append(lifecycle.stamp)
        lifecycle.finish_startup(out=False)
        for out in (True, True, False, True):
            lifecycle.set_out_of_service(out)
        assert len(stamps) == 4
        assert stamps == sorted(set(stamps))

    _with_clock(check)


@given(st.lists(st.sampled_from("abcd"), min_size=1, max_size=9))
def test_list_starts_in_the_callers_domain_and_rotates(domains):
    """Guards against address lists that send all callers to one entry."""
    listed = [Address(f"10.0.0.{i}:80", d) for i, d in enumerate(domains)]
    rotation = AddressRotation(3)
    orders = [rotation.order(listed, "a") for _ in listed]
    near = domains.count("a")
    for order in orders:
        assert sorted(order, key=lambda a: a.address) == listed
        assert all(a.failure_domain == "a" for a in order[:near])
    firsts = {order[0] for order in orders}
    assert len(firsts) == (near or len(listed))


def test_vms_out_of_service_and_unready_entries_are_not_listed():
    """Guards against listing entries that are out or shutting down."""
    records = [
        SimpleNamespace(address="a", vm="v1", failure_domain="d1", ready=True),
        SimpleNamespace(address="b", vm="v2", failure_domain="d1", ready=True),
        SimpleNamespace(address="c", vm="v3", failure_domain="d2", ready=False),
    ]
    listed = usable_addresses(records, lambda vm, domain: vm == "v2")
    assert [item.address for item in listed] == ["a"]
