"""Pool of connections to the leaves, with queues of waiting calls."""

from __future__ import annotations

import collections
from collections.abc import Callable
from dataclasses import dataclass, field

import trio
from sapphire_core.choice import LeafLoad
from sapphire_core.fanout import Failure
from sapphire_core.leafset import LeafEntry

from sapphire_gateway.calls import Call, CallResult, classify_reply
from sapphire_gateway.connection import Connection
from sapphire_gateway.headernames import HeaderNames
from sapphire_gateway.messages import Reply

# Share of a leaf's connections that this fleet uses. The rest is left to other
# clients of the leaf and to connections that are being closed.
CONNECTION_SHARE = 0.85
SWEEP_INTERVAL_S = 0.1
# A request that must not be repeated is sent only on a connection that was idle
# for less than this: a leaf may drop an idle connection without notice.
MAX_IDLE_IF_NOT_REPEATABLE_S = 1.0
# A call without a reply is ended this long after its expiry.
EXPIRY_GRACE_S = 0.1
DEFAULT_CONNECT_S = 0.005
_CONNECT_AVERAGE_WEIGHT = 0.2


@dataclass(slots=True)
class LeafLink:
    """Connections to one incarnation of a leaf, and its load.

    Attributes:
        entry: Latest registry entry of the leaf.
        load: Load and reply times observed in calls.
        connections: All connections that are open or being opened.
        free: Established connections without a call; the last one was used
            most recently.
        queue: Calls waiting for a connection.
        suspects: Fingerprints of requests that were running when their
            connection was lost, until it is known whether the leaf crashed.
        connect_s: Moving average of the time to connect, in seconds.
    """

    entry: LeafEntry
    load: LeafLoad
    connections: list[Connection] = field(default_factory=list)
    free: list[Connection] = field(default_factory=list)
    queue: collections.deque[Call] = field(default_factory=collections.deque)
    suspects: set[str] = field(default_factory=set)
    connect_s: float = DEFAULT_CONNECT_S

    def take_free(self, call: Call, now: float) -> Connection | None:
        """Takes the most recently used free connection, or returns None."""
        while self.free:
            connection = self.free.pop()
            limit = (
                MAX_IDLE_IF_NOT_REPEATABLE_S
                if call.needs_fresh
                else float("inf")
            )
            if connection.is_free and connection.is_reusable(now, limit):
                return connection
            connection.close("idle for too long")
        return None

    @property
    def expected_connect_s(self) -> float:
        """Expected time until a call can be sent, apart from queueing."""
        return 0.0 if self.free else self.connect_s


