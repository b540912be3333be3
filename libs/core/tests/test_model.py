"""Compares the code with the specifications in model/.

Runs sequences of steps of rights.pml and claim.pml through the code. Most of
them end differently for a mutant, a specification from which one mechanism is
removed. For adoption.pml, only `resolve_write` is run. Also checks that the
comments in the specifications name existing methods.
"""

import pathlib
import re

import pytest
from sapphire_core import adoption, claim, freshness, rendezvous, rights
from sapphire_core.claim import ClaimState
from sapphire_core.errors import LeafUnreachableError

MODEL_DIR = pathlib.Path(__file__).parents[3] / "model"

# One tick of rights.pml, in seconds. A vote is valid for two ticks there, so
# one tick is shorter than GRANT_VALIDITY_S, and two are longer than GUARD_S.
TICK_S = 1.125

# A leaf for which member a ranks highest, then b, then c.
LEAF = next(
    f"leaf{i}"
    for i in range(99)
    if rendezvous.ranking(f"leaf{i}", "abc") == ["a", "b", "c"]
)


class Cell:
    """Members a, b and c of a cell, with a `do_*` method for each step.

    A cell is a group of aggregators that share leaves; they are its members.
    """

    def __init__(self, rosters) -> None:
        self.rosters = [rights.Roster(i, tuple(r)) for i, r in rosters]
        self.now, self.last_incarnation, self.previous_ledgers = 0.0, 0, []
        self.tables, self.ledgers, self.incarnations = {}, {}, {}
        self.released_incarnations = {}
        for member in "abc":
            self.do_restart(member)
        # A member has no previous process at its first start.
        self.previous_ledgers.clear()

    def do_tick(self):
        self.now += TICK_S

    def do_silence(self):
        # Long enough for a silent member to be fenced, while a grant to it is
        # still valid.
        self.now += rights.FENCE_AFTER_S

    def do_delayed_pong(self, sender, voter):
        # The pong arrives one tick after the ping was sent.
        self.do_ping(sender, voter, delay=TICK_S)

    def do_ping(self, sender, voter, delay=0.0):
        ledger, table = self.ledgers[sender], self.tables[voter]
        granted = self.handle_ping(
            sender, voter, self.incarnations[sender], ledger.is_released
        )
        fenced, sent_at = table.report_fenced(self.now), self.now
        self.now += delay
        ledger.record(
            voter,
            sent_at=sent_at,
            granted=granted,
            fenced=fenced,
            roster_revision=table.roster.revision,
            now=self.now,
        )

    def handle_ping(self, sender, voter, incarnation, released):
        return self.tables[voter].handle_ping(
            sender,
            incarnation,
            released=released,
            in_service=True,
            roster_revision=self.ledgers[sender].roster.revision,
            now=self.now,
        )

    def do_restart(self, member):
        self.previous_ledgers.append(self.ledgers.get(member))
        self.tables[member] = rights.GrantTable(
            member, self.rosters[0], self.now
        )
        self.do_return_to_service(member)

    def do_return_to_service(self, member):
        self.last_incarnation += 1
        self.incarnations[member] = self.last_incarnation
        self.ledgers[member] = rights.RightsLedger(member, self.rosters[0])

    def do_release(self, member):
        self.released_incarnations[member] = self.incarnations[member]
        self.ledgers[member].release()

    def do_release_arrives(self, sender, voter):
        self.handle_ping(
            sender, voter, self.released_incarnations[sender], True
        )

    def do_absent(self, member):
        # The VM list shows that the member's VM no longer exists.
        for ledger in self.ledgers.values():
            ledger.set_absent({member}, self.now + rights.GRANT_VALIDITY_S)

    def do_adopt(self, member):
        self.tables[member].adopt(self.rosters[1], self.now)
        self.ledgers[member].adopt(self.rosters[1])

    def holders(self):
        """Returns the members that hold the leaf; "old" is an old process."""
        old = (("old", ledger) for ledger in self.previous_ledgers)
        ledgers = [*self.ledgers.items(), *old]
        return [
            name
            for name, ledger in ledgers
            if ledger.right_until(LEAF, self.now)
        ]


ABC = [(0, "abc")]
# Each entry has the mutants of rights.pml that its steps distinguish from the
# protocol, the rosters with their revisions, and the steps. "ping:ab" calls
# `do_ping` for a ping from a to b. "=a" asserts that a is the only holder, "=-"
# that there is none, and "=old" that it is the old process of a member that has
# restarted. The ping from b between two ticks keeps its receiver from reporting
# b as fenced, which would delay a later grant to b.
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
    ("FROM_RECEIPT", ABC, "tick tick delayed_pong:ab ping:aa =a tick =-"),
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
        "tick ping:bc tick ping:ab ping:ac =a release:a return_to_service:a =-"
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


@pytest.mark.parametrize(("mutants", "rosters", "steps"), RIGHTS_SEQUENCES)
def test_rights_sequence(mutants, rosters, steps):
    """Guards against code that lacks the mechanism that a mutant removes."""
    cell = Cell(rosters)
    for step in steps.split():
        if step.startswith("="):
            expected = [holder for holder in [step[1:]] if holder != "-"]
            assert cell.holders() == expected
            continue
        name, _, members = step.partition(":")
        getattr(cell, "do_" + name)(*members)


