"""The faults that a run injects.

Faults may overlap. Where two of them set the same mode or property of a proxy,
the store or a leaf, the one that ends first also ends the effect of the other.
The exception is `_slow_leaf`, whose factors multiply.
"""

from __future__ import annotations

import itertools
import signal
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random

import trio

from soak.callers import send_request
from soak.guarantees import Observations
from soak.leaves import CRASH_PATH, Leaf
from soak.operator import (
    FETCH,
    SEARCH,
    UNSHARDED_SERVICE,
    Operator,
    SoakRoute,
)
from soak.processes import Gateway
from soak.proxy import Mode, Proxy
from soak.store import Store

# Shortest and longest random duration. It is the whole duration of some faults;
# drains and evacuations add it to a minimum, and other faults do not use it.
FAULT_DURATION_RANGE_S = (0.3, 2.5)
# A draining leaf keeps serving for at least this long, and an evacuation lasts
# at least that long; a random fault duration is added to each. The sums exceed
# DRAIN_LIMIT_S and EVACUATION_LIMIT_S of the guarantees, so that a gateway that
# still uses the leaves after these limits is noticed.
MIN_DRAIN_S = 3.5
MIN_EVACUATION_S = 5.0
# Time between the end of a gateway or leaf and its next start.
RESTART_DELAY_S = 0.4
STORE_DELAY_S = 0.1
# Time for which changes are hidden from watches before the history ends, and
# shortest and longest time between the reset of the watches and its end.
HIDDEN_CHANGES_S = 1.0
ACCEPTING_RANGE_S = (0.02, 0.3)
# The store comes back from copies of this age, is away for so long each time,
# and so often in a row.
COPY_AGE_RANGE_S = (0.5, 6.0)
AWAY_TIMES_S = (0.0, 0.3, 2.0)
RETURN_COUNTS = (1, 1, 2, 3)
# Time within which all that the copy lacks is written again.
WRITTEN_AGAIN_S = 1.8
# Probability with which each open connection is silenced.
SILENCED_SHARE = 0.5
# Factor by which a slow leaf's work takes longer.
SLOW_LEAF_FACTOR = 20
# Probability that a reply has status 500 and, independently, that it has a
# wrong request id.
FAULTY_REPLY_SHARE = 0.3
# Time for which a request that crashes leaves is repeated, possible pauses
# between the repetitions of one caller, and numbers of callers.
CRASH_REPETITION_S = 8.0
CRASH_PAUSES_S = (0.02, 0.1, 0.3, 1.0)
CRASH_CALLER_COUNTS = (1, 4)
# Number of hosts from which a crashing request is repeated in turn, and number
# of the first one in the subnet of the gateways.
CRASH_CALLER_HOSTS = 16
FIRST_CALLER_HOST = 200
# Time from the crash of a leaf to its next start.
CRASH_RESTART_S = 0.5
# Limits that a leaf names, in requests a second, and for how long.
LEAF_LIMITS_PER_S = (1.0, 4.0, 12.0)
LIMITED_RANGE_S = (6.0, 11.0)
# Pauses that a leaf asks for, and for how long it rejects all requests.
PAUSES_S = (0.7, 1.5, 3.0)
PAUSING_RANGE_S = (2.0, 6.0)
_CRASH_REQUEST_NUMBERS = itertools.count(1)


@dataclass
class Environment:
    """What faults act on, and where they record their effects.

    Attributes:
        gateways: The gateway processes.
        leaves: The leaves, which run in the test process.
        store: The store, which runs in the test process.
        store_proxies: By gateway name, the proxy through which the gateway
            reaches the store.
        leaf_proxies: By advertised address, which is the proxy's, the proxy
            through which all gateways reach a leaf.
        operator: Changes the configuration and evacuates failure domains.
        observations: Observations on which the guarantees are checked.
        rng: Source of the random choices.
    """

    gateways: list[Gateway]
    leaves: list[Leaf]
    store: Store
    store_proxies: dict[str, Proxy]
    leaf_proxies: dict[str, Proxy]
    operator: Operator
    observations: Observations
    rng: Random

    def random_gateway(self) -> Gateway:
        """Returns one of the gateways, whether it runs or not."""
        return self.rng.choice(self.gateways)

    def random_leaf(self) -> Leaf:
        """Returns one of the leaves, whether it is registered or not."""
        return self.rng.choice(self.leaves)

    def random_duration_s(self) -> float:
        """Returns a duration within FAULT_DURATION_RANGE_S."""
        return self.rng.uniform(*FAULT_DURATION_RANGE_S)

    def record_disturbance_of_all(self, duration_s: float = 0.0) -> None:
        """Records a disturbance (see Gateway) of all gateways that starts now.

        Args:
            duration_s: Expected duration of the disturbance.
        """
        for gateway in self.gateways:
            gateway.record_disturbance(duration_s)


