/*
 * Models how three successive owners of a cell hand over the roster of its workers, and checks that
 * a task never runs on two workers at once and never starts again after its end was acknowledged.
 * The store holds an entry for each worker: OPEN, CLOSED without the task, CLOSED_TASK (closed with
 * the task in its list), or ABSENT. It also holds the remaining time of the entry, which bounds how
 * long the leases at the worker last after the entry is inherited.
 *
 * The processes interleave arbitrarily in atomic steps. An owner may pause for any number of steps
 * of the others and go on after a successor was elected. A worker is unreachable while its owner
 * does not poll it. Times are countdowns, so that the clock needs no bound. What owner.pml covers
 * is simplified here: workers do not restart, a start is resolved by a poll that lists its run or by
 * the end of the leases, and not by a stop, and a former owner ceases when its last ownership check
 * becomes invalid.
 *
 * A symbol with the prefix NO_ disables one rule, which must lead to a violation:
 *   NO_OPEN_TO_START       an owner starts the task only at a worker whose stored entry is OPEN
 *   NO_FULL_TO_START       an owner starts the task only while the stored remaining time is full
 *   NO_START_STOP          an owner stops starting at a worker before it sends a changed entry
 *   NO_FENCED_TO_CLOSE     an owner closes a worker only after it has fenced it
 *   NO_FENCED_TO_OMIT      an owner omits a worker only after it has fenced it
 *   NO_UNRESOLVED_LISTED   the list of a closed worker includes the task while a start is unresolved
 *   NO_ENDS_LISTED         the list includes the task while its end is seen but not stored
 *   NO_LIST_INHERITED      an owner keeps the list of an inherited entry of an unfenced worker
 *   NO_ELAPSED_BOUND       the remaining time of an unfenced worker is reduced by no more than the
 *                          age of the term
 *   NO_FORMER_LEASES       the remaining time of a fenced worker covers leases of former owners
 *   NO_OWN_LEASES          the remaining time of a fenced worker covers leases of the owner itself
 *   NO_GRANT_STOP          an owner stops granting leases before it sends a reduced remaining time
 *   NO_RESET_TO_GRANT      an owner grants leases only while the stored remaining time is full
 *   NO_OPEN_HELD           an inherited OPEN entry delays the task until the worker is fenced or the
 *                          remaining time has passed
 *   NO_TASK_HELD           so does an inherited CLOSED_TASK entry
 *   NO_CHECK_AFTER_WAIT    the wait ends by time only once an ownership check has succeeded after it
 *   NO_CHECK_AFTER_EXPIRY  runs count as lost by the end of the leases only once an ownership check
 *                          has succeeded after it
 *   NO_SETTLED_FIRST       an end is acknowledged only when no former owner can start a run
 *
 * A symbol with the prefix REACH_ asserts that a desired execution is impossible, which must be
 * refuted: REACH_EARLY_START that a successor starts the task less than LONGEST_LEASE after its term
 * began although a closed worker without the task does not answer, REACH_REMAINING that the third
 * owner starts a held task after a remaining time of less than LONGEST_LEASE, REACH_REOPENED that an
 * owner starts the task at a worker that it has closed before, and REACH_DONE that an end is
 * acknowledged by the third owner.
 */
#define OWNERS 3
#define WORKERS 2
/* How long an ownership check stays valid and a lease lasts at most, in steps of the clock. */
#ifndef LONGEST_LEASE
#define LONGEST_LEASE 2
#endif

/* The kinds of entries. */
#define ABSENT 0
#define OPEN 1
#define CLOSED 2
#define CLOSED_TASK 3
/* The kind of a write that does not exist. */
#define NO_WRITE 4

/* The store: the generation of the current owner, the roster, and whether the end is stored. */
byte storedGeneration;
byte storedKind[WORKERS];
byte storedRemaining[WORKERS];
bool endStored;

