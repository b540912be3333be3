"""Demonstration: searches on a small fleet during an injected fault.

The answers are checked against a single index over all documents.
"""

from __future__ import annotations

import json
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass

import fire
import trio
from sapphire_core.errors import SapphireError
from sapphire_standins.index import single_index_answer

from sapphire_bench.caller import Answer, Caller
from sapphire_bench.fleet import Fleet, open_fleet
from sapphire_bench.spec import DEMO

SERVICE = "toxdesk"
REQUEST_CLASS = "sweep"
TEXTS = ("skin sensitisation study", "tender deadline", "paraben safety")
TOP_K = 10
DEADLINE_MS = 1500
# Time until the searches after a fault; see run_demo().
FAULT_EFFECT_S = 0.3
LOST_SHARD = 0


@dataclass(frozen=True)
class Summary:
    """Summary of the demonstration, printed as one line of JSON.

    Attributes:
        fault: Name of the injected fault.
        complete: Whether every answer covers all shards.
        shards_total: Shards of the index, from the last answer.
        shards_answered: Shards that the last answer covers.
        missing: Numbers of the shards that the last answer does not cover.
        index_version: Index version of the last answer.
        elapsed_ms: Time from the last request to its answer.
        matches_single_index: Whether the matches of every answer are those of a
            single index over all documents.
        attempts: Largest number of requests that a search took.
        expected: Whether the answers are as they should be with this fault.
    """

    fault: str
    complete: bool
    shards_total: int
    shards_answered: int
    missing: list[int]
    index_version: str
    elapsed_ms: float
    matches_single_index: bool
    attempts: int
    expected: bool


Fault = Callable[[Fleet], Awaitable[None]]


async def _no_fault(fleet: Fleet) -> None:
    del fleet


async def _kill_leaf(fleet: Fleet) -> None:
    leaf = next(x for x in fleet.leaves if x.service.name == SERVICE)
    fleet.kill(f"leaf-{leaf.name}")


async def _kill_shard(fleet: Fleet) -> None:
    for leaf in fleet.leaves:
        if leaf.service.name == SERVICE and leaf.shard == LOST_SHARD:
            fleet.kill(f"leaf-{leaf.name}")


async def _kill_entry(fleet: Fleet) -> None:
    fleet.kill(f"entry-{fleet.vms[0].name}")


FAULTS: dict[str, Fault] = {
    "none": _no_fault,
    "leaf-kill": _kill_leaf,
    "shard-loss": _kill_shard,
    "entry-kill": _kill_entry,
}


def matches_reference(answer: Answer, text: str) -> bool:
    """Whether the matches equal those of a single index over all shards."""
    reference = single_index_answer(answer.body["index_version"], text, TOP_K)
    matches = [(m["id"], round(m["score"], 9)) for m in answer.body["matches"]]
    return matches == [(m.id, round(m.score, 9)) for m in reference]


def summarise(fault: str, answers: list[Answer]) -> Summary:
    """Summarises the searches that were sent after the fault."""
    last = answers[-1]
    coverage = last.body["coverage"]
    complete = all(a.is_complete for a in answers)
    missing = [item["shard"] for item in coverage["missing"]]
    matches = all(
        matches_reference(a, t) for a, t in zip(answers, TEXTS, strict=True)
    )
    if fault == "shard-loss":
        expected = not complete and missing == [LOST_SHARD]
    else:
        expected = complete and matches
    return Summary(
        fault=fault,
        complete=complete,
        shards_total=coverage["shards_total"],
        shards_answered=coverage["shards_answered"],
        missing=missing,
        index_version=last.body["index_version"],
        elapsed_ms=round(last.elapsed_s * 1000, 1),
        matches_single_index=matches,
        attempts=max(a.attempts for a in answers),
        expected=expected,
    )


async def run_demo(fault: str) -> Summary:
    """Runs the demonstration with one fault and returns its summary."""
    async with open_fleet(DEMO) as fleet:
        print(f"{len(fleet.processes)} processes are ready.", file=sys.stderr)
        caller = Caller(fleet.entries, DEMO.failure_domains[0])
        await caller.addresses()
        await FAULTS[fault](fleet)
        if fault != "entry-kill":
            # The caller detects a killed entry by itself; other faults need
            # some time to take effect.
            await trio.sleep(FAULT_EFFECT_S)
        answers = []
        for text in TEXTS:
            answer = await caller.search(
                SERVICE,
                text,
                request_class=REQUEST_CLASS,
                k=TOP_K,
                deadline_ms=DEADLINE_MS,
            )
            print(f"{text!r}: HTTP {answer.status}", file=sys.stderr)
            answers.append(answer)
        await caller.aclose()
        return summarise(fault, answers)


async def keep_fleet() -> None:
    """Runs the fleet until SIGINT or SIGTERM, for manual drills."""
    async with open_fleet(DEMO) as fleet:
        daemons = [*fleet.entries, *(vm.admin for vm in fleet.vms)]
        print("The fleet runs until Ctrl-C. In another shell:")
        print(f"export SAPPHIRECROSS_PLATFORM={fleet.platform}")
        print(f"export SAPPHIRECROSS_DAEMONS={','.join(daemons)}", flush=True)
        with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as stops:
            async for _ in stops:
                return


def demo(fault: str = "none", keep: bool = False) -> None:
    """Runs the demonstration.

    Args:
        fault: One of none, leaf-kill, shard-loss and entry-kill.
        keep: Keep the fleet running for manual drills.
    """
    if keep:
        trio.run(keep_fleet)
        return
    if fault not in FAULTS:
        print(f"fault must be one of {', '.join(FAULTS)}.", file=sys.stderr)
        sys.exit(2)
    try:
        summary = trio.run(run_demo, fault)
    except SapphireError as error:
        print(error, file=sys.stderr)
        sys.exit(1)
    print(json.dumps(asdict(summary)))
    sys.exit(0 if summary.expected else 1)


def main() -> None:
    """Entry point of the demonstration."""
    fire.Fire(demo)


if __name__ == "__main__":
    main()
