/* Send rights: section 6.2 of docs/design.md.
 *
 * Members are aggregators that share leaves. Only the member that has the send
 * right for a leaf may send requests to it.
 *
 * Members ping each other. The reply, a pong, is a vote: it says whether the
 * voter grants the sender, and which members it reports as fenced, that is,
 * will not grant for now. A member has the send right for a leaf, or holds it,
 * while a majority grants it and, for each member that ranks higher for this
 * leaf, a majority reports that member as fenced.
 *
 * Three members vote. For the one leaf of this specification, member A ranks
 * above member B; C only votes. If a leaf has two holders, they are two
 * members, of which one ranks above the other, or two processes of one member.
 * A and B, and two processes of A, stand for these cases.
 *
 * Under a roster with A, B needs grants and fence reports about A. It is
 * assumed to have the grants, which gives it the right more often than the
 * protocol does. Under a roster without A, B needs only grants, and they are
 * modelled.
 *
 * Time is discrete. Ages and remaining validities are stored instead of
 * times, so that the state space is finite. A member may do nothing for any
 * number of ticks, which covers pauses, lost pings and partitions. A ping and
 * its pong are one step, at the time at which the voter sends the pong. In the
 * code, the validity of a vote counts from the sending of the ping, so a late
 * pong leaves its receiver less than this step does, and a lost one nothing.
 * VALID is the validity of a vote in ticks of the fastest clock. In the code,
 * GUARD_S is longer than GRANT_VALIDITY_S to allow for clock drift; VALID
 * includes that drift, so GUARD equals it.
 *
 * The comments at the inlines name the functions of sapphire_core.rights that
 * implement them.
 *
 * Variants: by default the roster is fixed. With JOIN, A is added to the roster
 * while B may hold the leaf. With LEAVE, A is removed while it may hold the
 * leaf. All variants include restarts and releases.
 *
 * Property: the leaf never has two holders at the same time.
 *
 * Mutants:
 *   SHORT_GUARD: the guard time is shorter than the validity of a vote.
 *   FENCE_ANY_TIME: a voter reports A as fenced while its grant to A may be
 *     valid.
 *   GRANT_ANY_TIME: a voter grants A while its fence report on A may be valid.
 *   NO_MAJORITY: one vote is enough.
 *   FROM_RECEIPT: the validity of a vote counts from the receipt of the pong.
 *   AMNESIA: a restarted member assumes that it gave no vote before.
 *   ANY_INCARNATION: a voter grants a new incarnation of A while its grant to
 *     another one may be valid.
 *   ABSENT_VOTES: a member that no longer exists counts as voting for A and B.
 *   RELEASE_EARLY: A announces a release but keeps its rights.
 *   RELEASE_ANY: A returns to service without a new incarnation, so that a
 *     delayed release ends later grants.
 *   NEW_MEMBER_AT_ONCE (with JOIN): a member that adopts the roster may grant A
 *     at once.
 *   NO_WITHHOLDING (with LEAVE): a member that adopts the roster may grant B
 *     while its grant to A may be valid.
 */

/* Members, used as array indexes. */
#define A 0
#define B 1
#define C 2
#define MEMBER_COUNT 3

/* Validity of a vote in ticks. */
#ifndef VALID
#define VALID 2
#endif
/* Age in ticks at which a voter treats its own vote as expired. */
#ifdef SHORT_GUARD
#define GUARD (VALID - 1)
#else
#define GUARD VALID
#endif
/* Remaining validity of a vote when its receiver records it. */
#ifdef FROM_RECEIPT
#define VALID_AT_RECEIPT (VALID + 1)
#else
#define VALID_AT_RECEIPT VALID
#endif
#ifdef NO_MAJORITY
#define QUORUM 1
#else
#define QUORUM 2
#endif

/* Maximum number of restarts and releases, added up, in one run. */
#ifndef EVENTS
#define EVENTS 2
#endif

/* Larger than any incarnation in a run, which is at most EVENTS. */
#define NO_INCARNATION 9

/* GrantTable of each member. */
byte grant_age[MEMBER_COUNT]; /* ticks since its last grant to A, up to VALID */
/* Ticks since its last report of A as fenced, up to VALID. */
byte fence_report_age[MEMBER_COUNT];
/* Incarnation of A granted last; NO_INCARNATION once that grant has expired. */
byte granted_incarnation[MEMBER_COUNT];
/* For how many ticks it gives no grants under the roster without A. */
byte withhold_ticks[MEMBER_COUNT];

/* The roster that each member uses: 0 for the old one, 1 for the new one. */
byte roster[MEMBER_COUNT];

/* RightsLedger of A and of B: ticks for which each voter's vote stays valid. */
byte granted_to_a[MEMBER_COUNT];
byte fenced_a[MEMBER_COUNT]; /* reports of A as fenced, to B */
byte granted_to_b[MEMBER_COUNT]; /* under the roster without A */

