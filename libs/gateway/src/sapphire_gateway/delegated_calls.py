"""Calls that one VM makes for another, beside the leaves.

An entry asks a VM of another failure domain to call the leaves there. The
helper answers when all replies are in, or shortly before the entry would send
second calls; what is still running then is asked for once more. Each part is
called once by the helper; second calls, retries and the budget stay with the
entry.
"""

from __future__ import annotations

import functools
import itertools
from collections.abc import Callable, Collection, Mapping

import msgspec
import trio
from sapphire_core.delegation import assign
from sapphire_core.fanout import Failure
from sapphire_core.members import Member

from sapphire_gateway import telemetry
from sapphire_gateway.calls import CallEnd
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.httpclient import HttpClient, NoReplyError
from sapphire_gateway.leafcalls import (
    CallTerms,
    Choice,
    Expectations,
    LeafCaller,
)
from sapphire_gateway.messages import Answer, Reply, Request
from sapphire_gateway.records import greatest

CALLS_PATH = "/calls"
REST_PATH = "/rest"
CONTENT_TYPE = "application/msgpack"
OK = 200
# The helper's answer has to arrive before the entry sends second calls.
EARLIER_S = 0.002
# An entry that has no answer this long after that time sends second calls.
PATIENCE_S = 0.004
# A helper that is silent this much longer than asked for has failed.
SILENCE_S = 0.05
# A helper that failed is not asked again for this time.
AVOID_S = 5.0
# A VM that has not heard from the store for this time might call leaves that
# have left, so it helps nobody.
MAX_AGE_S = 2.5
MS_PER_S = 1000.0


class Question(msgspec.Struct, array_like=True):
    """What an entry asks for.

    Attributes:
        route: Name of the route; calls of one route take similar times.
        head: Request line and headers for the leaves.
        body: Body for the leaves.
        request_id: Identity that replies must repeat.
        fingerprint: Equal for equal requests of one caller.
        parts: Services to call, one leaf of each.
        target_ms: Time that the whole request has.
        left_ms: Time that the leaves may take.
        answer_ms: When to answer with what is in.
        rest_ms: When to answer with the rest.
        top: Records that the merge keeps.
    """

    route: str
    head: bytes
    body: bytes
    request_id: bytes
    fingerprint: str
    parts: list[str]
    target_ms: float
    left_ms: float
    answer_ms: float
    rest_ms: float
    top: int


class RestQuestion(msgspec.Struct, array_like=True):
    """Asks for the parts that were still running."""

    number: int
    wait_ms: float


class DonePart(msgspec.Struct, array_like=True):
    """A part with a good reply."""

    part: str
    signature: bytes
    records: bytes


class FailedPart(msgspec.Struct, array_like=True):
    """A part whose call ended without a good reply."""

    part: str
    leaf_id: str
    failure: str
    detail: str
    was_sent: bool


class RunningPart(msgspec.Struct, array_like=True):
    """A part whose leaf has not answered yet."""

    part: str
    leaf_id: str


class HelperAnswer(msgspec.Struct, array_like=True):
    """What a helper has of the parts.

    Attributes:
        number: Names the rest, if parts are running.
        merged: Greatest records of all done parts, if they were merged; the
            parts have no records of their own then.
    """

    number: int
    done: list[DonePart]
    failed: list[FailedPart]
    running: list[RunningPart]
    merged: bytes = b""


_QUESTION = msgspec.msgpack.Decoder(Question)
_REST = msgspec.msgpack.Decoder(RestQuestion)
_ANSWER = msgspec.msgpack.Decoder(HelperAnswer)


