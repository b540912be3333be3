/* Configuration changes and their adoption: section 6.6 of docs/design.md.
 *
 * The configuration document is stored in the platform; each write that takes
 * effect gives it a new revision. Two operators change it concurrently, once
 * each, by compare-and-swap. Daemons adopt it from the platform (at start and
 * by a watch) and from other daemons, their peers.
 *
 * Faults: the platform may return stale values, lose responses, apply lost
 * writes late, or be down; peers may be unreachable; a daemon may be replaced
 * by one that has no document yet. Partitions and pauses are modelled as steps
 * that do not happen. These faults stop when `faults_ended` is set. After that,
 * daemons read the platform only if `platform_recovered` is set; if it is not,
 * the platform stays down for them, but not for operators.
 *
 * Comments name the functions of sapphire_core.adoption that implement a step.
 *
 * PROPERTY 1: the revision of a daemon never falls while it runs.
 * PROPERTY 2: a change reported as accepted is in the newest document and in
 *             every later one.
 * PROPERTY 3: a change reported as refused is neither in the newest document
 *             nor in any later one.
 * PROPERTY 4: a daemon that is ready has a document.
 * PROPERTY 5: whenever the faults have ended, all daemons eventually have the
 *             same revision, which is the newest one if the platform has
 *             recovered. It is checked separately, under weak fairness.
 * PROPERTY 0 selects 1 to 4.
 *
 * Mutants:
 *   ADOPT_ANY: a daemon adopts any document, also one of a lower revision.
 *   UNCONDITIONAL_WRITE: a write replaces the newest revision, whatever it is.
 *   READ_BACK_ONLY: after a conflict or a lost response, a single read, which
 *     may be stale, decides whether the write was accepted.
 *   READY_AT_ONCE: a daemon that replaces another one is ready at its start.
 *   NO_WATCH: after the faults, daemons do not adopt from the platform.
 *   NO_PEERS: after the faults, daemons do not adopt from peers.
 */

#ifndef PROPERTY
#define PROPERTY 0
#endif
/* Property 5 is the LTL formula at the end; the others are assertions. */
#define CHECKS(n) (PROPERTY == n || (PROPERTY == 0 && n < 5))

#ifndef DAEMONS
#define DAEMONS 2 /* 2 or 3 */
#endif
#ifndef REPLACEMENTS
#define REPLACEMENTS 1
#endif
#define OPERATORS 2
/* The initial revision and one for the change of each operator. */
#define LAST_REVISION 3

/* What an operator was told about its change. OPEN: nothing yet; UNRESOLVED: it
 * is not known whether the change takes effect.
 */
#define OPEN 0
#define ACCEPTED 1
#define REFUSED 2
#define UNRESOLVED 3

/* Bit set of the changes that each revision of the document contains. Revision
 * 1 is the initial document; 0 stands for no document.
 */
byte document[LAST_REVISION + 1];
byte newest = 1;

byte reported[OPERATORS];
/* For each operator, a write without a response that may still take effect: the
 * revision that it expects and the document, 0 if there is no such write.
 */
byte delayed_expect[OPERATORS];
byte delayed_document[OPERATORS];

byte revision[DAEMONS]; /* the one that each daemon has adopted */
bool ready[DAEMONS];
byte replacements;
bool faults_ended;
bool platform_recovered;

#define CHANGE_BIT(operator) (1 << (operator))
#define CONTAINS(operator, number) \
    ((document[number] & CHANGE_BIT(operator)) != 0)

/* Makes the value the newest revision of the document. */
inline apply_write(value) {
    newest++;
    document[newest] = value;
    assert(!(CHECKS(2) && reported[0] == ACCEPTED && !CONTAINS(0, newest)));
    assert(!(CHECKS(2) && reported[1] == ACCEPTED && !CONTAINS(1, newest)));
    assert(!(CHECKS(3) && reported[0] == REFUSED && CONTAINS(0, newest)));
    assert(!(CHECKS(3) && reported[1] == REFUSED && CONTAINS(1, newest)))
}

/* Reads the platform: sets `found` to the newest revision or, before the faults
 * have ended, to any revision.
 */
inline read_revision(found) {
    found = newest;
    do
    :: found > 1 && !faults_ended -> found--
    :: break
    od
}

inline report(operator, result) {
    reported[operator] = result;
    assert(!(CHECKS(2) && reported[operator] == ACCEPTED &&
             !CONTAINS(operator, newest)));
    assert(!(CHECKS(3) && reported[operator] == REFUSED &&
             CONTAINS(operator, newest)))
}

