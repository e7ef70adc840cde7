package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;

/**
 * The leases of a worker of which no answer tells which boot has received them. A call without an
 * answer may be carried out seconds later, by another boot of the worker.
 */
final class UnconfirmedLeases {

    /** How long after it was sent a call may still be carried out, in milliseconds. */
    static final long MAX_DELAY_MILLIS = 7_000;

    /** The leases in the order in which they were sent. */
    private final List<LeaseGrant> grants = new ArrayList<>(2);

    /** Creates a record without leases. */
    UnconfirmedLeases() {}

    /**
     * Adds a lease that is about to be sent, and drops those that can't arrive any more.
     *
     * @param grant the lease
     */
    void add(LeaseGrant grant) {
        grants.removeIf(
                earlier -> grant.sentAtMillis() - earlier.sentAtMillis() > MAX_DELAY_MILLIS);
        grants.add(grant);
    }

    /**
     * Removes a lease that was answered.
     *
     * @param grant the lease
     */
    void remove(LeaseGrant grant) {
        grants.remove(grant);
    }

    /**
     * Returns when the last of the leases was sent.
     *
     * @return the time, in milliseconds, or {@link WorkerRecord#NEVER} if there is none
     */
    long lastSentAtMillis() {
        return grants.stream().mapToLong(LeaseGrant::sentAtMillis).max().orElse(WorkerRecord.NEVER);
    }
}
