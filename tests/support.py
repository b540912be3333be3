"""Fleets, load and checked answers for the tests with processes."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import trio
from sapphire_bench.caller import Answer, Caller, NoAddressError
from sapphire_bench.fleet import Fleet, open_fleet
from sapphire_bench.process import FleetError
from sapphire_bench.spec import FleetSpec, LeafSpec, ServiceSpec, Vm
from sapphire_standins.corpus import WORDS
from sapphire_standins.index import shard_index

DOMAINS = ("pk-north-a", "pk-north-b", "pk-north-c")
SEARCH = ServiceSpec("toxdesk", shards=3, replicas=2)
REGISTER = ServiceSpec(
    "registre-depots", shards=1, replicas=2, accepts_submissions=True
)
SMALL = FleetSpec(
    name="small",
    region="pk-north",
    failure_domains=DOMAINS,
    vms_per_domain=1,
    services=(SEARCH, REGISTER),
)
K = 10
OUT_BOUND_S = 5.0
CONFIG_BOUND_S = 10.0

Scenario = Callable[[Fleet], Awaitable[None]]


def run_scenario(scenario: Scenario, shape: FleetSpec = SMALL) -> None:
    """Runs a scenario on a fresh fleet."""

    async def main() -> None:
        async with open_fleet(shape, preset_roster=True) as fleet:
            await wait_until(fleet, has_full_roster)
            await scenario(fleet)

    trio.run(main)


async def wait_until(
    fleet: Fleet,
    condition: Callable[[Fleet], Awaitable[bool]],
    within_s: float = 60.0,
) -> None:
    """Waits for a condition; fails the test if it isn't met in time."""
    with trio.move_on_after(within_s):
        while not await condition(fleet):
            await trio.sleep(0.1)
        return
    raise AssertionError(f"{condition} was not met within {within_s} s")


async def aggregator_status(fleet: Fleet, vm: Vm) -> dict[str, Any]:
    """Returns an aggregator's status, empty if it does not answer."""
    try:
        status: dict[str, Any] = await fleet.call(vm.admin, "GET", "/v1/status")
    except FleetError:
        return {}
    return status


async def has_full_roster(fleet: Fleet) -> bool:
    """Whether each aggregator is in the roster and granted."""
    for vm in fleet.vms:
        status = await aggregator_status(fleet, vm)
        if len(status.get("members", ())) != len(fleet.vms):
            return False
        if not status["granted"]:
            return False
    return True


async def holder_of(fleet: Fleet, place: LeafSpec) -> Vm | None:
    """Returns the VM whose aggregator holds a leaf's send right, if any."""
    for vm in fleet.vms:
        status = await aggregator_status(fleet, vm)
        for leaf in status.get("leaves", ()):
            if leaf["address"] == place.address and leaf["held"]:
                return vm
    return None


def check_answer(answer: Answer, text: str, k: int = K) -> None:
    """Checks that coverage tells exactly what the matches contain."""
    coverage = answer.body["coverage"]
    total = coverage["shards_total"]
    missing = {item["shard"] for item in coverage["missing"]}
    assert coverage["shards_answered"] == total - len(missing)
    assert coverage["complete"] == (not missing and total > 0)
    version = answer.body["index_version"]
    expected = sorted(
        (-match.score, match.id)
        for shard in range(total)
        if shard not in missing
        for match in shard_index(version, total, shard).search(text, k)
    )[:k]
    found = [(-match["score"], match["id"]) for match in answer.body["matches"]]
    assert [f[1] for f in found] == [e[1] for e in expected], version


@dataclass
class Load:
    """Searches sent at a fixed rate, and what became of them."""

    caller: Caller
    rate: float = 20.0
    request_class: str = "typing"
    deadline_ms: int = 2000
    answers: list[Answer] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    @property
    def incomplete(self) -> list[Any]:
        """Bodies of answers that were not complete."""
        return [a.body for a in self.answers if not a.is_complete]

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sends searches until cancelled; each answer is checked."""
        rng = random.Random(7)
        task_status.started()
        async with trio.open_nursery() as nursery:
            due = trio.current_time()
            while True:
                text = " ".join(rng.sample(WORDS, 2))
                nursery.start_soon(self.search, text)
                due += 1 / self.rate
                await trio.sleep_until(due)

    async def search(self, text: str) -> None:
        """Searches once and checks the answer."""
        try:
            answer = await self.caller.search(
                "toxdesk",
                text,
                request_class=self.request_class,
                deadline_ms=self.deadline_ms,
                k=K,
            )
        except NoAddressError as error:
            self.failures.append(str(error))
            return
        self.answers.append(answer)
        if answer.status == 200:
            check_answer(answer, text)
        else:
            kind = answer.error_kind or "no reply"
            self.failures.append(kind)


async def with_load(
    fleet: Fleet, action: Callable[[], Awaitable[None]], rate: float = 20.0
) -> Load:
    """Runs an action under load and returns the finished load."""
    caller = Caller(fleet.entries)
    load = Load(caller, rate)
    try:
        async with trio.open_nursery() as nursery:
            await nursery.start(load.run)
            await trio.sleep(1)
            await action()
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
    finally:
        with trio.CancelScope(shield=True):
            await caller.aclose()
    return load
