"""Tests of the gateway's metrics."""

from __future__ import annotations

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
