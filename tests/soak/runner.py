"""One run of the soak test, with the faults chosen from a seed."""

from __future__ import annotations

import contextlib
import functools
import pathlib
import tempfile
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from random import Random

import trio
from sapphire_bench.loopback import reserve_network
from sapphire_core.routing import ClientLimits
from sapphire_gateway.callers import CallerServer, Handler
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.store import StoreUnavailableError

from soak.callers import SimulatedCaller
from soak.faults import FAULTS, NAMED_FAULTS, Environment, crash_leaf
from soak.guarantees import UNDISTURBED_S, Observations, find_violations
from soak.leaves import Leaf, Ledger
from soak.operator import SHARDS, UNSHARDED_SERVICE, Operator
from soak.processes import (
    DEFAULT_MEMORY_MB,
    MAX_DESCRIPTORS,
    Gateway,
    killed_on_exit,
)
from soak.proxy import Proxy
from soak.store import Store

FAILURE_DOMAINS = ("za", "zb", "zc")
# Processor capacity of each VM of a failure domain, in standard cores: relative
# to a core that has the speed 1.0 in the gateways' settings. Each VM runs one
# gateway. The third VM is too weak to serve callers: its gateway gets the
# changes of the store from the gateway of a VM that serves callers.
CORES_OF_VMS = (2.0, 2.0, 0.5)
CALLER_COUNT = 12
# Shortest and longest time between the starts of two faults. It may be shorter
# than a fault, so faults overlap.
FAULT_INTERVAL_RANGE_S = (0.1, 1.2)
# Time within which all gateways have to report that they are ready.
READY_TIMEOUT_S = 20.0
# Time without faults at the end of a run. It is long enough for gateways to
# reconnect to the store, for callers to look up addresses again, and for some
# requests while the gateways count as undisturbed.
FAULT_FREE_S = UNDISTURBED_S + 5.0
# Time for gateways and callers to recover after the end of the last fault. The
# recovery check covers only requests that start later, in the rest of
# FAULT_FREE_S; the other checks do not leave this time out.
RECOVERY_S = 6.0
# If a timer of the test process fires this late, the machine is overloaded and
# may have delayed the gateways, too.
SCHEDULING_DELAY_THRESHOLD_S = 0.25
SCHEDULING_CHECK_INTERVAL_S = 0.05
# The gateways' proxies of the store have the ports after this one.
STORE_PORT = 9000
LEAVES_PER_SERVICE = 2
# Port of the first leaf of the first service.
FIRST_LEAF_PORT = 9100
PORTS_PER_SERVICE = 20
# Characters of the log line of an unexpected error that are shown.
MAX_FAILURE_LINE = 600
# Distance of the port of a leaf's proxy from that of the leaf.
PROXY_PORT_OFFSET = 1000


@dataclass
class Result:
    """Results of a run.

    Attributes:
        seed: The run's seed.
        faults: Each injected fault as its start time and name, such as
            "3.2 kill"; the time is in seconds since the callers were started.
        violations: A description of each violation of a guarantee.
        requests: Number of requests that have ended, with or without a reply.
        served: Number of requests with a reply of status 200.
        scheduling_delays: Number of scheduling delays of the test process.
    """

    seed: int
    faults: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)
    requests: int = 0
    served: int = 0
    scheduling_delays: int = 0


