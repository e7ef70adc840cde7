/*
 * Ownership of one cell, fence and inventory, stamps and task leases, bind ahead and restart on
 * another worker (points 1 to 4 and 8 of docs/SPECIFICATION.md).
 *
 * One process takes one atomic step at a time, so every interleaving of owners, workers, store and
 * network is explored. A pause is any number of steps of the others between two steps of an owner.
 * Times are counted down by TICK and held relative to the present, so the clock needs no bound.
 *
 * Each protective rule is removed by one preprocessor symbol, named at the place of the rule.
 */
#ifndef JOBS
#define JOBS 2
#endif
#ifndef GENERATIONS
#define GENERATIONS 2
#endif
#define OWNERS 2
#define WORKERS 2
#define LEASE 1 /* ticks for which a start or renewal keeps a task alive, from its stamp */
#define GRACE 2 /* ticks for which an owner goes on without an answer of the store */

#define NONE 255
#define IDLE 0
#define STAMPED 1 /* the stamp to echo has been read */
#define CHECKED 2 /* the right to act has been checked */

#define OJ(o, j) ((o) * JOBS + (j))
#define OW(o, w) ((o) * WORKERS + (w))
#define WJ(w, j) ((w) * JOBS + (j))
#define DECREMENT(x) x = ((x) > 0 -> (x) - 1 : 0)
#define MAXIMUM(x, y) ((x) > (y) -> (x) : (y))

/* The head record in the store. */
byte headGeneration = 1;
byte headBound[JOBS];

/* One write of each owner may be under way to the store, and may arrive late or never. */
bit writeSent[OWNERS];
bit writeMatches[OWNERS]; /* the revision it expects is still the head's */
byte writeJob[OWNERS];
byte writeTarget[OWNERS];
bit writeApplied[OWNERS]; /* the head carries the identity of the owner's open write */

/* What an owner knows; lost in a crash. */
byte generation[OWNERS]; /* 0: not an owner */
byte right[OWNERS]; /* ticks until it must stop starting and renewing */
byte bound[OWNERS * JOBS];
bit fenced[OWNERS * WORKERS];
byte hold[OWNERS * JOBS]; /* ticks for which the job may still run on its bound worker */
byte openJob[OWNERS] = NONE; /* the job of the unanswered write */
byte openTarget[OWNERS];
byte phase[OWNERS];
byte actJob[OWNERS];
byte actAge[OWNERS];

/* One start command of each owner may be in the network. */
bit commandSent[OWNERS];
byte commandGeneration[OWNERS];
byte commandWorker[OWNERS];
byte commandJob[OWNERS];
byte commandAge[OWNERS];

/* The workers: highest generation seen, and remaining lease of each running task. */
byte highest[WORKERS];
byte running[WORKERS * JOBS];

#if JOBS == 1 || defined(NO_CAPACITY_CHECK)
#define OTHERS_HELD(o, j) false
#else
#define OTHERS_HELD(o, j) (hold[OJ(o, 1 - (j))] > 0 && bound[OJ(o, 1 - (j))] == bound[OJ(o, j)])
#endif
#if JOBS == 1
#define LOAD(w) (running[WJ(w, 0)] > 0)
#else
#define LOAD(w) ((running[WJ(w, 0)] > 0) + (running[WJ(w, 1)] > 0))
#endif

byte i;

inline forget(o) {
    generation[o] = 0;
    right[o] = 0;
    phase[o] = IDLE;
    actJob[o] = 0;
    actAge[o] = 0;
    openJob[o] = NONE;
    openTarget[o] = 0;
    fenced[OW(o, 0)] = 0;
    fenced[OW(o, 1)] = 0;
    writeApplied[o] = 0;
    for (i : 0 .. JOBS - 1) { hold[OJ(o, i)] = 0; bound[OJ(o, i)] = 0; }
    i = 0;
}

/* Compare-and-swap of the head to the next generation; every write under way loses its match. */
inline takeOver(o) {
    headGeneration++;
    generation[o] = headGeneration;
    right[o] = GRACE;
    writeMatches[0] = 0;
    writeMatches[1] = 0;
    for (i : 0 .. JOBS - 1) {
        bound[OJ(o, i)] = headBound[i];
#ifdef NO_GRACE_WAIT
        hold[OJ(o, i)] = LEASE;
#else
        hold[OJ(o, i)] = GRACE + LEASE;
#endif
    }
    i = 0;
}

