package org.damasktiller.scheduler.cell;

import org.damasktiller.scheduler.model.TaskId;
import org.jspecify.annotations.Nullable;

/**
 * The place of a task in its submission, whether the task has a record or not.
 *
 * @param step the step that the task belongs to
 * @param index the number of the task in the step, from 0
 */
record TaskPlace(StepRecord step, int index) {

    /**
     * Returns the identifier of the task.
     *
     * @return the identifier
     */
    TaskId id() {
        return step.idOf(index);
    }

    /**
     * Returns the record of the task.
     *
     * @return the record, or null if the task has none
     */
    @Nullable TaskRecord find() {
        return step.records.find(index);
    }

    /**
     * Returns whether the task is done.
     *
     * @return whether it is done, as its record or its bit says
     */
    boolean isDone() {
        TaskRecord record = find();
        return record == null ? step.records.hasEnded(index) : record.done;
    }
}
