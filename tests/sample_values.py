"""Valid values of the platform's store, for tests that change them."""

from __future__ import annotations

LEAF = {
    "Service": "s",
    "Address": "10.0.0.9:8080",
    "Zone": "z1",
    "Version": "v1",
    "Slots": 2,
    "State": "ready",
    "WarmupLeftMs": 1500,
    "Sequence": 4,
    # Start time of the leaf in Unix milliseconds.
    "born": 1791105842648,
}
ROUTE = {
    "Name": "r",
    "Host": "a.example",
    "Prefix": "/a/",
    "Kind": "non_idempotent",
    "TimeoutMs": 4000,
    "TargetLatencyMs": 346,
    "Priority": 2,
    "Service": "s",
    "MaxAttempts": 2,
}
CONFIG = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [
        {
            "Name": "s",
            "HealthPath": "/health",
            "MaxConnections": 26,
            "Protocol": "h1",
            "Tls": False,
            "WarmupS": 3.0,
            # Requests per second that a cold leaf can handle.
            "WarmupPerS": 4.5,
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 1000,
        "MaxBodyBytes": 2000,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 4000,
    },
}
