package org.damasktiller.scheduler.cell;

import java.util.List;
import java.util.function.Consumer;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.order.SubmissionAge;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;

/**
 * Decides which stored submissions an owner holds in memory. Those for which there is none stay in
 * the store, and are loaded one at a time as others end.
 *
 * <p>Load pattern: submissions with thousands of steps that are accepted faster than the use of the
 * memory is published, or while the cell has no owner.
 */
final class SubmissionLoader {

    /** The delay before a failed read is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 100;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Removes the progress of submissions that are over. */
    private final ProgressRemover progressRemover;

    /** Called with each submission that is loaded. */
    private final Consumer<Job> onLoaded;

    /** Whether a submission is being read. */
    private boolean busy;

    /**
     * Creates a loader.
     *
     * @param context the shared state of the cell's owner
     * @param progressRemover removes the progress of submissions that are over
     * @param onLoaded called with each submission that is loaded
     */
    SubmissionLoader(CellContext context, ProgressRemover progressRemover, Consumer<Job> onLoaded) {
        this.context = context;
        this.progressRemover = progressRemover;
        this.onLoaded = onLoaded;
    }

    /**
     * Creates the job of a submission.
     *
     * @param context the shared state of the cell's owner
     * @param accepted the submission
     * @param item its entry in the cell
     * @return the job, without progress
     */
    static Job createJob(CellContext context, AcceptedSubmission accepted, StoreItem item) {
        long ageMillis =
                SubmissionAge.estimateMillis(
                        accepted.acceptedUnixMillis(), context.runtime.unixMillis());
        Job job = new Job(accepted, item.revision(), context.now() - ageMillis);
        job.entryBytes = item.value().length;
        job.estimatedBytes =
                SubmissionSize.estimateBytes(accepted.submission(), item.value().length);
        return job;
    }

    /**
     * Leaves a submission in the store if there is no memory for it. So is a large one from before
     * the term until it is known which of them previous owners had loaded. One of which tasks have
     * moved is always loaded.
     *
     * @param accepted the submission
     * @param item its entry in the cell
     * @return whether it is not to be loaded now
     */
    boolean leaveInStore(AcceptedSubmission accepted, StoreItem item) {
        long bytes = SubmissionSize.estimateBytes(accepted.submission(), item.value().length);
        UnloadedSubmission submission =
                new UnloadedSubmission(
                        accepted.submission().id(), accepted.route(), item.revision(), bytes);
        boolean isLarge = context.openWork.isLarge(bytes);
        boolean admitted = context.openWork.admits(bytes) && (!isLarge || isUntouched(submission));
        if (accepted.part() != null || admitted) {
            return false;
        }
        context.unloaded.add(submission, isLarge);
        context.log.log(
                "submission.left",
                "id",
                submission.id(),
                "cell",
                context.cell,
                "revision",
                submission.revision(),
                "bytes",
                bytes,
                "waiting",
                context.unloaded.count());
        return true;
    }

    /** Loads the next submission if there is memory for it. */
    void update() {
        if (busy || context.ended || context.unloaded.count() == 0) {
            return;
        }
        UnloadedSubmission next =
                context.unloaded.next(
                        submission ->
                                isUntouched(submission)
                                        && context.openWork.admits(submission.bytes()));
        if (next != null) {
            busy = true;
            read(next);
        }
    }

    /**
     * Returns whether no run of a submission can be active that this owner does not know.
     *
     * @param submission the submission
     * @return whether it is from this term, or previous owners are excluded
     */
    private boolean isUntouched(UnloadedSubmission submission) {
        return !mayHaveProgress(submission) || context.previousOwners.areFenced();
    }

    /**
     * Returns whether a previous owner may have stored progress of a submission.
     *
     * @param submission the submission
     * @return whether it is from before this term
     */
    private boolean mayHaveProgress(UnloadedSubmission submission) {
        return submission.revision() <= context.term.headRevision();
    }

    /**
     * Reads the entry of a submission.
     *
     * @param submission the submission
     */
    private void read(UnloadedSubmission submission) {
        context.store.read(
                CellKeys.openSubmissionsPrefix(context.cell) + submission.id(),
                result -> onEntry(submission, result));
    }

    /**
     * Creates the job of a submission once its entry is read, and reads its progress.
     *
     * @param submission the submission
     * @param result the reading of its entry
     */
    private void onEntry(UnloadedSubmission submission, StoreResult<StoreReading> result) {
        if (context.ended) {
            return;
        }
        if (result.status() != StoreStatus.OK && result.status() != StoreStatus.ABSENT) {
            context.schedule(RETRY_MILLIS, () -> read(submission));
            return;
        }
        StoreItem item = result.status() == StoreStatus.OK ? result.require().item() : null;
        if (item == null) {
            onRemoved(submission.id());
            end();
            return;
        }
        AcceptedSubmission accepted =
                StoredValueCodec.decode(item.value(), AcceptedSubmission.class);
        if (accepted == null) {
            context.log.log("inbox.unreadable", "key", item.key(), "revision", item.revision());
            context.unloaded.remove(submission.id());
            end();
            return;
        }
        Job job = createJob(context, accepted, item);
        if (mayHaveProgress(submission)) {
            ProgressReader.ofSubmission(
                            context, progressRemover, job, () -> complete(submission, job))
                    .start();
        } else {
            complete(submission, job);
        }
    }

    /**
     * Passes on a submission that is loaded, unless it was cancelled meanwhile.
     *
     * @param submission the submission
     * @param job its job, with its progress
     */
    private void complete(UnloadedSubmission submission, Job job) {
        if (context.ended) {
            return;
        }
        if (context.unloaded.contains(submission.id())) {
            context.unloaded.remove(submission.id());
            context.log.log(
                    "submission.loaded",
                    "id",
                    submission.id(),
                    "cell",
                    context.cell,
                    "bytes",
                    submission.bytes(),
                    "waiting",
                    context.unloaded.count());
            onLoaded.accept(job);
        }
        end();
    }

    /**
     * Forgets a submission whose entry is gone: its caller has cancelled it.
     *
     * @param id the identifier of the submission
     */
    void onRemoved(String id) {
        UnloadedSubmission submission = context.unloaded.find(id);
        if (submission == null) {
            return;
        }
        context.unloaded.remove(id);
        context.rememberClosed(id);
        context.log.log("job.cancelled", "id", id, "cell", context.cell);
        if (mayHaveProgress(submission)) {
            progressRemover.removeIfOver(List.of(id));
        }
    }

    /** Allows the next submission to be read. */
    private void end() {
        busy = false;
        update();
    }
}
