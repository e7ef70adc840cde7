package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/** Tells for which suspect task a worker gets no other starts, and for how long. */
final class SuspectHold {

    /** The task, or null if the worker was never held. */
    private @Nullable TaskId task;

    /** Until when the worker is held, in milliseconds. */
    private long untilMillis = WorkerRecord.NEVER;

    /** Creates the state of a worker that is not held. */
    SuspectHold() {}

    /**
     * Holds the worker for a task.
     *
     * @param suspect the task
     * @param endMillis until when, in milliseconds
     */
    void hold(TaskId suspect, long endMillis) {
        task = suspect;
        untilMillis = endMillis;
    }

    /**
     * Returns whether the worker is held for a task.
     *
     * @param suspect the task
     * @param nowMillis the current time, in milliseconds
     * @return whether it gets no other starts
     */
    boolean isFor(TaskId suspect, long nowMillis) {
        return nowMillis < untilMillis && suspect.equals(task);
    }

    /**
     * Returns whether the worker gets no start of a task because it is held for another one.
     *
     * @param other the task
     * @param nowMillis the current time, in milliseconds
     * @return whether it is held for another task
     */
    boolean excludes(TaskId other, long nowMillis) {
        return nowMillis < untilMillis && !other.equals(task);
    }
}
