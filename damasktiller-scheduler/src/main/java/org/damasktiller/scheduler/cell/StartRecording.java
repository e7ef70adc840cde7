package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.crash.RecordedStart;
import org.jspecify.annotations.Nullable;

/**
 * Tells whether the starts of all tasks are recorded. They are for some time after a worker has
 * crashed or left whose owner ended before it could count that, so that the next such crash counts.
 */
final class StartRecording {

    /** How long starts are recorded after such a crash, in milliseconds. */
    private static final long DURATION_MILLIS = 30_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Until when starts are recorded, in milliseconds. */
    private long untilMillis = WorkerRecord.NEVER;

    /**
     * Creates a recording that has not begun.
     *
     * @param context the shared state of the cell's owner
     */
    StartRecording(CellContext context) {
        this.context = context;
    }

    /** Begins, or goes on for the whole time. */
    void begin() {
        untilMillis = context.now() + DURATION_MILLIS;
    }

    /**
     * Returns whether starts are recorded.
     *
     * @return whether the time is not over
     */
    boolean isActive() {
        return context.now() < untilMillis;
    }

    /**
     * Returns whether the recorded start of a task whose run has been sound for some time is kept,
     * since the task may still crash its worker.
     *
     * @param start the start, or null if none is recorded
     * @return whether starts are recorded, or were by the owner that recorded this one
     */
    boolean keeps(@Nullable RecordedStart start) {
        return isActive() || (start != null && start.generation() != context.term.generation());
    }
}
