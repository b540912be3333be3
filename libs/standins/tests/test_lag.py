"""Tests of values that are reported with a delay."""

from __future__ import annotations

from sapphire_standins.lag import MAX_LAG_S, LaggedValue


def test_value_is_read_as_it_was():
    value = LaggedValue("a")
    value.set("b", 10.0)
    value.set("c", 20.0)
    assert value.get(14.0, 5.0) == "a"
    assert value.get(15.0, 5.0) == "b"
    assert value.get(25.0, 5.0) == "c"


def test_values_do_not_accumulate_while_nobody_reads():
    """Guards against a stand-in whose memory grows without end."""
    value = LaggedValue(0)
    for second in range(int(3 * MAX_LAG_S)):
        value.set(second, float(second))
    assert len(value._pending) <= MAX_LAG_S + 1
    assert value.get(float(second), 5.0) == second - 5
