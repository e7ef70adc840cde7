package org.damasktiller.decision.dispatch;

import org.damasktiller.identity.JobId;

/** An action that follows from the decisions. */
public sealed interface DispatchAction permits StartTask, ResizeTask, StopTask, GiveUpJob {

    /**
     * Returns the job concerned.
     *
     * @return the job
     */
    JobId job();
}
