"""Changes of the store, passed on from VM to VM.

VMs that serve callers read the store themselves and keep what they read; the
others ask one of them for the changes after a revision, as they would ask the
store. So the calls to the store grow with the VMs that serve, not with all.
"""

from __future__ import annotations

import collections
import urllib.parse
import zlib
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import trio

from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.messages import Answer, Request
from sapphire_gateway.store import (
    Batch,
    Change,
    Decode,
    StoreUnavailableError,
)

PATH = "/changes"
# How long a question waits for a change.
WAIT_S = 0.8
# A feeding VM that is silent this much longer is given up.
SILENCE_S = 0.4
# A VM that has not heard from the store for this time feeds nobody. Renewals
# of its lease are answered each 1.2 s.
MAX_AGE_S = 1.7
# Changes that are kept for the VMs that have not asked for them yet.
KEPT_CHANGES = 4096
KEPT_BYTES = 4_000_000
# Entries resemble each other, so that many of them shrink to a fifth; short
# answers hardly shrink.
LEAST_COMPRESSED_BYTES = 512
COMPRESSION_LEVEL = 1
# Decompressed answers beyond this size are refused as unreadable.
MAX_ITEMS_BYTES = 64_000_000
OK = 200


class Item(msgspec.Struct, array_like=True, frozen=True):
    """A key as it was written, or its removal if it has no value."""

    key: str
    revision: int
    value: bytes | None


class FeedAnswer(msgspec.Struct, array_like=True):
    """What a feeding VM answers.

    Attributes:
        revision: The items are complete up to it.
        age_s: Seconds since the feeding VM heard from the store.
        is_whole: The items are all keys and not only changes.
        is_compressed: The items are compressed by zlib.
        items: Encoded list of keys in the order of their changes.
    """

    revision: int
    age_s: float
    is_full_state: bool
    is_compressed: bool
    items: bytes


_ANSWER = msgspec.msgpack.Decoder(FeedAnswer)
_ITEMS = msgspec.msgpack.Decoder(list[Item])


