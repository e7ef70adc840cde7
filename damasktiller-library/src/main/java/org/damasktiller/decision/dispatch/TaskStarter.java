package org.damasktiller.decision.dispatch;

import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;

/** Records the start of a waiting job. */
interface TaskStarter {

    /**
     * Starts a job.
     *
     * @param job the job
     * @param worker the worker
     * @param size what to reserve at full speed
     * @param percent the speed, in percent
     * @param nowMillis the time, in milliseconds
     * @return whether the worker had room and the job was started
     */
    boolean start(PendingJob job, WorkerId worker, Resources size, int percent, long nowMillis);
}
