package org.damasktiller.standin.time;

import java.util.PriorityQueue;
import java.util.function.BooleanSupplier;

/**
 * Runs scheduled actions in the order of their times on a virtual clock. The clock advances only
 * between actions; an action takes no virtual time. Not thread-safe.
 */
public final class VirtualTime {

    /** The scheduled actions that have not run, the earliest first. */
    private final PriorityQueue<ScheduledStep> steps = new PriorityQueue<>();

    /** The virtual time, in milliseconds. */
    private long nowMillis;

    /** The number of actions scheduled so far, from which sequence numbers are taken. */
    private long scheduled;

    /**
     * Creates a scheduler without actions.
     *
     * @param startMillis the initial virtual time, in milliseconds
     */
    public VirtualTime(long startMillis) {
        this.nowMillis = startMillis;
    }

    /**
     * Returns the virtual time.
     *
     * @return the time, in milliseconds
     */
    public long nowMillis() {
        return nowMillis;
    }

    /**
     * Schedules an action. Actions that are due at the same time run in the order of these calls.
     *
     * @param delayMillis the delay from now, in milliseconds
     * @param step the action
     */
    public void after(long delayMillis, Runnable step) {
        scheduled++;
        steps.add(new ScheduledStep(nowMillis + delayMillis, scheduled, step));
    }

    /**
     * Runs actions until a point in time is reached or a condition holds.
     *
     * @param endMillis the point in virtual time to stop at, in milliseconds; actions that are due
     *     at that time still run
     * @param done the condition, checked after each action
     * @return true if the condition held, false if the point in time was reached
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
     * Advances the virtual time and runs the actions that become due.
     *
     * @param millis the time to advance by, in milliseconds
     */
    public void pass(long millis) {
        run(nowMillis + millis, () -> false);
    }
}