/*
 * The write of the current owner that is on its way to the store, for each worker. The owner learns
 * that a write is stored at once, since it may do less while the write is on its way. A write of a
 * former owner fails because of its condition.
 */
byte sentKind[WORKERS];
byte sentRemaining[WORKERS];

/*
 * The workers: the highest fencing token accepted, the owner that started the active run (0 for
 * none), the remaining lease, whether the end of the task is listed, and whether the lease expired
 * after that end.
 */
byte fencingToken[WORKERS];
byte activeRun[WORKERS];
byte leaseLeft[WORKERS];
bool endListed[WORKERS];
bool endStale[WORKERS];
bool endAcknowledged;

/* The delayed start request, of which there is at most one; a run number of 0 means none. */
byte delayedStartRun;
byte delayedStartWorker;
byte delayedStartLease;

/*
 * The owners: the generation (0 while the process is not the owner), the remaining validity of the
 * last ownership check, and for each worker whether it has answered with this owner's fencing token,
 * whether it listed a run, whether a start may be unanswered, whether an end was seen that is not
 * stored, the time until all leases that this or a former owner has granted are expired, and the
 * kind of the inherited entry for which the owner waits (ABSENT for none). The last two are whether
 * a former owner still believes that it may start the task there and grant leases there.
 */
byte generation[OWNERS];
byte ownershipLeft[OWNERS];
bool seenStored[OWNERS];
bool fenced[OWNERS * WORKERS];
bool seenRun[OWNERS * WORKERS];
bool unresolvedStart[OWNERS * WORKERS];
bool seenEnd[OWNERS * WORKERS];
byte leaseBound[OWNERS * WORKERS];
byte heldKind[OWNERS * WORKERS];
bool mayStartLate[OWNERS * WORKERS];
bool mayGrantLate[OWNERS * WORKERS];

/* The index of an owner and a worker in the arrays of all pairs. */
#define INDEX(o, w) ((o) * WORKERS + (w))
/* The other of the two workers. */
#define OTHER_WORKER(w) (1 - (w))

#define IS_CURRENT(o) (generation[o] == storedGeneration)

#ifdef REACH_EARLY_START
#define REACH_TERM_AGE
#endif
#ifdef REACH_REMAINING
#define REACH_TERM_AGE
#endif
#ifdef REACH_TERM_AGE
/* The time until LONGEST_LEASE has passed since the current term began. */
byte termLeft;
/* The remaining time of the entry of worker 0 when the current owner inherited it. */
byte inheritedRemaining;
#endif
#ifdef REACH_REOPENED
/* Whether the current owner has closed worker 0. */
bool closedInTerm;
#endif

/* Whether the current owner may start the task at a worker according to the roster. */
#ifdef NO_OPEN_TO_START
#define KIND_ALLOWS_START(w) true
#else
#define KIND_ALLOWS_START(w) (storedKind[w] == OPEN)
#endif
#ifdef NO_FULL_TO_START
#define REMAINING_ALLOWS_START(w) true
#else
#define REMAINING_ALLOWS_START(w) (storedRemaining[w] == LONGEST_LEASE)
#endif
#ifdef NO_START_STOP
#define NO_WRITE_AGAINST_START(w) true
#else
#define NO_WRITE_AGAINST_START(w) (sentKind[w] == NO_WRITE)
#endif
#define ROSTER_ALLOWS_START(w) \
  (KIND_ALLOWS_START(w) && REMAINING_ALLOWS_START(w) && NO_WRITE_AGAINST_START(w))

/*
 * Whether the current owner may extend the lease of a worker according to the roster. It needs no
 * entry while nothing runs there.
 */
#ifdef NO_RESET_TO_GRANT
#define REMAINING_ALLOWS_GRANT(o, w) true
#else
#define REMAINING_ALLOWS_GRANT(o, w) \
  (storedRemaining[w] == LONGEST_LEASE || \
   (storedKind[w] == ABSENT && !seenRun[INDEX(o, w)] && !unresolvedStart[INDEX(o, w)]))
