"""Simulated operator: writes configurations and evacuates failure domains.

Its writes go directly to the store, with the keys and values that the gateways
decode in `platform/adapter/decode.py`.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from soak.store import Store

HOST = "soak.example"
EVACUATION_PREFIX = "op/evacuate/"
# Services that hold one shard each; a search goes to all of them.
SHARDS = ("s0", "s1", "s2", "s3", "s4", "s5")
# Service of all other routes.
UNSHARDED_SERVICE = "single"
# Share of the shards that the answer to a search must include.
MIN_SHARD_SHARE = 0.5
# Records in such an answer, fewer than one leaf returns.
TOP_K = 5
# Target and timeout of each route; callers allow more time than both.
TARGET_LATENCY_MS = 300
TIMEOUT_MS = 1500


@dataclass(frozen=True)
class SoakRoute:
    """A route that callers request.

    Attributes:
        prefix: Prefix of the paths that belong to the route.
        method: Method of its requests.
        services: Services that a request is sent to: all shards for a search,
            one service for other routes.
        kind: Whether leaves may execute a request more than once: "idempotent"
            or "non_idempotent".
    """

    prefix: str
    method: str
    services: tuple[str, ...]
    kind: str

    def encode(self) -> dict[str, object]:
        """Returns the route as the configuration contains it."""
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
    """Writes configurations and evacuations to the store."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self.version = 0
        # Time after the write of each version, from which gateways have to
        # adopt it.
        self.acknowledged_at: dict[int, float] = {}
        # For each version, the route that no other version has.
        self.version_routes: dict[int, SoakRoute] = {}
        self._evacuated: set[str] = set()

    def change_configuration(self) -> None:
        """Writes the next version, with a route that no other version has."""
        self.version += 1
        prefix = f"/v{self.version}/"
        route = SoakRoute(prefix, "GET", (UNSHARDED_SERVICE,), "idempotent")
        self.version_routes[self.version] = route
        self.rewrite_configuration()
        self.acknowledged_at[self.version] = trio.current_time()

    def rewrite_configuration(self) -> None:
        """Writes the present version once more, as after a loss."""
        route = self.version_routes[self.version]
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

    def write_again(self) -> None:
        """Writes what is in force, as after a loss; ends what is not."""
        self.rewrite_configuration()
        for key in self._store.keys(EVACUATION_PREFIX):
            if key.removeprefix(EVACUATION_PREFIX) not in self._evacuated:
                self._store.remove(key)
        for domain in self._evacuated:
            self._store.write(EVACUATION_PREFIX + domain, {})

    def evacuate(self, domain: str) -> bool:
        """Takes a failure domain out of service.

        Returns False, and changes nothing, if the domain is evacuated already:
        the end of one evacuation would also end the other.
        """
        if domain in self._evacuated:
            return False
        self._evacuated.add(domain)
        self._store.write(EVACUATION_PREFIX + domain, {})
        return True

    def end_evacuation(self, domain: str) -> None:
        """Puts a failure domain back into service."""
        self._evacuated.discard(domain)
        self._store.remove(EVACUATION_PREFIX + domain)

    def routes_to_request(self) -> list[SoakRoute]:
        """Returns the routes that callers choose from with equal probability.

        They include the route that only the previous version has, so that the
        checks can find gateways that still serve it.
        """
        # Three entries make searches three times as frequent as other requests.
        routes = [SEARCH, SEARCH, SEARCH, FETCH, SUBMIT]
        routes.append(self.version_routes[self.version])
        if self.version > 1:
            routes.append(self.version_routes[self.version - 1])
        return routes
