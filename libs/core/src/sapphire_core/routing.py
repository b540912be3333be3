"""Request routing by host and longest path prefix, and its configuration."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field


class Kind(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A backend service, as operators configure it.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one leaf accepts from all VMs.
        cold_rate: Requests per second that a cold leaf can handle, or 0 if
            not configured.
    """

    name: str
    max_connections: int
    cold_rate: float


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its relative weight in a route's traffic split."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Gather:
    """A search over many shards; each shard is a service.

    Attributes:
        shards: Services that hold one part each.
        top: Maximum number of records in the answer.
        min_share: Minimum share of the parts that an answer needs.
    """

    shards: tuple[str, ...]
    top: int
    min_share: float


@dataclass(frozen=True, slots=True)
class Route:
    """How to handle the requests of one host under one path prefix.

    Attributes:
        timeout_s: Maximum time that a request may wait for its answer.
        target_s: Latency objective; later answers count as late.
        max_attempts: Maximum number of leaves of one service that may receive
            the same request.
        priority: Priority under overload; 0 is the highest.
        shares: Services that requests are distributed over.
        gather: Set if the request goes to many shards; shares is then empty.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    timeout_s: float
    target_s: float
    max_attempts: int
    priority: int
    shares: tuple[WeightedService, ...] = ()
    gather: Gather | None = None

    @property
    def services(self) -> tuple[str, ...]:
        """Every service that a request on this route may run on."""
        if self.gather is not None:
            return self.gather.shards
        return tuple(share.service for share in self.shares)


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Size and time limits of a caller's connection.

    Attributes:
        header_bytes: Maximum size of a request head.
        body_bytes: Maximum size of a request body.
        header_timeout_s: Time within which a request head must arrive.
        idle_timeout_s: Time after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 1_048_576
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """A complete version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ClientLimits = field(default_factory=ClientLimits)

    def gather_services(self) -> set[str]:
        """Returns the services that hold shards."""
        return {
            shard
            for route in self.routes
            if route.gather is not None
            for shard in route.gather.shards
        }


class RouteTable:
    """Matches requests to routes."""

    def __init__(self, routes: Iterable[Route]) -> None:
        self._hosts: dict[str, list[Route]] = {}
        for route in routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for listed in self._hosts.values():
            listed.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, or None.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Request target; the query string is ignored.
        """
        path = path.partition("?")[0]
        for route in self._hosts.get(_bare_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _bare_host(host: str) -> str:
    name, colon, port = host.strip().rpartition(":")
    if colon and port.isdigit():
        host = name
    return host.strip().lower()


class SplitChooser:
    """Distributes the requests of split routes by weight.

    Smooth weighted round robin keeps the number of requests of each service
    close to its share, with two services to within one request. Random choice
    could deviate from the weights by more.
    """

    def __init__(self) -> None:
        self._credit: dict[
            tuple[str, tuple[WeightedService, ...]], list[float]
        ] = {}

    def choose(self, route: Route) -> str:
        """Returns the service of the next request on the route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        key = (route.name, route.shares)
        credit = self._credit.setdefault(key, [0.0] * len(route.shares))
        for index, share in enumerate(route.shares):
            credit[index] += share.weight
        chosen = max(range(len(credit)), key=credit.__getitem__)
        credit[chosen] -= sum(share.weight for share in route.shares)
        return route.shares[chosen].service

    def forget_unused(self, routes: Iterable[Route]) -> None:
        """Removes the state of splits that no route uses any more."""
        used = {(route.name, route.shares) for route in routes}
        self._credit = {k: v for k, v in self._credit.items() if k in used}
