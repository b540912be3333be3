"""Command line of the soak test."""

from __future__ import annotations

import concurrent.futures
import functools
import sys

import fire

from soak.runner import Result, run_seed


def _print(result: Result) -> None:
    verdict = "FAILED" if result.violations else "passed"
    print(
        f"seed {result.seed}: {verdict}; {len(result.faults)} faults,"
        f" {result.served} of {result.requests} served,"
        f" {result.scheduling_delays} stalls of the machine",
        flush=True,
    )
    if result.violations:
        print("  faults:", ", ".join(result.faults))
        for line in result.violations[:10]:
            print("  ", line, flush=True)


def soak(
    first: int = 1,
    count: int = 50,
    length: float = 15.0,
    jobs: int = 2,
    keep: str | None = None,
) -> None:
    """Runs consecutive seeds; exits with 1 if a guarantee was violated.

    Args:
        first: First seed.
        count: Number of seeds.
        length: Time during which faults are started, in seconds per run.
        jobs: Concurrent runs; each one has ten processes.
        keep: Folder for settings and logs; without it they are removed after
            the run.
    """
    seeds = range(first, first + count)
    run = functools.partial(run_seed, fault_phase_s=length, output_folder=keep)
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
