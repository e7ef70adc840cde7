/*
 * Models how an evacuation of a zone reaches the owners of a cell, and checks that no owner in touch
 * with the store starts a task in the zone later than BOUND ticks after the evacuation was
 * acknowledged, and that the view of an owner never returns to an earlier revision. Owners follow
 * each other; each reads the store at any moment, answers overtake each other, get old on their way
 * or are lost, so that an owner can be cut off from the store for any time. The age of a view counts
 * from when the store was read.
 *
 * A symbol with the prefix NO_ disables one rule, which must lead to a violation:
 *   NO_AGE_BOUND    an owner starts nothing under a view that is older than BOUND
 *   NO_FIRST_READ   a new owner starts nothing before it has read the store once
 *   NO_REVISIONS    an answer that is older than the view is ignored
 *
 * REACH_START and REACH_RETURN assert that no task starts in the zone while it is not evacuated, and
 * after it was taken back; both must be refuted.
 */
#define BOUND 2
#define MAX_TICKS 7
#define MAX_CHANGES 2
#define MAX_OWNERS 2
#define ANSWERS 2

/* Whether the zone is evacuated, the revision of that, and for how many ticks it has been so. */
bool evacuated;
byte revision;
byte evacuatedTicks;

/* The view of the owner: whether it has read, what it has read, its revision, and its age. */
bool hasRead;
bool seenEvacuated;
byte seenRevision;
byte age;

/* Answers that are on their way to the owner: what they say, their revision, and their age. */
bool answering[ANSWERS];
bool answerEvacuated[ANSWERS];
byte answerRevision[ANSWERS];
byte answerAge[ANSWERS];

byte ticks;
byte owners = 1;

/* The owner starts a task in the zone. */
inline start() {
    assert(!evacuated || evacuatedTicks <= BOUND);
#ifdef REACH_START
    assert(false);
#endif
#ifdef REACH_RETURN
    assert(revision < 2);
#endif
}

active proctype operator() {
    do
    :: atomic { revision < MAX_CHANGES && !evacuated ->
            evacuated = true; evacuatedTicks = 0; revision++ }
    :: atomic { revision < MAX_CHANGES && evacuated -> evacuated = false; revision++ }
    od
}

/* Time passes for all; the view and the answer that is on its way grow older. */
active proctype clock() {
    do
    :: atomic { ticks < MAX_TICKS ->
            ticks++;
            if :: evacuated && evacuatedTicks <= BOUND -> evacuatedTicks++ :: else -> skip fi;
            if :: age <= BOUND -> age++ :: else -> skip fi;
            if :: answering[0] && answerAge[0] <= BOUND -> answerAge[0]++ :: else -> skip fi;
            if :: answering[1] && answerAge[1] <= BOUND -> answerAge[1]++ :: else -> skip fi }
    od
}

/* The store answers a read with a number; the answer may arrive at any later moment, or never. */
inline read(number) {
    answering[number] = true;
    answerEvacuated[number] = evacuated;
    answerRevision[number] = revision;
    answerAge[number] = 0
}

/* The answer with a number arrives. */
inline receive(number) {
    answering[number] = false;
    if
#ifndef NO_REVISIONS
    :: hasRead && answerRevision[number] < seenRevision -> skip
#endif
    :: else ->
        assert(!hasRead || answerRevision[number] >= seenRevision);
        hasRead = true;
        seenEvacuated = answerEvacuated[number];
        seenRevision = answerRevision[number];
        age = answerAge[number]
    fi
}

active proctype owner() {
    do
    :: atomic { !answering[0] -> read(0) }
    :: atomic { !answering[1] -> read(1) }
    :: atomic { answering[0] -> receive(0) }
    :: atomic { answering[1] -> receive(1) }
    :: atomic { answering[0] -> answering[0] = false }
    :: atomic { answering[1] -> answering[1] = false }
    :: atomic { owners < MAX_OWNERS ->
            /* A successor takes over and knows nothing. */
            owners++;
            answering[0] = false; answering[1] = false; hasRead = false; seenEvacuated = false; seenRevision = 0; age = 0 }
    :: atomic { (
#ifndef NO_FIRST_READ
            hasRead &&
#endif
            !seenEvacuated
#ifndef NO_AGE_BOUND
            && age <= BOUND
#endif
            ) -> start() }
    od
}
