package org.damasktiller.daemon.cell;

import io.activej.promise.Promise;
import org.damasktiller.authority.cell.JobReply;
import org.damasktiller.authority.cell.JobSubmission;
import org.damasktiller.identity.JobId;
import org.damasktiller.vm.VmRecord;

/** Passes calls on jobs to other entry VMs. Each call fails with the error of the peer. */
public interface JobPeers {

    /**
     * Passes on a submission.
     *
     * @param peer the entry VM
     * @param submission the job
     * @return the reply
     */
    Promise<JobReply> submit(VmRecord peer, JobSubmission submission);

    /**
     * Passes on a question for the state of a job.
     *
     * @param peer the entry VM
     * @param job the job
     * @return the reply
     */
    Promise<JobReply> query(VmRecord peer, JobId job);

    /**
     * Passes on a cancellation.
     *
     * @param peer the entry VM
     * @param job the job
     * @return the reply
     */
    Promise<JobReply> cancel(VmRecord peer, JobId job);
}
