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
 * A symbol with the prefix NO_ disables one rule, which must lead to a violation:
 *   NO_FENCE                workers reject requests with an old fencing token
 *   NO_LEASE_WAIT           a new owner waits until the leases of its predecessors end, unless the
 *                           worker has answered with its token
 *   NO_STAMP                a lease ends with the validity of the ownership check
 *   NO_STOP_PROOF           a start stays unresolved until a poll shows its run or follows a stop
 *   NO_LOOK_AFTER_STOP      after a stop, the owner polls again before it relies on the result
 *   NO_WRITE_FIRST          an end is stored before it is acknowledged
 *   NO_SETTLED_FIRST        an end is acknowledged only when no former owner can start a run
 *   NO_FRESH_ANSWER         no owner starts a run on the basis of an answer from before a restart
 *   NO_PROOF_AFTER_RESTART  an ownership check follows the reading of the worker's clock
 *
 * A symbol with the prefix REACH_ asserts that a desired execution is impossible, which must be
 * refuted: REACH_RESTART that a second owner starts a run, REACH_DONE that an end is acknowledged.
 */
#define OWNERS 2
#define WORKERS 2
/* How long an ownership check stays valid, in steps of the clock. */
#define OWNERSHIP_VALIDITY 1

/* The store: the generation of the current owner, and whether the end of the task is stored. */
byte storedGeneration;
bool endStored;

/*
 * The workers: the highest fencing token accepted, the active run (0 for none), the remaining
 * lease, the highest run number that ended or was stopped, whether the end of the task is listed,
 * and whether the lease expired after that end. The number of a run is the generation of the owner
 * that started it.
 */
byte fencingToken[WORKERS];
byte activeRun[WORKERS];
byte leaseLeft[WORKERS];
byte highestRefusedRun[WORKERS];
bool endListed[WORKERS];
bool endStale[WORKERS];
/* Whether worker 0 has restarted, and whether an end of the task has been acknowledged. */
bool restarted;
bool endAcknowledged;

/*
 * The delayed start request, of which there is at most one; others are delivered at once. A run
 * number of 0 means that there is none. The lease counts down while the request is in transit.
 */
byte delayedStartRun;
byte delayedStartWorker;
byte delayedStartLease;

/*
 * The owners: the generation (0 while the process is not the owner), the remaining validity of
 * the last ownership check, and for each worker whether it has answered with this owner's fencing
 * token, whether it listed a run, whether a start may be unanswered, whether a stop was sent,
 * whether its clock was read since its last restart, whether an ownership check succeeded after
 * that reading, and how long a former owner may still start a run there. The last two are whether
 * the owner has seen the end of the task and whether it knows that the end is stored.
 */
byte generation[OWNERS];
byte ownershipLeft[OWNERS];
bool fenced[OWNERS * WORKERS];
bool seenRun[OWNERS * WORKERS];
bool unresolvedStart[OWNERS * WORKERS];
bool stopSent[OWNERS * WORKERS];
bool clockRead[OWNERS * WORKERS];
bool clockConfirmed[OWNERS * WORKERS];
byte formerLeaseLeft[OWNERS * WORKERS];
bool seenEnd[OWNERS];
bool seenStored[OWNERS];

/* The index of an owner and a worker in the arrays of all pairs. */
#define INDEX(o, w) ((o) * WORKERS + (w))
/* The other of the two workers. */
#define OTHER_WORKER(w) (1 - (w))

/* Begins a run. No other run may be active, and no end of the task may be acknowledged. */
inline beginRun(w, runNumber, lease) {
  assert(activeRun[OTHER_WORKER(w)] == 0);
  assert(!endAcknowledged);
  activeRun[w] = runNumber;
  leaseLeft[w] = lease;
#ifdef REACH_RESTART
  assert(runNumber < 2);
#endif
}

/*
 * Resets the state of a process that becomes the owner. A former owner may start runs until the
 * validity of its last ownership check ends; the first generation has no former owner.
 */