async def run_in_folder(
    seed: int,
    fault_phase_s: float,
    folder: pathlib.Path,
    fault_names: Sequence[str] = tuple(FAULTS),
    unsharded_leaves: int = LEAVES_PER_SERVICE,
) -> Result:
    """Injects the faults of a seed and checks the guarantees.

    Args:
        seed: Seed of the random choices. The timing of a run differs each time,
            so the choices are not exactly reproducible.
        fault_phase_s: Time during which faults are started, in seconds. The
            last faults may end later, and FAULT_FREE_S follows.
        folder: Folder for settings and logs.
        fault_names: Faults to choose from, in NAMED_FAULTS.
        unsharded_leaves: Number of leaves of UNSHARDED_SERVICE.
    """
    result = Result(seed)
    async with running_environment(seed, folder, unsharded_leaves) as (
        environment,
        nursery,
    ):
        nursery.start_soon(_watch_scheduling_delays, environment, result)
        await wait_until_ready(environment, nursery)
        for _ in range(CALLER_COUNT):
            caller = SimulatedCaller(
                environment.gateways,
                environment.operator,
                environment.observations.attempts,
                nursery,
                Random(environment.rng.random()),
            )
            nursery.start_soon(caller.run)
        phase_started_at = trio.current_time()
        async with trio.open_nursery() as fault_nursery:
            while (
                elapsed_s := trio.current_time() - phase_started_at
            ) < fault_phase_s:
                fault_name = environment.rng.choice(fault_names)
                result.faults.append(f"{elapsed_s:.1f} {fault_name}")
                fault = NAMED_FAULTS[fault_name]
                fault_nursery.start_soon(fault, environment)
                await trio.sleep(
                    environment.rng.uniform(*FAULT_INTERVAL_RANGE_S)
                )
        # All faults have ended when the nursery's block is left.
        environment.observations.recovery_due_at = (
            trio.current_time() + RECOVERY_S
        )
        await trio.sleep(FAULT_FREE_S)
        result.violations = find_violations(environment.observations)
        result.violations += _task_failures(environment)
        for gateway in environment.gateways:
            gateway.record_unexpected_end()
            result.violations += gateway.unexpected_ends
        result.requests = len(environment.observations.attempts)
        result.served = sum(
            a.reply is not None and a.reply.status == 200
            for a in environment.observations.attempts
        )
        nursery.cancel_scope.cancel()
    return result


def _task_failures(environment: Environment) -> list[str]:
    """Returns a description of each unexpected error in the gateways' logs."""
    return [
        f"{gateway.name}: {line[:MAX_FAILURE_LINE]}"
        for gateway in environment.gateways
        for line in gateway.log_lines("gateway:task_failed")
    ]


async def _watch_scheduling_delays(
    environment: Environment, result: Result
) -> None:
    """Counts scheduling delays of the test process, and records disturbances.

    A delay is recorded as a disturbance (see Gateway) of all gateways, as the
    machine may have delayed them as much as the test process.
    """
    while True:
        due = trio.current_time() + SCHEDULING_CHECK_INTERVAL_S
        await trio.sleep_until(due)
        late_s = trio.current_time() - due
        if late_s > SCHEDULING_DELAY_THRESHOLD_S:
            result.scheduling_delays += 1
            for gateway in environment.gateways:
                # record_disturbance would record one that starts now.
                gateway.disturbances.append((due, due + late_s))


async def wait_until_ready(
    environment: Environment, nursery: trio.Nursery
) -> None:
    with trio.fail_after(READY_TIMEOUT_S):
        for gateway in environment.gateways:
            client = HttpClient(gateway.ready_address)
            client.start(nursery)
            while True:
                # HttpClient raises this error for any server without a reply.
                with contextlib.suppress(StoreUnavailableError):
                    if (
                        await client.request("GET", "/ready", 1.0)
                    ).status == 200:
                        break
                await trio.sleep(0.1)


@contextlib.asynccontextmanager
async def running_environment(
    seed: int,
    folder: pathlib.Path,
    unsharded_leaves: int,
    memory_mb: float = DEFAULT_MEMORY_MB,
    max_descriptors: int = MAX_DESCRIPTORS,
) -> AsyncIterator[tuple[Environment, trio.Nursery]]:
    """Runs gateways with their store and leaves during the block.

    Args:
        seed: Seed of the random choices.
        folder: Folder for settings and logs.
        unsharded_leaves: Number of leaves of UNSHARDED_SERVICE.
        memory_mb: Memory of each VM, in megabytes.
        max_descriptors: File descriptors that each process may have.
    """
    rng = Random(seed)
    store = Store()
    operator = Operator(store)
    # Publishes the first configuration.
    operator.change_configuration()
    with reserve_network() as network:
        # The last byte of an address is 1 for the store and its proxies, 2 for
        # the leaves and theirs, and 10 or more for the gateways.
        subnet = f"{network}.1"
        gateways = _create_gateways(subnet, folder)
        async with trio.open_nursery() as nursery:
            observations = Observations(Ledger(), operator)
            environment = Environment(
                gateways=gateways,
                leaves=[],
                store=store,
                store_proxies={},
                leaf_proxies={},
                operator=operator,
                observations=observations,
                rng=rng,
            )
            nursery.start_soon(store.run)
            store_address = f"{subnet}.1:{STORE_PORT}"
            await _serve(nursery, store.answer, store_address)
            for number, gateway in enumerate(gateways):
                proxy_address = f"{subnet}.1:{STORE_PORT + 1 + number}"
                proxy = Proxy(proxy_address, store_address)
                await nursery.start(proxy.run)
                environment.store_proxies[gateway.name] = proxy
                cores = CORES_OF_VMS[number % len(CORES_OF_VMS)]
                gateway.max_descriptors = max_descriptors
                gateway.write_settings(proxy_address, cores, memory_mb)
            await _start_leaves(environment, subnet, nursery, unsharded_leaves)
            with killed_on_exit(gateways):
                for gateway in gateways:
                    gateway.start()
                yield environment, nursery


