/*
 * One task under owners that follow each other: generations, the fence at the workers, leases
 * that end with the owner's proof, ends written before they are acknowledged, starts whose answer
 * is lost, and a worker that begins a new life. An atomic step of any part may follow a step of
 * any other, so that a pause of an owner is any number of steps of the others. Times are counted
 * down, so that no bound on the clock is needed.
 *
 * A symbol that begins with NO_ takes one rule out; one that begins with REACH_ claims that a
 * wanted run is impossible.
 */
#define OWNERS 2
#define WORKERS 2
#define AUTHORITY 1

/* The store: the generation of the present owner, and whether the end of the task is written. */
byte storeGeneration;
bool storeDone;

/* The workers. */
byte token[WORKERS];
byte activeRun[WORKERS];
byte leaseLeft[WORKERS];
byte refusedRun[WORKERS];
bool doneListed[WORKERS];
bool doneStale[WORKERS];
bool restarted;
bool doneNoted;

/* A start on its way, zero if there is none; others arrive at once. */
byte callRun;
byte callWorker;
byte callLeft;

/* The owners: zero is no generation. */
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

#define AT(o, w) ((o) * WORKERS + (w))
#define OTHER(w) (1 - (w))

/* A run begins at a worker: no other may be active, and none after a noted end. */
inline begin(w, number, left) {
  assert(activeRun[OTHER(w)] == 0);
  assert(!doneNoted);
  activeRun[w] = number;
  leaseLeft[w] = left;
#ifdef REACH_RESTART
  assert(number < 2);
#endif
}

/* What an owner believes at the beginning of its term. */
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

/* Whether no run of the task can be active or begin at a worker, as far as an owner can prove. */
#define CLEAR(o, w) \
  (!seenRun[AT(o, w)] && !openStart[AT(o, w)] && \
   (fenced[AT(o, w)] || oldLeaseLeft[AT(o, w)] == 0))

#ifdef NO_FENCE
#define PASSES(w, g) true
#else
#define PASSES(w, g) ((g) >= token[w])
#endif

/* The lease that a call gives: it ends with the proof, or else it counts from the call. */
#ifdef NO_STAMP
#define GIVEN(o) AUTHORITY
#define MAY_GIVE(o) true
#else
#define GIVEN(o) authorityLeft[o]
#define MAY_GIVE(o) (authorityLeft[o] > 0)
#endif

/* Raises the fence of a worker. */
#define RAISE(w, g) if :: (g) > token[w] -> token[w] = g :: else fi

/*
 * Looks at a worker: the fence rises, runs and ends are listed, and the lease of the run may be
 * lengthened.
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

/* A start arrives at its worker. */
inline arrive(w, number, left) {
  if
  :: PASSES(w, number) && left > 0 && activeRun[w] == 0 && number > refusedRun[w] ->
       RAISE(w, number);
       begin(w, number, left)
  :: else
  fi
}

/* An owner orders a start, whose answer may be lost. */
inline order(o, w) {
  openStart[AT(o, w)] = true;
  stopped[AT(o, w)] = false
}

/* Whether an owner may start the task at a worker. */
#define MAY_START(o, w) \
  (generation[o] != 0 && MAY_GIVE(o) && CLEAR(o, 0) && CLEAR(o, 1) && \
   clockProven[AT(o, w)] && !seenEnd[o] && !written[o])

/* A start that is carried out at once. */
inline startNow(o, w) {
  order(o, w);
  arrive(w, generation[o], GIVEN(o))
}

/* A start that may be carried out later, or never. */
inline startLate(o, w) {
  order(o, w);
  callRun = generation[o];
  callWorker = w;
  callLeft = GIVEN(o)
}

/*
 * Stops the run that it may have started; the worker refuses it from then on. Whether it had ended
 * before shows only in a look after that.
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

/* Whether no former owner can begin a run at a worker any more. */
#define SETTLED(o, w) (fenced[AT(o, w)] || oldLeaseLeft[AT(o, w)] == 0)

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
 * Acknowledges the end, which must not have been followed by another run, unless the worker's
 * lease lapsed after it.
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
  /* Wins the next generation; the owners come in the order of their numbers. */
  :: d_step { generation[o] == 0 && storeGeneration == o ->
       storeGeneration++; beginTerm(o) }
  /* Proves that it is still the owner, or learns that it is not. */
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
  /* Writes the end, on condition that no other owner has begun. */
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

/* Takes the start off the way. */
inline clear() {
  callRun = 0;
  callWorker = 0;
  callLeft = 0
}

proctype Call() {
  do
  :: d_step { callRun != 0 -> arrive(callWorker, callRun, callLeft); clear() }
  :: d_step { callRun != 0 -> clear() }
  od
}

proctype Worker(byte w) {
  do
  /* The task is done; the end is listed until it is acknowledged. */
  :: d_step { activeRun[w] != 0 ->
       refusedRun[w] = activeRun[w];
       activeRun[w] = 0;
       doneListed[w] = true;
       doneStale[w] = false }
  /*
   * One worker begins a new life once (they are alike); calls to the former one are lost with it. That takes longer than
   * an owner relies on an answer, so that none starts anything there on what it knew before.
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

/* Counts down. */
#define DOWN(x) x = (x > 0 -> x - 1 : 0)

/* Counts a lease down; what runs ends with it, and an end listed before it no longer counts. */
#define LAPSE(w) \
  DOWN(leaseLeft[w]); \
  if :: leaseLeft[w] == 0 -> activeRun[w] = 0; doneStale[w] = doneListed[w] :: else fi

/* Time passes: everything that is counted down goes one step. */
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
