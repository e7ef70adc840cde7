package org.damasktiller.node.cluster;

import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreLease;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/** Keeps a lease of the store alive and tells whether the store can be reached. */
public final class StoreSession {

    /** No lease. */
    public static final long NONE = 0;

    /** The time between renewals, in milliseconds: four in the life of a lease. */
    private static final long RENEW_MILLIS = 500;

    /** The pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    /** For how long after an answer the store counts as reachable, in milliseconds. */
    private static final long REACHABLE_MILLIS = 1_800;

    /** The store. */
    private final MetadataStore store;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** How long the lease is to live, in milliseconds. */
    private final long lifeMillis;

    /** The lease, or NONE. */
    private long lease = NONE;

    /** When a call was answered last, in milliseconds. */
    private long answeredAtMillis;

    /** How long the fastest renewal took, in milliseconds. */
    private long fastestMillis = Long.MAX_VALUE;

    /** Whether the store was reachable when last looked at. */
    private boolean reachable;

    /** Whether the session has ended. */
    private boolean closed;

    /**
     * Creates a session that has not begun.
     *
     * @param store the store
     * @param runtime the clock and the timers
     * @param log the log
     * @param lifeMillis how long the lease is to live without renewal, in milliseconds
     */
    public StoreSession(
            MetadataStore store, ProcessRuntime runtime, DecisionLog log, long lifeMillis) {
        this.store = store;
        this.runtime = runtime;
        this.log = log;
        this.lifeMillis = lifeMillis;
        this.answeredAtMillis = runtime.nowMillis() - REACHABLE_MILLIS;
    }

    /** Begins to take out the lease. */
    public void start() {
        if (!closed) {
            store.grantLease(lifeMillis, this::onGranted);
        }
    }

    /** Ends the lease and the keys under it. */
    public void close() {
        closed = true;
        if (lease != NONE) {
            store.revokeLease(
                    lease,
                    result -> log.log("session.closed", "lease", lease, "status", result.status()));
        }
    }

    /**
     * Returns the lease.
     *
     * @return its number, or NONE
     */
    public long lease() {
        return lease;
    }

    /**
     * Tells whether the store has answered lately.
     *
     * @return whether it has
     */
    public boolean reachable() {
        boolean now = runtime.nowMillis() - answeredAtMillis < REACHABLE_MILLIS;
        if (now != reachable) {
            reachable = now;
            log.log(
                    now ? "store.regained" : "store.lost",
                    "answeredAgo",
                    runtime.nowMillis() - answeredAtMillis);
        }
        return now;
    }

    /**
     * Returns how long the fastest renewal took, a measure of the distance to the store.
     *
     * @return the time, in milliseconds
     */
    public long distanceMillis() {
        return fastestMillis;
    }

    /**
     * Takes a new lease.
     *
     * @param result the lease
     */
    private void onGranted(StoreResult<StoreLease> result) {
        if (closed) {
            return;
        }
        if (result.status() != StoreStatus.OK) {
            reachable();
            runtime.schedule(RETRY_MILLIS, this::start);
            return;
        }
        lease = result.require().id();
        answeredAtMillis = runtime.nowMillis();
        log.log("session.began", "lease", lease, "lifeMillis", result.require().ttlMillis());
        renew();
    }

    /** Renews the lease. */
    private void renew() {
        if (closed) {
            return;
        }
        long sent = runtime.nowMillis();
        store.renewLease(lease, result -> onRenewed(result, sent));
    }

    /**
     * Takes the answer to a renewal.
     *
     * @param result the answer
     * @param sentMillis when the renewal was sent, in milliseconds
     */
    private void onRenewed(StoreResult<Boolean> result, long sentMillis) {
        if (closed) {
            return;
        }
        long now = runtime.nowMillis();
        if (result.status() == StoreStatus.OK) {
            answeredAtMillis = now;
            fastestMillis = Math.min(fastestMillis, now - sentMillis);
            runtime.schedule(RENEW_MILLIS, this::renew);
        } else if (result.status() == StoreStatus.ABSENT) {
            log.log("session.lapsed", "lease", lease);
            lease = NONE;
            start();
        } else {
            runtime.schedule(RETRY_MILLIS, this::renew);
        }
        reachable();
    }
}
