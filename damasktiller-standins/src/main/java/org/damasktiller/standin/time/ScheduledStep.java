package org.damasktiller.standin.time;

/**
 * Holds something that happens at a time.
 *
 * @param atMillis when, in milliseconds
 * @param order the order among steps of the same time
 * @param step what happens
 */
record ScheduledStep(long atMillis, long order, Runnable step)
        implements Comparable<ScheduledStep> {

    @Override
    public int compareTo(ScheduledStep other) {
        int byTime = Long.compare(atMillis, other.atMillis);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
