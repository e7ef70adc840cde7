package org.damasktiller.node.caller;

import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.port.Commit;
import org.damasktiller.scheduler.port.CommitReply;
import org.damasktiller.scheduler.port.DecisionLog;
import org.damasktiller.scheduler.port.MetadataStore;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Accepts submissions with one write, on condition that none is stored under the identifier. A
 * write without an answer is sent again: it succeeds, or conflicts with the first that did. Once a
 * write has gone unanswered, the submission is never reported as not accepted.
 */
public final class SubmissionAcceptor {

    /** The pause before a write is sent again, in milliseconds. */
    private static final long RETRY_MILLIS = 80;

    /** How long a store that refuses is tried, in milliseconds: about one retry of a caller. */
    private static final long REFUSAL_MILLIS = 700;

    /**
     * How long a silent store is tried, in milliseconds: one call's timeout and half another. Then
     * the caller may ask another VM, which may reach the store.
     */
    private static final long SILENCE_MILLIS = 1_500;

    /** How long before the caller's deadline the answer is due, in milliseconds. */
    private static final long MARGIN_MILLIS = 150;

    /** The store. */
    private final MetadataStore store;

    /** The layout of the cells. */
    private final CellLayout layout;

    /** The zone of this process, whose cell takes the submissions. */
    private final String zone;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates an acceptor.
     *
     * @param store the store
     * @param layout the layout of the cells
     * @param zone the zone of this process
     * @param runtime the clock and the timers
     * @param log the log
     */
    public SubmissionAcceptor(
            MetadataStore store,
            CellLayout layout,
            String zone,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.store = store;
        this.layout = layout;
        this.zone = zone;
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Accepts a submission.
     *
     * @param request the request
     * @param submission the submission
     * @param answer takes the answer
     */
    void accept(CallerRequest request, Submission submission, Consumer<CallerAnswer> answer) {
        new Attempt(request, submission, answer).start();
    }

    /** The attempts to store one submission. */
    private final class Attempt {

        /** The request. */
        private final CallerRequest request;

        /** The cell that takes the submission. */
        private final String cell;

        /** The transaction. */
        private final Commit commit;

        /** Takes the answer. */
        private final Consumer<CallerAnswer> answer;

        /** When the first write was sent, in milliseconds. */
        private final long beganMillis;

        /** Whether a write has gone unanswered. */
        private boolean uncertain;

        /** Whether the caller has been answered. */
        private boolean answered;

        /**
         * Prepares the transaction.
         *
         * @param request the request
         * @param submission the submission
         * @param answer takes the answer
         */
        Attempt(CallerRequest request, Submission submission, Consumer<CallerAnswer> answer) {
            this.request = request;
            this.answer = answer;
            this.beganMillis = runtime.nowMillis();
            String service = request.route().service();
            this.cell = layout.cellOf(service, zone);
            long unixMillis = runtime.unixMillis();
            String route = request.route().name();
            byte[] record =
                    StoredValueCodec.encode(
                            new SubmissionRecord(cell, route, SubmissionState.QUEUED, unixMillis));
            byte[] accepted =
                    StoredValueCodec.encode(
                            new AcceptedSubmission(submission, route, service, unixMillis));
            String key = CellKeys.submission(request.id());
            this.commit =
                    new Commit()
                            .expect(key, StoreItem.ABSENT)
                            .put(key, record)
                            .put(CellKeys.openSubmissionsPrefix(cell) + request.id(), accepted);
        }

        /** Sends the transaction, and answers at the latest when its time is over. */
        void start() {
            long latest =
                    Math.min(
                            request.deadlineMillis() - MARGIN_MILLIS, beganMillis + SILENCE_MILLIS);
            runtime.schedule(
                    Math.max(0, latest - beganMillis),
                    () -> {
                        uncertain = true;
                        finish(
                                StoreStatus.UNKNOWN,
                                CallerAnswer.outcomeUnknown("the store did not answer in time"));
                    });
            send();
        }

        /** Sends the transaction. */
        private void send() {
            if (!answered) {
                store.commit(commit, this::onResult);
            }
        }

        /**
         * Takes the answer of the store.
         *
         * @param result the answer
         */
        private void onResult(StoreResult<CommitReply> result) {
            switch (result.status()) {
                case OK, CONFLICT -> finish(result.status(), CallerAnswer.accepted());
                case UNKNOWN -> {
                    uncertain = true;
                    again(result);
                }
                default -> again(result);
            }
        }

        /**
         * Returns until when the write is tried again.
         *
         * @return the time, in milliseconds
         */
        private long latestRetry() {
            long patience = uncertain ? SILENCE_MILLIS : REFUSAL_MILLIS;
            return Math.min(request.deadlineMillis() - MARGIN_MILLIS, beganMillis + patience);
        }

        /**
         * Sends the transaction again, or gives up.
         *
         * @param result the answer of the store
         */
        private void again(StoreResult<CommitReply> result) {
            if (runtime.nowMillis() + RETRY_MILLIS < latestRetry()) {
                runtime.schedule(RETRY_MILLIS, this::send);
            } else if (uncertain) {
                finish(
                        result.status(),
                        CallerAnswer.outcomeUnknown("the store did not answer in time"));
            } else {
                finish(
                        result.status(),
                        CallerAnswer.notCarriedOut("the store refused the submission"));
            }
        }

        /**
         * Answers the caller.
         *
         * @param status how the last write ended
         * @param outcome the answer
         */
        private void finish(StoreStatus status, CallerAnswer outcome) {
            if (answered) {
                return;
            }
            answered = true;
            log.log(
                    "submission.answered",
                    "id",
                    request.id(),
                    "route",
                    request.route().name(),
                    "manifest",
                    request.manifestVersion(),
                    "cell",
                    cell,
                    "store",
                    status,
                    "uncertain",
                    uncertain,
                    "status",
                    outcome.status(),
                    "millis",
                    runtime.nowMillis() - beganMillis);
            answer.accept(outcome);
        }
    }
}
