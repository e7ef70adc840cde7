package org.damasktiller.standin.time;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Runs steps in the order of their times; time passes only between steps. Not safe for use by
 * several threads.
 */
public final class VirtualTime {

    /** The steps to come. */
    private final PriorityQueue<ScheduledStep> steps = new PriorityQueue<>();

    /** The time, in milliseconds. */
    private long nowMillis;

    /** The number of steps scheduled so far. */
    private long scheduled;

    /**
     * Creates a clock.
     *
     * @param startMillis the time at the start, in milliseconds
     */
    public VirtualTime(long startMillis) {
        this.nowMillis = startMillis;
    }

    /**
     * Returns the time.
     *
     * @return the time, in milliseconds
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Schedules a step.
     *
     * @param delayMillis how long from now, in milliseconds
     * @param step what happens
     */
    public void after(long delayMillis, Runnable step) {
        scheduled++;
        steps.add(new ScheduledStep(nowMillis + delayMillis, scheduled, step));
    }

    /**
     * Runs steps until a time or until something holds.
     *
     * @param endMillis the time to stop at, in milliseconds
     * @param done tells after each step whether to stop
     * @return whether it stopped before the time
     */
    public boolean run(long endMillis, BooleanSupplier done) {
        while (!steps.isEmpty() && steps.element().atMillis() <= endMillis) {
            ScheduledStep next = steps.remove();
            nowMillis = next.atMillis();
            next.step().run();
            if (done.getAsBoolean()) {
                return true;
            }
        }
        nowMillis = Math.max(nowMillis, endMillis);
        return false;
    }

    /**
     * Runs the steps of some time.
     *
     * @param millis for how long, in milliseconds
     */
    public void pass(long millis) {
        run(nowMillis + millis, () -> false);
    }
}
