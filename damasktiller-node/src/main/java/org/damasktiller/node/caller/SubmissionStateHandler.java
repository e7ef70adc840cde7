package org.damasktiller.node.caller;

import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.CancelTransaction;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.cell.SubmissionTombstone;
import org.damasktiller.scheduler.cell.TombstoneCause;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/**
 * Handles state queries and cancellations of submissions. A submission is reported as unknown only
 * after a linearizable read. A cancellation is one transaction, on the condition that the record
 * has not changed since it was read; a submission without a record gets a tombstone, so that no
 * write of it that is still on its way takes effect.
 */
public final class SubmissionStateHandler {

    /** The delay before a failed call to the store is retried, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 80;

    /**
     * How long to wait for the store before the outcome is reported as unknown, in milliseconds:
     * 1.5 times the timeout of a call to the store.
     */
    private static final long NO_RESPONSE_TIMEOUT_MILLIS = 1_500;

    /** The store. */
    private final MetadataStore store;

    /** Returns the state of a submission in a cell that this process owns, null for others. */
    private final BiFunction<String, String, @Nullable SubmissionState> ownerStates;

    /** Stores cancellations of submissions that are not stored. */
    private final TombstoneWriter tombstones;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates a handler.
     *
     * @param store the store
     * @param ownerStates returns the state of a submission, by the name of its cell and its
     *     identifier, or null if this process does not own the cell or does not know the submission
     * @param runtime the clock and the timers
     * @param log the log
     */
    public SubmissionStateHandler(
            MetadataStore store,
            BiFunction<String, String, @Nullable SubmissionState> ownerStates,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.store = store;
        this.ownerStates = ownerStates;
        this.tombstones = new TombstoneWriter(store, runtime, log);
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Responds with the state of a submission.
     *
     * @param request the request
     * @param callback the callback for the response, called exactly once
     */
    void queryState(CallerRequest request, Consumer<CallerResponse> callback) {
        readRecord(request, false, withTimeout(request, false, callback));
    }

    /**
     * Cancels a submission. The response holds the final state, which is not CANCELLED if the
     * submission has already ended.
     *
     * @param request the request
     * @param callback the callback for the response, called exactly once
     */
    void cancel(CallerRequest request, Consumer<CallerResponse> callback) {
        readRecord(request, true, withTimeout(request, true, callback));
    }

    /**
     * Limits the time until the response. If there is none by then, the caller learns that the
     * outcome is unknown and can try another VM.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param callback the callback for the response
     * @return a callback that passes on the first response and drops later ones
     */
    private Consumer<CallerResponse> withTimeout(
            CallerRequest request, boolean cancel, Consumer<CallerResponse> callback) {
        boolean[] responded = new boolean[1];
        Consumer<CallerResponse> respondOnce =
                response -> {
                    if (!responded[0]) {
                        responded[0] = true;
                        log(request, cancel, response);
                        callback.accept(response);
                    }
                };
        long remainingMillis = request.latestResponseMillis() - runtime.nowMillis();
        runtime.schedule(
                Math.max(0, Math.min(remainingMillis, NO_RESPONSE_TIMEOUT_MILLIS)),
                () ->
                        respondOnce.accept(
                                CallerResponse.outcomeUnknown(
                                        "the store did not respond in time")));
        return respondOnce;
    }

    /**
     * Reads the record of a submission from the store.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param callback the callback for the response
     */
    private void readRecord(
            CallerRequest request, boolean cancel, Consumer<CallerResponse> callback) {
        store.read(
                CellKeys.submission(request.id()),
                result -> onRecord(request, cancel, callback, result));
    }

    /**
     * Responds to a state query, or writes the cancellation of a submission that has not ended.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param callback the callback for the response
     * @param result the result of the read
     */
    private void onRecord(
            CallerRequest request,
            boolean cancel,
            Consumer<CallerResponse> callback,
            StoreResult<StoreReading> result) {
        if (result.status() == StoreStatus.ABSENT) {
            onUnknown(request, cancel, callback, StoreItem.ABSENT);
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        SubmissionRecord record =
                item == null ? null : StoredValueCodec.decode(item.value(), SubmissionRecord.class);
        if (item == null || record == null) {
            retryOrRespond(request, cancel, callback, result.status());
        } else if (SubmissionTombstone.isTombstone(record)) {
            onUnknown(request, cancel, callback, item.revision());
        } else if (record.state().isFinal() || !cancel) {
            callback.accept(CallerResponse.state(reportedState(request, record)));
        } else {
            writeCancellation(request, callback, record, item.revision(), null, StoreItem.ABSENT);
        }
    }

    /**
     * Responds that a submission is not stored, in the case of a cancellation once a tombstone
     * ensures that it will not be. A tombstone that is there already is replaced, since it may end
     * before a write that was sent after it takes effect.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param callback the callback for the response
     * @param revision the revision of the tombstone that was read, or {@link StoreItem#ABSENT}
     */
    private void onUnknown(
            CallerRequest request,
            boolean cancel,
            Consumer<CallerResponse> callback,
            long revision) {
        if (!cancel) {
            callback.accept(CallerResponse.unknownSubmission());
            return;
        }
        tombstones.write(
                request.id(),
                revision,
                TombstoneCause.CANCELLED,
                result -> {
                    if (result.status() == StoreStatus.OK) {
                        callback.accept(CallerResponse.unknownSubmission());
                    } else {
                        retryOrRespond(request, true, callback, result.status());
                    }
                });
    }

    /**
     * Reads which cells have parts of a submission, after a cancellation has conflicted, and then
     * the record again.
     *
     * @param request the request
     * @param callback the callback for the response
     */
    private void readParts(CallerRequest request, Consumer<CallerResponse> callback) {
        store.read(
                CellKeys.parts(request.id()),
                result -> {
                    StoreItem item =
                            result.status() == StoreStatus.OK ? result.require().item() : null;
                    PartsRecord parts =
                            item == null
                                    ? null
                                    : StoredValueCodec.decode(item.value(), PartsRecord.class);
                    if (item != null && parts != null) {
                        cancelParts(request, callback, parts, item.revision());
                    } else {
                        log.log("parts.unread", "id", request.id(), "status", result.status());
                        retryOrRespond(request, true, callback, result.status());
                    }
                });
    }

    /**
     * Cancels a submission in all cells that have a part of it, unless it has ended.
     *
     * @param request the request
     * @param callback the callback for the response
     * @param parts the cells that have parts
     * @param partsRevision the revision of the record of these cells
     */
    private void cancelParts(
            CallerRequest request,
            Consumer<CallerResponse> callback,
            PartsRecord parts,
            long partsRevision) {
        store.read(
                CellKeys.submission(request.id()),
                result -> {
                    StoreItem item =
                            result.status() == StoreStatus.OK ? result.require().item() : null;
                    SubmissionRecord record =
                            item == null
                                    ? null
                                    : StoredValueCodec.decode(item.value(), SubmissionRecord.class);
                    if (item == null || record == null) {
                        retryOrRespond(request, true, callback, result.status());
                    } else if (record.state().isFinal()) {
                        callback.accept(CallerResponse.state(record.state()));
                    } else {
                        writeCancellation(
                                request, callback, record, item.revision(), parts, partsRevision);
                    }
                });
    }

    /**
     * Returns the state to report. The record says QUEUED until the submission ends; if it has not
     * ended, the state comes from the owner of the cell.
     *
     * @param request the request
     * @param record the stored record
     * @return the state; RUNNING if another process owns the cell, if the owner does not know the
     *     submission, or if the owner has seen the end but has not stored it
     */
    private SubmissionState reportedState(CallerRequest request, SubmissionRecord record) {
        if (record.state().isFinal()) {
            return record.state();
        }
        SubmissionState ownerState = ownerStates.apply(record.cell(), request.id());
        return ownerState == null || ownerState.isFinal() ? SubmissionState.RUNNING : ownerState;
    }

    /**
     * Stores a cancellation.
     *
     * @param request the request
     * @param callback the callback for the response
     * @param record the stored record
     * @param revision the revision of the record, which must not have changed
     * @param parts the cells that have parts, or null if no task is known to have moved
     * @param partsRevision the revision of the record of these cells, or {@link StoreItem#ABSENT}
     */
    private void writeCancellation(
            CallerRequest request,
            Consumer<CallerResponse> callback,
            SubmissionRecord record,
            long revision,
            @Nullable PartsRecord parts,
            long partsRevision) {
        SubmissionRecord cancelledRecord =
                new SubmissionRecord(
                        record.cell(),
                        record.route(),
                        SubmissionState.CANCELLED,
                        runtime.unixMillis());
        StoreTransaction commit =
                CancelTransaction.create(
                        request.id(), cancelledRecord, revision, parts, partsRevision);
        store.commit(commit, result -> onCancellationResult(request, callback, result));
    }

    /**
     * Handles the result of a cancellation. After a failure the record is read again, which also
     * shows whether a write without a response has been applied.
     *
     * @param request the request
     * @param callback the callback for the response
     * @param result the store's response
     */
    private void onCancellationResult(
            CallerRequest request,
            Consumer<CallerResponse> callback,
            StoreResult<CommitReply> result) {
        if (result.status() == StoreStatus.OK) {
            callback.accept(CallerResponse.state(SubmissionState.CANCELLED));
        } else if (result.status() == StoreStatus.CONFLICT) {
            readParts(request, callback);
        } else {
            retryOrRespond(request, true, callback, result.status());
        }
    }

    /**
     * Schedules another read, or responds that the outcome is unknown if the caller's deadline is
     * too close for one.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param callback the callback for the response
     * @param status the result of the last call to the store
     */
    private void retryOrRespond(
            CallerRequest request,
            boolean cancel,
            Consumer<CallerResponse> callback,
            StoreStatus status) {
        if (runtime.nowMillis() + RETRY_DELAY_MILLIS < request.latestResponseMillis()) {
            runtime.schedule(RETRY_DELAY_MILLIS, () -> readRecord(request, cancel, callback));
        } else {
            callback.accept(
                    CallerResponse.outcomeUnknown(
                            "the call to the store failed with status " + status));
        }
    }

    /**
     * Logs each cancellation, and each state query that failed.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param response the response
     */
    private void log(CallerRequest request, boolean cancel, CallerResponse response) {
        if (cancel || response.retryAfterSeconds() > 0) {
            log.log(
                    cancel ? "cancel.answered" : "question.failed",
                    "id",
                    request.id(),
                    "route",
                    request.route().name(),
                    "status",
                    response.status());
        }
    }
}
