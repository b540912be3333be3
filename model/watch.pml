/* What a VM knows of the store: sapphire_core.freshness and the gateway's Sync.
 *
 * The store counts its changes by a revision. Watchers read the store: first
 * all keys, then the changes after their cursor, by a watch. A follower reads
 * the feed of a watcher, which it may exchange for that of another one.
 *
 * Faults: the store discards its history; it loses a watch that it has accepted
 * (it stays silent, whatever changes); it ends a watch without changes although
 * there are some; a feed or a read may not be answered (steps that do not
 * happen). Faults and changes stop when `faults_ended` is set; a watch that was
 * lost before stays lost.
 *
 * Time is left out: a watch may run into its time limit at any moment, but while
 * there are no faults the store answers first if there are changes. How soon is
 * decided by Freshness.watch_limit_s and checked by tests. The exchange of
 * revisions only shortens this time, so it is left out too.
 *
 * A VM's cursor is the revision up to which it claims to have all changes;
 * `complete` is the revision up to which it really has them.
 *
 * PROPERTY 1: a VM has all changes up to its cursor.
 * PROPERTY 2: the cursor of a VM never falls.
 * PROPERTY 5: whenever the faults have ended, all VMs eventually have the
 *             newest revision. It is checked separately, under weak fairness.
 * PROPERTY 0 selects 1 and 2.
 *
 * Mutants:
 *   NO_TIME_LIMIT: a watch waits until it is answered.
 *   ADOPT_AHEAD: an answer without changes moves the cursor to its revision.
 *   ANY_STATE: a full state is applied even if it is older than the cursor.
 *   ANY_FEED: a feed that is behind answers with its full state.
 *   CHANGES_ONLY: a feed sends the changes that it has retained, even if some
 *   after the cursor are missing among them.
 */

#ifndef PROPERTY
#define PROPERTY 0
#endif
/* Property 5 is the LTL formula at the end; the others are assertions. */
#define CHECKS(n) (PROPERTY == n || (PROPERTY == 0 && n < 5))

#define WATCHERS 2
#define FOLLOWER 2
#define VMS 3
#ifndef LAST_REVISION
#define LAST_REVISION 4
#endif

/* State of a watcher's question to the store. */
#define NONE 0
#define WAITING 1
#define LOST 2

byte newest = 1;
/* Oldest cursor from which the store can still tell the changes. */
byte history_start = 1;
bool faults_ended;

byte question[WATCHERS];
bool must_read_all[WATCHERS];
byte cursor[VMS]; /* 0 before the first read */
byte complete[VMS];
/* Oldest cursor from which a watcher can tell the changes to a follower. */
byte retained_start[WATCHERS];

inline advance(vm, claimed, really) {
    assert(!(CHECKS(2) && claimed < cursor[vm]));
    cursor[vm] = claimed;
    complete[vm] = really;
    assert(!(CHECKS(1) && complete[vm] < cursor[vm]))
}

/* Changes, and the faults of the store. */
proctype Store() {
    byte watcher;

    do
    :: atomic { newest < LAST_REVISION -> newest++ }
    :: atomic { /* the history is discarded */
        history_start < newest -> history_start = newest
    }
    :: atomic { /* a watch is lost */
        watcher = 0;
        do
        :: watcher < WATCHERS - 1 -> watcher++
        :: break
        od;
        if
        :: question[watcher] == WAITING -> question[watcher] = LOST
        :: else
        fi
    }
    :: break
    od;
    faults_ended = true
}

/* A VM that reads the store (Sync). */
proctype Watcher(byte me) {
    byte found;

    do
    :: atomic { /* all keys are read */
        question[me] == NONE && (cursor[me] == 0 || must_read_all[me]) ->
            found = newest;
#ifdef ANY_STATE
            do /* an older state, from a source that lags behind */
            :: found > 1 && !faults_ended -> found--
            :: break
            od;
#endif
            advance(me, found, found);
            retained_start[me] = found;
            must_read_all[me] = false
    }
    :: atomic { /* the changes after the cursor are asked for */
        question[me] == NONE && cursor[me] > 0 && !must_read_all[me] ->
            if
            :: cursor[me] < history_start -> must_read_all[me] = true
            :: else -> question[me] = WAITING
            fi
    }
    :: atomic { /* the store answers with some or all of the changes */
        question[me] == WAITING && cursor[me] < newest &&
        cursor[me] >= history_start ->
            found = newest;
            do
            :: found > cursor[me] + 1 -> found--
            :: break
            od;
            /* The cursor goes to the last of the changes. */
            advance(me, found, found);
            question[me] = NONE
    }
    :: atomic { /* the store answers that the history is gone */
        question[me] == WAITING && cursor[me] < history_start ->
            must_read_all[me] = true;
            question[me] = NONE
    }
    :: atomic { /* the store answers without changes, although there are some */
        question[me] == WAITING && cursor[me] < newest && !faults_ended ->
#ifdef ADOPT_AHEAD
            advance(me, newest, complete[me]);
#else
            /* StoreClient.watch_all raises HistoryGoneError. */
            must_read_all[me] = true;
#endif
            question[me] = NONE
    }
#ifndef NO_TIME_LIMIT
    :: atomic { /* the watch has reached its limit (Freshness.watch_limit_s) */
        /* Without faults the store answers at once if there are changes. */
        question[me] == LOST || (question[me] == WAITING &&
        (cursor[me] == newest || !faults_ended)) -> question[me] = NONE
    }
#endif
    od
}

/* A VM that reads a feed (FeedServer, FeedClient). */
proctype Follower() {
    byte source;

    do
    :: atomic { /* another feed is chosen */
        cursor[source] <= cursor[FOLLOWER] || !faults_ended ->
            source = 1 - source
    }
    :: atomic { /* the feed has newer changes, and retains all of them */
        cursor[FOLLOWER] > 0 && cursor[source] > cursor[FOLLOWER] &&
        cursor[FOLLOWER] >= retained_start[source] ->
            advance(FOLLOWER, cursor[source], complete[source])
    }
    :: atomic { /* the feed sends its full state */
        cursor[source] > cursor[FOLLOWER] &&
        (cursor[FOLLOWER] == 0 || cursor[FOLLOWER] < retained_start[source]) ->
#ifdef CHANGES_ONLY
            if
            :: cursor[FOLLOWER] == 0 ->
                advance(FOLLOWER, cursor[source], complete[source])
            :: else ->
                /* The changes before the retained ones are missing. */
                advance(FOLLOWER, cursor[source], complete[FOLLOWER])
            fi
#else
            advance(FOLLOWER, cursor[source], complete[source])
#endif
    }
#ifdef ANY_FEED
    :: atomic { /* the feed is behind and sends its full state */
        cursor[source] > 0 && cursor[source] < cursor[FOLLOWER] ->
            advance(FOLLOWER, cursor[source], complete[source])
    }
#endif
    od
}

init {
    atomic {
        run Store();
        run Watcher(0);
        run Watcher(1);
        run Follower()
    }
}

#define ARE_CURRENT \
    (cursor[0] == newest && cursor[1] == newest && cursor[2] == newest)

#if PROPERTY == 5
ltl convergence { [] (faults_ended -> <> ARE_CURRENT) }
#endif
