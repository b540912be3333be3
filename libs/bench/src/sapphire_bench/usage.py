"""Readings of counters and processor time around a phase."""

from __future__ import annotations

import os
import pathlib
from dataclasses import dataclass

import trio
from prometheus_client.parser import text_string_to_metric_families

from sapphire_bench.figures import Usage
from sapphire_bench.fleet import Fleet
from sapphire_bench.plan import Policy
from sapphire_bench.process import FleetError

CALLS_SENT = "sapphirecross_shard_calls_sent_total"
CALLS_NEEDED = "sapphirecross_shard_calls_needed_total"
HEDGES = "sapphirecross_hedges_total"
RETRIES = "sapphirecross_retries_total"
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
# Fields of /proc/<pid>/stat after the command's closing bracket.
_UTIME, _STIME = 11, 12
_KB_PER_MB = 1024
_PREFIXES = {
    Policy.TIER: ("entry-", "aggregator-"),
    Policy.BASELINE: ("baseline-",),
}


@dataclass(frozen=True)
class Counts:
    """Counters of one process, which start again with it."""

    calls_sent: float = 0.0
    calls_needed: float = 0.0
    cpu_s: float = 0.0
    hedges: float = 0.0
    retries: float = 0.0


@dataclass(frozen=True)
class Reading:
    """All counters at one time."""

    at: float
    processes: dict[int, Counts]
    platform_calls: int
    falls: int
    crashes: int
    cold: int
    cold_unnoticed: int


def cpu_s(stat: str) -> float:
    """Returns the processor seconds in the text of /proc/<pid>/stat."""
    fields = stat.rpartition(")")[2].split()
    return (int(fields[_UTIME]) + int(fields[_STIME])) / _TICKS_PER_S


def resident_mb(status: str) -> float:
    """Returns the resident memory in the text of /proc/<pid>/status."""
    for line in status.splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / _KB_PER_MB
    return 0.0


def process_memory_mb(pid: int) -> float:
    """Returns the resident memory of a process in MB."""
    return resident_mb(pathlib.Path(f"/proc/{pid}/status").read_text())


def counter(text: str, name: str) -> float:
    """Returns the sum of a counter over its labels."""
    return sum(
        sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == name
    )


def process_cpu_s(pid: int) -> float:
    """Returns the processor seconds of a process; 0 if it has ended."""
    try:
        return cpu_s(pathlib.Path(f"/proc/{pid}/stat").read_text())
    except (FileNotFoundError, ProcessLookupError):
        return 0.0


async def read(fleet: Fleet, policy: Policy) -> Reading:
    """Reads the counters of the policy's daemons and of all stand-ins."""
    processes: dict[int, Counts] = {}
    for vm in fleet.vms:
        address = vm.entry if policy is Policy.TIER else vm.baseline
        name = "entry" if policy is Policy.TIER else "baseline"
        pid = fleet.processes[f"{name}-{vm.name}"].pid
        text = await fleet.metrics(address)
        processes[pid] = Counts(
            counter(text, CALLS_SENT),
            counter(text, CALLS_NEEDED),
            process_cpu_s(pid),
            counter(text, HEDGES),
            counter(text, RETRIES),
        )
    for name, member in fleet.processes.items():
        if name.startswith(_PREFIXES[policy]) and member.pid not in processes:
            processes[member.pid] = Counts(cpu_s=process_cpu_s(member.pid))
    platform = await fleet.record(fleet.platform)
    records = []
    for place in fleet.leaves:
        try:
            records.append(await fleet.record(place.address))
        except FleetError:
            # A leaf that has just crashed refuses connections.
            continue
    return Reading(
        at=trio.current_time(),
        processes=processes,
        platform_calls=sum(platform["calls"].values()),
        falls=sum(r["falls"] for r in records),
        crashes=sum(r["crashes"] for r in records),
        cold=max(r["greatest_cold"] for r in records),
        cold_unnoticed=max(r["greatest_cold_unnoticed"] for r in records),
    )


def difference(before: Reading, after: Reading) -> Usage:
    """Returns the usage between two readings.

    A process that was replaced in between counts from its start; what its
    predecessor used after the first reading is not known. Falls and crashes
    of a leaf process that was replaced are not counted either.
    """
    sent = needed = cpu = hedges = retries = 0.0
    for pid, now in after.processes.items():
        was = before.processes.get(pid, Counts())
        sent += now.calls_sent - was.calls_sent
        needed += now.calls_needed - was.calls_needed
        cpu += now.cpu_s - was.cpu_s
        hedges += now.hedges - was.hedges
        retries += now.retries - was.retries
    return Usage(
        calls_needed=needed,
        calls_sent=sent,
        hedges=hedges,
        retries=retries,
        cpu_s=cpu,
        cold_concurrency=after.cold,
        cold_unnoticed=after.cold_unnoticed,
        falls=max(0, after.falls - before.falls),
        crashes=max(0, after.crashes - before.crashes),
        platform_calls=after.platform_calls - before.platform_calls,
        seconds=after.at - before.at,
        load=os.getloadavg()[0],
    )