async def _kill_gateway(environment: Environment) -> None:
    gateway = environment.random_gateway()
    gateway.kill()
    await trio.sleep(RESTART_DELAY_S)
    gateway.start()


async def _kill_all_gateways(environment: Environment) -> None:
    for gateway in environment.gateways:
        gateway.kill()
    await trio.sleep(RESTART_DELAY_S)
    for gateway in environment.gateways:
        gateway.start()


async def _stop_gateway(environment: Environment) -> None:
    gateway = environment.random_gateway()
    await gateway.stop()
    await trio.sleep(RESTART_DELAY_S)
    gateway.start()


async def _pause_gateway(environment: Environment) -> None:
    gateway = environment.random_gateway()
    duration_s = environment.random_duration_s()
    gateway.send_signal(signal.SIGSTOP)
    # send_signal records only the start and the end of the pause.
    gateway.record_disturbance(duration_s)
    await trio.sleep(duration_s)
    gateway.send_signal(signal.SIGCONT)


async def _reload_gateway(environment: Environment) -> None:
    """Makes a gateway read its settings again, which have not changed.

    No disturbance is recorded, unlike by Gateway.send_signal, so that the
    guarantees are also checked during a reload. A process that is still
    starting does not handle SIGHUP yet and is ended by it; it then stays down
    until another fault starts it.
    """
    gateway = environment.random_gateway()
    if gateway.process is not None and gateway.is_running:
        gateway.process.send_signal(signal.SIGHUP)


async def _cut_gateway_from_store(environment: Environment) -> None:
    """Disrupts the connections between one gateway and the store."""
    gateway = environment.random_gateway()
    proxy = environment.store_proxies[gateway.name]
    duration_s = environment.random_duration_s()
    gateway.record_disturbance(duration_s)
    proxy.set_mode(
        environment.rng.choice([Mode.STALL, Mode.STALL_REPLIES, Mode.RESET])
    )
    await trio.sleep(duration_s)
    proxy.set_mode(Mode.FORWARD)
    # The sleep may have taken longer than duration_s.
    gateway.record_disturbance()


async def _inject_store_fault(
    environment: Environment, set_active: Callable[[bool], None]
) -> None:
    """Enables a fault of the store for a random time.

    All gateways count as disturbed.

    Args:
        environment: The environment.
        set_active: Enables or disables the fault.
    """
    duration_s = environment.random_duration_s()
    environment.record_disturbance_of_all(duration_s)
    set_active(True)
    await trio.sleep(duration_s)
    set_active(False)
    # The sleep may have taken longer than duration_s.
    environment.record_disturbance_of_all()


async def _make_store_unreachable(environment: Environment) -> None:
    """Disrupts the connections between all gateways and the store."""
    mode = environment.rng.choice([Mode.STALL, Mode.RESET])

    def set_active(is_active: bool) -> None:
        for proxy in environment.store_proxies.values():
            proxy.set_mode(mode if is_active else Mode.FORWARD)

    await _inject_store_fault(environment, set_active)


async def _overload_store(environment: Environment) -> None:
    """Makes the store reject all requests with status 503."""

    def set_active(is_active: bool) -> None:
        environment.store.is_overloaded = is_active

    await _inject_store_fault(environment, set_active)


async def _slow_store(environment: Environment) -> None:
    def set_active(is_active: bool) -> None:
        for proxy in environment.store_proxies.values():
            proxy.delay_s = STORE_DELAY_S if is_active else 0.0

    await _inject_store_fault(environment, set_active)


async def _drop_store_replies(environment: Environment) -> None:
    """Makes the store apply transactions without replying to them."""

    def set_active(is_active: bool) -> None:
        environment.store.withholds_transaction_replies = is_active

    await _inject_store_fault(environment, set_active)


