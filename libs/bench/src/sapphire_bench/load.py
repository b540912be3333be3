"""Open-loop load: requests are sent when they are due, answered or not."""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import numpy as np
import trio
from sapphire_core.errors import SapphireError
from sapphire_standins.corpus import WORDS

from sapphire_bench.caller import Answer

K = 10
# The exponent of word popularity in query logs is near 1; numpy needs more.
ZIPF_EXPONENT = 1.3


@dataclass(frozen=True)
class Kind:
    """A kind of request: service, class, deadline and its share."""

    service: str
    request_class: str
    priority: int
    deadline_ms: int
    weight: float


@dataclass(frozen=True)
class Planned:
    """One request of a schedule; due_s counts from the start."""

    due_s: float
    kind: Kind
    text: str


@dataclass(frozen=True)
class Sample:
    """The fate of one request; times are seconds from the start.

    Attributes:
        due_s: When the request was due.
        sent_s: When the client sent it.
        end_s: When the answer was there.
        kind: What was asked.
        status: HTTP status; 0 if no entry answered.
        error: Kind of the typed error, or "".
        complete: Whether the answer covers all shards.
        shards_total: Shards of the pinned map.
        shards_answered: Shards that the answer covers.
        reasons: Why shards are missing, one entry per shard.
    """

    due_s: float
    sent_s: float
    end_s: float
    kind: Kind
    status: int
    error: str
    complete: bool
    shards_total: int
    shards_answered: int
    reasons: tuple[str, ...] = ()

    @property
    def latency_ms(self) -> float:
        """Time from when the request was due to its answer.

        A stall of the client or the tier delays all requests that were due
        meanwhile, and this counts it for each of them.
        """
        return (self.end_s - self.due_s) * 1000

    @property
    def is_good(self) -> bool:
        """Whether the answer was complete and on time."""
        return self.complete and self.latency_ms <= self.kind.deadline_ms


class Client(Protocol):
    """Sends one search, as Caller does."""

    async def search(
        self,
        service: str,
        text: str,
        *,
        request_class: str,
        k: int = 10,
        deadline_ms: int = 1000,
    ) -> Answer:
        """Sends a search."""
        ...


class Texts:
    """Query texts of two words; few are frequent and most are rare."""

    def __init__(self, count: int, seed: int) -> None:
        rng = np.random.default_rng(seed)
        pairs = rng.choice(WORDS, size=(count, 2))
        self._texts = [" ".join(pair) for pair in pairs]

    def draw(self, rng: np.random.Generator, count: int) -> list[str]:
        """Returns texts for a number of requests."""
        ranks = rng.zipf(ZIPF_EXPONENT, size=count) % len(self._texts)
        return [self._texts[rank] for rank in ranks]


def schedule(
    kinds: Sequence[Kind],
    texts: Texts,
    rate: float,
    seconds: float,
    seed: int,
) -> list[Planned]:
    """Returns requests with Poisson arrivals at a rate per second."""
    rng = np.random.default_rng(seed)
    count = int(rate * seconds * 2) + 20
    due = np.cumsum(rng.exponential(1 / rate, size=count))
    due = due[due < seconds]
    weights = np.array([kind.weight for kind in kinds])
    chosen = rng.choice(len(kinds), size=len(due), p=weights / weights.sum())
    drawn = texts.draw(rng, len(due))
    return [
        Planned(float(at), kinds[index], text)
        for at, index, text in zip(due, chosen, drawn, strict=True)
    ]


async def send(
    clients: Sequence[Client],
    planned: Sequence[Planned],
    stop: trio.Event | None = None,
) -> list[Sample]:
    """Sends each request when it is due; returns when all have ended.

    Args:
        clients: Take turns in sending.
        planned: The requests, ordered by due time.
        stop: Ends the load early when set.
    """
    start = trio.current_time()
    samples: list[Sample] = []
    turns = itertools.cycle(clients)
    async with trio.open_nursery() as nursery:
        for item in planned:
            await trio.sleep_until(start + item.due_s)
            if stop is not None and stop.is_set():
                break
            nursery.start_soon(_send_one, next(turns), item, start, samples)
    return sorted(samples, key=lambda sample: sample.due_s)


async def _send_one(
    client: Client, item: Planned, start: float, samples: list[Sample]
) -> None:
    kind = item.kind
    sent_s = trio.current_time() - start
    try:
        answer = await client.search(
            kind.service,
            item.text,
            request_class=kind.request_class,
            k=K,
            deadline_ms=kind.deadline_ms,
        )
    except SapphireError as error:
        answer = Answer(0, {"error": {"kind": error.kind}}, 0, 0.0)
    coverage = answer.body.get("coverage", {})
    samples.append(
        Sample(
            due_s=item.due_s,
            sent_s=sent_s,
            end_s=trio.current_time() - start,
            kind=kind,
            status=answer.status,
            error=answer.error_kind or ("lost" if not answer.status else ""),
            complete=answer.is_complete,
            shards_total=coverage.get("shards_total", 0),
            shards_answered=coverage.get("shards_answered", 0),
            reasons=tuple(
                item["reason"] for item in coverage.get("missing", ())
            ),
        )
    )
