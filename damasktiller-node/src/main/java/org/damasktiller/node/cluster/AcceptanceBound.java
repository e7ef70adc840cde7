package org.damasktiller.node.cluster;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import org.damasktiller.scheduler.cell.PendingRecord;
import org.damasktiller.scheduler.cell.SubmissionSize;
import org.damasktiller.scheduler.port.ProcessRuntime;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether this VM may accept a submission for a cell, by the use of memory that the owner
 * of the cell has published and by what this VM has accepted since. Each VM has an equal share of
 * the memory that is left for large submissions.
 *
 * <p>Load pattern: submissions with thousands of steps that arrive within a second at all VMs.
 */
final class AcceptanceBound {

    /**
     * How long an accepted submission is counted here, in milliseconds: longer than it takes until
     * the owner has published it and this VM has read that.
     */
    private static final long COUNTED_MILLIS = 3_000;

    /** A whole, in percent. */
    private static final long WHOLE_PERCENT = 100;

    /** Knows the VMs and what the owners have published. */
    private final ClusterView view;

    /** The memory for the open submissions of a cell, in bytes. */
    private final long openWorkBytes;

    /** The clock. */
    private final ProcessRuntime runtime;

    /** The large submissions that were accepted a short time ago, by the name of the cell. */
    private final Map<String, Queue<Accepted>> recentByCell = new HashMap<>();

    /**
     * Creates a bound of which nothing is used.
     *
     * @param view knows the VMs and what the owners have published
     * @param openWorkBytes the memory for the open submissions of a cell, in bytes
     * @param runtime the clock
     */
    AcceptanceBound(ClusterView view, long openWorkBytes, ProcessRuntime runtime) {
        this.view = view;
        this.openWorkBytes = openWorkBytes;
        this.runtime = runtime;
    }

    /**
     * Decides on a submission. One that is admitted counts from now on.
     *
     * @param cell the name of the cell
     * @param bytes the memory that the submission will take of the owner, in bytes
     * @return whether this VM may accept it
     */
    boolean admits(String cell, long bytes) {
        PendingRecord published = view.pendingRecord(cell);
        if (published != null && published.refusesAll()) {
            return false;
        }
        if (!SubmissionSize.isLarge(bytes, openWorkBytes)) {
            return true;
        }
        Queue<Accepted> recent = recentByCell.computeIfAbsent(cell, key -> new ArrayDeque<>());
        long now = runtime.nowMillis();
        recent.removeIf(accepted -> now - accepted.atMillis() >= COUNTED_MILLIS);
        long recentBytes = recent.stream().mapToLong(Accepted::bytes).sum();
        if (!hasShare(published, recentBytes, bytes)) {
            return false;
        }
        recent.add(new Accepted(now, bytes));
        return true;
    }

    /**
     * Returns whether a large submission is within the share of this VM. The first one need only
     * fit into the memory that is left for all VMs, and any fits into an idle cell.
     *
     * @param published what the owner has published, or null if there has been none
     * @param recentBytes what this VM has accepted a short time ago, in bytes
     * @param bytes the memory that the submission will take, in bytes
     * @return whether it is
     */
    private boolean hasShare(@Nullable PendingRecord published, long recentBytes, long bytes) {
        long bound = SubmissionSize.largeBound(openWorkBytes);
        long percent = published == null ? 0 : published.memoryPercent();
        long left = bound - openWorkBytes / WHOLE_PERCENT * percent;
        return recentBytes == 0
                ? Math.min(bytes, bound) <= left
                : recentBytes + bytes <= left / Math.max(1, view.nodes().size());
    }

    /**
     * A large submission that was accepted.
     *
     * @param atMillis when it was accepted, in milliseconds
     * @param bytes the memory that it takes, in bytes
     */
    private record Accepted(long atMillis, long bytes) {}
}
