package org.damasktiller.node.caller;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.damasktiller.scheduler.cell.CellKeys;
import org.damasktiller.scheduler.cell.CellLayout;
import org.damasktiller.scheduler.cell.StoredValueCodec;
import org.damasktiller.scheduler.cell.SubmissionSize;
import org.damasktiller.scheduler.cell.SubmissionTombstone;
import org.damasktiller.scheduler.cell.TombstoneCause;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.QueueTerms;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.SubmissionRecord;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.placement.LargestWorkers;
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
 * Stores new submissions. Each submission is written by one transaction, on the condition that none
 * is stored under its identifier, so that a retry is idempotent: it either succeeds or conflicts
 * with the write that was applied first. After a write without a response the submission is never
 * reported as rejected, because the store may still apply that write. A submission that was
 * cancelled or rejected for good before it was stored conflicts with its tombstone and is rejected
 * once more.
 */
public final class SubmissionAcceptor {

    /** The delay before a failed write is retried, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 80;

    /**
     * How long writes that the store refuses are retried, in milliseconds: about as long as a
     * caller waits before its own retry.
     */
    private static final long REFUSAL_TIMEOUT_MILLIS = 700;

    /**
     * How long writes without a response from the store are retried, in milliseconds: 1.5 times the
     * timeout of a call to the store. A caller that gets a response this early can still try
     * another VM, which may reach the store.
     */
    private static final long NO_RESPONSE_TIMEOUT_MILLIS = 1_500;

    /** The store. */
    private final MetadataStore store;

    /** Returns how services and zones are mapped to cells, or null while that is not known. */
    private final Supplier<@Nullable CellLayout> layout;

    /** The availability zone of this process; submissions go to the cell of this zone. */
    private final String zone;

    /** Returns the largest workers of a service by its name, empty if they are not known. */
    private final Function<String, List<Resources>> largestWorkers;

    /** Refuses submissions to full cells. */
    private final FullCellCheck fullCells;

    /** The longest value of the store, in bytes. */
    private final int valueBytes;

    /** Stores the tombstones of submissions that are rejected for good. */
    private final TombstoneWriter tombstones;

    /** The clock and the timers. */
    private final ProcessRuntime runtime;

    /** The log. */
    private final DecisionLog log;

    /**
     * Creates an acceptor.
     *
     * @param store the store
     * @param layout returns how services and zones are mapped to cells, or null while that is not
     *     known
     * @param zone the availability zone of this process; submissions go to its cell
     * @param largestWorkers returns the largest workers of a service by its name, empty if they are
     *     not known
     * @param admission tells whether the owners of cells have memory for further submissions
     * @param valueBytes the longest value of the store, in bytes
     * @param runtime the clock and the timers
     * @param log the log
     */
    public SubmissionAcceptor(
            MetadataStore store,
            Supplier<@Nullable CellLayout> layout,
            String zone,
            Function<String, List<Resources>> largestWorkers,
            CellAdmission admission,
            int valueBytes,
            ProcessRuntime runtime,
            DecisionLog log) {
        this.store = store;
        this.layout = layout;
        this.zone = zone;
        this.largestWorkers = largestWorkers;
        this.fullCells = new FullCellCheck(store, admission, log);
        this.valueBytes = valueBytes;
        this.tombstones = new TombstoneWriter(store, runtime, log);
        this.runtime = runtime;
        this.log = log;
    }

    /**
     * Stores a submission and responds, at the latest shortly before the caller's deadline. A
     * submission with a task that no worker can hold is rejected, unless it is already stored. So
     * is one for a cell whose owner has no memory for it, and one whose record the store can't
     * hold, which therefore never was.
     *
     * @param request the request
     * @param submission the submission to store
     * @param callback the callback for the response, called exactly once
     */
    void accept(CallerRequest request, Submission submission, Consumer<CallerResponse> callback) {
        CellLayout currentLayout = layout.get();
        if (currentLayout == null) {
            callback.accept(CallerResponse.notExecuted("the cells are not known yet"));
            return;
        }
        int tooLarge =
                LargestWorkers.firstStepTooLarge(
                        submission.steps(), largestWorkers.apply(request.route().service()));
        if (tooLarge == LargestWorkers.NONE) {
            String cell = currentLayout.cellOf(request.route().service(), zone);
            byte[] accepted =
                    StoredValueCodec.encode(
                            new AcceptedSubmission(
                                    submission,
                                    request.route().name(),
                                    request.route().service(),
                                    runtime.unixMillis(),
                                    QueueTerms.of(request.route(), request.manifestVersion())));
            if (accepted.length > valueBytes) {
                rejectTooLong(request, accepted.length, callback);
            } else {
                fullCells.check(
                        request,
                        cell,
                        SubmissionSize.estimateBytes(submission, accepted.length),
                        () -> new RetryingWrite(request, accepted, cell, callback).start(),
                        callback);
            }
        } else {
            rejectUnlessStored(request, tooLarge, submission, callback);
        }
    }

