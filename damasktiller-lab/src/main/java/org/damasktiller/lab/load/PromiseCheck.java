package org.damasktiller.lab.load;

import java.util.ArrayList;
import java.util.List;
import org.damasktiller.scheduler.model.SubmissionState;
import org.damasktiller.scheduler.model.TaskId;
import org.damasktiller.standin.fleet.RunAudit;

/**
 * Checks the guarantees of the scheduler: compares the replies to callers with the runs on the
 * simulated workers.
 */
public final class PromiseCheck {

    /** The callers and their submissions. */
    private final CallerLoad load;

    /** The runs on the simulated workers. */
    private final RunAudit audit;

    /** The tasks that callers have submitted. */
    private final SubmittedWork work;

    /**
     * Creates a check.
     *
     * @param load the callers and their submissions
     * @param audit the runs on the simulated workers
     * @param work the tasks that callers have submitted
     */
    public PromiseCheck(CallerLoad load, RunAudit audit, SubmittedWork work) {
        this.load = load;
        this.audit = audit;
        this.work = work;
    }

    /**
     * Returns the violations of the guarantees that hold at any time, also during faults.
     *
     * @return one line per violation
     */
    public List<String> violations() {
        List<String> found = new ArrayList<>(audit.violations());
        found.addAll(load.violations());
        work.strangers().forEach(task -> found.add(task + ": started but never submitted"));
        for (WorkItem item : load.items()) {
            String id = item.submission().id();
            if (item.refused() && starts(item) > 0) {
                found.add(id + ": started although each try was refused");
            }
            if (item.state() == SubmissionState.SUCCEEDED && !allDone(item)) {
                found.add(id + ": reported as succeeded before its tasks were done");
            }
            int attempts = item.route().maximumAttempts();
            if (item.state() == SubmissionState.FAILED
                    && audit.mostFailures(tasks(item)) < attempts) {
                found.add(id + ": reported as failed before its attempts were used up");
            }
            if (item.state() == SubmissionState.CANCELLED && !item.cancelAsked()) {
                found.add(id + ": reported as cancelled without being asked to");
            }
        }
        return found;
    }

    /**
     * Returns the submissions that have not reached their expected end. Once faults are over and
     * work has had time to finish, each of them is a violation.
     *
     * @return one line per submission
     */
    public List<String> unfinished() {
        List<String> found = new ArrayList<>();
        for (WorkItem item : load.items()) {
            String id = item.submission().id();
            if (item.accepted() && item.cancelAsked() && active(item) > 0) {
                found.add(id + ": still runs after its cancelling");
            } else if (item.accepted()
                    && !item.cancelAsked()
                    && item.submission().hasLongRunningStep()) {
                if (active(item) < tasks(item).size()) {
                    found.add(id + ": long-running tasks are not at work");
                }
            } else if (item.accepted() && !item.settled()) {
                found.add(id + ": accepted but not finished, last reported state " + item.state());
            }
        }
        return found;
    }

    /**
     * Returns the tasks of the first occurrence of a submission.
     *
     * @param item the submission
     * @return the tasks, by step and index
     */
    private static List<TaskId> tasks(WorkItem item) {
        List<TaskId> tasks = new ArrayList<>();
        for (int step = 0; step < item.submission().steps().size(); step++) {
            for (int task = 0; task < item.submission().steps().get(step).count(); task++) {
                tasks.add(new TaskId(item.submission().id(), 0, step, task));
            }
        }
        return tasks;
    }

    /**
     * Counts the starts of the tasks of a submission.
     *
     * @param item the submission
     * @return the number of starts
     */
    private int starts(WorkItem item) {
        return tasks(item).stream().mapToInt(audit::starts).sum();
    }

    /**
     * Counts the active runs of the tasks of a submission.
     *
     * @param item the submission
     * @return the number of active runs
     */
    private int active(WorkItem item) {
        return tasks(item).stream().mapToInt(audit::active).sum();
    }

    /**
     * Returns whether every task of a submission has a successful run.
     *
     * @param item the submission
     * @return whether all tasks are done
     */
    private boolean allDone(WorkItem item) {
        return audit.done().containsAll(tasks(item));
    }
}
