package org.damasktiller.node.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreLease;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Provides the store lease under which this process writes tombstones. It is never renewed: all
 * tombstones of some time share one lease and end with it, and later ones get another.
 */
final class TombstoneLease {

    /** How long a lease lasts, in milliseconds. */
    static final long LEASE_MILLIS = 120_000;

    /**
     * How long a tombstone lasts at least, in milliseconds: ten times as long as the store takes at
     * most to carry out a write without a response.
     */
    static final long SHORTEST_LIFE_MILLIS = 60_000;

    /** The store. */
    private final MetadataStore store;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /** Those that wait for the lease that was requested, empty if none was. */
    private final List<Consumer<StoreResult<StoreLease>>> waiting = new ArrayList<>();

    /** The result of the last request. */
    private StoreResult<StoreLease> latest = StoreResult.failed(StoreStatus.ABSENT, "no lease yet");

    /** When the last lease was requested, in milliseconds; it ends no sooner than counted so. */
    private long requestedAtMillis;

    /**
     * Creates a provider without a lease.
     *
     * @param store the store
     * @param runtime the clock
     * @param log the log
     */
    TombstoneLease(MetadataStore store, ProcessRuntime runtime, DecisionLog log) {
        this.store = store;
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Provides a lease that lasts long enough, and requests one if need be.
     *
     * @param callback receives the lease, or why there is none
     */
    void provide(Consumer<StoreResult<StoreLease>> callback) {
        if (lastsLongEnough(latest)) {
            callback.accept(latest);
            return;
        }
        waiting.add(callback);
        if (waiting.size() == 1) {
            long sentAtMillis = runtime.nowMillis();
            store.grantLease(LEASE_MILLIS, result -> onGranted(sentAtMillis, result));
        }
    }

    /** Forgets the lease, since the store no longer has it. */
    void discard() {
        latest = StoreResult.failed(StoreStatus.ABSENT, "the lease has ended");
    }

    /**
     * Passes on the result of a request.
     *
     * @param sentAtMillis when the request was sent, in milliseconds
     * @param result the result
     */
    private void onGranted(long sentAtMillis, StoreResult<StoreLease> result) {
        requestedAtMillis = sentAtMillis;
        boolean granted = result.status() == StoreStatus.OK;
        latest =
                granted && !lastsLongEnough(result)
                        ? StoreResult.failed(StoreStatus.REFUSED, "the lease is too short")
                        : result;
        log.log("tombstones.lease", "status", latest.status(), "reason", latest.reason());
        List<Consumer<StoreResult<StoreLease>>> callbacks = List.copyOf(waiting);
        waiting.clear();
        callbacks.forEach(callback -> callback.accept(latest));
    }

    /**
     * Returns whether a tombstone under a lease lasts long enough if it is written now.
     *
     * @param result the result of the last request
     * @return whether there is a lease, which does not end too soon
     */
    private boolean lastsLongEnough(StoreResult<StoreLease> result) {
        return result.status() == StoreStatus.OK
                && requestedAtMillis + result.require().ttlMillis() - runtime.nowMillis()
                        >= SHORTEST_LIFE_MILLIS;
    }
}
