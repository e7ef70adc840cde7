package org.damasktiller.scheduler.model;

import java.util.List;

/** Builds a step; every setter returns the builder, and what is not set has no effect. */
public final class StepSpecBuilder {

    /** The number of tasks. */
    private final int count;

    /** What each task reserves on a worker. */
    private final Resources need;

    /** The declared duration of a task, in milliseconds. */
    private long estimateMillis;

    /** The numbers of the earlier steps that must be done first. */
    private List<Integer> after = List.of();

    /** Whether tasks save their progress. */
    private boolean checkpointing;

    /** Whether the tasks work only all together. */
    private boolean gang;

    /** Whether a gang is slower across racks. */
    private boolean sameRack;

    /** The label that the worker must have, empty for none. */
    private String requiredLabel = "";

    /** The rack where the step's data is, empty for none. */
    private String dataRack = "";

    /** How many tasks of the step one worker may run, zero for any number. */
    private int maximumPerWorker;

    /** Whether several runs of one task may be active. */
    private boolean copiesAllowed;

    /** Whether the tasks run until the submission is cancelled. */
    private boolean lasting;

    /** What the tasks run, empty for unknown. */
    private String image = "";

    /** The response time that a lasting task must keep, in milliseconds, or zero. */
    private long targetMillis;

    /** Whether the tasks use only processors that others leave unused. */
    private boolean filling;

    /** How many lasting tasks may be away at once through actions of the scheduler. */
    private int mayMiss;

    /**
     * Creates a builder.
     *
     * @param count the number of tasks
     * @param need what each task reserves on a worker
     */
    StepSpecBuilder(int count, Resources need) {
        this.count = count;
        this.need = need;
    }

    /**
     * Sets the declared duration of a task, in milliseconds.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder estimateMillis(long value) {
        estimateMillis = value;
        return this;
    }

    /**
     * Sets the numbers of the earlier steps that must be done first.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder after(List<Integer> value) {
        after = value;
        return this;
    }

    /**
     * Sets whether tasks save their progress.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder checkpointing(boolean value) {
        checkpointing = value;
        return this;
    }

    /**
     * Sets whether the tasks work only all together.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder gang(boolean value) {
        gang = value;
        return this;
    }

    /**
     * Sets whether a gang is slower across racks.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder sameRack(boolean value) {
        sameRack = value;
        return this;
    }

    /**
     * Sets the label that the worker must have, empty for none.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder requiredLabel(String value) {
        requiredLabel = value;
        return this;
    }

    /**
     * Sets the rack where the step's data is, empty for none.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder dataRack(String value) {
        dataRack = value;
        return this;
    }

    /**
     * Sets how many tasks of the step one worker may run, zero for any number.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder maximumPerWorker(int value) {
        maximumPerWorker = value;
        return this;
    }

    /**
     * Sets whether several runs of one task may be active.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder copiesAllowed(boolean value) {
        copiesAllowed = value;
        return this;
    }

    /**
     * Sets whether the tasks run until the submission is cancelled.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder lasting(boolean value) {
        lasting = value;
        return this;
    }

    /**
     * Sets what the tasks run, empty for unknown.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder image(String value) {
        image = value;
        return this;
    }

    /**
     * Sets the response time that a lasting task must keep, in milliseconds, or zero.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder targetMillis(long value) {
        targetMillis = value;
        return this;
    }

    /**
     * Sets whether the tasks use only processors that others leave unused.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder filling(boolean value) {
        filling = value;
        return this;
    }

    /**
     * Sets how many lasting tasks may be away at once through actions of the scheduler.
     *
     * @param value the value
     * @return the builder
     */
    public StepSpecBuilder mayMiss(int value) {
        mayMiss = value;
        return this;
    }

    /**
     * Builds the step.
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
