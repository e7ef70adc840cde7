package org.damasktiller.decision.guard;

import org.damasktiller.identity.JobId;
import org.damasktiller.identity.WorkerId;

/** An action that protects a guarded service. */
public sealed interface GuardAction permits ThrottleTask, EvictTask {

    /**
     * Returns the worker on which to act.
     *
     * @return the worker
     */
    WorkerId worker();

    /**
     * Returns the job concerned.
     *
     * @return the job
     */
    JobId job();
}
