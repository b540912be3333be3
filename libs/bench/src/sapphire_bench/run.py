"""Runs the cases of all deployments under each policy.

A policy is one of the two implementations that are compared: the query tier,
with entries and aggregators, and the baseline, whose processes call the leaves
directly. A case is a fault or condition during the load. A phase is one case
under one policy, with its results. Goodput is the number of good answers per
second: those that are complete and on time.
"""

from __future__ import annotations

import datetime
import os
import random
import subprocess
import sys
from collections.abc import Sequence

import trio
from sapphire_config.document import RequestClass
from sapphire_core.errors import SapphireError

from sapphire_bench import stats, usage
from sapphire_bench.caller import Caller
from sapphire_bench.cases import CASES, CaseContext, FleetAction
from sapphire_bench.fleet import Fleet, open_fleet
from sapphire_bench.load import (
    Client,
    QueryTexts,
    RequestKind,
    RequestSample,
    build_schedule,
    send_all,
)
from sapphire_bench.plan import (
    BenchSettings,
    CaseName,
    CasePlan,
    DeploymentPlan,
    Policy,
    ServicePlan,
)
from sapphire_bench.report import Result
from sapphire_bench.spec import FleetSpec, ServiceSpec
from sapphire_bench.stats import Phase

# Cases that run for the query tier only. The rolling restart restarts entries
# and aggregators, so it has no effect on the baseline.
TIER_ONLY_CASES = frozenset({CaseName.RESTART})
# Every n-th request of a phase is plotted, so that there are at least this many
# points and fewer than twice as many. Phases with fewer requests plot them all.
MIN_PLOT_POINTS = 400
# If a fault injection, such as a rolling restart, takes longer than its case,
# the load goes on for at most this many times the duration of the case.
MAX_OVERRUN_FACTOR = 4.0
# After a cell starts, leaves move between aggregators for the validity of one
# grant, a vote that lets an aggregator send to leaves. This is longer than that
# validity, which is GRANT_VALIDITY_S (2 s) in sapphire_core.rights.
STABLE_AFTER_START_S = 3.0
# Allowance for the answers that arrive after the end of the load. It is
# subtracted from the elapsed time to get the duration of the phase.
LAST_ANSWERS_S = 1.0


def fleet_spec(deployment: DeploymentPlan) -> FleetSpec:
    """Returns the fleet of a deployment, with one VM per failure domain."""
    classes = tuple(
        RequestClass(
            name=c.name, priority=c.priority, deadline_ms=c.deadline_ms
        )
        for c in deployment.classes
    )
    services = tuple(
        ServiceSpec(
            name=s.name,
            shards=s.shards,
            replicas=s.replicas,
            slots=s.slots,
            connections=s.connections,
            connect_ms=s.connect_ms,
            service_ms=s.service_ms,
            classes=classes,
        )
        for s in deployment.services
    )
    return FleetSpec(
        name=deployment.name,
        region=deployment.region,
        failure_domains=tuple(deployment.failure_domains),
        vms_per_domain=1,
        services=services,
    )


def request_kinds(
    deployment: DeploymentPlan, services: Sequence[ServicePlan]
) -> list[RequestKind]:
    """Returns one request kind for each service and class."""
    return [
        RequestKind(
            service=service.name,
            request_class=c.name,
            priority=c.priority,
            deadline_ms=c.deadline_ms,
            weight=service.weight * c.weight,
        )
        for service in services
        for c in deployment.classes
    ]


def unbatched_capacity(service: ServicePlan, service_ms: float) -> float:
    """Returns a service's capacity in queries/s without batching.

    A query calls one replica of every shard, so the capacity of the service is
    that of the replicas of one shard, whatever the number of shards.

    Args:
        service: The service.
        service_ms: Service time of one query; the overload case sets a longer
            one than the service's own.
    """
    return service.replicas * service.slots * 1000 / service_ms