inline becomeOwner(o) {
  generation[o] = storedGeneration;
  ownershipLeft[o] = OWNERSHIP_VALIDITY;
  seenEnd[o] = false;
  seenStored[o] = endStored;
  fenced[INDEX(o, 0)] = false;
  fenced[INDEX(o, 1)] = false;
  seenRun[INDEX(o, 0)] = false;
  seenRun[INDEX(o, 1)] = false;
  unresolvedStart[INDEX(o, 0)] = false;
  unresolvedStart[INDEX(o, 1)] = false;
  stopSent[INDEX(o, 0)] = false;
  stopSent[INDEX(o, 1)] = false;
  clockRead[INDEX(o, 0)] = false;
  clockRead[INDEX(o, 1)] = false;
  clockConfirmed[INDEX(o, 0)] = false;
  clockConfirmed[INDEX(o, 1)] = false;
#ifdef NO_LEASE_WAIT
  formerLeaseLeft[INDEX(o, 0)] = 0;
  formerLeaseLeft[INDEX(o, 1)] = 0;
#else
  formerLeaseLeft[INDEX(o, 0)] = (storedGeneration == 1 -> 0 : OWNERSHIP_VALIDITY);
  formerLeaseLeft[INDEX(o, 1)] = formerLeaseLeft[INDEX(o, 0)];
#endif
}

/* Whether an owner knows that no run of the task is active or can begin at a worker. */
#define RUN_EXCLUDED(o, w) \
  (!seenRun[INDEX(o, w)] && !unresolvedStart[INDEX(o, w)] && \
   (fenced[INDEX(o, w)] || formerLeaseLeft[INDEX(o, w)] == 0))

/* Whether a worker accepts a request with the given fencing token. */
#ifdef NO_FENCE
#define TOKEN_ACCEPTED(w, g) true
#else
#define TOKEN_ACCEPTED(w, g) ((g) >= fencingToken[w])
#endif

/*
 * The lease that a request grants, and whether the owner may grant one. It ends with the validity
 * of the ownership check; without the rule, it begins anew with each request.
 */
#ifdef NO_STAMP
#define GRANTED_LEASE(o) OWNERSHIP_VALIDITY
#define MAY_GRANT_LEASE(o) true
#else
#define GRANTED_LEASE(o) ownershipLeft[o]
#define MAY_GRANT_LEASE(o) (ownershipLeft[o] > 0)
#endif

/* Raises the fencing token of a worker to that of a request. */
#define RAISE_TOKEN(w, g) if :: (g) > fencingToken[w] -> fencingToken[w] = g :: else fi

/*
 * Polls a worker: raises its fencing token, lists its run and end, and optionally extends the
 * lease of the run. An owner that is rejected because of its token ceases to be the owner.
 */
inline poll(o, w, extendLease) {
  if
  :: TOKEN_ACCEPTED(w, generation[o]) ->
       RAISE_TOKEN(w, generation[o]);
       fenced[INDEX(o, w)] = true;
       clockRead[INDEX(o, w)] = true;
#ifdef NO_PROOF_AFTER_RESTART
       clockConfirmed[INDEX(o, w)] = true;
#endif
       seenRun[INDEX(o, w)] = (activeRun[w] != 0);
       seenEnd[o] = seenEnd[o] || endListed[w];
       if
       :: stopSent[INDEX(o, w)] || activeRun[w] == generation[o] ->
            unresolvedStart[INDEX(o, w)] = false;
            stopSent[INDEX(o, w)] = false
       :: else
#ifdef NO_STOP_PROOF
            -> unresolvedStart[INDEX(o, w)] = false
#endif
       fi;
       if
       :: extendLease && activeRun[w] != 0 && MAY_GRANT_LEASE(o) && clockConfirmed[INDEX(o, w)] &&
            GRANTED_LEASE(o) > leaseLeft[w] ->
            leaseLeft[w] = GRANTED_LEASE(o)
       :: else
       fi
  :: else -> generation[o] = 0
  fi
}

/* Delivers a start request. The worker refuses it without a lease or if it stopped that run. */
inline deliverStart(w, runNumber, lease) {
  if
  :: TOKEN_ACCEPTED(w, runNumber) && lease > 0 && activeRun[w] == 0 &&
       runNumber > highestRefusedRun[w] ->
       RAISE_TOKEN(w, runNumber);
       beginRun(w, runNumber, lease)
  :: else
  fi
}

