"""Command line of the soak."""

from __future__ import annotations

import concurrent.futures
import functools
import sys

import fire

from soak.play import Result, play_in_folder


def _print(result: Result) -> None:
    verdict = "BROKEN" if result.broken else "kept"
    print(
        f"seed {result.seed}: {verdict}; {len(result.faults)} faults,"
        f" {result.served} of {result.requests} served,"
        f" {result.stalls} stalls of the machine",
        flush=True,
    )
    if result.broken:
        print("  faults:", ", ".join(result.faults))
        for line in result.broken[:10]:
            print("  ", line, flush=True)


def soak(
    first: int = 1,
    count: int = 50,
    length: float = 15.0,
    jobs: int = 2,
    keep: str | None = None,
) -> None:
    """Plays runs with consecutive seeds; ends with 1 if a promise broke.

    Args:
        first: First seed.
        count: Number of seeds.
        length: Time in which faults begin, in seconds a run.
        jobs: Runs at a time; each one has ten processes.
        keep: Folder for settings and logs; removed after the run if not set.
    """
    seeds = range(first, first + count)
    run = functools.partial(play_in_folder, length_s=length, keep=keep)
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        results = []
        for result in pool.map(run, seeds):
            _print(result)
            results.append(result)
    failed = [result.seed for result in results if result.broken]
    print(f"{len(results) - len(failed)} of {len(results)} seeds kept all")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
