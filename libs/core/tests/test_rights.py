"""Tests of send rights on simulated cells with injected faults."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from sapphire_core import rights
from sapphire_core.rights import (
    GRANT_VALIDITY_S,
    GUARD_S,
    PING_INTERVAL_S,
    GrantTable,
    RightsLedger,
    Roster,
)
from sapphire_core.roster import (
    UNLISTED_TIMEOUT_S,
    VmPresence,
    next_roster,
    track_fenced,
)

LEAVES = [f"10.1.0.{i}:9000" for i in range(12)]
DOMAINS = ("a", "b", "c")


def domain_of(name):
    """Returns the failure domain of a simulated member or leaf."""
    return DOMAINS[int(name.split(":")[0].split(".")[-1]) % len(DOMAINS)]


STEP_S = 0.05


class Process:
    """One incarnation of an aggregator with its own clock."""

    def __init__(self, cell, name) -> None:
        self.cell, self.name = cell, name
        self.incarnation = cell.rng.getrandbits(63)
        # The slowest and fastest clocks differ by the factor of 1.1 that
        # GUARD_S covers.
        self.rate = cell.rng.choice([0.955, 1.0, 1.05])
        self.offset = cell.rng.uniform(0, 1000)
        self.paused_until = 0.0
        self.next_ping = 0.0
        self.inbox = []
        self.release_in = None
        roster = cell.roster
        self.table = GrantTable(name, roster, self.clock())
        self.ledger = RightsLedger(name, roster)
        self.presence = VmPresence()
        self.fenced_since = {}
        self.joiners = {}

    def clock(self):
        return self.offset + self.cell.now * self.rate

    def adopt(self, roster):
        self.table.adopt(roster, self.clock())
        self.ledger.adopt(roster)

    def run(self):
        for message in self.inbox:
            getattr(self, "on_" + message["kind"])(**message["body"])
        self.inbox.clear()
        if self.cell.now >= self.next_ping:
            self.next_ping = self.cell.now + PING_INTERVAL_S / self.rate
            self.tick()

    def tick(self):
        now = self.clock()
        if self.cell.rng.random() < 0.5:
            self.presence.record_list(self.cell.vm_list(), now, now)
        absence = self.presence.absence(now)
        self.ledger.set_absent(absence.members, absence.until)
        rights.vote_for_self(
            self.table,
            self.ledger,
            self.name,
            self.incarnation,
            in_service=True,
            now=now,
            absent=absence.members,
        )
        body = {
            "sender": self,
            "sent_at": now,
            "released": self.ledger.is_released,
            "roster": self.ledger.roster,
        }
        for name in self.table.roster.members:
            if name != self.name:
                self.cell.send(self.name, name, "ping", body)
        self.change_roster(absence.members, now)

    def change_roster(self, absent, now):
        fenced = self.ledger.fenced_members(now)
        self.fenced_since = track_fenced(self.fenced_since, fenced, now)
        recent = {
            m: domain_of(m) for m, at in self.joiners.items() if now - at < 1
        }
        after = next_roster(
            self.name,
            self.ledger.roster,
            may_change=self.ledger.may_change_roster(now),
            # Shortens REMOVE_AFTER_S from 30 s to 3 s for more roster changes.
            fenced_since={m: t - 27 for m, t in self.fenced_since.items()},
            absent=absent,
            joiners=recent,
            now=now,
            failure_domain=domain_of(self.name),
        )
        if after is None or self.ledger.is_released:
            return
        if not self.cell.platform_up:
            return
        if after.revision == self.cell.roster.revision + 1:
            self.cell.roster = after
            if self.cell.rng.random() < 0.2:
                # The reply to the write is lost.
                return
        self.adopt(self.cell.roster)

    def on_ping(self, sender, sent_at, released, roster):
        now = self.clock()
        self.adopt(roster)
        self.presence.record_message(sender.name)
        if sender.name not in self.table.roster.members and not released:
            self.joiners[sender.name] = now
        granted = self.table.handle_ping(
            sender.name,
            sender.incarnation,
            released=released,
            in_service=True,
            roster_revision=roster.revision,
            now=now,
        )
        body = {
            "to": sender,
            "voter": self.name,
            "sent_at": sent_at,
            "granted": granted,
            "fenced": self.table.report_fenced(
                now, self.presence.absence(now).members
            ),
            "roster": self.table.roster,
        }
        self.cell.send(self.name, sender.name, "pong", body)

    def on_pong(self, to, voter, sent_at, granted, fenced, roster):
        if to is not self:
            return
        self.adopt(roster)
        self.ledger.record(
            voter,
            sent_at=sent_at,
            granted=granted,
            fenced=fenced,
            roster_revision=roster.revision,
            now=self.clock(),
        )


class Cell:
    """Simulated members, network, platform and VM list with one clock."""

    def __init__(self, seed, size, loss=0.0, *, extra=0) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.platform_up = True
        names = [f"10.0.0.{i}:7000" for i in range(size + extra)]
        members = tuple(names[:size])
        self.roster = Roster(1, members, tuple(map(domain_of, members)))
        self.processes = {n: Process(self, n) for n in names}
        self.ended = []
        self.in_flight = []
        self.cut_links = set()
        self.list_history = []
        self.held_at = {}
        self.longest_gap = 0.0

    def vm_list(self):
        return self.rng.choice(self.list_history[-20:])

    def send(self, source, target, kind, body):
        if self.rng.random() < self.loss or (source, target) in self.cut_links:
            return
        slow = self.rng.random() < self.loss
        delay = self.rng.uniform(0, 4) if slow else 0.001
        self.in_flight.append((self.now + delay, target, kind, body))

    def step(self):
        self.now += STEP_S
        self.list_history.append(frozenset(self.processes))
        due = [m for m in self.in_flight if m[0] <= self.now]
        self.in_flight = [m for m in self.in_flight if m[0] > self.now]
        self.rng.shuffle(due)
        for _, target, kind, body in due:
            if target in self.processes:
                message = {"kind": kind, "body": body}
                self.processes[target].inbox.append(message)
        for process in list(self.processes.values()):
            if process.paused_until <= self.now:
                process.run()

    def holders(self):
        found = {leaf: [] for leaf in LEAVES}
        for process in self.processes.values():
            now = process.clock()
            for leaf in LEAVES:
                if process.ledger.right_until(leaf, now, domain_of(leaf)):
                    found[leaf].append(process.name)
        return found

    def check(self):
        for leaf, holders in self.holders().items():
            assert len(holders) <= 1, (self.now, leaf, holders)
            if holders:
                gap = self.now - self.held_at.get(leaf, 0.0)
                self.longest_gap = max(self.longest_gap, gap)
                self.held_at[leaf] = self.now

    def settle(self, duration):
        """Runs without faults and checks that every leaf has a holder."""
        self.run(duration)
        # A roster change near the end moves some leaves once more.
        end = self.now + 6
        while not all(self.holders().values()) and self.now < end:
            self.run(STEP_S)
        assert all(self.holders().values())

    def run(self, duration):
        end = self.now + duration
        while self.now < end:
            self.step()
            self.check()

    def fault(self):
        name = self.rng.choice(sorted(self.processes))
        action = self.rng.choice(
            [
                "pause",
                "restart",
                "kill",
                "partition",
                "heal",
                "release",
                "toggle_platform",
            ]
        )
        getattr(self, "do_" + action)(name)

    def do_pause(self, name):
        until = self.now + self.rng.uniform(0, 6)
        self.processes[name].paused_until = until

    def do_restart(self, name):
        self.processes[name] = Process(self, name)

    def do_kill(self, name):
        if len(self.processes) > 1:
            del self.processes[name]
        if self.rng.random() < 0.5:
            new = f"10.0.1.{len(self.in_flight) + round(self.now * 20)}:7000"
            self.processes[new] = Process(self, new)

    def do_partition(self, _):
        names = sorted(self.processes)
        side = set(self.rng.sample(names, self.rng.randint(1, len(names))))
        self.cut_links = {(a, b) for a in side for b in names if b not in side}
        if self.rng.random() < 0.7:
            self.cut_links |= {(b, a) for a, b in self.cut_links}

    def do_heal(self, _):
        self.cut_links = set()

    def do_release(self, name):
        process = self.processes[name]
        process.ledger.release()
        process.next_ping = 0.0

    def do_toggle_platform(self, _):
        self.platform_up = not self.platform_up


@settings(max_examples=60, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    size=st.integers(1, 5),
    extra=st.integers(0, 2),
    loss=st.sampled_from([0.0, 0.1, 0.4]),
    gap=st.sampled_from([0.3, 1.0, 3.0]),
)
def test_never_two_holders(seed, size, extra, loss, gap):
    """Guards against two members that send to one leaf at the same time."""
    cell = Cell(seed, size, loss, extra=extra)
    cell.run(3)
    for _ in range(round(25 / gap)):
        cell.fault()
        cell.run(cell.rng.uniform(0, 2 * gap))


@settings(max_examples=20, deadline=None)
@given(seed=st.integers(0, 2**32), size=st.integers(1, 7))
def test_connected_members_give_every_leaf_a_holder(seed, size):
    """Guards against leaves that stay without a holder."""
    cell = Cell(seed, size)
    cell.settle(4)
    assert cell.longest_gap < 4


@settings(max_examples=20, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    action=st.sampled_from(["pause", "restart", "release", "kill"]),
)
def test_leaves_move_after_a_fault(seed, action):
    """Guards against leaves that stay unused after the loss of their holder."""
    cell = Cell(seed, 5)
    cell.run(6)
    getattr(cell, "do_" + action)(cell.rng.choice(sorted(cell.processes)))
    cell.settle(4)
    assert cell.longest_gap < 4


@settings(max_examples=10, deadline=None)
@given(seed=st.integers(0, 2**32))
def test_whole_fleet_replaced(seed):
    """Guards against a cell that can't recover from the loss of all members."""
    cell = Cell(seed, 3)
    cell.run(6)
    cell.processes.clear()
    for i in range(3):
        name = f"10.0.2.{i}:7000"
        cell.processes[name] = Process(cell, name)
        # The VM list lags, so the new VMs have still received the old ones.
        process = cell.processes[name]
        process.presence.record_list(
            cell.roster.members, process.clock(), process.clock()
        )
    cell.settle(30)
    assert set(cell.roster.members) <= set(cell.processes)


