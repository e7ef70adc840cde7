package org.damasktiller.scheduler.cell;

/**
 * The record under the progress key of a large submission, whose progress is in blocks. A release
 * that knows no blocks can't read it, and holds the tasks back.
 *
 * @param tasks the text {@link #IN_BLOCKS}, where the progress of a small submission has a list
 * @param tasksPerBlock the number of tasks of a block
 */
public record DividedProgressRecord(String tasks, int tasksPerBlock) {

    /** The text in place of the tasks. */
    static final String IN_BLOCKS = "in blocks";

    /**
     * Creates the record for blocks of the present size.
     *
     * @return the record
     */
    static DividedProgressRecord create() {
        return new DividedProgressRecord(IN_BLOCKS, TaskBlocks.TASKS_PER_BLOCK);
    }
}
