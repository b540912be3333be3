"""At-most-once execution of submissions, based on claims in the platform.

A claim is the platform's record for one idempotency key of a service. With it,
a request reserves the execution of the submission before it sends anything; the
outcome is stored in it. `sapphire_core.claim` has the state machine.
"""

from __future__ import annotations

import json
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

import trio
from sapphire_core import claim
from sapphire_core.claim import (
    Claim,
    Event,
    Found,
    Read,
    Submission,
    Wait,
    Write,
)
from sapphire_core.errors import (
    ChannelError,
    NotReadyError,
    PlatformUnavailableError,
    WriteConflictError,
)
from sapphire_core.rendezvous import ranking
from sapphire_core.shardmap import Replica
from sapphire_wire.channel import Channel
from sapphire_wire.gen.ttypes import Frame, Submit, SubmitReply
from sapphire_wire.platform import VersionedValue, join_key

from sapphire_entry import metrics
from sapphire_entry.views import AggregatorPool

HOP_ALLOWANCE_MS = 1.0
# Maximum number of leaves to try if a submission can't be sent to a leaf; each
# of them requires a new claim.
MAX_LEAVES_TRIED = 3
# Maximum number of concurrent watches on claims of other requests. Requests
# beyond it poll the claim at the interval below.
MAX_WATCHES = 6
CLAIM_POLL_INTERVAL_S = 0.25
# Backoff after a failed call to the platform.
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 5.0
# An outcome that arrives after the response is still stored if it arrives
# within this time after the response was due.
LATE_OUTCOME_TIMEOUT_S = 10.0


class KeyValueStore(Protocol):
    """The subset of the platform client's interface that is used here."""

    async def get(self, key: str) -> VersionedValue:
        """Reads a key."""
        ...

    async def put(self, key: str, value: str, expect: int) -> int:
        """Writes a key with compare-and-swap."""
        ...

    async def watch(self, key: str, after: int) -> VersionedValue:
        """Waits for a newer version of a key."""
        ...


@dataclass(frozen=True, slots=True)
class SubmitTask:
    """A validated submit request.

    Attributes:
        service: Name of the service.
        idempotency_key: Idempotency key chosen by the caller.
        body: Canonical JSON text of the body.
        leaves: Addresses of the leaves that are in service.
        answer_at: Time in seconds at which the response is due.
    """

    service: str
    idempotency_key: str
    body: str
    leaves: list[str]
    answer_at: float


@dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a submission, and whether this request executed it."""

    outcome: Any
    first: bool


class _ReplySlot:
    """Holds the reply to a Submit, or None if the channel was lost.

    Implements ReplySink, whose methods are called by the channel.
    """

    def __init__(self) -> None:
        self._event = trio.Event()
        self._frame: Any = None

    def send_nowait(self, value: Any, /) -> None:
        """Stores the reply frame that the channel has received."""
        self._frame = value
        self._event.set()

    def close(self) -> None:
        """Ends the wait after the loss of the channel."""
        self._event.set()

    async def receive(self) -> Any:
        """Waits for the reply frame; returns None if the channel is lost."""
        await self._event.wait()
        return self._frame


class Submitter:
    """Runs submissions; background work runs in the given nursery."""

    def __init__(
        self,
        pool: AggregatorPool,
        platform: KeyValueStore,
        watcher: KeyValueStore,
        nursery: trio.Nursery,
        rng: Random,
    ) -> None:
        """Creates a submitter.

        Args:
            pool: Provides the holder of each leaf.
            platform: Client for reads and writes of claims.
            watcher: Separate client for long-polling watches, which would
                otherwise occupy the connections needed for writes.
            nursery: Runs the work that remains after a response.
            rng: Adds jitter to pauses.
        """
        self._pool = pool
        self._platform = platform
        self._watcher = watcher
        self._nursery = nursery
        self._rng = rng
        self._watch_count = 0
        self._background_count = 0
        self._idle = trio.Event()

    async def wait_idle(self) -> None:
        """Waits until the claims of all answered requests are up to date."""
        while self._background_count:
            self._idle = trio.Event()
            await self._idle.wait()

    async def run(self, task: SubmitTask) -> Result:
        """Runs a submission.

        If the holder of the leaf refuses before it sends the submission, or if
        the channel to the holder has failed, another leaf is tried under a new
        claim. Nothing is retried once the submission may have been sent.

        Raises:
            SapphireError: There is no outcome; its attribute run says whether
                the submission was executed.
        """
        excluded: set[str] = set()
        while True:
            attempt = _Attempt(self, task, excluded)
            answer = await attempt.run()
            # If nothing was sent, the follow-up releases the claim. It must be
            # performed before the next attempt can claim the submission.
            try_next_leaf = (
                attempt.has_excluded_leaf
                and len(excluded) < MAX_LEAVES_TRIED
                and answer.follow_up is not None
            )
            if not try_next_leaf:
                if answer.follow_up is not None:
                    self._finish_in_background(attempt, answer.follow_up)
                return _result(answer)
            metrics.RETRIES.labels(task.service).inc()
            with trio.move_on_at(task.answer_at) as scope:
                await attempt.finish(answer.follow_up)
            if scope.cancelled_caught:
                self._finish_in_background(attempt, answer.follow_up)
                return _result(answer)

    def choose_leaf(
        self, task: SubmitTask, excluded: set[str]
    ) -> tuple[Replica, Channel] | None:
        """Returns the first reachable leaf in rendezvous order of the key."""
        replicas = self._pool.table.replicas(task.service)
        for leaf in ranking(task.idempotency_key, task.leaves):
            replica = replicas.get(leaf)
            if replica is None or leaf in excluded or not replica.is_usable:
                continue
            peer = self._pool.peer(replica.holder or "")
            channel = peer.current_channel if peer is not None else None
            if channel is not None:
                return replica, channel
        return None

    async def read(self, claim_key: str) -> Event:
        """Reads a claim."""
        try:
            return _found_event(await self._platform.get(claim_key))
        except (PlatformUnavailableError, ValueError, KeyError, TypeError):
            await self._pause(INITIAL_BACKOFF_S)
            return claim.Unavailable()

    async def write(self, claim_key: str, action: Write) -> Event:
        """Writes a claim."""
        try:
            version = await self._platform.put(
                claim_key, action.claim.to_json(), action.expect
            )
        except WriteConflictError as error:
            return claim.Conflict(error.current)
        except PlatformUnavailableError:
            return claim.Unavailable()
        except Exception:
            # After any other error, the write may have taken effect or may do
            # so later. WriteLost means that this is unknown.
            await self._pause(INITIAL_BACKOFF_S)
            return claim.WriteLost()
        return claim.Written(version)

    async def wait(self, claim_key: str, after: int) -> Event:
        """Waits for a change of a claim, for a limited time."""
        if self._watch_count >= MAX_WATCHES:
            await self._pause(CLAIM_POLL_INTERVAL_S)
            return await self.read(claim_key)
        self._watch_count += 1
        try:
            return _found_event(await self._watcher.watch(claim_key, after))
        except (PlatformUnavailableError, ValueError, KeyError, TypeError):
            await self._pause(CLAIM_POLL_INTERVAL_S)
            return claim.Unavailable()
        finally:
            self._watch_count -= 1

    async def _pause(self, seconds: float) -> None:
        await trio.sleep(seconds * (1 + self._rng.random() / 2))

    def _finish_in_background(
        self, attempt: _Attempt, action: Write | Read | None
    ) -> None:
        self.start_background(lambda: attempt.finish(action))

    def start_background(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs the remaining work of an answered submission."""
        self._background_count += 1
        self._nursery.start_soon(self._run_in_background, work)

    async def _run_in_background(
        self, work: Callable[[], Awaitable[None]]
    ) -> None:
        try:
            await work()
        except Exception:
            # An unchanged claim keeps other requests with the same key from
            # dispatching the submission a second time.
            metrics.UNEXPECTED_ERRORS.inc()
        finally:
            self._background_count -= 1
            if not self._background_count:
                self._idle.set()