def test_member_missing_for_longer_than_the_list_lags_is_absent():
    """Guards against a member that becomes absent too early or never."""
    presence = VmPresence()

    def ask(now, listed=(), expected=("a", "b")):
        presence.record_list(listed, now, now, expected)
        return presence.absence(now).members

    assert not ask(0.0)
    assert not ask(UNLISTED_TIMEOUT_S - 1.0)
    # A message proves that the member exists even if it is not listed yet.
    presence.record_message("b")
    assert ask(UNLISTED_TIMEOUT_S) == {"a"}
    # The information expires if the list gives no new answers.
    assert not presence.absence(UNLISTED_TIMEOUT_S + GRANT_VALIDITY_S).members
    assert ask(2 * UNLISTED_TIMEOUT_S - 1.0) == {"a"}
    assert ask(2 * UNLISTED_TIMEOUT_S) == {"a", "b"}
    # A member that is listed again is not absent.
    assert ask(2 * UNLISTED_TIMEOUT_S + 1.0, listed=("a",)) == {"b"}
    # An answer without expected members restarts the waiting time.
    assert not ask(2 * UNLISTED_TIMEOUT_S + 2.0, expected=())
    assert not ask(2 * UNLISTED_TIMEOUT_S + 3.0)


def ping(table, member, incarnation, now, *, released=False, revision=1):
    return table.handle_ping(
        member,
        incarnation,
        released=released,
        in_service=True,
        roster_revision=revision,
        now=now,
    )


