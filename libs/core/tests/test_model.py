"""Runs step sequences of the specifications in model/ against the code."""

import pathlib
import re

import pytest
from sapphire_core import adoption, claim, rendezvous, rights
from sapphire_core.claim import ClaimState
from sapphire_core.errors import LeafUnreachableError

MODEL = pathlib.Path(__file__).parents[3] / "model"

# One tick of rights.pml, in seconds. Two ticks are longer than GUARD_S, and
# one is shorter than GRANT_VALIDITY_S.
TICK_S = 1.125

LEAF = next(
    f"leaf{i}"
    for i in range(99)
    if rendezvous.ranking(f"leaf{i}", "abc") == ["a", "b", "c"]
)


class World:
    """Members a, b and c, with a method for each step of rights.pml."""

    def __init__(self, rosters) -> None:
        self.rosters = [rights.Roster(i, tuple(r)) for i, r in rosters]
        self.now, self.ids, self.old = 0.0, 0, []
        self.tables, self.ledgers, self.incarnations = {}, {}, {}
        self.released = {}
        for member in "abc":
            self.do_restart(member)
        self.old.clear()

    def do_tick(self):
        self.now += TICK_S

    def do_silence(self):
        # Long enough for a silent member to be fenced, while a grant to it is
        # still valid.
        self.now += rights.FENCE_AFTER_S

    def do_delayed_ping(self, x, m):
        # The pong arrives one tick after the ping was sent.
        self.do_ping(x, m, delay=TICK_S)

    def do_ping(self, x, m, delay=0.0):
        ledger, table = self.ledgers[x], self.tables[m]
        granted = self.handle_ping(
            x, m, self.incarnations[x], ledger.is_released
        )
        fenced, sent_at = table.report_fenced(self.now), self.now
        self.now += delay
        ledger.record(
            m,
            sent_at=sent_at,
            granted=granted,
            fenced=fenced,
            roster_revision=table.roster.revision,
            now=self.now,
        )

    def handle_ping(self, x, m, incarnation, released):
        return self.tables[m].handle_ping(
            x,
            incarnation,
            released=released,
            in_service=True,
            roster_revision=self.ledgers[x].roster.revision,
            now=self.now,
        )

    def do_restart(self, x):
        self.old.append(self.ledgers.get(x))
        self.tables[x] = rights.GrantTable(x, self.rosters[0], self.now)
        self.do_return(x)

    def do_return(self, x):
        self.ids += 1
        self.incarnations[x] = self.ids
        self.ledgers[x] = rights.RightsLedger(x, self.rosters[0])

    def do_release(self, x):
        self.released[x] = self.incarnations[x]
        self.ledgers[x].release()

    def do_release_arrives(self, x, m):
        self.handle_ping(x, m, self.released[x], True)

    def do_absent(self, x):
        for ledger in self.ledgers.values():
            ledger.set_absent({x}, self.now + rights.GRANT_VALIDITY_S)

    def do_adopt(self, x):
        self.tables[x].adopt(self.rosters[1], self.now)
        self.ledgers[x].adopt(self.rosters[1])

    def holders(self):
        ledgers = [*self.ledgers.items(), *(("old", a) for a in self.old)]
        return [n for n, a in ledgers if a.right_until(LEAF, self.now)]


ABC = [(0, "abc")]
# Each entry has the mutants of rights.pml that its steps distinguish from the
# protocol, the rosters, and the steps. "=a" asserts that a is the only holder,
# "=-" that there is none.
RIGHTS_SEQUENCES = [
    (
        "SHORT_GUARD FENCE_ANY_TIME",
        ABC,
        "tick tick ping:aa ping:ab =a silence ping:bb ping:bc =a"
        " tick ping:bb ping:bc =b",
    ),
    (
        "GRANT_ANY_TIME",
        ABC,
        "tick tick ping:bb ping:bc =b ping:aa ping:ab =b"
        " tick tick ping:aa ping:ab =a",
    ),
    ("FROM_RECEIPT", ABC, "tick tick delayed_ping:ab ping:aa =a tick =-"),
    ("NO_MAJORITY", ABC, "tick tick ping:aa =- ping:bb =-"),
    (
        "AMNESIA",
        ABC,
        "tick ping:ba tick ping:aa ping:ac =a restart:c"
        " ping:bb ping:ba ping:bc =a",
    ),
    (
        "ANY_INCARNATION",
        ABC,
        "tick tick ping:aa ping:ac =a restart:a ping:ab ping:ac =old"
        " tick ping:aa ping:ac =old tick ping:aa ping:ac =a",
    ),
    ("ABSENT_VOTES", ABC, "tick tick absent:c ping:aa ping:bb =-"),
    (
        "RELEASE_EARLY",
        ABC,
        "tick ping:bc tick ping:ab ping:ac =a release:a =-"
        " release_arrives:ab release_arrives:ac"
        " ping:bb ping:bc =b",
    ),
    (
        "RELEASE_ANY",
        ABC,
        "tick ping:bc tick ping:ab ping:ac =a release:a return:a =-"
        " tick ping:bc tick"
        " ping:ab ping:ac =a release_arrives:ab release_arrives:ac"
        " ping:bb ping:bc =a",
    ),
    (
        "NEW_MEMBER_AT_ONCE",
        [(0, "bc"), (1, "abc")],
        "tick tick ping:bb ping:bc =b adopt:a adopt:c ping:aa ping:ac =b"
        " adopt:b =b tick tick ping:aa ping:ac =a",
    ),
    (
        "NO_WITHHOLDING",
        [(0, "abc"), (1, "bc")],
        "tick ping:bc tick ping:ab ping:ac =a adopt:b adopt:c"
        " ping:bb ping:bc =a tick tick ping:bb ping:bc =b",
    ),
]


