"""Fake of the key-value store that the platform provides to gateways.

It runs in the test process and has the HTTP calls that
`platform/adapter/store.py` makes.
"""

from __future__ import annotations

import base64
import collections
import copy
import json
import urllib.parse
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import trio
from sapphire_gateway.callers import Caller
from sapphire_gateway.messages import Request, Response

# Maximum number of items in a response. Watch responses are truncated to it
# without an indication, as on the platform.
PAGE_ITEMS = 100
# Changes that are kept for watches; older ones are discarded.
MAX_HISTORY_CHANGES = 2000
# Keys that only the operator and the leaves write, through Store.write; puts
# of gateways are rejected.
OPERATOR_PREFIX = "op/"
LEAF_PREFIX = "servers/"
FIRST_LEASE_ID = 7001


@dataclass
class Item:
    """A key after a write or a removal.

    Attributes:
        key: The key.
        value: The written value; None for a removal.
        revision: Revision of the write or removal.
        created_revision: Revision at which the key was created; 0 for a
            removal.
        lease_id: Id of the lease with which the key expires; 0 for none.
    """

    key: str
    value: bytes | None
    revision: int
    created_revision: int
    lease_id: int = 0

    def encode(self) -> dict[str, Any]:
        """Returns the JSON fields of the item."""
        if self.value is None:
            return {
                "Key": self.key,
                "Revision": self.revision,
                "Removed": True,
            }
        return {
            "Key": self.key,
            "Value": base64.b64encode(self.value).decode(),
            "Revision": self.revision,
            "Created": self.created_revision,
            "Lease": self.lease_id,
        }


@dataclass
class Lease:
    """A lease; when it expires, its keys are removed."""

    ttl_s: float
    expires_at: float
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class StoreCopy:
    """State of the store at one moment, from which it can come back."""

    items: dict[str, Item]
    history: list[Item]
    leases: dict[int, Lease]
    next_lease_id: int
    compacted_revision: int
    revision: int


def _json_response(fields: Any, status: int = 200) -> Response:
    headers = [(b"Content-Type", b"application/json")]
    return Response(status, headers, json.dumps(fields).encode())


