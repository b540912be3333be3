"""The faults that a run injects."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import trio

from soak.guarantees import Observations
from soak.leaves import Leaf
from soak.operator import Operator
from soak.processes import Gateway
from soak.proxy import Mode, Proxy
from soak.store import Store

FAULT_DURATION_S = (0.3, 2.5)
# A draining leaf keeps serving for at least this long.
DRAIN_TIME_S = 3.5
RESTART_S = 0.4
STORE_DELAY_S = 0.1


@dataclass
class Environment:
    """The processes, stand-ins and proxies that faults act on."""

    gateways: list[Gateway]
    leaves: list[Leaf]
    store: Store
    store_links: dict[str, Proxy]
    leaf_links: dict[str, Proxy]
    operator: Operator
    observations: Observations
    rng: Random

    def random_gateway(self) -> Gateway:
        """Returns a random gateway."""
        return self.rng.choice(self.gateways)

    def random_leaf(self) -> Leaf:
        """Returns a random leaf."""
        return self.rng.choice(self.leaves)

    def random_duration_s(self) -> float:
        """Returns a random fault duration in seconds."""
        return self.rng.uniform(*FAULT_DURATION_S)

    def record_disturbance_of_all(self, duration_s: float = 0.0) -> None:
        """Records a disturbance of all gateways."""
        for gateway in self.gateways:
            gateway.record_disturbance(duration_s)


async def _kill(environment: Environment) -> None:
    gateway = environment.random_gateway()
    gateway.kill()
    await trio.sleep(RESTART_S)
    gateway.start()


async def _kill_all(environment: Environment) -> None:
    for gateway in environment.gateways:
        gateway.kill()
    await trio.sleep(RESTART_S)
    for gateway in environment.gateways:
        gateway.start()


async def _stop(environment: Environment) -> None:
    gateway = environment.random_gateway()
    await gateway.stop()
    await trio.sleep(RESTART_S)
    gateway.start()


async def _pause(environment: Environment) -> None:
    gateway = environment.random_gateway()
    duration_s = environment.random_duration_s()
    gateway.send_signal(signal.SIGSTOP)
    gateway.record_disturbance(duration_s)
    await trio.sleep(duration_s)
    gateway.send_signal(signal.SIGCONT)


async def _reload(environment: Environment) -> None:
    gateway = environment.random_gateway()
    if gateway.process is not None and gateway.is_running:
        gateway.process.send_signal(signal.SIGHUP)


async def _cut_from_store(environment: Environment) -> None:
    gateway = environment.random_gateway()
    link = environment.store_links[gateway.name]
    duration_s = environment.random_duration_s()
    gateway.record_disturbance(duration_s)
    link.set_mode(
        environment.rng.choice([Mode.STALL, Mode.STALL_REPLIES, Mode.RESET])
    )
    await trio.sleep(duration_s)
    link.set_mode(Mode.FORWARD)
    gateway.record_disturbance()


async def _inject_store_fault(
    environment: Environment, switch: Callable[[bool], None]
) -> None:
    """Enables a fault of the store for a random time."""
    duration_s = environment.random_duration_s()
    environment.record_disturbance_of_all(duration_s)
    switch(True)
    await trio.sleep(duration_s)
    switch(False)
    environment.record_disturbance_of_all()


async def _store_unreachable(environment: Environment) -> None:
    mode = environment.rng.choice([Mode.STALL, Mode.RESET])

    def switch(is_on: bool) -> None:
        for link in environment.store_links.values():
            link.set_mode(mode if is_on else Mode.FORWARD)

    await _inject_store_fault(environment, switch)


async def _store_overloaded(environment: Environment) -> None:
    def switch(is_on: bool) -> None:
        environment.store.is_overloaded = is_on

    await _inject_store_fault(environment, switch)


async def _store_slow(environment: Environment) -> None:
    def switch(is_on: bool) -> None:
        for link in environment.store_links.values():
            link.delay_s = STORE_DELAY_S if is_on else 0.0

    await _inject_store_fault(environment, switch)


async def _store_answers_lost(environment: Environment) -> None:
    def switch(is_on: bool) -> None:
        environment.store.drops_answers = is_on

    await _inject_store_fault(environment, switch)


async def _compact_history(environment: Environment) -> None:
    environment.record_disturbance_of_all()
    environment.store.compact_history()


async def _disrupt_leaf_link(environment: Environment, mode: Mode) -> None:
    link = environment.leaf_links[environment.random_leaf().address]
    link.set_mode(mode)
    await trio.sleep(environment.random_duration_s())
    link.set_mode(Mode.FORWARD)


async def _leaf_stalls(environment: Environment) -> None:
    await _disrupt_leaf_link(environment, Mode.STALL)


async def _leaf_replies_stall(environment: Environment) -> None:
    await _disrupt_leaf_link(environment, Mode.STALL_REPLIES)


async def _leaf_resets(environment: Environment) -> None:
    await _disrupt_leaf_link(environment, Mode.RESET)


async def _leaf_slows(environment: Environment) -> None:
    leaf = environment.random_leaf()
    leaf.work_s *= 20
    await trio.sleep(environment.random_duration_s())
    leaf.work_s /= 20


async def _leaf_sends_faulty_replies(environment: Environment) -> None:
    leaf = environment.random_leaf()
    leaf.faulty_share = 0.3
    await trio.sleep(environment.random_duration_s())
    leaf.faulty_share = 0.0


async def _leaf_restarts(environment: Environment) -> None:
    leaf = environment.random_leaf()
    link = environment.leaf_links[leaf.address]
    link.set_mode(Mode.RESET)
    environment.observations.withdrawn_at.setdefault(
        leaf.leaf_id, trio.current_time()
    )
    leaf.end()
    await trio.sleep(RESTART_S)
    leaf.restart()
    environment.observations.leaf_failure_domains[leaf.leaf_id] = leaf.domain
    link.set_mode(Mode.FORWARD)


async def _leaf_drains(environment: Environment) -> None:
    leaf = environment.random_leaf()
    if leaf.state == "draining":
        return
    leaf.drain()
    environment.observations.withdrawn_at.setdefault(
        leaf.leaf_id, trio.current_time()
    )
    await trio.sleep(DRAIN_TIME_S + environment.random_duration_s())
    leaf.end()
    leaf.restart()
    environment.observations.leaf_failure_domains[leaf.leaf_id] = leaf.domain


async def _change_configuration(environment: Environment) -> None:
    environment.operator.change()


async def _evacuate(environment: Environment) -> None:
    domain = environment.random_gateway().domain
    if not environment.operator.take_out(domain):
        return
    began = trio.current_time()
    await trio.sleep(5.0 + environment.random_duration_s())
    environment.operator.put_back(domain)
    environment.observations.evacuations.append(
        (domain, began, trio.current_time())
    )


FAULTS: dict[str, Callable[[Environment], Awaitable[None]]] = {
    "kill": _kill,
    "kill_all": _kill_all,
    "stop": _stop,
    "pause": _pause,
    "reload": _reload,
    "cut_from_store": _cut_from_store,
    "store_unreachable": _store_unreachable,
    "store_overloaded": _store_overloaded,
    "store_slow": _store_slow,
    "store_answers_lost": _store_answers_lost,
    "history_compaction": _compact_history,
    "leaf_stalls": _leaf_stalls,
    "leaf_replies_stall": _leaf_replies_stall,
    "leaf_reset": _leaf_resets,
    "leaf_slow": _leaf_slows,
    "leaf_faulty_replies": _leaf_sends_faulty_replies,
    "leaf_restarts": _leaf_restarts,
    "leaf_drains": _leaf_drains,
    "configuration": _change_configuration,
    "evacuation": _evacuate,
}