@pytest.mark.parametrize(("mutant", "rosters", "steps"), RIGHTS_SEQUENCES)
def test_rights_sequence(mutant, rosters, steps):
    """Guards against code without a mechanism that the protocol needs."""
    world = World(rosters)
    for step in steps.split():
        if step.startswith("="):
            assert world.holders() == [h for h in [step[1:]] if h != "-"]
            continue
        name, _, members = step.partition(":")
        getattr(world, "do_" + name)(*members)


def stored(state, claim_id, version):
    return claim.Found(claim.Claim(state, claim_id, "hash"), version)


ABSENT = claim.Found(None, 0)
UNSENT = claim.NotSent(LeafUnreachableError("no connection."))
DONE, RELEASED = ClaimState.DONE, ClaimState.RELEASED
DISPATCHING = ClaimState.DISPATCHING
# Each entry has the mutant of claim.pml that its steps distinguish from the
# protocol, and events with the label of the action that each must lead to.
# "create:n" is a write that expects version n.
CLAIM_SEQUENCES = [
    (
        "UNCONDITIONAL_CREATE",
        [
            (claim.Conflict(1), "read"),
            (stored(DISPATCHING, "other", 1), "wait"),
            (stored(RELEASED, "other", 2), "create:2"),
            (claim.Conflict(3), "read"),
            (stored(RELEASED, "other", 2), "read"),
            (stored(DISPATCHING, "third", 3), "wait"),
            (claim.DeadlinePassed(), "unknown"),
        ],
    ),
    (
        "RETRY_AFTER_SEND",
        [
            (claim.Written(1), "claimed"),
            (claim.OutcomeLost(), "unknown"),
            (claim.Outcome('"x"'), "store:1"),
            (claim.WriteLost(), "store:1"),
            (claim.Conflict(2), "close"),
        ],
    ),
    (
        "LOST_IS_NOT_RUN",
        [
            (claim.Written(1), "claimed"),
            (UNSENT, "not run release:1"),
            (claim.Written(2), "close"),
        ],
    ),
    (
        "REDO_DONE",
        [(claim.Conflict(2), "read"), (stored(DONE, "other", 2), "run")],
    ),
    (
        "READ_BACK_ONLY",
        [
            (claim.WriteLost(), "read"),
            (ABSENT, "create:0"),
            (claim.Unavailable(), "not run read"),
            (ABSENT, "release:0"),
            (claim.Conflict(1), "read"),
            (ABSENT, "read"),
            (stored(DISPATCHING, "own", 1), "release:1"),
            (claim.Written(2), "close"),
        ],
    ),
]


def label(action):
    match action:
        case None:
            return "close"
        case claim.Write():
            names = {DISPATCHING: "create", RELEASED: "release", DONE: "store"}
            return f"{names[action.claim.state]}:{action.expect}"
        case claim.Answer():
            follow_up = (
                f" {label(action.follow_up)}" if action.follow_up else ""
            )
            return action.run.value + follow_up
    names = {claim.Read: "read", claim.Wait: "wait", claim.Dispatch: "claimed"}
    return names[type(action)]


@pytest.mark.parametrize(("mutant", "steps"), CLAIM_SEQUENCES)
def test_claim_sequence(mutant, steps):
    """Guards against code without a mechanism that the protocol needs."""
    submission = claim.Submission("own", "hash")
    assert label(submission.start(0.0)) == "create:0"
    for event, expected in steps:
        assert label(submission.handle(event, 0.0)) == expected


RESOLUTIONS = [
    (2, ["other"], 0, "repeat"),
    (1, [], 0, "repeat"),
    (2, ["other"], 3, "read again"),
    (3, ["other"], 3, "refused"),
    (3, ["other", "own"], 0, "accepted"),
    (5, ["other"], 0, "refused"),
    (6, ["other"], 0, "forgotten"),
]


@pytest.mark.parametrize(("found", "changes", "least", "expected"), RESOLUTIONS)
def test_write_resolution(found, changes, least, expected):
    """Guards against a change reported as refused that later takes effect."""
    resolution = adoption.resolve_write(
        "own",
        2,
        found_revision=found,
        found_changes=changes,
        at_least=least,
        max_change_ids=3,
    )
    assert resolution == expected


def test_specifications_name_existing_code():
    """Guards against a specification that names functions that are gone."""
    text = (MODEL / "claim.pml").read_text()
    names = set(re.findall(r"\b_[a-z_]+\b", text.partition("proctype")[2]))
    assert len(names) > 10
    assert not [n for n in names if not hasattr(claim.Submission, n)]
    for module, name in ((rights, "rights"), (adoption, "adoption")):
        text = (MODEL / f"{name}.pml").read_text()
        named = re.findall(r"(GrantTable|RightsLedger|Adoption)\.(\w+)", text)
        assert named
        for owner, method in named:
            assert hasattr(getattr(module, owner), method), method


def test_sequences_cover_all_mutants():
    """Guards against a mutant without a sequence that is run on the code."""
    covered = " ".join(
        w[0] for w in [*RIGHTS_SEQUENCES, *CLAIM_SEQUENCES]
    ).split()
    for name in ("claim", "rights"):
        text = (MODEL / f"{name}.pml").read_text()
        mutants = text.partition("Mutants:")[2].partition("*/")[0]
        assert set(re.findall(r"[A-Z_]{6,}", mutants)) <= set(covered)
