package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;
import org.jspecify.annotations.Nullable;

/**
 * Restores the jobs of a cell, or one job, from a single reading of the stored progress. A
 * submission that is not loaded although it has progress is requested. If a record can't be read,
 * that is logged, and the tasks of its job are held back, since they may be done.
 */
final class ProgressReader implements PrefixWatcher.Listener {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Removes the progress of submissions that are over. */
    private final ProgressRemover remover;

    /** The identifiers of the submissions with progress and without a job. */
    private final List<String> withoutJob = new ArrayList<>();

    /** The jobs to restore, by the identifier of the submission. */
    private final Map<String, Job> jobs;

    /** Called once the jobs have been restored. */
    private final Runnable onRestored;

    /** Called with each key of a block that is left of a submission that is over. */
    private final Consumer<String> onOrphan;

    /** The identifiers of the submissions that have a record under their progress key. */
    private final Set<String> recordedIds = new HashSet<>();

    /** Reads the progress records; closed after the first snapshot. */
    private final PrefixWatcher watcher;

    /**
     * Creates a reader that has not started.
     *
     * @param context the shared state of the cell's owner
     * @param prefix the prefix of the keys to read
     * @param jobs the jobs to restore, by the identifier of the submission
     * @param remover removes the progress of submissions that are over
     * @param onOrphan called with each key of a block that is left of a submission that is over
     * @param onRestored called once the jobs have been restored
     */
    private ProgressReader(
            CellContext context,
            String prefix,
            Map<String, Job> jobs,
            ProgressRemover remover,
            Consumer<String> onOrphan,
            Runnable onRestored) {
        this.context = context;
        this.jobs = jobs;
        this.remover = remover;
        this.onOrphan = onOrphan;
        this.onRestored = onRestored;
        this.watcher =
                new PrefixWatcher(prefix, 0, context.store, context.runtime, context.log, this);
    }

    /**
     * Creates a reader of the progress of all loaded submissions of a cell.
     *
     * @param context the shared state of the cell's owner
     * @param remover removes the progress of submissions that are over
     * @param onOrphan called with each key of a block that is left of a submission that is over
     * @param onRestored called once the jobs have been restored
     * @return the reader, which has not started
     */
    static ProgressReader ofCell(
            CellContext context,
            ProgressRemover remover,
            Consumer<String> onOrphan,
            Runnable onRestored) {
        return new ProgressReader(
                context,
                CellKeys.progressPrefix(context.cell),
                context.jobs,
                remover,
                onOrphan,
                onRestored);
    }

    /**
     * Creates a reader of the progress of a submission that is being loaded.
     *
     * @param context the shared state of the cell's owner
     * @param remover removes the progress of submissions that are over
     * @param job the job of the submission
     * @param onRestored called once the job has been restored
     * @return the reader, which has not started
     */
    static ProgressReader ofSubmission(
            CellContext context, ProgressRemover remover, Job job, Runnable onRestored) {
        return new ProgressReader(
                context,
                CellKeys.progressPrefix(context.cell) + job.id(),
                Map.of(job.id(), job),
                remover,
                key -> {},
                onRestored);
    }

    /** Starts to read the records. */
    void start() {
        watcher.start();
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
        watcher.close();
        context.loopUsage.run("progress", () -> restore(snapshot));
        onRestored.run();
        remover.removeIfOver(withoutJob);
    }

    /**
     * Restores all items.
     *
     * @param snapshot the stored progress
     */
    private void restore(Snapshot snapshot) {
        snapshot.forEach(item -> restore(item, false));
        snapshot.forEach(item -> restore(item, true));
        snapshot.forEach(this::removeIfOrphan);
        jobs.values().forEach(Job::alignGangs);
        jobs.values().forEach(ProgressReader::divide);
    }

