package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.SubmissionPart;

/**
 * Encodes the entry of a submission in a cell that has a part of it. Checkpoints, whose length the
 * tasks choose, are left out of an entry that would be too long for the store.
 */
final class PartEncoder {

    /** The longest value of the store, in bytes. */
    private final int valueBytes;

    /**
     * Creates an encoder.
     *
     * @param valueBytes the longest value of the store, in bytes
     */
    PartEncoder(int valueBytes) {
        this.valueBytes = valueBytes;
    }

    /**
     * Encodes the entry of a submission.
     *
     * @param job the job
     * @param part the tasks that have their home in the cell
     * @return the value
     */
    byte[] encode(Job job, SubmissionPart part) {
        byte[] value = StoredValueCodec.encode(job.accepted.withPart(part));
        return value.length <= valueBytes
                ? value
                : StoredValueCodec.encode(job.accepted.withPart(part.withoutCheckpoints()));
    }
}
