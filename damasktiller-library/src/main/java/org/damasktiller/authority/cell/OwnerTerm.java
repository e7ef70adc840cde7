package org.damasktiller.authority.cell;

import org.damasktiller.authority.commit.GroupCommitter;

/**
 * Holds what an owner has from the recovery of a cell until it loses or releases the cell.
 *
 * @param generation the generation of the owner
 * @param acquiredMillis when the cell was acquired, in milliseconds
 * @param graceMillis how long after that an earlier owner may have acted, in milliseconds
 * @param committer where changes are committed
 * @param book the jobs
 * @param rules what becomes of jobs
 * @param reconciler the comparison with the workers
 */
record OwnerTerm(
        long generation,
        long acquiredMillis,
        long graceMillis,
        GroupCommitter committer,
        JobBook book,
        JobRules rules,
        Reconciler reconciler) {}
