/*
 * Models how three successive owners of a cell hand over the roster of its workers, and checks that
 * a task never runs on two workers at once and never starts again after its end was acknowledged.
 * The store holds an entry for each worker: OPEN, CLOSED without the task, CLOSED_TASK (closed with
 * the task in its list), or ABSENT. It also holds the remaining time of the entry, which bounds how
 * long the leases at the worker last after the entry is inherited.
 *
 * The processes interleave arbitrarily in atomic steps. An owner may pause for any number of steps
 * of the others and go on after a successor was elected. A worker is unreachable while its owner
 * does not poll it. Times are countdowns, so that the clock needs no bound.
 *
 * The model is bounded as follows:
 *   - Only the entry of worker 0 changes, unless the symbol BOTH_ENTRIES is defined; that of
 *     worker 1 stays OPEN with the full remaining time.
 *   - The last owner only opens entries, since nobody inherits its roster.
 *   - At most one start request at a time is delayed, and only to worker 0.
 *   - A start is resolved by a poll that lists its run or by the end of the leases, not by a stop.
 *   - A poll is answered, and extends the lease whenever the owner may grant one.
 *   - A former owner ceases when its last ownership check becomes invalid, when a worker rejects its
 *     token, or at the election of its successor if the end is stored. It acknowledges no ends.
 *   - Workers do not restart, unless the symbol RESTART is defined: then worker 0 restarts once.
 * The symbol WITHOUT_ENDS removes the completion of the task, and OWNERS and LONGEST_LEASE can be
 * defined, so that several explorations with different bounds can be complete.
 *
 * A symbol with the prefix NO_ disables one rule, which must lead to a violation:
 *   NO_OPEN_TO_START       an owner starts the task only at a worker whose stored entry is OPEN
 *   NO_FULL_TO_START       an owner starts the task only while the stored remaining time is full
 *   NO_START_STOP          an owner stops starting at a worker before it sends a changed entry
 *   NO_FENCED_TO_CLOSE     an owner closes a worker only after it has fenced it
 *   NO_FENCED_TO_OMIT      an owner omits a worker only after it has fenced it, or after the
 *                          remaining time of the inherited entry
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
 *                          (violated only with RESTART)
 *
 * A symbol with the prefix REACH_ asserts that a desired execution is impossible, which must be
 * refuted: REACH_EARLY_START that a successor starts the task less than LONGEST_LEASE after its term
 * began although a closed worker without the task does not answer, REACH_REMAINING that the last
 * owner starts a held task after a remaining time of less than LONGEST_LEASE, REACH_REOPENED that an
 * owner starts the task at a worker that it has closed before, REACH_EXPIRED_OMITTED that an owner
 * omits a worker that it has not fenced, and REACH_DONE that the last owner acknowledges an end.
 */
#ifndef OWNERS
#define OWNERS 3
#endif
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
byte storedKind[WORKERS] = OPEN;
byte storedRemaining[WORKERS] = LONGEST_LEASE;
bool endStored;

/*
 * The write of the current owner that is on its way to the store, for each worker. The owner learns
 * that a write is stored at once, since it may do less while the write is on its way. A write of a
 * former owner fails because of its condition.
 */
byte sentKind[WORKERS] = NO_WRITE;
byte sentRemaining[WORKERS];

/*
 * The workers: the highest fencing token accepted, the generation of the owner that started the
 * active run (0 for none), the remaining lease, whether the end of the task is listed, and whether
 * the lease expired after that end.
 */
byte fencingToken[WORKERS];
byte activeRun[WORKERS];
byte leaseLeft[WORKERS];
bool endListed[WORKERS];
bool endStale[WORKERS];
#ifdef RESTART
/* Whether worker 0 has restarted. */
bool restarted;
#endif
/* Whether an end of the task has been acknowledged. */
bool endAcknowledged;

/* The delayed start request to worker 0; a run number of 0 means none. */
byte delayedStartRun;
byte delayedStartLease;

/*
 * The owners: whether the process is an owner, the remaining validity of its last ownership check,
 * and for each worker whether it has answered with this owner's fencing token, whether it listed a
 * run, whether a start may be unanswered, whether an end was seen that is not stored, the time until
 * all leases that this or a former owner has granted are expired, and the kind of the inherited
 * entry for which the owner waits (ABSENT for none). The last two are whether a former owner still
 * believes that it may start the task there and grant leases there.
 */
bool isOwner[OWNERS];
byte ownershipLeft[OWNERS];
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

