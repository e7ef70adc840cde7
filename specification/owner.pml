/*
 * Models how successive owners schedule one task on two workers, and checks that the task never
 * runs on two workers at once and never starts again after its end was acknowledged. The model
 * covers owner generations, fencing tokens at the workers, worker leases that expire no later
 * than the validity of the owner's last ownership check, ends that are stored before they are
 * acknowledged, start requests whose response is lost, and a worker that restarts.
 *
 * The processes interleave arbitrarily in atomic steps, so that an owner may pause for any number
 * of steps of the others. Times are countdowns, so that the clock needs no bound.
 *
 * A symbol with the prefix NO_ disables one rule, which must lead to a violation. A symbol with
 * the prefix REACH_ asserts that a desired execution is impossible, which must be refuted.
 */
#define OWNERS 2
#define WORKERS 2
/* How long an ownership check stays valid, in steps of the clock. */
#define AUTHORITY 1

/* The store: the generation of the current owner, and whether the end of the task is stored. */
byte storeGeneration;
bool storeDone;

/*
 * The workers: the highest fencing token accepted, the active run (0 for none), the remaining
 * lease, the highest run number that ended or was stopped, whether the end of the task is listed,
 * and whether the lease expired after that end. A run is numbered by the generation of the owner that started it.
 */
byte token[WORKERS];
byte activeRun[WORKERS];
byte leaseLeft[WORKERS];
byte refusedRun[WORKERS];
bool doneListed[WORKERS];
bool doneStale[WORKERS];
/* Whether worker 0 has restarted, and whether an end of the task has been acknowledged. */
bool restarted;
bool doneNoted;

/*
 * The delayed start request, of which there is at most one; others are delivered at once. A run
 * number of 0 means that there is none. The lease counts down while the request is in transit.
 */
byte callRun;
byte callWorker;
byte callLeft;

/*
 * The owners: the generation (0 while the process is not the owner), the remaining validity of
 * the last ownership check, and for each worker whether it has answered with this owner's fencing
 * token, whether it listed a run, whether a start may be unanswered, whether a stop was sent,
 * whether its clock was read since its last restart, whether an ownership check succeeded after
 * that reading, and how long a former owner may still start a run there. The last two are whether
 * the owner has seen the end of the task and whether it knows that the end is stored.
 */
byte generation[OWNERS];
byte authorityLeft[OWNERS];
bool fenced[OWNERS * WORKERS];
bool seenRun[OWNERS * WORKERS];
bool openStart[OWNERS * WORKERS];
bool stopped[OWNERS * WORKERS];
bool clockRead[OWNERS * WORKERS];
bool clockProven[OWNERS * WORKERS];
byte oldLeaseLeft[OWNERS * WORKERS];
bool seenEnd[OWNERS];
bool written[OWNERS];

/* The index of an owner and a worker in the arrays of all pairs. */
#define AT(o, w) ((o) * WORKERS + (w))
/* The other of the two workers. */
#define OTHER(w) (1 - (w))

/* Begins a run. No other run may be active, and no end of the task may be acknowledged. */
inline begin(w, number, left) {
  assert(activeRun[OTHER(w)] == 0);
  assert(!doneNoted);
  activeRun[w] = number;
  leaseLeft[w] = left;
#ifdef REACH_RESTART
  assert(number < 2);
#endif
}

/*
 * Resets the state of a process that becomes the owner. A former owner may start runs until the
 * validity of its last ownership check ends; the first generation has no former owner.
 */
inline beginTerm(o) {
  generation[o] = storeGeneration;
  authorityLeft[o] = AUTHORITY;
  seenEnd[o] = false;
  written[o] = storeDone;
  fenced[AT(o, 0)] = false;
  fenced[AT(o, 1)] = false;
  seenRun[AT(o, 0)] = false;
  seenRun[AT(o, 1)] = false;
  openStart[AT(o, 0)] = false;
  openStart[AT(o, 1)] = false;
  stopped[AT(o, 0)] = false;
  stopped[AT(o, 1)] = false;
  clockRead[AT(o, 0)] = false;
  clockRead[AT(o, 1)] = false;
  clockProven[AT(o, 0)] = false;
  clockProven[AT(o, 1)] = false;
#ifdef NO_LEASE_WAIT
  oldLeaseLeft[AT(o, 0)] = 0;
  oldLeaseLeft[AT(o, 1)] = 0;
#else
  oldLeaseLeft[AT(o, 0)] = (storeGeneration == 1 -> 0 : AUTHORITY);
  oldLeaseLeft[AT(o, 1)] = oldLeaseLeft[AT(o, 0)];
#endif
}

/* Whether an owner knows that no run of the task is active or can begin at a worker. */
#define CLEAR(o, w) \
  (!seenRun[AT(o, w)] && !openStart[AT(o, w)] && \
   (fenced[AT(o, w)] || oldLeaseLeft[AT(o, w)] == 0))