#endif
#ifdef NO_GRANT_STOP
#define NO_WRITE_AGAINST_GRANT(w) true
#else
#define NO_WRITE_AGAINST_GRANT(w) \
  (sentKind[w] == NO_WRITE || sentRemaining[w] == LONGEST_LEASE)
#endif
#define ROSTER_ALLOWS_GRANT(o, w) (REMAINING_ALLOWS_GRANT(o, w) && NO_WRITE_AGAINST_GRANT(w))

/* Sets the state of an owner for a worker to that of an owner without knowledge. */
inline forgetWorker(o, w) {
  fenced[INDEX(o, w)] = false;
  seenRun[INDEX(o, w)] = false;
  unresolvedStart[INDEX(o, w)] = false;
  seenEnd[INDEX(o, w)] = false;
  leaseBound[INDEX(o, w)] = 0;
  heldKind[INDEX(o, w)] = ABSENT;
  mayStartLate[INDEX(o, w)] = false;
  mayGrantLate[INDEX(o, w)] = false
}

/* Ceases to be an owner. */
inline cease(o) {
  generation[o] = 0;
  ownershipLeft[o] = 0;
  seenStored[o] = false;
  forgetWorker(o, 0);
  forgetWorker(o, 1)
}

/* Whether an inherited entry delays the task. */
#ifdef NO_OPEN_HELD
#define OPEN_IS_HELD false
#else
#define OPEN_IS_HELD true
#endif
#ifdef NO_TASK_HELD
#define CLOSED_TASK_IS_HELD false
#else
#define CLOSED_TASK_IS_HELD true
#endif
#define IS_HELD(w) \
  (storedRemaining[w] > 0 && \
   ((storedKind[w] == OPEN && OPEN_IS_HELD) || (storedKind[w] == CLOSED_TASK && CLOSED_TASK_IS_HELD)))

/* Inherits the entry of a worker. The former owner may go on as far as it knew the roster. */
inline inheritEntry(o, w) {
  mayStartLate[INDEX(o - 1, w)] = (generation[o - 1] != 0 && ROSTER_ALLOWS_START(w));
  mayGrantLate[INDEX(o - 1, w)] = (generation[o - 1] != 0 && ROSTER_ALLOWS_GRANT(o - 1, w));
  sentKind[w] = NO_WRITE;
  sentRemaining[w] = 0;
  leaseBound[INDEX(o, w)] = storedRemaining[w];
  heldKind[INDEX(o, w)] = (IS_HELD(w) -> storedKind[w] : ABSENT)
}

/* Becomes the owner after another. */
inline becomeOwner(o) {
  storedGeneration++;
  generation[o] = storedGeneration;
  ownershipLeft[o] = LONGEST_LEASE;
  seenStored[o] = endStored;
  inheritEntry(o, 0);
  inheritEntry(o, 1);
#ifdef REACH_TERM_AGE
  termLeft = LONGEST_LEASE;
  inheritedRemaining = storedRemaining[0];
#endif
#ifdef REACH_REOPENED
  closedInTerm = false;
#endif
}

/* Whether an owner knows that no run of the task is active or can begin at a worker. */
#define RUN_EXCLUDED(o, w) \
  (!seenRun[INDEX(o, w)] && !unresolvedStart[INDEX(o, w)] && heldKind[INDEX(o, w)] == ABSENT)

/*
 * Ends the wait for a worker after a successful ownership check if the remaining time has passed. A
 * successor may extend the leases of the worker, so that the time alone is no proof.
 */
inline endWait(o, w) {
  heldKind[INDEX(o, w)] = (leaseBound[INDEX(o, w)] == 0 -> ABSENT : heldKind[INDEX(o, w)])
}

/* Whether no former owner can still begin a run at a worker. */
#ifdef NO_SETTLED_FIRST
#define FORMER_OWNERS_EXCLUDED(o, w) true
#else
#define FORMER_OWNERS_EXCLUDED(o, w) \
  (heldKind[INDEX(o, w)] != OPEN || leaseBound[INDEX(o, w)] == 0)