/* Records that a start request is sent; its response may be lost. */
inline recordStart(o, w) {
  unresolvedStart[INDEX(o, w)] = true;
  stopSent[INDEX(o, w)] = false
}

/* Whether an owner may start the task at a worker. */
#define MAY_START(o, w) \
  (generation[o] != 0 && MAY_GRANT_LEASE(o) && RUN_EXCLUDED(o, 0) && RUN_EXCLUDED(o, 1) && \
   clockConfirmed[INDEX(o, w)] && !seenEnd[o] && !seenStored[o])

/* Sends a start request that is delivered at once. */
inline sendStart(o, w) {
  recordStart(o, w);
  deliverStart(w, generation[o], GRANTED_LEASE(o))
}

/* Sends a start request that is delivered later or is lost. */
inline sendDelayedStart(o, w) {
  recordStart(o, w);
  delayedStartRun = generation[o];
  delayedStartWorker = w;
  delayedStartLease = GRANTED_LEASE(o)
}

/*
 * Stops the run that the owner may have started; the worker refuses that run from then on. Only a
 * later poll shows whether the run had ended before the stop.
 */
inline stopRun(o, w) {
  if
  :: TOKEN_ACCEPTED(w, generation[o]) ->
       RAISE_TOKEN(w, generation[o]);
       highestRefusedRun[w] = generation[o];
       activeRun[w] = 0;
#ifdef NO_LOOK_AFTER_STOP
       fenced[INDEX(o, w)] = true;
       seenRun[INDEX(o, w)] = false;
       unresolvedStart[INDEX(o, w)] = false
#else
       stopSent[INDEX(o, w)] = true
#endif
  :: else -> generation[o] = 0
  fi
}

/* Whether no former owner can still begin a run at a worker. */
#define FORMER_OWNERS_EXCLUDED(o, w) (fenced[INDEX(o, w)] || formerLeaseLeft[INDEX(o, w)] == 0)

/* Whether an owner may acknowledge the end of the task. */
#ifdef NO_WRITE_FIRST
#define MAY_ACKNOWLEDGE(o) \
  (seenEnd[o] && FORMER_OWNERS_EXCLUDED(o, 0) && FORMER_OWNERS_EXCLUDED(o, 1))
#else
#ifdef NO_SETTLED_FIRST
#define MAY_ACKNOWLEDGE(o) (seenEnd[o] && seenStored[o])
#else
#define MAY_ACKNOWLEDGE(o) \
  (seenEnd[o] && seenStored[o] && \
   FORMER_OWNERS_EXCLUDED(o, 0) && FORMER_OWNERS_EXCLUDED(o, 1))
#endif
#endif

/*
 * Acknowledges the end of the task at a worker. No run may be active after it, unless the lease of
 * the worker expired after the end, since such an end no longer counts.
 */
inline acknowledge(o, w) {
  endListed[w] = false;
  if
  :: !endStale[w] ->
       endAcknowledged = true;
       assert(activeRun[0] == 0 && activeRun[1] == 0)
  :: else
  fi;
  endStale[w] = false;
#ifdef REACH_DONE
  assert(false);
#endif
}