/* Whether a worker accepts a request with the given fencing token. */
#ifdef NO_FENCE
#define PASSES(w, g) true
#else
#define PASSES(w, g) ((g) >= token[w])
#endif

/*
 * The lease that a request grants, and whether the owner may grant one. It ends with the validity
 * of the ownership check; without the rule, it begins anew with each request.
 */
#ifdef NO_STAMP
#define GIVEN(o) AUTHORITY
#define MAY_GIVE(o) true
#else
#define GIVEN(o) authorityLeft[o]
#define MAY_GIVE(o) (authorityLeft[o] > 0)
#endif

/* Raises the fencing token of a worker to that of a request. */
#define RAISE(w, g) if :: (g) > token[w] -> token[w] = g :: else fi

/*
 * Polls a worker: raises its fencing token, lists its run and end, and optionally extends the
 * lease of the run. An owner that is rejected because of its token ceases to be the owner.
 */
inline look(o, w, lengthen) {
  if
  :: PASSES(w, generation[o]) ->
       RAISE(w, generation[o]);
       fenced[AT(o, w)] = true;
       clockRead[AT(o, w)] = true;
#ifdef NO_PROOF_AFTER_RESTART
       clockProven[AT(o, w)] = true;
#endif
       seenRun[AT(o, w)] = (activeRun[w] != 0);
       seenEnd[o] = seenEnd[o] || doneListed[w];
       if
       :: stopped[AT(o, w)] || activeRun[w] == generation[o] ->
            openStart[AT(o, w)] = false;
            stopped[AT(o, w)] = false
       :: else
#ifdef NO_STOP_PROOF
            -> openStart[AT(o, w)] = false
#endif
       fi;
       if
       :: lengthen && activeRun[w] != 0 && MAY_GIVE(o) && clockProven[AT(o, w)] &&
            GIVEN(o) > leaseLeft[w] ->
            leaseLeft[w] = GIVEN(o)
       :: else
       fi
  :: else -> generation[o] = 0
  fi
}

/* Delivers a start request. The worker refuses it without a lease or if it stopped that run. */
inline arrive(w, number, left) {
  if
  :: PASSES(w, number) && left > 0 && activeRun[w] == 0 && number > refusedRun[w] ->
       RAISE(w, number);
       begin(w, number, left)
  :: else
  fi
}

/* Records that a start request is sent; its response may be lost. */
inline order(o, w) {
  openStart[AT(o, w)] = true;
  stopped[AT(o, w)] = false
}

/* Whether an owner may start the task at a worker. */
#define MAY_START(o, w) \
  (generation[o] != 0 && MAY_GIVE(o) && CLEAR(o, 0) && CLEAR(o, 1) && \
   clockProven[AT(o, w)] && !seenEnd[o] && !written[o])

/* Sends a start request that is delivered at once. */
inline startNow(o, w) {
  order(o, w);
  arrive(w, generation[o], GIVEN(o))
}

/* Sends a start request that is delivered later or is lost. */
inline startLate(o, w) {
  order(o, w);
  callRun = generation[o];
  callWorker = w;
  callLeft = GIVEN(o)
}

/*
 * Stops the run that the owner may have started; the worker refuses that run from then on. Only a
 * later poll shows whether the run had ended before the stop.
 */
inline stop(o, w) {
  if
  :: PASSES(w, generation[o]) ->
       RAISE(w, generation[o]);
       refusedRun[w] = generation[o];
       activeRun[w] = 0;
#ifdef NO_LOOK_AFTER_STOP
       fenced[AT(o, w)] = true;
       seenRun[AT(o, w)] = false;
       openStart[AT(o, w)] = false
#else
       stopped[AT(o, w)] = true
#endif
  :: else -> generation[o] = 0
  fi
}

/* Whether no former owner can still begin a run at a worker. */
#define SETTLED(o, w) (fenced[AT(o, w)] || oldLeaseLeft[AT(o, w)] == 0)

/* Whether an owner may acknowledge the end of the task. */
#ifdef NO_WRITE_FIRST
#define MAY_ACKNOWLEDGE(o) (seenEnd[o] && SETTLED(o, 0) && SETTLED(o, 1))
#else
#ifdef NO_SETTLED_FIRST
#define MAY_ACKNOWLEDGE(o) (seenEnd[o] && written[o])
#else
#define MAY_ACKNOWLEDGE(o) (seenEnd[o] && written[o] && SETTLED(o, 0) && SETTLED(o, 1))
#endif
#endif

/*
 * Acknowledges the end of the task at a worker. No run may be active after it, unless the lease of
 * the worker expired after the end, since such an end no longer counts.
 */
inline acknowledge(o, w) {
  doneListed[w] = false;
  if
  :: !doneStale[w] ->
       doneNoted = true;
       assert(activeRun[0] == 0 && activeRun[1] == 0)
  :: else
  fi;
  doneStale[w] = false;
#ifdef REACH_DONE
  assert(false);
#endif
}