async def _start_leaves(
    environment: Environment,
    subnet: str,
    nursery: trio.Nursery,
    unsharded_leaves: int,
) -> None:
    """Starts the leaves of each service, spread over the failure domains.

    Each shard is a service of its own, with LEAVES_PER_SERVICE leaves, and
    UNSHARDED_SERVICE is not sharded. A leaf registers the address of its proxy
    as its own.
    """
    for index, service in enumerate((*SHARDS, UNSHARDED_SERVICE)):
        count = LEAVES_PER_SERVICE if service in SHARDS else unsharded_leaves
        for replica in range(count):
            failure_domain = FAILURE_DOMAINS[
                (index + replica) % len(FAILURE_DOMAINS)
            ]
            port = FIRST_LEAF_PORT + PORTS_PER_SERVICE * index + replica
            leaf_address = f"{subnet}.2:{port}"
            proxy_address = f"{subnet}.2:{port + PROXY_PORT_OFFSET}"
            leaf = Leaf(
                service,
                replica,
                failure_domain,
                proxy_address,
                environment.store,
                environment.observations.ledger,
                Random(environment.rng.random()),
            )
            environment.observations.leaf_failure_domains[leaf.leaf_id] = (
                failure_domain
            )
            await _serve(nursery, leaf.answer, leaf_address)
            proxy = Proxy(proxy_address, leaf_address)
            await nursery.start(proxy.run)
            environment.leaf_proxies[proxy_address] = proxy
            # Set once: faults that repeat crash requests may overlap.
            leaf.on_crash = functools.partial(
                nursery.start_soon, crash_leaf, environment, leaf
            )
            environment.leaves.append(leaf)


def _create_gateways(subnet: str, folder: pathlib.Path) -> list[Gateway]:
    return [
        Gateway(f"{failure_domain}{number}",
                f"{subnet}.{10 * index + number + 10}", failure_domain, folder)
        for index, failure_domain in enumerate(FAILURE_DOMAINS)
        for number in range(len(CORES_OF_VMS))
    ]  # fmt: skip


async def _serve(nursery: trio.Nursery, handler: Handler, address: str) -> None:
    """Serves HTTP requests of the gateways with the gateway's own server."""
    server = CallerServer(
        handler=handler,
        limits=ClientLimits,
        is_shutting_down=lambda: False,
        on_sent=lambda _request, _now: None,
    )
    await nursery.start(server.serve, address)


def run_seed(
    seed: int,
    fault_phase_s: float,
    output_folder: str | None = None,
    fault_names: Sequence[str] = tuple(FAULTS),
    unsharded_leaves: int = LEAVES_PER_SERVICE,
) -> Result:
    """Runs a seed in an event loop of its own.

    Args:
        seed: The run's seed.
        fault_phase_s: Time during which faults are started, in seconds.
        output_folder: Folder in which a folder `seed-<seed>` with settings and
            logs is created; without it they are removed after the run.
        fault_names: Faults to choose from, in NAMED_FAULTS.
        unsharded_leaves: Number of leaves of UNSHARDED_SERVICE.
    """
    arguments = (tuple(fault_names), unsharded_leaves)
    if output_folder is not None:
        folder = pathlib.Path(output_folder) / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        return trio.run(run_in_folder, seed, fault_phase_s, folder, *arguments)
    with tempfile.TemporaryDirectory() as name:
        return trio.run(
            run_in_folder,
            seed,
            fault_phase_s,
            pathlib.Path(name),
            *arguments,
        )