class DeploymentRun:
    """Runs the cases of one deployment on its fleet."""

    def __init__(
        self, settings: BenchSettings, deployment: DeploymentPlan, fleet: Fleet
    ) -> None:
        self._settings = settings
        self._deployment = deployment
        self._fleet = fleet
        self._query_texts = QueryTexts(settings.texts, settings.seed)
        self._seed = settings.seed
        self._revision = 1
        self.failures: list[str] = []
        self._clients: dict[Policy, list[Client]] = {
            Policy.TIER: self._create_clients([vm.entry for vm in fleet.vms]),
            Policy.BASELINE: self._create_clients(
                [vm.baseline for vm in fleet.vms]
            ),
        }

    async def run(self) -> list[Phase]:
        """Runs each case under each policy in sequence."""
        phases = []
        for plan in self._deployment.cases:
            for policy in self._settings.policies:
                if plan.case in TIER_ONLY_CASES and policy is not Policy.TIER:
                    continue
                # A failed case must not discard the results of the others.
                try:
                    phase = await self._run_case(plan, policy)
                    phases.append(phase)
                    _print_phase(phase)
                # except* also catches errors in the group of a nursery.
                except* SapphireError as group:
                    self.failures.append(
                        f"{self._deployment.name} {plan.case} {policy}:"
                        f" {_first_exception(group)}"
                    )
                    print(self.failures[-1], file=sys.stderr)
        return phases

    async def _run_case(self, plan: CasePlan, policy: Policy) -> Phase:
        case = CASES[plan.case]
        context = CaseContext(
            self._fleet,
            self._settings,
            self._clients[policy],
            plan.seconds,
            self._revision,
        )
        await self._fleet.wait_until_stable()
        notes: dict[str, float] = {}
        rate = self._deployment.rate
        # The samples of the warm-up are not used.
        await self._load(policy, rate, self._settings.warm_up_s)
        if plan.case is CaseName.OVERLOAD:
            # The peak goodput has to be measured on leaves with the same
            # service time as during the overload.
            await case.inject(context)
            peak_rate, peak_goodput = await self._find_peak_rate(policy)
            rate = peak_rate * self._settings.overload.factor
            notes = {"peak_rate": peak_rate, "peak_goodput": peak_goodput}
        before = await usage.read_counters(self._fleet, policy)
        start = trio.current_time()
        if plan.case is CaseName.OVERLOAD:
            samples = await self._load(
                policy, rate, plan.seconds, first_service_only=True
            )
        else:
            samples = await self._load_during_fault(
                case.inject, context, policy, rate
            )
        duration_s = max(
            plan.seconds, trio.current_time() - start - LAST_ANSWERS_S
        )
        after = await usage.read_counters(self._fleet, policy)
        await case.cleanup(context)
        self._revision = context.revision
        return Phase(
            deployment=self._deployment.name,
            case=plan.case.value,
            policy=policy.value,
            rate=rate,
            answers=stats.answer_stats(samples, duration_s),
            usage=usage.usage_between(before, after),
            notes=notes,
            seconds=stats.good_share_by_second(samples),
            points=_plot_points(samples),
        )

    async def _load_during_fault(
        self,
        inject: FleetAction,
        context: CaseContext,
        policy: Policy,
        rate: float,
    ) -> list[RequestSample]:
        """Runs the load while a fault is injected; waits for both.

        The load lasts for the duration of the case. If the injection takes
        longer, the load lasts as long, up to MAX_OVERRUN_FACTOR times the
        duration of the case.
        """
        stop = trio.Event()

        async def run_fault() -> None:
            start = trio.current_time()
            await inject(context)
            await trio.sleep_until(start + context.seconds)
            stop.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_fault)
            return await self._load(
                policy, rate, context.seconds * MAX_OVERRUN_FACTOR, stop=stop
            )

    async def _find_peak_rate(self, policy: Policy) -> tuple[float, float]:
        """Returns the rate with the highest goodput, and that goodput.

        The rates tried are the multiples of the unbatched capacity that
        peak_shares lists.
        """
        overload = self._settings.overload
        service = self._deployment.services[0]
        capacity = unbatched_capacity(service, overload.service_ms)
        best = (0.0, 0.0)
        for share in overload.peak_shares:
            rate = capacity * share
            samples = await self._load(
                policy, rate, overload.peak_seconds, first_service_only=True
            )
            goodput = stats.answer_stats(samples, overload.peak_seconds).goodput
            if goodput > best[1]:
                best = (rate, goodput)
        return best

    async def _load(
        self,
        policy: Policy,
        rate: float,
        seconds: float,
        *,
        first_service_only: bool = False,
        stop: trio.Event | None = None,
    ) -> list[RequestSample]:
        # Each load draws its texts and arrival times anew, so the tier and the
        # baseline get different requests with the same distributions.
        self._seed += 1
        services = self._deployment.services
        kinds = request_kinds(
            self._deployment, services[:1] if first_service_only else services
        )
        scheduled = build_schedule(
            kinds, self._query_texts, rate, seconds, self._seed
        )
        return await send_all(self._clients[policy], scheduled, stop)

    def _create_clients(self, addresses: list[str]) -> list[Client]:
        """Returns one client for each VM, in the VM's failure domain."""
        return [
            Caller(addresses, vm.failure_domain, random.Random(number))
            for number, vm in enumerate(self._fleet.vms)
        ]