#endif

/* Whether the owner may start the task at a worker, or grant a lease to it. */
#define MAY_START_THERE(o, w) \
  (IS_CURRENT(o) -> ROSTER_ALLOWS_START(w) : mayStartLate[INDEX(o, w)])
#define MAY_GRANT_THERE(o, w) \
  (ownershipLeft[o] > 0 && \
   (IS_CURRENT(o) -> ROSTER_ALLOWS_GRANT(o, w) : mayGrantLate[INDEX(o, w)]))
#define MAY_START(o, w) \
  (generation[o] != 0 && ownershipLeft[o] > 0 && RUN_EXCLUDED(o, 0) && RUN_EXCLUDED(o, 1) && \
   fenced[INDEX(o, w)] && MAY_START_THERE(o, w) && !seenStored[o] && \
   !seenEnd[INDEX(o, 0)] && !seenEnd[INDEX(o, 1)])

#define TOKEN_ACCEPTED(w, g) ((g) >= fencingToken[w])

/* Raises a value to another one if that is higher. */
#define RAISE(x, y) x = ((y) > x -> (y) : x)

/* Records a lease that is about to be granted. */
#ifdef NO_OWN_LEASES
#define RECORD_GRANT(o, w) skip
#else
#define RECORD_GRANT(o, w) RAISE(leaseBound[INDEX(o, w)], ownershipLeft[o])
#endif

/* Begins a run. No other run may be active, and no end of the task may be acknowledged. */
inline beginRun(w, runNumber, lease) {
  assert(activeRun[OTHER_WORKER(w)] == 0);
  assert(!endAcknowledged);
  activeRun[w] = runNumber;
  RAISE(leaseLeft[w], lease);
#ifdef REACH_EARLY_START
  assert(!(runNumber == storedGeneration && runNumber > 1 && termLeft > 0 &&
           storedKind[OTHER_WORKER(w)] == CLOSED && storedRemaining[OTHER_WORKER(w)] > 0 &&
           !fenced[INDEX(runNumber - 1, OTHER_WORKER(w))]));
#endif
#ifdef REACH_REMAINING
  assert(!(w == 1 && runNumber == OWNERS && termLeft > 0 && inheritedRemaining > 0 &&
           storedKind[0] == CLOSED_TASK && !fenced[INDEX(OWNERS - 1, 0)]));
#endif
#ifdef REACH_REOPENED
  assert(!(w == 0 && runNumber == storedGeneration && closedInTerm));
#endif
}

/*
 * Polls a worker: raises its fencing token, lists its run and end, and optionally extends its lease.
 * An owner that is rejected because of its token ceases to be the owner.
 */
inline poll(o, w, extendLease) {
  if
  :: TOKEN_ACCEPTED(w, generation[o]) ->
       fencingToken[w] = generation[o];
       if
       :: extendLease && fenced[INDEX(o, w)] && MAY_GRANT_THERE(o, w) ->
            RAISE(leaseLeft[w], ownershipLeft[o]);
            RECORD_GRANT(o, w)
       :: else
       fi;
#ifdef NO_FORMER_LEASES
       leaseBound[INDEX(o, w)] = (fenced[INDEX(o, w)] -> leaseBound[INDEX(o, w)] : 0);
#endif
       fenced[INDEX(o, w)] = true;
       heldKind[INDEX(o, w)] = ABSENT;
       seenRun[INDEX(o, w)] = (activeRun[w] != 0);
       seenEnd[INDEX(o, w)] = (seenEnd[INDEX(o, w)] || endListed[w]) && !seenStored[o];
       if
       :: activeRun[w] == generation[o] -> unresolvedStart[INDEX(o, w)] = false
       :: else
       fi
  :: else -> cease(o)
  fi
}