async def _return_store_from_copy(environment: Environment) -> None:
    """Makes the store come back from a copy, once or several times in a row.

    After each return, the operator and the leaves write again what the copy
    lacks, each after a time of its own; until then all gateways count as
    disturbed.
    """
    rng, store = environment.rng, environment.store
    async with trio.open_nursery() as nursery:
        for _ in range(rng.choice(RETURN_COUNTS)):
            state = store.copy()
            await trio.sleep(rng.uniform(*COPY_AGE_RANGE_S))
            away_s = rng.choice(AWAY_TIMES_S)
            environment.record_disturbance_of_all(away_s)
            mode = rng.choice([Mode.STALL, Mode.RESET])
            for proxy in environment.store_proxies.values():
                proxy.set_mode(mode)
            await trio.sleep(away_s)
            store.come_back(state)
            for proxy in environment.store_proxies.values():
                proxy.set_mode(Mode.FORWARD)
            environment.record_disturbance_of_all(WRITTEN_AGAIN_S)
            nursery.start_soon(_remove_ended_leaves, environment)
            for writer in (environment.operator, *environment.leaves):
                delay_s = rng.choice([0.0, rng.uniform(0.0, WRITTEN_AGAIN_S)])
                nursery.start_soon(_write_again, writer, delay_s)
    environment.record_disturbance_of_all()


async def _write_again(writer: Operator | Leaf, delay_s: float) -> None:
    await trio.sleep(delay_s)
    writer.write_again()


async def _remove_ended_leaves(environment: Environment) -> None:
    """Removes the entries of leaves that have ended, as by their silence."""
    await trio.sleep(WRITTEN_AGAIN_S)
    alive = {f"servers/{leaf.leaf_id}" for leaf in environment.leaves}
    for key in environment.store.keys("servers/"):
        if key not in alive:
            environment.store.remove(key)


async def _compact_store_history(environment: Environment) -> None:
    """Discards the store's history of changes.

    A watch that has not seen all of these changes ends with status 410, after
    which the gateway has to read all keys. This may concern any gateway, so
    all gateways count as disturbed.
    """
    environment.record_disturbance_of_all()
    environment.store.compact_history()


async def _compact_history_with_gap(environment: Environment) -> None:
    """Discards the history so that a watch may be accepted and not answered.

    Changes are hidden from watches, which are then reset, and the history ends
    a moment later. All gateways count as disturbed until the history has ended.
    """
    store = environment.store
    environment.record_disturbance_of_all(HIDDEN_CHANGES_S)
    store.hide_changes()
    await trio.sleep(HIDDEN_CHANGES_S)
    store.reset_watches()
    await trio.sleep(environment.rng.uniform(*ACCEPTING_RANGE_S))
    store.forget_hidden_changes()
    environment.record_disturbance_of_all()


async def _silence_store_connections(environment: Environment) -> None:
    """Silences some of a gateway's connections to the store for good.

    New connections work, and nothing resets the silent ones.
    """
    gateway = environment.random_gateway()
    gateway.record_disturbance()
    environment.store_proxies[gateway.name].silence_replies(
        environment.rng, SILENCED_SHARE
    )


async def _disrupt_leaf_connections(
    environment: Environment, mode: Mode
) -> None:
    proxy = environment.leaf_proxies[environment.random_leaf().address]
    proxy.set_mode(mode)
    await trio.sleep(environment.random_duration_s())
    proxy.set_mode(Mode.FORWARD)


async def _stall_leaf(environment: Environment) -> None:
    await _disrupt_leaf_connections(environment, Mode.STALL)


async def _stall_leaf_replies(environment: Environment) -> None:
    await _disrupt_leaf_connections(environment, Mode.STALL_REPLIES)


async def _reset_leaf_connections(environment: Environment) -> None:
    await _disrupt_leaf_connections(environment, Mode.RESET)


async def _send_endless_replies(environment: Environment) -> None:
    await _disrupt_leaf_connections(environment, Mode.ENDLESS_REPLIES)


async def _slow_leaf(environment: Environment) -> None:
    leaf = environment.random_leaf()
    # Multiplied and divided, so that a second such fault of the leaf adds to
    # the first one and does not end it.
    leaf.mean_execution_s *= SLOW_LEAF_FACTOR
    await trio.sleep(environment.random_duration_s())
    leaf.mean_execution_s /= SLOW_LEAF_FACTOR


async def _send_faulty_leaf_replies(environment: Environment) -> None:
    leaf = environment.random_leaf()
    leaf.faulty_share = FAULTY_REPLY_SHARE
    await trio.sleep(environment.random_duration_s())
    leaf.faulty_share = 0.0


async def _restart_leaf(environment: Environment) -> None:
    """Removes a leaf's entry and cuts its connections until it restarts.

    The leaf restarts with a new id.
    """
    leaf = environment.random_leaf()
    proxy = environment.leaf_proxies[leaf.address]
    proxy.set_mode(Mode.RESET)
    # If the leaf was draining, the start of the draining counts.
    environment.observations.withdrawn_at.setdefault(
        leaf.leaf_id, trio.current_time()
    )
    leaf.deregister()
    await trio.sleep(RESTART_DELAY_S)
    leaf.restart()
    environment.observations.leaf_failure_domains[leaf.leaf_id] = leaf.domain
    proxy.set_mode(Mode.FORWARD)


