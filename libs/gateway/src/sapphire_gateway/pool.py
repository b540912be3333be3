"""Connections to the leaves, with queues of calls that wait for one."""

from __future__ import annotations

import collections
import functools
from collections.abc import Callable

import trio
from prometheus_client import Counter
from sapphire_core.choice import LeafLoad
from sapphire_core.fanout import Failure
from sapphire_core.leafset import LeafEntry
from sapphire_core.leafterms import LeafTerms

from sapphire_gateway import supervision, telemetry
from sapphire_gateway.calls import Call, CallResult, classify_reply
from sapphire_gateway.connection import Connection
from sapphire_gateway.headernames import HeaderNames
from sapphire_gateway.leafendpoint import LeafEndpoint, LostCall
from sapphire_gateway.messagememory import PROCESS_MEMORY, MessageMemory
from sapphire_gateway.messages import Reply

# Share of a leaf's connections that this fleet uses. The rest is left to other
# clients of the leaf and to connections that are being closed.
CONNECTION_SHARE = 0.85
SWEEP_INTERVAL_S = 0.1
# Closing all connections of a crashed leaf is noticed within this time.
CLOSING_DELAY_S = 0.05
# A leaf that has lost all connections, and accepts new ones, may have crashed
# and started again. The store says so within this time: by the entry of the new
# process, or by the end of the old entry.
RESTART_NOTICE_S = 5.0
MAX_LOGGED_FINGERPRINTS = 10
# Incarnations of leaves whose terms are kept.
MAX_TERMS = 20_000
# A call without a reply is ended this long after its expiry.
EXPIRY_GRACE_S = 0.1
# A connection that is closed later may have been idle for too long.
MAX_REFUSAL_AGE_S = 0.25
# Maximum number of connections to a leaf until Fleet sets max_connections.
INITIAL_MAX_CONNECTIONS = 2
_CONNECT_AVERAGE_WEIGHT = 0.2


