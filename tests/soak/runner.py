"""One run of the soak test, with the faults chosen from a seed."""

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
from soak.faults import FAULTS, Environment
from soak.guarantees import UNDISTURBED_S, Observations, find_violations
from soak.leaves import Leaf, Ledger
from soak.operator import SHARDS, SINGLE, Operator
from soak.processes import Gateway, killed_on_exit
from soak.proxy import Proxy
from soak.store import Store

DOMAINS = ("za", "zb", "zc")
# Cores of the VMs in each failure domain. The third VM is too small to serve
# and follows the others in place of the store.
CORES = (2.0, 2.0, 0.5)
CALLERS = 12
FAULT_GAP_S = (0.1, 1.2)
START_S = 20.0
# Time without faults at the end of a run. Covers the return of contact, new
# look-ups by the callers, and some requests.
FAULT_FREE_S = UNDISTURBED_S + 5.0
RECOVERY_S = 6.0
# A timer of the test process that fires this late counts as a stall of the
# machine.
STALL_THRESHOLD_S = 0.25
STALL_CHECK_INTERVAL_S = 0.05
STORE_PORT = 9000
LEAF_PORT = 9100
PROXY_PORT_OFFSET = 1000


@dataclass
class Result:
    """Results of a run.

    Attributes:
        seed: The run's seed.
        faults: Start time and kind of each fault.
        violations: A description of each violated guarantee.
        requests: Number of requests sent.
        served: Number of requests answered with status 200.
        stalls: Number of stalls of the machine.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    stalls: int = 0


async def run_in_folder(
    seed: int, length_s: float, folder: pathlib.Path
) -> Result:
    """Runs a seed and checks the guarantees.

    Args:
        seed: Determines everything except the timing of the machine.
        length_s: Time during which faults are started, in seconds.
        folder: Folder for settings and logs.
    """
    result = Result(seed)
    async with _environment(seed, folder) as (environment, nursery):
        nursery.start_soon(_watch_stalls, environment, result)
        await _wait_until_ready(environment, nursery)
        for _ in range(CALLERS):
            caller = Caller(
                environment.gateways,
                environment.operator,
                environment.observations.attempts,
                nursery,
                Random(environment.rng.random()),
            )
            nursery.start_soon(caller.run)
        began = trio.current_time()
        async with trio.open_nursery() as faults:
            while (at := trio.current_time() - began) < length_s:
                kind = environment.rng.choice(list(FAULTS))
                result.faults.append(f"{at:.1f} {kind}")
                faults.start_soon(FAULTS[kind], environment)
                await trio.sleep(environment.rng.uniform(*FAULT_GAP_S))
        environment.observations.recovery_due_at = (
            trio.current_time() + RECOVERY_S
        )
        await trio.sleep(FAULT_FREE_S)
        result.violations = find_violations(environment.observations)
        result.requests = len(environment.observations.attempts)
        result.served = sum(
            a.reply is not None and a.reply.status == 200
            for a in environment.observations.attempts
        )
        nursery.cancel_scope.cancel()
    return result


async def _watch_stalls(environment: Environment, result: Result) -> None:
    """Records each stall of the machine as a disturbance of all gateways."""
    while True:
        due = trio.current_time() + STALL_CHECK_INTERVAL_S
        await trio.sleep_until(due)
        late_s = trio.current_time() - due
        if late_s > STALL_THRESHOLD_S:
            result.stalls += 1
            for gateway in environment.gateways:
                gateway.disturbances.append((due, due + late_s))


async def _wait_until_ready(
    environment: Environment, nursery: trio.Nursery
) -> None:
    with trio.fail_after(START_S):
        for gateway in environment.gateways:
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
async def _environment(
    seed: int, folder: pathlib.Path
) -> AsyncIterator[tuple[Environment, trio.Nursery]]:
    rng = Random(seed)
    net = f"127.{100 + seed % 100}.{rng.randrange(1, 250)}"
    store = Store()
    operator = Operator(store)
    operator.change()
    gateways = _gateways(net, folder)
    async with trio.open_nursery() as nursery:
        observations = Observations(Ledger(), operator)
        environment = Environment(
            gateways, [], store, {}, {}, operator, observations, rng
        )
        nursery.start_soon(store.run)
        await _serve(nursery, store.answer, f"{net}.1:{STORE_PORT}")
        for number, gateway in enumerate(gateways):
            address = f"{net}.1:{STORE_PORT + 1 + number}"
            link = Proxy(address, f"{net}.1:{STORE_PORT}")
            await nursery.start(link.run)
            environment.store_proxies[gateway.name] = link
            cores = CORES[number % len(CORES)]
            gateway.write_settings(address, cores)
        await _start_leaves(environment, net, nursery)
        with killed_on_exit(gateways):
            for gateway in gateways:
                gateway.start()
            yield environment, nursery


async def _start_leaves(
    environment: Environment, net: str, nursery: trio.Nursery
) -> None:
    for index, service in enumerate((*SHARDS, SINGLE)):
        for replica in range(2):
            domain = DOMAINS[(index + replica) % len(DOMAINS)]
            port = LEAF_PORT + 10 * index + replica
            address = f"{net}.2:{port + PROXY_PORT_OFFSET}"
            leaf = Leaf(
                service,
                replica,
                domain,
                address,
                environment.store,
                environment.observations.ledger,
                Random(environment.rng.random()),
            )
            environment.observations.leaf_failure_domains[leaf.leaf_id] = domain
            await _serve(nursery, leaf.answer, f"{net}.2:{port}")
            link = Proxy(address, f"{net}.2:{port}")
            await nursery.start(link.run)
            environment.leaf_proxies[address] = link
            environment.leaves.append(leaf)


def _gateways(net: str, folder: pathlib.Path) -> list[Gateway]:
    return [
        Gateway(f"{domain}{number}", f"{net}.{10 * index + number + 10}",
                domain, folder)
        for index, domain in enumerate(DOMAINS)
        for number in range(len(CORES))
    ]  # fmt: skip


async def _serve(nursery: trio.Nursery, handler: Handler, address: str) -> None:
    server = CallerServer(
        handler, ClientLimits, lambda: False, lambda _request, _now: None
    )
    await nursery.start(server.serve, address)


def run_seed(seed: int, length_s: float, keep: str | None = None) -> Result:
    """Runs a seed; keeps settings and logs only if a folder is given."""
    if keep is not None:
        folder = pathlib.Path(keep) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(run_in_folder, seed, length_s, folder)
    with tempfile.TemporaryDirectory() as name:
        return trio.run(run_in_folder, seed, length_s, pathlib.Path(name))
