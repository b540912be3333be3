"""Walks the step sequences of model/*.pml through the code."""

import pathlib
import re

import pytest
from sapphire_core import adoption, claim, rendezvous, rights
from sapphire_core.claim import ClaimState
from sapphire_core.errors import LeafUnreachableError

MODEL = pathlib.Path(__file__).parents[3] / "model"

# One tick of rights.pml in seconds: two ticks are longer than GUARD_S, one
# is shorter than GRANT_VALIDITY_S.
TICK_S = 1.125

LEAF = next(
    f"leaf{i}"
    for i in range(99)
    if rendezvous.ranking(f"leaf{i}", "abc") == ["a", "b", "c"]
)


class World:
    """Members a, b and c with the steps of rights.pml."""

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

    def do_lull(self):
        # A member is silent, and a grant to it is still valid.
        self.now += rights.FENCE_AFTER_S

    def do_late(self, x, m):
        # The pong arrives a tick after its ping was sent.
        self.do_ping(x, m, delay=TICK_S)

    def do_ping(self, x, m, delay=0.0):
        ledger, table = self.ledgers[x], self.tables[m]
        granted = self.heard(x, m, self.incarnations[x], ledger.is_released)
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

    def heard(self, x, m, incarnation, released):
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

    def do_arrives(self, x, m):
        self.heard(x, m, self.released[x], True)

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
# The mutants of rights.pml that the steps tell from the protocol, the rosters,
# and the steps; "=a" states that a is the only holder, "=-" that none is.
RIGHTS_WALKS = [
    (
        "SHORT_GUARD FENCE_ANY_TIME",
        ABC,
        "tick tick ping:aa ping:ab =a lull ping:bb ping:bc =a"
        " tick ping:bb ping:bc =b",
    ),
    (
        "GRANT_ANY_TIME",
        ABC,
        "tick tick ping:bb ping:bc =b ping:aa ping:ab =b"
        " tick tick ping:aa ping:ab =a",
    ),
    ("FROM_RECEIPT", ABC, "tick tick late:ab ping:aa =a tick =-"),
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
        " arrives:ab arrives:ac"
        " ping:bb ping:bc =b",
    ),
    (
        "RELEASE_ANY",
        ABC,
        "tick ping:bc tick ping:ab ping:ac =a release:a return:a =-"
        " tick ping:bc tick"
        " ping:ab ping:ac =a arrives:ab arrives:ac ping:bb ping:bc =a",
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


@pytest.mark.parametrize(("mutant", "rosters", "steps"), RIGHTS_WALKS)
def test_rights_walk(mutant, rosters, steps):
    """Guards against code that lacks a mechanism of the specification."""
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
# The mutant of claim.pml that the steps tell from the protocol, and events
# with the label that each leads to: "create:n" is a write that expects n.
CLAIM_WALKS = [
    (
        "UNCONDITIONAL_CREATE",
        [
            (claim.Conflict(1), "look"),
            (stored(DISPATCHING, "other", 1), "wait"),
            (stored(RELEASED, "other", 2), "create:2"),
            (claim.Conflict(3), "look"),
            (stored(RELEASED, "other", 2), "look"),
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
        [(claim.Conflict(2), "look"), (stored(DONE, "other", 2), "run")],
    ),
    (
        "READ_BACK_ONLY",
        [
            (claim.WriteLost(), "look"),
            (ABSENT, "create:0"),
            (claim.Unavailable(), "not run look"),
            (ABSENT, "release:0"),
            (claim.Conflict(1), "look"),
            (ABSENT, "look"),
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
            then = f" {label(action.then)}" if action.then else ""
            return action.run.value + then
    names = {claim.Read: "look", claim.Wait: "wait", claim.Dispatch: "claimed"}
    return names[type(action)]


@pytest.mark.parametrize(("mutant", "steps"), CLAIM_WALKS)
def test_claim_walk(mutant, steps):
    """Guards against code that lacks a mechanism of the specification."""
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
    """Guards against a refusal of a change that later takes effect."""
    resolution = adoption.resolve_write(
        "own",
        2,
        found_revision=found,
        found_changes=changes,
        at_least=least,
        kept_changes=3,
    )
    assert resolution == expected


def test_specifications_name_existing_code():
    """Guards against a specification that the code has moved away from."""
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


def test_walks_cover_all_mutants():
    """Guards against a mutant whose steps nobody walks in the code."""
    walked = " ".join(w[0] for w in [*RIGHTS_WALKS, *CLAIM_WALKS]).split()
    for name in ("claim", "rights"):
        text = (MODEL / f"{name}.pml").read_text()
        mutants = text.partition("Mutants:")[2].partition("*/")[0]
        assert set(re.findall(r"[A-Z_]{6,}", mutants)) <= set(walked)