proctype Operator(byte me) {
    byte base; /* revision that the write replaces */
    byte seen; /* revision found by the read after the write */
    byte at_least; /* revision reported by a conflict, 0 without one */
    byte value; /* document to write */

    atomic {
        read_revision(base);
        value = document[base] | CHANGE_BIT(me)
    };

send: /* compare-and-swap from base */
    atomic {
#ifdef UNCONDITIONAL_WRITE
        base = newest;
#endif
        if
        :: newest == base ->
            apply_write(value);
            if
            :: report(me, ACCEPTED); goto finish
            :: !faults_ended -> goto resolve /* the response is lost */
            fi
        :: newest != base -> /* conflict */
            at_least = newest;
            goto resolve
        :: !faults_ended -> /* unconfirmed; may take effect later */
            delayed_expect[me] = base;
            delayed_document[me] = value;
            goto resolve
        :: !faults_ended -> goto resolve /* unconfirmed; never takes effect */
        fi
    };

resolve: /* resolve_write */
    atomic {
        read_revision(seen);
#ifdef READ_BACK_ONLY
        if
        :: CONTAINS(me, seen) -> report(me, ACCEPTED)
        :: else -> report(me, REFUSED)
        fi;
        goto finish;
#endif
        if
        :: !faults_ended -> /* the result could not be read in time */
            report(me, UNRESOLVED);
            goto finish
        :: CONTAINS(me, seen) -> report(me, ACCEPTED); goto finish
        :: !CONTAINS(me, seen) && seen > base ->
            /* Another write replaced the base, so this one has no effect. */
            report(me, REFUSED);
            goto finish
        :: !CONTAINS(me, seen) && seen <= base && at_least <= base ->
            /* Resolution.REPEAT: the write may still take effect. */
            goto send
        :: !CONTAINS(me, seen) && seen <= base && at_least > base ->
            /* Resolution.READ_AGAIN: the read is older than the conflict. */
            goto resolve
        fi
    };

finish:
    atomic { base = 0; seen = 0; at_least = 0; value = 0 }
}

/* Adoption.adopt: the platform or a peer offers a revision. */
inline adopt(daemon, offered) {
    if
#ifdef ADOPT_ANY
    :: offered > 0 ->
#else
    :: offered > revision[daemon] ->
#endif
        assert(!(CHECKS(1) && offered < revision[daemon]));
        revision[daemon] = offered;
        ready[daemon] = true
    :: else
    fi;
    assert(!(CHECKS(4) && ready[daemon] && revision[daemon] == 0))
}

/* A daemon reads the platform when it starts and watches it for changes. */
proctype Watch(byte daemon) {
    byte found;
end:
    do
    :: atomic {
        (!faults_ended || (platform_recovered && revision[daemon] < newest)) ->
        read_revision(found);
#ifdef NO_WATCH
        if
        :: faults_ended -> found = 0
        :: else
        fi;
#endif
        adopt(daemon, found);
        found = 0
    }
    od
}

/* Adoption.observe_revision: a daemon learns the revision of a peer and fetches
 * the peer's document.
 */
proctype Peer(byte daemon; byte peer) {
end:
    do
    :: atomic {
        (!faults_ended || revision[peer] > revision[daemon]) ->
#ifdef NO_PEERS
        if
        :: faults_ended -> skip
        :: else -> adopt(daemon, revision[peer])
        fi
#else
        adopt(daemon, revision[peer])
#endif
    }
    od
}

/* Replaces daemons, applies delayed writes, and ends the faults. */
proctype Faults() {
    byte index;
    do
    :: atomic {
        replacements < REPLACEMENTS ->
        replacements++;
        select(index : 0 .. DAEMONS - 1);
        revision[index] = 0;
#ifdef READY_AT_ONCE
        ready[index] = true;
#else
        ready[index] = false;
#endif
        index = 0
    }
    :: atomic {
        select(index : 0 .. OPERATORS - 1);
        if
        :: delayed_document[index] != 0 && delayed_expect[index] == newest ->
            apply_write(delayed_document[index])
        :: else
        fi;
        delayed_document[index] = 0;
        delayed_expect[index] = 0;
        index = 0
    }
    :: atomic {
        delayed_document[0] = 0; delayed_document[1] = 0;
        delayed_expect[0] = 0; delayed_expect[1] = 0;
        if
        :: platform_recovered = true
        :: platform_recovered = false
        fi;
        faults_ended = true;
        break
    }
    od
}

init {
    byte daemon;
    byte peer;
    atomic {
        run Operator(0);
        run Operator(1);
        run Faults();
        do
        :: daemon < DAEMONS ->
            run Watch(daemon);
            peer = 0;
            do
            :: peer < DAEMONS ->
                if
                :: peer != daemon -> run Peer(daemon, peer)
                :: else
                fi;
                peer++
            :: else -> break
            od;
            daemon++
        :: else -> break
        od;
        daemon = 0;
        peer = 0
    }
}

#if DAEMONS == 2
#define ALL_EQUAL (revision[0] == revision[1])
#else
#define ALL_EQUAL (revision[0] == revision[1] && revision[1] == revision[2])
#endif

#if PROPERTY == 5
ltl converges {
    [] (faults_ended ->
        <> (ALL_EQUAL && (!platform_recovered || revision[0] == newest)))
}
#endif
