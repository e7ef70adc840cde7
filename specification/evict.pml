/*
 * Life of one resumable job: accept, bind, start, evict, resume, finish, complete, acknowledge
 * (points 3, 5 and 8 of docs/SPECIFICATION.md). Leases are left out: cell.pml has them.
 *
 * Each protective rule is removed by one preprocessor symbol, named at the place of the rule.
 */
#define GENERATIONS 2
#define ATTEMPTS 3

/* States of the job on the head. */
#define ABSENT 0
#define LIVE 1
#define DONE 2

/* Records of an attempt on a worker. */
#define NOTHING 0
#define RUNNING 1
#define STOPPED 2
#define FINISHED 3
#define ACKNOWLEDGED 4

/* What an owner knows of the attempt on the head. */
#define UNKNOWN 0
#define NOT_BEGUN 1
#define SEEN_RUNNING 2
#define SEEN_STOPPED 3
#define SEEN_FINISHED 4
#define LOST 5 /* the worker has restarted since the attempt was bound */

/* What the caller was told last. */
#define WAITING 0
#define TOLD_NOT_RUN 1
#define TOLD_ACCEPTED 2

/* The head record: the job with its attempt, and the worker and worker restart it is bound to. */
byte headGeneration = 1;
byte headState;
byte headAttempt;
byte headWorker;
byte headRestarts;

/* One write of each owner under way to the store. */
bit writeSent[2];
bit writeMatches[2];
byte writeState[2];
byte writeAttempt[2];
byte writeWorker[2];
byte writeRestarts[2];
bit writeApplied[2];

/* What an owner knows; lost in a crash. */
byte generation[2];
byte viewState[2];
byte viewAttempt[2];
byte viewWorker[2];
byte viewRestarts[2];
byte known[2];
bit open[2];
byte openState[2];
byte openAttempt[2];
byte openWorker[2];
byte openRestarts[2];

/* One start command of each owner in the network. */
bit commandSent[2];
byte commandGeneration[2];
byte commandWorker[2];
byte commandAttempt[2];
byte commandRestarts[2];
bit commandStale[2];

/* The workers. */
byte highest[2];
byte restarts[2];
byte record[2];
byte recordAttempt[2];

/* Observed outside the protocol. */
bit begun[4];
byte told;

byte i;

inline closeWrite(o) {
    open[o] = 0;
    openState[o] = 0;
    openAttempt[o] = 0;
    openWorker[o] = 0;
    openRestarts[o] = 0;
    writeApplied[o] = 0;
}

inline forget(o) {
    generation[o] = 0;
    viewState[o] = 0;
    viewAttempt[o] = 0;
    viewWorker[o] = 0;
    viewRestarts[o] = 0;
    known[o] = UNKNOWN;
    closeWrite(o);
}

inline takeOver(o) {
    headGeneration++;
    generation[o] = headGeneration;
    writeMatches[0] = 0;
    writeMatches[1] = 0;
    viewState[o] = headState;
    viewAttempt[o] = headAttempt;
    viewWorker[o] = headWorker;
    viewRestarts[o] = headRestarts;
}

inline sendWrite(o) {
    writeSent[o] = 1;
    writeMatches[o] = (generation[o] == headGeneration);
    writeState[o] = openState[o];
    writeAttempt[o] = openAttempt[o];
    writeWorker[o] = openWorker[o];
    writeRestarts[o] = openRestarts[o];
}

inline clearWrite(o) {
    writeSent[o] = 0;
    writeMatches[o] = 0;
    writeState[o] = 0;
    writeAttempt[o] = 0;
    writeWorker[o] = 0;
    writeRestarts[o] = 0;
}

inline openWrite(o, state, attempt, worker, restartsOfWorker) {
    open[o] = 1;
    openState[o] = state;
    openAttempt[o] = attempt;
    openWorker[o] = worker;
    openRestarts[o] = restartsOfWorker;
    sendWrite(o);
}

inline applyWrite(o) {
#ifdef NO_COMPARE
    if
    :: true ->
#else
    if
    :: writeMatches[o] ->
#endif
        /* A completed job stays complete, and is completed once. */
        assert(headState != DONE);
#ifdef REACH_COMPLETE
        assert(!(writeState[o] == DONE && writeAttempt[o] == 2));
#endif
        headState = writeState[o];
        headAttempt = writeAttempt[o];
        headWorker = writeWorker[o];
        headRestarts = writeRestarts[o];
        writeApplied[o] = open[o];
        writeMatches[1 - o] = 0;
    :: else
    fi;
    clearWrite(o);
}