proctype Owner(byte o) {
  do
  /* Wins the election of the next generation; the owners win in the order of their numbers. */
  :: d_step { generation[o] == 0 && storeGeneration == o ->
       storeGeneration++; beginTerm(o) }
  /* Checks ownership in the store: extends its validity or ceases to be the owner. */
  :: d_step { generation[o] != 0 && generation[o] == storeGeneration ->
       authorityLeft[o] = AUTHORITY;
       clockProven[AT(o, 0)] = clockRead[AT(o, 0)];
       clockProven[AT(o, 1)] = clockRead[AT(o, 1)] }
  :: d_step { generation[o] != 0 && generation[o] != storeGeneration -> generation[o] = 0 }
  :: d_step { generation[o] != 0 -> look(o, 0, false) }
  :: d_step { generation[o] != 0 -> look(o, 0, true) }
  :: d_step { generation[o] != 0 -> look(o, 1, false) }
  :: d_step { generation[o] != 0 -> look(o, 1, true) }
  :: d_step { MAY_START(o, 0) -> startNow(o, 0) }
  :: d_step { MAY_START(o, 1) -> startNow(o, 1) }
  :: d_step { callRun == 0 && MAY_START(o, 0) -> startLate(o, 0) }
  :: d_step { callRun == 0 && MAY_START(o, 1) -> startLate(o, 1) }
  :: d_step { generation[o] != 0 -> stop(o, 0) }
  :: d_step { generation[o] != 0 -> stop(o, 1) }
  /* Stores the end on condition that the generation in the store is unchanged. */
  :: d_step { generation[o] != 0 && seenEnd[o] && !written[o] ->
       if
       :: generation[o] == storeGeneration -> storeDone = true; written[o] = true
       :: else -> generation[o] = 0
       fi }
  :: d_step { generation[o] != 0 && MAY_ACKNOWLEDGE(o) && doneListed[0] &&
       PASSES(0, generation[o]) -> acknowledge(o, 0) }
  :: d_step { generation[o] != 0 && MAY_ACKNOWLEDGE(o) && doneListed[1] &&
       PASSES(1, generation[o]) -> acknowledge(o, 1) }
  od
}

/* Removes the delayed start request. */
inline clear() {
  callRun = 0;
  callWorker = 0;
  callLeft = 0
}

/* Delivers or loses the delayed start request. */
proctype Call() {
  do
  :: d_step { callRun != 0 -> arrive(callWorker, callRun, callLeft); clear() }
  :: d_step { callRun != 0 -> clear() }
  od
}

proctype Worker(byte w) {
  do
  /* Completes the task; the worker lists the end until it is acknowledged. */
  :: d_step { activeRun[w] != 0 ->
       refusedRun[w] = activeRun[w];
       activeRun[w] = 0;
       doneListed[w] = true;
       doneStale[w] = false }
  /*
   * Worker 0 restarts at most once; the workers are symmetric. Requests to the former process are
   * lost. A restart takes longer than an owner relies on an answer, so that no owner starts a run
   * there on the basis of an answer from before the restart.
   */
  :: d_step { w == 0 && !restarted ->
       restarted = true;
       token[w] = 0;
       activeRun[w] = 0;
       leaseLeft[w] = 0;
       refusedRun[w] = 0;
       doneListed[w] = false;
       doneStale[w] = false;
#ifndef NO_FRESH_ANSWER
       clockRead[AT(0, w)] = false;
       clockProven[AT(0, w)] = false;
       clockRead[AT(1, w)] = false;
       clockProven[AT(1, w)] = false;
#endif
       if :: callRun != 0 && callWorker == w -> clear() :: else fi }
  od
}

/* Decrements a countdown that has not reached 0. */
#define DOWN(x) x = (x > 0 -> x - 1 : 0)

/* Decrements a lease. At 0 the run is stopped, and an end listed before no longer counts. */
#define LAPSE(w) \
  DOWN(leaseLeft[w]); \
  if :: leaseLeft[w] == 0 -> activeRun[w] = 0; doneStale[w] = doneListed[w] :: else fi

/* Advances the time: decrements all countdowns by one step. */
proctype Clock() {
  do
  :: d_step {
       true ->
       LAPSE(0);
       LAPSE(1);
       DOWN(callLeft);
       DOWN(authorityLeft[0]);
       DOWN(authorityLeft[1]);
       DOWN(oldLeaseLeft[0]);
       DOWN(oldLeaseLeft[1]);
       DOWN(oldLeaseLeft[2]);
       DOWN(oldLeaseLeft[3]) }
  od
}

init {
  atomic {
    run Owner(0);
    run Owner(1);
    run Worker(0);
    run Worker(1);
    run Call();
    run Clock()
  }
}
