package org.damasktiller.benchmark.decisions;

import org.damasktiller.decision.fairshare.PendingJob;
import org.damasktiller.resource.Resources;

/** Holds the hidden state of one job, across its attempts. */
final class FakeTask {

    /** The part of the memory needed at the begin. */
    private static final double FIRST_MEMORY = 0.3;

    /** How fast the need of memory grows with the progress. */
    private static final double MEMORY_GROWTH = 3.5;

    /** The least part of the processors that is wanted. */
    private static final double LEAST_WANTED = 0.7;

    /** How fast the wanted processors swing, in seconds. */
    private static final double SWING_SECONDS = 15;

    /** The job as the policy sees it. */
    final PendingJob job;

    /** The position of its kind. */
    final int kind;

    /** What it really uses. */
    final Resources size;

    /** How long it runs alone at full speed, in seconds. */
    final double totalSeconds;

    /** Whether it fails wherever it runs. */
    final boolean poisoned;

    /** When it arrived, in seconds. */
    final double arrivedSecond;

    /** How far it has come, in seconds at full speed. */
    double progress;

    /** How far its last checkpoint has come, in seconds at full speed. */
    double checkpoint;

    /** What is reserved for the present attempt. */
    Resources reserved = Resources.NONE;

    /** How long the present attempt has run, in seconds. */
    int attemptSeconds;

    /** The second at which it stops, or -1. */
    int stopSecond = -1;

    /** Whether the job was cancelled. */
    boolean cancelled;

    /** Whether it was started at least once. */
    boolean started;

    /** The processors used in the last second, in thousandths. */
    double used;

    /**
     * Creates a job that has not run.
     *
     * @param job the job as the policy sees it
     * @param kind the position of its kind
     * @param size what it really uses
     * @param totalSeconds how long it runs alone, in seconds
     * @param poisoned whether it fails wherever it runs
     * @param arrivedSecond when it arrived, in seconds
     */
    FakeTask(
            PendingJob job,
            int kind,
            Resources size,
            double totalSeconds,
            boolean poisoned,
            double arrivedSecond) {
        this.job = job;
        this.kind = kind;
        this.size = size;
        this.totalSeconds = totalSeconds;
        this.poisoned = poisoned;
        this.arrivedSecond = arrivedSecond;
    }

    /**
     * Returns the memory that the task needs now; it grows over the first fifth of the run.
     *
     * @return the megabytes
     */
    double memoryNeeded() {
        double part = Math.min(1, FIRST_MEMORY + MEMORY_GROWTH * progress / totalSeconds);
        return size.memoryMegabytes() * part;
    }

    /**
     * Returns the processors that the task wants now; they swing in the course of the run.
     *
     * @return thousandths of a processor
     */
    double processorsWanted() {
        double phase = attemptSeconds / SWING_SECONDS + totalSeconds;
        double swing = (1 + Math.sin(phase)) / 2;
        return size.milliProcessors() * (LEAST_WANTED + (1 - LEAST_WANTED) * swing);
    }

    /**
     * Returns what the last second's use would show in a report.
     *
     * @return the usage
     */
    Resources usage() {
        double memory = Math.min(memoryNeeded(), (double) reserved.memoryMegabytes());
        return new Resources(Math.round(used), Math.round(memory), 0);
    }
}
