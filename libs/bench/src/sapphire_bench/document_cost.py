"""CPU time and memory that deployment documents of several sizes take.

Parsing is part of every daemon. Adopting a document means to update the set of
leaves of an aggregator.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable

import trio
from sapphire_aggregator.context import LeafContext, open_client
from sapphire_aggregator.leaves import LeafSet
from sapphire_config.document import StoredDocument, parse
from sapphire_core.quarantine import Quarantine

from sapphire_bench.slope import Point, print_point
from sapphire_bench.stub_fleet import LOCAL_REGION, FleetSize, build_document

LEAF_COUNTS = (100, 1000, 4900)


async def measure_documents() -> list[Point]:
    """Measures parsing and applying a document at each leaf count."""
    return [await _document_point(leaves) for leaves in LEAF_COUNTS]


async def _document_point(leaves: int) -> Point:
    # Half of the leaves are in the aggregator's region, as in the target
    # deployment.
    size = FleetSize(leaves=leaves // 2, remote_leaves=leaves - leaves // 2)
    stored = StoredDocument(
        revision=1, change_id="c", document=build_document(size, "127.1", 9000)
    )
    text = stored.model_dump_json()
    parse_ms, adopt_ms = [], []
    for _ in range(5):
        start = time.process_time()
        parsed = parse(StoredDocument, text)
        parse_ms.append((time.process_time() - start) * 1000)
        async with trio.open_nursery() as nursery:
            leaf_set = LeafSet(_context(nursery), LOCAL_REGION, open_client)
            start = time.process_time()
            leaf_set.apply(parsed.document)
            adopt_ms.append((time.process_time() - start) * 1000)
            start = time.process_time()
            leaf_set.refresh_rights()
            refresh_ms = (time.process_time() - start) * 1000
            nursery.cancel_scope.cancel()
    figures = {
        "bytes": float(len(text)),
        "parse_ms": min(parse_ms),
        "adopt_ms": min(adopt_ms),
        # Of the last repetition only.
        "refresh_rights_ms": refresh_ms,
        "parsed_mb": _memory_mb(lambda: parse(StoredDocument, text)),
        "adopted_mb": await _adopted_mb(parsed),
    }
    return print_point(Point("document", {"leaves": leaves}, figures))


def _context(nursery: trio.Nursery) -> LeafContext:
    class NoSendRights:
        """Grants no send right."""

        def right_until(
            self, leaf: str, now: float, failure_domain: str
        ) -> float | None:
            return None

    return LeafContext(
        rights=NoSendRights(),
        quarantine=Quarantine(600.0),
        nursery=nursery,
        on_crash=lambda: None,
    )


def _memory_mb(create: Callable[[], object]) -> float:
    """Returns the memory that a new object takes, in MB."""
    gc.collect()
    tracemalloc.start()
    # Referenced until the memory is read.
    created = create()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return size / 2**20


async def _adopted_mb(stored: StoredDocument) -> float:
    async with trio.open_nursery() as nursery:

        def adopt() -> LeafSet:
            leaf_set = LeafSet(_context(nursery), LOCAL_REGION, open_client)
            leaf_set.apply(stored.document)
            return leaf_set

        size = _memory_mb(adopt)
        nursery.cancel_scope.cancel()
    return size
