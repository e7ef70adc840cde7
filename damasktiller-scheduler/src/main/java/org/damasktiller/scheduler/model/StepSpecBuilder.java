package org.damasktiller.scheduler.model;

import java.util.List;

/**
 * Builds a {@link StepSpec}. Values that are not set keep a default that adds no constraint. Each
 * setter returns the builder.
 */
public final class StepSpecBuilder {

    /** The number of tasks. */
    private final int count;

    /** The resources that each task needs. */
    private final Resources need;

    /** The rough duration of a task as declared by the caller, in milliseconds. */
    private long estimateMillis;

    /** The numbers of the earlier steps that must complete before this one starts. */
    private List<Integer> after = List.of();

    /** Whether the tasks save their progress, so that another run can resume it. */
    private boolean checkpointing;

    /** Whether the tasks make progress only while all of them run. */
    private boolean gang;

    /** Whether a gang runs more slowly when it spans several racks. */
    private boolean sameRack;

    /** The label that a worker must have to run the tasks, empty if any worker may. */
    private String requiredLabel = "";

    /** The rack that holds the step's data, empty if there is none. */
    private String dataRack = "";

    /** The maximum number of tasks of the step on one worker, 0 for no limit. */
    private int maximumPerWorker;

    /** Whether several runs of the same task may be active at the same time. */
    private boolean copiesAllowed;

    /** Whether the tasks run until the submission is cancelled. */
    private boolean lasting;

    /** The program that the tasks run, empty if unknown. */
    private String image = "";

    /** The response time that a long-running task has to keep, in milliseconds, or 0 for none. */
    private long targetMillis;

    /** Whether the tasks use only processor time that other tasks leave unused. */
    private boolean filling;

    /** The number of long-running tasks that the scheduler may interrupt at the same time. */
    private int mayMiss;

    /**
     * Creates a builder with the mandatory values.
     *
     * @param count the number of tasks
     * @param need the resources that each task needs
     */
    StepSpecBuilder(int count, Resources need) {
        this.count = count;
        this.need = need;
    }

    /**
     * Sets the rough duration of a task as declared by the caller.
     *
     * @param value the duration, in milliseconds
     * @return this builder
     */
    public StepSpecBuilder estimateMillis(long value) {
        estimateMillis = value;
        return this;
    }

    /**
     * Sets the earlier steps that must complete before this one starts.
     *
     * @param value the numbers of the steps
     * @return this builder
     */
    public StepSpecBuilder after(List<Integer> value) {
        after = value;
        return this;
    }

    /**
     * Sets whether the tasks save their progress, so that another run can resume it.
     *
     * @param value true if they do
     * @return this builder
     */
    public StepSpecBuilder checkpointing(boolean value) {
        checkpointing = value;
        return this;
    }

    /**
     * Sets whether the tasks make progress only while all of them run.
     *
     * @param value true if they form a gang
     * @return this builder
     */
    public StepSpecBuilder gang(boolean value) {
        gang = value;
        return this;
    }

    /**
     * Sets whether a gang runs more slowly when it spans several racks.
     *
     * @param value true if it should share a rack
     * @return this builder
     */
    public StepSpecBuilder sameRack(boolean value) {
        sameRack = value;
        return this;
    }

    /**
     * Sets the label that a worker must have to run the tasks.
     *
     * @param value the label, empty if any worker may
     * @return this builder
     */
    public StepSpecBuilder requiredLabel(String value) {
        requiredLabel = value;
        return this;
    }

    /**
     * Sets the rack that holds the step's data.
     *
     * @param value the rack, empty if there is none
     * @return this builder
     */
    public StepSpecBuilder dataRack(String value) {
        dataRack = value;
        return this;
    }

    /**
     * Sets the maximum number of tasks of the step on one worker.
     *
     * @param value the number, 0 for no limit
     * @return this builder
     */
    public StepSpecBuilder maximumPerWorker(int value) {
        maximumPerWorker = value;
        return this;
    }

    /**
     * Sets whether several runs of the same task may be active at the same time.
     *
     * @param value true if they may
     * @return this builder
     */
    public StepSpecBuilder copiesAllowed(boolean value) {
        copiesAllowed = value;
        return this;
    }

    /**
     * Sets whether the tasks run until the submission is cancelled.
     *
     * @param value true if they are long-running
     * @return this builder
     */
    public StepSpecBuilder lasting(boolean value) {
        lasting = value;
        return this;
    }

    /**
     * Sets the program that the tasks run.
     *
     * @param value the name of the image, empty if unknown
     * @return this builder
     */
    public StepSpecBuilder image(String value) {
        image = value;
        return this;
    }

    /**
     * Sets the response time that a long-running task has to keep.
     *
     * @param value the time, in milliseconds, or 0 for none
     * @return this builder
     */
    public StepSpecBuilder targetMillis(long value) {
        targetMillis = value;
        return this;
    }

    /**
     * Sets whether the tasks use only processor time that other tasks leave unused.
     *
     * @param value true if they are fillers
     * @return this builder
     */
    public StepSpecBuilder filling(boolean value) {
        filling = value;
        return this;
    }

    /**
     * Sets how many long-running tasks the scheduler may interrupt at the same time.
     *
     * @param value the number of tasks
     * @return this builder
     */
    public StepSpecBuilder mayMiss(int value) {
        mayMiss = value;
        return this;
    }

    /**
     * Creates the step from the values set so far.
     *
     * @return the step
     */
    public StepSpec build() {
        return new StepSpec(
                count,
                need,
                estimateMillis,
                after,
                checkpointing,
                gang,
                sameRack,
                requiredLabel,
                dataRack,
                maximumPerWorker,
                copiesAllowed,
                lasting,
                image,
                targetMillis,
                filling,
                mayMiss);
    }
}
