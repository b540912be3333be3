"""Tests of the views that an entry receives from aggregators."""

import trio
from sapphire_core.shardmap import ReplicaState
from sapphire_entry.views import LeafTable
from sapphire_wire.gen.ttypes import EntryRecord, LeafVersion, LeafView


def _view(leaf="l1", versions=(("v1", 0, 1, 10),), state=ReplicaState.WARM):
    held = [LeafVersion(*fields) for fields in versions]
    return LeafView(leaf, "tox", "d1", state, 1.0, 0, held)


def test_leaf_moves_to_its_new_holder():
    """Guards against sending calls to a previous holder of a leaf."""
    table = LeafTable()
    kept = {table.update("a1", _view(), 1.0)}
    table.update("a2", _view(), 1.0)
    table.release("a1", set(), 1.0)
    assert table.replicas("tox")["l1"].holder == "a2"
    table.release("a2", kept, 1.0)
    assert table.replicas("tox")["l1"].holder == "a2"
    table.release("a2", set(), 1.0)
    assert not table.shard_map("tox").is_complete


def test_leaf_without_known_index_still_counts():
    """Guards against a document total that drops during a handover."""
    table = LeafTable()
    table.update("a1", _view(), 1.0)
    table.update("a2", _view(versions=()), 1.0)
    shard_map = table.shard_map("tox")
    assert shard_map.documents == [10]
    assert shard_map.served_count == 0


def test_version_is_chosen_again_when_a_leaf_loses_its_holder():
    """Guards against searches of a version that no longer has all shards."""
    table = LeafTable()
    old, new = ("v1", 0, 1, 10), ("v2", 0, 1, 10)
    table.update("a1", _view(leaf="l1", versions=(old,)), 1.0)
    table.update("a1", _view(leaf="l2", versions=(new,)), 1.0)
    assert table.shard_map("tox").version == "v2"
    table.update("a1", _view(leaf="l2", versions=()), 2.0)
    assert table.shard_map("tox").version == "v1"


def test_leaves_out_of_service_get_no_queries():
    """Guards against queries to a failure domain that is out of service."""
    table = LeafTable()
    table.update("a1", _view(), 1.0)
    assert table.shard_map("tox").served_count == 1
    known = {"l1", "l2"}
    table.apply_configuration(
        lambda service, leaf, domain: domain != "d1",
        lambda service, leaf: leaf in known,
    )
    assert table.shard_map("tox").documents == [10]
    assert table.shard_map("tox").served_count == 0
    table.update("a1", _view(leaf="l2"), 1.0)
    assert table.shard_map("tox").served_count == 0
    table.release("a1", set(), 2.0)
    table.apply_configuration(
        lambda *place: True, lambda service, leaf: leaf == "l1"
    )
    assert list(table.replicas("tox")) == ["l1"]


async def test_other_entries_are_listed_until_they_announce_shutdown(harness):
    """Guards against listing entries that announced their shutdown."""

    def record(ready, stamp):
        place = ("127.0.0.9:80", "127.0.0.9", "d2")
        return EntryRecord(*place, ready, stamp)

    async def listed(count):
        harness.entry.aggregator_pool.refresh()
        with trio.fail_after(5):
            while len(harness.entry.addresses("d2")) != count:
                await trio.sleep(0.01)

    harness.aggregator.entries.append(record(ready=True, stamp=5))
    await listed(2)
    assert harness.entry.addresses("d2")[0].address == "127.0.0.9:80"
    harness.aggregator.entries[:] = [record(ready=False, stamp=6)]
    await listed(1)


async def test_malformed_view_does_not_end_the_daemon(harness):
    """Guards against an entry that ends due to a malformed view."""
    harness.aggregator.peers = ["nowhere", "127.0.0.1:1"]
    harness.aggregator.revision = None
    harness.entry.aggregator_pool.refresh()
    await trio.sleep(0.2)
    harness.aggregator.revision = 0
    harness.entry.aggregator_pool.refresh()
    await trio.sleep(0.2)
    assert (await harness.search()).status == 200


async def test_leaving_vm_is_not_listed(harness):
    """Guards against listing an entry on a VM that will be removed."""
    harness.platform.leaving = frozenset({"127.0.0.1"})
    while harness.entry.addresses(None):
        await trio.sleep(0.05)
    assert (await harness.search()).status == 200
