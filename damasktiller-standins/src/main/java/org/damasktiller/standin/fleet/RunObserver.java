package org.damasktiller.standin.fleet;

import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/** Told of what happens on simulated workers. */
public interface RunObserver {

    /**
     * Tells that a run has started.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     */
    void started(String worker, TaskId task, int run);

    /**
     * Tells that a run has ended.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     * @param kind how, or null if its worker ended
     */
    void ended(String worker, TaskId task, int run, @Nullable EndKind kind);

    /**
     * Tells that an end has been acknowledged.
     *
     * @param worker the worker
     * @param task the task
     * @param run the number of the run
     * @param kind how the run ended
     */
    void acknowledged(String worker, TaskId task, int run, EndKind kind);
}
