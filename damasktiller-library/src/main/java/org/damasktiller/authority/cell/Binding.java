package org.damasktiller.authority.cell;

import org.damasktiller.identity.WorkerId;

/**
 * Names the one place where an attempt may run.
 *
 * @param worker the worker
 * @param incarnation the worker's process; an attempt bound to an earlier process is dead
 * @param attempt the number of the attempt, 1 for the first
 */
record Binding(WorkerId worker, String incarnation, int attempt) {}