class Mirror:
    """The store's keys and their last changes, as this VM read them."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._changes: collections.deque[Item] = collections.deque()
        self._bytes = 0
        self._complete_after = 0
        self._revision: int | None = None
        self._changed = trio.Event()

    @property
    def revision(self) -> int | None:
        """Revision up to which the keys are known; None before the first."""
        return self._revision

    def take(self, batch: Batch) -> None:
        """Adopts what was read."""
        if batch.is_full_state:
            self._items.clear()
            self._changes.clear()
            self._bytes = 0
            self._complete_after = batch.revision
        for change in batch.changes:
            item = Item(change.key, change.revision, change.value)
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
            if not batch.is_full_state:
                self._changes.append(item)
                self._bytes += len(item.value or b"")
        while len(self._changes) > KEPT_CHANGES or self._bytes > KEPT_BYTES:
            oldest = self._changes.popleft()
            self._bytes -= len(oldest.value or b"")
            self._complete_after = oldest.revision
        self._revision = batch.revision
        self._changed.set()
        self._changed = trio.Event()

    def after(self, revision: int | None) -> tuple[bool, list[Item]]:
        """Returns whether all keys are given, and the items."""
        if revision is None or revision < self._complete_after:
            return True, list(self._items.values())
        return False, [i for i in self._changes if i.revision > revision]

    async def wait_beyond(self, revision: int | None) -> None:
        """Waits until more than a revision is known."""
        while self._revision is None or (
            revision is not None and self._revision <= revision
        ):
            await self._changed.wait()


@dataclass(frozen=True, slots=True)
class _Packed:
    is_full_state: bool
    is_compressed: bool
    items: bytes


def _pack(is_full_state: bool, items: list[Item]) -> _Packed:
    data = msgspec.msgpack.encode(items)
    if len(data) < LEAST_COMPRESSED_BYTES:
        return _Packed(is_full_state, False, data)
    return _Packed(is_full_state, True, zlib.compress(data, COMPRESSION_LEVEL))


def _unpack(answer: FeedAnswer) -> list[Item]:
    """Returns the items of an answer.

    Raises:
        msgspec.DecodeError: They are no items.
        zlib.error: They are not compressed as stated.
    """
    data = answer.items
    if answer.is_compressed:
        data = zlib.decompressobj().decompress(data, MAX_ITEMS_BYTES)
    return _ITEMS.decode(data)


class FeedServer:
    """Answers the VMs that do not read the store themselves."""

    def __init__(
        self, mirror: Mirror, contact_age_s: Callable[[], float]
    ) -> None:
        """Prepares to answer.

        Args:
            mirror: What this VM has read.
            contact_age_s: Returns the seconds since the store answered, or
                infinity if this VM does not read the store itself.
        """
        self._mirror = mirror
        self._contact_age_s = contact_age_s
        # Answers of one revision; many VMs ask for the same.
        self._packed: dict[int | None, _Packed] = {}
        self._packed_revision: int | None = None

    async def answer(self, request: Request) -> Answer:
        """Returns the changes after a revision as soon as there are any."""
        url = urllib.parse.urlsplit(request.target.decode("latin-1"))
        query = urllib.parse.parse_qs(url.query)
        after_text = query.get("after", [""])[0]
        if url.path != PATH or not (after_text == "" or after_text.isdigit()):
            return Answer(404, [])
        after = int(after_text) if after_text else None
        left_s = MAX_AGE_S - self._contact_age_s()
        with trio.move_on_after(max(0.0, min(WAIT_S, left_s))):
            await self._mirror.wait_beyond(after)
        revision = self._mirror.revision
        age_s = self._contact_age_s()
        if revision is None or age_s >= MAX_AGE_S:
            return Answer(503, [])
        packed = self._packed_after(after, revision)
        answer = FeedAnswer(
            revision,
            age_s,
            packed.is_full_state,
            packed.is_compressed,
            packed.items,
        )
        headers = [(b"Content-Type", b"application/msgpack")]
        return Answer(OK, headers, msgspec.msgpack.encode(answer))

    def _packed_after(self, after: int | None, revision: int) -> _Packed:
        if self._packed_revision != revision:
            self._packed.clear()
            self._packed_revision = revision
        packed = self._packed.get(after)
        if packed is None:
            packed = self._packed[after] = _pack(*self._mirror.after(after))
        return packed


class FeedClient:
    """Asks another VM for changes."""

    def __init__(
        self, address: str, nursery: trio.Nursery, decode: Decode
    ) -> None:
        self._http = HttpClient(address)
        self._http.start(nursery)
        self._decode = decode

    def close(self) -> None:
        """Closes the connections."""
        self._http.reconnect("another VM is asked")

    async def changes(self, after: int | None) -> Batch:
        """Waits a short time for changes after a revision.

        Raises:
            StoreUnavailableError: The VM did not answer, or has not heard
                from the store for too long.
        """
        target = PATH if after is None else f"{PATH}?after={after}"
        reply = await self._http.ask("GET", target, WAIT_S + SILENCE_S)
        if reply.status != OK:
            raise StoreUnavailableError(
                f"VM at {self._http.address} answered {reply.status}."
            )
        try:
            answer = _ANSWER.decode(reply.body)
            items = _unpack(answer)
        except (msgspec.DecodeError, zlib.error) as error:
            raise StoreUnavailableError(
                f"unreadable changes: {error}."
            ) from error
        changes = [
            Change(item.key, item.revision, fact, item.value)
            for item in items
            if (fact := self._decode(item.key, item.value)) is not None
        ]
        # A VM that lags behind must not take back what is known.
        revision = max(answer.revision, after or 0)
        return Batch(
            tuple(changes),
            revision,
            is_full_state=answer.is_full_state,
            age_s=answer.age_s,
        )