byte incarnation; /* of A */
bool released; /* whether this incarnation of A has released its rights */
/* For each voter, 1 plus the incarnation of A whose release is on its way to
 * it; 0 if there is none.
 */
byte release_in_transit[MEMBER_COUNT];
byte events; /* restarts and releases so far */

/* Votes for a process of A that still runs after its successor has started, and
 * the age of its last report of itself as fenced. Only the last such process is
 * modelled.
 */
bool old_process_runs;
byte old_granted_to_a[MEMBER_COUNT];
byte old_fence_report_age;

#define COUNT(votes) ((votes[0] > 0) + (votes[1] > 0) + (votes[2] > 0))

/* RightsLedger.right_until: whether a process holds the leaf now. */
#define A_HOLDS (!released && COUNT(granted_to_a) >= QUORUM)
#define B_HOLDS (COUNT(fenced_a) >= QUORUM || \
                 (granted_to_b[B] > 0) + \
                 (granted_to_b[C] > 0) >= QUORUM)
/* The old process of A still grants itself unless its last report of itself as
 * fenced may be valid.
 */
#define OLD_HOLDS (old_process_runs && \
                   (old_granted_to_a[A] > 0 || \
                    old_fence_report_age >= GUARD) + \
                   (old_granted_to_a[B] > 0) + \
                   (old_granted_to_a[C] > 0) >= QUORUM)
#define ASSERT_AT_MOST_ONE_HOLDER assert(A_HOLDS + B_HOLDS + OLD_HOLDS <= 1)

/* Whether A is in the roster that the member uses. */
#if defined(JOIN)
#define HAS_A(member) (roster[member] == 1)
#elif defined(LEAVE)
#define HAS_A(member) (roster[member] == 0)
#else
#define HAS_A(member) true
#endif

#ifdef ANY_INCARNATION
#define IS_NEW_INCARNATION(voter, number) false
#else
#define IS_NEW_INCARNATION(voter, number) (granted_incarnation[voter] != number)
#endif

#ifdef GRANT_ANY_TIME
#define MAY_GRANT(voter) true
#else
#define MAY_GRANT(voter) (fence_report_age[voter] >= GUARD)
#endif

/* GrantTable.handle_ping and RightsLedger.record: a ping from A. A ping of the
 * previous incarnation may arrive late. It changes the voter's table, but its
 * pong is assumed to reach no process, not even an old process of A.
 */
inline ping_from_a(voter, sender_incarnation) {
    if
    :: HAS_A(voter) && roster[A] == roster[voter] && MAY_GRANT(voter) &&
       !(IS_NEW_INCARNATION(voter, sender_incarnation) &&
         grant_age[voter] < GUARD) ->
        granted_incarnation[voter] = sender_incarnation;
        grant_age[voter] = 0;
        if
        :: sender_incarnation == incarnation ->
            granted_to_a[voter] = VALID_AT_RECEIPT
        :: else
        fi
    :: else
    fi
}

#ifdef FENCE_ANY_TIME
#define MAY_FENCE(voter) true
#else
#define MAY_FENCE(voter) (grant_age[voter] >= GUARD)
#endif

/* GrantTable.report_fenced and RightsLedger.record: the voter answers a ping of
 * B or C and may report A as fenced. Only B uses these reports. The silence
 * that the code requires before such a report is not modelled: a voter reports
 * A whenever its last grant allows it. A itself is an exception: it is never
 * silent to itself, so it reports itself only after a release.
 */
inline report_fenced_to(receiver, voter) {
    if
    :: HAS_A(voter) && MAY_FENCE(voter) && (voter != A || released) ->
        fence_report_age[voter] = 0;
        if
        :: receiver == B && roster[receiver] == roster[voter] ->
            fenced_a[voter] = VALID_AT_RECEIPT
        :: else
        fi
    :: else
    fi
}

/* GrantTable.handle_ping: a ping from B under the roster without A. */
inline ping_from_b_without_a(voter) {
    if
    :: !HAS_A(voter) && roster[B] == roster[voter] &&
       withhold_ticks[voter] == 0 ->
        granted_to_b[voter] = VALID_AT_RECEIPT
    :: else
    fi
}

#define INCREMENT_AGE(age) age = (age < VALID -> age + 1 : age)
#define DECREMENT(ticks) ticks = (ticks > 0 -> ticks - 1 : 0)

/* The loops of this inline and of those below use the variable m of Members. */
inline tick() {
    INCREMENT_AGE(old_fence_report_age);
    m = 0;
    do
    :: m < MEMBER_COUNT ->
        INCREMENT_AGE(grant_age[m]);
        INCREMENT_AGE(fence_report_age[m]);
        DECREMENT(withhold_ticks[m]);
        DECREMENT(granted_to_a[m]);
        DECREMENT(fenced_a[m]);
        DECREMENT(granted_to_b[m]);
        DECREMENT(old_granted_to_a[m]);
        /* From age GUARD, a grant counts as expired for the voter, and no
         * longer prevents a grant to another incarnation.
         */
        granted_incarnation[m] =
            (grant_age[m] < GUARD -> granted_incarnation[m] : NO_INCARNATION);
        m++
    :: else -> m = 0; break
    od
}

