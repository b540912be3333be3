"""Tests of the gateway's metrics."""

from __future__ import annotations

import os

import sapphire_entry.metrics  # noqa: F401
from sapphire_gateway import telemetry


def test_requests_are_counted_by_route_priority_and_result():
    """Metrics of two daemons can be imported into one process.

    Both define the same names. In one shared registry this made the import
    fail.
    """
    telemetry.count_request("r-1", 2, "good")
    assert (
        b'sapphirecross_requests_total{request_class="priority-2",'
        b'result="good",service="r-1"} 1.0' in telemetry.metrics_text()
    )


def test_long_line_keeps_its_line_break():
    """Guards against two lines that become one, which no reader can parse."""
    reader, descriptor = os.pipe()
    writer = telemetry.LineWriter(descriptor)
    writer.write(b"x" * 10_000 + b"\n")
    writer.write(b"y\n")
    first, second, rest = os.read(reader, 20_000).split(b"\n")
    assert len(first) == telemetry.MAX_LINE_BYTES - 1
    assert (second, rest) == (b"y", b"")
    os.close(reader)
    os.close(descriptor)
