package org.damasktiller.lab.load;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.RunInvariantChecker;

/**
 * Checks the guarantees of the scheduler: compares the replies to callers with the runs on the
 * simulated workers.
 */
public final class GuaranteeChecker {

    /** The number of workers that a task must have crashed before its submission may fail. */
    private static final int CRASHES_TO_GIVE_UP = 2;

    /** The callers and their submissions. */
    private final CallerSimulator callers;

    /** The runs on the simulated workers. */
    private final RunInvariantChecker runChecker;

    /** The tasks that callers have submitted. */
    private final SubmittedTaskBehaviour taskBehaviour;

    /**
     * Creates a checker.
     *
     * @param callers the callers and their submissions
     * @param runChecker the runs on the simulated workers
     * @param taskBehaviour the tasks that callers have submitted
     */
    public GuaranteeChecker(
            CallerSimulator callers,
            RunInvariantChecker runChecker,
            SubmittedTaskBehaviour taskBehaviour) {
        this.callers = callers;
        this.runChecker = runChecker;
        this.taskBehaviour = taskBehaviour;
    }

    /**
     * Describes the violations of the guarantees that hold at any time, also during faults.
     *
     * @return one line per violation
     */
    public List<String> violations() {
        List<String> found = new ArrayList<>(runChecker.violations());
        found.addAll(callers.violations());
        taskBehaviour
                .unsubmittedTasks()
                .forEach(task -> found.add(task + ": started but never submitted"));
        for (TrackedSubmission tracked : callers.submissions()) {
            String id = tracked.submission().id();
            if (tracked.isRefused() && countStarts(tracked) > 0) {
                found.add(id + ": started although each try was refused");
            }
            if (tracked.state() == SubmissionState.SUCCEEDED && !areAllTasksDone(tracked)) {
                found.add(id + ": reported as succeeded before its tasks were done");
            }
            int attempts = tracked.route().maximumAttempts();
            if (tracked.state() == SubmissionState.FAILED
                    && runChecker.maximumFailures(tasksOf(tracked)) < attempts
                    && runChecker.maximumCrashes(tasksOf(tracked)) < CRASHES_TO_GIVE_UP) {
                found.add(id + ": reported as failed before its attempts were used up");
            }
            if (tracked.state() == SubmissionState.CANCELLED && !tracked.isCancelRequested()) {
                found.add(id + ": reported as cancelled without being asked to");
            }
        }
        return found;
    }

    /**
     * Describes the submissions that have not reached their expected end. Once faults are over and
     * work has had time to finish, each of them is a violation.
     *
     * @return one line per submission
     */
    public List<String> unfinished() {
        List<String> found = new ArrayList<>();
        for (TrackedSubmission tracked : callers.submissions()) {
            String id = tracked.submission().id();
            if (tracked.isAccepted()
                    && tracked.isCancelRequested()
                    && countActiveRuns(tracked) > 0) {
                found.add(id + ": still runs after its cancelling");
            } else if (tracked.isAccepted()
                    && !tracked.isCancelRequested()
                    && tracked.submission().hasLongRunningStep()) {
                if (countActiveRuns(tracked) < tasksOf(tracked).size()) {
                    found.add(id + ": long-running tasks are not running");
                }
            } else if (tracked.isAccepted() && !tracked.isSettled()) {
                found.add(
                        id + ": accepted but not finished, last reported state " + tracked.state());
            }
        }
        return found;
    }

    /**
     * Returns the tasks of the first occurrence of a submission.
     *
     * @param tracked the submission
     * @return the tasks, by step and index
     */
    static List<TaskId> tasksOf(TrackedSubmission tracked) {
        List<TaskId> tasks = new ArrayList<>();
        for (int step = 0; step < tracked.submission().steps().size(); step++) {
            for (int task = 0; task < tracked.submission().steps().get(step).count(); task++) {
                tasks.add(new TaskId(tracked.submission().id(), 0, step, task));
            }
        }
        return tasks;
    }

    /**
     * Counts the starts of the tasks of a submission.
     *
     * @param tracked the submission
     * @return the number of starts
     */
    private int countStarts(TrackedSubmission tracked) {
        return tasksOf(tracked).stream().mapToInt(runChecker::startCount).sum();
    }

    /**
     * Counts the active runs of the tasks of a submission.
     *
     * @param tracked the submission
     * @return the number of active runs
     */
    private int countActiveRuns(TrackedSubmission tracked) {
        return tasksOf(tracked).stream().mapToInt(runChecker::activeRunCount).sum();
    }

    /**
     * Returns whether every task of a submission has a successful run.
     *
     * @param tracked the submission
     * @return whether all tasks are done
     */
    private boolean areAllTasksDone(TrackedSubmission tracked) {
        return runChecker.succeededTasks().containsAll(tasksOf(tracked));
    }
}
