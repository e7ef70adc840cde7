package org.damasktiller.standin.store;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.Reactor;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.damasktiller.error.DamasktillerException;
import org.damasktiller.error.ErrorCode;
import org.damasktiller.error.Outcome;
import org.damasktiller.error.Step;
import org.damasktiller.store.KeyValueStore;
import org.damasktiller.store.StoredValue;
import org.damasktiller.store.SwapRequest;
import org.damasktiller.store.SwapResult;

/**
 * Serves a {@link StoreState} in memory on a reactor, with watches and faults. Used on its
 * reactor's thread only.
 */
public final class StoreService implements KeyValueStore {

    /** The reactor that gives the time and the timers. */
    private final Reactor reactor;

    /** The keys and leases. */
    private final StoreState state;

    /** The watches that wait for a write. */
    private final List<Watch> watches = new ArrayList<>();

    /** The present faults. */
    private StoreFaults faults = StoreFaults.NONE;

    /**
     * Creates a service.
     *
     * @param reactor the reactor that gives the time and the timers
     * @param state the keys and leases
     */
    public StoreService(Reactor reactor, StoreState state) {
        this.reactor = reactor;
        this.state = state;
    }

    /**
     * Changes how the service misbehaves.
     *
     * @param value the faults from now on
     */
    public void setFaults(StoreFaults value) {
        faults = value;
    }

    /**
     * Returns the keys and leases.
     *
     * @return the state
     */
    public StoreState state() {
        return state;
    }

    @Override
    public Promise<Optional<StoredValue>> get(String key) {
        return answer(() -> state.get(key, now()));
    }

    @Override
    public Promise<List<StoredValue>> list(String prefix) {
        return answer(() -> state.list(prefix, now()));
    }

    @Override
    public Promise<SwapResult> compareAndSwap(SwapRequest request) {
        return answer(() -> state.compareAndSwap(request, now()));
    }

    @Override
    public Promise<Long> grantLease(long durationMillis) {
        return answer(() -> state.grantLease(durationMillis, now()));
    }

    @Override
    public Promise<Boolean> renewLease(long leaseId) {
        return answer(() -> state.renewLease(leaseId, now()));
    }

    @Override
    public Promise<Void> revokeLease(long leaseId) {
        return answer(
                        () -> {
                            state.revokeLease(leaseId, now());
                            return true;
                        })
                .toVoid();
    }

    @Override
    public Promise<List<StoredValue>> watch(String prefix, long afterRevision, long timeoutMillis) {
        if (faults.down()) {
            return unavailable();
        }
        List<StoredValue> changed = state.changedSince(prefix, afterRevision, now());
        if (!changed.isEmpty()) {
            return Promise.of(changed);
        }
        Watch watch = new Watch(prefix, afterRevision, new SettablePromise<>());
        watches.add(watch);
        reactor.delayBackground(timeoutMillis, () -> finish(watch, List.of()));
        return watch.promise;
    }

    /**
     * Carries out a call under the present faults, then serves the watches.
     *
     * @param call the call
     * @param <T> the type of the answer
     * @return the answer
     */
    private <T> Promise<T> answer(Supplier<T> call) {
        StoreFaults present = faults;
        if (present.down()) {
            return unavailable();
        }
        T result;
        try {
            result = call.get();
        } catch (DamasktillerException exception) {
            return Promise.ofException(exception);
        }
        serveWatches();
        if (present.losesAnswers()) {
            return unavailable();
        }
        if (present.delayMillis() == 0) {
            return Promise.of(result);
        }
        return Promises.delay(reactor, present.delayMillis(), result);
    }

    /** Answers the watches whose keys have been written. */
    private void serveWatches() {
        for (Watch watch : List.copyOf(watches)) {
            List<StoredValue> changed =
                    state.changedSince(watch.prefix, watch.afterRevision, now());
            if (!changed.isEmpty()) {
                finish(watch, changed);
            }
        }
    }

    /**
     * Answers a watch if it still waits.
     *
     * @param watch the watch
     * @param values the values written
     */
    private void finish(Watch watch, List<StoredValue> values) {
        if (watches.remove(watch)) {
            watch.promise.set(values);
        }
    }

    /**
     * Returns the reactor's time.
     *
     * @return the time, in milliseconds
     */
    private long now() {
        return reactor.currentTimeMillis();
    }

    /**
     * Makes the failure of a call without an answer.
     *
     * @param <T> the type of the answer
     * @return the failed promise
     */
    private static <T> Promise<T> unavailable() {
        return Promise.ofException(
                new DamasktillerException(
                        ErrorCode.STORE_UNAVAILABLE,
                        Step.COMMIT,
                        "store",
                        Outcome.OUTCOME_UNKNOWN,
                        "no answer from the store"));
    }

    /** A watch that waits for a write. */
    private static final class Watch {

        /** The prefix of the keys. */
        private final String prefix;

        /** The revision known to the watcher. */
        private final long afterRevision;

        /** The promise to the watcher. */
        private final SettablePromise<List<StoredValue>> promise;

        /**
         * Creates a watch.
         *
         * @param prefix the prefix of the keys
         * @param afterRevision the revision known to the watcher
         * @param promise the promise to the watcher
         */
        private Watch(
                String prefix, long afterRevision, SettablePromise<List<StoredValue>> promise) {
            this.prefix = prefix;
            this.afterRevision = afterRevision;
            this.promise = promise;
        }
    }
}
