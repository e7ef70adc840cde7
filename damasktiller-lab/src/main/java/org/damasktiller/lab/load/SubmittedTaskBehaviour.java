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

/**
 * Determines the behaviour of submitted tasks on the simulated workers. Only the caller knows the
 * resources and the duration of a run, so they are looked up in the submission that it sent. Tasks
 * that no caller submitted are recorded.
 */
public final class SubmittedTaskBehaviour implements TaskBehaviour {

    /** The payload of a submission whose tasks crash each worker that starts them. */
    public static final String CRASHING_PAYLOAD = "crash";

    /** How long after its start such a task crashes its worker, in milliseconds. */
    private static final long CRASH_DELAY_MILLIS = 10;

    /** The submissions of the callers, by identifier. */
    private final Map<String, Submission> submissions = new HashMap<>();

    /** The tasks that workers were asked to run but no caller submitted. */
    private final Set<TaskId> unsubmittedTasks = new LinkedHashSet<>();

    /** The source of the outcomes of runs. */
    private final RandomGenerator random;

    /** The probability that a run fails, 0 to 1. */
    private final double failureProbability;

    /**
     * Creates the behaviour without submissions.
     *
     * @param random the source of the outcomes of runs
     * @param failureProbability the probability that a run fails, 0 to 1
     */
    public SubmittedTaskBehaviour(RandomGenerator random, double failureProbability) {
        this.random = random;
        this.failureProbability = failureProbability;
    }

    /**
     * Adds a submission. Must be called before the submission is sent.
     *
     * @param submission the submission
     */
    void add(Submission submission) {
        submissions.put(submission.id(), submission);
    }

    /**
     * Returns the tasks that workers were asked to run but no caller submitted.
     *
     * @return the live set of tasks
     */
    public Set<TaskId> unsubmittedTasks() {
        return unsubmittedTasks;
    }

    @Override
    public Resources reserved(TaskId task) {
        StepSpec spec = findSpec(task);
        return spec == null ? Resources.NONE : spec.reserved();
    }

    @Override
    public long durationMillis(String worker, TaskId task) {
        StepSpec spec = findSpec(task);
        return spec == null || spec.lasting() ? RUNS_UNTIL_STOPPED : spec.estimateMillis();
    }

    @Override
    public EndKind outcome(String worker, TaskId task) {
        return random.nextDouble() < failureProbability ? EndKind.FAILED : EndKind.DONE;
    }

    @Override
    public long crashDelayMillis(TaskId task) {
        Submission submission = submissions.get(task.submission());
        boolean crashes = submission != null && submission.payload().equals(CRASHING_PAYLOAD);
        return crashes ? CRASH_DELAY_MILLIS : NEVER_CRASHES;
    }

    /**
     * Returns the step of a task, or records the task as never submitted.
     *
     * @param task the task
     * @return the step, or null if no caller submitted the task
     */
    private @Nullable StepSpec findSpec(TaskId task) {
        Submission submission = submissions.get(task.submission());
        if (submission == null || task.step() >= submission.steps().size()) {
            unsubmittedTasks.add(task);
            return null;
        }
        return submission.steps().get(task.step());
    }
}
