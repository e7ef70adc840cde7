package org.damasktiller.standin.network;

import java.util.PriorityQueue;

/** Runs tasks in the order of their times, without waiting. Not safe for use by several threads. */
public final class VirtualTime {

    /** The tasks in the order of their times. */
    private final PriorityQueue<Task> tasks = new PriorityQueue<>();

    /** The time, in milliseconds. */
    private long nowMillis;

    /** The number of tasks scheduled, which orders tasks of the same time. */
    private long count;

    /**
     * Creates a clock.
     *
     * @param startMillis the time at which it starts, in milliseconds
     */
    public VirtualTime(long startMillis) {
        nowMillis = startMillis;
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
     * Schedules a task.
     *
     * @param delayMillis how long from now, in milliseconds
     * @param action the task
     */
    public void schedule(long delayMillis, Runnable action) {
        count++;
        tasks.add(new Task(nowMillis + delayMillis, count, action));
    }

    /**
     * Runs the tasks of some time.
     *
     * @param millis for how long, in milliseconds
     */
    public void run(long millis) {
        long untilMillis = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.element().atMillis <= untilMillis) {
            Task task = tasks.remove();
            nowMillis = task.atMillis;
            task.action.run();
        }
        nowMillis = untilMillis;
    }

    /**
     * Holds one task.
     *
     * @param atMillis when it runs, in milliseconds
     * @param number the order among tasks of the same time
     * @param action the task
     */
    private record Task(long atMillis, long number, Runnable action) implements Comparable<Task> {

        @Override
        public int compareTo(Task other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
