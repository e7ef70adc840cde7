/*
 * Models a submission that an owner leaves in the store for want of memory, and checks that its task
 * has one run at a time and that none begins once an end as done was acknowledged. Owners follow each
 * other at any moment; one that has not loaded the submission does not know whether its task runs or
 * has ended. A start may be carried out after its owner has been succeeded. The worker is not lost and
 * does not restart, which owner.pml and roster.pml cover.
 *
 * A symbol with the prefix NO_ disables one rule, which must lead to a violation:
 *   NO_PROGRESS_READ     a submission is loaded with the progress that is stored
 *   NO_ANSWER_ASIDE      an answer of a worker that names a submission that is not loaded is not
 *                        handled before the submission is
 *   NO_SETTLED_TO_START  a submission from before the term starts nothing until previous owners can
 *                        start nothing any more
 *
 * REACH_ASIDE and REACH_DONE assert that no answer is set aside, and that no end is acknowledged; both
 * must be refuted.
 */

#define TERMS 4

/* The worker: active runs, an end that it lists, and the highest fencing token it has seen. */
byte running = 0;
bool listsEnd = false;
byte seenToken = 0;

/* A start on its way: its fencing token, or 0. */
byte startOnItsWay = 0;

/* What lasts: the stored progress, and whether the end was acknowledged. */
bool doneStored = false;
bool acknowledged = false;

/* The present owner. */
byte term = 1;
bool ofThisTerm = true;
bool loaded = false;
bool requested = false;
bool settled = false;
bool knowsDone = false;
bool knowsRun = false;

inline load() {
  loaded = true;
  requested = false;
#ifndef NO_PROGRESS_READ
  knowsDone = doneStored;
#endif
}

inline handleAnswer() {
  if
  :: loaded ->
    settled = true;
    knowsRun = (running > 0 || startOnItsWay == term);
    knowsDone = (knowsDone || listsEnd)
  :: !loaded && running == 0 && !listsEnd ->
    settled = true
  :: !loaded && (running > 0 || listsEnd) ->
#ifdef NO_ANSWER_ASIDE
    /* What an unknown submission has at the worker is stopped and acknowledged. */
    settled = true;
    running = 0;
    acknowledged = (acknowledged || listsEnd);
    listsEnd = false
#else
#ifdef REACH_ASIDE
    assert(false);
#endif
    requested = true
#endif
  fi
}

active proctype system() {
  do
  :: atomic { !loaded && (requested || ofThisTerm || settled) -> load() }

#ifdef NO_SETTLED_TO_START
  :: atomic { loaded && !knowsDone && !knowsRun && startOnItsWay == 0 ->
#else
  :: atomic { loaded && !knowsDone && !knowsRun && startOnItsWay == 0 && (ofThisTerm || settled) ->
#endif
      startOnItsWay = term;
      knowsRun = true }

  /* The worker carries a start out, unless it has seen a higher fencing token. */
  :: atomic { startOnItsWay != 0 && startOnItsWay >= seenToken ->
      seenToken = startOnItsWay;
      startOnItsWay = 0;
      running++;
      assert(running <= 1);
      assert(!acknowledged) }
  :: atomic { startOnItsWay != 0 && startOnItsWay < seenToken -> startOnItsWay = 0 }

  :: atomic { running > 0 -> running--; listsEnd = true }

  /* A poll, whose token the worker takes note of. */
  :: atomic { seenToken <= term -> seenToken = term; handleAnswer() }

  :: atomic { loaded && knowsDone && !doneStored -> doneStored = true }
  :: atomic { loaded && doneStored && knowsDone && listsEnd ->
      listsEnd = false;
      acknowledged = true;
#ifdef REACH_DONE
      assert(false)
#endif
    }

  /* Another owner takes over. */
  :: atomic { term < TERMS ->
      term++;
      ofThisTerm = false;
      loaded = false;
      requested = false;
      settled = false;
      knowsDone = false;
      knowsRun = false }
  od
}
