"""Stand-in for the platform's store, run in the test process."""

from __future__ import annotations

import base64
import collections
import itertools
import json
import urllib.parse
from dataclasses import dataclass, field
from typing import Any

import trio
from sapphire_gateway.callers import Caller
from sapphire_gateway.messages import Request, Response

PAGE_ITEMS = 100
MAX_HISTORY = 2000
OPERATORS_PREFIX = "op/"
LEAVES_PREFIX = "servers/"


@dataclass
class Item:
    """A version of a key; the value is None if the key was removed."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int = 0

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
            "Created": self.created,
            "Lease": self.lease,
        }


@dataclass
class Lease:
    """A lease that expires unless it is renewed."""

    ttl_s: float
    expires: float
    keys: set[str] = field(default_factory=set)


def _json(fields: Any, status: int = 200) -> Response:
    content = [(b"Content-Type", b"application/json")]
    return Response(status, content, json.dumps(fields).encode())


class Store:
    """Key-value store with revisions, watches, transactions and leases."""

    def __init__(self) -> None:
        self._items: dict[str, Item] = {}
        self._history: collections.deque[Item] = collections.deque()
        self._leases: dict[int, Lease] = {}
        self._numbers = itertools.count(7001)
        self._compacted_revision = 0
        self._changed = trio.Event()
        self.revision = 1
        self.is_overloaded = False
        # While set, transactions are applied but not answered.
        self.withholds_transaction_replies = False

    def write(self, key: str, fields: Any) -> int:
        """Writes a key without a lease; returns its revision."""
        return self._put(key, json.dumps(fields).encode(), 0)

    def remove(self, key: str) -> int:
        """Removes a key; returns the revision of the change."""
        if key in self._items:
            self._record(Item(key, None, self.revision + 1, 0))
        return self.revision

    def compact_history(self) -> None:
        """Compacts the history, so that watches have to read all keys again."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._notify()

    async def run(self) -> None:
        """Removes expired leases and their keys until cancelled."""
        while True:
            await trio.sleep(0.1)
            now = trio.current_time()
            for number, lease in list(self._leases.items()):
                if lease.expires <= now:
                    self._expire_lease(number)

    async def answer(self, request: Request, caller: Caller) -> Response:
        """Answers one request."""
        if self.is_overloaded:
            return Response(503, [])
        url = urllib.parse.urlsplit(request.target.decode())
        query = dict(urllib.parse.parse_qsl(url.query, True))
        _, call, *rest = url.path.split("/")
        if call == "kv-range":
            return self._range(query)
        if call == "kv-watch":
            return await self._watch(query)
        if call == "kv-keep":
            return self._renew_lease(int(rest[0]))
        if call == "kv-lease":
            return self._grant_lease(json.loads(request.body))
        if call == "kv-txn":
            answer = self._transact(json.loads(request.body))
            if self.withholds_transaction_replies:
                await trio.sleep_forever()
            return answer
        return Response(404, [])

    def _range(self, query: dict[str, str]) -> Response:
        after = query.get("after", "")
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query["Prefix"]) and key > after
        )
        return _json(
            {
                "items": [
                    self._items[key].encode() for key in keys[:PAGE_ITEMS]
                ],
                "HasMore": len(keys) > PAGE_ITEMS,
                "CurrentRev": self.revision,
            }
        )

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        with trio.move_on_after(int(query["WaitMs"]) / 1000):
            while self.revision <= after and after >= self._compacted_revision:
                await self._changed.wait()
        if after < self._compacted_revision:
            return Response(410, [])
        events = [item for item in self._history if item.revision > after]
        events = events[:PAGE_ITEMS]
        revision = events[-1].revision if events else self.revision
        return _json(
            {"events": [e.encode() for e in events], "CurrentRev": revision}
        )

    def _grant_lease(self, fields: dict[str, Any]) -> Response:
        number = next(self._numbers)
        ttl_s = fields["TtlMs"] / 1000
        self._leases[number] = Lease(ttl_s, trio.current_time() + ttl_s)
        return _json({"Lease": number, "TtlMs": fields["TtlMs"]})

    def _renew_lease(self, number: int) -> Response:
        lease = self._leases.get(number)
        if lease is None:
            return Response(404, [])
        lease.expires = trio.current_time() + lease.ttl_s
        return _json({})

    def _transact(self, fields: dict[str, Any]) -> Response:
        for put in fields["Puts"]:
            if put["Key"].startswith((OPERATORS_PREFIX, LEAVES_PREFIX)):
                return Response(403, [])
            if put["Lease"] and put["Lease"] not in self._leases:
                return Response(404, [])
        for put in fields["Puts"]:
            value = base64.b64decode(put["Value"], validate=True)
            self._put(put["Key"], value, put["Lease"])
        return _json({"Revision": self.revision})

    def _put(self, key: str, value: bytes, lease: int) -> int:
        known = self._items.get(key)
        revision = self.revision + 1
        created = known.created if known else revision
        if lease:
            self._leases[lease].keys.add(key)
        self._record(Item(key, value, revision, created, lease))
        return revision

    def _expire_lease(self, number: int) -> None:
        for key in self._leases.pop(number).keys:
            item = self._items.get(key)
            if item is not None and item.lease == number:
                self.remove(key)

    def _record(self, item: Item) -> None:
        self.revision = item.revision
        if item.value is None:
            del self._items[item.key]
        else:
            self._items[item.key] = item
        self._history.append(item)
        while len(self._history) > MAX_HISTORY:
            self._compacted_revision = self._history.popleft().revision
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