class LeafPool:
    """Connections to all known leaves.

    The connections run in the nursery of the daemon.
    """

    def __init__(
        self, nursery: trio.Nursery, header_names: HeaderNames
    ) -> None:
        self._nursery = nursery
        self._header_names = header_names
        self._links: dict[str, LeafLink] = {}
        self._busy: set[Connection] = set()
        self._opened = 0
        self.connections_per_leaf: Callable[[LeafEntry], int] = lambda _: 2
        self.on_crash: Callable[[LeafEntry, set[str]], None] = (
            lambda _entry, _suspects: None
        )

    @property
    def opened(self) -> int:
        """Number of connections opened since the start."""
        return self._opened

    def link(self, entry: LeafEntry) -> LeafLink:
        """Returns the link to a leaf; a restarted leaf gets a new one."""
        link = self._links.get(entry.leaf_id)
        if link is not None and link.entry.incarnation == entry.incarnation:
            link.entry = entry
            return link
        if link is not None:
            self.drop(entry.leaf_id, "the leaf restarted")
        link = LeafLink(entry, LeafLoad(max(1, entry.slots)))
        self._links[entry.leaf_id] = link
        return link

    def drop(self, leaf_id: str, reason: str) -> None:
        """Closes the idle connections of a removed leaf.

        Running calls continue; their connections close after the reply.
        """
        link = self._links.pop(leaf_id, None)
        if link is None:
            return
        self._report_crash(link)
        for connection in list(link.connections):
            if connection.call is None:
                connection.close(reason)
        while link.queue:
            call = link.queue.popleft()
            call.complete(
                CallResult(None, Failure.NOT_RUN, reason, was_sent=False)
            )

    def warm(self, entry: LeafEntry) -> None:
        """Opens a connection to a leaf unless there is one."""
        link = self.link(entry)
        if not link.connections:
            self._open(link, None)

    def call(self, link: LeafLink, call: Call) -> None:
        """Sends a call, or queues it for the next free connection."""
        now = trio.current_time()
        link.load.record_sent(call.number, now)
        connection = link.take_free(call, now)
        if connection is not None:
            self._busy.add(connection)
            connection.start(call)
        elif len(link.connections) < self.connections_per_leaf(link.entry):
            self._open(link, call)
        else:
            link.queue.append(call)

    def close_idle(self, reason: str) -> None:
        """Closes all idle connections, for example after a pause of the VM."""
        for link in self._links.values():
            for connection in list(link.free):
                connection.close(reason)

    async def sweep(self) -> None:
        """Ends expired calls periodically until cancelled."""
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self._sweep_once(trio.current_time())

    def _sweep_once(self, now: float) -> None:
        limit = now - EXPIRY_GRACE_S
        for connection in list(self._busy):
            call = connection.call
            if call is not None and call.expires_at < limit:
                connection.close("no reply in time")
        for link in list(self._links.values()):
            if link.suspects:
                self._check_alive(link)
            while link.queue and link.queue[0].expires_at < limit:
                expired = link.queue.popleft()
                expired.complete(
                    CallResult(
                        None,
                        Failure.NOT_RUN,
                        "queued too long",
                        False,
                    )
                )

    def _check_alive(self, link: LeafLink) -> None:
        """Checks whether a leaf whose connections were lost is still alive."""
        if any(connection.is_connected for connection in link.connections):
            link.suspects.clear()
        elif not link.connections:
            self._open(link, None)

    def _report_crash(self, link: LeafLink) -> None:
        """Reports a crash if requests were running on the leaf."""
        if link.suspects:
            suspects, link.suspects = link.suspects, set()
            self.on_crash(link.entry, suspects)

    def _open(self, link: LeafLink, call: Call | None) -> None:
        def classify(reply: Reply, answered: Call) -> CallResult:
            return classify_reply(reply, answered, self._header_names)

        def on_free(connection: Connection) -> None:
            self._on_free(link, connection)

        def on_closed(connection: Connection) -> None:
            self._on_closed(link, connection)

        connection = Connection(
            link.entry.address, classify, on_free, on_closed
        )
        link.connections.append(connection)
        self._opened += 1
        if call is not None:
            self._busy.add(connection)
            connection.start(call)
        self._nursery.start_soon(connection.run)

    def _on_free(self, link: LeafLink, connection: Connection) -> None:
        self._busy.discard(connection)
        if connection.connect_s:
            change = connection.connect_s - link.connect_s
            link.connect_s += _CONNECT_AVERAGE_WEIGHT * change
            connection.connect_s = 0.0
        while link.queue:
            call = link.queue.popleft()
            if not call.is_over:
                self._busy.add(connection)
                connection.start(call)
                return
        if self._links.get(link.entry.leaf_id) is not link:
            connection.close("the leaf is gone")
            return
        link.free.append(connection)

    def _on_closed(self, link: LeafLink, connection: Connection) -> None:
        self._busy.discard(connection)
        link.connections.remove(connection)
        if connection in link.free:
            link.free.remove(connection)
        if not connection.is_connected:
            link.load.record_unreachable(trio.current_time())
            self._report_crash(link)
        if link.queue and not link.connections:
            self._open(link, link.queue.popleft())
