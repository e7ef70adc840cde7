package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/** A run that is or may be active on a worker. It takes room there until its end is known. */
public final class RunRecord {

    /** Stands for a share or load that has not been told. */
    static final int UNKNOWN = -1;

    /** The full share. */
    static final int FULL_PERCENT = 100;

    /** The name of the task. */
    final TaskId id;

    /** The number of the run. */
    final int run;

    /** The worker. */
    final WorkerRecord worker;

    /** The task, or null if the submission is not known or over, and the run must only stop. */
    final @Nullable TaskRecord task;

    /** What the run reserves, in the worker's room. */
    final Resources reserved;

    /** When the order to start was sent, or the run was first seen, in milliseconds. */
    final long sinceMillis;

    /** What is known of the run. */
    RunPhase phase;

    /** The saved progress seen last. */
    String checkpoint = "";

    /** The saved progress from which the run started, empty for none. */
    String startCheckpoint = "";

    /** How much of its work the run has done, in percent, or UNKNOWN. */
    int progressPercent = UNKNOWN;

    /** When the present window of measured progress began, in milliseconds, or UNKNOWN. */
    long windowBeganMillis = UNKNOWN;

    /** The progress at the beginning of that window, in percent. */
    int windowPercent;

    /** The work done in the last window for the time it took; 1 where the run is on its own. */
    double rate = 1;

    /** Whether the run is being stopped to go on elsewhere. */
    boolean moving;

    /** Whether the run was ever let work at less than its full share. */
    boolean slowed;

    /** The share at which the worker lets the run work as far as told, in percent, or UNKNOWN. */
    int percent = FULL_PERCENT;

    /** Until when an order to change the share that got no answer may still be carried out. */
    long paceDoubtUntilMillis;

    /** When the last order to change the share was sent, in milliseconds. */
    long pacedAtMillis;

    /** The share that the owner wants. */
    int wantedPercent = FULL_PERCENT;

    /** The share that the owner allows a filler while not all fillers are paused. */
    int allowedPercent = FULL_PERCENT;

    /** Whether an order to change the share is on its way. */
    boolean pacing;

    /** The tail in milliseconds of a serving task or the processors in use of any other. */
    long load = UNKNOWN;

    /** The number of the look after which the phase can be judged by an inventory. */
    long settledAfterLook;

    /** Whether the worker has acknowledged the order to stop in its present boot. */
    boolean stopAcknowledged;

    /** Whether an order to stop is on its way. */
    boolean stopSent;

    /** The smoothed tail of a serving run, as a part of its target, or UNKNOWN. */
    double tail = UNKNOWN;

    /** Since when a serving run has been over its target, in milliseconds, or -1. */
    long overSinceMillis = UNKNOWN;

    /**
     * Creates a record.
     *
     * @param id the name of the task
     * @param run the number of the run
     * @param worker the worker
     * @param task the task, or null if it is not known
     * @param reserved what the run reserves
     * @param phase what is known of the run
     * @param sinceMillis the time, in milliseconds
     */
    RunRecord(
            TaskId id,
            int run,
            WorkerRecord worker,
            @Nullable TaskRecord task,
            Resources reserved,
            RunPhase phase,
            long sinceMillis) {
        this.id = id;
        this.run = run;
        this.worker = worker;
        this.task = task;
        this.reserved = reserved;
        this.phase = phase;
        this.sinceMillis = sinceMillis;
    }

    /**
     * Begins a window of measured progress.
     *
     * @param nowMillis the time, in milliseconds
     */
    void beginWindow(long nowMillis) {
        windowBeganMillis = nowMillis;
        windowPercent = progressPercent;
    }

    /**
     * Returns the key of the run on its worker.
     *
     * @return the key
     */
    RunKey key() {
        return new RunKey(id, run);
    }

    /**
     * Tells whether the run did the whole work of its task at its full share.
     *
     * @return whether it did, so that its duration says how large the task is
     */
    boolean undisturbed() {
        return !slowed && startCheckpoint.isEmpty();
    }

    /**
     * Tells whether the run belongs to a serving task.
     *
     * @return whether it does
     */
    boolean serving() {
        return task != null && task.step.spec.serving();
    }

    /**
     * Returns the response time that the task has to keep.
     *
     * @return the time, in milliseconds, zero if it has none to keep
     */
    long targetMillis() {
        return task == null ? 0 : task.step.spec.targetMillis();
    }

    /**
     * Tells whether the run belongs to a filling task.
     *
     * @return whether it does
     */
    boolean filling() {
        return task != null && task.step.spec.filling();
    }
}