    /**
     * Rejects a submission whose record the store can't hold.
     *
     * @param request the request
     * @param length the length of the record, in bytes
     * @param callback the callback for the response
     */
    private void rejectTooLong(
            CallerRequest request, int length, Consumer<CallerResponse> callback) {
        log.log(
                "submission.too-long",
                "id",
                request.id(),
                "route",
                request.route().name(),
                "bytes",
                length,
                "bound",
                valueBytes);
        callback.accept(
                CallerResponse.malformed(
                        "the steps take "
                                + length
                                + " bytes as a record, but must take at most "
                                + valueBytes));
    }

    /**
     * Rejects a submission that can never run, unless an earlier request has stored it.
     *
     * @param request the request
     * @param step the number of a step of which no task fits on any worker
     * @param submission the submission
     * @param callback the callback for the response
     */
    private void rejectUnlessStored(
            CallerRequest request,
            int step,
            Submission submission,
            Consumer<CallerResponse> callback) {
        reject(
                request,
                TombstoneCause.UNSERVABLE,
                CallerResponse.unservable("no worker can hold a task of step " + step),
                StoreItem.ABSENT,
                (status, response) -> {
                    log.log(
                            "submission.unservable",
                            "id",
                            request.id(),
                            "route",
                            request.route().name(),
                            "step",
                            step,
                            "needs",
                            submission.steps().get(step).reserved(),
                            "largest",
                            largestWorkers.apply(request.route().service()),
                            "store",
                            status,
                            "status",
                            response.status());
                    callback.accept(response);
                });
    }

    /**
     * Rejects a submission for good, unless it is stored.
     *
     * @param request the request
     * @param cause why the submission is rejected
     * @param rejection the response if no earlier write of it can take effect any more
     * @param revision the revision of the tombstone that is there, or {@link StoreItem#ABSENT}
     * @param callback receives the result of the last call to the store, and the response
     */
    private void reject(
            CallerRequest request,
            TombstoneCause cause,
            CallerResponse rejection,
            long revision,
            BiConsumer<StoreStatus, CallerResponse> callback) {
        new FinalRejection(request, cause, rejection, store, tombstones, runtime, callback)
                .write(revision);
    }

    /** Writes one submission and retries until it is stored or the time is up. */
    private final class RetryingWrite {

        /** The request. */
        private final CallerRequest request;

        /** The cell that will run the submission. */
        private final String cell;

        /** The transaction that stores the submission; each retry sends the same one. */
        private final StoreTransaction commit;

        /** The callback for the response. */
        private final Consumer<CallerResponse> callback;

        /** When the request arrived, on the monotonic clock, in milliseconds. */
        private final long startMillis;

        /**
         * Whether some write had no response, so that the store may have applied it or may still do
         * so.
         */
        private boolean uncertain;

        /** Whether a write has been sent and has no result yet. */
        private boolean writePending;

        /** Whether the response has been sent to the caller. */
        private boolean responded;

        /**
         * Creates the transaction without sending it.
         *
         * @param request the request
         * @param accepted the record of the submission
         * @param cell the cell that will run the submission
         * @param callback the callback for the response
         */
        RetryingWrite(
                CallerRequest request,
                byte[] accepted,
                String cell,
                Consumer<CallerResponse> callback) {
            this.request = request;
            this.callback = callback;
            this.startMillis = runtime.nowMillis();
            this.cell = cell;
            String route = request.route().name();
            byte[] record =
                    StoredValueCodec.encode(
                            new SubmissionRecord(
                                    cell, route, SubmissionState.QUEUED, runtime.unixMillis()));
            String key = CellKeys.submission(request.id());
            this.commit =
                    new StoreTransaction()
                            .expectRevision(key, StoreItem.ABSENT)
                            .put(key, record)
                            .put(CellKeys.openSubmissionsPrefix(cell) + request.id(), accepted);
        }

        /**
         * Sends the transaction, and schedules a response for the case that the store is too slow.
         * A request without time for a write is rejected at once.
         */
        void start() {
            long responseDueMillis =
                    Math.min(
                            request.latestResponseMillis(),
                            startMillis + NO_RESPONSE_TIMEOUT_MILLIS);
            if (responseDueMillis <= startMillis) {
                respond(
                        StoreStatus.REFUSED,
                        CallerResponse.notExecuted("no time is left to store the submission"));
                return;
            }
            runtime.schedule(responseDueMillis - startMillis, this::onTimeout);
            send();
        }