def stored(state, claim_id, version):
    return claim.Found(claim.Claim(state, claim_id, "hash"), version)


ABSENT = claim.Found(None, 0)
UNSENT = claim.NotSent(LeafUnreachableError("no connection."))
DONE, RELEASED = ClaimState.DONE, ClaimState.RELEASED
DISPATCHING = ClaimState.DISPATCHING
# Each entry has the mutants of claim.pml that its steps distinguish from the
# protocol, and events with the label of the action that each must lead to. The
# request's claim id is "own". "create:n", "release:n" and "store:n" are writes
# that expect version n. "run", "not run" and "unknown" are answers, followed by
# the label of the action after the answer, if there is one. "close" means that
# there is no further action.
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
        "RETRY_AFTER_SEND LOST_IS_NOT_RUN",
        [
            (claim.Written(1), "claimed"),
            (claim.OutcomeLost(), "unknown"),
            (claim.Outcome('"x"'), "store:1"),
            (claim.WriteLost(), "store:1"),
            (claim.Conflict(2), "close"),
        ],
    ),
    (
        # Not aimed at a mutant: a submission that was not sent releases its
        # claim.
        "",
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
    """Returns the label of an action in CLAIM_SEQUENCES."""
    match action:
        case None:
            return "close"
        case claim.Write():
            writes = {DISPATCHING: "create", RELEASED: "release", DONE: "store"}
            return f"{writes[action.claim.state]}:{action.expect}"
        case claim.Answer():
            follow_up = (
                f" {label(action.follow_up)}" if action.follow_up else ""
            )
            return action.run.value + follow_up
    names = {claim.Read: "read", claim.Wait: "wait", claim.Dispatch: "claimed"}
    return names[type(action)]


@pytest.mark.parametrize(("mutants", "steps"), CLAIM_SEQUENCES)
def test_claim_sequence(mutants, steps):
    """Guards against code that lacks the mechanism that a mutant removes."""
    submission = claim.Submission("own", "hash")
    assert label(submission.start(0.0)) == "create:0"
    for event, expected in steps:
        assert label(submission.handle(event, 0.0)) == expected


# The change "own" was sent in a write that replaces revision 2. Each entry has
# the revision that a read finds after the write, the changes listed there, the
# revision that a conflict reported (0 without one), and the resolution. A
# document lists the last three changes; "forgotten" means that "own" may have
# dropped out of this list.
RESOLUTIONS = [
    (2, ["other"], 0, "repeat"),
    (1, [], 0, "repeat"),
    (2, ["other"], 3, "read again"),
    (3, ["other"], 3, "refused"),
    (3, ["other", "own"], 0, "accepted"),
    (5, ["other"], 0, "refused"),
    (6, ["other"], 0, "forgotten"),
]


@pytest.mark.parametrize(
    ("found", "changes", "at_least", "expected"), RESOLUTIONS
)
def test_write_resolution(found, changes, at_least, expected):
    """Guards against a wrong result of a write without a clear response.

    For example, a change that is reported as refused must not take effect
    later.
    """
    resolution = adoption.resolve_write(
        "own",
        2,
        found_revision=found,
        found_changes=changes,
        at_least=at_least,
        max_change_ids=3,
    )
    assert resolution == expected


def test_specifications_name_existing_code():
    """Guards against a specification that names methods that don't exist.

    Checks the methods of `Submission` that start with an underscore, and those
    that are written with the class `GrantTable`, `RightsLedger`, `Adoption` or
    `Freshness`.
    """
    text = (MODEL_DIR / "claim.pml").read_text()
    names = set(re.findall(r"\b_[a-z_]+\b", text.partition("proctype")[2]))
    # Fails if the pattern no longer matches the comments.
    assert len(names) > 10
    assert not [n for n in names if not hasattr(claim.Submission, n)]
    specifications = (
        (rights, "rights"),
        (adoption, "adoption"),
        (freshness, "watch"),
    )
    for module, name in specifications:
        text = (MODEL_DIR / f"{name}.pml").read_text()
        named = re.findall(
            r"(GrantTable|RightsLedger|Adoption|Freshness)\.(\w+)", text
        )
        assert named
        for owner, method in named:
            assert hasattr(getattr(module, owner), method), method


def test_sequences_cover_all_mutants():
    """Guards against a mutant of claim.pml or rights.pml without a sequence."""
    covered = " ".join(
        sequence[0] for sequence in [*RIGHTS_SEQUENCES, *CLAIM_SEQUENCES]
    ).split()
    for name in ("claim", "rights"):
        text = (MODEL_DIR / f"{name}.pml").read_text()
        mutants = text.partition("Mutants:")[2].partition("*/")[0]
        # Shorter words such as JOIN are variants.
        assert set(re.findall(r"[A-Z_]{6,}", mutants)) <= set(covered)
