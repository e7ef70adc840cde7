package org.damasktiller.node.caller;

import java.util.function.Consumer;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.StoredValues;
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
 * Stores new submissions. Each submission is written by one transaction, on the condition that none
 * is stored under its identifier, so that a retry is idempotent: it either succeeds or conflicts
 * with the write that was applied first. After a write without a response the submission is never
 * reported as rejected, because the store may still apply that write.
 */
public final class SubmissionAcceptor {

    /** The delay before a failed write is retried, in milliseconds. */
    private static final long RETRY_MILLIS = 80;

    /**
     * How long writes that the store refuses are retried, in milliseconds: about as long as a
     * caller waits before its own retry.
     */
    private static final long REFUSAL_MILLIS = 700;

    /**
     * How long writes without a response from the store are retried, in milliseconds: 1.5 times the
     * timeout of a call to the store. A caller that gets a response this early can still try
     * another VM, which may reach the store.
     */
    private static final long SILENCE_MILLIS = 1_500;

    /** How long before the caller's deadline the response is sent, in milliseconds. */
    private static final long MARGIN_MILLIS = 150;

    /** The store. */
    private final MetadataStore store;

    /** Maps services and zones to cells. */
    private final CellLayout layout;

    /** The availability zone of this process; submissions go to the cell of this zone. */
    private final String zone;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates an acceptor.
     *
     * @param store the store
     * @param layout maps services and zones to cells
     * @param zone the availability zone of this process; submissions go to its cell
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
     * Stores a submission and responds shortly before the caller's deadline at the latest.
     *
     * @param request the request
     * @param submission the submission to store
     * @param answer the callback for the response, called exactly once
     */
    void accept(CallerRequest request, Submission submission, Consumer<CallerAnswer> answer) {
        new Attempt(request, submission, answer).start();
    }

    /** Writes one submission and retries until it is stored or the time is up. */
    private final class Attempt {

        /** The request. */
        private final CallerRequest request;

        /** The cell that will run the submission. */
        private final String cell;

        /** The transaction that stores the submission; each retry sends the same one. */
        private final Commit commit;

        /** The callback for the response. */
        private final Consumer<CallerAnswer> answer;

        /** When the request arrived, on the monotonic clock, in milliseconds. */
        private final long beganMillis;

        /** Whether the store did not respond to some write, which it may still apply. */
        private boolean uncertain;

        /** Whether the response has been sent to the caller. */
        private boolean answered;

        /**
         * Creates the transaction without sending it.
         *
         * @param request the request
         * @param submission the submission to store
         * @param answer the callback for the response
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
                    StoredValues.write(
                            new SubmissionRecord(cell, route, SubmissionState.QUEUED, unixMillis));
            byte[] accepted =
                    StoredValues.write(
                            new AcceptedSubmission(submission, route, service, unixMillis));
            String key = CellKeys.submission(request.id());
            this.commit =
                    new Commit()
                            .expect(key, StoreItem.ABSENT)
                            .put(key, record)
                            .put(CellKeys.inbox(cell) + request.id(), accepted);
        }

        /** Sends the transaction and schedules the response for the case that it takes too long. */
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
                                CallerAnswer.outcomeUnknown("the store did not respond in time"));
                    });
            send();
        }

        /** Sends the transaction, unless the caller already has a response. */
        private void send() {
            if (!answered) {
                store.commit(commit, this::onResult);
            }
        }

        /**
         * Handles the result of a write. A conflict counts as success: a submission is already
         * stored under the identifier, by an earlier write or an earlier request.
         *
         * @param result the store's response
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
         * Returns the time after which the write is not retried.
         *
         * @return the time on the monotonic clock, in milliseconds
         */
        private long latestRetry() {
            long patience = uncertain ? SILENCE_MILLIS : REFUSAL_MILLIS;
            return Math.min(request.deadlineMillis() - MARGIN_MILLIS, beganMillis + patience);
        }

        /**
         * Schedules a retry, or responds with the failure if there is no time left for one.
         *
         * @param result the store's response to the write that failed
         */
        private void again(StoreResult<CommitReply> result) {
            if (runtime.nowMillis() + RETRY_MILLIS < latestRetry()) {
                runtime.schedule(RETRY_MILLIS, this::send);
            } else if (uncertain) {
                finish(
                        result.status(),
                        CallerAnswer.outcomeUnknown("the store did not respond in time"));
            } else {
                finish(
                        result.status(),
                        CallerAnswer.notCarriedOut("the store refused the submission"));
            }
        }

        /**
         * Sends the response and logs it; later calls have no effect.
         *
         * @param status the result of the last write
         * @param outcome the response
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
