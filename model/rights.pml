/* Send rights: section 6.2 of docs/design.md.
 *
 * Three members vote. Member A (0) ranks before member B (1) for one leaf;
 * C (2) only votes. This is the general case of two holders: a leaf has two
 * holders only if one member holds the send right while a lower-ranked
 * member, or another process of the same member, holds it too. B is assumed
 * to have all members' grants wherever grants are all that it needs, which
 * gives it more rights than the protocol does.
 *
 * Time is discrete. Ages and remaining validities are stored instead of
 * times, so that the state space is finite. A member may do nothing for any
 * number of ticks, which covers pauses, lost pings and partitions. A ping and
 * its pong are one step, at the time when the pong is sent: a pong that is
 * late or lost gives its receiver less for the same state of the granter.
 * VALID is the validity of a vote in ticks of the fastest clock; it includes
 * the drift that GUARD_S allows for, so GUARD equals it.
 *
 * The comment at each inline names the function of sapphire_core.rights that
 * implements it.
 *
 * Variants: none (a fixed roster, restarts, releases), JOIN (A is added to
 * the roster while B may hold), LEAVE (A is removed while it may hold).
 * PROPERTY: there are never two holders at the same time.
 *
 * Mutants: SHORT_GUARD, FENCE_ANY_TIME, GRANT_ANY_TIME, NO_MAJORITY,
 * FROM_RECEIPT, AMNESIA, ANY_INCARNATION, ABSENT_VOTES, RELEASE_EARLY,
 * RELEASE_ANY, NEW_MEMBER_AT_ONCE (with JOIN), NO_WITHHOLDING (with LEAVE).
 */

#define A 0
#define B 1
#define N 3

/* Validity of a grant in ticks. */
#ifndef VALID
#define VALID 2
#endif
#ifdef SHORT_GUARD
#define GUARD (VALID - 1)
#else
#define GUARD VALID
#endif
#ifdef FROM_RECEIPT
#define VOTE (VALID + 1)
#else
#define VOTE VALID
#endif
#ifdef NO_MAJORITY
#define QUORUM 1
#else
#define QUORUM 2
#endif

/* Maximum number of restarts and releases in one run. */
#ifndef EVENTS
#define EVENTS 2
#endif

#define NO_INCARNATION 9

/* GrantTable of each voter for target A: ages in ticks, at most VALID. */
byte grant_age[N];
byte report_age[N];
byte granted_to[N];
byte withhold[N];

/* The roster that each member uses: 0 for the old one, 1 for the new one. */
byte roster[N];

/* RightsLedger: remaining validity of each voter's vote, in ticks. */
byte granted[N];           /* grants to A */
byte fenced[N];            /* fence reports on A to B */
byte granted_without_a[N]; /* grants to B under the roster without A */

byte incarnation;
bool released;
byte release_sent[N];
byte events;

/* Votes for a process of A that still runs after its successor has started. */
bool old_process_runs;
byte old_granted[N];
byte old_report_age;

#define COUNT(a) ((a[0] > 0) + (a[1] > 0) + (a[2] > 0))

/* RightsLedger.right_until. */
#define A_HOLDS (!released && COUNT(granted) >= QUORUM)
#define B_HOLDS (COUNT(fenced) >= QUORUM || \
                 (granted_without_a[1] > 0) + \
                 (granted_without_a[2] > 0) >= QUORUM)
/* The old process of A still grants itself whenever its table allows. */
#define OLD_HOLDS (old_process_runs && \
                   (old_granted[0] > 0 || old_report_age >= GUARD) + \
                   (old_granted[1] > 0) + (old_granted[2] > 0) >= QUORUM)
#define CHECK assert(A_HOLDS + B_HOLDS + OLD_HOLDS <= 1)

/* Whether A is in the roster that m uses. */
#if defined(JOIN)
#define HAS_A(m) (roster[m] == 1)
#elif defined(LEAVE)
#define HAS_A(m) (roster[m] == 0)
#else
#define HAS_A(m) true
#endif

#ifdef ANY_INCARNATION
#define IS_OTHER(m, i) false
#else
#define IS_OTHER(m, i) (granted_to[m] != i)
#endif

#ifdef GRANT_ANY_TIME
#define MAY_GRANT(m) true
#else
#define MAY_GRANT(m) (report_age[m] >= GUARD)
#endif

/* GrantTable.handle_ping and RightsLedger.record: a ping from A. A ping of the
 * previous incarnation may arrive late; its grant is not received by any
 * process.
 */
inline ping_from_a(m, i) {
    if
    :: HAS_A(m) && roster[A] == roster[m] && MAY_GRANT(m) &&
       !(IS_OTHER(m, i) && grant_age[m] < GUARD) ->
        granted_to[m] = i;
        grant_age[m] = 0;
        if
        :: i == incarnation -> granted[m] = VOTE
        :: else
        fi
    :: else
    fi
}

