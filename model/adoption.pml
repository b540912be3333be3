/* Configuration changes and their adoption: section 6.6 of docs/design.md.
 *
 * Two operators change the document at the same time, each once. Daemons
 * adopt it from the platform (start and watch) and from peers. The platform
 * may answer with any old value, lose answers, let lost writes take effect
 * late and be down; peers may be cut off; daemons are replaced. Partitions
 * and pauses are steps that don't happen. When `over` is set, these faults
 * stop; the platform may stay down for good (`back` is false).
 *
 * The comments name the functions of sapphire_core.adoption.
 *
 * PROPERTY 1: the revision of a daemon never falls while it runs.
 * PROPERTY 2: a change reported as accepted is in every later document.
 * PROPERTY 3: a change reported as refused is never in force.
 * PROPERTY 4: a daemon that is ready has a document.
 * PROPERTY 5: once the faults are over, all daemons converge. It is checked
 *             on its own, under weak fairness.
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

/* The changes that each revision of the document contains, as bits. */
byte document[LAST_REVISION + 1];
byte newest = 1;

byte reported[OPERATORS];
byte late_expect[OPERATORS];
byte late_document[OPERATORS];

byte revision[DAEMONS];
bool ready[DAEMONS];
byte replacements;
bool over;
bool back;

#define BIT(w) (1 << (w))
#define HAS(w, r) ((document[r] & BIT(w)) != 0)

inline put(value) {
    newest++;
    document[newest] = value;
    assert(!(CHECKS(2) && reported[0] == ACCEPTED && !HAS(0, newest)));
    assert(!(CHECKS(2) && reported[1] == ACCEPTED && !HAS(1, newest)));
    assert(!(CHECKS(3) && reported[0] == REFUSED && HAS(0, newest)));
    assert(!(CHECKS(3) && reported[1] == REFUSED && HAS(1, newest)))
}

inline any_revision(r) {
    r = newest;
    do
    :: r > 1 && !over -> r--
    :: break
    od
}

inline report(w, what) {
    reported[w] = what;
    assert(!(CHECKS(2) && reported[w] == ACCEPTED && !HAS(w, newest)));
    assert(!(CHECKS(3) && reported[w] == REFUSED && HAS(w, newest)))
}

proctype Operator(byte me) {
    byte base;
    byte seen;
    byte at_least;
    byte value;

    atomic {
        any_revision(base);
        value = document[base] | BIT(me)
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
            :: !over -> goto resolve
            fi
        :: newest != base -> at_least = newest; goto resolve
        :: !over -> /* lost, and takes effect late or never */
            late_expect[me] = base;
            late_document[me] = value;
            goto resolve
        :: !over -> goto resolve
        fi
    };

resolve: /* resolve_write */
    atomic {
        any_revision(seen);
#ifdef READ_BACK_ONLY
        if
        :: HAS(me, seen) -> report(me, ACCEPTED)
        :: else -> report(me, REFUSED)
        fi;
        goto finish;
#endif
        if
        :: !over -> report(me, UNRESOLVED); goto finish
        :: HAS(me, seen) -> report(me, ACCEPTED); goto finish
        :: !HAS(me, seen) && seen > base -> report(me, REFUSED); goto finish
        :: !HAS(me, seen) && seen <= base && at_least <= base -> goto send
        :: !HAS(me, seen) && seen <= base && at_least > base -> goto resolve
        fi
    };

finish:
    atomic { base = 0; seen = 0; at_least = 0; value = 0 }
}

/* Adoption.offer, with the revision that a source has. */
inline offered(d, r) {
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

/* The start and the watch of a daemon. */
proctype Watch(byte d) {
    byte r;
end:
    do
    :: atomic {
        (!over || (back && revision[d] < newest)) ->
        any_revision(r);
#ifdef NO_WATCH
        if
        :: over -> r = 0
        :: else
        fi;
#endif
        offered(d, r);
        r = 0
    }
    od
}

/* Adoption.observe_revision, and the fetch from the peer that follows. */
proctype Peer(byte d; byte p) {
end:
    do
    :: atomic {
        (!over || revision[p] > revision[d]) ->
#ifdef NO_PEERS
        if
        :: over -> skip
        :: else -> offered(d, revision[p])
        fi
#else
        offered(d, revision[p])
#endif
    }
    od
}

/* Replaces daemons, applies late writes, and ends the faults. */
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
        :: late_document[w] != 0 && late_expect[w] == newest ->
            put(late_document[w])
        :: else
        fi;
        late_document[w] = 0;
        late_expect[w] = 0;
        w = 0
    }
    :: atomic {
        late_document[0] = 0; late_document[1] = 0;
        late_expect[0] = 0; late_expect[1] = 0;
        if
        :: back = true
        :: back = false
        fi;
        over = true;
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
#define SAME (revision[0] == revision[1])
#else
#define SAME (revision[0] == revision[1] && revision[1] == revision[2])
#endif

#if PROPERTY == 5
ltl converges {
    [] (over -> <> (SAME && (!back || revision[0] == newest)))
}
#endif
