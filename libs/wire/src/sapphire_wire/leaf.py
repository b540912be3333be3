"""Client of a leaf's HTTP interface."""

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
    LeafNoReplyError,
    LeafOverloadedError,
    LeafReplyError,
    LeafTimeoutError,
    LeafUnreachableError,
    VersionGoneError,
)

from sapphire_wire.web import (
    DeferredBody,
    HttpClient,
    HttpConnectError,
    HttpConnectionLostError,
    HttpMalformedReplyError,
    HttpReply,
    HttpTimeoutError,
)

# The deadline is padded to a fixed number of digits: Content-Length is sent
# with the headers, before the remaining time is read for the body.
_DEADLINE_DIGITS = 9
_MIN_DEADLINE_MS = 1

_REFUSAL_ERRORS: dict[str, type[LeafError]] = {
    "shed": LeafOverloadedError,
    "cold": LeafColdError,
    "draining": LeafDrainingError,
}

# Returns the seconds left until the deadline.
RemainingSeconds = Callable[[], float]


@dataclass(frozen=True, slots=True)
class LeafQuery:
    """One query of a search batch.

    Attributes:
        id: Id that is unique in the batch.
        text: Query text.
        k: Maximum number of matches to return.
    """

    id: str
    text: str
    k: int


class Hit(NamedTuple):
    """One match of a query, as a tuple that sorts by rank.

    Hits sort by descending score, then by document id.

    A named tuple, because it compares fast and a merge compares hundreds of
    hits for each match that it returns.

    Attributes:
        negated_score: The score times -1, so that the best match sorts first.
        document: Id of the matching document.
        title: Document title; may be empty.
    """

    negated_score: float
    document: str
    title: str


@dataclass(frozen=True, slots=True)
class SearchReply:
    """The validated reply to a search batch.

    Attributes:
        documents: Number of documents in the shard.
        matches: Hits of each query, in the order of the queries.
    """

    documents: int
    matches: list[list[Hit]]


@dataclass(frozen=True, slots=True)
class IndexVersion:
    """One index version that a leaf holds.

    Attributes:
        version: Name of the version.
        shard: Number of the leaf's shard, from 0.
        shards: Total number of shards of the version.
        documents: Number of documents in the shard.
    """

    version: str
    shard: int
    shards: int
    documents: int


@dataclass(frozen=True, slots=True)
class LeafIndex:
    """The index versions that a leaf holds, and whether it is draining."""

    versions: tuple[IndexVersion, ...]
    draining: bool