async def crash_leaf(environment: Environment, leaf: Leaf) -> None:
    """Ends a leaf, whose entry stays, until it restarts with a new id."""
    proxy = environment.leaf_proxies[leaf.address]
    if proxy.mode is Mode.REFUSE:
        return
    proxy.set_mode(Mode.REFUSE)
    await trio.sleep(CRASH_RESTART_S)
    environment.observations.withdrawn_at.setdefault(
        leaf.leaf_id, trio.current_time()
    )
    leaf.restart()
    environment.observations.leaf_failure_domains[leaf.leaf_id] = leaf.domain
    proxy.set_mode(Mode.FORWARD)


async def _crash_failure_domain(environment: Environment) -> None:
    """Ends all leaves of a failure domain at once."""
    domain = environment.random_gateway().failure_domain
    async with trio.open_nursery() as nursery:
        for leaf in environment.leaves:
            if leaf.domain == domain:
                nursery.start_soon(crash_leaf, environment, leaf)


async def _cut_failure_domain(environment: Environment) -> None:
    """Holds back all that passes between gateways and a domain's leaves."""
    domain = environment.random_gateway().failure_domain
    proxies = [
        environment.leaf_proxies[leaf.address]
        for leaf in environment.leaves
        if leaf.domain == domain
    ]
    for proxy in proxies:
        proxy.set_mode(Mode.STALL)
    await trio.sleep(environment.random_duration_s())
    for proxy in proxies:
        proxy.set_mode(Mode.FORWARD)


async def _repeat_crash_fetch(environment: Environment) -> None:
    await _repeat_crash_request(environment, FETCH, environment.gateways)


async def _repeat_crash_fetch_at_one_gateway(environment: Environment) -> None:
    gateway = environment.random_gateway()
    await _repeat_crash_request(environment, FETCH, [gateway])


async def _repeat_crash_search(environment: Environment) -> None:
    await _repeat_crash_request(environment, SEARCH, environment.gateways)


async def _repeat_crash_fetch_from_many_hosts(environment: Environment) -> None:
    subnet = environment.gateways[0].host.rpartition(".")[0]
    hosts = [
        f"{subnet}.{FIRST_CALLER_HOST + number}"
        for number in range(CRASH_CALLER_HOSTS)
    ]
    await _repeat_crash_request(environment, FETCH, environment.gateways, hosts)


async def _repeat_crash_request(
    environment: Environment,
    route: SoakRoute,
    gateways: Sequence[Gateway],
    hosts: Sequence[str | None] = (None,),
) -> None:
    """Repeats a request that crashes leaves, at any of some gateways.

    Args:
        environment: The running environment.
        route: Route of the request.
        gateways: Gateways to choose from.
        hosts: IP addresses from which it is sent in turn.
    """
    rng = environment.rng
    number = next(_CRASH_REQUEST_NUMBERS)
    path = f"{route.prefix}{number}{CRASH_PATH.decode()}"
    attempts = environment.observations.crash_attempts.setdefault(path, [])
    ends_at = trio.current_time() + CRASH_REPETITION_S
    sources = itertools.cycle(hosts)

    async def repeat(pause_s: float) -> None:
        while trio.current_time() < ends_at:
            attempts.append(
                await send_request(
                    rng.choice(gateways), route, path, next(sources)
                )
            )
            await trio.sleep(pause_s)

    async with trio.open_nursery() as callers:
        for _ in range(rng.choice(CRASH_CALLER_COUNTS)):
            callers.start_soon(repeat, rng.choice(CRASH_PAUSES_S))


def _unsharded_leaf(environment: Environment) -> Leaf:
    return environment.rng.choice(
        [
            leaf
            for leaf in environment.leaves
            if leaf.service == UNSHARDED_SERVICE
        ]
    )


async def _leave_by_answer(environment: Environment) -> None:
    """Lets a leaf say in its replies only that it leaves, then restart."""
    leaf = _unsharded_leaf(environment)
    leaving_id = leaf.leaf_id
    leaf.says_leaving = True
    await trio.sleep(MIN_DRAIN_S + environment.random_duration_s())
    if leaf.leaf_id != leaving_id:
        return
    environment.observations.withdrawn_at.setdefault(
        leaving_id, trio.current_time()
    )
    leaf.restart()
    environment.observations.leaf_failure_domains[leaf.leaf_id] = leaf.domain


