"""Fleets with stub leaves, for measuring cost against fleet size.

Cost is the CPU time, memory and traffic of the daemons; size is the number of
VMs and leaves. Stub leaves return canned answers from one process, unlike the
stand-ins for leaves, which are a process each; see stub_leaves.py.
"""

from __future__ import annotations

import contextlib
import pathlib
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass

import trio
from sapphire_config.document import (
    Document,
    Leaf,
    LeafShape,
    Limits,
    Region,
    RequestClass,
    Service,
)

from sapphire_bench.fleet import POLL_INTERVAL_S, START_TIMEOUT_S, Fleet
from sapphire_bench.loopback import reserve_network
from sapphire_bench.process import FleetError
from sapphire_bench.spec import FleetSpec
from sapphire_bench.stub_leaves import ShardAssignment, StubLeafServer

SERVICE = "toxdesk"
REQUEST_CLASS = "sweep"
LOCAL_REGION = "near"
REMOTE_REGION = "far"
FAILURE_DOMAINS = ("near-a", "near-b", "near-c")
# First values of the third octet of leaf addresses by region; VMs use lower
# values.
_LOCAL_OCTET = 100
_LEAVES_PER_OCTET = 200
_REMOTE_OCTET = 150


@dataclass(frozen=True)
class FleetSize:
    """Number of VMs and leaves in a fleet.

    All VMs are in the local region. Their aggregators form one cell: a group
    that divides the leaves of the region among its members. An aggregator
    holds the leaves to which it may send requests.

    Attributes:
        members: VMs, and thus members of the cell.
        leaves: Leaves in the local region, one shard each.
        remote_leaves: Leaves of another region, which are listed in the
            document but not held by the cell.
    """

    members: int = 1
    leaves: int = 4
    remote_leaves: int = 0


def leaf_ip(network: str, number: int, octet: int = _LOCAL_OCTET) -> str:
    """Returns the IP address of a leaf.

    Args:
        network: First two octets of the address.
        number: Number of the leaf in its region, from 0.
        octet: First value of the third octet; leaf_number is the inverse of
            this function for the default, the local region.
    """
    block, offset = divmod(number, _LEAVES_PER_OCTET)
    return f"{network}.{octet + block}.{1 + offset}"


def leaf_number(ip: str) -> int:
    """Returns the number of the leaf of the local region at an address."""
    _, _, octet, last = (int(part) for part in ip.split("."))
    return (octet - _LOCAL_OCTET) * _LEAVES_PER_OCTET + last - 1


def build_document(size: FleetSize, network: str, port: int) -> Document:
    """Returns a document with one service that has all leaves.

    Args:
        size: Number of leaves.
        network: First two octets of the leaf addresses.
        port: Port of all leaves.
    """
    local = [
        Leaf(
            address=f"{leaf_ip(network, number)}:{port}",
            failure_domain=FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
        )
        for number in range(size.leaves)
    ]
    remote = [
        Leaf(
            address=f"{leaf_ip(network, number, _REMOTE_OCTET)}:{port}",
            failure_domain=f"{REMOTE_REGION}-a",
        )
        for number in range(size.remote_leaves)
    ]
    request_class = RequestClass(
        name=REQUEST_CLASS,
        priority=0,
        deadline_ms=20_000,
        max_concurrent=10_000,
        canary=False,
    )
    return Document(
        name="slopes",
        regions=[
            Region(name=LOCAL_REGION, failure_domains=list(FAILURE_DOMAINS)),
            Region(name=REMOTE_REGION, failure_domains=[f"{REMOTE_REGION}-a"]),
        ],
        services=[
            Service(
                name=SERVICE,
                leaf=LeafShape(connect_ms=0.0),
                leaves=local + remote,
                classes=[request_class],
            )
        ],
        limits=Limits(max_concurrent=10_000),
    )


def build_spec(members: int) -> FleetSpec:
    """Returns a fleet spec without leaf processes.

    VMs are spread over the failure domains, with the same number in each. The
    total is therefore rounded up; StubLeafFleet leaves out the surplus VMs.
    """
    domains = FAILURE_DOMAINS[: min(members, len(FAILURE_DOMAINS))]
    return FleetSpec(
        name="slopes",
        region=LOCAL_REGION,
        failure_domains=domains,
        vms_per_domain=-(-members // len(domains)),
        services=(),
    )


class StubLeafFleet(Fleet):
    """A fleet in which one StubLeafServer answers for all leaves."""

    def __init__(
        self, size: FleetSize, directory: pathlib.Path, network: str, port: int
    ) -> None:
        super().__init__(
            build_spec(size.members),
            directory,
            network,
            build_document(size, network, port),
        )
        self._vms = self._vms[: size.members]
        self._size = size

    async def wait_leaves_held(self) -> None:
        """Waits until all members have joined and hold all leaves.

        A leaf counts as held once its holder knows the index versions that
        the leaf serves.

        Raises:
            FleetError: A process exited, or not all leaves were held within
                START_TIMEOUT_S.
        """
        with trio.move_on_after(START_TIMEOUT_S):
            while not await self._all_leaves_held():
                self._check_running()
                await trio.sleep(POLL_INTERVAL_S)
            return
        raise FleetError(f"not all leaves are held after {START_TIMEOUT_S} s")

    async def _all_leaves_held(self) -> bool:
        held = 0
        for vm in self._vms:
            try:
                status = await self.call(vm.admin, "GET", "/v1/status")
            except FleetError:
                return False
            if (
                len(status["members"]) != len(self._vms)
                # A majority of the members lets it send to leaves.
                or not status["granted"]
            ):
                return False
            held += sum(
                leaf["held"] and bool(leaf["versions"])
                for leaf in status["leaves"]
            )
        return held == self._size.leaves


@contextlib.asynccontextmanager
async def open_stub_fleet(
    size: FleetSize, *, entries: bool, aggregators: bool = True
) -> AsyncIterator[StubLeafFleet]:
    """Starts a platform and daemons that use stub leaves.

    Args:
        size: Number of VMs and leaves.
        entries: Whether to start an entry on each VM.
        aggregators: Whether to start an aggregator on each VM and wait until
            they hold all leaves.
    """

    def assignment_of(ip: str) -> ShardAssignment:
        return ShardAssignment(leaf_number(ip), size.leaves)

    async with trio.open_nursery() as nursery:
        port = await nursery.start(StubLeafServer(assignment_of).serve)
        with (
            reserve_network() as network,
            tempfile.TemporaryDirectory(prefix="sapphirecross-") as directory,
        ):
            fleet = StubLeafFleet(size, pathlib.Path(directory), network, port)
            try:
                await fleet.start_platform()
                await fleet.apply(fleet.document, expected_revision=0)
                await fleet.store_roster()
                for vm in fleet.vms:
                    if aggregators:
                        await fleet.start_aggregator(vm)
                    if entries:
                        await fleet.start_entry(vm)
                if aggregators:
                    await fleet.wait_leaves_held()
                yield fleet
            finally:
                with trio.CancelScope(shield=True):
                    await fleet.aclose()
        nursery.cancel_scope.cancel()
