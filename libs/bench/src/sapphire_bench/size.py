"""Time and memory of documents of several sizes."""

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

from sapphire_bench.harness import NEAR, Size, document
from sapphire_bench.slope import Point, note

DOCUMENTS = (100, 1000, 4900)


async def measure_documents() -> list[Point]:
    """Returns points of parsing and adopting documents of some sizes."""
    return [await _document_point(leaves) for leaves in DOCUMENTS]


async def _document_point(leaves: int) -> Point:
    # Half of the leaves are in the daemon's region, as in the target.
    size = Size(leaves=leaves // 2, far_leaves=leaves - leaves // 2)
    stored = StoredDocument(
        revision=1, change_id="c", document=document(size, "127.1", 9000)
    )
    text = stored.model_dump_json()
    parse_ms, adopt_ms = [], []
    for _ in range(5):
        start = time.process_time()
        parsed = parse(StoredDocument, text)
        parse_ms.append((time.process_time() - start) * 1000)
        async with trio.open_nursery() as nursery:
            leaf_set = LeafSet(_context(nursery), NEAR, open_client)
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
        "refresh_rights_ms": refresh_ms,
        "parsed_mb": _memory_mb(lambda: parse(StoredDocument, text)),
        "adopted_mb": await _adopted_mb(parsed),
    }
    return note(Point("document", {"leaves": leaves}, figures))


def _context(nursery: trio.Nursery) -> LeafContext:
    class NoRights:
        """Holds no send right."""

        def right_until(
            self, leaf: str, now: float, failure_domain: str
        ) -> float | None:
            return None

    return LeafContext(
        rights=NoRights(),
        quarantine=Quarantine(600.0),
        nursery=nursery,
        on_crash=lambda: None,
    )


def _memory_mb(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 2**20


async def _adopted_mb(stored: StoredDocument) -> float:
    async with trio.open_nursery() as nursery:

        def adopt() -> LeafSet:
            leaf_set = LeafSet(_context(nursery), NEAR, open_client)
            leaf_set.apply(stored.document)
            return leaf_set

        size = _memory_mb(adopt)
        nursery.cancel_scope.cancel()
    return size
