"""Faults of a run: what each kind does, and to whom."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import trio

from soak.leaves import Leaf
from soak.operator import Operator
from soak.processes import Gateway
from soak.promises import Evidence
from soak.proxy import Mode, Proxy
from soak.store import Store

SHORT_S = (0.3, 2.5)
# A leaf that has told that it leaves serves for this long.
DRAINS_S = 3.5
RESTART_S = 0.4
STORE_DELAY_S = 0.1


@dataclass
class World:
    """Everything that a fault may touch."""

    gateways: list[Gateway]
    leaves: list[Leaf]
    store: Store
    store_links: dict[str, Proxy]
    leaf_links: dict[str, Proxy]
    operator: Operator
    evidence: Evidence
    rng: Random

    def a_gateway(self) -> Gateway:
        """Returns a gateway by chance."""
        return self.rng.choice(self.gateways)

    def a_leaf(self) -> Leaf:
        """Returns a leaf by chance."""
        return self.rng.choice(self.leaves)

    def a_while(self) -> float:
        """Returns how long a fault lasts, in seconds."""
        return self.rng.uniform(*SHORT_S)

    def all_disturbed(self, for_s: float = 0.0) -> None:
        """Notes a disturbance of all gateways."""
        for gateway in self.gateways:
            gateway.disturbed(for_s)


async def _kill(world: World) -> None:
    gateway = world.a_gateway()
    gateway.kill()
    await trio.sleep(RESTART_S)
    gateway.start()


async def _kill_all(world: World) -> None:
    for gateway in world.gateways:
        gateway.kill()
    await trio.sleep(RESTART_S)
    for gateway in world.gateways:
        gateway.start()


async def _stop(world: World) -> None:
    gateway = world.a_gateway()
    await gateway.stop()
    await trio.sleep(RESTART_S)
    gateway.start()


async def _pause(world: World) -> None:
    gateway = world.a_gateway()
    for_s = world.a_while()
    gateway.signal(signal.SIGSTOP)
    gateway.disturbed(for_s)
    await trio.sleep(for_s)
    gateway.signal(signal.SIGCONT)


async def _reload(world: World) -> None:
    gateway = world.a_gateway()
    if gateway.process is not None and gateway.is_running:
        gateway.process.send_signal(signal.SIGHUP)


async def _cut_from_store(world: World) -> None:
    gateway = world.a_gateway()
    link = world.store_links[gateway.name]
    for_s = world.a_while()
    gateway.disturbed(for_s)
    link.set_mode(world.rng.choice([Mode.SILENT, Mode.DEAF, Mode.RESET]))
    await trio.sleep(for_s)
    link.set_mode(Mode.PASS)
    gateway.disturbed()


async def _disturb_store(world: World, switch: Callable[[bool], None]) -> None:
    """Switches a fault of the store on and off, for all gateways."""
    for_s = world.a_while()
    world.all_disturbed(for_s)
    switch(True)
    await trio.sleep(for_s)
    switch(False)
    world.all_disturbed()


async def _store_away(world: World) -> None:
    mode = world.rng.choice([Mode.SILENT, Mode.RESET])

    def switch(is_on: bool) -> None:
        for link in world.store_links.values():
            link.set_mode(mode if is_on else Mode.PASS)

    await _disturb_store(world, switch)


async def _store_busy(world: World) -> None:
    def switch(is_on: bool) -> None:
        world.store.is_busy = is_on

    await _disturb_store(world, switch)


async def _store_slow(world: World) -> None:
    def switch(is_on: bool) -> None:
        for link in world.store_links.values():
            link.delay_s = STORE_DELAY_S if is_on else 0.0

    await _disturb_store(world, switch)


async def _answers_lost(world: World) -> None:
    def switch(is_on: bool) -> None:
        world.store.loses_answers = is_on

    await _disturb_store(world, switch)


async def _forget_history(world: World) -> None:
    world.all_disturbed()
    world.store.forget_history()


async def _leaf_link(world: World, mode: Mode) -> None:
    link = world.leaf_links[world.a_leaf().address]
    link.set_mode(mode)
    await trio.sleep(world.a_while())
    link.set_mode(Mode.PASS)


async def _leaf_silent(world: World) -> None:
    await _leaf_link(world, Mode.SILENT)


async def _leaf_deaf(world: World) -> None:
    await _leaf_link(world, Mode.DEAF)


async def _leaf_reset(world: World) -> None:
    await _leaf_link(world, Mode.RESET)


async def _leaf_slow(world: World) -> None:
    leaf = world.a_leaf()
    leaf.work_s *= 20
    await trio.sleep(world.a_while())
    leaf.work_s /= 20


async def _leaf_broken(world: World) -> None:
    leaf = world.a_leaf()
    leaf.broken_share = 0.3
    await trio.sleep(world.a_while())
    leaf.broken_share = 0.0


async def _leaf_restarts(world: World) -> None:
    leaf = world.a_leaf()
    link = world.leaf_links[leaf.address]
    link.set_mode(Mode.RESET)
    world.evidence.leaving.setdefault(leaf.leaf_id, trio.current_time())
    leaf.end()
    await trio.sleep(RESTART_S)
    leaf.restart()
    world.evidence.domains[leaf.leaf_id] = leaf.domain
    link.set_mode(Mode.PASS)


async def _leaf_drains(world: World) -> None:
    leaf = world.a_leaf()
    if leaf.state == "draining":
        return
    leaf.drain()
    world.evidence.leaving.setdefault(leaf.leaf_id, trio.current_time())
    await trio.sleep(DRAINS_S + world.a_while())
    leaf.end()
    leaf.restart()
    world.evidence.domains[leaf.leaf_id] = leaf.domain


async def _configuration(world: World) -> None:
    world.operator.change()


async def _evacuation(world: World) -> None:
    domain = world.a_gateway().domain
    if not world.operator.take_out(domain):
        return
    began = trio.current_time()
    await trio.sleep(5.0 + world.a_while())
    world.operator.put_back(domain)
    world.evidence.out.append((domain, began, trio.current_time()))


KINDS: dict[str, Callable[[World], Awaitable[None]]] = {
    "kill": _kill,
    "kill_all": _kill_all,
    "stop": _stop,
    "pause": _pause,
    "reload": _reload,
    "cut_from_store": _cut_from_store,
    "store_away": _store_away,
    "store_busy": _store_busy,
    "store_slow": _store_slow,
    "answers_lost": _answers_lost,
    "forget_history": _forget_history,
    "leaf_silent": _leaf_silent,
    "leaf_deaf": _leaf_deaf,
    "leaf_reset": _leaf_reset,
    "leaf_slow": _leaf_slow,
    "leaf_broken": _leaf_broken,
    "leaf_restarts": _leaf_restarts,
    "leaf_drains": _leaf_drains,
    "configuration": _configuration,
    "evacuation": _evacuation,
}
