/* Configuration changes and their adoption: section 6.6 of docs/design.md.
 *
 * Two operators change the document concurrently, once each. Daemons adopt it
 * from the platform (at start and by a watch) and from peers. The platform may
 * return stale values, lose responses, apply lost writes late, or be down;
 * peers may be unreachable; daemons are replaced. Partitions and pauses are
 * modelled as steps that do not happen. These faults stop when `faults_ended`
 * is set; the platform may stay down permanently (`platform_recovered` is
 * false).
 *
 * The comments name the functions of sapphire_core.adoption that implement
 * the steps.
 *
 * PROPERTY 1: the revision of a daemon never falls while it runs.
 * PROPERTY 2: a change reported as accepted is in every later document.
 * PROPERTY 3: a change reported as refused is never in force.
 * PROPERTY 4: a daemon that is ready has a document.
 * PROPERTY 5: once the faults have ended, all daemons converge. It is checked
 *             separately, under weak fairness.
 * PROPERTY 0 selects 1 to 4.
 *
 * Mutants: ADOPT_ANY, UNCONDITIONAL_WRITE, READ_BACK_ONLY, READY_AT_ONCE,
 * NO_WATCH, NO_PEERS.
 */

#ifndef PROPERTY
#define PROPERTY 0
#endif
#define CHECKS(n) (PROPERTY == n || (PROPERTY == 0 && n < 5))

#ifndef DAEMONS
#define DAEMONS 2
#endif
#ifndef REPLACEMENTS
#define REPLACEMENTS 1
#endif
#define OPERATORS 2
#define LAST_REVISION 3

#define OPEN 0
#define ACCEPTED 1
#define REFUSED 2
#define UNRESOLVED 3

/* Bit set of the changes that each revision of the document contains. */
byte document[LAST_REVISION + 1];
byte newest = 1;

byte reported[OPERATORS];
byte delayed_expect[OPERATORS];
byte delayed_document[OPERATORS];

byte revision[DAEMONS];
bool ready[DAEMONS];
byte replacements;
bool faults_ended;
bool platform_recovered;

#define CHANGE_BIT(w) (1 << (w))
#define CONTAINS(w, r) ((document[r] & CHANGE_BIT(w)) != 0)

inline put(value) {
    newest++;
    document[newest] = value;
    assert(!(CHECKS(2) && reported[0] == ACCEPTED && !CONTAINS(0, newest)));
    assert(!(CHECKS(2) && reported[1] == ACCEPTED && !CONTAINS(1, newest)));
    assert(!(CHECKS(3) && reported[0] == REFUSED && CONTAINS(0, newest)));
    assert(!(CHECKS(3) && reported[1] == REFUSED && CONTAINS(1, newest)))
}

inline read_revision(r) {
    r = newest;
    do
    :: r > 1 && !faults_ended -> r--
    :: break
    od
}

inline report(w, result) {
    reported[w] = result;
    assert(!(CHECKS(2) && reported[w] == ACCEPTED && !CONTAINS(w, newest)));
    assert(!(CHECKS(3) && reported[w] == REFUSED && CONTAINS(w, newest)))
}

proctype Operator(byte me) {
    byte base;
    byte seen;
    byte at_least;
    byte value;

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
            put(value);
            if
            :: report(me, ACCEPTED); goto finish
            :: !faults_ended -> goto resolve
            fi
        :: newest != base -> at_least = newest; goto resolve
        :: !faults_ended -> /* response lost; takes effect late or never */
            delayed_expect[me] = base;
            delayed_document[me] = value;
            goto resolve
        :: !faults_ended -> goto resolve
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
        :: !faults_ended -> report(me, UNRESOLVED); goto finish
        :: CONTAINS(me, seen) -> report(me, ACCEPTED); goto finish
        :: !CONTAINS(me, seen) && seen > base ->
            report(me, REFUSED);
            goto finish
        :: !CONTAINS(me, seen) && seen <= base && at_least <= base -> goto send
        :: !CONTAINS(me, seen) && seen <= base && at_least > base ->
            goto resolve
        fi
    };

finish:
    atomic { base = 0; seen = 0; at_least = 0; value = 0 }
}

/* Adoption.adopt, with the revision held by a source. */
inline adopt(d, r) {
    if
#ifdef ADOPT_ANY
    :: r > 0 ->
#else
    :: r > revision[d] ->
#endif
        assert(!(CHECKS(1) && r < revision[d]));
        revision[d] = r;
        ready[d] = true
    :: else
    fi;
    assert(!(CHECKS(4) && ready[d] && revision[d] == 0))
}

/* Initial read and watch of a daemon. */
proctype Watch(byte d) {
    byte r;
end:
    do
    :: atomic {
        (!faults_ended || (platform_recovered && revision[d] < newest)) ->
        read_revision(r);
#ifdef NO_WATCH
        if
        :: faults_ended -> r = 0
        :: else
        fi;
#endif
        adopt(d, r);
        r = 0
    }
    od
}

/* Adoption.observe_revision, followed by a fetch from the peer. */
proctype Peer(byte d; byte p) {
end:
    do
    :: atomic {
        (!faults_ended || revision[p] > revision[d]) ->
#ifdef NO_PEERS
        if
        :: faults_ended -> skip
        :: else -> adopt(d, revision[p])
        fi
#else
        adopt(d, revision[p])
#endif
    }
    od
}

/* Replaces daemons, applies delayed writes, and ends the faults. */
proctype Faults() {
    byte w;
    do
    :: atomic {
        replacements < REPLACEMENTS ->
        replacements++;
        select(w : 0 .. DAEMONS - 1);
        revision[w] = 0;
#ifdef READY_AT_ONCE
        ready[w] = true;
#else
        ready[w] = false;
#endif
        w = 0
    }
    :: atomic {
        select(w : 0 .. OPERATORS - 1);
        if
        :: delayed_document[w] != 0 && delayed_expect[w] == newest ->
            put(delayed_document[w])
        :: else
        fi;
        delayed_document[w] = 0;
        delayed_expect[w] = 0;
        w = 0
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
    byte d;
    byte p;
    atomic {
        run Operator(0);
        run Operator(1);
        run Faults();
        do
        :: d < DAEMONS ->
            run Watch(d);
            p = 0;
            do
            :: p < DAEMONS ->
                if
                :: p != d -> run Peer(d, p)
                :: else
                fi;
                p++
            :: else -> break
            od;
            d++
        :: else -> break
        od;
        d = 0;
        p = 0
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
