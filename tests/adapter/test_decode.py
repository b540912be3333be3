"""Tests of decoding values of the platform's store.

The adapter translates between the platform's formats and the gateway's types;
for example, `Zone` is the failure domain. Values (entries) are written by other
programs, such as the leaves, and may be invalid. A leaf whose entry is invalid
counts as removed.
"""

from __future__ import annotations

import json

import pytest
from adapter import decode
from sample_values import CONFIG, LEAF, ROUTE
from sapphire_core.crashsuspects import CrashedLeaf, CrashRecord
from sapphire_core.leafset import LeafState
from sapphire_core.members import Member
from sapphire_core.routing import Kind
from sapphire_gateway.fleet_view import (
    ConfigurationUpdate,
    EvacuationUpdate,
    LeafRemoval,
    LeafUpdate,
    MemberRemoval,
    MemberUpdate,
    UnreadableValue,
)

# Value of a test case for a field that is left out of the entry.
ABSENT = "absent"


def decode_leaf(**overrides: object):
    fields = {**LEAF, **overrides}
    value = {k: v for k, v in fields.items() if v != ABSENT}
    return decode.decode_write("servers/i-1", json.dumps(value).encode())


def decode_config(**overrides: object):
    value = json.dumps({**CONFIG, **overrides}).encode()
    return decode.decode_write("op/config", value)


def test_leaf_entry():
    entry = decode_leaf().entry
    assert (entry.leaf_id, entry.service) == ("i-1", "s")
    assert entry.state is LeafState.READY
    assert entry.warmup_left_s == 1.5
    assert (entry.born_ms, entry.sequence) == (1791105842648, 4)
    assert decode_leaf(State="draining").entry.state is LeafState.DRAINING


@pytest.mark.parametrize(
    "wrong",
    [
        {"Service": 7},
        {"Service": ABSENT},
        {"Address": "10.0.0.9"},
        {"Address": "leaf:80"},
        {"Address": "10.0.0.9:99999"},
        {"Address": None},
        {"Zone": ["z1"]},
        {"Slots": "2"},
        {"Slots": 0},
        {"Slots": True},
        # The state of a leaf is "ready" or "draining".
        {"State": "starting"},
        {"State": ABSENT},
        {"WarmupLeftMs": -1},
        {"Sequence": "4"},
        {"born": "now"},
        # Numbers that no leaf has.
        {"Slots": 10**26},
        {"WarmupLeftMs": 1e308},
        {"Sequence": 10**26},
        {"Sequence": -1},
        {"born": 10**26},
        {"born": -1},
    ],
)
def test_invalid_leaf_entry_removes_leaf(wrong):
    assert isinstance(decode_leaf(**wrong), LeafRemoval)


@pytest.mark.parametrize(
    "leaf_id",
    ["", " ", "i-1\r\nX-Other: 1", "i-1\n", "i 1", "i-\x00", "i-é", "i" * 201],
)
def test_leaf_id_that_is_no_header_value_names_no_leaf(leaf_id):
    """Guards against ids that add headers to the requests to a leaf."""
    value = json.dumps(LEAF).encode()
    update = decode.decode_write(f"servers/{leaf_id}", value)
    assert isinstance(update, LeafRemoval)


@pytest.mark.parametrize("value", [b"", b"\xff\xfe", b"[]", b"null", b"{"])
def test_malformed_leaf_entry_removes_leaf(value):
    assert isinstance(decode.decode_write("servers/i-1", value), LeafRemoval)


def test_configuration():
    read = decode_config().configuration
    assert read.version == 7
    route = read.routes[0]
    assert route.kind is Kind.AT_MOST_ONCE
    # target_s is the latency objective.
    assert (route.timeout_s, route.target_s) == (4.0, 0.346)
    assert read.services["s"].cold_rate == 4.5
    assert read.limits.idle_timeout_s == 4.0


def test_gather_route_is_idempotent_and_has_no_weighted_services():
    """A search over shards may be repeated, whatever its kind.

    Its shares, the weighted services of a traffic split, are empty.
    """
    route = {**ROUTE, "Gather": ["p", "q"], "TopK": 5, "MinShardShare": 0.75}
    del route["Service"]
    read = decode_config(Routes=[route]).configuration.routes[0]
    assert read.kind is Kind.IDEMPOTENT
    assert read.gather.shards == ("p", "q")
    assert read.shares == ()


def test_split_route_keeps_weights():
    split = [{"Service": "p", "Weight": 3}, {"Service": "q", "Weight": 1}]
    route = {**ROUTE, "TrafficSplit": split}
    del route["Service"]
    read = decode_config(Routes=[route]).configuration.routes[0]
    assert [(s.service, s.weight) for s in read.shares] == [
        ("p", 3.0),
        ("q", 1.0),
    ]


@pytest.mark.parametrize(
    "weights", [[-1.0, 2.0], [0.0, 0.0], [float("inf"), 1.0]]
)
def test_configuration_with_unusable_weights_is_unreadable(weights):
    """The last valid configuration stays in force."""
    split = [
        {"Service": f"s{index}", "Weight": weight}
        for index, weight in enumerate(weights)
    ]
    route = {**ROUTE, "TrafficSplit": split, "Service": None}
    config = {**CONFIG, "Routes": [route]}
    update = decode.decode_write("op/config", json.dumps(config).encode())
    assert isinstance(update, UnreadableValue)


@pytest.mark.parametrize("port", ["8_0", " 80", "+80", "\u0668\u0660"])
def test_leaf_with_a_port_that_is_no_plain_number_is_removed(port):
    entry = {**LEAF, "Address": f"10.0.0.9:{port}"}
    update = decode.decode_write("servers/i-1", json.dumps(entry).encode())
    assert isinstance(update, LeafRemoval)


