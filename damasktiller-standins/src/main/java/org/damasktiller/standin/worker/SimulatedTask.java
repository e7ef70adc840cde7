package org.damasktiller.standin.worker;

import java.util.List;
import org.damasktiller.worker.Checkpoint;
import org.damasktiller.worker.RunningTask;
import org.damasktiller.worker.TaskSpec;
import org.damasktiller.worker.TaskStart;
import org.jspecify.annotations.Nullable;

/**
 * Simulates one running task. The task takes its declared run time at full speed, or the time given
 * by a word {@code actual:MILLISECONDS} of its payload; with a word {@code fail} it fails.
 */
final class SimulatedTask {

    /** The payload word of a task that fails. */
    static final String FAIL_WORD = "fail";

    /** The prefix of the payload word that gives the actual run time. */
    static final String ACTUAL_PREFIX = "actual:";

    /** The speed of a task that is not throttled, in percent. */
    static final int FULL_SPEED_PERCENT = 100;

    /** What was started. */
    private final TaskStart start;

    /** The run time needed in total at full speed, in milliseconds. */
    private final long neededMillis;

    /** When the lease lapses, in milliseconds. */
    private long leaseEndMillis;

    /** The run time done so far, in hundredths of a millisecond. */
    private long progressHundredths;

    /** The time to which the progress was computed, in milliseconds. */
    private long progressAtMillis;

    /** The allowed speed, in percent. */
    private int speedPercent = FULL_SPEED_PERCENT;

    /**
     * Creates a running task.
     *
     * @param start what was started
     * @param leaseEndMillis when the lease lapses, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    SimulatedTask(TaskStart start, long leaseEndMillis, long nowMillis) {
        this.start = start;
        this.leaseEndMillis = leaseEndMillis;
        this.neededMillis = neededMillis(start.task());
        this.progressHundredths = startProgressMillis(start.checkpoint()) * FULL_SPEED_PERCENT;
        this.progressAtMillis = nowMillis;
    }

    /**
     * Reads the progress from a checkpoint of a stand-in worker.
     *
     * @param checkpoint the checkpoint, or null
     * @return the run time done, in milliseconds
     */
    static long startProgressMillis(@Nullable Checkpoint checkpoint) {
        return checkpoint == null ? 0 : Long.parseLong(checkpoint.data());
    }

    /**
     * Returns what was started.
     *
     * @return the start
     */
    TaskStart start() {
        return start;
    }

    /**
     * Returns when the lease lapses.
     *
     * @return the time, in milliseconds
     */
    long leaseEndMillis() {
        return leaseEndMillis;
    }

    /**
     * Extends the lease; it is never shortened.
     *
     * @param endMillis when the lease is to lapse, in milliseconds
     */
    void renew(long endMillis) {
        leaseEndMillis = Math.max(leaseEndMillis, endMillis);
    }

    /**
     * Changes the speed.
     *
     * @param percent the allowed speed, in percent
     * @param nowMillis the time, in milliseconds
     */
    void throttle(int percent, long nowMillis) {
        progressHundredths = progressAt(nowMillis);
        progressAtMillis = nowMillis;
        speedPercent = percent;
    }

    /**
     * Returns when the task will be done at its speed.
     *
     * @return the time, in milliseconds
     */
    long doneAtMillis() {
        long missing = Math.max(0, neededMillis * FULL_SPEED_PERCENT - progressHundredths);
        return progressAtMillis + (missing + speedPercent - 1) / speedPercent;
    }

    /**
     * Returns the run time done at a time.
     *
     * @param millis the time, in milliseconds
     * @return the run time, in milliseconds
     */
    long progressMillis(long millis) {
        return Math.min(neededMillis, progressAt(millis) / FULL_SPEED_PERCENT);
    }

    /**
     * Tells whether the task succeeds when it is done.
     *
     * @return whether it succeeds
     */
    boolean succeeds() {
        return !words(start.task()).contains(FAIL_WORD);
    }

    /**
     * Describes the task for the inventory.
     *
     * @return the running task
     */
    RunningTask describe() {
        return new RunningTask(start.attempt(), start.task().resources(), speedPercent);
    }

    /**
     * Returns the progress at a time.
     *
     * @param millis the time, in milliseconds
     * @return the run time done, in hundredths of a millisecond
     */
    private long progressAt(long millis) {
        return progressHundredths + (millis - progressAtMillis) * speedPercent;
    }

    /**
     * Reads the run time that a task needs.
     *
     * @param task the task
     * @return the run time at full speed, in milliseconds
     */
    private static long neededMillis(TaskSpec task) {
        for (String word : words(task)) {
            if (word.startsWith(ACTUAL_PREFIX)) {
                return Long.parseLong(word.substring(ACTUAL_PREFIX.length()));
            }
        }
        return task.runTimeMillis();
    }

    /**
     * Splits the payload of a task.
     *
     * @param task the task
     * @return the words
     */
    private static List<String> words(TaskSpec task) {
        return List.of(task.payload().split(" "));
    }
}
