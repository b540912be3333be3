"""Property tests of the values and replies that other programs send.

Whatever the bytes are, a decoder returns a result or raises an error of its
module. `make fuzz` runs more examples.
"""

from __future__ import annotations

import contextlib
import json

import msgspec
import pytest
import trio
from adapter import decode, settings
from adapter.store import StoreClient
from fuzzing import fuzz
from hypothesis import example, given
from hypothesis import strategies as st
from sample_values import CONFIG, LEAF, ROUTE
from sapphire_core.errors import SapphireError
from sapphire_core.members import Member
from sapphire_core.storerevision import StoreRevision
from sapphire_gateway.delegated_calls import HelperServer
from sapphire_gateway.feed import FeedClient
from sapphire_gateway.fleet import Fleet
from sapphire_gateway.fleet_view import FleetView, apply_update
from sapphire_gateway.messages import Reply, Request
from sapphire_gateway.revisionexchange import RevisionServer
from sapphire_gateway.store import Lease, StoreUnavailableError

KEYS = st.sampled_from(
    ["servers/i-1", "op/config", "op/evacuate/z1", "members/vm2", "other", ""]
)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=20),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=10), inner, max_size=4)
    ),
    max_leaves=20,
)
SEARCH_CONFIG = {
    **CONFIG,
    "Routes": [
        {
            **ROUTE,
            "Gather": ["s", "t"],
            "TrafficSplit": [{"Service": "s", "Weight": 1.0}],
            "TopK": 5,
            "MinShardShare": 0.5,
        }
    ],
}
MEMBER = {
    "address": "10.0.0.2:80",
    "failure_domain": "z1",
    "leaving": False,
    "cores": 2.0,
    "peer_address": "10.0.0.2:81",
    "suspects": [{"fingerprint": "f", "crashes": 1, "expires_in_s": 2.0}],
}


def mutations(value):
    """Returns strategies of values that differ from a valid one in a place."""
    options = [JSON]
    if isinstance(value, dict):
        for key in value:
            for changed in mutations(value[key]):
                options.append(
                    changed.map(lambda new, key=key: {**value, key: new})
                )
            without = {k: v for k, v in value.items() if k != key}
            options.append(st.just(without))
    if isinstance(value, list) and value:
        for changed in mutations(value[0]):
            options.append(changed.map(lambda new: [new, *value[1:]]))
    return options


VALUES = st.one_of(
    st.binary(max_size=200),
    *(
        strategy.map(lambda fields: json.dumps(fields).encode())
        for valid in (LEAF, CONFIG, SEARCH_CONFIG, MEMBER)
        for strategy in mutations(valid)
    ),
)


@fuzz
@given(KEYS, VALUES)
@example("op/config", b"[" * 100_000)
@example("servers/i-1", json.dumps({**LEAF, "born": 10**400}).encode())
def test_any_value_of_the_store_is_decoded_or_unreadable(key, value):
    """Another writer's value never ends the loop that reads changes."""
    view = FleetView("vm1")
    for update in (decode.decode_write(key, value), decode.decode_removal(key)):
        if update is not None:
            apply_update(update, view, now=1.0)


class _StubHttp:
    """Mixed into a client: returns a fixed reply to each request."""

    reply: Reply

    async def request(self, *_args: object, **_kwargs: object):
        return self.reply


class _StubbedStore(_StubHttp, StoreClient):
    pass


STORE_BODIES = st.one_of(
    st.binary(max_size=100),
    JSON.map(lambda fields: json.dumps(fields).encode()),
    *(
        strategy.map(lambda fields: json.dumps(fields).encode())
        for strategy in mutations(
            {
                "events": [
                    {"Key": "servers/i-1", "Revision": 6, "Value": "e30="}
                ],
                "items": [{"Key": "op/config", "Revision": 6, "Value": "e30="}],
                "HasMore": False,
                "CurrentRev": 6,
                "Revision": 6,
                "Lease": 3,
            }
        )
    ),
)
STORE_CALLS = [
    lambda store: store.watch_all(StoreRevision(0, 5), 1.0),
    lambda store: store.read_all(),
    lambda store: store.read_members(),
    lambda store: store.open_lease(4.0),
    lambda store: store.renew_lease(Lease(3, 0)),
    lambda store: store.put_member(
        Member("vm1", "10.0.0.1:80", "z1"), Lease(3, 0)
    ),
]


@pytest.mark.parametrize("call", STORE_CALLS)
@fuzz
@given(STORE_BODIES, st.sampled_from([200, 404, 410, 429, 500]))
def test_any_reply_of_the_store_is_decoded_or_an_outage(call, body, status):
    store = _StubbedStore("127.0.0.1:1")
    store.reply = Reply(status, [], body, keeps_alive=True)

    async def run():
        with trio.move_on_after(1):
            await call(store)

    with contextlib.suppress(SapphireError):
        trio.run(run)


class _StubbedFeed(FeedClient):
    def __init__(self, reply) -> None:
        self._http = _StubHttp()
        self._http.reply = reply
        self._http.address = "127.0.0.1:1"
        self._decode = lambda key, value: decode.decode_write(key, value or b"")


@fuzz
@given(
    st.one_of(
        st.binary(max_size=200),
        st.tuples(
            st.integers(-5, 2**63 - 1) | st.text(max_size=3),
            st.floats() | st.integers(0, 5),
            st.booleans(),
            st.booleans(),
            st.binary(max_size=50)
            | st.lists(
                st.tuples(KEYS, st.integers(0, 9), st.none() | st.binary()),
                max_size=3,
            ).map(msgspec.msgpack.encode),
        ).map(msgspec.msgpack.encode),
    )
)
def test_any_answer_of_a_feed_is_decoded_or_an_outage(body):
    feed = _StubbedFeed(Reply(200, [], body, keeps_alive=True))
    with contextlib.suppress(StoreUnavailableError):
        trio.run(feed.changes, StoreRevision(1, 3))


@fuzz
@given(
    st.sampled_from([b"/calls", b"/rest", b"/"]),
    st.binary(max_size=200)
    | st.lists(
        st.integers() | st.text(max_size=5) | st.binary(max_size=5),
        max_size=14,
    ).map(
        lambda items: msgspec.msgpack.encode(
            [i if not isinstance(i, int) else i % 2**63 for i in items]
        )
    ),
)
def test_any_request_of_another_vm_gets_an_answer(target, body):
    view = FleetView("vm1")
    fleet = Fleet.__new__(Fleet)
    fleet.view = view
    helper = HelperServer(fleet)
    request = Request(b"POST", target, [], body, keeps_alive=True)
    answer = trio.run(helper.handle, request)
    assert answer.status in {400, 404, 503}


@fuzz
@given(st.binary(max_size=100))
def test_any_question_for_a_revision_gets_an_answer(query):
    server = RevisionServer(FleetView("vm1").freshness)
    request = Request(b"GET", b"/revision?" + query, [], b"", True)

    async def run():
        return server.handle(request)

    assert trio.run(run).status in {200, 400}


@fuzz
@given(
    st.binary(max_size=300)
    | st.text(max_size=300).map(lambda text: text.encode())
)
@example(b"Node = " + b"[" * 5_000)
@example(b"\xff")
def test_any_settings_file_is_read_or_refused(tmp_path_factory, content):
    path = tmp_path_factory.mktemp("settings") / "local.toml"
    path.write_bytes(content)
    with contextlib.suppress(SapphireError):
        settings.read(str(path))
