"""Command line of the soak test.

A run starts gateway processes, injects random faults chosen from a seed and
checks the guarantees of guarantees.py.
"""

from __future__ import annotations

import concurrent.futures
import functools
import sys

import fire

from soak.faults import FAULTS
from soak.runner import Result, run_seed

MAX_PRINTED_VIOLATIONS = 10


def _print(result: Result) -> None:
    verdict = "FAILED" if result.violations else "passed"
    print(
        f"seed {result.seed}: {verdict}; {len(result.faults)} injected faults,"
        f" {result.served} of {result.requests} requests served,"
        f" {result.scheduling_delays} stalls of the machine",
        flush=True,
    )
    if result.violations:
        print("  injected faults:", ", ".join(result.faults))
        for line in result.violations[:MAX_PRINTED_VIOLATIONS]:
            print("  ", line, flush=True)


def soak(
    first: int = 1,
    count: int = 50,
    length: float = 15.0,
    jobs: int = 2,
    keep: str | None = None,
    faults: str | None = None,
) -> None:
    """Runs consecutive seeds; exits with 1 if a guarantee was violated.

    Prints a line for each run, and the first violations of a failed one. A
    request counts as served if it was answered with status 200. A stall of the
    machine is a delay of the test process itself.

    Args:
        first: First seed.
        count: Number of seeds.
        length: Time in seconds during which a run starts faults. The run ends
            some time after the last fault, to check that the gateways recover.
        jobs: Concurrent runs; each one has nine gateway processes and the
            process that runs the rest of the test.
        keep: Folder in which the gateways' settings and logs are kept; without
            it they are removed after the run.
        faults: Names of the faults to choose from, separated by commas; all by
            default.
    """
    # Fire turns a list of words into a tuple.
    names = faults.split(",") if isinstance(faults, str) else faults
    seeds = range(first, first + count)
    run = functools.partial(
        run_seed,
        fault_phase_s=length,
        output_folder=keep,
        fault_names=tuple(names or FAULTS),
    )
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = []
        for result in pool.map(run, seeds):
            _print(result)
            results.append(result)
    failed = [result.seed for result in results if result.violations]
    print(f"{len(results) - len(failed)} of {len(results)} seeds passed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