def _first_exception(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _plot_points(samples: Sequence[RequestSample]) -> list[list[float]]:
    step = max(1, len(samples) // MIN_PLOT_POINTS)
    return [
        [round(s.due_s, 3), round(s.latency_ms, 2), float(s.is_good)]
        for s in samples[::step]
    ]


def _print_phase(phase: Phase) -> None:
    # "good" is the share of requests with a complete answer on time, "top" that
    # of the requests of the highest priority. "sent/needed" is the number of
    # shard calls, with hedges and retries, per shard call needed to answer.
    answers = phase.answers
    print(
        f"{phase.deployment:10} {phase.case:13} {phase.policy:8}"
        f" n={answers.latency.count} p50={answers.latency.p50:.1f}"
        f" p99={answers.latency.p99:.1f} ms"
        f" good={answers.good_share:.2%} top={answers.top_good_share:.2%}"
        f" sent/needed={phase.usage.calls_ratio:.3f}",
        file=sys.stderr,
    )


def git_commit() -> str:
    """Returns the commit of the working directory, or "unknown"."""
    try:
        completed = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--abbrev=10"],
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return completed.stdout.strip()


async def run(settings: BenchSettings, command: str) -> Result:
    """Runs the cases of all deployments and returns the result.

    Errors of the project's types in a case (SapphireError) do not end the run;
    the result lists them as failures.

    Raises:
        FleetError: Before the cases of a deployment, a process of its fleet or
            a baseline did not start, or the fleet did not become stable.
    """
    phases: list[Phase] = []
    failures: list[str] = []
    start_s = trio.current_time()
    started_at = datetime.datetime.now(datetime.UTC)
    commit = git_commit()
    for deployment in settings.deployments:
        async with open_fleet(
            fleet_spec(deployment), preset_roster=True
        ) as fleet:
            for vm in fleet.vms:
                await fleet.start_baseline(vm, settings.baseline_timeout_ms)
            for vm in fleet.vms:
                # The baseline has the same search endpoint as an entry.
                await fleet.wait_entry(vm.baseline)
            await fleet.wait_until_stable(STABLE_AFTER_START_S)
            deployment_run = DeploymentRun(settings, deployment, fleet)
            phases += await deployment_run.run()
            failures += deployment_run.failures
    return Result(
        command=command,
        commit=commit,
        started=started_at.isoformat("T", "seconds"),
        cores=os.cpu_count() or 0,
        seconds=trio.current_time() - start_s,
        phases=phases,
        failures=failures,
    )
