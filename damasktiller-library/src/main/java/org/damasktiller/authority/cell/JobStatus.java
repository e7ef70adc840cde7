package org.damasktiller.authority.cell;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.RequestKey;
import org.damasktiller.identity.WorkerId;

/**
 * Describes a job to callers.
 *
 * @param job the job
 * @param key the request key of the caller
 * @param state the committed state
 * @param worker the worker to which the job is bound
 * @param attempt the number of the attempt, 1 for the first
 * @param running whether the worker was last seen to run the job
 * @param result the result or the reason of the failure, empty until the job has ended
 */
public record JobStatus(
        JobId job,
        RequestKey key,
        JobState state,
        WorkerId worker,
        int attempt,
        boolean running,
        String result) {}