async def _pause_leaf(environment: Environment) -> None:
    """Lets a leaf reject all requests and ask for a pause each time."""
    leaf = _unsharded_leaf(environment)
    leaf.pause_s = environment.rng.choice(PAUSES_S)
    await trio.sleep(environment.rng.uniform(*PAUSING_RANGE_S))
    leaf.pause_s = 0.0


async def _limit_leaf(environment: Environment) -> None:
    """Lets a leaf of the unsharded service name a limit, which may change.

    Parts of searches are left out, as gateways also call them for each other.
    """
    leaf = _unsharded_leaf(environment)
    if leaf.limit_per_s is not None:
        return
    duration_s = environment.rng.uniform(*LIMITED_RANGE_S)
    leaf.limit_named_since = trio.current_time()
    leaf.limit_per_s = environment.rng.choice(LEAF_LIMITS_PER_S)
    await trio.sleep(duration_s)
    leaf.limit_per_s = None


async def _drain_leaf(environment: Environment) -> None:
    """Drains a leaf, which keeps serving meanwhile, then restarts it at once.

    The leaf restarts with a new id.
    """
    leaf = environment.random_leaf()
    if leaf.state == "draining":
        return
    leaf.drain()
    environment.observations.withdrawn_at.setdefault(
        leaf.leaf_id, trio.current_time()
    )
    await trio.sleep(MIN_DRAIN_S + environment.random_duration_s())
    leaf.deregister()
    leaf.restart()
    environment.observations.leaf_failure_domains[leaf.leaf_id] = leaf.domain


async def _remove_leaf(environment: Environment) -> None:
    """Removes a leaf's entry; the leaf keeps serving, then restarts.

    The leaf restarts with a new id.
    """
    leaf = environment.random_leaf()
    environment.observations.withdrawn_at.setdefault(
        leaf.leaf_id, trio.current_time()
    )
    removed_id = leaf.leaf_id
    leaf.deregister()
    await trio.sleep(MIN_DRAIN_S + environment.random_duration_s())
    if leaf.leaf_id == removed_id:
        leaf.restart()
    environment.observations.leaf_failure_domains[leaf.leaf_id] = leaf.domain


async def _change_configuration(environment: Environment) -> None:
    environment.operator.change_configuration()


async def _evacuate_failure_domain(environment: Environment) -> None:
    """Takes a failure domain out of service, unless it already is."""
    failure_domain = environment.random_gateway().failure_domain
    if not environment.operator.evacuate(failure_domain):
        return
    started_at = trio.current_time()
    await trio.sleep(MIN_EVACUATION_S + environment.random_duration_s())
    environment.operator.end_evacuation(failure_domain)
    environment.observations.evacuations.append(
        (failure_domain, started_at, trio.current_time())
    )


FAULTS: dict[str, Callable[[Environment], Awaitable[None]]] = {
    "kill": _kill_gateway,
    "kill_all": _kill_all_gateways,
    "stop": _stop_gateway,
    "pause": _pause_gateway,
    "reload": _reload_gateway,
    "cut_from_store": _cut_gateway_from_store,
    "store_unreachable": _make_store_unreachable,
    "store_overloaded": _overload_store,
    "store_slow": _slow_store,
    "store_answers_lost": _drop_store_replies,
    "history_compaction": _compact_store_history,
    "history_gap": _compact_history_with_gap,
    "store_connections_silent": _silence_store_connections,
    "leaf_stalls": _stall_leaf,
    "leaf_replies_stall": _stall_leaf_replies,
    "leaf_reset": _reset_leaf_connections,
    "leaf_slow": _slow_leaf,
    "leaf_faulty_replies": _send_faulty_leaf_replies,
    "leaf_restarts": _restart_leaf,
    "failure_domain_crashes": _crash_failure_domain,
    "crash_fetch": _repeat_crash_fetch,
    "crash_fetch_at_one_gateway": _repeat_crash_fetch_at_one_gateway,
    "crash_search": _repeat_crash_search,
    "leaf_limited": _limit_leaf,
    "leaf_leaves_by_answer": _leave_by_answer,
    "leaf_pauses": _pause_leaf,
    "leaf_drains": _drain_leaf,
    "leaf_removed": _remove_leaf,
    "configuration": _change_configuration,
    "evacuation": _evacuate_failure_domain,
}
# Faults that are injected only if they are named: one more among the others
# would change what each seed means.
NAMED_FAULTS = {
    **FAULTS,
    "crash_fetch_from_many_hosts": _repeat_crash_fetch_from_many_hosts,
    "failure_domain_cut": _cut_failure_domain,
    "leaf_replies_endless": _send_endless_replies,
    "store_returns": _return_store_from_copy,
}
