"""Tests of the whole daemon over real sockets, in one event loop."""

import json
import socket

import pytest
import trio
from sapphire_aggregator.daemon import Daemon
from sapphire_config.settings import AggregatorSettings
from sapphire_standins import leaf, platform
from sapphire_wire.channel import Peer
from sapphire_wire.gen.ttypes import (
    FetchConfig,
    Frame,
    Scatter,
    ShardStatus,
    Submit,
    Target,
    View,
)
from sapphire_wire.platform import PlatformClient


def _free_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return f"127.0.0.1:{server.getsockname()[1]}"


def _stored(leaves):
    service = {
        "name": "toxdesk",
        "leaves": [{"address": x, "failure_domain": "a"} for x in leaves],
        "classes": [{"name": "c", "priority": 0}],
    }
    document = {
        "name": "d",
        "regions": [{"name": "r", "failure_domains": ["a"]}],
        "services": [service],
    }
    fields = {"revision": 7, "change_id": "x", "document": document}
    return json.dumps(fields)


async def _start_standins(nursery):
    """Returns the addresses of a platform and of a leaf."""
    addresses = []
    for module, settings in (
        (platform, platform.PlatformSettings()),
        (leaf, leaf.LeafSettings()),
    ):
        bound = await nursery.start(module.serve, settings, trio.Event())
        addresses.append(bound.listen)
    return addresses


async def _wait_for_view(peer, wanted):
    while True:
        frame = Frame(view=View(known=0, config_revision=0))
        view = (await peer.request(frame)).view_reply
        if wanted(view):
            return view
        await trio.sleep(0.05)


def _submit(address):
    return Frame(
        submit=Submit(
            service_name="toxdesk",
            leaf=address,
            key="key",
            body="{}",
            remaining_ms=1000.0,
        )
    )


def test_daemon_serves_and_stops():
    """Guards against errors in the connections between the parts."""

    async def main():
        async with trio.open_nursery() as nursery:
            kv, leaf_address = await _start_standins(nursery)
            down = _free_address()
            stored = _stored([leaf_address, down])
            await PlatformClient(kv, None).put("config", stored, 0)
            settings = AggregatorSettings(
                vm="127.0.0.1",
                failure_domain="a",
                region="r",
                platform=kv,
                frames=_free_address(),
                admin=_free_address(),
                cell="c",
            )
            daemon = Daemon(settings, nursery)
            await daemon.start()
            peer = Peer(settings.frames, nursery)
            view = await _wait_for_view(
                peer, lambda v: any(x.versions for x in v.leaves or ())
            )
            held = {x.leaf: x for x in view.leaves}[leaf_address]
            await _check_search(peer, held, down)
            await _check_submit(peer, leaf_address, down)
            answer = await peer.request(Frame(fetch_config=FetchConfig()))
            assert answer.config_reply.revision == 7
            assert json.loads(answer.config_reply.document) == json.loads(
                stored
            )
            status = daemon.admin.status()
            assert status["granted"]
            assert status["ready"]
            await daemon.stop()
            view = await _wait_for_view(peer, lambda v: True)
            assert view.leaving
            assert not view.leaves
            nursery.cancel_scope.cancel()

    trio.run(main)


async def _check_search(peer, held, down):
    version = held.versions[0]
    scatter = Scatter(
        service_name="toxdesk",
        version=version.version,
        text="a",
        k=5,
        remaining_ms=1000.0,
        priority=0,
        targets=[Target(version.shard, held.leaf), Target(9, down)],
        canary=True,
        hedge=False,
        fingerprint="",
    )
    channel = await peer.channel()
    results = {}
    async with channel.open_request(Frame(scatter=scatter)) as replies:
        async for frame in replies:
            results.update({x.leaf: x for x in frame.part.results})
            if frame.part.last:
                break
    assert results[held.leaf].status == ShardStatus.OK
    assert results[held.leaf].documents == version.documents
    assert results[down].status == ShardStatus.FAILED


async def _check_submit(peer, leaf_address, down):
    reply = (await peer.request(_submit(leaf_address))).submit_reply
    assert (reply.sent, reply.known) == (True, True)
    assert json.loads(reply.outcome)["registered"]
    for address in (down, "127.0.0.1:1"):
        reply = (await peer.request(_submit(address))).submit_reply
        assert (reply.sent, reply.known) == (False, False)


@pytest.mark.parametrize("frame", [Frame(), Frame(view=View()), Frame(id=3)])
def test_error_in_one_request_does_not_end_the_daemon(frame):
    """Guards against a daemon that stops on an invalid frame."""

    async def main():
        async with trio.open_nursery() as nursery:
            settings = AggregatorSettings(
                vm="127.0.0.1",
                failure_domain="a",
                region="r",
                platform="127.0.0.1:9",
                frames=_free_address(),
                admin=_free_address(),
                cell="c",
            )
            daemon = Daemon(settings, nursery)
            await daemon.start()
            daemon.view.run = None
            await daemon.handle(frame, lambda answer: None)
            reply = []
            await daemon.handle(Frame(fetch_config=FetchConfig()), reply.append)
            assert reply
            nursery.cancel_scope.cancel()

    trio.run(main)
