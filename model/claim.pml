/* At-most-once submissions: section 6.3 of docs/design.md.
 *
 * A submission is a request to a leaf that must not run twice. Its caller names
 * it by an idempotency key. An entry process that receives the request writes a
 * claim as the value of this key in the platform before it sends the
 * submission. The key has a version, which each write that takes effect
 * increases by one.
 *
 * REQUESTS requests have the same idempotency key, as happens when a caller
 * repeats its request at other VMs. Each is handled by an entry process of its
 * own, which may pause for any time between two steps. There is no clock, so
 * the properties do not depend on the time limit DISPATCH_WITHIN_S of the code.
 *
 * The comments at labels and branches name the methods of
 * sapphire_core.claim.Submission that return the action or handle its result.
 *
 * PROPERTY selects one property; 0 selects all of them.
 * PROPERTY 1: the submission runs at most once, over all requests.
 * PROPERTY 2: a request answered "not run" has not run the submission and does
 *             not run it later; another request may run it.
 * PROPERTY 3: an answer with an outcome has that of the first execution.
 * PROPERTY 4: if all requests were answered "not run", no claim stays in state
 *             DISPATCHING, so that a later request can claim the key. It is not
 *             checked once the key has reached LAST_VERSION.
 *
 * Mutants:
 *   UNCONDITIONAL_CREATE: a claim is written whatever version the key has.
 *   RETRY_AFTER_SEND: a submission whose outcome was lost is sent again.
 *   LOST_IS_NOT_RUN: the answer after a lost outcome is "not run".
 *   REDO_DONE: a claim with an outcome is replaced by a new claim.
 *   READ_BACK_ONLY: if a claim write has no response and a read finds no claim,
 *     the request ends without releasing the claim.
 */

#ifndef PROPERTY
#define PROPERTY 0
#endif
#ifndef REQUESTS
#define REQUESTS 2 /* 2 or 3 */
#endif

#define CHECKS(n) (PROPERTY == 0 || PROPERTY == n)

/* Highest version of the key, which bounds the state space. No write takes
 * effect beyond it: the write is lost or not sent, or meets a conflict.
 */
#define LAST_VERSION 4

/* State of the claim: ABSENT if the key does not exist, otherwise as in
 * ClaimState. A claim is RELEASED if nothing ran under it, and another request
 * may replace it; DONE if the outcome is stored.
 */
#define ABSENT 0
#define DISPATCHING 1
#define RELEASED 2
#define DONE 3

/* Result of a call to the platform. LOST: the write is unconfirmed; it may have
 * taken effect or may do so later. UNAVAILABLE: the write was not sent or the
 * read failed.
 */
#define OK 0
#define CONFLICT 1
#define LOST 2
#define UNAVAILABLE 3

/* Answer to the caller; NONE before the answer. RUN comes with an outcome. */
#define NONE 0
#define RUN 1
#define NOT_RUN 2
#define UNKNOWN 3

/* State and owner of the claim at each version of the key, since reads may
 * return a stale value. The owner is the request that wrote the claim; it also
 * stands for the outcome of a claim in state DONE.
 */
byte state[LAST_VERSION + 1];
byte owner[LAST_VERSION + 1];
byte newest;

/* For each request, an unconfirmed write that may still take effect: the state
 * to write, ABSENT if there is no such write, and the version that it expects.
 * A later unconfirmed write of the same request replaces it.
 */
byte delayed_state[REQUESTS];
byte delayed_expect[REQUESTS];

byte executions; /* 2 stands for more than one */
byte first_outcome;
bool ran[REQUESTS];
byte answered[REQUESTS];
byte finished; /* number of finished requests */

/* Makes the value the newest version of the key. */
inline apply_write(id, value) {
    newest++;
    state[newest] = value;
    owner[newest] = id
}

/* PlatformClient.put, which writes if the key has the version `expect`. Sets
 * `result` of the request; if it is OK, also `claim_version`, and if it is
 * CONFLICT, `seen`, to the current version.
 */
inline write(id, expect, value) {
    if
    :: newest < LAST_VERSION && newest == expect ->
        apply_write(id, value);
        if
        :: claim_version = newest; result = OK
        :: result = LOST /* took effect; the response is lost */
        fi
    :: newest != expect -> result = CONFLICT; seen = newest
    :: delayed_expect[id] = expect; /* may take effect later */
        delayed_state[id] = value;
        result = LOST
    :: result = LOST /* never takes effect */
    :: result = UNAVAILABLE
    fi
}

/* PlatformClient.get, which may return the current or any earlier value. Sets
 * `result` of the request and, if it is OK, `seen` to the version read.
 */
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

