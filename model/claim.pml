/* At-most-once submissions: section 6.3 of docs/design.md.
 *
 * REQUESTS entries handle the same idempotency key. This happens when a caller
 * repeats its request at other VMs. The comment at each step names the method
 * of sapphire_core.claim.Submission that implements it. An entry may pause for
 * any time between two steps. There is no clock, so the properties do not
 * depend on DISPATCH_WITHIN_S.
 *
 * PROPERTY selects one property; 0 selects all of them.
 * PROPERTY 1: the submission runs at most once.
 * PROPERTY 2: a request answered "not run" has not run and never runs.
 * PROPERTY 3: an outcome given in an answer is the first one.
 * PROPERTY 4: if all requests were answered "not run", the key is usable.
 *
 * Mutants: UNCONDITIONAL_CREATE, RETRY_AFTER_SEND, LOST_IS_NOT_RUN,
 * REDO_DONE, READ_BACK_ONLY.
 */

#ifndef PROPERTY
#define PROPERTY 0
#endif
#ifndef REQUESTS
#define REQUESTS 2
#endif

#define CHECKS(n) (PROPERTY == 0 || PROPERTY == n)

/* Writes beyond this version are not sent, as if the platform were down. */
#define LAST_VERSION 4

#define ABSENT 0
#define DISPATCHING 1
#define RELEASED 2
#define DONE 3

#define OK 0
#define CONFLICT 1
#define LOST 2
#define UNAVAILABLE 3

#define NONE 0
#define RUN 1
#define NOT_RUN 2
#define UNKNOWN 3

/* All values that the key has had, since reads may return a stale one. The
 * outcome of a claim is identified by the claim's owner.
 */
byte state[LAST_VERSION + 1];
byte owner[LAST_VERSION + 1];
byte newest;

/* For each entry, a write without a response that may still take effect. */
byte delayed_state[REQUESTS];
byte delayed_expect[REQUESTS];

byte executions;
byte first_outcome;
bool ran[REQUESTS];
byte answered[REQUESTS];
byte finished;

inline put(id, value) {
    newest++;
    state[newest] = value;
    owner[newest] = id
}

/* PlatformClient.put: the response and the effect of the write. */
inline write(id, expect, value) {
    if
    :: newest < LAST_VERSION && newest == expect ->
        put(id, value);
        if
        :: version = newest; result = OK
        :: result = LOST
        fi
    :: newest != expect -> result = CONFLICT; seen = newest
    :: delayed_expect[id] = expect; delayed_state[id] = value; result = LOST
    :: result = LOST
    :: result = UNAVAILABLE
    fi
}

/* PlatformClient.get: may return any earlier value. */
inline read() {
    if
    :: result = UNAVAILABLE
    :: result = OK;
        seen = newest;
        do
        :: seen > 0 -> seen--
        :: break
        od
    fi
}

inline answer(id, status) {
    answered[id] = status;
    assert(!(CHECKS(2) && answered[id] == NOT_RUN && ran[id]))
}

inline answer_outcome(id, outcome) {
    answered[id] = RUN;
    assert(!(CHECKS(3) && outcome != first_outcome))
}

inline execute(id) {
    ran[id] = true;
    if
    :: executions == 0 -> first_outcome = id; executions = 1
    :: executions > 0 -> executions = 2
    fi;
    assert(!(CHECKS(1) && executions > 1));
    assert(!(CHECKS(2) && answered[id] == NOT_RUN))
}

