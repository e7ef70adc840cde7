package org.damasktiller.scheduler.cell;

import org.jspecify.annotations.Nullable;

/**
 * An end that has been taken in and may be acknowledged once its effect is stored.
 *
 * @param sequence the number of the end in the worker's boot
 * @param run the number of the run
 * @param job the job that it changed, or null if it changed none
 * @param version the version of the job that has the change
 */
record PendingEnd(long sequence, int run, @Nullable Job job, long version) {

    /**
     * Tells whether the effect is stored.
     *
     * @return whether it is
     */
    boolean stored() {
        return job == null || job.committedVersion >= version;
    }
}