/* The answer to a fence: what runs on the worker. */
inline takeInventory(o, w) {
    fenced[OW(o, w)] = 1;
    for (i : 0 .. JOBS - 1) {
        if
        :: bound[OJ(o, i)] == w ->
#ifdef NO_INVENTORY
            hold[OJ(o, i)] = 0;
#else
            hold[OJ(o, i)] = (running[WJ(w, i)] > 0 -> LEASE : 0);
#endif
        :: else
        fi;
    }
    i = 0;
}

inline send(o) {
#ifdef STAMP_AFTER_CHECK
    actAge[o] = 0;
#endif
    commandSent[o] = 1;
    commandGeneration[o] = generation[o];
    commandWorker[o] = bound[OJ(o, actJob[o])];
    commandJob[o] = actJob[o];
    commandAge[o] = actAge[o];
#ifndef NO_RESERVATION
    hold[OJ(o, actJob[o])] = MAXIMUM(hold[OJ(o, actJob[o])], LEASE - actAge[o]);
#endif
    phase[o] = IDLE;
    actJob[o] = 0;
    actAge[o] = 0;
}

inline clearCommand(o) {
    commandSent[o] = 0;
    commandGeneration[o] = 0;
    commandWorker[o] = 0;
    commandJob[o] = 0;
    commandAge[o] = 0;
}

#ifdef NO_FENCE
#define GENERATION_OK(o) true
#else
#define GENERATION_OK(o) (commandGeneration[o] >= highest[commandWorker[o]])
#endif
#ifdef NO_STAMP
#define GRANTED(o) LEASE
#else
#define GRANTED(o) (LEASE - commandAge[o])
#endif

/* The worker takes a command, or refuses a low generation or a stale stamp. */
inline deliver(o) {
    if
    :: GENERATION_OK(o) && GRANTED(o) > 0 ->
        highest[commandWorker[o]] =
            MAXIMUM(highest[commandWorker[o]], commandGeneration[o]);
        running[WJ(commandWorker[o], commandJob[o])] =
            MAXIMUM(running[WJ(commandWorker[o], commandJob[o])], GRANTED(o));
        /* A job runs in one place. */
        assert(running[WJ(0, commandJob[o])] == 0 || running[WJ(1, commandJob[o])] == 0);
        /* No worker is given more than it has: one task here. */
        assert(LOAD(commandWorker[o]) <= 1);
#ifdef REACH_RESTART
        assert(!(commandGeneration[o] == 2 && commandWorker[o] == 1 && commandJob[o] == 0));
#endif
#ifdef REACH_BOTH_RUN
        assert(!(LOAD(0) == 1 && LOAD(1) == 1));
#endif
    :: else
    fi;
}

inline applyWrite(o) {
#ifdef NO_COMPARE
    if
    :: true ->
#else
    if
    :: writeMatches[o] ->
#endif
        headBound[writeJob[o]] = writeTarget[o];
        writeApplied[o] = (openJob[o] != NONE);
        writeMatches[1 - o] = 0;
    :: else
    fi;
    writeSent[o] = 0;
    writeMatches[o] = 0;
    writeJob[o] = 0;
    writeTarget[o] = 0;
}

inline rebind(o, j, w) {
#ifdef NO_COMMIT
    bound[OJ(o, j)] = w;
    hold[OJ(o, j)] = 0;
#else
    openJob[o] = j;
    openTarget[o] = w;
    sendWrite(o);
#endif
}

inline sendWrite(o) {
    writeSent[o] = 1;
    writeMatches[o] = (generation[o] == headGeneration);
    writeJob[o] = openJob[o];
    writeTarget[o] = openTarget[o];
}

/* The answer of the store, or the read-back after it was lost. */
inline resolve(o) {
    if
    :: generation[o] != headGeneration -> forget(o)
    :: generation[o] == headGeneration && writeApplied[o] ->
        bound[OJ(o, openJob[o])] = openTarget[o];
        hold[OJ(o, openJob[o])] = 0;
        openJob[o] = NONE;
        openTarget[o] = 0;
        writeApplied[o] = 0;
    :: else ->
#ifdef NO_OPEN_WRITE
        openJob[o] = NONE;
        openTarget[o] = 0;
#else
        /* The revision has not moved: the write may yet arrive, so the same write is repeated. */
        if
        :: !writeSent[o] -> sendWrite(o)
        :: else
        fi;
#endif
    fi;
}

