"""Open-loop load: requests are sent at their due times.

A late answer does not delay the following requests.
"""

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

TOP_K = 10
# The frequency of words in query logs falls with their rank to the power of
# about -1 (Zipf's law); numpy requires an exponent above 1.
ZIPF_EXPONENT = 1.3


@dataclass(frozen=True)
class RequestKind:
    """Service and class of requests, and their weight in the load.

    Attributes:
        service: Name of the service.
        request_class: Name of the request class.
        priority: Priority of the class; 0 is the highest.
        deadline_ms: Deadline of the class.
        weight: Share of the load, relative to the other kinds.
    """

    service: str
    request_class: str
    priority: int
    deadline_ms: int
    weight: float


@dataclass(frozen=True)
class ScheduledRequest:
    """One scheduled request; due_s is in seconds from the start."""

    due_s: float
    kind: RequestKind
    text: str


@dataclass(frozen=True)
class RequestSample:
    """Outcome of one request; times are seconds from the start.

    Attributes:
        due_s: When the request was due.
        sent_s: When the load generator sent it.
        end_s: When the answer arrived.
        kind: Service and class of the request.
        status: HTTP status; 0 if no entry answered.
        error: Kind of the error that the answer names or that the client
            raised, such as "no_address" if it found no entry; "lost" for any
            other request without an answer, "" without an error.
        complete: Whether the answer covers all shards.
        shards_total: Shards in the shard map that the entry pinned, that is,
            uses for the whole query.
        shards_answered: Shards that the answer covers.
        missing_reasons: Why shards are missing, one entry per shard.
    """

    due_s: float
    sent_s: float
    end_s: float
    kind: RequestKind
    status: int
    error: str
    complete: bool
    shards_total: int
    shards_answered: int
    missing_reasons: tuple[str, ...] = ()

    @property
    def latency_ms(self) -> float:
        """Time from when the request was due to its answer.

        Counting from the due time includes stalls of the client or the
        implementation under test in the latency of every request that was due
        during the stall, which avoids coordinated omission.
        """
        return (self.end_s - self.due_s) * 1000

    @property
    def is_good(self) -> bool:
        """Whether the answer was complete and on time."""
        return self.complete and self.latency_ms <= self.kind.deadline_ms


class Client(Protocol):
    """The method of caller.Caller that the load uses; tests substitute it."""

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


class QueryTexts:
    """Query texts of two words with Zipf-distributed frequencies."""

    def __init__(self, count: int, seed: int) -> None:
        rng = np.random.default_rng(seed)
        pairs = rng.choice(WORDS, size=(count, 2))
        self._texts = [" ".join(pair) for pair in pairs]

    def draw(self, rng: np.random.Generator, count: int) -> list[str]:
        """Draws one text for each of count requests."""
        ranks = rng.zipf(ZIPF_EXPONENT, size=count) % len(self._texts)
        return [self._texts[rank] for rank in ranks]


def build_schedule(
    kinds: Sequence[RequestKind],
    texts: QueryTexts,
    rate: float,
    seconds: float,
    seed: int,
) -> list[ScheduledRequest]:
    """Schedules requests with Poisson arrivals at a rate per second."""
    rng = np.random.default_rng(seed)
    # Twice the mean number of arrivals, and some for short loads, so that the
    # arrivals cover the whole duration; later ones are cut off.
    count = int(rate * seconds * 2) + 20
    due = np.cumsum(rng.exponential(1 / rate, size=count))
    due = due[due < seconds]
    weights = np.array([kind.weight for kind in kinds])
    chosen = rng.choice(len(kinds), size=len(due), p=weights / weights.sum())
    drawn = texts.draw(rng, len(due))
    return [
        ScheduledRequest(float(at), kinds[index], text)
        for at, index, text in zip(due, chosen, drawn, strict=True)
    ]


async def send_all(
    clients: Sequence[Client],
    scheduled: Sequence[ScheduledRequest],
    stop: trio.Event | None = None,
) -> list[RequestSample]:
    """Sends each request at its due time and waits for all answers.

    Args:
        clients: Clients that send the requests in round-robin order.
        scheduled: Requests, ordered by due time.
        stop: Ends the load early when set.
    """
    start = trio.current_time()
    samples: list[RequestSample] = []
    client_cycle = itertools.cycle(clients)
    async with trio.open_nursery() as nursery:
        for item in scheduled:
            await trio.sleep_until(start + item.due_s)
            if stop is not None and stop.is_set():
                break
            nursery.start_soon(
                _send_one, next(client_cycle), item, start, samples
            )
    return sorted(samples, key=lambda sample: sample.due_s)


async def _send_one(
    client: Client,
    item: ScheduledRequest,
    start: float,
    samples: list[RequestSample],
) -> None:
    kind = item.kind
    sent_s = trio.current_time() - start
    try:
        answer = await client.search(
            kind.service,
            item.text,
            request_class=kind.request_class,
            k=TOP_K,
            deadline_ms=kind.deadline_ms,
        )
    except SapphireError as error:
        # The caller found no entry to send to, so nothing was answered.
        answer = Answer(0, {"error": {"kind": error.kind}}, 0, 0.0)
    coverage = answer.body.get("coverage", {})
    samples.append(
        RequestSample(
            due_s=item.due_s,
            sent_s=sent_s,
            end_s=trio.current_time() - start,
            kind=kind,
            status=answer.status,
            error=answer.error_kind or ("lost" if not answer.status else ""),
            complete=answer.is_complete,
            shards_total=coverage.get("shards_total", 0),
            shards_answered=coverage.get("shards_answered", 0),
            missing_reasons=tuple(
                item["reason"] for item in coverage.get("missing", ())
            ),
        )
    )
