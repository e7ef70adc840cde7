package org.damasktiller.lab.load;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.TaskBehaviour;
import org.jspecify.annotations.Nullable;

/** Tells the emulated workers how the tasks of submissions behave, which only the caller knows. */
public final class SubmittedWork implements TaskBehaviour {

    /** The submissions that callers have sent, by identifier. */
    private final Map<String, Submission> submissions = new HashMap<>();

    /** The tasks that were started and that nobody has submitted. */
    private final Set<TaskId> strangers = new LinkedHashSet<>();

    /** Draws how runs end. */
    private final RandomGenerator random;

    /** The chance that a run fails, 0 to 1. */
    private final double failureChance;

    /**
     * Creates a part without submissions.
     *
     * @param random draws how runs end
     * @param failureChance the chance that a run fails, 0 to 1
     */
    public SubmittedWork(RandomGenerator random, double failureChance) {
        this.random = random;
        this.failureChance = failureChance;
    }

    /**
     * Adds a submission before it is sent.
     *
     * @param submission the submission
     */
    void add(Submission submission) {
        submissions.put(submission.id(), submission);
    }

    /**
     * Returns the tasks that were started and that nobody has submitted.
     *
     * @return their names
     */
    public Set<TaskId> strangers() {
        return strangers;
    }

    @Override
    public Resources reserved(TaskId task) {
        StepSpec spec = spec(task);
        return spec == null ? Resources.NONE : spec.reserved();
    }

    @Override
    public long durationMillis(String worker, TaskId task) {
        StepSpec spec = spec(task);
        return spec == null || spec.lasting() ? RUNS_UNTIL_STOPPED : spec.estimateMillis();
    }

    @Override
    public EndKind outcome(String worker, TaskId task) {
        return random.nextDouble() < failureChance ? EndKind.FAILED : EndKind.DONE;
    }

    /**
     * Returns the step of a task; one that nobody has submitted is noted.
     *
     * @param task the task
     * @return the step, or null if there is none
     */
    private @Nullable StepSpec spec(TaskId task) {
        Submission submission = submissions.get(task.submission());
        if (submission == null || task.step() >= submission.steps().size()) {
            strangers.add(task);
            return null;
        }
        return submission.steps().get(task.step());
    }
}