/* Delivers a start request. The worker refuses it after the end of its lease. */
inline deliverStart(w, runNumber, lease) {
  if
  :: TOKEN_ACCEPTED(w, runNumber) && lease > 0 && activeRun[w] == 0 ->
       fencingToken[w] = runNumber;
       beginRun(w, runNumber, lease)
  :: else
  fi
}

/* Sends a start request that is delivered at once; its response may be lost. */
inline sendStart(o, w) {
  unresolvedStart[INDEX(o, w)] = true;
  RECORD_GRANT(o, w);
  deliverStart(w, generation[o], ownershipLeft[o])
}

/* Sends a start request that is delivered later or is lost. */
inline sendDelayedStart(o, w) {
  unresolvedStart[INDEX(o, w)] = true;
  RECORD_GRANT(o, w);
  delayedStartRun = generation[o];
  delayedStartWorker = w;
  delayedStartLease = ownershipLeft[o]
}

/*
 * Counts the runs at a worker as lost when all of its leases have expired. An ownership check must
 * succeed after that, since a successor may have extended the leases.
 */
#ifdef NO_CHECK_AFTER_EXPIRY
#define EXPIRY_CHECKED(o) true
#else
#define EXPIRY_CHECKED(o) IS_CURRENT(o)
#endif
#define MAY_EXPIRE_RUNS(o, w) \
  (generation[o] != 0 && EXPIRY_CHECKED(o) && leaseBound[INDEX(o, w)] == 0 && \
   (seenRun[INDEX(o, w)] || unresolvedStart[INDEX(o, w)]))
inline expireRuns(o, w) {
  ownershipLeft[o] = (IS_CURRENT(o) -> LONGEST_LEASE : ownershipLeft[o]);
  seenRun[INDEX(o, w)] = false;
  unresolvedStart[INDEX(o, w)] = false
}

/* Whether the list of a worker that is closed now includes the task. */
#ifdef NO_UNRESOLVED_LISTED
#define LISTS_START(o, w) false
#else
#define LISTS_START(o, w) unresolvedStart[INDEX(o, w)]
#endif
#ifdef NO_ENDS_LISTED
#define LISTS_END(o, w) false
#else
#define LISTS_END(o, w) seenEnd[INDEX(o, w)]
#endif
#define LISTS_TASK(o, w) (seenRun[INDEX(o, w)] || LISTS_START(o, w) || LISTS_END(o, w))
#define CLOSED_KIND(o, w) (LISTS_TASK(o, w) -> CLOSED_TASK : CLOSED)

/* Whether the owner may send a write of the entry of a worker. */
#define MAY_WRITE(o, w) (generation[o] != 0 && IS_CURRENT(o) && sentKind[w] == NO_WRITE)
/* Whether a fenced worker may be opened, closed or omitted. An absent one may be opened unfenced. */
#define MAY_OPEN(o, w) \
  (MAY_WRITE(o, w) && (fenced[INDEX(o, w)] || storedKind[w] == ABSENT) && \
   !(storedKind[w] == OPEN && storedRemaining[w] == LONGEST_LEASE))
#ifdef NO_FENCED_TO_CLOSE
#define MAY_CLOSE(o, w) MAY_WRITE(o, w)
#else
#define MAY_CLOSE(o, w) (MAY_WRITE(o, w) && fenced[INDEX(o, w)])
#endif
#ifdef NO_FENCED_TO_OMIT
#define MAY_OMIT(o, w) (MAY_WRITE(o, w) && storedKind[w] != ABSENT && !LISTS_TASK(o, w))
#else
#define MAY_OMIT(o, w) \
  (MAY_WRITE(o, w) && fenced[INDEX(o, w)] && storedKind[w] != ABSENT && !LISTS_TASK(o, w))
#endif
/* Whether the entry of an unfenced worker may be written again with a reduced remaining time. */
#define MAY_REDUCE_INHERITED(o, w) \
  (MAY_WRITE(o, w) && !fenced[INDEX(o, w)] && storedKind[w] != ABSENT && generation[o] > 1 && \
   REDUCED_INHERITED(o, w) < storedRemaining[w])
