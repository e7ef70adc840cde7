package org.damasktiller.node.caller;

import java.util.function.Consumer;
import org.damasktiller.node.cluster.Cluster;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.StoredValues;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.Commit;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Handles state queries and cancellations of submissions. A submission is reported as unknown only
 * after a linearizable read. A cancellation is one transaction, on the condition that the record
 * has not changed since it was read.
 */
public final class SubmissionQuestions {

    /** The delay before a failed call to the store is retried, in milliseconds. */
    private static final long RETRY_MILLIS = 80;

    /**
     * How long to wait for the store before the outcome is reported as unknown, in milliseconds:
     * 1.5 times the timeout of a call to the store.
     */
    private static final long SILENCE_MILLIS = 1_500;

    /** How long before the caller's deadline the response is sent, in milliseconds. */
    private static final long MARGIN_MILLIS = 150;

    /** The store. */
    private final MetadataStore store;

    /** Knows the current states of submissions in the cells that this process owns. */
    private final Cluster cluster;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates a handler.
     *
     * @param store the store
     * @param cluster knows the current states of submissions in the cells that this process owns
     * @param runtime the clock and the timers
     * @param log the log
     */
    public SubmissionQuestions(
            MetadataStore store, Cluster cluster, ProcessRuntime runtime, DecisionLog log) {
        this.store = store;
        this.cluster = cluster;
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Responds with the state of a submission.
     *
     * @param request the request
     * @param answer the callback for the response, called exactly once
     */
    void state(CallerRequest request, Consumer<CallerAnswer> answer) {
        read(request, false, bounded(request, false, answer));
    }

    /**
     * Cancels a submission. The response holds the final state, which is not CANCELLED if the
     * submission has already ended.
     *
     * @param request the request
     * @param answer the callback for the response, called exactly once
     */
    void cancel(CallerRequest request, Consumer<CallerAnswer> answer) {
        read(request, true, bounded(request, true, answer));
    }

    /**
     * Limits the time until the response. If there is none by then, the caller learns that the
     * outcome is unknown and can try another VM.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param answer the callback for the response
     * @return a callback that passes on the first response and drops later ones
     */
    private Consumer<CallerAnswer> bounded(
            CallerRequest request, boolean cancel, Consumer<CallerAnswer> answer) {
        boolean[] answered = new boolean[1];
        Consumer<CallerAnswer> once =
                outcome -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        log(request, cancel, outcome);
                        answer.accept(outcome);
                    }
                };
        long left = request.deadlineMillis() - MARGIN_MILLIS - runtime.nowMillis();
        runtime.schedule(
                Math.max(0, Math.min(left, SILENCE_MILLIS)),
                () ->
                        once.accept(
                                CallerAnswer.outcomeUnknown("the store did not respond in time")));
        return once;
    }

    /**
     * Reads the record of a submission from the store.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param answer the callback for the response
     */
    private void read(CallerRequest request, boolean cancel, Consumer<CallerAnswer> answer) {
        store.read(
                CellKeys.submission(request.id()),
                result -> onRecord(request, cancel, answer, result));
    }

    /**
     * Responds to a state query, or writes the cancellation of a submission that has not ended.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param answer the callback for the response
     * @param result the result of the read
     */
    private void onRecord(
            CallerRequest request,
            boolean cancel,
            Consumer<CallerAnswer> answer,
            StoreResult<StoreReading> result) {
        if (result.status() == StoreStatus.ABSENT) {
            answer.accept(CallerAnswer.unknownSubmission());
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        SubmissionRecord record =
                item == null ? null : StoredValues.read(item.value(), SubmissionRecord.class);
        if (item == null || record == null) {
            again(request, cancel, answer, result.status());
        } else if (record.state().isFinal() || !cancel) {
            answer.accept(CallerAnswer.state(present(request, record)));
        } else {
            write(request, answer, record, item.revision());
        }
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
    private SubmissionState present(CallerRequest request, SubmissionRecord record) {
        if (record.state().isFinal()) {
            return record.state();
        }
        SubmissionState known = cluster.state(record.cell(), request.id());
        return known == null || known.isFinal() ? SubmissionState.RUNNING : known;
    }

    /**
     * Stores a cancellation.
     *
     * @param request the request
     * @param answer the callback for the response
     * @param record the stored record
     * @param revision the revision of the record, which must not have changed
     */
    private void write(
            CallerRequest request,
            Consumer<CallerAnswer> answer,
            SubmissionRecord record,
            long revision) {
        SubmissionRecord cancelled =
                new SubmissionRecord(
                        record.cell(),
                        record.route(),
                        SubmissionState.CANCELLED,
                        runtime.unixMillis());
        Commit commit =
                new Commit()
                        .expect(CellKeys.submission(request.id()), revision)
                        .put(CellKeys.submission(request.id()), StoredValues.write(cancelled))
                        .remove(CellKeys.inbox(record.cell()) + request.id());
        store.commit(commit, result -> onCancelled(request, answer, result));
    }

    /**
     * Handles the result of a cancellation.
     *
     * @param request the request
     * @param answer the callback for the response
     * @param result the store's response
     */
    private void onCancelled(
            CallerRequest request, Consumer<CallerAnswer> answer, StoreResult<CommitReply> result) {
        if (result.status() == StoreStatus.OK) {
            answer.accept(CallerAnswer.state(SubmissionState.CANCELLED));
        } else {
            again(request, true, answer, result.status());
        }
    }

    /**
     * Schedules another read, or responds that the outcome is unknown if the caller's deadline is
     * too close for one.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param answer the callback for the response
     * @param status the result of the last call to the store
     */
    private void again(
            CallerRequest request,
            boolean cancel,
            Consumer<CallerAnswer> answer,
            StoreStatus status) {
        if (runtime.nowMillis() + RETRY_MILLIS < request.deadlineMillis() - MARGIN_MILLIS) {
            runtime.schedule(RETRY_MILLIS, () -> read(request, cancel, answer));
        } else {
            answer.accept(
                    CallerAnswer.outcomeUnknown(
                            "the call to the store failed with status " + status));
        }
    }

    /**
     * Logs each cancellation, and each state query that failed.
     *
     * @param request the request
     * @param cancel whether the request is a cancellation
     * @param outcome the response
     */
    private void log(CallerRequest request, boolean cancel, CallerAnswer outcome) {
        if (cancel || outcome.retryAfterSeconds() > 0) {
            log.log(
                    cancel ? "cancel.answered" : "question.failed",
                    "id",
                    request.id(),
                    "route",
                    request.route().name(),
                    "status",
                    outcome.status());
        }
    }
}
