package org.damasktiller.node.caller;

import java.util.function.Consumer;
import org.damasktiller.node.cluster.Cluster;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.StoredValueCodec;
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
 * Tells the state of submissions and cancels them. A submission is reported as unknown only after a
 * linearizable read; a cancellation is one write on condition that the record has not changed.
 */
public final class SubmissionQuestions {

    /** The pause before a call is sent again, in milliseconds. */
    private static final long RETRY_MILLIS = 80;

    /** How long a silent store is asked, in milliseconds: one call's timeout and half another. */
    private static final long SILENCE_MILLIS = 1_500;

    /** How long before the caller's deadline the answer is due, in milliseconds. */
    private static final long MARGIN_MILLIS = 150;

    /** The store. */
    private final MetadataStore store;

    /** The cells that this process owns. */
    private final Cluster cluster;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates the answers.
     *
     * @param store the store
     * @param cluster the cells that this process owns
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
     * Tells the state of a submission.
     *
     * @param request the request
     * @param answer takes the answer
     */
    void state(CallerRequest request, Consumer<CallerAnswer> answer) {
        read(request, false, bounded(request, false, answer));
    }

    /**
     * Cancels a submission.
     *
     * @param request the request
     * @param answer takes the answer
     */
    void cancel(CallerRequest request, Consumer<CallerAnswer> answer) {
        read(request, true, bounded(request, true, answer));
    }

    /**
     * Answers once, and at the latest when the caller may as well ask another VM.
     *
     * @param request the request
     * @param cancel whether the submission is to be cancelled
     * @param answer takes the answer
     * @return takes the first answer and drops others
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
                () -> once.accept(CallerAnswer.outcomeUnknown("the store did not answer in time")));
        return once;
    }

    /**
     * Reads the record of a submission.
     *
     * @param request the request
     * @param cancel whether the submission is to be cancelled
     * @param answer takes the answer
     */
    private void read(CallerRequest request, boolean cancel, Consumer<CallerAnswer> answer) {
        store.read(
                CellKeys.submission(request.id()),
                result -> onRecord(request, cancel, answer, result));
    }

    /**
     * Takes the record of a submission.
     *
     * @param request the request
     * @param cancel whether the submission is to be cancelled
     * @param answer takes the answer
     * @param result the reading
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
                item == null ? null : StoredValueCodec.decode(item.value(), SubmissionRecord.class);
        if (item == null || record == null) {
            again(request, cancel, answer, result.status());
        } else if (record.state().isFinal() || !cancel) {
            answer.accept(CallerAnswer.state(present(request, record)));
        } else {
            write(request, answer, record, item.revision());
        }
    }

    /**
     * Returns the state to tell.
     *
     * @param request the request
     * @param record the stored record
     * @return the state
     */
    private SubmissionState present(CallerRequest request, SubmissionRecord record) {
        if (record.state().isFinal()) {
            return record.state();
        }
        SubmissionState known = cluster.state(record.cell(), request.id());
        return known == null || known.isFinal() ? SubmissionState.RUNNING : known;
    }

    /**
     * Writes a cancellation.
     *
     * @param request the request
     * @param answer takes the answer
     * @param record the stored record
     * @param revision its revision
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
                        .put(CellKeys.submission(request.id()), StoredValueCodec.encode(cancelled))
                        .remove(CellKeys.openSubmissionsPrefix(record.cell()) + request.id());
        store.commit(commit, result -> onCancelled(request, answer, result));
    }

    /**
     * Takes the answer to a cancellation.
     *
     * @param request the request
     * @param answer takes the answer
     * @param result the answer of the store
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
     * Reads again, or gives up shortly before the caller's deadline.
     *
     * @param request the request
     * @param cancel whether the submission is to be cancelled
     * @param answer takes the answer
     * @param status how the last call ended
     */
    private void again(
            CallerRequest request,
            boolean cancel,
            Consumer<CallerAnswer> answer,
            StoreStatus status) {
        if (runtime.nowMillis() + RETRY_MILLIS < request.deadlineMillis() - MARGIN_MILLIS) {
            runtime.schedule(RETRY_MILLIS, () -> read(request, cancel, answer));
        } else {
            answer.accept(CallerAnswer.outcomeUnknown("the store did not answer, " + status));
        }
    }

    /**
     * Writes a line for a cancellation or a question that could not be answered.
     *
     * @param request the request
     * @param cancel whether the submission was to be cancelled
     * @param outcome the answer
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
