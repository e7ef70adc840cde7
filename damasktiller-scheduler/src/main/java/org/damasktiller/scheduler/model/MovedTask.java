package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * A task that has moved to another cell.
 *
 * @param occurrence the number of its occurrence, from 0
 * @param step the number of its step in the submission, from 0
 * @param index the number of the task in the step, from 0
 * @param run the highest run number that the owners of its former homes may have used
 * @param ran whether one of its runs was ever confirmed
 * @param crashes the number of crashes of workers that it may have caused
 * @param bystanderCrashes the number of crashes of workers under runs that had been active for some
 *     time
 * @param unknownOutcomes the number of runs that may have crashed their worker
 * @param done whether the task is done, which a move of the whole submission tells the new home
 * @param failedRuns the numbers of the runs that failed, empty for a long-running task
 * @param checkpoint the checkpoint from which the next run resumes, empty for none
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record MovedTask(
        int occurrence,
        int step,
        int index,
        int run,
        boolean ran,
        int crashes,
        int bystanderCrashes,
        int unknownOutcomes,
        boolean done,
        List<Integer> failedRuns,
        String checkpoint) {

    /** Replaces components that a stored record leaves out by their defaults. */
    @SuppressWarnings("ConstantConditions")
    public MovedTask {
        failedRuns = failedRuns == null ? List.of() : List.copyOf(failedRuns);
        checkpoint = checkpoint == null ? "" : checkpoint;
    }

    /**
     * Returns the record without its checkpoint.
     *
     * @return the record of a task that begins again
     */
    MovedTask withoutCheckpoint() {
        return new MovedTask(
                occurrence,
                step,
                index,
                run,
                ran,
                crashes,
                bystanderCrashes,
                unknownOutcomes,
                done,
                failedRuns,
                "");
    }

    /**
     * Returns whether this is the record of a task.
     *
     * @param id the identifier of a task of the same submission
     * @return whether it names the task
     */
    public boolean names(TaskId id) {
        return id.occurrence() == occurrence && id.step() == step && id.index() == index;
    }

    /**
     * Returns whether this and another record are of the same task.
     *
     * @param other a record of the same submission
     * @return whether both name the same task
     */
    boolean isOfSameTask(MovedTask other) {
        return occurrence == other.occurrence && step == other.step && index == other.index;
    }
}