def ready_table():
    return GrantTable("a", Roster(1, ("a", "b", "c")), -10.0)


def test_starting_member_neither_grants_nor_fences():
    """Guards against a restart that ignores earlier grants and reports."""
    table = GrantTable("a", Roster(1, ("a", "b", "c")), 0.0)
    assert not ping(table, "b", 1, 2.1)
    assert not ping(table, "a", 1, 2.1)
    assert table.report_fenced(2.1) == []
    assert ping(table, "b", 1, 2.3)
    assert table.report_fenced(2.3) == ["c"]


def test_second_incarnation_waits_for_the_first():
    """Guards against two processes at one address that both hold a right."""
    table = ready_table()
    assert ping(table, "b", 1, 0.0)
    assert not ping(table, "b", 2, 2.1)
    assert ping(table, "b", 2, 2.2)
    assert not ping(table, "b", 1, 2.3)


def test_delayed_release_of_old_incarnation_revokes_nothing():
    """Guards against a delayed release that revokes a newer grant."""
    table = ready_table()
    assert ping(table, "b", 2, 0.0)
    ping(table, "b", 1, 0.1, released=True)
    assert "b" not in table.report_fenced(0.2)
    ping(table, "b", 2, 0.3, released=True)
    assert "b" in table.report_fenced(0.3)
    assert not ping(table, "b", 2, 9.0)
    assert ping(table, "b", 3, 9.0)