def test_unknown_kind_is_at_most_once():
    """Guards against repeating requests that may not be idempotent."""
    read = decode_config(Routes=[{**ROUTE, "Kind": "other"}]).configuration
    assert read.routes[0].kind is Kind.AT_MOST_ONCE


@pytest.mark.parametrize(
    "wrong", [{"Version": "7"}, {"Routes": [{"Host": "a"}]}, {"Routes": {}}]
)
def test_invalid_configuration_is_reported_as_unreadable(wrong):
    assert isinstance(decode_config(**wrong), UnreadableValue)


def test_evacuations_removals_and_unrelated_keys():
    assert decode.decode_write("op/config/x", b"{}") is None
    assert decode.decode_write("other", b"{}") is None
    out = decode.decode_write("op/evacuate/z1", b"{}")
    assert out == EvacuationUpdate("z1", is_out=True)
    assert decode.decode_removal("op/evacuate/z1") == EvacuationUpdate(
        "z1", is_out=False
    )
    assert decode.decode_removal("members/vm1") == MemberRemoval("vm1")
    # The last configuration stays in use when its key is removed.
    assert decode.decode_removal("op/config") is None
    assert isinstance(decode.decode_removal("servers/i-1"), LeafRemoval)


def test_member_entry_round_trip():
    leaves = (CrashedLeaf("s", "i-1@1"),)
    suspects = (
        CrashRecord("f1", leaves, is_quarantined=False, expires_in_s=59.5),
        CrashRecord("f2", (), is_quarantined=True, expires_in_s=599.5),
    )
    member = Member("vm1", "10.0.0.1:80", "z1", leaving=True, suspects=suspects)
    value = decode.encode_member(member)
    assert decode.decode_write("members/vm1", value) == MemberUpdate(member)


@pytest.mark.parametrize(
    "wrong",
    [
        {"TimeoutMs": -1},
        {"TimeoutMs": 0, "TargetLatencyMs": 0},
        {"TimeoutMs": 1e308},
        {"TargetLatencyMs": -1e308},
        {"TargetLatencyMs": 1e308},
        {"MaxAttempts": 10**30},
        {"Priority": -(10**30)},
        {"Gather": ["s"], "MinShardShare": -1e308},
        {"Gather": ["s"], "MinShardShare": 1.01},
        {"Gather": ["s"], "TopK": -1},
        {"Gather": ["s"], "TopK": 10**30},
    ],
)
def test_unusable_route_leaves_the_last_configuration_in_force(wrong):
    """Guards against requests that raise errors for numbers of their route."""
    update = decode_config(Routes=[{**ROUTE, **wrong}])
    assert isinstance(update, UnreadableValue)
    assert update.reason


@pytest.mark.parametrize(
    "wrong",
    [
        {"Version": -1},
        {"Version": 10**30},
        {"Limits": {"MaxHeaderBytes": -1}},
        {"Limits": {"MaxBodyBytes": 10**30}},
        {"Limits": {"HeaderTimeoutMs": -1}},
        {"Limits": {"IdleTimeoutMs": 1e308}},
        {"Services": [{"Name": "s", "MaxConnections": -1}]},
        {"Services": [{"Name": "s", "MaxConnections": 10**30}]},
        {"Services": [{"Name": "s", "WarmupPerS": -1}]},
        {"Services": [{"Name": "s", "WarmupPerS": 1e308}]},
    ],
)
def test_unusable_configuration_leaves_the_last_one_in_force(wrong):
    update = decode_config(**wrong)
    assert isinstance(update, UnreadableValue)
    assert update.reason


@pytest.mark.parametrize("target", [None, 0])
def test_route_without_a_target_has_that_of_its_timeout(target):
    """Guards against a division by the target."""
    update = decode_config(
        Routes=[{**ROUTE, "TimeoutMs": 250, "TargetLatencyMs": target}]
    )
    assert update.configuration.routes[0].target_s == 0.25


@pytest.mark.parametrize(
    "wrong",
    [
        {"address": "10.0.0.9"},
        {"address": "vm:80"},
        {"address": "10.0.0.9:99999"},
        {"address": ""},
        {"peer_address": "x"},
        {"peer_address": "10.0.0.9:x"},
        {"peer_address": "10.0.0.9:0"},
        {"cores": 0},
        {"cores": -1e308},
        {"cores": 1e308},
    ],
)
def test_unusable_member_entry(wrong):
    """Guards against processes that end when they connect to a VM."""
    usual = {
        "address": "10.0.0.1:80",
        "failure_domain": "z1",
        "leaving": False,
        "peer_address": "10.0.0.1:81",
        "cores": 1.0,
    }
    value = json.dumps({**usual, **wrong}).encode()
    update = decode.decode_write("members/vm2", value)
    assert isinstance(update, UnreadableValue)
    assert update.reason


def test_valid_values_yield_updates():
    assert isinstance(decode_leaf(), LeafUpdate)
    assert isinstance(decode_config(), ConfigurationUpdate)


def test_member_entry_of_an_earlier_version():
    """Guards against a lost quarantine while VMs are being replaced."""
    value = json.dumps(
        {
            "address": "10.0.0.1:80",
            "failure_domain": "z1",
            "leaving": False,
            "suspects": [
                {"fingerprint": "f1", "crashes": 2, "expires_in_s": 30.0},
                {"fingerprint": "f2", "crashes": 1, "expires_in_s": 30.0},
            ],
        }
    ).encode()
    update = decode.decode_write("members/vm1", value)
    quarantined = [s.is_quarantined for s in update.member.suspects]
    assert quarantined == [True, False]
