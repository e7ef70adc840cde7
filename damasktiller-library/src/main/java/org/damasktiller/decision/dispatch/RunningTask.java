package org.damasktiller.decision.dispatch;

import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.identity.WorkerId;
import org.damasktiller.resource.Resources;
import org.damasktiller.table.KindOfWork;
import org.damasktiller.table.Repeat;
import org.damasktiller.table.WorkClass;

/** Holds what the dispatcher knows of one running task. */
final class RunningTask {

    /** The percent of full speed. */
    static final int FULL_SPEED = 100;

    /** The job as submitted. */
    final PendingJob job;

    /** The worker. */
    final WorkerId worker;

    /** Whether the task is a guarded service. */
    final boolean service;

    /** Whether it may be stopped and continued elsewhere. */
    final boolean evictable;

    /** When it started, in milliseconds. */
    final long startedMillis;

    /** What it gets at full speed. */
    Resources full;

    /** What is reserved for it now. */
    Resources reserved;

    /** The speed that the guard allows, in percent. */
    int guardPercent = FULL_SPEED;

    /** The speed that the room on the worker allows, in percent. */
    int roomPercent = FULL_SPEED;

    /** The processor time since its last checkpoint, in milliseconds. */
    long workAtRiskMillis;

    /** Whether it has been told to stop. */
    boolean stopping;

    /** Whether its job was cancelled. */
    boolean cancelled;

    /** The processors that a service used at its last report, in thousandths. */
    long usedBefore;

    /** The end of the last report of a service, in milliseconds. */
    long reportedMillis;

    /**
     * Creates the record of a task that starts.
     *
     * @param job the job
     * @param worker the worker
     * @param size what is reserved
     * @param row the row of its kind
     * @param nowMillis the time, in milliseconds
     */
    RunningTask(PendingJob job, WorkerId worker, Resources size, KindOfWork row, long nowMillis) {
        this.job = job;
        this.worker = worker;
        this.service = row.workClass() == WorkClass.INTERACTIVE;
        this.evictable = row.workClass() == WorkClass.BATCH && row.repeat() != Repeat.AT_MOST_ONCE;
        this.full = size;
        this.reserved = size;
        this.startedMillis = nowMillis;
    }

    /**
     * Sets the speed at which the task starts.
     *
     * @param percent the speed that the guard allows, in percent
     */
    void startAt(int percent) {
        guardPercent = percent;
        reserved = at(percent);
    }

    /**
     * Returns the speed that both the guard and the room allow.
     *
     * @return the speed, in percent
     */
    int speedPercent() {
        return Math.min(guardPercent, roomPercent);
    }

    /**
     * Returns what to reserve at a speed.
     *
     * @param speedPercent the speed, in percent
     * @return the amount
     */
    Resources at(int speedPercent) {
        long processors = full.milliProcessors() * speedPercent / FULL_SPEED;
        return new Resources(Math.max(1, processors), full.memoryMegabytes(), full.accelerators());
    }
}
