"""Fleets with light leaves, for the measurement of slopes."""

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

from sapphire_bench.fleet import POLL_S, START_TIMEOUT_S, Fleet
from sapphire_bench.light import Held, LightLeaves
from sapphire_bench.loopback import reserve_network
from sapphire_bench.process import FleetError
from sapphire_bench.spec import FleetSpec

SERVICE = "toxdesk"
REQUEST_CLASS = "sweep"
NEAR = "near"
FAR = "far"
DOMAINS = ("near-a", "near-b", "near-c")
# Third bytes of the IP addresses of leaves; VMs use the low ones.
_FIRST_BLOCK = 100
_BLOCK = 200
_FAR_BLOCK = 150


@dataclass(frozen=True)
class Size:
    """The size of a harness.

    Attributes:
        members: VMs, with one aggregator each.
        leaves: Leaves in the region of the cell; each holds its own shard.
        far_leaves: Leaves of another region, listed and not held.
    """

    members: int = 1
    leaves: int = 4
    far_leaves: int = 0


def leaf_ip(network: str, number: int, block: int = _FIRST_BLOCK) -> str:
    """Returns the IP address of a leaf."""
    return f"{network}.{block + number // _BLOCK}.{1 + number % _BLOCK}"


def leaf_number(ip: str) -> int:
    """Returns the number of the leaf at an IP address."""
    _, _, block, last = (int(part) for part in ip.split("."))
    return (block - _FIRST_BLOCK) * _BLOCK + last - 1


def document(size: Size, network: str, port: int) -> Document:
    """Returns a document with one service over all leaves."""
    near = [
        Leaf(
            address=f"{leaf_ip(network, number)}:{port}",
            failure_domain=DOMAINS[number % len(DOMAINS)],
        )
        for number in range(size.leaves)
    ]
    far = [
        Leaf(
            address=f"{leaf_ip(network, number, _FAR_BLOCK)}:{port}",
            failure_domain=f"{FAR}-a",
        )
        for number in range(size.far_leaves)
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
            Region(name=NEAR, failure_domains=list(DOMAINS)),
            Region(name=FAR, failure_domains=[f"{FAR}-a"]),
        ],
        services=[
            Service(
                name=SERVICE,
                leaf=LeafShape(connect_ms=0.0),
                leaves=near + far,
                classes=[request_class],
            )
        ],
        limits=Limits(max_concurrent=10_000),
    )


def shape(members: int) -> FleetSpec:
    """Returns a fleet without leaves of its own, spread over the domains."""
    domains = DOMAINS[: min(members, len(DOMAINS))]
    return FleetSpec(
        name="slopes",
        region=NEAR,
        failure_domains=domains,
        vms_per_domain=-(-members // len(domains)),
        services=(),
    )


class LightFleet(Fleet):
    """A fleet whose leaves are light."""

    def __init__(
        self, size: Size, directory: pathlib.Path, network: str, port: int
    ) -> None:
        super().__init__(
            shape(size.members),
            directory,
            network,
            document(size, network, port),
        )
        self._vms = self._vms[: size.members]
        self._size = size

    async def wait_held(self) -> None:
        """Waits until the cell is whole and each leaf's index was read.

        Raises:
            FleetError: That takes more than 30 s.
        """
        with trio.move_on_after(START_TIMEOUT_S):
            while not await self._is_held():
                self._check_running()
                await trio.sleep(POLL_S)
            return
        raise FleetError("not all leaves are held")

    async def _is_held(self) -> bool:
        held = 0
        for vm in self._vms:
            try:
                cell = await self.call(vm.admin, "GET", "/v1/status")
            except FleetError:
                return False
            if len(cell["members"]) != len(self._vms) or not cell["granted"]:
                return False
            held += sum(
                leaf["held"] and bool(leaf["versions"])
                for leaf in cell["leaves"]
            )
        return held == self._size.leaves


@contextlib.asynccontextmanager
async def open_light(
    size: Size, *, entries: bool, aggregators: bool = True
) -> AsyncIterator[LightFleet]:
    """Starts a platform and daemons over light leaves.

    Args:
        size: The size.
        entries: Whether an entry starts on each VM.
        aggregators: Whether an aggregator starts on each VM; the fleet is
            given when they hold all leaves.
    """

    def held(ip: str) -> Held:
        return Held(leaf_number(ip), size.leaves)

    async with trio.open_nursery() as nursery:
        port = await nursery.start(LightLeaves(held).serve)
        with (
            reserve_network() as network,
            tempfile.TemporaryDirectory(prefix="sapphirecross-") as directory,
        ):
            fleet = LightFleet(size, pathlib.Path(directory), network, port)
            try:
                await fleet.start_platform()
                await fleet.apply(fleet.document, expect=0)
                await fleet.store_roster()
                for vm in fleet.vms:
                    if aggregators:
                        await fleet.start_aggregator(vm)
                    if entries:
                        await fleet.start_entry(vm)
                if aggregators:
                    await fleet.wait_held()
                yield fleet
            finally:
                with trio.CancelScope(shield=True):
                    await fleet.aclose()
        nursery.cancel_scope.cancel()