inline crashWorker(w) {
    for (i : 0 .. JOBS - 1) { running[WJ(w, i)] = 0; }
    i = 0;
#ifdef NO_DURABLE_FENCE
    highest[w] = 0;
#endif
}

inline tick() {
    for (i : 0 .. OWNERS - 1) {
        DECREMENT(right[i]);
        if
        :: phase[i] != IDLE && actAge[i] < LEASE -> actAge[i]++
        :: else
        fi;
        if
        :: commandSent[i] && commandAge[i] < LEASE -> commandAge[i]++
        :: else
        fi;
    }
    for (i : 0 .. OWNERS * JOBS - 1) { DECREMENT(hold[i]); }
    for (i : 0 .. WORKERS * JOBS - 1) { DECREMENT(running[i]); }
    i = 0;
}

#ifdef NO_LEASE_WAIT
#define DEAD(o, j) true
#else
#define DEAD(o, j) (hold[OJ(o, j)] == 0)
#endif
#ifdef STAMP_AFTER_CHECK
#define SENDABLE(o) true
#else
#define SENDABLE(o) (actAge[o] < LEASE)
#endif

#define FREE(o) (generation[o] > 0 && phase[o] == IDLE)

/* The steps of owner o on job j. */
#define JOB_STEPS(o, j) \
    :: d_step { FREE(o) && openJob[o] != j && fenced[OW(o, bound[OJ(o, j)])] \
            && !OTHERS_HELD(o, j) -> phase[o] = STAMPED; actJob[o] = j; actAge[o] = 0; } \
    :: d_step { FREE(o) && openJob[o] == NONE && !writeSent[o] && DEAD(o, j) \
            -> rebind(o, j, 1 - bound[OJ(o, j)]); }

/* The steps of owner o, of its network and of its store calls. */
#define OWNER_STEPS(o) \
    :: d_step { generation[o] == 0 && headGeneration < GENERATIONS -> takeOver(o); } \
    :: d_step { generation[o] > 0 -> forget(o); } \
    :: d_step { FREE(o) && generation[o] == headGeneration && right[o] < GRACE \
            -> right[o] = GRACE; } \
    :: d_step { phase[o] == STAMPED && right[o] > 0 -> phase[o] = CHECKED; } \
    :: d_step { phase[o] == CHECKED && !commandSent[o] && SENDABLE(o) -> send(o); } \
    :: d_step { phase[o] != IDLE -> phase[o] = IDLE; actJob[o] = 0; actAge[o] = 0; } \
    :: d_step { FREE(o) && openJob[o] != NONE -> resolve(o); } \
    :: d_step { writeSent[o] -> applyWrite(o); } \
    :: d_step { writeSent[o] -> writeSent[o] = 0; writeMatches[o] = 0; writeJob[o] = 0; \
            writeTarget[o] = 0; } \
    :: d_step { commandSent[o] -> deliver(o); clearCommand(o); } \
    :: d_step { commandSent[o] -> deliver(o); } \
    :: d_step { commandSent[o] -> clearCommand(o); }

/* A fence reaches its worker, and its answer arrives or is lost. */
#define FENCE_STEPS(o, w) \
    :: d_step { FREE(o) && !fenced[OW(o, w)] && highest[w] <= generation[o] \
            -> highest[w] = generation[o]; takeInventory(o, w); } \
    :: d_step { FREE(o) && !fenced[OW(o, w)] && highest[w] < generation[o] \
            -> highest[w] = generation[o]; }

#if JOBS == 1
#define ALL_JOB_STEPS(o) JOB_STEPS(o, 0)
#else
#define ALL_JOB_STEPS(o) JOB_STEPS(o, 0) JOB_STEPS(o, 1)
#endif

init {
    d_step {
        generation[0] = 1;
        right[0] = GRACE;
    }
    do
    ALL_JOB_STEPS(0)
    ALL_JOB_STEPS(1)
    OWNER_STEPS(0)
    OWNER_STEPS(1)
    FENCE_STEPS(0, 0)
    FENCE_STEPS(0, 1)
    FENCE_STEPS(1, 0)
    FENCE_STEPS(1, 1)
    :: d_step { LOAD(0) > 0 -> crashWorker(0); }
    :: d_step { LOAD(1) > 0 -> crashWorker(1); }
    :: d_step { true -> tick(); }
    od
}
