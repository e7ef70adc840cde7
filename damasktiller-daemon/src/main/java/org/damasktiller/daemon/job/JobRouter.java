package org.damasktiller.daemon.job;

import io.activej.promise.Promise;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.identity.CellId;
import org.damasktiller.identity.JobId;

/** Finds the owner of the cell of a job, on this entry VM or another. */
public interface JobRouter {

    /**
     * Submits a job to a cell.
     *
     * @param cell the cell of the job's request key
     * @param submission the job
     * @param forwarded whether another entry VM passed the call on
     * @return the reply of the owner; fails with code NOT_OWNER if no owner was found
     */
    Promise<JobReply> submit(CellId cell, JobSubmission submission, boolean forwarded);

    /**
     * Asks for the state of a job.
     *
     * @param job the job
     * @param forwarded whether another entry VM passed the call on
     * @return the reply of the owner
     */
    Promise<JobReply> query(JobId job, boolean forwarded);

    /**
     * Cancels a job.
     *
     * @param job the job
     * @param forwarded whether another entry VM passed the call on
     * @return the reply of the owner
     */
    Promise<JobReply> cancel(JobId job, boolean forwarded);
}
