package org.damasktiller.standin.metadata;

import java.util.function.Consumer;
import java.util.function.Supplier;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreChanges;
import org.damasktiller.scheduler.port.StoreLease;
import org.damasktiller.scheduler.port.StorePage;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;

/**
 * The connection of one process to an {@link InMemoryStore}. Each call has a network latency and
 * the fault that a {@link FaultPlan} decides for it.
 */
public final class FaultInjectingStoreClient implements MetadataStore {

    /** The network latency in each direction, in milliseconds. */
    private static final long ONE_WAY_LATENCY_MILLIS = 2;

    /** The additional time that the answer to a listing takes, in milliseconds. */
    private static final long LISTING_DELAY_MILLIS = 12;

    /** The time after which a call without an answer fails, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** The delay after which a late call is executed, in milliseconds. */
    private static final long LATE_CALL_DELAY_MILLIS = 3_000;

    /** The interval at which a watch checks for changes, in milliseconds. */
    private static final long POLL_INTERVAL_MILLIS = 5;

    /** The store. */
    private final InMemoryStore store;

    /** The clock and timers of the process. */
    private final ProcessRuntime runtime;

    /** Decides which calls fail and how. */
    private final FaultPlan faults;

    /** Whether the process was killed: it sends no further calls and receives no answers. */
    private boolean killed;

    /**
     * Creates the connection of a process.
     *
     * @param store the store
     * @param runtime the clock and timers of the process
     * @param faults decides which calls fail and how
     */
    public FaultInjectingStoreClient(
            InMemoryStore store, ProcessRuntime runtime, FaultPlan faults) {
        this.store = store;
        this.runtime = runtime;
        this.faults = faults;
    }

    /** Kills the process: it sends no further calls and receives no answers. */
    public void kill() {
        killed = true;
    }

    @Override
    public void read(String key, Consumer<StoreResult<StoreReading>> callback) {
        call("read", () -> store.read(key), callback);
    }

    @Override
    public void list(String prefix, String after, Consumer<StoreResult<StorePage>> callback) {
        call(
                "list",
                () -> StoreResult.ok(store.list(prefix, after)),
                result ->
                        runtime.schedule(
                                LISTING_DELAY_MILLIS,
                                () -> {
                                    if (!killed) {
                                        callback.accept(result);
                                    }
                                }));
    }

    @Override
    public void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<StoreResult<StoreChanges>> callback) {
        long deadlineMillis = runtime.nowMillis() + waitMillis;
        if (faults.faultFor("watch " + prefix) == CallFault.ANSWERED) {
            awaitChanges(prefix, afterRevision, deadlineMillis, callback);
        } else if (!killed) {
            failAfterTimeout(callback);
        }
    }

    @Override
    public void commit(StoreTransaction transaction, Consumer<StoreResult<CommitReply>> callback) {
        if (!killed) {
            call(faults.faultForCommit(transaction), () -> store.commit(transaction), callback);
        }
    }

    @Override
    public void grantLease(long ttlMillis, Consumer<StoreResult<StoreLease>> callback) {
        call("grant", () -> StoreResult.ok(store.grantLease(ttlMillis)), callback);
    }

    @Override
    public void renewLease(long lease, Consumer<StoreResult<Boolean>> callback) {
        call(
                "keep",
                () ->
                        store.renewLease(lease)
                                ? StoreResult.ok(true)
                                : StoreResult.failed(StoreStatus.ABSENT, "lease has ended"),
                callback);
    }

    @Override
    public void revokeLease(long lease, Consumer<StoreResult<Boolean>> callback) {
        call(
                "end",
                () -> {
                    store.revokeLease(lease);
                    return StoreResult.ok(true);
                },
                callback);
    }

    /**
     * Checks for changes repeatedly until there are any or the time is up, and delivers them.
     *
     * @param prefix the prefix of the keys
     * @param after the revision after which changes are reported
     * @param deadlineMillis when to stop waiting, in milliseconds
     * @param callback receives the changes
     */
    private void awaitChanges(
            String prefix,
            long after,
            long deadlineMillis,
            Consumer<StoreResult<StoreChanges>> callback) {
        if (killed) {
            return;
        }
        StoreResult<StoreChanges> found = store.changes(prefix, after);
        boolean empty = found.status() == StoreStatus.OK && found.require().events().isEmpty();
        if (empty && runtime.nowMillis() < deadlineMillis) {
            runtime.schedule(
                    POLL_INTERVAL_MILLIS,
                    () -> awaitChanges(prefix, after, deadlineMillis, callback));
        } else {
            deliver(found, callback);
        }
    }

    /**
     * Makes a call, with the fault that the plan decides for it.
     *
     * @param name the kind of the call, by which the plan decides
     * @param operation executes the call on the store
     * @param callback receives the result
     * @param <T> the type of the returned value
     */
    private <T> void call(
            String name, Supplier<StoreResult<T>> operation, Consumer<StoreResult<T>> callback) {
        if (!killed) {
            call(faults.faultFor(name), operation, callback);
        }
    }

    /**
     * Makes a call with a fault.
     *
     * @param fault the fault
     * @param operation executes the call on the store
     * @param callback receives the result
     * @param <T> the type of the returned value
     */
    private <T> void call(
            CallFault fault,
            Supplier<StoreResult<T>> operation,
            Consumer<StoreResult<T>> callback) {
        switch (fault) {
            case ANSWERED ->
                    runtime.schedule(
                            ONE_WAY_LATENCY_MILLIS, () -> deliver(operation.get(), callback));
            case REFUSED -> deliver(StoreResult.failed(StoreStatus.REFUSED, "refused"), callback);
            case LOST -> failAfterTimeout(callback);
            case ANSWER_LOST -> {
                runtime.schedule(
                        ONE_WAY_LATENCY_MILLIS,
                        () -> {
                            StoreResult<T> unused = operation.get();
                        });
                failAfterTimeout(callback);
            }
            default -> {
                runtime.schedule(
                        LATE_CALL_DELAY_MILLIS,
                        () -> {
                            StoreResult<T> unused = operation.get();
                        });
                failAfterTimeout(callback);
            }
        }
    }

    /**
     * Fails a call with status UNKNOWN after the timeout.
     *
     * @param callback receives the result
     * @param <T> the type of the value that a successful call returns
     */
    private <T> void failAfterTimeout(Consumer<StoreResult<T>> callback) {
        runtime.schedule(
                TIMEOUT_MILLIS,
                () -> deliver(StoreResult.failed(StoreStatus.UNKNOWN, "no answer"), callback));
    }

    /**
     * Delivers a result after the network latency, unless the process is killed before it arrives.
     *
     * @param result the result
     * @param callback receives the result
     * @param <T> the type of the returned value
     */
    private <T> void deliver(StoreResult<T> result, Consumer<StoreResult<T>> callback) {
        runtime.schedule(
                ONE_WAY_LATENCY_MILLIS,
                () -> {
                    if (!killed) {
                        callback.accept(result);
                    }
                });
    }
}