#ifdef NO_ELAPSED_BOUND
#define REDUCED_INHERITED(o, w) 0
#else
#define REDUCED_INHERITED(o, w) leaseBound[INDEX(o, w)]
#endif
#ifdef NO_LIST_INHERITED
#define INHERITED_KIND(w) (storedKind[w] == CLOSED_TASK -> CLOSED : storedKind[w])
#else
#define INHERITED_KIND(w) storedKind[w]
#endif

/* Sends the write of an entry. */
inline sendEntry(w, kind, remaining) {
  sentKind[w] = kind;
  sentRemaining[w] = remaining;
#ifdef REACH_REOPENED
  closedInTerm = closedInTerm || (w == 0 && kind != OPEN);
#endif
}

/* Carries out the write of an entry. */
inline storeEntry(w) {
  storedKind[w] = sentKind[w];
  storedRemaining[w] = sentRemaining[w];
  sentKind[w] = NO_WRITE;
  sentRemaining[w] = 0
}

/* Whether an owner may acknowledge the end of the task at a worker. */
#define MAY_ACKNOWLEDGE(o, w) \
  (generation[o] != 0 && endListed[w] && seenStored[o] && fenced[INDEX(o, w)] && \
   TOKEN_ACCEPTED(w, generation[o]) && \
   FORMER_OWNERS_EXCLUDED(o, 0) && FORMER_OWNERS_EXCLUDED(o, 1))

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
  assert(generation[o] < OWNERS);
#endif
}

/* Stores the end of the task if the generation in the store is unchanged. */
inline storeEnd(o) {
  endStored = true;
  seenStored[o] = true;
  seenEnd[INDEX(o, 0)] = false;
  seenEnd[INDEX(o, 1)] = false
}

proctype Owner(byte o) {
  do
  /* Wins the election of the next generation; the owners win in the order of their numbers. */
  :: d_step { generation[o] == 0 && storedGeneration == o -> becomeOwner(o) }
  /* Checks ownership in the store: extends its validity or ceases to be the owner. */
  :: d_step { generation[o] != 0 && IS_CURRENT(o) ->
       ownershipLeft[o] = LONGEST_LEASE;
       endWait(o, 0);
       endWait(o, 1) }
  :: d_step { generation[o] != 0 && !IS_CURRENT(o) -> cease(o) }
  :: d_step { generation[o] != 0 && IS_CURRENT(o) && !seenStored[o] &&
       (seenEnd[INDEX(o, 0)] || seenEnd[INDEX(o, 1)]) -> storeEnd(o) }
  od
}

/* The steps of an owner that concern one worker. */
proctype OwnerOfWorker(byte o; byte w) {
  do
  :: d_step { generation[o] != 0 -> poll(o, w, false) }
  :: d_step { generation[o] != 0 && fenced[INDEX(o, w)] -> poll(o, w, true) }
  :: d_step { MAY_START(o, w) -> sendStart(o, w) }
  :: d_step { delayedStartRun == 0 && MAY_START(o, w) -> sendDelayedStart(o, w) }
  :: d_step { MAY_EXPIRE_RUNS(o, w) -> expireRuns(o, w) }
  :: d_step { MAY_ACKNOWLEDGE(o, w) -> acknowledge(o, w) }
  :: d_step { MAY_OPEN(o, w) -> sendEntry(w, OPEN, LONGEST_LEASE) }
  :: d_step { MAY_CLOSE(o, w) -> sendEntry(w, CLOSED_KIND(o, w), LONGEST_LEASE) }
  :: d_step { MAY_CLOSE(o, w) && leaseBound[INDEX(o, w)] < LONGEST_LEASE ->
       sendEntry(w, CLOSED_KIND(o, w), leaseBound[INDEX(o, w)]) }
  :: d_step { MAY_OMIT(o, w) -> sendEntry(w, ABSENT, 0) }
  :: d_step { MAY_REDUCE_INHERITED(o, w) ->
       sendEntry(w, INHERITED_KIND(w), REDUCED_INHERITED(o, w)) }
  od
}

