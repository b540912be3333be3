/* What VMs believe after the store has come back from an older copy: the
 * gateway's Sync, Reconciler, FeedServer and OwnEntry.
 *
 * The store counts its changes by a number and its returns by an era. The
 * operator writes versions of the configuration, and takes a domain out of
 * service and back. At a return, what was written since the copy is lost, lease
 * numbers too; numbers are given out again. The operator writes again what is
 * in force, at any later time.
 *
 * The watcher reads the store, the follower the watcher's feed. A read that is
 * not answered is a step that does not happen. Time is left out: Reconciler
 * ends a held evacuation that nobody has written or removed after
 * EVACUATION_HOLD_S, which does not happen here.
 *
 * PROPERTY 1: a VM whose cursor is the store's revision has the store's
 *             configuration, or a newer one.
 * PROPERTY 2: the configuration in force at a VM never gets older.
 * PROPERTY 3: a VM renews no lease that the store has given to another VM.
 * PROPERTY 4: a VM keeps an evacuation that it has applied as long as the
 *             operator does.
 * PROPERTY 5: whenever the faults have ended, both VMs eventually have what the
 *             operator has in force. It is checked separately, under weak
 *             fairness.
 * PROPERTY 0 selects 1 to 4.
 *
 * Mutants:
 *   BARE_REVISION: the watcher compares numbers without their eras.
 *   BARE_FEED: the follower does.
 *   BARE_LEASE: a lease of an earlier era is renewed.
 *   REFUSE_LOWER: a full state with a lower number is refused.
 *   ADOPT_COPY: the configuration of the copy is put into force.
 *   MISSING_IS_REMOVED: a full state without the evacuation ends it.
 */

#ifndef PROPERTY
#define PROPERTY 0
#endif
/* Property 5 is the LTL formula at the end; the others are assertions. */
#define CHECKS(n) (PROPERTY == n || (PROPERTY == 0 && n < 5))

#define WATCHER 0
#define FOLLOWER 1
#define VMS 2
#define LAST_VERSION 3
#ifndef RETURNS
#define RETURNS 2
#endif
/* Owners of the only lease number; 0 is nobody. */
#define OWN 1
#define OTHER 2

/* The store, and its copy. */
byte era = 1;
byte number = 1, copy_number = 1;
byte version = 1, copy_version = 1;
byte version_at = 1, copy_version_at = 1; /* number of the version's write */
bool is_out, copy_is_out;
byte out_at, copy_out_at; /* number of the evacuation's write or removal */
byte owner, copy_owner;
bool faults_ended;

/* What the operator has in force. */
byte newest = 1;
bool wants_out;

byte cursor_era[VMS]; /* 0 before the first read */
byte cursor[VMS];
byte in_force[VMS];
bool believes_out[VMS];
bool is_held[VMS]; /* the store lacks the evacuation that the VM believes */
bool was_told[VMS]; /* has applied an evacuation that the operator wants */
bool must_read_all;
/* The feed tells changes after this number, and their numbers. */
byte retained_after, told_version_at, told_out_at;
byte lease_era; /* 0 without a lease */

inline adopt(vm, found) {
#ifdef ADOPT_COPY
    assert(!(CHECKS(2) && found < in_force[vm]));
    in_force[vm] = found
#else
    if
    :: found > in_force[vm] -> in_force[vm] = found
    :: else
    fi
#endif
}

inline set_out(vm, found) {
    believes_out[vm] = found;
    is_held[vm] = false;
    was_told[vm] = found && wants_out
}

/* An evacuation that a full state lacks: held over a return, else removed. */
inline lacks_out(vm, is_return) {
#ifdef MISSING_IS_REMOVED
    believes_out[vm] = false;
#else
    is_held[vm] = believes_out[vm] && (is_return || is_held[vm]);
    believes_out[vm] = is_held[vm];
#endif
}

/* Longer than the VMs take to read what is written again. */
#define ends_held(vm)                                                        \
    (is_held[vm] && faults_ended && cursor_era[vm] == era &&                 \
     cursor[vm] == number)

inline end_held(vm) {
    believes_out[vm] = false;
    is_held[vm] = false
}

inline check(vm) {
    assert(!(CHECKS(1) && cursor_era[vm] == era && cursor[vm] == number &&
             in_force[vm] < version));
    assert(!(CHECKS(4) && was_told[vm] && !believes_out[vm]))
}

/* The operator, and the faults of the store. */
proctype Store() {
    byte returns = 0;
    bool was_out = false;

    do
    :: atomic { newest < LAST_VERSION ->
        newest++; number++; version = newest; version_at = number }
    :: atomic { !was_out ->
        was_out = true; wants_out = true;
        number++; is_out = true; out_at = number }
    :: atomic { wants_out ->
        wants_out = false; was_told[0] = false; was_told[1] = false;
        number++; is_out = false; out_at = number }
    :: atomic { /* the lease number is given to another VM */
        owner == 0 -> owner = OTHER }
    :: atomic { returns < RETURNS -> /* a copy is made */
        copy_number = number; copy_version = version;
        copy_version_at = version_at; copy_is_out = is_out;
        copy_out_at = out_at; copy_owner = owner }
    :: atomic { returns < RETURNS -> /* the store comes back from it */
        returns++; era++;
        number = copy_number; version = copy_version;
        version_at = copy_version_at; is_out = copy_is_out;
        out_at = copy_out_at; owner = copy_owner }
    :: atomic { version != newest -> /* the operator writes again */
        number++; version = newest; version_at = number }
    :: atomic { is_out != wants_out ->
        number++; is_out = wants_out; out_at = number }
    :: atomic { version == newest && is_out == wants_out -> break }
    od;
    /* Any later write shows the VMs that nothing more is written again. */
    atomic { number++; out_at = number; faults_ended = true }
}

