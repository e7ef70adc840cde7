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
 * The connection of one process to a {@link StoreModel}. Calls take time, and a plan decides which
 * of them fail and how.
 */
public final class StoreClient implements MetadataStore {

    /** The network latency in each direction, in milliseconds. */
    private static final long ONE_WAY_MILLIS = 2;

    /** The additional time that the answer to a listing takes, in milliseconds. */
    private static final long PAGE_MILLIS = 12;

    /** The time after which a call without an answer fails, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** The delay after which a late call is executed, in milliseconds. */
    private static final long LATE_MILLIS = 3_000;

    /** The interval at which a watch checks for changes, in milliseconds. */
    private static final long POLL_MILLIS = 5;

    /** The store. */
    private final StoreModel model;

    /** The clock and timers of the process. */
    private final ProcessRuntime runtime;

    /** Decides which calls fail and how. */
    private final FatePlan fates;

    /** Whether the process was killed: it sends no further calls and receives no answers. */
    private boolean dead;

    /**
     * Creates the connection of a process.
     *
     * @param model the store
     * @param runtime the clock and timers of the process
     * @param fates decides which calls fail and how
     */
    public StoreClient(StoreModel model, ProcessRuntime runtime, FatePlan fates) {
        this.model = model;
        this.runtime = runtime;
        this.fates = fates;
    }

    /** Kills the process: it sends no further calls and receives no answers. */
    public void kill() {
        dead = true;
    }

    @Override
    public void read(String key, Consumer<StoreResult<StoreReading>> answer) {
        call("read", () -> model.read(key), answer);
    }

    @Override
    public void list(String prefix, String after, Consumer<StoreResult<StorePage>> answer) {
        call(
                "list",
                () -> StoreResult.ok(model.list(prefix, after)),
                result ->
                        runtime.schedule(
                                PAGE_MILLIS,
                                () -> {
                                    if (!dead) {
                                        answer.accept(result);
                                    }
                                }));
    }

    @Override
    public void watch(
            String prefix,
            long afterRevision,
            long waitMillis,
            Consumer<StoreResult<StoreChanges>> answer) {
        long latest = runtime.nowMillis() + waitMillis;
        if (fates.decide("watch " + prefix) == CallFate.ANSWERED) {
            poll(prefix, afterRevision, latest, answer);
        } else if (!dead) {
            timeOut(answer);
        }
    }

    @Override
    public void commit(StoreTransaction commit, Consumer<StoreResult<CommitReply>> answer) {
        call("commit", () -> model.commit(commit), answer);
    }

    @Override
    public void grantLease(long ttlMillis, Consumer<StoreResult<StoreLease>> answer) {
        call("grant", () -> StoreResult.ok(model.grant(ttlMillis)), answer);
    }

    @Override
    public void renewLease(long lease, Consumer<StoreResult<Boolean>> answer) {
        call(
                "keep",
                () ->
                        model.keep(lease)
                                ? StoreResult.ok(true)
                                : StoreResult.failed(StoreStatus.ABSENT, "lease has ended"),
                answer);
    }

    @Override
    public void revokeLease(long lease, Consumer<StoreResult<Boolean>> answer) {
        call(
                "end",
                () -> {
                    model.end(lease);
                    return StoreResult.ok(true);
                },
                answer);
    }

    /**
     * Checks for changes repeatedly until there are any or the time is up, and delivers them.
     *
     * @param prefix the prefix of the keys
     * @param after the revision after which changes are reported
     * @param latestMillis when to stop waiting, in milliseconds
     * @param answer receives the changes
     */
    private void poll(
            String prefix,
            long after,
            long latestMillis,
            Consumer<StoreResult<StoreChanges>> answer) {
        if (dead) {
            return;
        }
        StoreResult<StoreChanges> found = model.changes(prefix, after);
        boolean empty = found.status() == StoreStatus.OK && found.require().events().isEmpty();
        if (empty && runtime.nowMillis() < latestMillis) {
            runtime.schedule(POLL_MILLIS, () -> poll(prefix, after, latestMillis, answer));
        } else {
            deliver(found, answer);
        }
    }

    /**
     * Makes a call, with the fault that the plan decides for it.
     *
     * @param name the kind of the call, by which the plan decides
     * @param effect executes the call on the store
     * @param answer receives the result
     * @param <T> the type of the returned value
     */
    private <T> void call(
            String name, Supplier<StoreResult<T>> effect, Consumer<StoreResult<T>> answer) {
        if (dead) {
            return;
        }
        switch (fates.decide(name)) {
            case ANSWERED -> runtime.schedule(ONE_WAY_MILLIS, () -> deliver(effect.get(), answer));
            case REFUSED -> deliver(StoreResult.failed(StoreStatus.REFUSED, "refused"), answer);
            case LOST -> timeOut(answer);
            case ANSWER_LOST -> {
                runtime.schedule(
                        ONE_WAY_MILLIS,
                        () -> {
                            StoreResult<T> unused = effect.get();
                        });
                timeOut(answer);
            }
            default -> {
                runtime.schedule(
                        LATE_MILLIS,
                        () -> {
                            StoreResult<T> unused = effect.get();
                        });
                timeOut(answer);
            }
        }
    }

    /**
     * Fails a call with status UNKNOWN after the timeout.
     *
     * @param answer receives the result
     * @param <T> the type of the value that a successful call returns
     */
    private <T> void timeOut(Consumer<StoreResult<T>> answer) {
        runtime.schedule(
                TIMEOUT_MILLIS,
                () -> deliver(StoreResult.failed(StoreStatus.UNKNOWN, "no answer"), answer));
    }

    /**
     * Delivers a result after the network latency, unless the process is killed before it arrives.
     *
     * @param result the result
     * @param answer receives the result
     * @param <T> the type of the returned value
     */
    private <T> void deliver(StoreResult<T> result, Consumer<StoreResult<T>> answer) {
        runtime.schedule(
                ONE_WAY_MILLIS,
                () -> {
                    if (!dead) {
                        answer.accept(result);
                    }
                });
    }
}