proctype Owner(byte o) {
  do
  /* Wins the election of the next generation; the owners win in the order of their numbers. */
  :: d_step { generation[o] == 0 && storedGeneration == o ->
       storedGeneration++; becomeOwner(o) }
  /* Checks ownership in the store: extends its validity or ceases to be the owner. */
  :: d_step { generation[o] != 0 && generation[o] == storedGeneration ->
       ownershipLeft[o] = OWNERSHIP_VALIDITY;
       clockConfirmed[INDEX(o, 0)] = clockRead[INDEX(o, 0)];
       clockConfirmed[INDEX(o, 1)] = clockRead[INDEX(o, 1)] }
  :: d_step { generation[o] != 0 && generation[o] != storedGeneration -> generation[o] = 0 }
  :: d_step { generation[o] != 0 -> poll(o, 0, false) }
  :: d_step { generation[o] != 0 -> poll(o, 0, true) }
  :: d_step { generation[o] != 0 -> poll(o, 1, false) }
  :: d_step { generation[o] != 0 -> poll(o, 1, true) }
  :: d_step { MAY_START(o, 0) -> sendStart(o, 0) }
  :: d_step { MAY_START(o, 1) -> sendStart(o, 1) }
  :: d_step { delayedStartRun == 0 && MAY_START(o, 0) -> sendDelayedStart(o, 0) }
  :: d_step { delayedStartRun == 0 && MAY_START(o, 1) -> sendDelayedStart(o, 1) }
  :: d_step { generation[o] != 0 -> stopRun(o, 0) }
  :: d_step { generation[o] != 0 -> stopRun(o, 1) }
  /* Stores the end on condition that the generation in the store is unchanged. */
  :: d_step { generation[o] != 0 && seenEnd[o] && !seenStored[o] ->
       if
       :: generation[o] == storedGeneration -> endStored = true; seenStored[o] = true
       :: else -> generation[o] = 0
       fi }
  :: d_step { generation[o] != 0 && MAY_ACKNOWLEDGE(o) && endListed[0] &&
       TOKEN_ACCEPTED(0, generation[o]) -> acknowledge(o, 0) }
  :: d_step { generation[o] != 0 && MAY_ACKNOWLEDGE(o) && endListed[1] &&
       TOKEN_ACCEPTED(1, generation[o]) -> acknowledge(o, 1) }
  od
}

/* Removes the delayed start request. */
inline clearDelayedStart() {
  delayedStartRun = 0;
  delayedStartWorker = 0;
  delayedStartLease = 0
}

/* Delivers or loses the delayed start request. */
proctype DelayedStart() {
  do
  :: d_step { delayedStartRun != 0 ->
       deliverStart(delayedStartWorker, delayedStartRun, delayedStartLease);
       clearDelayedStart() }
  :: d_step { delayedStartRun != 0 -> clearDelayedStart() }
  od
}

proctype Worker(byte w) {
  do
  /* Completes the task; the worker lists the end until it is acknowledged. */
  :: d_step { activeRun[w] != 0 ->
       highestRefusedRun[w] = activeRun[w];
       activeRun[w] = 0;
       endListed[w] = true;
       endStale[w] = false }
  /*
   * Worker 0 restarts at most once; the workers are symmetric. Requests to the former process are
   * lost. A restart takes longer than an owner relies on an answer, so that no owner starts a run
   * there on the basis of an answer from before the restart.
   */
  :: d_step { w == 0 && !restarted ->
       restarted = true;
       fencingToken[w] = 0;
       activeRun[w] = 0;
       leaseLeft[w] = 0;
       highestRefusedRun[w] = 0;
       endListed[w] = false;
       endStale[w] = false;
#ifndef NO_FRESH_ANSWER
       clockRead[INDEX(0, w)] = false;
       clockConfirmed[INDEX(0, w)] = false;
       clockRead[INDEX(1, w)] = false;
       clockConfirmed[INDEX(1, w)] = false;
#endif
       if :: delayedStartRun != 0 && delayedStartWorker == w -> clearDelayedStart() :: else fi }
  od
}

/* Decrements a countdown that has not reached 0. */
#define COUNT_DOWN(x) x = (x > 0 -> x - 1 : 0)

/* Decrements a lease. At 0 the run is stopped, and an end listed before no longer counts. */
#define COUNT_DOWN_LEASE(w) \
  COUNT_DOWN(leaseLeft[w]); \
  if :: leaseLeft[w] == 0 -> activeRun[w] = 0; endStale[w] = endListed[w] :: else fi

/* Advances the time: decrements all countdowns by one step. */
proctype Clock() {
  do
  :: d_step {
       true ->
       COUNT_DOWN_LEASE(0);
       COUNT_DOWN_LEASE(1);
       COUNT_DOWN(delayedStartLease);
       COUNT_DOWN(ownershipLeft[0]);
       COUNT_DOWN(ownershipLeft[1]);
       COUNT_DOWN(formerLeaseLeft[0]);
       COUNT_DOWN(formerLeaseLeft[1]);
       COUNT_DOWN(formerLeaseLeft[2]);
       COUNT_DOWN(formerLeaseLeft[3]) }
  od
}

init {
  atomic {
    run Owner(0);
    run Owner(1);
    run Worker(0);
    run Worker(1);
    run DelayedStart();
    run Clock()
  }
}
