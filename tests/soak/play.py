"""One run of the soak: a seed decides faults, times and places."""

from __future__ import annotations

import contextlib
import pathlib
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from random import Random

import trio
from sapphire_core.routing import ClientLimits
from sapphire_gateway.callers import CallerServer, Handler
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.store import StoreUnavailableError

from soak.callers import Caller
from soak.faults import KINDS, World
from soak.leaves import Leaf, Ledger
from soak.operator import SHARDS, SINGLE, Operator
from soak.processes import Gateway, ended
from soak.promises import CONTACT_S, Evidence, broken
from soak.proxy import Proxy
from soak.store import Store

DOMAINS = ("za", "zb", "zc")
# VMs by failure domain: two strong ones, and one that is fed by them.
CORES = (2.0, 2.0, 0.5)
CALLERS = 12
FAULT_GAP_S = (0.1, 1.2)
START_S = 20.0
# Calm time at the end: contact, the callers' addresses, and some requests.
CALM_S = CONTACT_S + 5.0
RECOVER_S = 6.0
# The driver notes a stall of the machine when it wakes this much too late.
STALL_S = 0.25
TICK_S = 0.05
STORE_PORT = 9000
LEAF_PORT = 9100
LINK_PORTS = 1000


@dataclass
class Result:
    """What a run showed.

    Attributes:
        seed: The run's seed.
        faults: Kind of each fault and when it began.
        broken: A line for each broken promise.
        requests: Requests that were sent.
        served: Requests that were answered with success.
        stalls: Times at which the machine stood still.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    stalls: int = 0


async def play(seed: int, length_s: float, folder: pathlib.Path) -> Result:
    """Plays a run and checks the promises.

    Args:
        seed: Decides everything but the timing of the machine.
        length_s: Time in which faults begin, in seconds.
        folder: Gets settings and logs.
    """
    result = Result(seed)
    async with _world(seed, folder) as (world, nursery):
        nursery.start_soon(_watch_stalls, world, result)
        await _ready(world, nursery)
        for _ in range(CALLERS):
            caller = Caller(
                world.gateways,
                world.operator,
                world.evidence.attempts,
                nursery,
                Random(world.rng.random()),
            )
            nursery.start_soon(caller.run)
        began = trio.current_time()
        async with trio.open_nursery() as faults:
            while (at := trio.current_time() - began) < length_s:
                kind = world.rng.choice(list(KINDS))
                result.faults.append(f"{at:.1f} {kind}")
                faults.start_soon(KINDS[kind], world)
                await trio.sleep(world.rng.uniform(*FAULT_GAP_S))
        world.evidence.calm_from = trio.current_time() + RECOVER_S
        await trio.sleep(CALM_S)
        result.broken = broken(world.evidence)
        result.requests = len(world.evidence.attempts)
        result.served = sum(
            a.reply is not None and a.reply.status == 200
            for a in world.evidence.attempts
        )
        nursery.cancel_scope.cancel()
    return result


async def _watch_stalls(world: World, result: Result) -> None:
    """Counts a stall of the machine as a disturbance of every process."""
    while True:
        due = trio.current_time() + TICK_S
        await trio.sleep_until(due)
        late_s = trio.current_time() - due
        if late_s > STALL_S:
            result.stalls += 1
            for gateway in world.gateways:
                gateway.disturbances.append((due, due + late_s))


async def _ready(world: World, nursery: trio.Nursery) -> None:
    with trio.fail_after(START_S):
        for gateway in world.gateways:
            client = HttpClient(gateway.ready_address)
            client.start(nursery)
            while True:
                with contextlib.suppress(StoreUnavailableError):
                    if (
                        await client.request("GET", "/ready", 1.0)
                    ).status == 200:
                        break
                await trio.sleep(0.1)


@contextlib.asynccontextmanager
async def _world(
    seed: int, folder: pathlib.Path
) -> AsyncIterator[tuple[World, trio.Nursery]]:
    rng = Random(seed)
    net = f"127.{100 + seed % 100}.{rng.randrange(1, 250)}"
    store = Store()
    operator = Operator(store)
    operator.change()
    gateways = _gateways(net, folder)
    async with trio.open_nursery() as nursery:
        evidence = Evidence(Ledger(), operator)
        world = World(gateways, [], store, {}, {}, operator, evidence, rng)
        nursery.start_soon(store.run)
        await _serve(nursery, store.answer, f"{net}.1:{STORE_PORT}")
        for number, gateway in enumerate(gateways):
            address = f"{net}.1:{STORE_PORT + 1 + number}"
            link = Proxy(address, f"{net}.1:{STORE_PORT}")
            await nursery.start(link.run)
            world.store_links[gateway.name] = link
            cores = CORES[number % len(CORES)]
            gateway.write_settings(address, cores)
        await _start_leaves(world, net, nursery)
        with ended(gateways):
            for gateway in gateways:
                gateway.start()
            yield world, nursery


async def _start_leaves(world: World, net: str, nursery: trio.Nursery) -> None:
    for index, service in enumerate((*SHARDS, SINGLE)):
        for copy in range(2):
            domain = DOMAINS[(index + copy) % len(DOMAINS)]
            port = LEAF_PORT + 10 * index + copy
            address = f"{net}.2:{port + LINK_PORTS}"
            leaf = Leaf(
                service,
                copy,
                domain,
                address,
                world.store,
                world.evidence.ledger,
                Random(world.rng.random()),
            )
            world.evidence.domains[leaf.leaf_id] = domain
            await _serve(nursery, leaf.answer, f"{net}.2:{port}")
            link = Proxy(address, f"{net}.2:{port}")
            await nursery.start(link.run)
            world.leaf_links[address] = link
            world.leaves.append(leaf)


def _gateways(net: str, folder: pathlib.Path) -> list[Gateway]:
    return [
        Gateway(f"{domain}{number}", f"{net}.{10 * place + number + 10}",
                domain, folder)
        for place, domain in enumerate(DOMAINS)
        for number in range(len(CORES))
    ]  # fmt: skip


async def _serve(nursery: trio.Nursery, handler: Handler, address: str) -> None:
    server = CallerServer(
        handler, ClientLimits, lambda: False, lambda _request, _now: None
    )
    await nursery.start(server.serve, address)


def play_in_folder(
    seed: int, length_s: float, keep: str | None = None
) -> Result:
    """Plays a run; settings and logs go to a folder that is kept if named."""
    if keep is not None:
        folder = pathlib.Path(keep) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(play, seed, length_s, folder)
    with tempfile.TemporaryDirectory() as name:
        return trio.run(play, seed, length_s, pathlib.Path(name))
