"""Replication feed: relays changes of the store from VM to VM.

VMs that serve callers watch the store and retain recent changes. The other
VMs long-poll one of them for the changes after a revision, as they would
watch the store. The number of watches of the store therefore grows with the
number of serving VMs and not with the size of the fleet.
"""

from __future__ import annotations

import collections
import urllib.parse
import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
import trio
from prometheus_client import Counter
from sapphire_core.storerevision import NO_REVISION, StoreRevision

from sapphire_gateway.decoding import DECODING_ERRORS, parse_revision
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.messages import Request, Response
from sapphire_gateway.store import (
    HELD,
    Batch,
    Change,
    Decode,
    StoreUnavailableError,
)

PATH = "/changes"
HELD_PATH = "/held"
# Maximum time that a request waits for a change.
LONG_POLL_S = 0.8
# Extra time for the response before the feed counts as failed.
RESPONSE_GRACE_S = 0.4
# A VM whose copy of the store was last known to be current longer ago refuses
# to feed others. Lease renewals confirm it every 1.2 s.
MAX_DATA_AGE_S = 1.7
# Limits of the retained history. A VM that asks for older changes gets the
# full state.
MAX_RETAINED_CHANGES = 4096
MAX_RETAINED_BYTES = 4_000_000
# Entries resemble each other, so that long lists of them compress to a fifth;
# short responses hardly shrink.
MIN_COMPRESSED_BYTES = 512
COMPRESSION_LEVEL = 1
# Limits decompression; a response that exceeds it fails to decode.
MAX_DECOMPRESSED_BYTES = 64_000_000
OK = 200


class Item(msgspec.Struct, array_like=True, frozen=True):
    """A key with its stored value, or None if the key was removed."""

    key: str
    revision: int
    value: bytes | None


class FeedResponse(msgspec.Struct, array_like=True):
    """Response of the VM that provides the feed.

    Attributes:
        revision: The items contain all changes up to this number.
        age_s: Seconds since that VM's copy was last known to be current.
        is_full_state: The items list all existing keys instead of a delta.
        is_compressed: The items are compressed with zlib.
        items: Encoded list of items. A delta is in the order of the changes;
            a full state is in no particular order.
        era: Era of the revision.
    """

    revision: int
    age_s: float
    is_full_state: bool
    is_compressed: bool
    items: bytes
    # VMs of an earlier version leave it out.
    era: int = 0


_RESPONSE = msgspec.msgpack.Decoder(FeedResponse)
_ITEMS = msgspec.msgpack.Decoder(list[Item])