proctype Entry(byte me) {
    byte result;
    byte seen;
    byte version;
    byte at_least;
    byte expect;
    bool may_exist;
    bool other_may_hold_claim;

create: /* _create */
    atomic {
#ifdef UNCONDITIONAL_CREATE
        expect = newest;
#endif
        write(me, expect, DISPATCHING);
        if
        :: result == OK -> goto claimed /* _claimed */
        :: result == CONFLICT -> /* _create_conflict */
            other_may_hold_claim = true;
            at_least = seen;
            goto read_claim
        :: result == LOST -> /* _read_back, _deadline_passed_in_write */
            may_exist = true;
            if
            :: goto read_claim
            :: goto refuse
            fi
        :: result == UNAVAILABLE -> goto refuse /* _unavailable */
        fi
    };

read_claim: /* _found */
    atomic {
        read();
        if
        :: result == UNAVAILABLE -> goto refuse /* _unavailable, or
            * _deadline_passed */
        :: result == OK && seen < at_least -> goto read_claim
        :: result == OK && seen >= at_least -> at_least = seen
        fi;
        if
        :: state[seen] == ABSENT ->
#ifdef READ_BACK_ONLY
            may_exist = false;
            goto refuse;
#endif
            expect = 0;
            goto create
        :: state[seen] != ABSENT && owner[seen] == me ->
            version = seen;
            goto claimed
        :: state[seen] != ABSENT && owner[seen] != me
        fi;
        /* _found_other_claim */
        if
        :: seen > expect -> may_exist = false
        :: else
        fi;
        if
        :: state[seen] == RELEASED -> expect = seen; goto create
        :: state[seen] == DONE ->
#ifdef REDO_DONE
            expect = seen;
            goto create;
#endif
            answer_outcome(me, owner[seen]);
            goto close
        :: state[seen] == DISPATCHING ->
            other_may_hold_claim = true;
            if
            :: goto read_claim /* Wait, _wait_again */
            :: goto refuse /* _refuse_as_unknown at the deadline */
            fi
        fi
    };

claimed: /* begin_dispatch */
    if
    :: atomic { answer(me, NOT_RUN); goto release } /* _not_sent */
    :: atomic { execute(me) }
    fi;
    atomic {
        if
        :: answer_outcome(me, me); goto store /* _outcome_received */
        :: /* _outcome_lost */
#ifdef RETRY_AFTER_SEND
            goto claimed;
#endif
#ifdef LOST_IS_NOT_RUN
            answer(me, NOT_RUN);
#else
            answer(me, UNKNOWN);
#endif
            if
            :: goto store /* the outcome arrives after the answer */
            :: goto close
            fi
        fi
    };

store: /* _store */
    atomic {
        write(me, version, DONE);
        if
        :: result == OK || result == CONFLICT -> goto close
        :: else -> goto store
        fi
    };

refuse: /* _refuse */
    atomic {
        if
        :: other_may_hold_claim -> answer(me, UNKNOWN)
        :: else -> answer(me, NOT_RUN)
        fi;
        if
        :: may_exist -> goto read_for_release
        :: else -> goto close
        fi
    };

read_for_release: /* _release_found */
    atomic {
        read();
        if
        :: result == UNAVAILABLE || seen < at_least -> goto read_for_release
        :: else
        fi;
        if
        :: state[seen] == ABSENT ||
           (owner[seen] == me && state[seen] == DISPATCHING) ||
           (owner[seen] != me && state[seen] == RELEASED) -> version = seen
        :: else -> goto close
        fi
    };

release: /* _release */
    atomic {
        write(me, version, RELEASED);
        if
        :: result == OK -> goto close
        :: result == CONFLICT -> /* _release_conflict */
            at_least = seen;
            goto read_for_release
        :: else -> goto release
        fi
    };

close: /* _close */
    atomic {
        result = 0; seen = 0; version = 0; at_least = 0; expect = 0;
        may_exist = false;
        other_may_hold_claim = false;
        finished++;
    }
}

#if REQUESTS == 2
#define ALL_NOT_RUN (answered[0] == NOT_RUN && answered[1] == NOT_RUN)
#else
#define ALL_NOT_RUN (answered[0] == NOT_RUN && answered[1] == NOT_RUN && \
                  answered[2] == NOT_RUN)
#endif

/* Applies delayed writes at any later time, or drops them. */
active proctype Network() {
    byte id;
end:
    do
    :: atomic {
        select(id : 0 .. REQUESTS - 1);
        if
        :: delayed_state[id] != ABSENT && newest == delayed_expect[id] &&
           newest < LAST_VERSION -> put(id, delayed_state[id])
        :: else
        fi;
        delayed_state[id] = ABSENT;
        delayed_expect[id] = 0;
        id = 0;
        assert(!(CHECKS(4) && finished == REQUESTS && ALL_NOT_RUN &&
                 newest < LAST_VERSION && state[newest] == DISPATCHING))
    }
    od
}

init {
    byte i;
    atomic {
        do
        :: i < REQUESTS -> run Entry(i); i++
        :: else -> i = 0; break
        od
    }
}