def test_added_member_waits_for_previous_holder():
    """Guards against an added member that takes a leaf that is still held."""
    table = ready_table()
    assert ping(table, "b", 1, 0.0)
    table.adopt(Roster(2, ("a", "b", "c", "d")), 0.1)
    assert not ping(table, "d", 1, 2.2, revision=2)
    assert ping(table, "d", 1, 2.31, revision=2)


def test_removed_member_keeps_its_grant_until_it_expires():
    """Guards against a new holder while a removed member still holds."""
    table = ready_table()
    assert ping(table, "b", 1, 0.0)
    table.adopt(Roster(2, ("a", "c")), 0.1)
    assert not ping(table, "c", 1, 2.1, revision=2)
    assert ping(table, "c", 1, 2.2, revision=2)


def test_absent_member_does_not_vote():
    """Guards against a partition whose sides both count a lost VM's vote."""
    ledger = RightsLedger("b", Roster(1, ("a", "b", "c")))
    ledger.set_absent({"c"}, 10.0)
    ledger.record(
        "b",
        sent_at=0.0,
        granted=True,
        fenced=["a", "c"],
        roster_revision=1,
        now=0.0,
    )
    assert not any(ledger.right_until(leaf, 0.1) for leaf in LEAVES)


def test_right_ends_one_grant_after_the_ping():
    """Guards against a validity counted from the pong, not from the ping."""
    ledger = RightsLedger("a", Roster(1, ("a",)))
    ledger.record(
        "a", sent_at=5.0, granted=True, fenced=[], roster_revision=1, now=6.5
    )
    assert ledger.right_until("x", 6.9) == pytest.approx(5.0 + GRANT_VALIDITY_S)
    assert ledger.right_until("x", 7.0) is None
    ledger.release()
    assert ledger.right_until("x", 6.5) is None


def test_roster_change_waits_after_first_majority():
    """Guards against valid rights under three rosters at the same time."""
    ledger = RightsLedger("a", Roster(1, ("a",)))
    for now in (1.0, 2.0, 3.0):
        ledger.record(
            "a",
            sent_at=now,
            granted=True,
            fenced=[],
            roster_revision=1,
            now=now,
        )
    assert not ledger.may_change_roster(1.0 + GUARD_S - 0.01)
    assert ledger.may_change_roster(1.0 + GUARD_S)


def test_replicas_in_distinct_domains_get_distinct_holders():
    """Guards against a shard whose replicas all lose their holder at once."""
    members = tuple(f"10.0.0.{i}:7000" for i in range(6))
    roster = Roster(1, members, tuple(map(domain_of, members)))
    for leaf in LEAVES:
        order = roster.ranking(leaf, domain_of(leaf))
        assert sorted(order) == sorted(members)
        near = [domain_of(m) == domain_of(leaf) for m in order]
        assert near == [True, True, False, False, False, False]
