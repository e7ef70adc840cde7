package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.SubmissionPart;

/**
 * Encodes the progress of jobs. Checkpoints, whose length the tasks choose, are left out of a value
 * that would be too long for the store.
 */
final class ProgressEncoder {

    /** The longest value of the store, in bytes. */
    private final int valueBytes;

    /**
     * Creates an encoder.
     *
     * @param valueBytes the longest value of the store, in bytes
     */
    ProgressEncoder(int valueBytes) {
        this.valueBytes = valueBytes;
    }

    /**
     * Encodes the progress of a small submission.
     *
     * @param job the job
     * @param part the tasks that have their home in the cell; others are left out
     * @return the value
     */
    byte[] encode(Job job, SubmissionPart part) {
        ProgressRecord record = ProgressRecord.of(job, part);
        byte[] value = StoredValueCodec.encode(record);
        return value.length <= valueBytes
                ? value
                : StoredValueCodec.encode(record.withoutCheckpoints());
    }

    /**
     * Encodes a block of the progress of a large submission.
     *
     * @param job the job
     * @param blocks the blocks of the job
     * @param block the number of the block, or {@link StoredBlocks#HEADER}
     * @param part the tasks that have their home in the cell; others are left out
     * @return the value
     */
    byte[] encode(Job job, TaskBlocks blocks, int block, SubmissionPart part) {
        if (block == StoredBlocks.HEADER) {
            return StoredValueCodec.encode(DividedProgressRecord.create());
        }
        ProgressBlockRecord record = ProgressBlockRecord.of(job, blocks, block, part);
        byte[] value = StoredValueCodec.encode(record);
        return value.length <= valueBytes
                ? value
                : StoredValueCodec.encode(record.withoutCheckpoints());
    }
}