class _Batch:
    """The calls that a helper makes for one question."""

    def __init__(self, question: Question, fleet: Fleet) -> None:
        self._top = question.top
        self._signature = fleet.dialect.signature.lower()
        self._running: dict[str, str] = {}
        self._done: list[tuple[str, Reply]] = []
        self._failed: list[FailedPart] = []
        self._idle = trio.Event()
        self._news = trio.Event()
        self.ends_at = trio.current_time() + question.left_ms / MS_PER_S

    def start(self, parts: list[str], caller: LeafCaller) -> None:
        """Sends the calls."""
        now = trio.current_time()
        telemetry.HELPED_CALLS.inc(len(parts))
        chosen: list[tuple[str, Choice]] = []
        for part in parts:
            choice = caller.choose(part, (), now)
            if choice is None:
                kind = Failure.NOT_RUN.value
                self._failed.append(
                    FailedPart(part, "", kind, "no leaf", was_sent=False)
                )
            else:
                chosen.append((part, choice))
                self._running[part] = choice.entry.leaf_id
        if not chosen:
            self._idle.set()
        for part, choice in chosen:
            caller.send(choice, functools.partial(self._ended, part), now)

    async def wait(self, seconds: float) -> None:
        """Waits until all calls have ended, for a time at the most."""
        with trio.move_on_after(max(0.0, seconds)):
            await self._idle.wait()

    async def wait_for_news(self, seconds: float) -> None:
        """Waits until a call has ended since the last answer."""
        if self._done or self._failed:
            return
        self._news = trio.Event()
        with trio.move_on_after(max(0.0, seconds)):
            await self._news.wait()

    def take(self, number: int, is_merged: bool) -> HelperAnswer:
        """Returns what came in since the last time."""
        done, self._done = self._done, []
        failed, self._failed = self._failed, []
        answer = HelperAnswer(
            number if self._running else 0,
            [
                DonePart(
                    part,
                    reply.get(self._signature) or b"",
                    b"" if is_merged else greatest([reply.body], self._top),
                )
                for part, reply in done
            ],
            failed,
            [RunningPart(*item) for item in self._running.items()],
        )
        if is_merged:
            answer.merged = greatest((r.body for _, r in done), self._top)
        return answer

    def _ended(self, part: str, end: CallEnd) -> None:
        leaf_id = self._running.pop(part)
        if end.failure is None and end.reply is not None:
            self._done.append((part, end.reply))
        else:
            failure = end.failure or Failure.LOST
            self._failed.append(
                FailedPart(
                    part, leaf_id, failure.value, end.detail, end.was_sent
                )
            )
        self._news.set()
        if not self._running:
            self._idle.set()


class HelperServer:
    """Answers the questions of entries in other failure domains."""

    def __init__(
        self, fleet: Fleet, contact_age_s: Callable[[], float]
    ) -> None:
        """Prepares to help.

        Args:
            fleet: Leaves and their connections.
            contact_age_s: Returns the seconds since the store was heard of.
        """
        self._fleet = fleet
        self._contact_age_s = contact_age_s
        self._expectations = Expectations()
        self._batches: dict[int, _Batch] = {}
        self._numbers = itertools.count(1)

    async def answer(self, request: Request) -> Answer:
        """Makes calls, or returns what was still running."""
        try:
            if request.target == CALLS_PATH.encode():
                return await self._call(_QUESTION.decode(request.body))
            if request.target == REST_PATH.encode():
                return await self._rest(_REST.decode(request.body))
        except msgspec.DecodeError as error:
            telemetry.event("question_unreadable", error=str(error))
            return Answer(400, [])
        return Answer(404, [])

    async def _call(self, question: Question) -> Answer:
        if self._contact_age_s() > MAX_AGE_S:
            return Answer(503, [])
        now = trio.current_time()
        self._forget_late(now)
        batch = _Batch(question, self._fleet)
        terms = CallTerms(
            question.head,
            question.body,
            question.request_id,
            question.fingerprint,
            is_to_head=False,
            is_repeatable=True,
            target_s=question.target_ms / MS_PER_S,
            ends_at=batch.ends_at,
            longest_s=question.left_ms / MS_PER_S,
        )
        expects = self._expectations.of((question.route,), terms.target_s)
        batch.start(question.parts, LeafCaller(self._fleet, terms, expects))
        await batch.wait(question.answer_ms / MS_PER_S)
        number = next(self._numbers)
        answer = batch.take(number, is_merged=True)
        if answer.running:
            self._batches[number] = batch
        return _encoded(answer)

    async def _rest(self, question: RestQuestion) -> Answer:
        batch = self._batches.pop(question.number, None)
        if batch is None:
            return Answer(404, [])
        began = trio.current_time()
        wait_s = question.wait_ms / MS_PER_S
        await batch.wait_for_news(wait_s)
        is_over = trio.current_time() - began >= wait_s
        answer = batch.take(0 if is_over else question.number, is_merged=False)
        if answer.number:
            self._batches[question.number] = batch
        return _encoded(answer)

    def _forget_late(self, now: float) -> None:
        late = [n for n, batch in self._batches.items() if batch.ends_at < now]
        for number in late:
            del self._batches[number]


