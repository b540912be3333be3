"""Tests of membership, with several members in one event loop."""

import collections

import trio
from sapphire_aggregator.cellmember import CellMember
from sapphire_config.document import Document
from sapphire_config.settings import AggregatorSettings
from sapphire_core.errors import ChannelError, WriteConflictError
from sapphire_core.quarantine import Quarantine, Verdict
from sapphire_wire.gen.ttypes import Frame
from sapphire_wire.platform import VersionedValue, VmLists
from trio.testing import MockClock

LEAVES = [f"10.1.0.{n}:1" for n in range(30)]


def domain_of(leaf):
    """Returns the failure domain of a leaf."""
    return "ab"[LEAVES.index(leaf) % 2]


DELAY_S = 0.001


class _Platform:
    """An in-memory platform."""

    def __init__(self) -> None:
        self.items = collections.defaultdict(lambda: VersionedValue("", 0))
        self.vm_lists = VmLists(frozenset(), frozenset())

    async def get(self, key):
        await trio.sleep(DELAY_S)
        return self.items[key]

    async def put(self, key, value, expect):
        await trio.sleep(DELAY_S)
        version = self.items[key].version
        if version != expect:
            raise WriteConflictError(key, expect, version)
        self.items[key] = VersionedValue(value, version + 1)
        return version + 1

    async def vms(self):
        return self.vm_lists


class _Network:
    """Connects the members; lost ones neither send nor receive."""

    def __init__(self) -> None:
        self.cells = {}
        self.lost = set()
        self.scopes = {}
        self.platform = _Platform()

    def peer_factory(self, source):
        def open_to(address):
            return _Peer(self, source, address)

        return open_to

    async def start(self, nursery, number):
        settings = AggregatorSettings(
            vm=f"10.0.0.{number}",
            failure_domain="ab"[number % 2],
            region="r",
            platform="10.9.0.1:1",
            vm_list="10.9.0.1:2",
            seeds=["10.0.0.0:1"],
            frames=f"10.0.0.{number}:1",
            admin=f"10.0.0.{number}:2",
            cell="c",
        )
        cell = CellMember(
            settings,
            self.platform,
            Quarantine(600.0),
            self.peer_factory(settings.frames),
            lambda revision, address: None,
            lambda: True,
        )
        self.cells[cell.member] = cell
        self.lost.discard(cell.member)

        async def run():
            with trio.CancelScope() as scope:
                self.scopes[cell.member] = scope
                async with trio.open_nursery() as own:
                    await cell.run(own)

        nursery.start_soon(run)
        return cell

    def lose(self, cell):
        self.lost.add(cell.member)
        self.scopes[cell.member].cancel()

    def holders(self, leaf):
        """Returns the members that hold the send right of the leaf now."""
        now = trio.current_time()
        return [
            member
            for member, cell in self.cells.items()
            if member not in self.lost
            and cell.right_until(leaf, now, domain_of(leaf))
        ]

    async def watch(self, seconds):
        """Asserts for some time that no leaf has two holders."""
        end = trio.current_time() + seconds
        while trio.current_time() < end:
            await trio.sleep(0.05)
            for leaf in LEAVES:
                assert len(self.holders(leaf)) <= 1, leaf

    def all_held(self):
        return all(len(self.holders(leaf)) == 1 for leaf in LEAVES)


class _Peer:
    def __init__(self, network, source, address) -> None:
        self._network = network
        self._source = source
        self._address = address

    async def request(self, frame):
        await trio.sleep(DELAY_S)
        cell = self._network.cells.get(self._address)
        lost = self._network.lost
        if cell is None or lost & {self._address, self._source}:
            raise ChannelError("no connection.", sent=False)
        pong = cell.handle_ping(frame.ping)
        await trio.sleep(DELAY_S)
        return Frame(pong=pong)


def _document(**changes: object):
    leaf = {"address": "10.1.0.1:1", "failure_domain": "a"}
    service = {
        "name": "s",
        "leaves": [leaf],
        "classes": [{"name": "c", "priority": 0}],
    }
    return Document.model_validate(
        {
            "name": "d",
            "regions": [{"name": "r", "failure_domains": ["a", "b"]}],
            "services": [service],
            **changes,
        }
    )