/* The generation of an owner is one more than its number. */
#define GENERATION(o) ((o) + 1)
#define IS_CURRENT(o) (isOwner[o] && GENERATION(o) == storedGeneration)
#define IS_FORMER(o) (isOwner[o] && GENERATION(o) != storedGeneration)

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
/* Whether the current owner has closed or omitted worker 0. */
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
#define NO_WRITE_AGAINST_GRANT(w) (sentKind[w] == NO_WRITE || sentRemaining[w] == LONGEST_LEASE)
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
  isOwner[o] = false;
  ownershipLeft[o] = 0;
  forgetWorker(o, 0);
  forgetWorker(o, 1)
}

/* Whether an inherited entry delays the task. */
#ifdef NO_OPEN_HELD
#define OPEN_IS_HELD(w) false
#else
#define OPEN_IS_HELD(w) (storedKind[w] == OPEN)
#endif
#ifdef NO_TASK_HELD
#define CLOSED_TASK_IS_HELD(w) false
#else
#define CLOSED_TASK_IS_HELD(w) (storedKind[w] == CLOSED_TASK)
#endif
#define IS_HELD(w) (storedRemaining[w] > 0 && (OPEN_IS_HELD(w) || CLOSED_TASK_IS_HELD(w)))

/* Whether a former owner uses its bound of the leases. With all rules, it needs a check for that. */
#ifdef NO_CHECK_AFTER_WAIT
#define FORMER_USES_BOUND
#endif
#ifdef NO_CHECK_AFTER_EXPIRY
#define FORMER_USES_BOUND
#endif

/* Limits what a former owner may do at a worker. It may go on as far as it knew the roster. */
inline limitFormer(o, w) {
  mayStartLate[INDEX(o, w)] = ROSTER_ALLOWS_START(w);
  mayGrantLate[INDEX(o, w)] = ROSTER_ALLOWS_GRANT(o, w);
#ifndef FORMER_USES_BOUND
  leaseBound[INDEX(o, w)] = 0;
#endif
}

/* Becomes a former owner. */
inline becomeFormer(o) {
  limitFormer(o, 0);
  limitFormer(o, 1);
  if
  :: ownershipLeft[o] == 0 || endStored -> cease(o)
  :: else
  fi
}

/* Inherits the entry of a worker. */
inline inheritEntry(o, w) {
  sentKind[w] = NO_WRITE;
  sentRemaining[w] = 0;
  leaseBound[INDEX(o, w)] = storedRemaining[w];
  heldKind[INDEX(o, w)] = (IS_HELD(w) -> storedKind[w] : ABSENT)
}

/* The owner before another; the first owner has none. */
#define PREVIOUS(o) ((o) - ((o) > 0))

