package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * Describes a step of a submission: a number of equal tasks.
 *
 * @param count the number of tasks
 * @param need what each task reserves on a worker
 * @param estimateMillis the declared duration of a task, a rough figure, in milliseconds
 * @param after the numbers of the earlier steps that must be done first
 * @param checkpointing whether tasks save their progress
 * @param gang whether the tasks work only all together
 * @param sameRack whether a gang is slower across racks
 * @param requiredLabel the label that the worker must have, empty for none
 * @param dataRack the rack where the step's data is, empty for none
 * @param maximumPerWorker how many tasks of the step one worker may run, zero for any number
 * @param copiesAllowed whether several runs of one task may be active
 * @param lasting whether the tasks run until the submission is cancelled
 * @param image what the tasks run, empty for unknown; tasks of one image behave alike
 * @param targetMillis the response time that a lasting task must keep, in milliseconds, or zero
 * @param filling whether the tasks use only processors that others leave unused
 * @param mayMiss how many lasting tasks may be away at once through actions of the scheduler
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record StepSpec(
        int count,
        Resources need,
        long estimateMillis,
        List<Integer> after,
        boolean checkpointing,
        boolean gang,
        boolean sameRack,
        String requiredLabel,
        String dataRack,
        int maximumPerWorker,
        boolean copiesAllowed,
        boolean lasting,
        String image,
        long targetMillis,
        boolean filling,
        int mayMiss) {

    /** Replaces fields left out of a stored record by their defaults. */
    @SuppressWarnings("ConstantConditions")
    public StepSpec {
        after = after == null ? List.of() : List.copyOf(after);
        requiredLabel = requiredLabel == null ? "" : requiredLabel;
        dataRack = dataRack == null ? "" : dataRack;
        image = image == null ? "" : image;
    }

    /**
     * Starts to build a step.
     *
     * @param count the number of tasks
     * @param need what each task reserves on a worker
     * @return a builder of a step without conditions
     */
    public static StepSpecBuilder builder(int count, Resources need) {
        return new StepSpecBuilder(count, need);
    }

    /**
     * Returns what a task takes of the room that a worker guards: a filling task reserves no
     * processors.
     *
     * @return the reserved resources
     */
    public Resources reserved() {
        return filling ? new Resources(0, need.memoryMb(), need.accelerators()) : need;
    }

    /**
     * Tells whether the tasks serve users and have a response time to keep.
     *
     * @return whether they do
     */
    public boolean serving() {
        return lasting && targetMillis > 0;
    }
}
