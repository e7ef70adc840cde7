package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * The end of a run that has been applied to its job. It may be acknowledged to the worker once the
 * change is stored.
 *
 * @param sequence the sequence number of the end within the boot of the worker
 * @param task the identifier of the task
 * @param run the number of the run
 * @param job the job that the end may have changed, or null if the job is not open here
 * @param version the version of the job that includes the change, 0 without a job
 * @param moved whether tasks of the submission have moved between cells
 */
record PendingEnd(
        long sequence, TaskId task, int run, @Nullable Job job, long version, boolean moved) {

    /**
     * Creates the end of a run of a submission of which no task has moved.
     *
     * @param sequence the sequence number of the end within the boot of the worker
     * @param task the identifier of the task
     * @param run the number of the run
     * @param job the job that the end may have changed, or null if the job is not open here
     * @param version the version of the job that includes the change, 0 without a job
     */
    PendingEnd(long sequence, TaskId task, int run, @Nullable Job job, long version) {
        this(sequence, task, run, job, version, false);
    }

    /**
     * Returns whether the change is stored.
     *
     * @return whether the end needs no further commit
     */
    boolean isStored() {
        return job == null || job.isStored(version);
    }

    /**
     * Returns whether a previous owner may have started the run. The number of the run does not
     * tell that if tasks of the submission have moved.
     *
     * @param runNumberBase the highest number of a run that a previous owner can have used for a
     *     task that has never moved
     * @return whether it may have
     */
    boolean mayBeOfPreviousOwner(int runNumberBase) {
        return run <= runNumberBase || moved;
    }
}
