"""Helpers for tests that run whole fleets: set-up, load and checks.

A fleet has two daemons for each VM: an entry, which answers callers' HTTP
requests, and an aggregator, which sends the requests of entries to leaves. A
leaf is the server of a shard. The platform is a key-value service that stores
the configuration, the cell's roster and the claims of submissions. The leaves,
the platform and the VM list are simulated by the stand-in processes of
`sapphire_standins`; Fleet.fault() injects or ends their faults and changes
their settings.
"""

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
# Serves searches.
SEARCH = ServiceSpec("toxdesk", shards=3, replicas=2)
# Accepts submissions.
SUBMISSIONS = ServiceSpec(
    "registre-depots", shards=1, replicas=2, accepts_submissions=True
)
SMALL_FLEET = FleetSpec(
    name="small",
    region="pk-north",
    failure_domains=DOMAINS,
    vms_per_domain=1,
    services=(SEARCH, SUBMISSIONS),
)
DEFAULT_K = 10
# Maximum time during which a leaf may still receive new work after it started
# to drain or its failure domain was taken out of service.
NEW_WORK_LIMIT_S = 5.0
# Maximum time until all daemons use an accepted configuration.
CONFIG_ADOPTION_LIMIT_S = 10.0

Scenario = Callable[[Fleet], Awaitable[None]]


def run_scenario(scenario: Scenario, spec: FleetSpec = SMALL_FLEET) -> None:
    """Starts a fleet, waits until its cell is complete and runs a scenario.

    The cell is the group of aggregators that divide the leaves among them. Its
    roster (list of members) is stored before they start, so that they need not
    join one after the other.
    """

    async def main() -> None:
        async with open_fleet(spec, preset_roster=True) as fleet:
            await wait_until(fleet, is_cell_complete)
            await scenario(fleet)

    trio.run(main)


async def wait_until(
    fleet: Fleet,
    condition: Callable[[Fleet], Awaitable[bool]],
    within_s: float = 60.0,
) -> None:
    """Waits for a condition and fails the test if it is not met in time."""
    with trio.move_on_after(within_s):
        while not await condition(fleet):
            await trio.sleep(0.1)
        return
    raise AssertionError(
        f"{condition.__qualname__}() was not true within {within_s} s"
    )


async def aggregator_status(fleet: Fleet, vm: Vm) -> dict[str, Any]:
    """Returns an aggregator's status, or an empty dict without an answer."""
    try:
        status: dict[str, Any] = await fleet.call(vm.admin, "GET", "/v1/status")
    except FleetError:
        return {}
    return status


async def is_cell_complete(fleet: Fleet) -> bool:
    """Returns whether each aggregator knows all members and may hold leaves.

    An aggregator holds a leaf if it has the send right for it, the exclusive
    right to send requests to that leaf. It can have send rights only while a
    majority of the members grants it that (`granted`). The grant is for no
    particular leaf, and an aggregator with it may hold none.
    """
    for vm in fleet.vms:
        status = await aggregator_status(fleet, vm)
        if len(status.get("members", ())) != len(fleet.vms):
            return False
        if not status["granted"]:
            return False
    return True


async def find_holder(fleet: Fleet, leaf: LeafSpec) -> Vm | None:
    """Returns the VM whose aggregator holds the send right for a leaf."""
    for vm in fleet.vms:
        status = await aggregator_status(fleet, vm)
        for leaf_status in status.get("leaves", ()):
            if leaf_status["address"] == leaf.address and leaf_status["held"]:
                return vm
    return None


def check_answer(answer: Answer, text: str, k: int = DEFAULT_K) -> None:
    """Checks the coverage and compares the matches with a reference search.

    The coverage states which shards the answer includes; it has no shards if
    the entry knows no index version yet. The reference search covers exactly
    the shards that are not reported as missing. The ids of the matches and
    their order must be equal; the scores are not compared.
    """
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
    assert [item[1] for item in found] == [item[1] for item in expected], (
        f"matches of {text!r} differ from those of index version {version},"
        f" shards: {total}, missing: {sorted(missing)}"
    )


@dataclass
class Load:
    """Sends searches, checks the answers and collects the results.

    Attributes:
        caller: Client that sends the searches.
        rate: Searches that run() sends per second.
        request_class: Class of the searches: "typing" is interactive, "sweep"
            is bulk work of lower priority.
        deadline_ms: Deadline of each search.
        answers: All answers, also errors and lost replies (status 0).
        failures: For each failed search the error kind, "no reply", or the
            message of a NoAddressError.
    """

    caller: Caller
    rate: float = 20.0
    request_class: str = "typing"
    deadline_ms: int = 2000
    answers: list[Answer] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)

    @property
    def incomplete(self) -> list[Any]:
        """Bodies of the answers that are errors or have incomplete coverage."""
        return [a.body for a in self.answers if not a.is_complete]

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sends searches at the rate until cancelled."""
        rng = random.Random(7)
        task_status.started()
        async with trio.open_nursery() as nursery:
            next_send_at = trio.current_time()
            while True:
                text = " ".join(rng.sample(WORDS, 2))
                nursery.start_soon(self.search, text)
                next_send_at += 1 / self.rate
                await trio.sleep_until(next_send_at)

    async def search(self, text: str) -> None:
        """Searches once and checks the answer unless it is an error."""
        try:
            answer = await self.caller.search(
                "toxdesk",
                text,
                request_class=self.request_class,
                deadline_ms=self.deadline_ms,
                k=DEFAULT_K,
            )
        except NoAddressError as error:
            # No entry returned the addresses of the entries in service.
            self.failures.append(str(error))
            return
        self.answers.append(answer)
        if answer.status == 200:
            check_answer(answer, text)
        else:
            error_kind = answer.error_kind or "no reply"
            self.failures.append(error_kind)


async def run_under_load(
    fleet: Fleet, action: Callable[[], Awaitable[None]], rate: float = 20.0
) -> Load:
    """Runs an action while searches are sent; returns the load's results.

    The load starts 1 s before the action and ends 1 s after it. Searches that
    still wait for their answer then are cancelled and not counted.
    """
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
