package org.damasktiller.scheduler.cell;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import org.damasktiller.scheduler.port.StoreReading;
import org.damasktiller.scheduler.port.StoreResult;
import org.damasktiller.scheduler.port.StoreStatus;
import org.damasktiller.scheduler.port.StoreTransaction;

/**
 * Removes the stored progress of submissions that others have ended: cancelled ones, and those
 * whose final state another cell has stored. A removal is a batch of the cell's owner, so that no
 * earlier batch with progress of the submission can be stored after it.
 */
final class ProgressRemover implements PendingMove {

    /** The most removals of a batch, beside the head and its condition. */
    private static final int MAX_REMOVALS = JobRows.MAX_TRANSACTION_ROWS - JobRows.RESERVED_ROWS;

    /** The time from the end of a submission to the removal, in milliseconds, which groups them. */
    private static final long GROUPING_MILLIS = 1_000;

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Stores the removals. */
    private final CommitQueue commits;

    /** The identifiers of the submissions that are in no batch yet. */
    private final Set<String> waiting = new LinkedHashSet<>();

    /** The identifiers of the submissions of the batch whose outcome is not known yet. */
    private final List<String> sent = new ArrayList<>();

    /** The identifiers of submissions with progress and without a job, which may be over. */
    private final Queue<String> doubtful = new ArrayDeque<>();

    /** Whether a batch is scheduled or queued, or its outcome is not known yet. */
    private boolean busy;

    /**
     * Creates a remover that has nothing to remove.
     *
     * @param context the shared state of the cell's owner
     * @param commits stores the removals
     */
    ProgressRemover(CellContext context, CommitQueue commits) {
        this.context = context;
        this.commits = commits;
    }

    /**
     * Removes the progress of a submission that is over.
     *
     * @param id the identifier of the submission
     */
    void remove(String id) {
        waiting.add(id);
        schedule();
    }

    /**
     * Removes the progress that previous owners have left of submissions without a job, unless the
     * cell still has an entry of the submission, which may be one that can't be decoded.
     *
     * @param ids the identifiers of the submissions
     */
    void removeIfOver(List<String> ids) {
        doubtful.addAll(ids);
        checkNext();
    }

    /** Reads the entry of the next submission that may be over. */
    private void checkNext() {
        String id = doubtful.peek();
        if (id != null) {
            context.store.read(
                    CellKeys.openSubmissionsPrefix(context.cell) + id,
                    result -> onEntry(id, result));
        }
    }

    /**
     * Removes the progress of a submission if it has no entry.
     *
     * @param id the identifier of the submission
     * @param result the reading of its entry
     */
    private void onEntry(String id, StoreResult<StoreReading> result) {
        if (context.ended) {
            return;
        }
        if (result.status() != StoreStatus.OK && result.status() != StoreStatus.ABSENT) {
            context.schedule(GROUPING_MILLIS, this::checkNext);
            return;
        }
        doubtful.remove();
        if (result.status() == StoreStatus.ABSENT) {
            remove(id);
        } else {
            context.log.log("progress.kept", "id", id, "cell", context.cell);
        }
        checkNext();
    }

    /** Schedules the next batch unless there is one already. */
    private void schedule() {
        if (!busy) {
            busy = true;
            context.schedule(GROUPING_MILLIS, () -> commits.enqueueMove(this));
        }
    }

    @Override
    public boolean isPossible() {
        return true;
    }

    @Override
    public void addTo(StoreTransaction commit) {
        Iterator<String> ids = waiting.iterator();
        while (ids.hasNext() && sent.size() < MAX_REMOVALS) {
            String id = ids.next();
            ids.remove();
            sent.add(id);
            commit.remove(CellKeys.progressPrefix(context.cell) + id);
        }
    }

    @Override
    public void onStored(long revision) {
        context.log.log(
                "progress.removed", "cell", context.cell, "ids", sent, "revision", revision);
        sent.clear();
        end();
    }

    @Override
    public void onRefused(String reason) {
        context.log.log(
                "progress.retained", "cell", context.cell, "count", sent.size(), "why", reason);
        waiting.addAll(sent);
        sent.clear();
        end();
    }

    /** Allows the next batch, and schedules it if there is more to remove. */
    private void end() {
        busy = false;
        if (!waiting.isEmpty()) {
            schedule();
        }
    }
}
