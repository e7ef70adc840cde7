package org.damasktiller.scheduler.model;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;

/**
 * A step of a submission: a number of identical tasks. Stored as JSON under the names of the
 * components.
 *
 * @param count the number of tasks
 * @param need the resources that each task needs
 * @param estimateMillis the rough duration of a task as declared by the caller, in milliseconds
 * @param after the numbers of the earlier steps that must complete before this one starts
 * @param checkpointing whether the tasks save their progress, so that another run can resume it
 * @param gang whether the tasks make progress only while all of them run
 * @param sameRack whether a gang runs more slowly when it spans several racks
 * @param requiredLabel the label that a worker must have to run the tasks, empty if any worker may
 * @param dataRack the rack that holds the step's data, empty if there is none
 * @param maximumPerWorker the maximum number of tasks of the step on one worker, 0 for no limit
 * @param copiesAllowed whether several runs of the same task may be active at the same time
 * @param lasting whether the tasks are long-running: they run until the submission is cancelled
 * @param image the program that the tasks run, empty if unknown; tasks of the same image are
 *     assumed to affect others in the same way
 * @param targetMillis the response time that a long-running task has to keep, in milliseconds, or 0
 *     if it does not serve users
 * @param filling whether the tasks are fillers, which use only processor time that other tasks
 *     leave unused
 * @param mayMiss the number of the step's long-running tasks that may be interrupted at the same
 *     time by actions of the scheduler
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

    /** Sets the defaults of components that a stored record omits, and copies the list. */
    @SuppressWarnings("ConstantConditions")
    public StepSpec {
        after = after == null ? List.of() : List.copyOf(after);
        requiredLabel = requiredLabel == null ? "" : requiredLabel;
        dataRack = dataRack == null ? "" : dataRack;
        image = image == null ? "" : image;
    }

    /**
     * Creates a builder with the mandatory values; everything else has its default.
     *
     * @param count the number of tasks
     * @param need the resources that each task needs
     * @return a builder of a step without dependencies or placement constraints
     */
    public static StepSpecBuilder builder(int count, Resources need) {
        return new StepSpecBuilder(count, need);
    }

    /**
     * Returns the resources that each task reserves on its worker. A filler reserves memory and
     * accelerators, but no processors.
     *
     * @return the reserved resources
     */
    public Resources reserved() {
        return filling ? new Resources(0, need.memoryMb(), need.accelerators()) : need;
    }

    /**
     * Returns whether the tasks serve users, that is, run until cancelled and have a response time
     * to keep.
     *
     * @return true if they serve users
     */
    public boolean serving() {
        return lasting && targetMillis > 0;
    }
}
