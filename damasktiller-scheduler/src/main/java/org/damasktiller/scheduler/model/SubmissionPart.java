package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Which tasks of a submission have their home in a cell, once tasks of it have moved. Stored as
 * JSON under the names of the components.
 *
 * @param first whether this is the cell that accepted the submission, where all tasks begin
 * @param recordRevision the revision of the submission's record
 * @param departed the tasks that have left the first cell, empty for other cells; those that came
 *     back are in both lists
 * @param arrived the tasks that came to the cell and have not left it again
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record SubmissionPart(
        boolean first, long recordRevision, List<MovedTask> departed, List<MovedTask> arrived) {

    /** Copies the lists, which a stored record leaves out if they are empty. */
    @SuppressWarnings("ConstantConditions")
    public SubmissionPart {
        departed = departed == null ? List.of() : List.copyOf(departed);
        arrived = arrived == null ? List.of() : List.copyOf(arrived);
    }

    /**
     * Returns whether a task has its home in the cell.
     *
     * @param id the identifier of a task of the submission
     * @return whether only the owner of this cell may start it
     */
    public boolean holds(TaskId id) {
        return arrival(id) != null
                || (first && departed.stream().noneMatch(moved -> moved.names(id)));
    }

    /**
     * Finds the record of a task that came to the cell.
     *
     * @param id the identifier of a task of the submission
     * @return the record, or null if the task has not come or has left again
     */
    public @Nullable MovedTask arrival(TaskId id) {
        return arrived.stream().filter(moved -> moved.names(id)).findFirst().orElse(null);
    }

    /**
     * Returns the part without tasks that leave.
     *
     * @param tasks the tasks, which have their home in the cell
     * @return the new part
     */
    public SubmissionPart without(List<MovedTask> tasks) {
        List<MovedTask> left = new ArrayList<>();
        if (first) {
            left.addAll(others(departed, tasks));
            tasks.forEach(task -> left.add(task.withoutCheckpoint()));
        }
        return new SubmissionPart(first, recordRevision, left, others(arrived, tasks));
    }

    /**
     * Returns the part with tasks that come.
     *
     * @param tasks the tasks, which have had their home in another cell
     * @return the new part
     */
    public SubmissionPart with(List<MovedTask> tasks) {
        List<MovedTask> came = others(arrived, tasks);
        came.addAll(tasks);
        return new SubmissionPart(first, recordRevision, departed, came);
    }

    /**
     * Returns the part without checkpoints.
     *
     * @return the part, whose tasks begin again
     */
    public SubmissionPart withoutCheckpoints() {
        return new SubmissionPart(
                first,
                recordRevision,
                departed,
                arrived.stream().map(MovedTask::withoutCheckpoint).toList());
    }

    /**
     * Returns the records of other tasks than some.
     *
     * @param records the records
     * @param tasks the tasks to leave out
     * @return the rest, in a new list
     */
    private static List<MovedTask> others(List<MovedTask> records, List<MovedTask> tasks) {
        List<MovedTask> rest = new ArrayList<>(records);
        rest.removeIf(record -> tasks.stream().anyMatch(record::isOfSameTask));
        return rest;
    }
}
