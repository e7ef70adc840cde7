package org.damasktiller.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.damasktiller.scheduler.model.AcceptedSubmission;
import org.damasktiller.scheduler.model.MovedTask;
import org.damasktiller.scheduler.model.PartsRecord;
import org.damasktiller.scheduler.model.SubmissionPart;
import org.damasktiller.scheduler.port.StoreItem;
import org.damasktiller.scheduler.port.StoreTransaction;
import org.jspecify.annotations.Nullable;

/**
 * A move of tasks of one step to another cell. Its transaction replaces the entries of the
 * submission in both cells and the record of its parts, on condition that none of them, nor the
 * record of the submission, has changed.
 */
final class TaskMove implements PendingMove {

    /**
     * The most blocks of progress in the transaction. Nine of its rows are for the head, the
     * entries and the records, two each, and for the record of the submission.
     */
    private static final int MAX_BLOCKS = JobRows.MAX_TRANSACTION_ROWS - 9;

    /** Encodes the progress that stays. */
    private final ProgressEncoder encoder;

    /** Encodes the entries of the submission. */
    private final PartEncoder partEncoder;

    /** The name of the cell that the tasks leave. */
    private final String cell;

    /** The job in that cell. */
    private final Job job;

    /** The tasks. */
    private final List<TaskRecord> tasks;

    /** The name of the cell that the tasks move to. */
    private final String target;

    /** The part that stays. */
    private final SubmissionPart stayingPart;

    /** The part of the other cell after the move. */
    private final SubmissionPart targetPart;

    /** The revision of the entry in the other cell, or {@link StoreItem#ABSENT}. */
    private final long targetRevision;

    /** The cells that have parts after the move. */
    private final PartsRecord parts;

    /** The revision of the record of these cells, or {@link StoreItem#ABSENT}. */
    private final long partsRevision;

    /** The revision of the entry in the cell that the tasks leave. */
    private final long openRevision;

    /** Called with the outcome. */
    private final Listener listener;

    /**
     * Creates a move.
     *
     * @param context the shared state of the owner of the cell that the tasks leave
     * @param tasks the tasks
     * @param target the name of the cell that the tasks move to
     * @param moved the records of the tasks
     * @param parts the cells that have parts before the move
     * @param partsRevision the revision of that record, or {@link StoreItem#ABSENT}
     * @param targetPart the part of the other cell before the move
     * @param targetRevision the revision of the entry there, or {@link StoreItem#ABSENT}
     * @param listener called with the outcome
     */
    private TaskMove(
            CellContext context,
            List<TaskRecord> tasks,
            String target,
            List<MovedTask> moved,
            PartsRecord parts,
            long partsRevision,
            SubmissionPart targetPart,
            long targetRevision,
            Listener listener) {
        this.encoder = new ProgressEncoder(context.settings.valueBytes());
        this.partEncoder = new PartEncoder(context.settings.valueBytes());
        this.cell = context.cell;
        this.job = tasks.get(0).step.occurrence.job;
        this.tasks = tasks;
        this.target = target;
        this.stayingPart = job.partOrWhole().without(moved);
        this.targetPart = targetPart.with(moved);
        this.targetRevision = targetRevision;
        this.parts = parts.afterMove(cell, target, tasks.get(0).step.number, tasks.size());
        this.partsRevision = partsRevision;
        this.openRevision = job.openRevision;
        this.listener = listener;
    }

    /**
     * Creates a move.
     *
     * @param context the shared state of the owner of the cell that the tasks leave
     * @param tasks the tasks, all of one step
     * @param target the name of the cell that the tasks move to
     * @param parts the cells that have parts before the move
     * @param partsRevision the revision of that record, or {@link StoreItem#ABSENT}
     * @param targetItem the entry of the submission in the other cell, or null if there is none
     * @param listener called with the outcome
     * @return the move, or null if the entry can't be decoded
     */
    static @Nullable TaskMove create(
            CellContext context,
            List<TaskRecord> tasks,
            String target,
            PartsRecord parts,
            long partsRevision,
            @Nullable StoreItem targetItem,
            Listener listener) {
        Job job = tasks.get(0).step.occurrence.job;
        SubmissionPart targetPart =
                new SubmissionPart(false, job.recordRevision, List.of(), List.of());
        long targetRevision = StoreItem.ABSENT;
        if (targetItem != null) {
            AcceptedSubmission entry =
                    StoredValueCodec.decode(targetItem.value(), AcceptedSubmission.class);
            SubmissionPart present = entry == null ? null : entry.part();
            if (present == null) {
                return null;
            }
            targetPart = present;
            targetRevision = targetItem.revision();
        }
        List<MovedTask> moved = new ArrayList<>();
        for (TaskRecord task : tasks) {
            moved.add(task.toMovedTask(context.term));
        }
        return new TaskMove(
                context,
                tasks,
                target,
                moved,
                parts,
                partsRevision,
                targetPart,
                targetRevision,
                listener);
    }

    @Override
    public boolean isPossible() {
        TaskBlocks blocks = job.blocks;
        return !job.state.isFinal()
                && (blocks == null || storedBlocks(blocks).size() <= MAX_BLOCKS)
                && parts.allCells().size() <= JobRows.MAX_CELLS
                && job.openRevision == openRevision
                && tasks.stream().allMatch(task -> task.runs.isEmpty() && !task.away);
    }

    @Override
    public void addTo(StoreTransaction commit) {
        String id = job.id();
        put(commit, cell, openRevision, stayingPart);
        put(commit, target, targetRevision, targetPart);
        commit.expectRevision(CellKeys.submission(id), job.recordRevision);
        commit.expectRevision(CellKeys.parts(id), partsRevision);
        commit.put(CellKeys.parts(id), StoredValueCodec.encode(parts));
        TaskBlocks blocks = job.blocks;
        if (blocks != null) {
            for (int block : storedBlocks(blocks)) {
                commit.put(
                        CellKeys.progressBlock(cell, id, block),
                        encoder.encode(job, blocks, block, stayingPart));
            }
        } else if (job.progressStored) {
            commit.put(CellKeys.progressPrefix(cell) + id, encoder.encode(job, stayingPart));
        }
    }

    /**
     * Returns the blocks with tasks of the move that may be in the store.
     *
     * @param blocks the blocks of the submission
     * @return the numbers of the blocks
     */
    private Set<Integer> storedBlocks(TaskBlocks blocks) {
        Set<Integer> moved = blocks.blocksOf(tasks);
        moved.retainAll(job.storedBlocks.stored());
        return moved;
    }

    @Override
    public void onStored(long revision) {
        job.applyPart(stayingPart, revision);
        job.parts = parts;
        job.partsRevision = revision;
        listener.onMoved();
    }

    @Override
    public void onRefused(String reason) {
        listener.onRefused(reason);
    }

    /**
     * Adds the entry of the submission in a cell.
     *
     * @param commit the transaction
     * @param name the name of the cell
     * @param revision the expected revision of the present entry
     * @param part the new part of the cell
     */
    private void put(StoreTransaction commit, String name, long revision, SubmissionPart part) {
        String key = CellKeys.openSubmissionsPrefix(name) + job.id();
        commit.expectRevision(key, revision);
        commit.put(key, partEncoder.encode(job, part));
    }

    /** Called with the outcome of a move. */
    interface Listener {

        /** Called when the tasks have their home in the other cell. */
        void onMoved();

        /**
         * Called when the tasks stay.
         *
         * @param reason why, for the log
         */
        void onRefused(String reason);
    }
}
