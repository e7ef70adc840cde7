package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * The jobs that wait for a batch, in the order of their first change, and the keys of progress to
 * remove.
 */
final class QueuedJobs {

    /** The jobs. */
    private final Set<Job> jobs = new LinkedHashSet<>();

    /** The keys to remove. */
    private final Set<String> removals = new LinkedHashSet<>();

    /** The name of the cell. */
    private final String cell;

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
        this.cell = context.cell;
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
     * Returns whether no job and no removal waits.
     *
     * @return whether the queue is empty
     */
    boolean isEmpty() {
        return jobs.isEmpty() && removals.isEmpty();
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
            if (!job.state.isFinal() && job.storedBlocks.hasChanges()) {
                jobs.add(job);
            }
            if (job.setAside) {
                break;
            }
        }
        addRemovals(batch, rows);
    }

    /**
     * Adds removals to a batch, as many as it can hold.
     *
     * @param batch the batch
     * @param usedRows the number of rows that it has
     */
    private void addRemovals(CommitBatch batch, int usedRows) {
        Iterator<String> keys = removals.iterator();
        for (int rows = usedRows; rows < JobRows.MAX_TRANSACTION_ROWS && keys.hasNext(); rows++) {
            String key = keys.next();
            keys.remove();
            batch.commit.remove(key);
            batch.removedKeys.add(key);
        }
    }

    /**
     * Adds the removal of a key that nobody reads any more, after all jobs that wait.
     *
     * @param key the key
     */
    void addRemoval(String key) {
        removals.add(key);
    }

    /**
     * Adds the removal of what is stored of the progress of a large submission.
     *
     * @param job the job, which is over
     * @param withHeader whether the record under its progress key is to be removed as well
     */
    void addRemovals(Job job, boolean withHeader) {
        if (job.blocks == null || !job.progressStored) {
            return;
        }
        if (withHeader) {
            removals.add(CellKeys.progressBlock(cell, job.id(), StoredBlocks.HEADER));
        }
        for (int block : job.storedBlocks.stored()) {
            removals.add(CellKeys.progressBlock(cell, job.id(), block));
        }
    }

    /**
     * Takes back what a batch contains that is not stored and won't be: all removals, and the
     * blocks of its jobs, which have to be added again.
     *
     * @param batch the batch
     */
    void onDiscarded(CommitBatch batch) {
        removals.addAll(batch.removedKeys);
        batch.jobVersions.keySet().forEach(job -> job.storedBlocks.onDiscarded());
    }
}