/* The answer of the store, or the read-back after it was lost. */
inline resolve(o) {
    if
    :: writeApplied[o] && generation[o] == headGeneration ->
        if
        :: viewState[o] == ABSENT -> told = TOLD_ACCEPTED
        :: else
        fi;
        viewState[o] = openState[o];
        viewAttempt[o] = openAttempt[o];
        viewWorker[o] = openWorker[o];
        viewRestarts[o] = openRestarts[o];
        known[o] = (openState[o] == LIVE -> NOT_BEGUN : UNKNOWN);
        closeWrite(o);
    :: generation[o] != headGeneration ->
        /* Another owner has the cell: a write that is not on the head never will be. */
        if
        :: openState[o] == LIVE && openAttempt[o] == 1 && told == WAITING ->
            told = (headState == ABSENT -> TOLD_NOT_RUN : TOLD_ACCEPTED)
        :: else
        fi;
        forget(o);
    :: else ->
#ifdef NO_OPEN_WRITE
        if
        :: openAttempt[o] == 1 && openState[o] == LIVE && told == WAITING -> told = TOLD_NOT_RUN
        :: else
        fi;
        closeWrite(o);
#else
        if
        :: !writeSent[o] -> sendWrite(o)
        :: else
        fi;
#endif
    fi;
}

/* Fences the bound worker and takes what it says of the attempt. */
inline takeInventory(o, w) {
    highest[w] = generation[o];
    if
#ifndef NO_RESTART_COUNT
    :: restarts[w] != viewRestarts[o] -> known[o] = LOST
#else
    :: false -> skip
#endif
    :: else ->
        if
        :: record[w] == NOTHING || recordAttempt[w] < viewAttempt[o] -> known[o] = NOT_BEGUN
        :: recordAttempt[w] == viewAttempt[o] && record[w] == RUNNING -> known[o] = SEEN_RUNNING
        :: recordAttempt[w] == viewAttempt[o] && record[w] == STOPPED -> known[o] = SEEN_STOPPED
        :: recordAttempt[w] == viewAttempt[o] && record[w] == FINISHED -> known[o] = SEEN_FINISHED
        :: else
        fi;
    fi;
}

inline sendStart(o) {
    commandSent[o] = 1;
    commandGeneration[o] = generation[o];
    commandWorker[o] = viewWorker[o];
    commandAttempt[o] = viewAttempt[o];
    commandRestarts[o] = viewRestarts[o];
}

inline clearCommand(o) {
    commandSent[o] = 0;
    commandGeneration[o] = 0;
    commandWorker[o] = 0;
    commandAttempt[o] = 0;
    commandRestarts[o] = 0;
    commandStale[o] = 0;
}

#define ENDED(w) (record[w] == STOPPED || record[w] == FINISHED)
#ifdef NO_ATTEMPT_KEY
#define NEW_ATTEMPT(o, w) (record[w] != RUNNING)
#else
#define NEW_ATTEMPT(o, w) (record[w] == NOTHING || recordAttempt[w] < commandAttempt[o])
#endif
#ifdef NO_RESTART_COUNT
#define SAME_RESTART(o, w) true
#else
#define SAME_RESTART(o, w) (commandRestarts[o] == restarts[w])
#endif

inline begin(o, w) {
    /* Runs in one place, once for each attempt, never after completion or the answer "not run". */
    assert(record[1 - w] != RUNNING);
    assert(!begun[commandAttempt[o]]);
    assert(headState == LIVE && headAttempt == commandAttempt[o]);
    assert(told != TOLD_NOT_RUN);
#ifdef REACH_RESUME
    assert(!(commandAttempt[o] == 2 && commandGeneration[o] == 2));
#endif
    begun[commandAttempt[o]] = 1;
    record[w] = RUNNING;
    recordAttempt[w] = commandAttempt[o];
}

inline deliverTo(o, w) {
    if
    :: commandGeneration[o] >= highest[w] && !commandStale[o] && SAME_RESTART(o, w) ->
        highest[w] = commandGeneration[o];
        if
        :: NEW_ATTEMPT(o, w) -> begin(o, w)
        :: else
        fi
    :: else
    fi;
}

inline deliver(o) {
    if
    :: commandWorker[o] == 0 -> deliverTo(o, 0)
    :: else -> deliverTo(o, 1)
    fi;
}

/*
 * A stop reaches its worker; it may overtake the start, so an attempt that is not known is kept as
 * stopped. The delay of a stop is that of this step; a stop of an earlier owner is a task that
 * stops of itself.
 */
inline stop(o, w) {
    highest[w] = generation[o];
    if
    :: record[w] == RUNNING && recordAttempt[w] == viewAttempt[o] -> record[w] = STOPPED
    :: record[w] == NOTHING || recordAttempt[w] < viewAttempt[o] ->
        record[w] = STOPPED;
        recordAttempt[w] = viewAttempt[o]
    :: else
    fi;
}

