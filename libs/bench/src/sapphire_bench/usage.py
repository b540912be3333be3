"""Readings of counters and CPU time before and after a phase.

A phase is one case of the load tool under one policy. The module stats
describes the values.
"""

from __future__ import annotations

import os
import pathlib
from dataclasses import dataclass

import trio
from prometheus_client.parser import text_string_to_metric_families

from sapphire_bench.fleet import Fleet
from sapphire_bench.plan import Policy
from sapphire_bench.process import FleetError
from sapphire_bench.stats import Usage

CALLS_SENT = "sapphirecross_shard_calls_sent_total"
CALLS_NEEDED = "sapphirecross_shard_calls_needed_total"
HEDGES = "sapphirecross_hedges_total"
RETRIES = "sapphirecross_retries_total"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Field indexes in /proc/<pid>/stat, counted after the closing parenthesis of
# the command name.
_UTIME, _STIME = 11, 12
_KB_PER_MB = 1024
# Start of the names of the processes that belong to a policy.
_PROCESS_NAME_PREFIXES = {
    Policy.TIER: ("entry-", "aggregator-"),
    Policy.BASELINE: ("baseline-",),
}


@dataclass(frozen=True)
class ProcessCounters:
    """Counters of one process; they restart at zero with the process.

    Attributes:
        calls_sent: Shard calls sent, hedges and retries included.
        calls_needed: Shard calls needed to answer, one for each shard of each
            query.
        cpu_s: CPU time in seconds.
        hedges: Hedged shard calls.
        retries: Repeated shard calls.
    """

    calls_sent: float = 0.0
    calls_needed: float = 0.0
    cpu_s: float = 0.0
    hedges: float = 0.0
    retries: float = 0.0


@dataclass(frozen=True)
class CounterReading:
    """Counters of a fleet at one point in time.

    Attributes:
        time_s: Time of the reading, on trio's clock.
        processes: Counters of the daemons of the policy by process id.
        platform_calls: Calls to the platform by all daemons of the fleet.
        falls: Number of outages of single leaves because of too many concurrent
            calls while cold, summed over all leaves.
        crashes: Number of crashes of single leaves, summed over all leaves.
        greatest_cold: Largest number of concurrent calls on any cold leaf.
        greatest_cold_unnoticed: Largest number of concurrent calls on any leaf
            that was made cold without an outage, until a call that arrived
            after that has finished.
    """

    time_s: float
    processes: dict[int, ProcessCounters]
    platform_calls: int
    falls: int
    crashes: int
    greatest_cold: int
    greatest_cold_unnoticed: int


def parse_cpu_s(stat: str) -> float:
    """Returns the CPU seconds in the text of /proc/<pid>/stat."""
    fields = stat.rpartition(")")[2].split()
    return (int(fields[_UTIME]) + int(fields[_STIME])) / _TICKS_PER_S


def parse_resident_mb(status: str) -> float:
    """Returns the resident memory in MB in the text of /proc/<pid>/status."""
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0


def process_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    return parse_resident_mb(pathlib.Path(f"/proc/{pid}/status").read_text())


def sum_counter(text: str, name: str) -> float:
    """Returns the sum of a counter over all label values.

    Args:
        text: Metrics in the Prometheus text format.
        name: Name of the counter.
    """
    return sum(
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == name
    )


def process_cpu_s(pid: int) -> float:
    """Returns the CPU seconds of a process; 0 if it has ended."""
    try:
        return parse_cpu_s(pathlib.Path(f"/proc/{pid}/stat").read_text())
    except (FileNotFoundError, ProcessLookupError):
        return 0.0


async def read_counters(fleet: Fleet, policy: Policy) -> CounterReading:
    """Reads the counters of a policy's daemons, the platform and leaves.

    Leaves that do not answer are left out.

    Raises:
        FleetError: A daemon or the platform did not answer.
    """
    processes: dict[int, ProcessCounters] = {}
    for vm in fleet.vms:
        address = vm.entry if policy is Policy.TIER else vm.baseline
        daemon = "entry" if policy is Policy.TIER else "baseline"
        pid = fleet.processes[f"{daemon}-{vm.name}"].pid
        text = await fleet.metrics(address)
        processes[pid] = ProcessCounters(
            sum_counter(text, CALLS_SENT),
            sum_counter(text, CALLS_NEEDED),
            process_cpu_s(pid),
            sum_counter(text, HEDGES),
            sum_counter(text, RETRIES),
        )
    for name, process in fleet.processes.items():
        if (
            name.startswith(_PROCESS_NAME_PREFIXES[policy])
            and process.pid not in processes
        ):
            processes[process.pid] = ProcessCounters(
                cpu_s=process_cpu_s(process.pid)
            )
    platform = await fleet.record(fleet.platform)
    records = []
    for leaf in fleet.leaves:
        try:
            records.append(await fleet.record(leaf.address))
        except FleetError:
            # The leaf did not answer, for example because its process ended.
            continue
    return CounterReading(
        time_s=trio.current_time(),
        processes=processes,
        platform_calls=sum(platform["calls"].values()),
        falls=sum(r["falls"] for r in records),
        crashes=sum(r["crashes"] for r in records),
        greatest_cold=max(r["greatest_cold"] for r in records),
        greatest_cold_unnoticed=max(
            r["greatest_cold_unnoticed"] for r in records
        ),
    )


def usage_between(before: CounterReading, after: CounterReading) -> Usage:
    """Returns the usage between two readings.

    A process that was replaced between the readings counts from its start;
    usage of its predecessor after the first reading is unknown. Outages and
    crashes of a replaced leaf process are not counted either; those that it had
    before the first reading reduce the difference, which is 0 at least.

    The largest numbers of concurrent calls on cold leaves are those of the
    second reading, since a leaf reports them since its start. The load is the
    machine's load average over one minute.
    """
    sent = needed = cpu = hedges = retries = 0.0
    for pid, later in after.processes.items():
        earlier = before.processes.get(pid, ProcessCounters())
        sent += later.calls_sent - earlier.calls_sent
        needed += later.calls_needed - earlier.calls_needed
        cpu += later.cpu_s - earlier.cpu_s
        hedges += later.hedges - earlier.hedges
        retries += later.retries - earlier.retries
    return Usage(
        calls_needed=needed,
        calls_sent=sent,
        hedges=hedges,
        retries=retries,
        cpu_s=cpu,
        cold_concurrency=after.greatest_cold,
        cold_unnoticed=after.greatest_cold_unnoticed,
        falls=max(0, after.falls - before.falls),
        crashes=max(0, after.crashes - before.crashes),
        platform_calls=after.platform_calls - before.platform_calls,
        seconds=after.time_s - before.time_s,
        load=os.getloadavg()[0],
    )