        /**
         * Responds without the result of a further write. Unless some write may be applied, the
         * submission is certainly not stored.
         */
        private void onTimeout() {
            uncertain |= writePending;
            respond(
                    uncertain ? StoreStatus.UNKNOWN : StoreStatus.REFUSED,
                    uncertain
                            ? CallerResponse.outcomeUnknown("the store did not respond in time")
                            : CallerResponse.notExecuted("the store refused the submission"));
        }

        /** Sends the transaction, unless the caller already has a response. */
        private void send() {
            if (!responded) {
                writePending = true;
                store.commit(commit, this::onCommitResult);
            }
        }

        /**
         * Handles the result of a write.
         *
         * @param result the store's response
         */
        private void onCommitResult(StoreResult<CommitReply> result) {
            if (result.status() == StoreStatus.CONFLICT) {
                onConflict(result);
                return;
            }
            writePending = false;
            if (result.status() == StoreStatus.OK) {
                respond(result.status(), CallerResponse.accepted());
            } else if (result.status() == StoreStatus.INVALID) {
                respond(
                        result.status(),
                        uncertain
                                ? CallerResponse.outcomeUnknown("the store did not respond in time")
                                : CallerResponse.malformed("the store can't hold the submission"));
            } else {
                uncertain |= result.status() == StoreStatus.UNKNOWN;
                retryOrRespond(result.status());
            }
        }

        /**
         * Handles a conflict with a record, which is read if the store's response does not have it.
         *
         * @param result the store's response
         */
        private void onConflict(StoreResult<CommitReply> result) {
            String key = CellKeys.submission(request.id());
            CommitReply reply = result.value();
            StoreItem item = reply == null ? null : reply.currentItem(key);
            if (item == null) {
                store.read(key, this::onRecord);
            } else {
                respondToConflict(item);
            }
        }

        /**
         * Handles the result of reading the record that a write conflicted with.
         *
         * @param result the store's response
         */
        private void onRecord(StoreResult<StoreReading> result) {
            if (result.status() == StoreStatus.OK) {
                respondToConflict(result.require().item());
            } else {
                writePending = false;
                uncertain = true;
                retryOrRespond(result.status());
            }
        }

        /**
         * Responds after a conflict. It counts as success if a submission is stored under the
         * identifier, by an earlier write or an earlier request. A tombstone shows that it was
         * cancelled or rejected before it was stored; unless a write of this request may have been
         * applied before that, the submission is rejected as it was then.
         *
         * @param item the record that the write conflicted with
         */
        private void respondToConflict(@Nullable StoreItem item) {
            if (item == null || !SubmissionTombstone.isTombstone(item)) {
                respond(StoreStatus.CONFLICT, CallerResponse.accepted());
            } else if (uncertain) {
                respond(
                        StoreStatus.CONFLICT,
                        CallerResponse.outcomeUnknown("the submission was cancelled or rejected"));
            } else {
                TombstoneCause cause = SubmissionTombstone.causeOf(item);
                reject(
                        request,
                        cause,
                        CallerResponse.rejectedBefore(cause),
                        item.revision(),
                        this::respond);
            }
        }

        /**
         * Returns the time after which the write is not retried.
         *
         * @return the time on the monotonic clock, in milliseconds
         */
        private long retryDeadlineMillis() {
            long timeoutMillis = uncertain ? NO_RESPONSE_TIMEOUT_MILLIS : REFUSAL_TIMEOUT_MILLIS;
            return Math.min(request.latestResponseMillis(), startMillis + timeoutMillis);
        }

        /**
         * Schedules a retry, or responds with the failure if there is no time left for one.
         *
         * @param status the result of the call that failed
         */
        private void retryOrRespond(StoreStatus status) {
            if (runtime.nowMillis() + RETRY_DELAY_MILLIS < retryDeadlineMillis()) {
                runtime.schedule(RETRY_DELAY_MILLIS, this::send);
            } else if (uncertain) {
                respond(status, CallerResponse.outcomeUnknown("the store did not respond in time"));
            } else {
                respond(status, CallerResponse.notExecuted("the store refused the submission"));
            }
        }

        /**
         * Sends the response and logs it; later calls have no effect.
         *
         * @param status the result of the last write
         * @param response the response
         */
        private void respond(StoreStatus status, CallerResponse response) {
            if (responded) {
                return;
            }
            responded = true;
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
                    response.status(),
                    "millis",
                    runtime.nowMillis() - startMillis);
            callback.accept(response);
        }
    }
}