/* Becomes the owner, after another one unless that has ceased or it is the first. */
inline becomeOwner(o) {
  if :: o > 0 && isOwner[PREVIOUS(o)] -> becomeFormer(PREVIOUS(o)) :: else fi;
  storedGeneration++;
  isOwner[o] = true;
  ownershipLeft[o] = LONGEST_LEASE;
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

/*
 * Ends the wait for a worker after a successful ownership check if the remaining time has passed. A
 * successor may extend the leases of the worker, so that the time alone is no proof.
 */
inline endWait(o, w) {
  heldKind[INDEX(o, w)] = (leaseBound[INDEX(o, w)] == 0 -> ABSENT : heldKind[INDEX(o, w)])
}

/* Checks ownership in the store. */
inline checkOwnership(o) {
  ownershipLeft[o] = LONGEST_LEASE;
  endWait(o, 0);
  endWait(o, 1)
}

/* Whether an owner knows that no run of the task is active or can begin at a worker. */
#define RUN_EXCLUDED(o, w) \
  (!seenRun[INDEX(o, w)] && !unresolvedStart[INDEX(o, w)] && heldKind[INDEX(o, w)] == ABSENT)

/* Whether the owner may start the task at a worker, and grant a lease there. */
#define MAY_START(o, w) \
  (isOwner[o] && ownershipLeft[o] > 0 && RUN_EXCLUDED(o, 0) && RUN_EXCLUDED(o, 1) && \
   !seenEnd[INDEX(o, 0)] && !seenEnd[INDEX(o, 1)] && !(IS_CURRENT(o) && endStored) && \
   fenced[INDEX(o, w)] && \
   (IS_CURRENT(o) -> ROSTER_ALLOWS_START(w) : mayStartLate[INDEX(o, w)]))
#define MAY_GRANT(o, w) \
  (fenced[INDEX(o, w)] && ownershipLeft[o] > 0 && \
   (IS_CURRENT(o) -> ROSTER_ALLOWS_GRANT(o, w) : mayGrantLate[INDEX(o, w)]))

/* Raises a value to another one if that is higher. */
#define RAISE(x, y) x = ((y) > x -> (y) : x)

/* Records a lease that is about to be granted. */
#ifdef NO_OWN_LEASES
#define RECORD_GRANT(o, w) skip
#else
#ifdef FORMER_USES_BOUND
#define RECORD_GRANT(o, w) RAISE(leaseBound[INDEX(o, w)], ownershipLeft[o])
#else
#define RECORD_GRANT(o, w) \
  if :: IS_CURRENT(o) -> RAISE(leaseBound[INDEX(o, w)], ownershipLeft[o]) :: else fi
#endif
#endif

#define TOKEN_ACCEPTED(w, g) ((g) >= fencingToken[w])

/*
 * Polls a worker: raises its fencing token, lists its run and end, and extends its lease if the
 * owner may grant one. An owner that is rejected because of its token ceases to be the owner.
 */
inline poll(o, w) {
  if
  :: TOKEN_ACCEPTED(w, GENERATION(o)) ->
       fencingToken[w] = GENERATION(o);
       if
       :: MAY_GRANT(o, w) -> RAISE(leaseLeft[w], ownershipLeft[o]); RECORD_GRANT(o, w)
       :: else
       fi;
#ifdef NO_FORMER_LEASES
       leaseBound[INDEX(o, w)] = (fenced[INDEX(o, w)] -> leaseBound[INDEX(o, w)] : 0);
#endif
       fenced[INDEX(o, w)] = true;
       heldKind[INDEX(o, w)] = ABSENT;
       seenRun[INDEX(o, w)] = (activeRun[w] != 0);
       seenEnd[INDEX(o, w)] =
         (seenEnd[INDEX(o, w)] || endListed[w]) && !(IS_CURRENT(o) && endStored);
       unresolvedStart[INDEX(o, w)] = unresolvedStart[INDEX(o, w)] && activeRun[w] != GENERATION(o)
  :: else -> cease(o)
  fi
}

/* Begins a run. No other run may be active, and no end of the task may be acknowledged. */
inline beginRun(w, runNumber, lease) {
  assert(activeRun[OTHER_WORKER(w)] == 0);
  assert(!endAcknowledged);
  activeRun[w] = runNumber;
  RAISE(leaseLeft[w], lease);
#ifdef REACH_EARLY_START
  assert(!(w == 1 && runNumber == storedGeneration && runNumber > 1 && termLeft > 0 &&
           storedKind[0] == CLOSED && storedRemaining[0] > 0 && !fenced[INDEX(runNumber - 1, 0)]));
#endif
#ifdef REACH_REMAINING
  assert(!(w == 1 && runNumber == OWNERS && termLeft > 0 && inheritedRemaining > 0 &&
           storedKind[0] == CLOSED_TASK && !fenced[INDEX(OWNERS - 1, 0)]));
#endif
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
#ifdef REACH_REOPENED
  assert(!(w == 0 && IS_CURRENT(o) && closedInTerm));
#endif
  unresolvedStart[INDEX(o, w)] = true;
  RECORD_GRANT(o, w);
  deliverStart(w, GENERATION(o), ownershipLeft[o])
}

/* Sends a start request to worker 0 that is delivered later or is lost. */
inline sendDelayedStart(o) {
  unresolvedStart[INDEX(o, 0)] = true;
  RECORD_GRANT(o, 0);
  delayedStartRun = GENERATION(o);
  delayedStartLease = ownershipLeft[o]
}

/*
 * Counts the runs at a worker as lost when all of its leases have expired. An ownership check must
 * succeed after that, since a successor may have extended the leases.
 */
#ifdef NO_CHECK_AFTER_EXPIRY
#define EXPIRY_CHECKED(o) isOwner[o]
#else
#define EXPIRY_CHECKED(o) IS_CURRENT(o)
#endif
#define MAY_EXPIRE_RUNS(o, w) \
  (EXPIRY_CHECKED(o) && leaseBound[INDEX(o, w)] == 0 && \
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

/* Whether the owner may send a write of the entry. */
#define MAY_WRITE(o, w) (IS_CURRENT(o) && sentKind[w] == NO_WRITE)
/* Whether a successor may inherit the entry. The last owner only opens, so that it may start. */
#define MAY_HAND_OVER(o, w) (MAY_WRITE(o, w) && GENERATION(o) < OWNERS)
/* Whether a worker may be opened, closed or omitted. An absent one may be opened unfenced. */
#define MAY_OPEN(o, w) \
  (MAY_WRITE(o, w) && (fenced[INDEX(o, w)] || storedKind[w] == ABSENT) && \
   !(storedKind[w] == OPEN && storedRemaining[w] == LONGEST_LEASE))
#ifdef NO_FENCED_TO_CLOSE
#define MAY_CLOSE(o, w) MAY_HAND_OVER(o, w)
#else
#define MAY_CLOSE(o, w) (MAY_HAND_OVER(o, w) && fenced[INDEX(o, w)])
#endif
/* An inherited entry has expired only once an ownership check has succeeded after its time. */
#define INHERITED_EXPIRED(o, w) (leaseBound[INDEX(o, w)] == 0 && heldKind[INDEX(o, w)] == ABSENT)
#ifdef NO_FENCED_TO_OMIT
#define MAY_OMIT(o, w) (MAY_HAND_OVER(o, w) && storedKind[w] != ABSENT && !LISTS_TASK(o, w))
#else
#define MAY_OMIT(o, w) \
  (MAY_HAND_OVER(o, w) && storedKind[w] != ABSENT && !LISTS_TASK(o, w) && \
   (fenced[INDEX(o, w)] || INHERITED_EXPIRED(o, w)))
#endif
/* Whether the entry may be written again with a reduced remaining time while unfenced. */
#define MAY_REDUCE_INHERITED(o, w) \
  (MAY_HAND_OVER(o, w) && !fenced[INDEX(o, w)] && storedKind[w] != ABSENT && \
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

/* Sends the write of the entry. */
inline sendEntry(w, kind, remaining) {
  sentKind[w] = kind;
  sentRemaining[w] = remaining
}

/* Sends the write that omits a worker. */
inline sendOmission(o, w) {
#ifdef REACH_EXPIRED_OMITTED
  assert(fenced[INDEX(o, w)]);
#endif
  sendEntry(w, ABSENT, 0)
}

/* Carries out the write of the entry. */
inline storeEntry(w) {
#ifdef REACH_REOPENED
  closedInTerm = closedInTerm || (w == 0 && sentKind[w] != OPEN);
#endif
  storedKind[w] = sentKind[w];
  storedRemaining[w] = sentRemaining[w];
  sentKind[w] = NO_WRITE;
  sentRemaining[w] = 0
}

/* Whether no former owner can still begin a run at a worker. */
#ifdef NO_SETTLED_FIRST
#define FORMER_OWNERS_EXCLUDED(o, w) true
#else
#define FORMER_OWNERS_EXCLUDED(o, w) (heldKind[INDEX(o, w)] != OPEN)
#endif

/* Whether the current owner may acknowledge the end of the task at a worker. */
#define MAY_ACKNOWLEDGE(o, w) \
  (IS_CURRENT(o) && endStored && endListed[w] && fenced[INDEX(o, w)] && \
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
  assert(GENERATION(o) < OWNERS);
#endif
}

/* Stores the end of the task. */
inline storeEnd(o) {
  endStored = true;
  seenEnd[INDEX(o, 0)] = false;
  seenEnd[INDEX(o, 1)] = false
}

/* The steps of an owner that concern one worker. */
#define STEPS_AT_WORKER(o, w) \
  :: d_step { isOwner[o] -> poll(o, w) } \
  :: d_step { MAY_START(o, w) -> sendStart(o, w) } \
  :: d_step { MAY_EXPIRE_RUNS(o, w) -> expireRuns(o, w) } \
  :: d_step { MAY_ACKNOWLEDGE(o, w) -> acknowledge(o, w) }

/* The writes of an owner to the entry of one worker. */
#define WRITES_FOR_WORKER(o, w) \
  :: d_step { MAY_OPEN(o, w) -> sendEntry(w, OPEN, LONGEST_LEASE) } \
  :: d_step { MAY_CLOSE(o, w) -> sendEntry(w, CLOSED_KIND(o, w), LONGEST_LEASE) } \
  :: d_step { MAY_CLOSE(o, w) && leaseBound[INDEX(o, w)] < LONGEST_LEASE -> \
       sendEntry(w, CLOSED_KIND(o, w), leaseBound[INDEX(o, w)]) } \
  :: d_step { MAY_OMIT(o, w) -> sendOmission(o, w) } \
  :: d_step { MAY_REDUCE_INHERITED(o, w) -> \
       sendEntry(w, INHERITED_KIND(w), REDUCED_INHERITED(o, w)) }

/* Each owner's number is that of its process, from 0. They are elected in this order. */
active [OWNERS] proctype Owner() {
  do
  :: d_step { storedGeneration == _pid -> becomeOwner(_pid) }
  :: d_step { IS_CURRENT(_pid) -> checkOwnership(_pid) }
  STEPS_AT_WORKER(_pid, 0)
  STEPS_AT_WORKER(_pid, 1)
  :: d_step { delayedStartRun == 0 && MAY_START(_pid, 0) -> sendDelayedStart(_pid) }
  :: d_step { IS_CURRENT(_pid) && !endStored &&
       (seenEnd[INDEX(_pid, 0)] || seenEnd[INDEX(_pid, 1)]) -> storeEnd(_pid) }
  WRITES_FOR_WORKER(_pid, 0)
#ifdef BOTH_ENTRIES
  WRITES_FOR_WORKER(_pid, 1)
#endif
  od
}

/* Decrements a countdown that has not reached 0. */
#define COUNT_DOWN(x) x = (x > 0 -> x - 1 : 0)

/* Decrements a lease. At 0 the run is stopped, and an end listed before no longer counts. */
inline countDownLease(w) {
  COUNT_DOWN(leaseLeft[w]);
  if :: leaseLeft[w] == 0 -> activeRun[w] = 0; endStale[w] = endListed[w] :: else fi
}

/* Decrements the bound of the leases at a worker. */
inline countDownBound(o, w) {
  COUNT_DOWN(leaseBound[INDEX(o, w)]);
#ifdef NO_CHECK_AFTER_WAIT
  endWait(o, w)
#endif
}

/* Decrements the times of an owner. A former owner without a valid ownership check ceases. */
inline countDownOwner(o) {
  countDownBound(o, 0);
  countDownBound(o, 1);
  COUNT_DOWN(ownershipLeft[o]);
  if :: IS_FORMER(o) && ownershipLeft[o] == 0 -> cease(o) :: else fi
}

/* Removes the delayed start request. */
inline clearDelayedStart() {
  delayedStartRun = 0;
  delayedStartLease = 0
}

/* Completes the task at a worker, which lists the end until it is acknowledged. */
#define COMPLETION(w) \
  :: d_step { activeRun[w] != 0 -> \
       activeRun[w] = 0; \
       endListed[w] = true; \
       endStale[w] = false }

#ifdef RESTART
/*
 * Restarts worker 0. Requests to the former process are lost. As owner.pml shows, an owner starts
 * runs there and grants leases only after an answer from after the restart and an ownership check
 * after that answer, so a former owner does not.
 */
inline forgetAnswer(o) {
  fenced[INDEX(o, 0)] = false;
  mayStartLate[INDEX(o, 0)] = false;
  mayGrantLate[INDEX(o, 0)] = false
}
inline restart() {
  restarted = true;
  fencingToken[0] = 0;
  activeRun[0] = 0;
  leaseLeft[0] = 0;
  endListed[0] = false;
  endStale[0] = false;
  clearDelayedStart();
  forgetAnswer(0);
  forgetAnswer(1);
#if OWNERS > 2
  forgetAnswer(2);
#endif
}
#endif

active proctype Environment() {
  do
  /* The store carries out a write of the current owner; the next election discards all. */
  :: d_step { sentKind[0] != NO_WRITE -> storeEntry(0) }
  :: d_step { sentKind[1] != NO_WRITE -> storeEntry(1) }
  /* The delayed start request arrives; the end of its lease discards it. */
  :: d_step { delayedStartRun != 0 ->
       deliverStart(0, delayedStartRun, delayedStartLease);
       clearDelayedStart() }
#ifndef WITHOUT_ENDS
  COMPLETION(0)
  COMPLETION(1)
#endif
#ifdef RESTART
  /* Worker 0 restarts once. */
  :: d_step { !restarted -> restart() }
#endif
  /* The time advances by one step. */
  :: d_step {
       true ->
       countDownLease(0);
       countDownLease(1);
       COUNT_DOWN(delayedStartLease);
       if :: delayedStartLease == 0 -> clearDelayedStart() :: else fi;
#ifdef REACH_TERM_AGE
       COUNT_DOWN(termLeft);
#endif
       countDownOwner(0);
       countDownOwner(1)
#if OWNERS > 2
       ; countDownOwner(2)
#endif
     }
  od
}