    /**
     * Restores an item if it is of a certain kind.
     *
     * @param item the stored progress
     * @param block whether to restore blocks; otherwise the records of whole submissions
     */
    private void restore(StoreItem item, boolean block) {
        String[] names = namesOf(item);
        Job job = jobs.get(names[0]);
        if ((names.length > 1) != block) {
            return;
        }
        boolean readable = job == null || !job.progressUnreadable;
        if (job != null) {
            job.progressStored = true;
            job.progressUnreadable = true;
        }
        if (block ? restoreBlock(item, names[1], job) : restoreWhole(item, job)) {
            if (job != null) {
                job.progressUnreadable = !readable;
            }
        } else {
            context.log.log("progress.unreadable", "key", item.key(), "revision", item.revision());
        }
        if (!block) {
            recordedIds.add(names[0]);
            if (context.unloaded.contains(names[0])) {
                context.unloaded.request(names[0]);
            } else if (job == null) {
                withoutJob.add(names[0]);
            }
        }
    }

    /**
     * Restores the progress of a whole submission, or notes that it is in blocks.
     *
     * @param item the stored progress
     * @param job the job, or null if it is not open
     * @return whether the item can be read
     */
    private static boolean restoreWhole(StoreItem item, @Nullable Job job) {
        ProgressRecord progress = StoredValueCodec.decode(item.value(), ProgressRecord.class);
        if (progress != null) {
            if (job != null) {
                progress.restore(job);
            }
            return true;
        }
        DividedProgressRecord divided =
                StoredValueCodec.decode(item.value(), DividedProgressRecord.class);
        if (!DividedProgressRecord.create().equals(divided)) {
            return false;
        }
        if (job != null) {
            job.storedBlocks.onLoaded(StoredBlocks.HEADER);
        }
        return job == null || job.blocks != null;
    }

    /**
     * Restores a block of the progress of a large submission.
     *
     * @param item the stored block
     * @param number the number of the block, as its key has it
     * @param job the job, or null if it is not open
     * @return whether the item can be read
     */
    private static boolean restoreBlock(StoreItem item, String number, @Nullable Job job) {
        if (job == null) {
            return true;
        }
        TaskBlocks blocks = job.blocks;
        ProgressBlockRecord record =
                StoredValueCodec.decode(item.value(), ProgressBlockRecord.class);
        if (record == null || blocks == null) {
            return false;
        }
        try {
            int block = Integer.parseInt(number);
            record.restore(job, blocks, block);
            job.storedBlocks.onLoaded(block);
            return true;
        } catch (IllegalArgumentException exception) {
            return false;
        }
    }

    /**
     * Removes a block that is left of a submission that is over. The record of the whole submission
     * is removed before its blocks, and none is written without it.
     *
     * @param item the stored progress
     */
    private void removeIfOrphan(StoreItem item) {
        String[] names = namesOf(item);
        if (names.length > 1 && !jobs.containsKey(names[0]) && !recordedIds.contains(names[0])) {
            onOrphan.accept(item.key());
        }
    }

    /**
     * Queues progress that is still a single value to be stored in blocks with the next change.
     *
     * @param job a job that was restored
     */
    private static void divide(Job job) {
        if (job.blocks == null || job.progressUnreadable || !job.progressStored) {
            return;
        }
        Set<Integer> blocks = new TreeSet<>();
        for (OccurrenceRecord occurrence : job.occurrences.values()) {
            for (StepRecord step : occurrence.steps) {
                step.records.stream()
                        .filter(ProgressRecord::hasProgress)
                        .forEach(task -> blocks.add(job.blocks.blockOf(task.id)));
                step.records.endedIndexes().stream()
                        .forEach(index -> blocks.add(job.blocks.blockOf(step.idOf(index))));
            }
        }
        if (!job.storedBlocks.hasHeader()) {
            job.storedBlocks.onChanged(blocks, job.version + 1);
        }
    }

    /**
     * Returns the names that follow the prefix in a key.
     *
     * @param item the stored progress
     * @return the identifier of the submission, and for a block its number
     */
    private String[] namesOf(StoreItem item) {
        return item.key().substring(CellKeys.progressPrefix(context.cell).length()).split("/", 2);
    }

    @Override
    public void onChange(StoreEvent event) {
        context.log.log("progress.ignored", "key", event.key());
    }
}
