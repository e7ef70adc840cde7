package org.damasktiller.standin.fleet;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.TaskId;

/** A run that a simulated worker executes. */
final class SimulatedRun {

    /** The task. */
    final TaskId task;

    /** The number of the run among the runs of the task. */
    final int number;

    /** The resources that the run reserves. */
    final Resources reserved;

    /** When the run started on the monotonic clock, in milliseconds. */
    final long startedMillis;

    /** Whether the run has ended, so that scheduled events must ignore it. */
    boolean hasEnded;

    /**
     * Creates an active run.
     *
     * @param task the task
     * @param number the number of the run among the runs of the task
     * @param reserved the resources that the run reserves
     * @param startedMillis when the run started on the monotonic clock, in milliseconds
     */
    SimulatedRun(TaskId task, int number, Resources reserved, long startedMillis) {
        this.task = task;
        this.number = number;
        this.reserved = reserved;
        this.startedMillis = startedMillis;
    }
}