class _Attempt:
    """An attempt to run a submission: one claim, at most one dispatch."""

    def __init__(
        self, submitter: Submitter, task: SubmitTask, excluded: set[str]
    ) -> None:
        self._submitter = submitter
        self._task = task
        self._excluded = excluded
        self._claim_key = join_key(
            ["claims", task.service, task.idempotency_key]
        )
        digest = claim.body_hash(task.body)
        self._state_machine = Submission(uuid.uuid4().hex, digest)
        self._reply: _ReplySlot | None = None
        self.has_excluded_leaf = False

    async def run(self) -> claim.Answer:
        """Runs until there is a response for the caller."""
        action: claim.Action | None
        action = self._state_machine.start(trio.current_time())
        while not isinstance(action, claim.Answer):
            event: Event | None = None
            with trio.move_on_at(self._task.answer_at):
                event = await self._perform(action)
            if event is None:
                event = self._deadline_event()
            action = self._state_machine.handle(event, trio.current_time())
        if self._state_machine.phase is claim.Phase.UNKNOWN and self._reply:
            self._submitter.start_background(self._store_late_outcome)
        return action

    async def finish(self, action: claim.Action | None) -> None:
        """Stores the outcome in the claim, or releases the claim.

        Retries for as long as the platform is down.
        """
        backoff_s = INITIAL_BACKOFF_S
        while action is not None:
            event = await self._perform(action)
            if isinstance(event, claim.Unavailable | claim.WriteLost):
                await self._submitter._pause(backoff_s)
                backoff_s = min(backoff_s * 2, MAX_BACKOFF_S)
            action = self._state_machine.handle(event, trio.current_time())

    def _deadline_event(self) -> Event:
        if self._reply is not None:
            # The submission was sent and its outcome is not known yet. It may
            # still arrive; `_store_late_outcome` then stores it.
            return claim.OutcomeLost()
        if self._state_machine.phase is claim.Phase.CLAIMED:
            # The claim was made and nothing was sent. After NotSent, the state
            # machine releases the claim and answers the caller with this error.
            return claim.NotSent(NotReadyError("the deadline passed."))
        return claim.DeadlinePassed()

    async def _perform(self, action: claim.Action | None) -> Event:
        """Performs an action of the state machine.

        The state machine returns None only after the response, and finish
        does not pass it on.
        """
        submitter = self._submitter
        if isinstance(action, Write):
            return await submitter.write(self._claim_key, action)
        if isinstance(action, Read):
            return await submitter.read(self._claim_key)
        if isinstance(action, Wait):
            return await submitter.wait(self._claim_key, action.after)
        return await self._dispatch()

    async def _dispatch(self) -> Event:
        """Sends the submission to the holder of the chosen leaf."""
        task = self._task
        chosen = self._submitter.choose_leaf(task, self._excluded)
        if chosen is None:
            error = NotReadyError(f"no leaf of {task.service!r} is reachable.")
            return claim.NotSent(error)
        replica, channel = chosen
        left_ms = (
            task.answer_at - trio.current_time()
        ) * 1000 - HOP_ALLOWANCE_MS
        submit = Submit(
            service_name=task.service,
            leaf=replica.address,
            key=task.idempotency_key,
            body=task.body,
            remaining_ms=max(left_ms, 0.0),
        )
        reply_slot = _ReplySlot()
        # begin_dispatch checks the age of the claim, so there must be no
        # await between this check and the send.
        if not self._state_machine.begin_dispatch(trio.current_time()):
            return claim.NotSent(
                PlatformUnavailableError("the claim took too long to make.")
            )
        try:
            channel.start_request(Frame(submit=submit), reply_slot)
        except ChannelError:
            return self._not_sent_event(replica.address)
        self._reply = reply_slot
        return self._reply_event(await reply_slot.receive(), replica.address)

    def _not_sent_event(self, leaf: str) -> Event:
        """Excludes the leaf from further attempts.

        The submission was not sent to it, because its holder refused or because
        the channel to the holder failed before the request was queued.
        """
        self._excluded.add(leaf)
        self.has_excluded_leaf = True
        return claim.NotSent(NotReadyError(f"the holder of {leaf} refused."))

    def _reply_event(self, frame: Any, leaf: str) -> Event:
        reply = frame.submit_reply if frame is not None else None
        if reply is None:
            return claim.OutcomeLost()
        if reply.sent is False:
            return self._not_sent_event(leaf)
        if not reply.known or not _is_json(reply):
            return claim.OutcomeLost()
        return claim.Outcome(reply.outcome)

    async def _store_late_outcome(self) -> None:
        """Stores an outcome that arrives after the response was sent."""
        if self._reply is None:
            return
        frame = None
        with trio.move_on_at(self._task.answer_at + LATE_OUTCOME_TIMEOUT_S):
            frame = await self._reply.receive()
        # The name of the leaf is used only to exclude it from further
        # attempts, and there are none after the response.
        event = self._reply_event(frame, "")
        if isinstance(event, claim.OutcomeLost):
            return
        now = trio.current_time()
        await self.finish(self._state_machine.handle(event, now))


def _is_json(reply: SubmitReply) -> bool:
    try:
        json.loads(reply.outcome)
    except (TypeError, ValueError):
        return False
    return True


def _found_event(item: VersionedValue) -> Found:
    # The store returns version 0 for a key that does not exist.
    if item.version == 0:
        return Found(None, 0)
    return Found(Claim.from_json(item.value), item.version)


def _result(answer: claim.Answer) -> Result:
    if answer.error is not None:
        answer.error.run = answer.run
        raise answer.error
    return Result(json.loads(answer.outcome or "null"), answer.first)