def _run(check, members=3):
    async def main():
        network = _Network()
        async with trio.open_nursery() as nursery:
            cells = [await network.start(nursery, n) for n in range(members)]
            await network.watch(30)
            assert all(len(c.roster.members) == members for c in cells)
            assert network.all_held()
            await check(network, cells, nursery)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=MockClock(autojump_threshold=0))


def test_lost_member_is_replaced_and_returns():
    """Guards against leaves with two holders or none after a loss."""

    async def check(network, cells, nursery):
        network.lose(cells[0])
        await network.watch(5)
        assert network.all_held()
        await network.start(nursery, 0)
        await network.watch(10)
        assert network.all_held()
        assert all(c.roster.revision == 3 for c in cells[1:])

    _run(check)


def test_member_that_does_not_return_is_removed():
    """Guards against lost members that add up to a majority of the roster."""

    async def check(network, cells, nursery):
        network.lose(cells[2])
        await network.watch(45)
        assert cells[0].roster.members == ("10.0.0.0:1", "10.0.0.1:1")
        assert network.all_held()

    _run(check)


def test_planned_stop_hands_over_before_grants_expire():
    """Guards against leaves without a holder for seconds after each stop."""

    async def check(network, cells, nursery):
        await cells[1].stop()
        await network.watch(0.7)
        assert network.all_held()
        assert not any(cells[1].member in network.holders(x) for x in LEAVES)

    _run(check)


def test_out_failure_domain_releases_and_returns():
    """Guards against send rights held in a domain that is out of service."""

    async def check(network, cells, nursery):
        for cell in cells:
            out = _document(out_failure_domains=["b"])
            cell.adopt_document(2, out)
        assert (
            cells[1].right_until(
                LEAVES[0], trio.current_time(), domain_of(LEAVES[0])
            )
            is None
        )
        await network.watch(3)
        assert network.all_held()
        assert not any(cells[1].member in network.holders(x) for x in LEAVES)
        for cell in cells:
            cell.adopt_document(3, _document())
        await network.watch(6)
        assert network.all_held()
        assert any(cells[1].member in network.holders(x) for x in LEAVES)

    _run(check)


def test_replaced_fleet_recovers():
    """Guards against a cell without a majority after all VMs are replaced."""

    async def check(network, cells, nursery):
        every = frozenset(f"10.0.0.{n}" for n in range(3))
        network.platform.vm_lists = VmLists(every, frozenset())
        await network.watch(3)
        for cell in cells:
            network.lose(cell)
        # The VM list is outdated and still contains the lost members.
        await network.start(nursery, 7)
        await network.start(nursery, 8)
        await network.watch(2)
        network.platform.vm_lists = VmLists(
            frozenset({"10.0.0.7", "10.0.0.8"}), frozenset()
        )
        await network.watch(30)
        assert network.all_held()

    _run(check)


def test_replaced_fleet_recovers_without_having_seen_the_old_vms():
    """Guards against a stored roster that no live member can replace.

    None of the new members has seen the old ones in the VM list.
    """

    async def check(network, cells, nursery):
        for cell in cells:
            network.lose(cell)
        network.platform.vm_lists = VmLists(
            frozenset({"10.0.0.7", "10.0.0.8"}), frozenset()
        )
        await network.start(nursery, 7)
        await network.start(nursery, 8)
        await network.watch(55)
        assert not any(network.holders(leaf) for leaf in LEAVES)
        await network.watch(35)
        assert network.all_held()

    _run(check)


def test_unlisted_members_that_send_pings_stay():
    """Guards against removing live members because of an incomplete list."""

    async def check(network, cells, nursery):
        network.platform.vm_lists = VmLists(
            frozenset({"10.0.0.0"}), frozenset()
        )
        await network.watch(75)
        assert all(len(cell.roster.members) == 3 for cell in cells)
        assert network.all_held()

    _run(check)


def test_crash_records_are_sent_at_once():
    """Guards against further crashes before the next regular ping."""

    async def check(network, cells, nursery):
        now = trio.current_time()
        cells[0]._quarantine.record_crash("f", now, alone=True)
        cells[0]._quarantine.record_crash("f", now, alone=True)
        cells[0].ping_now()
        await trio.sleep(0.1)
        now = trio.current_time()
        for cell in cells:
            verdict = cell._quarantine.verdict("f", now)
            assert verdict is Verdict.QUARANTINED

    _run(check)