class LeafClient:
    """Calls one leaf over a bounded pool of persistent connections."""

    def __init__(self, address: str, max_connections: int) -> None:
        self._address = address
        self._max_connections = max_connections
        self._http = HttpClient(address, max_connections)
        # Number of running calls by HTTP client, each of which has its own
        # connection pool. Includes replaced clients.
        self._running: collections.Counter[HttpClient] = collections.Counter()

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
        remaining: RemainingSeconds,
    ) -> SearchReply:
        """Runs a batch of queries against one index version.

        Args:
            batch_id: Unique id that the reply has to contain.
            version: Index version to search, the same for all queries.
            shard: Shard that the leaf is expected to hold.
            queries: Queries with ids that are unique in the batch.
            remaining: Returns the seconds left. It is called before the
                connection is opened and again immediately before the body is
                sent. An exception that it raises ends the call.

        Raises:
            LeafUnreachableError: Nothing was sent.
            LeafCrashedError: The connection was lost; the batch may have run.
            LeafNoReplyError: No complete reply in time; the batch may still
                be running.
            LeafTimeoutError: The leaf ended the batch at its deadline.
            LeafReplyError: The reply is malformed, not valid HTTP, or belongs
                to another request.
            LeafOverloadedError: The leaf lacks capacity.
            LeafColdError: The leaf is in a cold start.
            LeafDrainingError: The leaf is leaving service.
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
        reply = await self._call_with_deadline("/search", fields, remaining)
        with self._replace_client_on_bad_reply():
            _require_ok(reply)
            answer = _decode_object(reply)
            _require_equal("batch id", answer.get("batch_id"), batch_id)
            _require_equal("version", answer.get("version"), version)
            _require_equal("shard", answer.get("shard"), shard)
            return _parse_search_reply(answer, queries)

    async def submit(
        self, key: str, body: str, *, remaining: RemainingSeconds
    ) -> Any:
        """Runs a submission and returns the leaf's decoded reply.

        Raises:
            LeafError: One of the errors that search raises; only
                LeafUnreachableError means that no byte was sent.
        """
        fields = {"key": key, "body": body}
        reply = await self._call_with_deadline("/submit", fields, remaining)
        with self._replace_client_on_bad_reply():
            _require_ok(reply)
            return _decode_object(reply)

    async def index(self, timeout_s: float) -> LeafIndex:
        """Fetches the index versions that the leaf holds.

        Raises:
            LeafError: The leaf did not return a valid reply.
        """
        reply = await self._send("GET", "/index", None, timeout_s)
        with self._replace_client_on_bad_reply():
            _require_ok(reply)
            return _parse_leaf_index(_decode_object(reply))

    async def cancel(self, batch_id: str, timeout_s: float) -> None:
        """Asks the leaf to stop a batch.

        Raises:
            LeafError: The leaf did not reply.
        """
        await self._send("POST", "/cancel", {"batch_id": batch_id}, timeout_s)

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._close_replaced_clients()
        await self._http.aclose()

    @contextlib.contextmanager
    def _replace_client_on_bad_reply(self) -> Iterator[None]:
        """Replaces the HTTP client after a reply that raises LeafReplyError.

        Such a reply is malformed or unexpected, or belongs to another request,
        and its connection might deliver later replies to wrong requests too. It
        is not known which connection carried the reply, so later calls use a
        new client with a new connection pool. Running calls finish on the old
        client, which is closed after the last of them.
        """
        try:
            yield
        except LeafReplyError:
            self._http = HttpClient(self._address, self._max_connections)
            raise

    async def _call_with_deadline(
        self, path: str, fields: dict[str, Any], remaining: RemainingSeconds
    ) -> HttpReply:
        # The deadline comes first in the object, so the opening brace is in
        # the prefix.
        suffix = b", " + json.dumps(fields).encode()[1:]

        def build() -> bytes:
            deadline_ms = max(_MIN_DEADLINE_MS, int(remaining() * 1000))
            return _deadline_prefix(deadline_ms) + suffix

        body = DeferredBody(len(_deadline_prefix(0)) + len(suffix), build)
        return await self._send("POST", path, body, remaining())

    async def _send(
        self, method: str, path: str, body: Any, timeout_s: float
    ) -> HttpReply:
        http = self._http
        self._running[http] += 1
        try:
            return await http.call(method, path, body, timeout_s=timeout_s)
        except HttpConnectError as error:
            raise LeafUnreachableError(
                f"no connection to leaf {self._address} could be opened."
            ) from error
        except HttpMalformedReplyError as error:
            raise LeafReplyError(
                f"leaf {self._address} sent a reply that is not HTTP."
            ) from error
        except HttpConnectionLostError as error:
            # A crash of the leaf shows only as a lost connection, so each lost
            # connection counts as a crash.
            raise LeafCrashedError(
                f"leaf {self._address} closed the connection before the"
                " reply was complete."
            ) from error
        except HttpTimeoutError as error:
            raise LeafNoReplyError(
                f"leaf {self._address} sent no complete reply within"
                f" {timeout_s:.3f} s."
            ) from error
        finally:
            self._running[http] -= 1
            await self._close_replaced_clients()

    async def _close_replaced_clients(self) -> None:
        unused = [
            http
            for http, running in self._running.items()
            if not running and http is not self._http
        ]
        for http in unused:
            del self._running[http]
            with trio.CancelScope(shield=True):
                await http.aclose()


def _deadline_prefix(deadline_ms: int) -> bytes:
    """Returns the start of the JSON body, up to the deadline."""
    return f'{{"deadline_ms": {deadline_ms:{_DEADLINE_DIGITS}d}'.encode()


def _require_ok(reply: HttpReply) -> None:
    """Raises the error for a status other than 200."""
    if reply.status == 200:
        return
    if reply.status == 410:
        raise VersionGoneError("the leaf no longer has the index version.")
    if reply.status == 504:
        raise LeafTimeoutError("the leaf ended the request at its deadline.")
    if reply.status == 503:
        raise _refusal_error(reply)
    raise LeafReplyError(
        f"the leaf replied with the unexpected status {reply.status}."
    )


def _refusal_error(reply: HttpReply) -> LeafError:
    reason = _decode_object(reply).get("error")
    kind = _REFUSAL_ERRORS.get(str(reason), LeafReplyError)
    return kind(f"the leaf replied with status 503 and error {reason!r}.")


def _decode_object(reply: HttpReply) -> dict[str, Any]:
    try:
        fields = reply.json()
    except (ValueError, RecursionError) as error:
        raise LeafReplyError("the reply is not JSON.") from error
    if not isinstance(fields, dict):
        raise LeafReplyError("the reply is not a JSON object.")
    return fields


def _require_equal(what: str, found: object, expected: object) -> None:
    # The type check rejects booleans, which equal 0 or 1 in Python.
    if found != expected or type(found) is not type(expected):
        raise LeafReplyError(
            f"the reply has the {what} {found!r}, expected {expected!r}."
        )


def _parse_search_reply(
    answer: dict[str, Any], queries: Sequence[LeafQuery]
) -> SearchReply:
    try:
        documents = _require_count(answer["documents"])
        results = _require_list(answer["results"])
        found = [item["id"] for item in results]
        expected = [query.id for query in queries]
        if sorted(found) != sorted(expected):
            raise LeafReplyError(
                f"the reply has the query ids {found!r}, expected {expected!r}."
            )
        by_id = {item["id"]: item["matches"] for item in results}
        matches = [
            [_parse_hit(match) for match in _require_list(by_id[query.id])]
            for query in queries
        ]
    except (KeyError, TypeError, ValueError, OverflowError) as error:
        # A score may be an integer that is too large for a float.
        raise LeafReplyError(f"malformed reply: {error!r}.") from error
    return SearchReply(documents, matches)


def _parse_hit(fields: dict[str, Any]) -> Hit:
    document, title = fields["id"], fields.get("title", "")
    score = fields["score"]
    if type(document) is not str or type(title) is not str:
        raise ValueError("the id and title of a match must be strings")
    if type(score) not in (float, int) or not math.isfinite(score):
        raise ValueError(f"expected a finite score, got {score!r}")
    return Hit(-score, document, title)


def _parse_leaf_index(answer: dict[str, Any]) -> LeafIndex:
    try:
        return LeafIndex(
            tuple(
                _parse_index_version(item)
                for item in _require_list(answer["versions"])
            ),
            answer.get("draining") is True,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise LeafReplyError(f"malformed index: {error!r}.") from error


def _parse_index_version(fields: dict[str, Any]) -> IndexVersion:
    version = fields["version"]
    if type(version) is not str:
        raise ValueError(f"expected a string as version, got {version!r}")
    shard = _require_count(fields["shard"])
    shards = _require_count(fields["shards"])
    if shard >= shards:
        raise ValueError(f"shard {shard} is out of range for {shards} shards")
    return IndexVersion(
        version, shard, shards, _require_count(fields["documents"])
    )


def _require_list(value: object) -> list[Any]:
    # Iteration would accept an empty object as an empty list.
    if type(value) is not list:
        raise ValueError(f"expected a list, got {value!r}")
    return value


def _require_count(value: object) -> int:
    if type(value) is not int or value < 0:
        raise ValueError(f"expected a non-negative integer, got {value!r}")
    return value
