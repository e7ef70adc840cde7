package org.damasktiller.scheduler.cell;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.Base64;
import java.util.BitSet;
import java.util.List;
import org.damasktiller.scheduler.model.SubmissionPart;
import org.damasktiller.scheduler.model.TaskId;

/**
 * The stored progress of a block of tasks of a large submission.
 *
 * @param done a bit for each task of the block that is done, the first one the lowest of the first
 *     byte, in base64
 * @param tasks the tasks of the block that are not done and have progress
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record ProgressBlockRecord(String done, List<ProgressRecord.Entry> tasks) {

    /** Replaces components that the stored record leaves out by their defaults. */
    @SuppressWarnings("ConstantConditions")
    public ProgressBlockRecord {
        done = done == null ? "" : done;
        tasks = tasks == null ? List.of() : List.copyOf(tasks);
    }

    /**
     * Creates the record of the current progress of a block.
     *
     * @param job the job of a large submission
     * @param blocks the blocks of the job
     * @param block the number of the block, from 0
     * @param part the tasks that have their home in the cell; others are left out
     * @return the record
     */
    static ProgressBlockRecord of(Job job, TaskBlocks blocks, int block, SubmissionPart part) {
        BitSet done = blocks.endedPositionsOf(job, block);
        List<ProgressRecord.Entry> entries = new ArrayList<>();
        for (TaskPlace place : blocks.placesOf(job, block)) {
            TaskId id = place.id();
            if (!part.holds(id)) {
                continue;
            }
            TaskRecord task = place.find();
            if (place.isDone()) {
                done.set(blocks.positionOf(id));
            } else if (task != null && ProgressRecord.hasProgress(task)) {
                entries.add(ProgressRecord.Entry.of(task));
            }
        }
        return new ProgressBlockRecord(
                Base64.getEncoder().encodeToString(done.toByteArray()), entries);
    }

    /**
     * Returns the record without checkpoints.
     *
     * @return the record, whose tasks begin again after a change of the owner
     */
    ProgressBlockRecord withoutCheckpoints() {
        return new ProgressBlockRecord(
                done, tasks.stream().map(ProgressRecord.Entry::withoutCheckpoint).toList());
    }

    /**
     * Applies the stored progress to a job that was just read from the store. What the job has of
     * the block by then is older.
     *
     * @param job the job
     * @param blocks the blocks of the job
     * @param block the number of the block, from 0
     * @throws IllegalArgumentException if the bits are not valid base64
     */
    void restore(Job job, TaskBlocks blocks, int block) {
        BitSet bits = BitSet.valueOf(Base64.getDecoder().decode(done));
        for (TaskPlace place : blocks.placesOf(job, block)) {
            TaskRecord task = place.find();
            if (task != null) {
                task.recordedStart = null;
            }
        }
        tasks.forEach(entry -> entry.restore(job));
        if (!bits.isEmpty()) {
            job.onRunFound();
        }
        blocks.markDone(job, block, bits);
    }
}
