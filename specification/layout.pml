/*
 * Models how processes agree on the layout of the cells, and checks that no two processes use
 * different layouts. A process reads the stored layout, possibly from a watch that lags; if it has
 * read all keys and found none, it proposes its own. A proposal may be carried out later than
 * another process's, its response may be lost, and a process may restart at any moment.
 *
 * A symbol with the prefix NO_ disables one rule, which must lead to a violation:
 *   NO_CONDITION  a proposal is stored only if no layout is stored
 *   NO_ADOPTION   a process uses the stored layout, and never its own proposal
 *
 * REACH_AGREED asserts that no two processes ever use a layout, which must be refuted.
 */
#define PROCESSES 3

/* The stored layout: 0 for none, else the number of the process that proposed it, from 1. */
byte stored;

/* The layout that each process uses, 0 for none. */
byte used[PROCESSES];

/* Whether a proposal of the process is on its way to the store. */
bool proposed[PROCESSES];

/* Whether the process has read all keys once, and what it found: 0 for no layout. */
bool synced[PROCESSES];
byte seen[PROCESSES];

/* Checks that all processes that use a layout use the same one. */
inline checkAgreement() {
    assert(used[0] == 0 || used[1] == 0 || used[0] == used[1]);
    assert(used[0] == 0 || used[2] == 0 || used[0] == used[2]);
    assert(used[1] == 0 || used[2] == 0 || used[1] == used[2]);
#ifdef REACH_AGREED
    assert(used[0] == 0 || used[1] == 0);
#endif
}

/* One process; its proposal is carried out by a step of its own, at any later moment. */
proctype member(byte self) {
    do
    :: atomic {
        /* The view of the stored keys is brought up to date. */
        synced[self] = true;
        seen[self] = stored;
       }
    :: atomic {
        synced[self] && seen[self] == 0 && !proposed[self] && used[self] == 0 ->
            proposed[self] = true;
#ifdef NO_ADOPTION
            used[self] = self + 1;
            checkAgreement();
#endif
       }
    :: atomic {
        /* The store carries out the proposal; whether the response arrives changes nothing. */
        proposed[self] ->
            proposed[self] = false;
#ifdef NO_CONDITION
            stored = self + 1;
#else
            if
            :: stored == 0 -> stored = self + 1
            :: else -> skip
            fi
#endif
       }
    :: atomic {
        synced[self] && seen[self] != 0 && used[self] == 0 ->
            used[self] = seen[self];
            checkAgreement();
       }
    :: atomic {
        /* A restart forgets everything but a proposal that is on its way. */
        synced[self] = false;
        seen[self] = 0;
        used[self] = 0;
       }
    od
}

init {
    atomic {
        run member(0);
        run member(1);
        run member(2);
    }
}
