package org.damasktiller.routing;

import java.util.ArrayDeque;

/** Keeps what the router knows of one endpoint. */
final class EndpointState {

    /** After how many failures in a row an endpoint is an outlier. */
    private static final int FAILURES_TO_EJECT = 5;

    /** The largest factor by which repeated ejections are prolonged. */
    private static final int LARGEST_EJECTION_FACTOR = 30;

    /** When the slots of aborted attempts become free, in milliseconds, in order. */
    private final ArrayDeque<Long> abandoned = new ArrayDeque<>();

    /** The average latency. */
    private final LatencyAverage latency = new LatencyAverage();

    /** The description. */
    private EndpointDescription description;

    /** The limit that adapts. */
    private ConcurrencyLimit limit;

    /** The number of attempts under way. */
    private int active;

    /** The number of failures since the last answer. */
    private int failuresInRow;

    /** Until when the endpoint is ejected, in milliseconds. */
    private long ejectedUntilMillis = Long.MIN_VALUE;

    /** The number of ejections without a recovery in between. */
    private int ejections;

    /** When slow start began, in milliseconds. */
    private long startedMillis;

    /** Whether the endpoint told us that it is leaving. */
    private boolean seenLeaving;

    /**
     * Creates a state.
     *
     * @param description the description
     * @param startedMillis when slow start begins, in milliseconds
     */
    EndpointState(EndpointDescription description, long startedMillis) {
        this.description = description;
        this.startedMillis = startedMillis;
        this.limit = new ConcurrencyLimit(description.slots());
    }

    /**
     * Returns the description.
     *
     * @return the description
     */
    EndpointDescription description() {
        return description;
    }

    /**
     * Replaces the description, which keeps what was measured.
     *
     * @param changed the new description
     */
    void describe(EndpointDescription changed) {
        description = changed;
    }

    /**
     * Returns the average latency.
     *
     * @return the average
     */
    LatencyAverage latency() {
        return latency;
    }

    /**
     * Tells whether the endpoint must receive no new work for good.
     *
     * @return whether it is leaving
     */
    boolean leaving() {
        return seenLeaving || description.leaving();
    }

    /**
     * Notes that the endpoint is leaving.
     *
     * @return whether this was news
     */
    boolean noteLeaving() {
        boolean news = !leaving();
        seenLeaving = true;
        return news;
    }

    /**
     * Tells whether the endpoint is ejected.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether it is ejected
     */
    boolean ejected(long nowMillis) {
        return nowMillis < ejectedUntilMillis;
    }

    /**
     * Tells whether the endpoint may receive work once it has a free slot.
     *
     * @param nowMillis the time, in milliseconds
     * @return whether it is usable
     */
    boolean usable(long nowMillis) {
        return !leaving() && !ejected(nowMillis);
    }

    /**
     * Returns the slots in use, those of aborted attempts included.
     *
     * @param nowMillis the time, in milliseconds
     * @return the number of slots
     */
    int used(long nowMillis) {
        while (!abandoned.isEmpty() && abandoned.peekFirst() <= nowMillis) {
            abandoned.removeFirst();
        }
        return active + abandoned.size();
    }

    /**
     * Returns when the next slot becomes free without an answer: that of an aborted attempt, or
     * those of an endpoint whose ejection ends.
     *
     * @param nowMillis the time, in milliseconds
     * @return the time, in milliseconds, or {@link Long#MAX_VALUE}
     */
    long nextFreeMillis(long nowMillis) {
        used(nowMillis);
        Long next = abandoned.peekFirst();
        long free = next == null ? Long.MAX_VALUE : next;
        return ejected(nowMillis) ? Math.min(free, ejectedUntilMillis) : free;
    }

    /**
     * Returns how many requests the endpoint may have from us at once.
     *
     * @param allowed our part of its slots
     * @param slowStartMillis the length of slow start, in milliseconds
     * @param nowMillis the time, in milliseconds
     * @return the number of requests
     */
    int capacity(int allowed, long slowStartMillis, long nowMillis) {
        int adapted = Math.min(allowed, limit.current());
        long age = nowMillis - startedMillis;
        if (age >= slowStartMillis || age < 0) {
            return adapted;
        }
        long ramp = 1 + allowed * age / slowStartMillis;
        return (int) Math.min(adapted, ramp);
    }

    /** Notes that an attempt begins. */
    void sent() {
        active++;
    }

    /** Notes that an attempt ended without telling anything of the endpoint. */
    void released() {
        active--;
    }

    /**
     * Notes an answer.
     *
     * @param latencyMillis how long it took, in milliseconds
     * @param allowed our part of the endpoint's slots
     */
    void answered(long latencyMillis, int allowed) {
        active--;
        failuresInRow = 0;
        latency.add((double) latencyMillis);
        limit.succeeded(latencyMillis, Math.max(1, allowed));
    }

    /** Notes that the endpoint refused an attempt for want of a free slot. */
    void busy() {
        active--;
        limit.failed();
    }

    /** Notes a failure. */
    void failed() {
        active--;
        failuresInRow++;
        limit.failed();
    }

    /**
     * Notes that an attempt was aborted, whose slot stays in use for a while.
     *
     * @param waitedMillis how long the attempt waited, in milliseconds
     * @param freeMillis when the slot counts as free, in milliseconds
     * @param blamed whether the endpoint let the attempt time out
     */
    void aborted(long waitedMillis, long freeMillis, boolean blamed) {
        active--;
        abandoned.addLast(freeMillis);
        latency.add((double) waitedMillis);
        if (blamed) {
            failuresInRow++;
            limit.failed();
        }
    }

    /**
     * Tells whether so many attempts failed in a row that the endpoint is an outlier.
     *
     * @return whether it is an outlier
     */
    boolean failing() {
        return failuresInRow >= FAILURES_TO_EJECT;
    }

    /**
     * Ejects the endpoint; it begins with slow start afterwards.
     *
     * @param durationMillis how long the first ejection lasts, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    void eject(long durationMillis, long nowMillis) {
        ejections = Math.min(LARGEST_EJECTION_FACTOR, ejections + 1);
        ejectedUntilMillis = nowMillis + durationMillis * ejections;
        startedMillis = ejectedUntilMillis;
        failuresInRow = 0;
        latency.reset();
        limit = new ConcurrencyLimit(description.slots());
    }

    /**
     * Forgets earlier ejections once the endpoint has worked well for as long as the last one.
     *
     * @param durationMillis how long the first ejection lasts, in milliseconds
     * @param nowMillis the time, in milliseconds
     */
    void forgive(long durationMillis, long nowMillis) {
        if (ejections > 0 && nowMillis >= ejectedUntilMillis + durationMillis * ejections) {
            ejections = 0;
        }
    }
}