/* Carries out the writes of the current owner, or loses them. */
proctype Store() {
  do
  :: d_step { sentKind[0] != NO_WRITE -> storeEntry(0) }
  :: d_step { sentKind[1] != NO_WRITE -> storeEntry(1) }
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

/* Completes the task at a worker; the worker lists the end until it is acknowledged. */
proctype Worker(byte w) {
  do
  :: d_step { activeRun[w] != 0 ->
       activeRun[w] = 0;
       endListed[w] = true;
       endStale[w] = false }
  od
}

/* Decrements a countdown that has not reached 0. */
#define COUNT_DOWN(x) x = (x > 0 -> x - 1 : 0)

/* Decrements a lease. At 0 the run is stopped, and an end listed before no longer counts. */
#define COUNT_DOWN_LEASE(w) \
  COUNT_DOWN(leaseLeft[w]); \
  if :: leaseLeft[w] == 0 -> activeRun[w] = 0; endStale[w] = endListed[w] :: else fi

/* Decrements the bound of the leases at a worker. */
#ifdef NO_CHECK_AFTER_WAIT
#define COUNT_DOWN_BOUND(i) \
  COUNT_DOWN(leaseBound[i]); \
  heldKind[i] = (leaseBound[i] == 0 -> ABSENT : heldKind[i])
#else
#define COUNT_DOWN_BOUND(i) COUNT_DOWN(leaseBound[i])
#endif

/* Decrements the validity of an ownership check. A former owner without one ceases. */
#define COUNT_DOWN_OWNERSHIP(o) \
  COUNT_DOWN(ownershipLeft[o]); \
  if :: generation[o] != 0 && !IS_CURRENT(o) && ownershipLeft[o] == 0 -> cease(o) :: else fi

/* Advances the time: decrements all countdowns by one step. */
proctype Clock() {
  do
  :: d_step {
       true ->
       COUNT_DOWN_LEASE(0);
       COUNT_DOWN_LEASE(1);
       COUNT_DOWN(delayedStartLease);
       if :: delayedStartLease == 0 -> clearDelayedStart() :: else fi;
       COUNT_DOWN_BOUND(0);
       COUNT_DOWN_BOUND(1);
       COUNT_DOWN_BOUND(2);
       COUNT_DOWN_BOUND(3);
       COUNT_DOWN_BOUND(4);
       COUNT_DOWN_BOUND(5);
#ifdef REACH_TERM_AGE
       COUNT_DOWN(termLeft);
#endif
       COUNT_DOWN_OWNERSHIP(0);
       COUNT_DOWN_OWNERSHIP(1);
       COUNT_DOWN_OWNERSHIP(2) }
  od
}

/* The first owner begins with both workers in the roster, and nothing to inherit. */
init {
  atomic {
    storedGeneration = 1;
    generation[0] = 1;
    ownershipLeft[0] = LONGEST_LEASE;
    storedKind[0] = OPEN;
    storedKind[1] = OPEN;
    storedRemaining[0] = LONGEST_LEASE;
    storedRemaining[1] = LONGEST_LEASE;
    sentKind[0] = NO_WRITE;
    sentKind[1] = NO_WRITE;
    run Owner(0);
    run Owner(1);
    run Owner(2);
    run OwnerOfWorker(0, 0);
    run OwnerOfWorker(0, 1);
    run OwnerOfWorker(1, 0);
    run OwnerOfWorker(1, 1);
    run OwnerOfWorker(2, 0);
    run OwnerOfWorker(2, 1);
    run Store();
    run Worker(0);
    run Worker(1);
    run DelayedStart();
    run Clock()
  }
}