#ifdef FENCE_ANY_TIME
#define MAY_FENCE(m) true
#else
#define MAY_FENCE(m) (grant_age[m] >= GUARD)
#endif

/* GrantTable.report_fenced and RightsLedger.record: a ping from B or C.
 * The silence that the code requires before fencing is not modelled: a member
 * fences whenever its last grant allows it. Only A is never silent to itself,
 * so it reports itself as fenced only after a release.
 */
inline report_to(x, m) {
    if
    :: HAS_A(m) && MAY_FENCE(m) && (m != A || released) ->
        report_age[m] = 0;
        if
        :: x == B && roster[x] == roster[m] -> fenced[m] = VOTE
        :: else
        fi
    :: else
    fi
}

/* GrantTable.handle_ping: a ping from B under the roster without A. */
inline ping_from_b_without_a(m) {
    if
    :: !HAS_A(m) && roster[B] == roster[m] && withhold[m] == 0 ->
        granted_without_a[m] = VOTE
    :: else
    fi
}

#define INCREMENT_AGE(a) a = (a < VALID -> a + 1 : a)
#define DECREMENT(a) a = (a > 0 -> a - 1 : 0)

inline tick() {
    INCREMENT_AGE(old_report_age);
    m = 0;
    do
    :: m < N ->
        INCREMENT_AGE(grant_age[m]);
        INCREMENT_AGE(report_age[m]);
        DECREMENT(withhold[m]);
        DECREMENT(granted[m]);
        DECREMENT(fenced[m]);
        DECREMENT(granted_without_a[m]);
        DECREMENT(old_granted[m]);
        /* Without a recent grant any incarnation is granted. */
        granted_to[m] =
            (grant_age[m] < GUARD -> granted_to[m] : NO_INCARNATION);
        m++
    :: else -> m = 0; break
    od
}

/* GrantTable.__init__: x restarts. It is treated as having granted and fenced
 * when it started. If x is A, its old process may continue behind a partition,
 * and grants from other members remain valid until they expire. If x is B, its
 * old process may keep its rights, so they are not changed.
 */
inline restart(x) {
    old_report_age = (x == A -> report_age[A] : old_report_age);
#ifdef AMNESIA
    grant_age[x] = VALID;
    report_age[x] = VALID;
#else
    grant_age[x] = 0;
    report_age[x] = 0;
#endif
    granted_to[x] = NO_INCARNATION;
    if
    :: x == A ->
        if
        :: !released -> old_process_runs = true
        :: old_process_runs = false
        fi;
        m = 0;
        do
        :: m < N ->
            old_granted[m] = (old_process_runs -> granted[m] : 0);
            granted[m] = 0;
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
    :: m < N -> release_sent[m] = incarnation + 1; m++
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
    :: m < N -> granted[m] = 0; m++
    :: else -> m = 0; break
    od
}

/* GrantTable.handle_ping for a ping with a release, which may arrive late. */
inline release_arrives(m) {
    if
    :: granted_to[m] == release_sent[m] - 1 ->
        grant_age[m] = VALID;
        granted_to[m] = NO_INCARNATION
    :: else
    fi;
    release_sent[m] = 0
}

/* GrantTable.adopt and RightsLedger.adopt. */
inline adopt(m) {
    roster[m] = 1;
#if defined(JOIN) && !defined(NEW_MEMBER_AT_ONCE)
    report_age[m] = 0;
#endif
#if defined(LEAVE) && !defined(NO_WITHHOLDING)
    withhold[m] = VALID - grant_age[m];
#endif
}

active proctype Members() {
    byte m;

    /* All processes start; their earlier grants are unknown. */
    atomic {
        granted_to[0] = NO_INCARNATION;
        granted_to[1] = NO_INCARNATION;
        granted_to[2] = NO_INCARNATION;
    }
end:
    do
    :: d_step { tick(); CHECK }
    :: atomic {
        select(m : 0 .. 2);
        if
        :: !released -> ping_from_a(m, incarnation)
        :: incarnation > 0 -> ping_from_a(m, incarnation - 1)
        :: true -> report_to(B, m)
        :: true -> report_to(2, m)
#if defined(JOIN) || defined(LEAVE)
        :: true -> ping_from_b_without_a(m)
        :: roster[m] == 0 -> adopt(m)
#endif
        :: release_sent[m] > 0 -> release_arrives(m)
        fi;
        m = 0;
        CHECK
    }
#ifdef ABSENT_VOTES
    /* C no longer exists and is counted as granting A and as fencing A. */
    :: atomic { granted[2] = VOTE; fenced[2] = VOTE; CHECK }
#endif
    :: atomic {
        events < EVENTS;
        events++;
        if
        :: true -> restart(0)
        :: true -> restart(1)
        :: true -> restart(2)
        :: !released -> release()
        fi;
        CHECK
    }
    :: atomic { released -> return_to_service() }
    od
}