/* GrantTable.__init__: a member restarts. It assumes that it granted A and
 * reported A as fenced at its start, since its old process may have done so. If
 * the member is A, its old process may continue behind a partition. It keeps
 * the grants that it has until they expire, and receives no new ones from other
 * members. If the member is B, the votes that B has are kept, since its old
 * process may continue too.
 */
inline restart(member) {
    old_fence_report_age =
        (member == A -> fence_report_age[A] : old_fence_report_age);
#ifdef AMNESIA
    grant_age[member] = VALID;
    fence_report_age[member] = VALID;
#else
    grant_age[member] = 0;
    fence_report_age[member] = 0;
#endif
    granted_incarnation[member] = NO_INCARNATION;
    if
    :: member == A ->
        if
        :: !released -> old_process_runs = true
        :: old_process_runs = false
        fi;
        m = 0;
        do
        :: m < MEMBER_COUNT ->
            old_granted_to_a[m] = (old_process_runs -> granted_to_a[m] : 0);
            granted_to_a[m] = 0;
            m++
        :: else -> m = 0; break
        od;
        incarnation++;
        released = false
    :: else
    fi
}

/* RightsLedger.release: A gives up its rights, then announces it in pings. */
inline release() {
#ifndef RELEASE_EARLY
    released = true;
#endif
    m = 0;
    do
    :: m < MEMBER_COUNT -> release_in_transit[m] = incarnation + 1; m++
    :: else -> m = 0; break
    od
}

/* A returns to service with a new ledger and a new incarnation. */
inline return_to_service() {
    released = false;
#ifndef RELEASE_ANY
    incarnation++;
#endif
    m = 0;
    do
    :: m < MEMBER_COUNT -> granted_to_a[m] = 0; m++
    :: else -> m = 0; break
    od
}

/* GrantTable.handle_ping for a ping with a release, which may arrive late. */
inline release_arrives(voter) {
    if
    :: granted_incarnation[voter] == release_in_transit[voter] - 1 ->
        grant_age[voter] = VALID; /* counts as expired */
        granted_incarnation[voter] = NO_INCARNATION
    :: else
    fi;
    release_in_transit[voter] = 0
}

/* GrantTable.adopt and RightsLedger.adopt: a member adopts the new roster. If A
 * is added, the member acts as if it had just reported A as fenced, which
 * delays its first grant to A until B's right under the old roster has expired.
 * If A is removed, the member gives no grants while its last grant to A may be
 * valid. Votes under the old roster stay valid until they expire, also those
 * for a removed A, although the code ends its right when it adopts the roster.
 */
inline adopt(member) {
    roster[member] = 1;
#if defined(JOIN) && !defined(NEW_MEMBER_AT_ONCE)
    fence_report_age[member] = 0;
#endif
#if defined(LEAVE) && !defined(NO_WITHHOLDING)
    withhold_ticks[member] = VALID - grant_age[member];
#endif
}

active proctype Members() {
    byte m;

    /* All processes start. The ages are 0, since their earlier votes are not
     * known and may have been given just before the start.
     */
    atomic {
        granted_incarnation[A] = NO_INCARNATION;
        granted_incarnation[B] = NO_INCARNATION;
        granted_incarnation[C] = NO_INCARNATION;
    }
end:
    do
    :: d_step { tick(); ASSERT_AT_MOST_ONE_HOLDER }
    :: atomic {
        select(m : 0 .. 2);
        if
        :: !released -> ping_from_a(m, incarnation)
        :: incarnation > 0 -> ping_from_a(m, incarnation - 1)
        :: true -> report_fenced_to(B, m)
        :: true -> report_fenced_to(C, m)
#if defined(JOIN) || defined(LEAVE)
        :: true -> ping_from_b_without_a(m)
        :: roster[m] == 0 -> adopt(m)
#endif
        :: release_in_transit[m] > 0 -> release_arrives(m)
        fi;
        m = 0;
        ASSERT_AT_MOST_ONE_HOLDER
    }
#ifdef ABSENT_VOTES
    /* C no longer exists, but counts as voting for A and for B. */
    :: atomic {
        granted_to_a[C] = VALID_AT_RECEIPT;
        fenced_a[C] = VALID_AT_RECEIPT;
        ASSERT_AT_MOST_ONE_HOLDER
    }
#endif
    :: atomic {
        events < EVENTS;
        events++;
        if
        :: true -> restart(A)
        :: true -> restart(B)
        :: true -> restart(C)
        :: !released -> release()
        fi;
        ASSERT_AT_MOST_ONE_HOLDER
    }
    :: atomic { released -> return_to_service() }
    od
}
