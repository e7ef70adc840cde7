package org.damasktiller.standin.fleet;

import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.TaskId;

/** Determines the resources, the duration and the outcome of the runs of simulated tasks. */
public interface TaskBehaviour {

    /** The duration of a task that runs until it is stopped. */
    long RUNS_UNTIL_STOPPED = -1;

    /** The delay of a crash that does not happen. */
    long NEVER_CRASHES = -1;

    /**
     * Returns the resources that a run of a task reserves on its worker.
     *
     * @param task the task
     * @return the reserved resources
     */
    Resources reserved(TaskId task);

    /**
     * Returns the duration of a run that is not stopped.
     *
     * @param worker the identifier of the worker
     * @param task the task
     * @return the duration, in milliseconds, or {@link #RUNS_UNTIL_STOPPED}
     */
    long durationMillis(String worker, TaskId task);

    /**
     * Returns the outcome of a run that is not stopped.
     *
     * @param worker the identifier of the worker
     * @param task the task
     * @return why the run ends
     */
    EndKind outcome(String worker, TaskId task);

    /**
     * Returns how long after its start a run of a task crashes its worker.
     *
     * @param task the task
     * @return the time, in milliseconds, or {@link #NEVER_CRASHES}
     */
    default long crashDelayMillis(TaskId task) {
        return NEVER_CRASHES;
    }

    /**
     * Returns what a worker reports of a task that is active.
     *
     * @param worker the identifier of the worker
     * @param task the task
     * @return the tail latency in milliseconds of a serving task, the CPU in use in millicores of
     *     any other task
     */
    default long load(String worker, TaskId task) {
        return 0;
    }

    /**
     * Returns whether a worker understands the start requests of a task.
     *
     * @param worker the identifier of the worker
     * @param task the identifier of the task
     * @return false if it rejects them as invalid
     */
    default boolean understandsStart(String worker, TaskId task) {
        return true;
    }

    /**
     * Returns the last checkpoint of a run.
     *
     * @param task the task
     * @param run the number of the run
     * @param activeMillis how long the run has been active, in milliseconds
     * @return the checkpoint, or an empty string if there is none
     */
    default String checkpoint(TaskId task, int run, long activeMillis) {
        return "";
    }
}