class Mirror:
    """Local copy of the store's keys with a bounded history of changes."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._changes: collections.deque[Item] = collections.deque()
        self._retained_bytes = 0
        self._complete_after = 0
        self._revision: StoreRevision | None = None
        self._version = 0
        self._changed = trio.Event()

    @property
    def revision(self) -> StoreRevision | None:
        """Revision of the copy; None before the first batch."""
        return self._revision

    @property
    def version(self) -> int:
        """Number that changes with the content."""
        return self._version

    def drop(self, keys: Iterable[str]) -> None:
        """Removes keys that the store lacks; VMs that ask are not told."""
        self._version += 1
        for key in keys:
            self._items.pop(key, None)

    def put(self, changes: Iterable[Change]) -> None:
        """Replaces the values of keys; VMs that ask are not told."""
        self._version += 1
        for change in changes:
            item = Item(change.key, change.revision, change.value)
            self._items[item.key] = item

    def apply(self, batch: Batch) -> None:
        """Applies a batch that was read from the store or from a feed."""
        self._version += 1
        if batch.is_full_state:
            self._items.clear()
            self._changes.clear()
            self._retained_bytes = 0
            self._complete_after = batch.revision.number
        for change in batch.changes:
            item = Item(change.key, change.revision, change.value)
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
            if not batch.is_full_state:
                self._changes.append(item)
                self._retained_bytes += len(item.value or b"")
        while (
            len(self._changes) > MAX_RETAINED_CHANGES
            or self._retained_bytes > MAX_RETAINED_BYTES
        ):
            oldest = self._changes.popleft()
            self._retained_bytes -= len(oldest.value or b"")
            self._complete_after = oldest.revision
        self._revision = batch.revision
        self._changed.set()
        self._changed = trio.Event()

    def since(self, revision: StoreRevision | None) -> tuple[bool, list[Item]]:
        """Returns the changes after a revision, or the full state.

        Returns:
            Whether the items are the full state, which is the case if the
            revision is None, older than the history or of another era; and the
            items.
        """
        if revision is None or not self._has_changes_after(revision):
            return True, list(self._items.values())
        after = revision.number
        return False, [i for i in self._changes if i.revision > after]

    def held(self) -> list[Item]:
        """Returns the writes that are held, which the store lacks."""
        return [i for i in self._items.values() if i.revision == HELD]

    def _has_changes_after(self, revision: StoreRevision) -> bool:
        """Returns whether the history goes back to a revision."""
        if self._revision is None or revision.era != self._revision.era:
            return False
        return revision.number >= self._complete_after

    async def wait_for_newer(self, revision: StoreRevision | None) -> None:
        """Waits until the copy is newer than a revision."""
        while self._revision is None or (
            revision is not None and self._revision <= revision
        ):
            await self._changed.wait()


@dataclass(frozen=True, slots=True)
class _EncodedItems:
    is_full_state: bool
    is_compressed: bool
    items: bytes


def _encode_items(is_full_state: bool, items: list[Item]) -> _EncodedItems:
    data = msgspec.msgpack.encode(items)
    if len(data) < MIN_COMPRESSED_BYTES:
        return _EncodedItems(is_full_state, False, data)
    return _EncodedItems(
        is_full_state, True, zlib.compress(data, COMPRESSION_LEVEL)
    )


def _respond(
    revision: StoreRevision, age_s: float, encoded: _EncodedItems
) -> Response:
    response = FeedResponse(
        revision.number,
        age_s,
        encoded.is_full_state,
        encoded.is_compressed,
        encoded.items,
        revision.era,
    )
    headers = [(b"Content-Type", b"application/msgpack")]
    return Response(OK, headers, msgspec.msgpack.encode(response))


def _decode_items(response: FeedResponse) -> list[Item]:
    """Decompresses and decodes the items of a response.

    Raises:
        msgspec.DecodeError: The data is not an encoded list of items.
        zlib.error: The data is not a valid zlib stream.
    """
    data = response.items
    if response.is_compressed:
        data = zlib.decompressobj().decompress(data, MAX_DECOMPRESSED_BYTES)
    return _ITEMS.decode(data)


class FeedServer:
    """Serves changes to the VMs that do not watch the store themselves."""

    def __init__(
        self,
        mirror: Mirror,
        age_s: Callable[[], float],
        learn_revision: Callable[[StoreRevision], None],
    ) -> None:
        """Creates a server.

        Args:
            mirror: This VM's copy of the store.
            age_s: Returns the seconds since the copy was last known to be
                current, or infinity if this VM reads from a feed itself.
            learn_revision: Called with the revisions of the VMs that ask.
        """
        self._mirror = mirror
        self._age_s = age_s
        self._learn_revision = learn_revision
        # Encoded items of the mirror's present version by the revision asked
        # for; many VMs ask for the same one.
        self._encoded: dict[StoreRevision | None, _EncodedItems] = {}
        self._encoded_version: int | None = None

    def handle_held(self) -> Response:
        """Returns the writes that are held, for a VM that has just started."""
        revision = self._mirror.revision
        age_s = self._age_s()
        if revision is None or age_s >= MAX_DATA_AGE_S:
            return Response(503, [])
        encoded = _encode_items(False, self._mirror.held())
        return _respond(revision, age_s, encoded)

    async def handle(self, request: Request) -> Response:
        """Waits for changes after the requested revision and returns them."""
        url = urllib.parse.urlsplit(request.target.decode("latin-1"))
        query = urllib.parse.parse_qs(url.query)
        after_text = query.get("after", [""])[0]
        known = self._mirror.revision or NO_REVISION
        # A VM of an earlier version states no era.
        era_text = query.get("era", [str(known.era)])[0]
        after = parse_revision(after_text, era_text)
        if url.path != PATH or (after is None and after_text):
            return Response(404, [])
        if after is not None:
            self._learn_revision(after)
        left_s = MAX_DATA_AGE_S - self._age_s()
        with trio.move_on_after(max(0.0, min(LONG_POLL_S, left_s))):
            await self._mirror.wait_for_newer(after)
        revision = self._mirror.revision
        age_s = self._age_s()
        if revision is None or age_s >= MAX_DATA_AGE_S:
            return Response(503, [])
        if after is not None and revision < after:
            # The VM that asks has newer data.
            return Response(503, [])
        return _respond(revision, age_s, self._encoded_after(after))

    def _encoded_after(self, after: StoreRevision | None) -> _EncodedItems:
        if self._encoded_version != self._mirror.version:
            self._encoded.clear()
            self._encoded_version = self._mirror.version
        encoded = self._encoded.get(after)
        if encoded is None:
            encoded = self._encoded[after] = _encode_items(
                *self._mirror.since(after)
            )
        return encoded


class FeedClient:
    """Long-polls another VM for changes."""

    def __init__(
        self,
        address: str,
        nursery: trio.Nursery,
        decode: Decode,
        traffic: Counter | None = None,
    ) -> None:
        """Creates a client without connections.

        Args:
            address: Address of the other VM.
            nursery: Runs the connections.
            decode: Decodes a key's value.
            traffic: Counts the bytes sent and received, if given.
        """
        self._http = HttpClient(address, traffic=traffic)
        self._http.start(nursery)
        self._decode = decode

    def close(self) -> None:
        """Closes the open connections; `changes` would open a new one."""
        self._http.reconnect("feed closed")

    async def changes(self, after: StoreRevision | None) -> Batch:
        """Waits up to LONG_POLL_S for changes after a revision.

        Raises:
            StoreUnavailableError: The VM did not respond, or its data are too
                old.
        """
        target = PATH
        if after is not None:
            target = f"{PATH}?after={after.number}&era={after.era}"
        batch = await self._ask(target, LONG_POLL_S + RESPONSE_GRACE_S)
        if after is not None and batch.revision < after:
            raise StoreUnavailableError(
                f"feed at {self._http.address} has revision {batch.revision},"
                f" older than {after}."
            )
        return batch

    async def held(self) -> Batch:
        """Returns the writes that the VM holds, as a delta.

        Raises:
            StoreUnavailableError: The VM did not respond, or its data are too
                old.
        """
        return await self._ask(HELD_PATH, RESPONSE_GRACE_S)

    async def _ask(self, target: str, timeout_s: float) -> Batch:
        reply = await self._http.request("GET", target, timeout_s)
        if reply.status != OK:
            raise StoreUnavailableError(
                f"feed at {self._http.address} answered {reply.status},"
                f" expected {OK}."
            )
        try:
            response = _RESPONSE.decode(reply.body)
            items = _decode_items(response)
        except (*DECODING_ERRORS, zlib.error) as error:
            raise StoreUnavailableError(
                f"feed at {self._http.address} sent a response that cannot be"
                f" decoded: {error}."
            ) from error
        changes = [
            Change(item.key, item.revision, update, item.value)
            for item in items
            if (update := self._decode(item.key, item.value)) is not None
        ]
        return Batch(
            tuple(changes),
            StoreRevision(response.era, response.revision),
            is_full_state=response.is_full_state,
            age_s=response.age_s,
        )