def _encoded(answer: HelperAnswer) -> Answer:
    headers = [(b"Content-Type", CONTENT_TYPE.encode())]
    return Answer(OK, headers, msgspec.msgpack.encode(answer))


class HelperPool:
    """The VMs that an entry may ask, and their connections."""

    def __init__(self, fleet: Fleet, nursery: trio.Nursery) -> None:
        self._fleet = fleet
        self._nursery = nursery
        self._clients: dict[str, HttpClient] = {}
        self._avoided: dict[str, float] = {}
        self._turn = 0

    def assign(
        self, far: Mapping[str, Collection[str]], now: float
    ) -> list[tuple[Member, list[str]]]:
        """Returns whom to ask for which parts."""
        by_domain: dict[str, list[Member]] = {}
        for member in self._fleet.serving(now):
            is_usable = (
                member.peer_address
                and member.domain != self._fleet.domain
                and self._avoided.get(member.name, 0.0) <= now
            )
            if is_usable:
                by_domain.setdefault(member.domain, []).append(member)
        self._turn += 1
        return [
            (by_domain[domain][self._turn % len(by_domain[domain])], parts)
            for domain, parts in assign(far, by_domain, self._turn).items()
        ]

    def ask(self, exchange: Exchange) -> None:
        """Starts an exchange in the background."""
        self._nursery.start_soon(exchange.run, self._client(exchange.helper))

    def failed(self, helper: Member, detail: str) -> None:
        """Notes that a helper did not answer."""
        self._avoided[helper.name] = trio.current_time() + AVOID_S
        telemetry.event("helper_lost", member=helper.name, error=detail)

    def _client(self, helper: Member) -> HttpClient:
        client = self._clients.get(helper.peer_address)
        if client is None:
            client = HttpClient(helper.peer_address)
            client.start(self._nursery)
            self._clients[helper.peer_address] = client
        return client


class Exchange:
    """One question to a helper, with its rest."""

    def __init__(
        self,
        helper: Member,
        question: Question,
        on_answer: Callable[[Exchange, HelperAnswer], None],
        on_lost: Callable[[Exchange, NoReplyError], None],
    ) -> None:
        """Prepares a question.

        Args:
            helper: Whom to ask.
            question: What to ask.
            on_answer: Called with each answer.
            on_lost: Called if an answer does not come; no other follows.
        """
        self.helper = helper
        self.question = question
        # Parts that the helper has not answered for.
        self.left = set(question.parts)
        self._on_answer = on_answer
        self._on_lost = on_lost

    async def run(self, client: HttpClient) -> None:
        """Asks, and asks for each later part as soon as it is in."""
        began = trio.current_time()
        question = self.question
        wait_s = question.answer_ms / MS_PER_S + SILENCE_S
        try:
            answer = await self._ask(client, CALLS_PATH, question, wait_s)
            self._on_answer(self, answer)
            ends_at = began + question.rest_ms / MS_PER_S
            while answer.number:
                left_s = max(0.0, ends_at - trio.current_time())
                rest = RestQuestion(answer.number, left_s * MS_PER_S)
                wait_s = left_s + SILENCE_S
                answer = await self._ask(client, REST_PATH, rest, wait_s)
                self._on_answer(self, answer)
        except NoReplyError as error:
            self._on_lost(self, error)

    async def _ask(
        self, client: HttpClient, path: str, question: object, wait_s: float
    ) -> HelperAnswer:
        content = msgspec.msgpack.encode(question)
        reply = await client.ask("POST", path, wait_s, content, CONTENT_TYPE)
        if reply.status != OK:
            raise NoReplyError(
                f"{self.helper.name} answered {reply.status}.",
                was_sent=path != CALLS_PATH,
            )
        try:
            return _ANSWER.decode(reply.body)
        except msgspec.DecodeError as error:
            raise NoReplyError(f"unreadable answer: {error}.") from error