class LeafPool:
    """Connections to all known leaves.

    The connections run in the nursery of the daemon.

    Attributes:
        keeps_idle: Whether connections stay open after a reply. Set by Fleet:
            the many VMs that serve no callers would else use up the connections
            that a leaf accepts.
        max_connections: Returns the maximum number of connections to a leaf.
            Set by Fleet, from the configuration and the number of VMs.
        traffic: Returns the counter of the bytes exchanged with a leaf. Set by
            Fleet.
        refusal: Returns why a leaf may not get a call that waits for it; None
            if it may. Set by Fleet.
        admit: The same at the moment of sending, where the leaf's cold rate
            and limit are charged. Set by Fleet.
        on_crash: Called with a leaf that has crashed and the calls that were
            running on it. Set by Fleet.
        on_unexplained_loss: Called with a leaf that may have crashed and
            started again, and with the calls that were running on it. Set by
            Fleet.
        on_unreachable: Called with a leaf to which no connection can be opened.
            Set by Fleet.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        header_names: HeaderNames,
        memory: MessageMemory = PROCESS_MEMORY,
    ) -> None:
        """Creates a pool without connections.

        Args:
            nursery: Runs the connections.
            header_names: Names of the HTTP headers.
            memory: Limits the memory of partial replies.
        """
        self._nursery = nursery
        self._header_names = header_names
        self._memory = memory
        self._endpoints: dict[str, LeafEndpoint] = {}
        self._terms: dict[tuple[str, int, str], LeafTerms] = {}
        self._busy: set[Connection] = set()
        self._opened_count = 0
        self.keeps_idle = True
        self.max_connections: Callable[[LeafEntry], int] = lambda _: (
            INITIAL_MAX_CONNECTIONS
        )
        self.traffic: Callable[[LeafEntry], Counter | None] = lambda _: None
        self.refusal: Callable[[LeafEndpoint, Call], str | None] = (
            lambda _endpoint, _call: None
        )
        self.admit: Callable[[LeafEndpoint, Call], str | None] = self.refusal
        self.on_crash: Callable[[LeafEntry, list[LostCall]], None] = (
            lambda _entry, _lost_calls: None
        )
        self.on_unexplained_loss: Callable[
            [LeafEntry, list[LostCall]], None
        ] = lambda _entry, _lost_calls: None
        self.on_unreachable: Callable[[LeafEntry], None] = lambda _entry: None

    @property
    def limited_count(self) -> int:
        """Number of leaves that name a limit."""
        return sum(e.terms.has_limit for e in self._endpoints.values())

    def paused_count(self, now: float) -> int:
        """Number of leaves that have asked this VM for a pause."""
        return sum(now < e.terms.paused_until for e in self._endpoints.values())

    @property
    def opened_count(self) -> int:
        """Number of attempts to open a connection since the start."""
        return self._opened_count

    def get_or_create(self, entry: LeafEntry) -> LeafEndpoint:
        """Returns the endpoint of a leaf, which is created if needed.

        The endpoint of an earlier incarnation of the leaf is dropped.
        """
        endpoint = self._endpoints.get(entry.leaf_id)
        if (
            endpoint is not None
            and endpoint.entry.incarnation == entry.incarnation
        ):
            endpoint.entry = entry
            return endpoint
        if endpoint is not None:
            self.drop(entry.leaf_id, "the leaf restarted")
        # A leaf's entry may vanish and return in an outage of the store; what
        # the leaf has asked for still holds then.
        terms = self._terms.setdefault(entry.incarnation, LeafTerms())
        while len(self._terms) > MAX_TERMS:
            del self._terms[next(iter(self._terms))]
        endpoint = LeafEndpoint(entry, LeafLoad(max(1, entry.slots)), terms)
        self._endpoints[entry.leaf_id] = endpoint
        return endpoint

    def record_limit_end(
        self, incarnation: tuple[str, int, str], answered_at: float
    ) -> bool:
        """Records that a leaf has named no limit to another VM.

        Args:
            incarnation: The leaf.
            answered_at: Time of its answer to that VM.

        Returns:
            Whether a limit has ended by that.
        """
        terms = self._terms.get(incarnation)
        return terms is not None and terms.record_limit_end(answered_at)

    def drop(self, leaf_id: str, reason: str) -> None:
        """Removes the endpoint of a leaf that no longer exists at its address.

        The leaf was removed, has restarted, or another leaf has its address.
        Idle connections close and queued calls fail. Running calls continue;
        their connections close after the reply. If calls were lost before or
        are lost then, the leaf is taken to have crashed.
        """
        endpoint = self._endpoints.pop(leaf_id, None)
        if endpoint is None:
            return
        self._report_crash(endpoint)
        for connection in list(endpoint.connections):
            if connection.call is None:
                connection.close(reason)
        self.reject_queued(endpoint, reason)

    def reject_queued(self, endpoint: LeafEndpoint, reason: str) -> None:
        """Ends the calls that wait for a connection to a leaf."""
        calls = list(endpoint.queue)
        endpoint.queue.clear()
        for call in calls:
            _complete_unsent(call, reason)

    def place_waiting_anew(self) -> None:
        """Ends the waiting calls that their leaf may not get any more.

        Their requests choose another leaf at once, instead of when a connection
        becomes free.
        """
        for endpoint in list(self._endpoints.values()):
            if endpoint.queue:
                self._place_waiting_anew_of(endpoint)

    def _place_waiting_anew_of(self, endpoint: LeafEndpoint) -> None:
        calls = [call for call in endpoint.queue if not call.is_over]
        reasons = [self.refusal(endpoint, call) for call in calls]
        endpoint.queue = collections.deque(
            call
            for call, reason in zip(calls, reasons, strict=True)
            if reason is None
        )
        for call, reason in zip(calls, reasons, strict=True):
            if reason is not None:
                telemetry.PLACED_ANEW.inc()
                _complete_unsent(call, reason)

    def connect(self, entry: LeafEntry) -> None:
        """Opens a connection to a leaf in advance, unless there is one.

        Nor is it opened soon after the leaf has refused one.
        """
        endpoint = self.get_or_create(entry)
        if (
            not endpoint.connections
            and trio.current_time() >= endpoint.refused_until
        ):
            self._open(endpoint, None)

    def call_after_closing(self, function: Callable[[], None]) -> None:
        """Calls a function once connections that are closing have closed."""

        async def call_later() -> None:
            await trio.sleep(CLOSING_DELAY_S)
            function()

        self._nursery.start_soon(
            supervision.run_once, "probe of neighbours", call_later
        )

    def call(self, endpoint: LeafEndpoint, call: Call) -> None:
        """Sends a call, or queues it for the next free connection."""
        now = trio.current_time()
        endpoint.load.record_call(call.number, now)
        connection = endpoint.take_free(call, now)
        if connection is not None:
            self._busy.add(connection)
            if not connection.start(call):
                self._on_free(endpoint, connection)
        elif not endpoint.connections or (
            len(endpoint.connections) < self.max_connections(endpoint.entry)
            and now >= endpoint.refused_until
        ):
            self._open(endpoint, call)
        else:
            endpoint.queue.append(call)

    def close_idle(self, reason: str) -> None:
        """Closes all idle connections, for example after a pause of the VM."""
        for endpoint in self._endpoints.values():
            for connection in list(endpoint.free_connections):
                connection.close(reason)

    async def run_sweeps(self) -> None:
        """Ends expired calls and detects crashed leaves, until cancelled.

        Both are done every SWEEP_INTERVAL_S.
        """
        while True:
            await trio.sleep(SWEEP_INTERVAL_S)
            self._sweep_once(trio.current_time())

    def _sweep_once(self, now: float) -> None:
        limit = now - EXPIRY_GRACE_S
        for connection in list(self._busy):
            call = connection.call
            if call is not None and call.expires_at < limit:
                connection.close("no reply in time")
        for endpoint in list(self._endpoints.values()):
            if endpoint.lost_calls:
                self._check_is_alive(endpoint, now)
            while endpoint.queue and endpoint.queue[0].expires_at < limit:
                _complete_unsent(endpoint.queue.popleft(), "queued too long")
        self.place_waiting_anew()

    def _check_is_alive(self, endpoint: LeafEndpoint, now: float) -> None:
        """Checks whether a leaf that closed connections of calls is alive.

        A process that crashes closes all its connections, so a leaf is alive if
        an older one is still established a moment later. If none is left, a new
        one is opened. If that fails, _on_closed reports a crash. If it
        succeeds, the loss is unexplained: a process that was started again, or
        the kernel on its behalf, accepts connections as well. Such calls are
        kept until the store would have told of the crash.
        """
        if not endpoint.is_connected:
            self._probe_if_lost(endpoint)
            return
        due = [
            call
            for call in endpoint.lost_calls.values()
            if not call.is_silent and now - call.lost_at >= CLOSING_DELAY_S
        ]
        alive = [
            call.fingerprint
            for call in due
            if endpoint.has_connection_from_before(call.lost_at)
            or call.has_reply
            or now - call.lost_at >= RESTART_NOTICE_S
        ]
        self._record_alive(endpoint, alive, "connected")
        unexplained = [
            call
            for call in due
            if call.fingerprint in endpoint.lost_calls
            and not call.is_unexplained
        ]
        for call in unexplained:
            call.is_unexplained = True
        if unexplained:
            self.on_unexplained_loss(endpoint.entry, unexplained)

    def _probe_if_lost(self, endpoint: LeafEndpoint) -> None:
        """Connects to a leaf that has closed all connections during a call.

        It is done at once: after some seconds, another process may have the
        leaf's address.
        """
        is_closed = any(not c.is_silent for c in endpoint.lost_calls.values())
        if is_closed and not endpoint.connections:
            self._open(endpoint, None)

    def _record_alive(
        self, endpoint: LeafEndpoint, fingerprints: list[str], reason: str
    ) -> None:
        if not fingerprints:
            return
        for fingerprint in fingerprints:
            del endpoint.lost_calls[fingerprint]
        telemetry.LOST_LEAVES.labels("alive").inc(len(fingerprints))
        telemetry.leaf_event(
            trio.current_time(),
            "leaf_alive",
            leaf=endpoint.entry.leaf_id,
            fingerprints=sorted(fingerprints)[:MAX_LOGGED_FINGERPRINTS],
            count=len(fingerprints),
            reason=reason,
        )

    def _report_crash(self, endpoint: LeafEndpoint) -> None:
        """Reports a crash if requests were running on the leaf."""
        if endpoint.lost_calls:
            lost_calls = list(endpoint.lost_calls.values())
            endpoint.lost_calls.clear()
            telemetry.LOST_LEAVES.labels("crashed").inc(len(lost_calls))
            self.on_crash(endpoint.entry, lost_calls)

    def _open(self, endpoint: LeafEndpoint, call: Call | None) -> None:
        def classify(reply: Reply, completed_call: Call) -> CallResult:
            return classify_reply(reply, completed_call, self._header_names)

        def on_free(connection: Connection) -> None:
            self._on_free(endpoint, connection)

        def on_closed(connection: Connection) -> None:
            self._on_closed(endpoint, connection)

        connection = Connection(
            endpoint.entry.address,
            classify,
            on_free,
            on_closed,
            self.traffic(endpoint.entry),
            self._memory,
            functools.partial(self.admit, endpoint),
        )
        endpoint.connections.append(connection)
        self._opened_count += 1
        if call is not None:
            self._busy.add(connection)
            connection.start(call)
        self._nursery.start_soon(
            supervision.run_once, "leaf connection", connection.run
        )

    def _record_if_refused(
        self, endpoint: LeafEndpoint, connection: Connection
    ) -> None:
        now = trio.current_time()
        if now - connection.connected_at <= MAX_REFUSAL_AGE_S:
            endpoint.record_refusal(now)
            telemetry.REFUSED_CONNECTIONS.inc()

    def _on_free(self, endpoint: LeafEndpoint, connection: Connection) -> None:
        self._busy.discard(connection)
        silent = [
            call.fingerprint
            for call in endpoint.lost_calls.values()
            if call.is_silent
        ]
        self._record_alive(endpoint, silent, "answered")
        if connection.connect_time_s:
            # A new connection sets connect_time_s once; it is reset here, so
            # that each time enters the average once.
            change = connection.connect_time_s - endpoint.average_connect_s
            endpoint.average_connect_s += _CONNECT_AVERAGE_WEIGHT * change
            connection.connect_time_s = 0.0
        while endpoint.queue and connection.is_free:
            self._busy.add(connection)
            if connection.start(endpoint.queue.popleft()):
                return
            self._busy.discard(connection)
        if connection.is_closed:
            # Its leaf was dropped while a refused call was placed anew.
            return
        if self._endpoints.get(endpoint.entry.leaf_id) is not endpoint:
            # The endpoint was dropped while a call was running.
            connection.close("the leaf is gone")
            return
        if not self.keeps_idle and connection.has_replied:
            connection.close("the VM serves no callers")
            return
        endpoint.free_connections.append(connection)

    def _on_closed(
        self, endpoint: LeafEndpoint, connection: Connection
    ) -> None:
        self._busy.discard(connection)
        endpoint.connections.remove(connection)
        if connection in endpoint.free_connections:
            endpoint.free_connections.remove(connection)
        is_dropped = self._endpoints.get(endpoint.entry.leaf_id) is not endpoint
        if connection.has_replied:
            endpoint.refusal_backoff_s = 0.0
        elif connection.is_closed_by_server:
            self._record_if_refused(endpoint, connection)
        if not connection.was_established:
            endpoint.load.record_unreachable(trio.current_time())
            self.on_unreachable(endpoint.entry)
            self._report_crash(endpoint)
        elif is_dropped:
            self._report_crash(endpoint)
        else:
            if connection.is_closed_by_server and not endpoint.is_connected:
                endpoint.take_failed_calls(trio.current_time())
            self._probe_if_lost(endpoint)
        if endpoint.queue and not endpoint.connections:
            self._place_waiting_anew_of(endpoint)
        if endpoint.queue and not endpoint.connections:
            self._open(endpoint, endpoint.queue.popleft())


def _complete_unsent(call: Call, reason: str) -> None:
    call.complete(CallResult(None, Failure.NOT_RUN, reason, was_sent=False))