proctype Request(byte me) {
    byte result;
    byte seen; /* version that the last read or conflict returned */
    byte claim_version; /* version of this request's claim */
    byte min_version; /* a read of a lower version is stale */
    byte replaced_version; /* version that the last claim write replaces */
    bool has_unconfirmed_write; /* a claim write that may take effect */
    bool other_may_hold_claim;

create: /* _create */
    atomic {
#ifdef UNCONDITIONAL_CREATE
        replaced_version = newest;
#endif
        write(me, replaced_version, DISPATCHING);
        if
        :: result == OK -> goto claimed /* _claimed */
        :: result == CONFLICT -> /* _create_conflict */
            other_may_hold_claim = true;
            min_version = seen;
            goto read_claim
        :: result == LOST -> /* _read_back, _deadline_passed_in_write */
            has_unconfirmed_write = true;
            if
            :: goto read_claim
            :: goto refuse
            fi
        :: result == UNAVAILABLE -> goto refuse /* _unavailable */
        fi
    };

read_claim: /* reads; _found handles the result */
    atomic {
        read();
        if
        :: result == UNAVAILABLE ->
            goto refuse /* _unavailable or _deadline_passed */
        :: result == OK && seen < min_version -> goto read_claim
        :: result == OK && seen >= min_version -> min_version = seen
        fi;
        if
        :: state[seen] == ABSENT ->
#ifdef READ_BACK_ONLY
            has_unconfirmed_write = false;
            goto refuse;
#endif
            replaced_version = 0;
            goto create
        :: state[seen] != ABSENT && owner[seen] == me ->
            /* An unconfirmed claim write of this request took effect. */
            claim_version = seen;
            goto claimed
        :: state[seen] != ABSENT && owner[seen] != me
        fi;
        /* _found_other_claim */
        if
        :: seen > replaced_version ->
            /* An unconfirmed claim write can no longer take effect, since the
             * key is past the version that it replaces.
             */
            has_unconfirmed_write = false
        :: else
        fi;
        if
        :: state[seen] == RELEASED -> replaced_version = seen; goto create
        :: state[seen] == DONE ->
#ifdef REDO_DONE
            replaced_version = seen;
            goto create;
#endif
            answer_outcome(me, owner[seen]);
            goto close
        :: state[seen] == DISPATCHING ->
            other_may_hold_claim = true;
            if
            :: goto read_claim /* action Wait, _wait_again */
            :: goto refuse /* _refuse_as_unknown at the deadline */
            fi
        fi
    };

claimed: /* action Dispatch, begin_dispatch */
    if
    /* _not_sent: no byte of the submission was sent, so it did not run. */
    :: atomic { answer(me, NOT_RUN); goto release }
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
        write(me, claim_version, DONE);
        if
        :: result == OK || result == CONFLICT ->
            /* After a conflict: an unconfirmed write of the outcome took
             * effect, since no other request changes this claim.
             */
            goto close
        :: else -> goto store
        fi
    };

refuse: /* _refuse; _refuse_as_unknown if another request may hold the claim */
    atomic {
        if
        :: other_may_hold_claim -> answer(me, UNKNOWN)
        :: else -> answer(me, NOT_RUN)
        fi;
        if
        :: has_unconfirmed_write -> goto read_for_release
        :: else -> goto close
        fi
    };

read_for_release: /* reads; _release_found handles the result */
    atomic {
        read();
        if
        :: result == UNAVAILABLE || seen < min_version -> goto read_for_release
        :: else
        fi;
        if
        /* Releases this request's own claim. If there is none, or a released
         * one of another request, writes a released claim all the same, so that
         * the unconfirmed claim write can no longer take effect.
         */
        :: state[seen] == ABSENT ||
           (owner[seen] == me && state[seen] == DISPATCHING) ||
           (owner[seen] != me && state[seen] == RELEASED) ->
            claim_version = seen
        :: else -> goto close
        fi
    };

release: /* _release */
    atomic {
        write(me, claim_version, RELEASED);
        if
        :: result == OK -> goto close
        :: result == CONFLICT -> /* _release_conflict */
            min_version = seen;
            goto read_for_release
        :: else -> goto release
        fi
    };

close: /* _close */
    atomic {
        /* Resets the variables, so that states that differ only in them count
         * as one state.
         */
        result = 0; seen = 0;
        claim_version = 0; min_version = 0; replaced_version = 0;
        has_unconfirmed_write = false;
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

/* Delivers delayed writes at any later time and in any order. A write takes
 * effect if the key has the version that it expects and LAST_VERSION has not
 * been reached; otherwise it is dropped. Property 4 is checked here because a
 * delayed write may take effect after all requests have finished.
 */
active proctype Network() {
    byte id;
end:
    do
    :: atomic {
        select(id : 0 .. REQUESTS - 1);
        if
        :: delayed_state[id] != ABSENT && newest == delayed_expect[id] &&
           newest < LAST_VERSION -> apply_write(id, delayed_state[id])
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
        :: i < REQUESTS -> run Request(i); i++
        :: else -> i = 0; break
        od
    }
}
