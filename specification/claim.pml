/*
 * One at-most-once request that enters through two forwarders, and the owners of its claim shard
 * (points 7 and 8 of docs/SPECIFICATION.md).
 *
 * Each protective rule is removed by one preprocessor symbol, named at the place of the rule.
 */
#ifndef GENERATIONS
#define GENERATIONS 3
#endif
#define TRIES 3 /* of the same request, over both forwarders */
#define CALLER 2 /* ticks within which the caller repeats the request */
#define DEADLINE 1 /* ticks after the request arrived within which a forwarder may send */
#ifdef SHORT_RETENTION
#define RETENTION 1
#else
#define RETENTION 3 /* ticks for which a claim is kept: the two above together */
#endif

/* Changes of a head: a nonce for a claim, its release by that nonce, or its expiry. */
#define NO_CHANGE 0
#define RELEASE(n) ((n) + TRIES)
#define IS_RELEASE(change) ((change) > TRIES && (change) <= 2 * TRIES)
#define EXPIRY 9

/* States of a request at a forwarder. */
#define NEW 0
#define ASKING 1
#define SENT 2
#define TOLD_NOT_RUN 3
#define TOLD_OTHER 4 /* the answer, or that the outcome is unknown */

/* The head record: the nonce of the claim, its release, or zero, and for how long it must be kept. */
byte headGeneration = 1;
byte headClaim;
byte headRetention;

/* One write of each owner under way to the store. */
byte write[2];
bit writeMatches[2];
bit writeApplied[2];

/* What an owner knows; lost in a crash. */
byte generation[2];
byte viewClaim[2];
byte open[2];

/* The forwarders; each try has a nonce. */
byte state[2];
byte nonce[2];
byte deadline[2];
bit inFlight[2]; /* the send of the present try is under way */
bit leftInFlight[2]; /* the send of an earlier try is under way */

byte callerWindow = CALLER;
byte tries;

/* Observed at the endpoint. */
byte executions;

/*
 * The network between forwarders and shards: a question once asked may arrive at any time and any
 * number of times, or never, and so may a grant once given. A refusal changes nothing but what the
 * caller is told, so it needs no message here.
 */
bit granted[TRIES + 1];

/* A forwarder that told its caller "not run" gives its claim back; it may arrive at any time. */
bit givenBack[TRIES + 1];

inline forget(o) {
    generation[o] = 0;
    viewClaim[o] = 0;
    open[o] = NO_CHANGE;
    writeApplied[o] = 0;
}

inline takeOver(o) {
    headGeneration++;
    generation[o] = headGeneration;
    writeMatches[0] = 0;
    writeMatches[1] = 0;
    viewClaim[o] = headClaim;
}

inline sendWrite(o) {
    write[o] = open[o];
    writeMatches[o] = (generation[o] == headGeneration);
}

inline applyWrite(o) {
#ifdef NO_COMPARE
    if
    :: true ->
#else
    if
    :: writeMatches[o] ->
#endif
        headClaim = (write[o] == EXPIRY -> 0 : write[o]);
        headRetention = (write[o] == EXPIRY -> 0 : (IS_RELEASE(write[o]) -> headRetention : RETENTION));
        writeApplied[o] = (open[o] != NO_CHANGE);
        writeMatches[1 - o] = 0;
    :: else
    fi;
    write[o] = NO_CHANGE;
    writeMatches[o] = 0;
}

inline commitView(o) {
    viewClaim[o] = (open[o] == EXPIRY -> 0 : open[o]);
    open[o] = NO_CHANGE;
    writeApplied[o] = 0;
}

/* The answer of the store, or the read-back after it was lost. */
inline resolve(o) {
    if
#ifdef ASSUME_APPLIED
    :: true -> commitView(o)
#else
    :: generation[o] != headGeneration -> forget(o)
    :: generation[o] == headGeneration && writeApplied[o] -> commitView(o)
    :: generation[o] == headGeneration && !writeApplied[o] && write[o] == NO_CHANGE ->
        sendWrite(o)
    :: else
#endif
    fi;
}

/* The owner takes the question of the forwarder with nonce n. */
inline take(o, n) {
    if
    :: viewClaim[o] == 0 || (IS_RELEASE(viewClaim[o]) && viewClaim[o] != RELEASE(n)) ->
        if
        :: open[o] == NO_CHANGE && write[o] == NO_CHANGE ->
#ifdef NO_CLAIM_COMMIT
            viewClaim[o] = n;
#else
            open[o] = n;
            sendWrite(o);
#endif
        :: else
        fi
    :: viewClaim[o] == n ->
        granted[n] = 1;
#ifdef REACH_GRANT_AGAIN
        assert(generation[o] != 2);
#endif
    :: else
#ifdef NO_NONCE
        -> granted[n] = 1
#endif
    fi;
}

#ifdef NO_DEADLINE
#define IN_TIME(f) true
#else
#define IN_TIME(f) (deadline[f] > 0)
#endif
#ifdef NO_SINGLE_SEND
#define MAY_SEND(f) (state[f] == ASKING || (state[f] == SENT && !inFlight[f]))
#else
#ifdef NO_FINAL_ANSWER
#define MAY_SEND(f) (state[f] == ASKING || state[f] == TOLD_NOT_RUN)
#else
#define MAY_SEND(f) (state[f] == ASKING)
#endif
#endif

