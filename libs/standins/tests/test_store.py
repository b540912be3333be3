"""Tests of the key-value store, the rate limiter and lagged values."""

import pytest
from sapphire_standins.lag import LaggedValue
from sapphire_standins.rate import RateLimiter
from sapphire_standins.store import (
    MAX_VALUE_BYTES,
    ConflictError,
    Item,
    LeaseError,
    Store,
    ValueSizeError,
)


def test_a_write_needs_the_current_version():
    """Guards against two concurrent writers that both succeed."""
    store = Store()
    assert store.put("k", "a", 0) == 1
    with pytest.raises(ConflictError) as caught:
        store.put("k", "b", 0)
    assert caught.value.current == 1
    assert store.put("k", "b", 1) == 2
    assert store.get("k") == Item("b", 2)
    assert store.get_previous("k") == Item("a", 1)
    assert store.get_previous("k", 2) == Item("", 0)


def test_size_limit():
    """Guards against accepting a value that the real service rejects."""
    store = Store()
    store.put("k", "x" * MAX_VALUE_BYTES, 0)
    with pytest.raises(ValueSizeError):
        store.put("k", "é" * (MAX_VALUE_BYTES // 2 + 1), 1)


def test_an_expired_lease_removes_its_keys():
    """Guards against reusing a version after a lease has expired."""
    store = Store()
    lease = store.open_lease(2.0, now=0.0)
    store.put("k", "a", 0, lease)
    store.renew_lease(lease, now=1.5)
    assert store.expire_leases(now=3.0) == []
    assert store.next_expiry() == 3.5
    assert store.expire_leases(now=3.5) == ["k"]
    assert store.get("k") == Item("", 0)
    with pytest.raises(LeaseError):
        store.renew_lease(lease, now=3.6)
    with pytest.raises(LeaseError):
        store.put("k", "b", 0, lease)
    assert store.put("k", "b", 0) == 2


def test_rate_limit_refills():
    """Guards against bursts above one second's calls and a wrong refill."""
    limit = RateLimiter(10)
    assert sum(limit.try_acquire(0.0) for _ in range(20)) == 10
    assert sum(limit.try_acquire(0.5) for _ in range(20)) == 5


def test_lagged_value_shows_each_state_in_turn():
    """Guards against a lag that skips intermediate values."""
    value = LaggedValue("a")
    value.set("b", 1.0)
    value.set("c", 2.0)
    assert [value.get(t, 5.0) for t in (5.9, 6.0, 7.0)] == ["a", "b", "c"]
