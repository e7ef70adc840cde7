package org.damasktiller.node.cluster;

import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreLease;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Holds a lease of the store for this process: obtains it, renews it until the session is closed,
 * and obtains a new one after it has expired. The renewals also show whether the store is reachable
 * and how long a round trip takes.
 */
public final class StoreSession {

    /** Stands for the identifier of a lease while there is none. */
    public static final long NO_LEASE = 0;

    /** The interval between renewals, in milliseconds: a quarter of the default lease duration. */
    private static final long RENEWAL_INTERVAL_MILLIS = 500;

    /**
     * The number of renewals at the start of a lease that follow each other without a pause. The
     * first calls of a process are slow, and would not show how far away the store is.
     */
    private static final int MEASURING_RENEWALS = 3;

    /** The delay before a failed call is retried, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 150;

    /**
     * The number of failures in a row from which on the store counts as failing. A call without a
     * response suffices alone, since it has taken a whole timeout.
     */
    private static final int FAILING_THRESHOLD = 2;

    /** How long the store counts as reachable after its last response, in milliseconds. */
    private static final long REACHABILITY_WINDOW_MILLIS = 1_800;

    /** The store. */
    private final MetadataStore store;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** The requested duration of the lease without a renewal, in milliseconds. */
    private final long leaseDurationMillis;

    /** Called each time that the round trip to the store has been measured for a new lease. */
    private final Runnable onMeasured;

    /** The identifier of the current lease, or NO_LEASE. */
    private long leaseId = NO_LEASE;

    /**
     * When the store last granted or renewed the lease, on the monotonic clock, in milliseconds.
     */
    private long lastResponseMillis;

    /** The round-trip time of the fastest renewal, in milliseconds; MAX_VALUE before the first. */
    private long fastestRenewalMillis = Long.MAX_VALUE;

    /** The number of renewals of the current lease that the store has answered. */
    private int renewalCount;

    /** The number of failures since the last successful call, see {@link #countFailure}. */
    private int failures;

    /** Whether the store was reachable at the last check, to log changes only. */
    private boolean reachable;

    /** Whether the session has been closed. */
    private boolean closed;

    /**
     * Creates a session that is not started yet; the store counts as unreachable.
     *
     * @param store the store
     * @param runtime the clock and the timers
     * @param log the log
     * @param leaseDurationMillis the requested duration of the lease without a renewal, in
     *     milliseconds
     * @param onMeasured called each time that the round trip to the store has been measured for a
     *     new lease
     */
    public StoreSession(
            MetadataStore store,
            ProcessRuntime runtime,
            DecisionLog log,
            long leaseDurationMillis,
            Runnable onMeasured) {
        this.store = store;
        this.runtime = runtime;
        this.log = log;
        this.leaseDurationMillis = leaseDurationMillis;
        this.onMeasured = onMeasured;
        this.lastResponseMillis = runtime.nowMillis() - REACHABILITY_WINDOW_MILLIS;
    }

    /** Requests a lease and retries until it is granted. */
    public void start() {
        if (!closed) {
            store.grantLease(leaseDurationMillis, this::onGranted);
        }
    }

    /** Stops the renewals and ends the lease, which removes all keys written under it. */
    public void close() {
        closed = true;
        if (leaseId != NO_LEASE) {
            store.revokeLease(
                    leaseId,
                    result ->
                            log.log("session.closed", "lease", leaseId, "status", result.status()));
        }
    }

    /**
     * Returns the identifier of the current lease.
     *
     * @return the identifier, or NO_LEASE if no lease is held
     */
    public long leaseId() {
        return leaseId;
    }

    /**
     * Tells whether the store has responded recently, and logs a change since the last check.
     *
     * @return whether the store counts as reachable
     */
    public boolean isReachable() {
        boolean nowReachable =
                runtime.nowMillis() - lastResponseMillis < REACHABILITY_WINDOW_MILLIS;
        if (nowReachable != reachable) {
            reachable = nowReachable;
            log.log(
                    nowReachable ? "store.regained" : "store.lost",
                    "answeredAgo",
                    runtime.nowMillis() - lastResponseMillis);
        }
        return nowReachable;
    }

    /**
     * Returns whether the round trip to the store has been measured for the current lease.
     *
     * @return whether a lease is held and enough renewals have been answered
     */
    boolean isMeasured() {
        return leaseId != NO_LEASE && renewalCount >= MEASURING_RENEWALS;
    }

    /**
     * Returns the round-trip time of the fastest renewal, which estimates the network latency to
     * the store.
     *
     * @return the time, in milliseconds; {@link Long#MAX_VALUE} before the first renewal
     */
    public long fastestRenewalMillis() {
        return fastestRenewalMillis;
    }

    /**
     * Tells whether the last calls to the store have failed. This shows an outage sooner than
     * {@link #isReachable}, and also short disturbances.
     *
     * @return whether enough calls have failed since the last successful one
     */
    boolean isFailing() {
        return failures >= FAILING_THRESHOLD;
    }

    /**
     * Handles the response to a lease request.
     *
     * @param result the granted lease, or the failure
     */
    private void onGranted(StoreResult<StoreLease> result) {
        if (closed) {
            return;
        }
        if (result.status() != StoreStatus.OK) {
            countFailure(result.status());
            isReachable();
            runtime.schedule(RETRY_DELAY_MILLIS, this::start);
            return;
        }
        failures = 0;
        leaseId = result.require().id();
        renewalCount = 0;
        lastResponseMillis = runtime.nowMillis();
        log.log("session.began", "lease", leaseId, "lifeMillis", result.require().ttlMillis());
        renew();
    }

    /** Sends a renewal of the lease. */
    private void renew() {
        if (closed) {
            return;
        }
        long sentMillis = runtime.nowMillis();
        store.renewLease(leaseId, result -> onRenewed(result, sentMillis));
    }

    /**
     * Handles the response to a renewal: schedules the next one, or requests a new lease if the old
     * one has expired.
     *
     * @param result the store's response
     * @param sentMillis when the renewal was sent, on the monotonic clock, in milliseconds
     */
    private void onRenewed(StoreResult<Boolean> result, long sentMillis) {
        if (closed) {
            return;
        }
        long nowMillis = runtime.nowMillis();
        if (result.status() == StoreStatus.OK) {
            failures = 0;
            lastResponseMillis = nowMillis;
            fastestRenewalMillis = Math.min(fastestRenewalMillis, nowMillis - sentMillis);
            renewalCount++;
            if (renewalCount < MEASURING_RENEWALS) {
                renew();
            } else {
                runtime.schedule(RENEWAL_INTERVAL_MILLIS, this::renew);
            }
            if (renewalCount == MEASURING_RENEWALS) {
                onMeasured.run();
            }
        } else if (result.status() == StoreStatus.ABSENT) {
            log.log("session.lapsed", "lease", leaseId);
            leaseId = NO_LEASE;
            start();
        } else {
            countFailure(result.status());
            runtime.schedule(RETRY_DELAY_MILLIS, this::renew);
        }
        isReachable();
    }

    /**
     * Counts a call that has failed.
     *
     * @param status the result of the call
     */
    private void countFailure(StoreStatus status) {
        failures += status == StoreStatus.UNKNOWN ? FAILING_THRESHOLD : 1;
    }
}