inline tellNotRun(f) {
    state[f] = TOLD_NOT_RUN;
#ifdef GIVE_BACK
    givenBack[nonce[f]] = 1;
#endif
}

/* The check of the deadline and the send are one step. */
inline receive(f) {
    if
    :: MAY_SEND(f) && IN_TIME(f) ->
        inFlight[f] = 1;
        if
        :: state[f] == ASKING -> state[f] = SENT
        :: else
        fi
    :: state[f] == ASKING && !IN_TIME(f) -> tellNotRun(f)
    :: else
    fi;
}

inline execute(f) {
    inFlight[f] = 0;
    executions++;
    /* Executed at most once, and never where the caller was told that it was not run. */
    assert(executions <= 1);
    assert(state[f] != TOLD_NOT_RUN);
#ifdef REACH_ANSWER
    assert(!(f == 1 && state[f] == SENT));
#endif
#ifdef REACH_RUN_AFTER_RELEASE
    assert(!(nonce[f] == 2 && givenBack[1] && granted[1]));
#endif
}

inline executeLeft(f) {
    leftInFlight[f] = 0;
    executions++;
    assert(executions <= 1);
}

/* The forwarder is replaced, or the caller tries again: both need a nonce never used before. */
inline begin(f) {
    tries++;
#ifdef NO_FRESH_NONCE
    nonce[f] = f + 1;
#else
    nonce[f] = tries;
#endif
    if
    :: inFlight[f] -> leftInFlight[f] = 1
    :: else
    fi;
    inFlight[f] = 0;
    state[f] = ASKING;
    deadline[f] = DEADLINE;
}

inline tick() {
    headRetention = (headRetention > 0 -> headRetention - 1 : 0);
    callerWindow = (callerWindow > 0 -> callerWindow - 1 : 0);
    deadline[0] = (deadline[0] > 0 -> deadline[0] - 1 : 0);
    deadline[1] = (deadline[1] > 0 -> deadline[1] - 1 : 0);
}

/* Giving back and expiry are explored apart: together they are too many states. */
#ifdef GIVE_BACK
#define EXPIRES false
#else
#define EXPIRES true
#endif
#ifdef NO_RETENTION
#define RETAINED false
#else
#define RETAINED (headRetention > 0)
#endif

#ifdef GIVE_BACK_EARLY
#define GIVE_BACK_STEP(f) :: d_step { state[f] == ASKING -> givenBack[nonce[f]] = 1; }
#else
#define GIVE_BACK_STEP(f)
#endif
#ifdef RELEASE_BY_ANY
#define MAY_RELEASE(o, n) (viewClaim[o] > 0 && viewClaim[o] <= TRIES)
#else
#define MAY_RELEASE(o, n) (viewClaim[o] == (n))
#endif

#define FORWARDER_STEPS(f) \
    :: d_step { tries < TRIES && callerWindow > 0 -> begin(f); } \
    :: d_step { state[f] == ASKING -> tellNotRun(f); } \
    GIVE_BACK_STEP(f) \
    :: d_step { state[f] == ASKING || state[f] == SENT -> state[f] = TOLD_OTHER; } \
    :: d_step { granted[nonce[f]] -> receive(f); } \
    :: d_step { inFlight[f] -> execute(f); } \
    :: d_step { leftInFlight[f] -> executeLeft(f); } \
    :: d_step { inFlight[f] -> inFlight[f] = 0; } \
    :: d_step { leftInFlight[f] -> leftInFlight[f] = 0; }

#define TAKE_STEP(o, n) \
    :: d_step { generation[o] > 0 && tries >= n -> take(o, n); } \
    :: d_step { generation[o] > 0 && givenBack[n] && MAY_RELEASE(o, n) && open[o] == NO_CHANGE \
            && write[o] == NO_CHANGE -> open[o] = RELEASE(viewClaim[o]); sendWrite(o); }

#define OWNER_STEPS(o) \
    :: d_step { generation[o] == 0 && headGeneration < GENERATIONS -> takeOver(o); } \
    :: d_step { generation[o] > 0 -> forget(o); } \
    :: d_step { open[o] != NO_CHANGE -> resolve(o); } \
    :: d_step { write[o] != NO_CHANGE -> applyWrite(o); } \
    :: d_step { write[o] != NO_CHANGE -> write[o] = NO_CHANGE; writeMatches[o] = 0; } \
    :: d_step { generation[o] > 0 && viewClaim[o] != 0 && !RETAINED && open[o] == NO_CHANGE \
            && write[o] == NO_CHANGE && EXPIRES -> open[o] = EXPIRY; sendWrite(o); } \
    TAKE_STEP(o, 1) \
    TAKE_STEP(o, 2) \
    TAKE_STEP(o, 3)

init {
    generation[0] = 1;
    do
    FORWARDER_STEPS(0)
    FORWARDER_STEPS(1)
    OWNER_STEPS(0)
    OWNER_STEPS(1)
    :: d_step { true -> tick(); }
    od
}
