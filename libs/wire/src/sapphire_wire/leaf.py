"""Client of one leaf."""

from __future__ import annotations

import collections
import contextlib
import json
import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, NamedTuple

import trio
from sapphire_core.errors import (
    LeafColdError,
    LeafCrashedError,
    LeafDrainingError,
    LeafError,
    LeafLateError,
    LeafReplyError,
    LeafShedError,
    LeafSilentError,
    LeafUnreachableError,
    VersionGoneError,
)

from sapphire_wire.web import (
    HttpClient,
    HttpConnectError,
    HttpConnectionLostError,
    HttpReply,
    HttpTimeoutError,
    LateBody,
)

# The deadline is written with a fixed width, so that the length of the body
# is known before the deadline is.
_DEADLINE_WIDTH = 9
_MIN_DEADLINE_MS = 1

_REFUSALS: dict[str, type[LeafError]] = {
    "shed": LeafShedError,
    "cold": LeafColdError,
    "draining": LeafDrainingError,
}

Remaining = Callable[[], float]


@dataclass(frozen=True, slots=True)
class LeafQuery:
    """One query of a search batch."""

    id: str
    text: str
    k: int


class Hit(NamedTuple):
    """One match; hits sort by falling score, then by document id.

    A tuple, because hundreds of them are compared for each match that is
    sent on.

    Attributes:
        negated_score: The negative score.
    """

    negated_score: float
    document: str
    title: str


@dataclass(frozen=True, slots=True)
class SearchReply:
    """The checked reply to a search batch.

    Attributes:
        documents: Documents of the shard.
        matches: Matches of each query in the order of the batch.
    """

    documents: int
    matches: list[list[Hit]]


@dataclass(frozen=True, slots=True)
class IndexVersion:
    """One index version that a leaf holds."""

    version: str
    shard: int
    shards: int
    documents: int


@dataclass(frozen=True, slots=True)
class LeafIndex:
    """What a leaf holds, and whether it is leaving."""

    versions: tuple[IndexVersion, ...]
    draining: bool


