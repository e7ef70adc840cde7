package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiConsumer;

/** The jobs that wait for a batch, in the order of their first change. */
final class QueuedJobs {

    /** The jobs. */
    private final Set<Job> jobs = new LinkedHashSet<>();

    /** Adds jobs to transactions. */
    private final JobRows jobRows;

    /** Reads which cells have parts of finished jobs. */
    private final PartsReader partsReader;

    /** Bounds batches while the store rejects some. */
    private final RejectedItems rejectedItems;

    /** Called with a finished job, and whether it is known which cells have parts of it. */
    private final BiConsumer<Job, Boolean> onPartsRead;

    /**
     * Creates an empty queue.
     *
     * @param context the shared state of the cell's owner
     * @param rejectedItems bounds batches while the store rejects some
     * @param onPartsRead called with a finished job that has left the queue, and whether it is
     *     known by now which cells have parts of it; otherwise its record has changed
     */
    QueuedJobs(
            CellContext context,
            RejectedItems rejectedItems,
            BiConsumer<Job, Boolean> onPartsRead) {
        this.jobRows = new JobRows(context);
        this.partsReader = new PartsReader(context);
        this.rejectedItems = rejectedItems;
        this.onPartsRead = onPartsRead;
    }

    /**
     * Adds a job at the end, unless it is there.
     *
     * @param job the job
     */
    void add(Job job) {
        jobs.add(job);
    }

    /**
     * Adds jobs before those that are there.
     *
     * @param first the jobs
     */
    void addFirst(Collection<Job> first) {
        Set<Job> later = new LinkedHashSet<>(jobs);
        jobs.clear();
        jobs.addAll(first);
        jobs.addAll(later);
    }

    /**
     * Removes a job.
     *
     * @param job the job
     */
    void remove(Job job) {
        jobs.remove(job);
    }

    /**
     * Returns whether no job waits.
     *
     * @return whether the queue is empty
     */
    boolean isEmpty() {
        return jobs.isEmpty();
    }

    /**
     * Adds jobs to a batch, as many as it can hold, and removes them here. A job that was set aside
     * gets a batch of its own. A finished job of which tasks have moved leaves the queue until it
     * is known which cells have parts of it.
     *
     * @param batch the batch
     */
    void addTo(CommitBatch batch) {
        int rows = JobRows.RESERVED_ROWS;
        for (Job job : new ArrayList<>(jobs)) {
            if (job.state.isFinal() && job.part != null && job.parts == null) {
                jobs.remove(job);
                partsReader.read(job, known -> onPartsRead.accept(job, known));
                continue;
            }
            int needed = JobRows.countRows(job);
            boolean first = batch.countItems() == 0;
            if (rows + needed > JobRows.MAX_TRANSACTION_ROWS
                    || !rejectedItems.hasRoom(batch)
                    || (job.setAside && !first)) {
                break;
            }
            rows += needed;
            jobs.remove(job);
            batch.add(job);
            jobRows.add(batch.commit, job);
            if (job.setAside) {
                break;
            }
        }
    }
}
