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

/** One process's connection to a {@link StoreModel}, with delay and faults. */
public final class StoreClient implements MetadataStore {

    /** How long a call takes each way, in milliseconds. */
    private static final long ONE_WAY_MILLIS = 2;

    /** How much longer a page takes than a small answer, in milliseconds. */
    private static final long PAGE_MILLIS = 12;

    /** How long a client waits for an answer, in milliseconds. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** How late a late call is carried out, in milliseconds. */
    private static final long LATE_MILLIS = 3_000;

    /** The time between two looks of a watch, in milliseconds. */
    private static final long POLL_MILLIS = 5;

    /** The store. */
    private final StoreModel model;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** Decides what becomes of calls. */
    private final FatePlan fates;

    /** Whether the process is dead: nothing is sent or delivered any more. */
    private boolean dead;

    /**
     * Creates a connection.
     *
     * @param model the store
     * @param runtime the clock and the timers
     * @param fates decides what becomes of calls
     */
    public StoreClient(StoreModel model, ProcessRuntime runtime, FatePlan fates) {
        this.model = model;
        this.runtime = runtime;
        this.fates = fates;
    }

    /** Ends the process that has this connection. */
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
     * Looks for changes until there are some or the time is over.
     *
     * @param prefix the prefix
     * @param after the revision after which changes are wanted
     * @param latestMillis until when to look, in milliseconds
     * @param answer takes the changes
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
     * Makes a call.
     *
     * @param name the kind of the call
     * @param effect carries it out
     * @param answer takes the answer
     * @param <T> the type of what is returned
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
     * Ends a call without an answer.
     *
     * @param answer takes the result
     * @param <T> the type of what would have been returned
     */
    private <T> void timeOut(Consumer<StoreResult<T>> answer) {
        runtime.schedule(
                TIMEOUT_MILLIS,
                () -> deliver(StoreResult.failed(StoreStatus.UNKNOWN, "no answer"), answer));
    }

    /**
     * Delivers a result.
     *
     * @param result the result
     * @param answer takes it
     * @param <T> the type of what is returned
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
