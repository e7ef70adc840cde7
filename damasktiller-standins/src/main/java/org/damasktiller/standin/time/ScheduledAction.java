package org.damasktiller.standin.time;

/**
 * An action scheduled for a point in virtual time, ordered by time and then by sequence number.
 *
 * @param dueMillis when the action is due, in milliseconds
 * @param sequence the sequence number, which orders actions that are due at the same time
 * @param action the action
 */
record ScheduledAction(long dueMillis, long sequence, Runnable action)
        implements Comparable<ScheduledAction> {

    @Override
    public int compareTo(ScheduledAction other) {
        int byTime = Long.compare(dueMillis, other.dueMillis);
        return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
}
