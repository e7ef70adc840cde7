package org.damasktiller.routing;

import java.util.Comparator;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Orders requests by the time at which they need attention. */
final class RequestTimers {

    /** The requests by time and then by number. */
    private final TreeSet<PendingRequest> ordered =
            new TreeSet<>(
                    Comparator.comparingLong((PendingRequest pending) -> pending.timerMillis)
                            .thenComparingLong(pending -> pending.request().number()));

    /** Creates timers without requests. */
    RequestTimers() {}

    /**
     * Sets the timer of a request to the time at which it is due.
     *
     * @param pending the request
     */
    void update(PendingRequest pending) {
        long due = pending.dueMillis();
        if (due == pending.timerMillis) {
            return;
        }
        remove(pending);
        pending.timerMillis = due;
        ordered.add(pending);
    }

    /**
     * Removes the timer of a request.
     *
     * @param pending the request
     */
    void remove(PendingRequest pending) {
        if (pending.timerMillis != PendingRequest.NEVER) {
            ordered.remove(pending);
            pending.timerMillis = PendingRequest.NEVER;
        }
    }

    /**
     * Returns the earliest time.
     *
     * @return the time, in milliseconds, or {@link PendingRequest#NEVER}
     */
    long nextMillis() {
        return ordered.isEmpty() ? PendingRequest.NEVER : ordered.first().timerMillis;
    }

    /**
     * Takes a request that is due.
     *
     * @param nowMillis the time, in milliseconds
     * @return the request, or null if none is due
     */
    @Nullable PendingRequest takeDue(long nowMillis) {
        if (ordered.isEmpty() || ordered.first().timerMillis > nowMillis) {
            return null;
        }
        PendingRequest first = ordered.first();
        remove(first);
        return first;
    }
}
