package org.damasktiller.standin.fleet;

import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/** Receives the events of the runs on simulated workers. */
public interface RunObserver {

    /**
     * Called when a run has started.
     *
     * @param worker the identifier of the worker
     * @param task the task
     * @param run the number of the run
     */
    void started(String worker, TaskId task, int run);

    /**
     * Called when a run has started, with the checkpoint that its request carried.
     *
     * @param worker the identifier of the worker
     * @param task the task
     * @param run the number of the run
     * @param checkpoint the checkpoint, or an empty string if the run starts from the beginning
     */
    default void resumed(String worker, TaskId task, int run, String checkpoint) {}

    /**
     * Called when a run has ended.
     *
     * @param worker the identifier of the worker
     * @param task the task
     * @param run the number of the run
     * @param kind why the run ended, or null if its worker crashed
     */
    void ended(String worker, TaskId task, int run, @Nullable EndKind kind);

    /**
     * Called when the scheduler has acknowledged the end of a run.
     *
     * @param worker the identifier of the worker
     * @param task the task
     * @param run the number of the run
     * @param kind why the run ended
     */
    void acknowledged(String worker, TaskId task, int run, EndKind kind);

    /**
     * Called when a start brings a worker that does not guard its capacity over it.
     *
     * @param worker the identifier of the worker
     * @param task the task that starts
     */
    default void overloaded(String worker, TaskId task) {}

    /**
     * Called when a run has crashed its worker, before the ends of the runs there.
     *
     * @param worker the identifier of the worker
     * @param task the task of the run
     */
    default void crashed(String worker, TaskId task) {}
}
