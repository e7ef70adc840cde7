package org.damasktiller.lab.load;

import java.util.HashMap;
import java.util.Map;
import org.apache.commons.math3.random.RandomGenerator;
import org.damasktiller.scheduler.model.EndKind;
import org.damasktiller.scheduler.model.Resources;
import org.damasktiller.scheduler.model.StepSpec;
import org.damasktiller.scheduler.model.Submission;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.TaskBehaviour;

/** Tells the emulated workers how the tasks of submissions behave, which only the caller knows. */
public final class SubmittedWork implements TaskBehaviour {

    /** The submissions that callers have sent, by identifier. */
    private final Map<String, Submission> submissions = new HashMap<>();

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
     * Tells whether a caller has sent a submission.
     *
     * @param id its identifier
     * @return whether one has
     */
    public boolean knows(String id) {
        return submissions.containsKey(id);
    }

    @Override
    public Resources reserved(TaskId task) {
        return spec(task).reserved();
    }

    @Override
    public long workMillis(String worker, TaskId task) {
        StepSpec spec = spec(task);
        return spec.lasting() ? LASTS : spec.estimateMillis();
    }

    @Override
    public EndKind end(String worker, TaskId task) {
        return random.nextDouble() < failureChance ? EndKind.FAILED : EndKind.DONE;
    }

    /**
     * Returns the step of a task.
     *
     * @param task the task
     * @return the step
     */
    private StepSpec spec(TaskId task) {
        Submission submission = submissions.get(task.submission());
        if (submission == null) {
            throw new IllegalArgumentException("nobody has submitted " + task);
        }
        return submission.steps().get(task.step());
    }
}
