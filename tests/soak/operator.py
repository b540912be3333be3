"""An operator that changes the configuration and evacuates domains."""

from __future__ import annotations

from dataclasses import dataclass

import trio

from soak.store import Store

HOST = "soak.example"
SHARDS = ("s0", "s1", "s2", "s3", "s4", "s5")
UNSHARDED_SERVICE = "single"
MIN_SHARD_SHARE = 0.5
TOP_K = 5
TARGET_LATENCY_MS = 300
TIMEOUT_MS = 1500


@dataclass(frozen=True)
class SoakRoute:
    """A route that callers request."""

    prefix: str
    method: str
    services: tuple[str, ...]
    kind: str

    def encode(self) -> dict[str, object]:
        """Returns the route's fields in the configuration."""
        fields: dict[str, object] = {
            "Name": self.prefix.strip("/"),
            "Host": HOST,
            "Prefix": self.prefix,
            "Kind": self.kind,
            "TimeoutMs": TIMEOUT_MS,
            "TargetLatencyMs": TARGET_LATENCY_MS,
            "MaxAttempts": 2,
            "Priority": 1,
        }
        if len(self.services) > 1:
            gather = {"TopK": TOP_K, "MinShardShare": MIN_SHARD_SHARE}
            return {**fields, "Gather": list(self.services), **gather}
        return {**fields, "Service": self.services[0]}


SEARCH = SoakRoute("/search/", "GET", SHARDS, "idempotent")
FETCH = SoakRoute("/fetch/", "GET", (UNSHARDED_SERVICE,), "idempotent")
SUBMIT = SoakRoute("/submit/", "POST", (UNSHARDED_SERVICE,), "non_idempotent")
PERMANENT_ROUTES = (SEARCH, FETCH, SUBMIT)


class Operator:
    """Changes the configuration and records when changes were acknowledged."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.version = 0
        self.acknowledged_at: dict[int, float] = {}
        self.version_routes: dict[int, SoakRoute] = {}
        self._evacuated: set[str] = set()

    def change_configuration(self) -> None:
        """Writes a new version with a route that only this version has."""
        self.version += 1
        prefix = f"/v{self.version}/"
        route = SoakRoute(prefix, "GET", (UNSHARDED_SERVICE,), "idempotent")
        self.version_routes[self.version] = route
        routes = (*PERMANENT_ROUTES, route)
        services = (*SHARDS, UNSHARDED_SERVICE)
        self._store.write(
            "op/config",
            {
                "Version": self.version,
                "Routes": [r.encode() for r in routes],
                "Services": [
                    {"Name": name, "MaxConnections": 60} for name in services
                ],
                "Limits": {"IdleTimeoutMs": 20_000},
            },
        )
        self.acknowledged_at[self.version] = trio.current_time()

    def evacuate(self, domain: str) -> bool:
        """Takes a failure domain out of service; False if it already is."""
        if domain in self._evacuated:
            return False
        self._evacuated.add(domain)
        self._store.write(f"op/evacuate/{domain}", {})
        return True

    def end_evacuation(self, domain: str) -> None:
        """Puts a failure domain back into service."""
        self._evacuated.discard(domain)
        self._store.remove(f"op/evacuate/{domain}")

    def routes_to_request(self) -> list[SoakRoute]:
        """Returns the routes to choose from; searches are weighted threefold.

        The previous version's own route is included, so that a gateway that
        still serves it is noticed.
        """
        routes = [SEARCH, SEARCH, SEARCH, FETCH, SUBMIT]
        routes.append(self.version_routes[self.version])
        if self.version > 1:
            routes.append(self.version_routes[self.version - 1])
        return routes