class Store:
    """Key-value store with revisions, watches, leases and multi-key puts."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._history: collections.deque[Item] = collections.deque()
        self._leases: dict[int, Lease] = {}
        self._next_lease_id = FIRST_LEASE_ID
        self._compacted_revision = 0
        self._changed = trio.Event()
        # Watches that wait; each is a scope whose cancellation resets it.
        self._waiting_watches: set[trio.CancelScope] = set()
        self._hides_changes = False
        self.revision = 1
        self.era = 1
        # Header value that replaces the era; None for no header.
        self.stated_era: Callable[[], str | None] = lambda: str(self.era)
        self.is_overloaded = False
        # While set, kv-txn requests are applied, but their replies are never
        # sent.
        self.withholds_transaction_replies = False

    def write(self, key: str, value: Any) -> int:
        """Writes a value as JSON, without a lease; returns its revision."""
        return self.write_bytes(key, json.dumps(value).encode())

    def write_bytes(self, key: str, value: bytes) -> int:
        """Writes a value as it is, without a lease; returns its revision."""
        return self._put(key, value, 0)

    def remove(self, key: str) -> int:
        """Removes a key if it exists; returns the store's revision."""
        if key in self._items:
            self._apply(Item(key, None, self.revision + 1, 0))
        return self.revision

    def keys(self, prefix: str) -> list[str]:
        """Returns the keys that begin with a prefix."""
        return [key for key in self._items if key.startswith(prefix)]

    def compact_history(self) -> None:
        """Discards all changes that are kept for watches.

        Watches that have not seen all of them get status 410, upon which the
        gateway reads all keys again. Watches that are up to date go on.
        """
        self._history.clear()
        self._compacted_revision = self.revision
        self._notify()

    def hide_changes(self) -> None:
        """From now on, watches are not told of changes."""
        self._hides_changes = True

    def reset_watches(self) -> None:
        """Ends the watches that wait, with status 503."""
        for scope in self._waiting_watches:
            scope.cancel()

    def forget_hidden_changes(self) -> None:
        """Discards the history; watches that wait hear of it at a change.

        Until then they stay silent, although they have missed changes.
        """
        self._history.clear()
        self._compacted_revision = self.revision
        self._hides_changes = False

    def copy(self) -> StoreCopy:
        """Returns a copy of the present state."""
        return StoreCopy(
            dict(self._items),
            list(self._history),
            copy.deepcopy(self._leases),
            self._next_lease_id,
            self._compacted_revision,
            self.revision,
        )

    def come_back(self, state: StoreCopy) -> None:
        """Replaces the state by an older copy, in a new era.

        The copy's leases run from now. Revisions and lease numbers that were
        given out since the copy will be given out again.
        """
        self._items = dict(state.items)
        self._history = collections.deque(state.history)
        self._leases = copy.deepcopy(state.leases)
        for lease in self._leases.values():
            lease.expires_at = trio.current_time() + lease.ttl_s
        self._next_lease_id = state.next_lease_id
        self._compacted_revision = state.compacted_revision
        self.revision = state.revision
        self.era += 1
        self.reset_watches()

    async def run(self) -> None:
        """Removes expired leases and their keys until cancelled."""
        while True:
            await trio.sleep(0.1)
            now = trio.current_time()
            for lease_id, lease in list(self._leases.items()):
                if lease.expires_at <= now:
                    self._expire_lease(lease_id)

    async def answer(self, request: Request, caller: Caller) -> Response:
        """Handles a request of a gateway, as the handler of a CallerServer."""
        response = await self._answer(request)
        stated_era = self.stated_era()
        if stated_era is not None:
            response.headers.append((b"Store-Era", stated_era.encode()))
        return response

    async def _answer(self, request: Request) -> Response:
        if self.is_overloaded:
            return Response(503, [])
        url = urllib.parse.urlsplit(request.target.decode())
        query = dict(urllib.parse.parse_qsl(url.query, True))
        _, operation, *arguments = url.path.split("/")
        if operation == "kv-range":
            return self._range(query)
        if operation == "kv-watch":
            return await self._watch(query)
        if operation == "kv-keep":
            return self._renew_lease(int(arguments[0]))
        if operation == "kv-lease":
            return self._grant_lease(json.loads(request.body))
        if operation == "kv-txn":
            response = self._put_all(json.loads(request.body))
            if self.withholds_transaction_replies:
                await trio.sleep_forever()
            return response
        return Response(404, [])

    def _range(self, query: dict[str, str]) -> Response:
        after_key = query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["Prefix"]) and key > after_key
        )
        return _json_response(
            {
                "items": [
                    self._items[key].encode() for key in keys[:PAGE_ITEMS]
                ],
                "HasMore": len(keys) > PAGE_ITEMS,
                "CurrentRev": self.revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> Response:
        after_revision = int(query["after"])
        with trio.CancelScope() as reset:
            self._waiting_watches.add(reset)
            try:
                with trio.move_on_after(int(query["WaitMs"]) / 1000):
                    while self._hides_changes or (
                        self.revision == after_revision
                        and after_revision >= self._compacted_revision
                    ):
                        await self._changed.wait()
            finally:
                self._waiting_watches.discard(reset)
        if reset.cancelled_caught:
            return Response(503, [])
        if self._hides_changes:
            return _json_response({"events": [], "CurrentRev": after_revision})
        if not self._compacted_revision <= after_revision <= self.revision:
            return Response(410, [])
        events = [
            item for item in self._history if item.revision > after_revision
        ]
        events = events[:PAGE_ITEMS]
        revision = events[-1].revision if events else self.revision
        return _json_response(
            {"events": [e.encode() for e in events], "CurrentRev": revision}
        )

    def _grant_lease(self, fields: dict[str, Any]) -> Response:
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        ttl_s = fields["TtlMs"] / 1000
        self._leases[lease_id] = Lease(ttl_s, trio.current_time() + ttl_s)
        return _json_response({"Lease": lease_id, "TtlMs": fields["TtlMs"]})

    def _renew_lease(self, lease_id: int) -> Response:
        lease = self._leases.get(lease_id)
        if lease is None:
            return Response(404, [])
        lease.expires_at = trio.current_time() + lease.ttl_s
        return _json_response({})

    def _put_all(self, fields: dict[str, Any]) -> Response:
        """Writes all puts of a transaction, or none if one is rejected.

        The other lists of a transaction, its conditions (`ExpectedRev`) and
        `Deletes`, are ignored: gateways send them empty.
        """
        for put in fields["Puts"]:
            if put["Key"].startswith((OPERATOR_PREFIX, LEAF_PREFIX)):
                return Response(403, [])
            if put["Lease"] and put["Lease"] not in self._leases:
                return Response(404, [])
        for put in fields["Puts"]:
            value = base64.b64decode(put["Value"], validate=True)
            self._put(put["Key"], value, put["Lease"])
        return _json_response({"Revision": self.revision})

    def _put(self, key: str, value: bytes, lease_id: int) -> int:
        existing = self._items.get(key)
        revision = self.revision + 1
        created_revision = existing.created_revision if existing else revision
        if lease_id:
            self._leases[lease_id].keys.add(key)
        self._apply(Item(key, value, revision, created_revision, lease_id))
        return revision

    def _expire_lease(self, lease_id: int) -> None:
        for key in self._leases.pop(lease_id).keys:
            item = self._items.get(key)
            # The key stays if it was written again without this lease.
            if item is not None and item.lease_id == lease_id:
                self.remove(key)

    def _apply(self, item: Item) -> None:
        """Applies a write or removal and adds it to the history."""
        self.revision = item.revision
        if item.value is None:
            del self._items[item.key]
        else:
            self._items[item.key] = item
        self._history.append(item)
        while len(self._history) > MAX_HISTORY_CHANGES:
            self._compacted_revision = self._history.popleft().revision
        self._notify()

    def _notify(self) -> None:
        """Wakes all waiting watches."""
        self._changed.set()
        self._changed = trio.Event()