/* A VM that reads the store. */
proctype Watcher() {
end:
    do
    :: atomic { /* all keys are read */
        cursor_era[WATCHER] == 0 || must_read_all ->
#ifdef REFUSE_LOWER
        if
        :: number < cursor[WATCHER] -> goto refused
        :: else
        fi;
#endif
        adopt(WATCHER, version);
        if
        :: is_out -> set_out(WATCHER, true)
        :: else ->
            lacks_out(WATCHER, cursor_era[WATCHER] != era &&
                      cursor_era[WATCHER] != 0)
        fi;
        cursor_era[WATCHER] = era;
        cursor[WATCHER] = number;
        retained_after = number;
        told_version_at = version_at;
        told_out_at = out_at;
        must_read_all = false;
        check(WATCHER);
refused:
        skip
    }
    :: atomic { /* the store has changes after the cursor */
        cursor_era[WATCHER] != 0 && !must_read_all &&
#ifndef BARE_REVISION
        cursor_era[WATCHER] == era &&
#endif
        number > cursor[WATCHER] ->
            if
            :: version_at > cursor[WATCHER] -> adopt(WATCHER, version)
            :: else
            fi;
            if
            :: out_at > cursor[WATCHER] -> set_out(WATCHER, is_out)
            :: else
            fi;
            cursor_era[WATCHER] = era;
            cursor[WATCHER] = number;
            told_version_at = version_at;
            told_out_at = out_at;
            check(WATCHER)
    }
    :: atomic { /* the cursor is not in the store's history */
        cursor_era[WATCHER] != 0 && !must_read_all &&
#ifdef BARE_REVISION
        number < cursor[WATCHER] ->
#else
        cursor_era[WATCHER] != era ->
#endif
            must_read_all = true
    }
    :: atomic { ends_held(WATCHER) -> end_held(WATCHER) }
    :: atomic { /* the store has discarded its history */
        cursor_era[WATCHER] != 0 && !faults_ended -> must_read_all = true
    }
    od
}

/* The watcher's lease. */
proctype Lease() {
end:
    do
    :: atomic { lease_era == 0 && owner == 0 -> owner = OWN; lease_era = era }
    :: atomic { lease_era != 0 -> /* a renewal */
        if
#ifndef BARE_LEASE
        :: lease_era != era -> lease_era = 0
#endif
        :: owner == 0 -> lease_era = 0
        :: else -> assert(!(CHECKS(3) && owner != OWN))
        fi
    }
    od
}

inline feed_all() {
    adopt(FOLLOWER, in_force[WATCHER]);
    if
    :: believes_out[WATCHER] ->
        set_out(FOLLOWER, true);
        is_held[FOLLOWER] = is_held[WATCHER]
    :: else ->
        lacks_out(FOLLOWER, cursor_era[FOLLOWER] != cursor_era[WATCHER] &&
                  cursor_era[FOLLOWER] != 0)
    fi
}

/* A VM that reads the watcher's feed. */
proctype Follower() {
end:
    do
    :: atomic { ends_held(FOLLOWER) -> end_held(FOLLOWER) }
    :: atomic {
        cursor_era[WATCHER] != 0 && (
#ifdef BARE_FEED
        cursor_era[FOLLOWER] == 0 || cursor[WATCHER] > cursor[FOLLOWER]
#else
        cursor_era[WATCHER] > cursor_era[FOLLOWER] ||
        (cursor_era[WATCHER] == cursor_era[FOLLOWER] &&
         cursor[WATCHER] > cursor[FOLLOWER])
#endif
        ) ->
            if
            :: cursor_era[FOLLOWER] == 0 ||
#ifndef BARE_FEED
               cursor_era[WATCHER] != cursor_era[FOLLOWER] ||
#endif
               cursor[FOLLOWER] < retained_after -> feed_all()
            :: else ->
                if
                :: told_version_at > cursor[FOLLOWER] ->
                    adopt(FOLLOWER, in_force[WATCHER])
                :: else
                fi;
                if
                :: told_out_at > cursor[FOLLOWER] ->
                    set_out(FOLLOWER, believes_out[WATCHER])
                :: else
                fi
            fi;
            cursor_era[FOLLOWER] = cursor_era[WATCHER];
            cursor[FOLLOWER] = cursor[WATCHER];
            check(FOLLOWER)
    }
    od
}

init {
    atomic {
        run Store();
        run Watcher();
        run Lease();
        run Follower()
    }
}

#define ARE_CURRENT                                                          \
    (in_force[0] == newest && in_force[1] == newest &&                       \
     believes_out[0] == wants_out && believes_out[1] == wants_out)

#if PROPERTY == 5
ltl convergence { [] (faults_ended -> <> ARE_CURRENT) }
#endif