class LeafClient:
    """Calls one leaf over a bounded set of kept connections."""

    def __init__(self, address: str, max_connections: int) -> None:
        self._address = address
        self._max_connections = max_connections
        self._http = HttpClient(address, max_connections)
        self._calls: collections.Counter[HttpClient] = collections.Counter()

    @property
    def address(self) -> str:
        """Address of the leaf as host:port."""
        return self._address

    async def search(
        self,
        batch_id: str,
        version: str,
        shard: int,
        queries: Sequence[LeafQuery],
        *,
        remaining: Remaining,
    ) -> SearchReply:
        """Runs a batch of queries against one index version.

        Args:
            batch_id: Unique id that the reply has to repeat.
            version: Index version that all queries are pinned to.
            shard: Shard that the leaf is expected to hold.
            queries: Queries with ids that are unique in the batch.
            remaining: Returns the seconds left; called before the call and
                again immediately before the send. What it raises ends the
                call.

        Raises:
            LeafUnreachableError: Nothing was sent.
            LeafCrashedError: The connection was lost while the batch ran.
            LeafSilentError: No whole reply in time; the leaf may work on.
            LeafLateError: The leaf has ended the batch at its deadline.
            LeafReplyError: The reply is malformed or of another request.
            LeafShedError: The leaf lacks capacity.
            LeafColdError: The leaf is in a cold start.
            LeafDrainingError: The leaf is leaving.
            VersionGoneError: The leaf no longer has the version.
        """
        fields = {
            "batch_id": batch_id,
            "version": version,
            "shard": shard,
            "queries": [
                {"id": q.id, "text": q.text, "k": q.k} for q in queries
            ],
        }
        reply = await self._call("/search", fields, remaining)
        with self._checking():
            _require_ok(reply)
            answer = _decode(reply)
            _require_equal("batch id", answer.get("batch_id"), batch_id)
            _require_equal("version", answer.get("version"), version)
            _require_equal("shard", answer.get("shard"), shard)
            return _search_reply(answer, queries)

    async def submit(self, key: str, body: str, *, remaining: Remaining) -> Any:
        """Runs a submission and returns the leaf's decoded answer.

        Raises:
            LeafError: As for search; only LeafUnreachableError means that no
                byte was sent.
        """
        fields = {"key": key, "body": body}
        reply = await self._call("/submit", fields, remaining)
        with self._checking():
            _require_ok(reply)
            return _decode(reply)

    async def index(self, timeout_s: float) -> LeafIndex:
        """Reads the index versions that the leaf holds.

        Raises:
            LeafError: The leaf did not give a usable answer.
        """
        reply = await self._send("GET", "/index", None, timeout_s)
        with self._checking():
            _require_ok(reply)
            return _leaf_index(_decode(reply))

    async def cancel(self, batch_id: str, timeout_s: float) -> None:
        """Asks the leaf to stop a batch.

        Raises:
            LeafError: The leaf did not answer.
        """
        await self._send("POST", "/cancel", {"batch_id": batch_id}, timeout_s)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._close_replaced()
        await self._http.aclose()

    @contextlib.contextmanager
    def _checking(self) -> Iterator[None]:
        """Replaces the connections after a reply that failed a check.

        It is not known which connection carried the reply, so later calls
        use new ones; calls that run on the former ones are finished.
        """
        try:
            yield
        except LeafReplyError:
            self._http = HttpClient(self._address, self._max_connections)
            raise

    async def _call(
        self, path: str, fields: dict[str, Any], remaining: Remaining
    ) -> HttpReply:
        tail = b", " + json.dumps(fields).encode()[1:]

        def make() -> bytes:
            left_ms = max(_MIN_DEADLINE_MS, int(remaining() * 1000))
            return _head(left_ms) + tail

        body = LateBody(len(_head(0)) + len(tail), make)
        return await self._send("POST", path, body, remaining())

    async def _send(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> HttpReply:
        http = self._http
        self._calls[http] += 1
        try:
            return await http.call(method, path, body, timeout_s=timeout_s)
        except HttpConnectError as error:
            raise LeafUnreachableError(
                f"no connection to leaf {self._address}."
            ) from error
        except HttpConnectionLostError as error:
            raise LeafCrashedError(
                f"leaf {self._address} closed the connection."
            ) from error
        except HttpTimeoutError as error:
            raise LeafSilentError(
                f"leaf {self._address} gave no reply in time."
            ) from error
        finally:
            self._calls[http] -= 1
            await self._close_replaced()

    async def _close_replaced(self) -> None:
        unused = [
            http
            for http, calls in self._calls.items()
            if not calls and http is not self._http
        ]
        for http in unused:
            del self._calls[http]
            with trio.CancelScope(shield=True):
                await http.aclose()


def _head(deadline_ms: int) -> bytes:
    return f'{{"deadline_ms": {deadline_ms:{_DEADLINE_WIDTH}d}'.encode()


def _require_ok(reply: HttpReply) -> None:
    """Raises the error that a status other than 200 stands for."""
    if reply.status == 200:
        return
    if reply.status == 410:
        raise VersionGoneError("the leaf no longer has the version.")
    if reply.status == 504:
        raise LeafLateError("the leaf reached the deadline.")
    if reply.status == 503:
        raise _refusal(reply)
    raise LeafReplyError(f"the leaf answered {reply.status}.")


def _refusal(reply: HttpReply) -> LeafError:
    reason = _decode(reply).get("error")
    kind = _REFUSALS.get(str(reason), LeafReplyError)
    return kind(f"the leaf refused with {reason!r}.")


def _decode(reply: HttpReply) -> dict[str, Any]:
    try:
        fields = reply.json()
    except ValueError as error:
        raise LeafReplyError("the reply is not JSON.") from error
    if not isinstance(fields, dict):
        raise LeafReplyError("the reply is not a JSON object.")
    return fields


def _require_equal(what: str, found: object, expected: object) -> None:
    # A boolean equals 0 or 1 in Python but is no shard number.
    if found != expected or type(found) is not type(expected):
        raise LeafReplyError(
            f"the reply has the {what} {found!r}, expected {expected!r}."
        )


def _search_reply(
    answer: dict[str, Any], queries: Sequence[LeafQuery]
) -> SearchReply:
    try:
        documents = _count(answer["documents"])
        results = _list(answer["results"])
        found = [item["id"] for item in results]
        expected = [query.id for query in queries]
        if sorted(found) != sorted(expected):
            raise LeafReplyError(
                f"the reply has the query ids {found!r}, expected {expected!r}."
            )
        by_id = {item["id"]: item["matches"] for item in results}
        matches = [
            [_hit(match) for match in _list(by_id[query.id])]
            for query in queries
        ]
    except (KeyError, TypeError, ValueError) as error:
        raise LeafReplyError(f"malformed reply: {error!r}.") from error
    return SearchReply(documents, matches)


def _hit(fields: dict[str, Any]) -> Hit:
    document, title = fields["id"], fields.get("title", "")
    score = fields["score"]
    if type(document) is not str or type(title) is not str:
        raise ValueError("a match needs a text id and title")
    if type(score) not in (float, int) or not math.isfinite(score):
        raise ValueError(f"not a score: {score!r}")
    return Hit(-score, document, title)


def _leaf_index(answer: dict[str, Any]) -> LeafIndex:
    try:
        return LeafIndex(
            tuple(_index_version(item) for item in _list(answer["versions"])),
            answer.get("draining") is True,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise LeafReplyError(f"malformed index: {error!r}.") from error


def _index_version(fields: dict[str, Any]) -> IndexVersion:
    version = fields["version"]
    if type(version) is not str:
        raise ValueError("a version must be a text")
    shard, shards = _count(fields["shard"]), _count(fields["shards"])
    if shard >= shards:
        raise ValueError(f"shard {shard} of {shards}")
    return IndexVersion(version, shard, shards, _count(fields["documents"]))


def _list(value: object) -> list[Any]:
    # An empty object would otherwise pass for an empty list.
    if type(value) is not list:
        raise ValueError(f"not a list: {value!r}")
    return value


def _count(value: object) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"not a count: {value!r}")
    return value