/* An acknowledgement reaches its worker. */
inline acknowledge(o, w) {
    highest[w] = generation[o];
#ifdef NO_KEPT_RECORD
    record[w] = NOTHING;
    recordAttempt[w] = 0;
#else
    /* Kept until no start of the attempt can be fresh. */
    record[w] = ACKNOWLEDGED;
#endif
}

inline crashWorker(w) {
    restarts[w]++;
    record[w] = NOTHING;
    recordAttempt[w] = 0;
}

/* Every stamp older than the present tick is stale. */
inline tick() {
    for (i : 0 .. 1) {
        if
        :: commandSent[i] -> commandStale[i] = 1
        :: else
        fi;
        if
        :: record[i] == ACKNOWLEDGED -> record[i] = NOTHING; recordAttempt[i] = 0
        :: else
        fi;
    }
    i = 0;
}

#define OWNS(o) (generation[o] > 0 && !open[o])
#ifdef NO_STOP_CONFIRMATION
#define STOP_CONFIRMED(o) (known[o] != UNKNOWN && known[o] != SEEN_FINISHED)
#elif defined(ABSENT_IS_STOPPED)
#define STOP_CONFIRMED(o) (known[o] == SEEN_STOPPED || known[o] == LOST || known[o] == NOT_BEGUN)
#else
#define STOP_CONFIRMED(o) (known[o] == SEEN_STOPPED || known[o] == LOST)
#endif
#ifdef ACKNOWLEDGE_BEFORE_COMMIT
#define SETTLED(o, w) true
#else
#define SETTLED(o, w) (viewState[o] == DONE || recordAttempt[w] < viewAttempt[o])
#endif

/* Binding of the next attempt. */
#ifdef NO_EVICTION_COMMIT
#define RESUME(o, w) viewAttempt[o]++; viewWorker[o] = w; viewRestarts[o] = restarts[w]; \
    known[o] = NOT_BEGUN
#else
#define RESUME(o, w) openWrite(o, LIVE, viewAttempt[o] + 1, w, restarts[w])
#endif

#define WORKER_STEPS(o, w) \
    :: d_step { OWNS(o) && viewState[o] == ABSENT && !writeSent[o] && told != TOLD_ACCEPTED \
            -> told = WAITING; openWrite(o, LIVE, 1, w, restarts[w]); } \
    :: d_step { OWNS(o) && viewState[o] == LIVE && viewWorker[o] == w \
            && highest[w] <= generation[o] -> takeInventory(o, w); } \
    :: d_step { OWNS(o) && viewState[o] == LIVE && STOP_CONFIRMED(o) && !writeSent[o] \
            && viewAttempt[o] < ATTEMPTS -> RESUME(o, w); } \
    :: d_step { OWNS(o) && viewState[o] == LIVE && viewWorker[o] == w \
            && highest[w] <= generation[o] && viewRestarts[o] == restarts[w] -> stop(o, w); } \
    :: d_step { OWNS(o) && highest[w] <= generation[o] && SETTLED(o, w) && ENDED(w) \
            -> acknowledge(o, w); }

#define OWNER_STEPS(o) \
    :: d_step { generation[o] == 0 && headGeneration < GENERATIONS -> takeOver(o); } \
    :: d_step { generation[o] > 0 -> forget(o); } \
    :: d_step { open[o] -> resolve(o); } \
    :: d_step { writeSent[o] -> applyWrite(o); } \
    :: d_step { writeSent[o] -> clearWrite(o); } \
    :: d_step { OWNS(o) && !commandSent[o] && viewState[o] == LIVE && known[o] == NOT_BEGUN \
            -> sendStart(o); } \
    :: d_step { OWNS(o) && viewState[o] == LIVE && known[o] == SEEN_FINISHED && !writeSent[o] \
            -> openWrite(o, DONE, viewAttempt[o], viewWorker[o], viewRestarts[o]); } \
    :: d_step { commandSent[o] -> deliver(o); clearCommand(o); } \
    :: d_step { commandSent[o] -> deliver(o); } \
    :: d_step { commandSent[o] -> clearCommand(o); } \
    WORKER_STEPS(o, 0) \
    WORKER_STEPS(o, 1)

init {
    generation[0] = 1;
    do
    OWNER_STEPS(0)
    OWNER_STEPS(1)
    :: d_step { record[0] == RUNNING -> record[0] = FINISHED; }
    :: d_step { record[1] == RUNNING -> record[1] = FINISHED; }
    :: d_step { record[0] == RUNNING -> record[0] = STOPPED; }
    :: d_step { record[1] == RUNNING -> record[1] = STOPPED; }
    :: d_step { record[0] != NOTHING && restarts[0] == 0 -> crashWorker(0); }
    :: d_step { record[1] != NOTHING && restarts[1] == 0 -> crashWorker(1); }
    :: d_step { true -> tick(); }
    od
}
