"""Exchange of store revisions between the VMs that watch the store.

A watch can be lost without a sign: its connection stays open and silent while
those of other calls work. Each VM therefore tells a few others up to which
revision it has applied the changes, and hears the same from them. It costs no
call to the store.
"""

from __future__ import annotations

import itertools
import urllib.parse

import trio
from sapphire_core.freshness import Freshness
from sapphire_core.members import Member, select_revision_peers
from sapphire_core.storerevision import NO_REVISION

from sapphire_gateway import telemetry
from sapphire_gateway.decoding import parse_revision
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.httpclient import HttpClient
from sapphire_gateway.messages import Request, Response
from sapphire_gateway.replyreader import SMALL_REPLY_LIMITS
from sapphire_gateway.store import StoreUnavailableError

PATH = "/revision"
# Each interval one of the peers is asked.
EXCHANGE_INTERVAL_S = 1.0
TIMEOUT_S = 0.5
OK = 200


class RevisionServer:
    """Answers other VMs with the revision of this VM's copy of the store."""

    def __init__(self, freshness: Freshness) -> None:
        self._freshness = freshness

    def handle(self, request: Request) -> Response:
        """Learns the revision of the VM that asks, and answers with its own."""
        url = urllib.parse.urlsplit(request.target.decode("latin-1"))
        query = urllib.parse.parse_qs(url.query)
        known = parse_revision(
            query.get("known", [""])[0], query.get("era", ["0"])[0]
        )
        if known is None:
            return Response(400, [])
        self._freshness.learn_revision(known, trio.current_time())
        revision = self._freshness.revision or NO_REVISION
        return Response(OK, [], b"%d %d" % (revision.number, revision.era))


class RevisionExchange:
    """Asks the peers of this VM in turn."""

    def __init__(
        self, fleet: Fleet, own_entry: Member, nursery: trio.Nursery
    ) -> None:
        """Creates an exchange that does not run yet.

        Args:
            fleet: Provides the serving members and the state of the copy.
            own_entry: This VM's entry.
            nursery: Runs the connections.
        """
        self._fleet = fleet
        self._own_entry = own_entry
        self._nursery = nursery
        self._clients: dict[str, HttpClient] = {}

    async def run(self) -> None:
        """Runs until cancelled."""
        for turn in itertools.count():
            await trio.sleep(EXCHANGE_INTERVAL_S)
            serving = self._fleet.serving_members(trio.current_time())
            peers = select_revision_peers(self._own_entry, serving)
            self._close_others(peers)
            if peers:
                await self.ask(peers[turn % len(peers)])

    async def ask(self, peer: Member) -> None:
        """Exchanges revisions with a peer; a failure is only counted."""
        freshness = self._fleet.view.freshness
        client = self._clients.get(peer.peer_address)
        if client is None:
            traffic = telemetry.domain_traffic(
                PATH, peer.domain != self._fleet.domain
            )
            client = HttpClient(peer.peer_address, SMALL_REPLY_LIMITS, traffic)
            client.start(self._nursery)
            self._clients[peer.peer_address] = client
        own = freshness.revision or NO_REVISION
        target = f"{PATH}?known={own.number}&era={own.era}"
        try:
            reply = await client.request("GET", target, TIMEOUT_S)
        except StoreUnavailableError:
            telemetry.REVISION_EXCHANGES.labels("failed").inc()
            return
        revision = parse_revision(*_split_answer(reply.body))
        if reply.status != OK or revision is None:
            telemetry.REVISION_EXCHANGES.labels("rejected").inc()
            return
        telemetry.REVISION_EXCHANGES.labels("ok").inc()
        freshness.learn_revision(revision, trio.current_time())

    def _close_others(self, peers: list[Member]) -> None:
        used = {peer.peer_address for peer in peers}
        for address in self._clients.keys() - used:
            self._clients.pop(address).reconnect("no longer a peer")


def _split_answer(body: bytes) -> tuple[bytes, bytes]:
    """Returns number and era; VMs of an earlier version state no era."""
    number, _, era = body.strip().partition(b" ")
    return number, era or b"0"
