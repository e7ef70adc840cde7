package org.damasktiller.standin.time;

/**
 * An action scheduled for a point in virtual time, ordered by time and then by sequence number.
 *
 * @param atMillis when the action is due, in milliseconds
 * @param order the sequence number, which orders actions that are due at the same time
 * @param step the action
 */
record ScheduledStep(long atMillis, long order, Runnable step)
        implements Comparable<ScheduledStep> {

    @Override
    public int compareTo(ScheduledStep other) {
        int byTime = Long.compare(atMillis, other.atMillis);
        return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
}
