package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * A run that is or may be active on a worker. It occupies resources of the worker until its end is
 * known.
 */
public final class RunRecord {

    /** The value of a CPU limit, load, progress or time that is not known. */
    static final int UNKNOWN = -1;

    /** The CPU limit of a run that is not throttled, in percent of its request. */
    static final int FULL_PERCENT = 100;

    /** The identifier of the task. */
    final TaskId taskId;

    /** The number of the run. */
    final int runNumber;

    /** The worker that runs it. */
    final WorkerRecord worker;

    /**
     * The task, or null if its submission is unknown or over or the task must not run here; such a
     * run is only stopped.
     */
    final @Nullable TaskRecord task;

    /** The resources that the run reserves on the worker. */
    final Resources reserved;

    /** When the start request was sent or a poll first listed the run, in milliseconds. */
    final long trackedSinceMillis;

    /** Whether the worker has confirmed the run, so that its start request has arrived. */
    boolean confirmed;

    /**
     * Whether the start request was sent to a former boot of the worker and may still arrive at a
     * later one.
     */
    boolean sentToFormerBoot;

    /** The state of the run as known to this owner. */
    RunPhase phase;

    /** When an inventory last listed the run, in milliseconds, or {@link #UNKNOWN} if none did. */
    long listedAtMillis = UNKNOWN;

    /** Whether it is not known which resources the run reserves. */
    boolean sizeUnknown;

    /** Which other starts the worker gets until the run has been active for long enough. */
    Quarantine quarantine = Quarantine.NONE;

    /** Whether it was determined how the run is involved in the crash of its worker. */
    boolean crashEvaluated;

    /** The last checkpoint that the worker has reported, empty for none. */
    String checkpoint = "";

    /** The checkpoint from which the run resumed, empty for none. */
    String startCheckpoint = "";

    /** The part of its work that the run has done, in percent, or {@link #UNKNOWN}. */
    int progressPercent = UNKNOWN;

    /**
     * When the current window of the progress measurement began, in milliseconds, or {@link
     * #UNKNOWN} if there is none.
     */
    long windowStartMillis = UNKNOWN;

    /** The progress at the beginning of the current window, in percent. */
    int windowStartPercent;

    /**
     * The work done in the last window divided by its length; 1 for a run at its expected speed.
     */
    double progressRate = 1;

    /** Whether the run is being stopped to continue on another worker. */
    boolean moving;

    /** Whether the worker was cold when the run started. */
    boolean startedCold;

    /** Whether the run was, or may have been, throttled at any time. */
    boolean everThrottled;

    /** The CPU limit that the worker has confirmed, in percent, or {@link #UNKNOWN}. */
    int cpuLimitPercent = FULL_PERCENT;

    /**
     * Until when a request to change the CPU limit that got no answer may still be carried out, in
     * milliseconds.
     */
    long cpuLimitUncertainUntilMillis;

    /** When the last request to change the CPU limit was sent, in milliseconds. */
    long cpuLimitSentAtMillis;

    /** The CPU limit that the worker should apply, in percent. */
    int wantedCpuLimitPercent = FULL_PERCENT;

    /** Whether a request to change the CPU limit is in flight. */
    boolean cpuLimitRequestInFlight;

    /**
     * The tail latency of a serving task in milliseconds, or the CPU use of any other task in
     * millicores; negative if the worker has not reported it.
     */
    long reportedLoad = UNKNOWN;

    /**
     * The number of the first poll sent after the last start or stop request was answered or timed
     * out, or the worker restarted. Inventories of earlier polls may be outdated, so a run that
     * they do not list may still be active.
     */
    long firstConclusivePoll;

    /** Whether the worker has acknowledged the stop request in its current boot. */
    boolean stopAcknowledged;

    /** Whether a stop request is in flight. */
    boolean stopRequestInFlight;

    /**
     * The smoothed tail latency of a serving task, as a fraction of its target, or {@link
     * #UNKNOWN}.
     */
    double smoothedLatencyRatio = UNKNOWN;

    /**
     * Since when a serving task has been over its target, in milliseconds, or {@link #UNKNOWN} if
     * it is not.
     */
    long overTargetSinceMillis = UNKNOWN;

    /**
     * Creates a record of a run that is not throttled.
     *
     * @param taskId the identifier of the task
     * @param runNumber the number of the run
     * @param worker the worker that runs it
     * @param task the task, or null if the run must only be stopped
     * @param reserved the resources that the run reserves on the worker
     * @param phase the state of the run as known to this owner
     * @param trackedSinceMillis the current time, in milliseconds
     */
    RunRecord(
            TaskId taskId,
            int runNumber,
            WorkerRecord worker,
            @Nullable TaskRecord task,
            Resources reserved,
            RunPhase phase,
            long trackedSinceMillis) {
        this.taskId = taskId;
        this.runNumber = runNumber;
        this.worker = worker;
        this.task = task;
        this.reserved = reserved;
        this.phase = phase;
        this.trackedSinceMillis = trackedSinceMillis;
    }

    /**
     * Returns whether the start request of the run may still arrive at its worker.
     *
     * @return whether the request is in flight or was not answered, also if a stop was sent since
     */
    boolean mayArrive() {
        return !confirmed;
    }

    /**
     * Returns for how long the run is known to have been active.
     *
     * @return the time from its start request until an inventory last listed it, in milliseconds; 0
     *     if none did
     */
    long knownActiveMillis() {
        return listedAtMillis == UNKNOWN ? 0 : listedAtMillis - trackedSinceMillis;
    }

    /**
     * Begins a window of the progress measurement.
     *
     * @param nowMillis the current time, in milliseconds
     */
    void beginWindow(long nowMillis) {
        windowStartMillis = nowMillis;
        windowStartPercent = progressPercent;
    }

    /**
     * Returns the key of the run on its worker.
     *
     * @return the key
     */
    RunKey key() {
        return new RunKey(taskId, runNumber);
    }

    /**
     * Returns the CPU limit that the worker has confirmed. A run whose limit is not known, such as
     * one that a previous owner started, counts as not limited: if it counted as paused, its effect
     * on serving tasks would be ascribed to nothing.
     *
     * @return the limit, as a fraction of the request
     */
    double cpuLimitFraction() {
        int percent = cpuLimitPercent == UNKNOWN ? FULL_PERCENT : cpuLimitPercent;
        return (double) percent / FULL_PERCENT;
    }

    /**
     * Returns whether the run did all the work of its task on a warm worker without ever being
     * throttled.
     *
     * @return whether the duration of the run is the duration of the task
     */
    boolean hasRepresentativeRunTime() {
        return !everThrottled && !startedCold && startCheckpoint.isEmpty();
    }

    /**
     * Returns whether the run belongs to a serving task, which has a latency target.
     *
     * @return whether it does
     */
    boolean isServing() {
        return task != null && task.step.spec.serving();
    }

    /**
     * Returns whether the run belongs to a long-running task.
     *
     * @return whether it does
     */
    boolean isLongRunning() {
        return task != null && task.step.spec.lasting();
    }

    /**
     * Returns the target of the tail latency of the task.
     *
     * @return the target, in milliseconds, or 0 if the task has none
     */
    long latencyTargetMillis() {
        return task == null ? 0 : task.step.spec.targetMillis();
    }

    /**
     * Returns whether the run belongs to a filler, which uses only CPU that other tasks leave idle.
     *
     * @return whether it does
     */
    boolean isFiller() {
        return task != null && task.step.spec.filling();
    }
}
