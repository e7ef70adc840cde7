package org.damasktiller.standin.fleet;

import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.TaskId;

/** Tells how simulated tasks behave. */
public interface TaskBehaviour {

    /** The duration of a task that does not end by itself. */
    long LASTS = -1;

    /**
     * Returns what a task takes of the room of a worker.
     *
     * @param task the task
     * @return the resources
     */
    Resources reserved(TaskId task);

    /**
     * Returns how long a run takes.
     *
     * @param worker the worker
     * @param task the task
     * @return the time, in milliseconds, or LASTS
     */
    long workMillis(String worker, TaskId task);

    /**
     * Returns how a run ends by itself.
     *
     * @param worker the worker
     * @param task the task
     * @return how
     */
    EndKind end(String worker, TaskId task);
}
