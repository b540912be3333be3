"""Specifications of deployments, scaled down to one machine.

Each VM and leaf has its own loopback address, so all VMs use the same ports.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from sapphire_config.document import (
    Document,
    Leaf,
    LeafShape,
    Limits,
    Region,
    RequestClass,
    Service,
)

# Ports of a VM: HTTP endpoints of the entry and the baseline, the frame
# protocol of the aggregator, its metrics and status, and the frame protocol of
# the entry.
HTTP_PORT = 8080
BASELINE_PORT = 8090
FRAMES_PORT = 7000
ADMIN_PORT = 7001
ENTRY_FRAMES_PORT = 7002
# Ports of the stand-ins; CONTROL_PORT takes settings and faults.
LEAF_PORT = 9000
CONTROL_PORT = 9200
PLATFORM_PORT = 9100
VM_LIST_PORT = 9101

DEFAULT_CLASSES = (
    RequestClass(name="typing", priority=0, deadline_ms=1000, max_k=20),
    RequestClass(name="sweep", priority=2, deadline_ms=2000, max_k=100),
)


@dataclass(frozen=True)
class ServiceSpec:
    """A service: its shards, replicas and leaves.

    Attributes:
        name: Name of the service.
        shards: Number of shards.
        replicas: Number of leaves per shard.
        slots: Concurrent calls that a leaf handles.
        connections: Largest number of open connections of a leaf.
        connect_ms: Time to open a connection to a leaf.
        service_ms: Service time of one query on a leaf.
        accepts_submissions: Whether the service accepts submissions.
        classes: Request classes of the service.
    """

    name: str
    shards: int
    replicas: int
    slots: int = 2
    connections: int = 25
    connect_ms: float = 6.0
    service_ms: float = 5.0
    accepts_submissions: bool = False
    classes: tuple[RequestClass, ...] = DEFAULT_CLASSES


@dataclass(frozen=True)
class LeafSpec:
    """A leaf of the fleet: its address, failure domain and shard."""

    name: str
    service: ServiceSpec
    address: str
    failure_domain: str
    shard: int


@dataclass(frozen=True)
class Vm:
    """A VM of the query tier, with an entry and an aggregator.

    The load tool also runs a baseline process on it.
    """

    name: str
    ip: str
    failure_domain: str

    @property
    def entry(self) -> str:
        """HTTP address of the entry."""
        return f"{self.ip}:{HTTP_PORT}"

    @property
    def baseline(self) -> str:
        """HTTP address of the baseline process."""
        return f"{self.ip}:{BASELINE_PORT}"

    @property
    def aggregator(self) -> str:
        """Address of the aggregator in the frame protocol between daemons."""
        return f"{self.ip}:{FRAMES_PORT}"

    @property
    def admin(self) -> str:
        """HTTP address of the aggregator's metrics and status."""
        return f"{self.ip}:{ADMIN_PORT}"


@dataclass(frozen=True)
class FleetSpec:
    """Services and VMs of a fleet on one machine.

    Attributes:
        name: Name of the deployment.
        region: Region of all VMs and leaves.
        failure_domains: Failure domains of the region.
        vms_per_domain: Number of VMs in each failure domain.
        services: Services of the deployment.
        limits: Limits of the daemons.
    """

    name: str
    region: str
    failure_domains: tuple[str, ...]
    vms_per_domain: int
    services: tuple[ServiceSpec, ...]
    limits: Limits = field(default_factory=Limits)

    def vms(self, network: str) -> list[Vm]:
        """Returns the VMs.

        Args:
            network: First two octets of the IP addresses.
        """
        return [
            Vm(f"vm{d}{i}", f"{network}.{d + 1}.{i + 1}", domain)
            for d, domain in enumerate(self.failure_domains)
            for i in range(self.vms_per_domain)
        ]

    def leaves(self, network: str) -> list[LeafSpec]:
        """Returns the leaves.

        Replicas of a shard are in different failure domains, unless there are
        more replicas than failure domains.

        Args:
            network: First two octets of the IP addresses.
        """
        leaves = []
        number = 0
        for service in self.services:
            for shard in range(service.shards):
                for replica in range(service.replicas):
                    index = (shard + replica) % len(self.failure_domains)
                    number += 1
                    ip = f"{network}.{100 + index}.{number}"
                    leaves.append(
                        LeafSpec(
                            f"{service.name}-{shard}-{replica}",
                            service,
                            f"{ip}:{LEAF_PORT}",
                            self.failure_domains[index],
                            shard,
                        )
                    )
        return leaves

    def document(self, network: str) -> Document:
        """Returns the deployment document of the fleet.

        Args:
            network: First two octets of the IP addresses.
        """
        leaves = self.leaves(network)
        services = [
            Service(
                name=service.name,
                accepts_submissions=service.accepts_submissions,
                leaf=LeafShape(
                    slots=service.slots,
                    connections=service.connections,
                    connect_ms=service.connect_ms,
                ),
                leaves=[
                    Leaf(
                        address=leaf.address,
                        failure_domain=leaf.failure_domain,
                    )
                    for leaf in leaves
                    if leaf.service is service
                ],
                classes=list(service.classes),
            )
            for service in self.services
        ]
        region = Region(
            name=self.region, failure_domains=list(self.failure_domains)
        )
        return Document(
            name=self.name,
            regions=[region],
            services=services,
            limits=self.limits,
        )


DEMO = FleetSpec(
    name="demo",
    region="pk-north",
    failure_domains=("pk-north-a", "pk-north-b", "pk-north-c"),
    vms_per_domain=1,
    services=(
        ServiceSpec("toxdesk", shards=4, replicas=2),
        ServiceSpec(
            "registre-depots", shards=1, replicas=2, accepts_submissions=True
        ),
    ),
)
