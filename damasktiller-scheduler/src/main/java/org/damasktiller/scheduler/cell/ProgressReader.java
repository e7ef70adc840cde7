package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.port.StoreEvent;
import org.damasktiller.scheduler.port.StoreItem;

/** Restores the jobs of a cell from a single reading of the stored progress. */
final class ProgressReader implements PrefixWatcher.Listener {

    /** The shared state of the cell's owner. */
    private final CellContext context;

    /** Removes the progress of submissions that are over. */
    private final ProgressRemover remover;

    /** The identifiers of the submissions with progress and without a job. */
    private final List<String> withoutJob = new ArrayList<>();

    /** Called once the jobs have been restored. */
    private final Runnable onRestored;

    /** Reads the progress records; closed after the first snapshot. */
    private final PrefixWatcher watcher;

    /**
     * Creates a reader that has not started.
     *
     * @param context the shared state of the cell's owner
     * @param remover removes the progress of submissions that are over
     * @param onRestored called once the jobs have been restored
     */
    ProgressReader(CellContext context, ProgressRemover remover, Runnable onRestored) {
        this.context = context;
        this.remover = remover;
        this.onRestored = onRestored;
        this.watcher =
                new PrefixWatcher(
                        CellKeys.progressPrefix(context.cell),
                        0,
                        context.store,
                        context.runtime,
                        context.log,
                        this);
    }

    /** Starts to read the records. */
    void start() {
        watcher.start();
    }

    @Override
    public void onSnapshot(Snapshot snapshot) {
        watcher.close();
        snapshot.forEach(this::restore);
        onRestored.run();
        remover.removeIfOver(withoutJob);
    }

    /**
     * Restores the job of a record. If the record can't be read, that is logged, and the tasks of
     * the job are held back, since they may be done.
     *
     * @param item the stored progress
     */
    private void restore(StoreItem item) {
        String prefix = CellKeys.progressPrefix(context.cell);
        String id = item.key().substring(prefix.length());
        Job job = context.jobs.get(id);
        ProgressRecord progress = StoredValueCodec.decode(item.value(), ProgressRecord.class);
        if (job == null) {
            withoutJob.add(id);
        } else {
            job.progressStored = true;
            job.progressUnreadable = true;
        }
        if (progress == null) {
            context.log.log("progress.unreadable", "key", item.key(), "revision", item.revision());
        } else if (job != null) {
            progress.restore(job);
            job.progressUnreadable = false;
        }
    }

    @Override
    public void onChange(StoreEvent event) {
        context.log.log("progress.ignored", "key", event.key());
    }
}
